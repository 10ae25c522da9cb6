//! Case: a gateway is killed and comes back with its last list while discovery is down, and a server drains.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const GATEWAY_COUNT: usize = 3;
const SERVER_COUNT: usize = 4;
const CLIENT_COUNT: usize = 9;
const TIME_LEFT_MS: u64 = 2000;
/// How long discovery is down.
const DOWN_MS: u64 = 8000;
/// How long a gateway that was killed stays away.
const AWAY_MS: u64 = 2500;
/// The time after which nothing new goes to a server that drains, with the bench's slack.
const GRACE: Duration = Duration::from_millis(2050);

fn settings(index: usize) -> String {
    format!(
        r#""seed":"8c1f30d27a5be96{index}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{{"classes":[
 {{"name":"availability","effect":"safe","aim_ms":1200,"deadline_ms":5000,"late_value":0.2,"group":"all","window_ms":5000}}],
 "instances":{GATEWAY_COUNT},"me":{index},"zone":"ba-east","zones":["ba-east"],"discovery":"push","weights":"off","tick_ms":5,
 "limits":{{"max_attempts":3,"conn_idle_ms":30000,"dial_timeout_ms":250,"max_open":20000,"cancel":true}},
 "report":{{"how":"off"}},
 "safety":{{"drain_grace_ms":2000,"ask_within_ms":10000,"cold_share":0.3,"cold_ms":9000,"tip_multiple":3}}}}"#
    )
}

fn main() {
    run_case(run)
}

fn run(setup: &Setup) -> std::io::Result<Verdict> {
    let told_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let broken = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    let mut servers = Vec::new();
    for number in 0..SERVER_COUNT {
        let (record, told_at, broken) = (setup.record.clone(), told_at.clone(), broken.clone());
        let handler = move |request: Message| {
            let id = request.field("x-correlation-id");
            let since = told_at.lock().unwrap().map(|at| at.elapsed()).filter(|_| number == 0);
            if let Some(since) = since.filter(|since| *since > GRACE) {
                record.line(&format!(
                    "BROKEN the draining server gets {id}, {since:.2?} after the gateway was told"
                ));
                broken.fetch_add(1, Ordering::SeqCst);
            }
            record.line(&format!("server {number} runs {id}"));
            sleep_ms(30);
            Reply::new("200 OK", "", format!("free desks for {id}").as_bytes())
        };
        servers.push(Server::start(None, Arc::new(handler))?);
    }
    let entry = |i: usize| Entry::new(&format!("s-{i}"), servers[i].address, "ba-east");
    let discovery = Discovery::start(&setup.record, (0..SERVER_COUNT).map(entry).collect())?;
    let mut gateways = (0..GATEWAY_COUNT)
        .map(|index| {
            let (address, known) = (discovery.address, discovery.known());
            let config = format!("\"discovery\":\"{address}\",\"known\":{known},{}", settings(index));
            Gateway::start(setup, &format!("gateway-{index}"), &config)
        })
        .collect::<std::io::Result<Vec<_>>>()?;
    if !gateways.iter().all(Gateway::wait_ready) {
        return Ok(Verdict::CouldNotRun);
    }
    let stops = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|number| {
            let (record, served, stops) = (setup.record.clone(), served.clone(), stops.clone());
            let address = gateways[number % GATEWAY_COUNT].address;
            std::thread::spawn(move || {
                while !stops.load(Ordering::SeqCst) {
                    if send(address, &record).is_ok_and(|status| status == 200) {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    sleep_ms(60);
                }
            })
        })
        .collect();
    sleep_ms(4000);
    if setup.trouble {
        setup.record.line("gateway-0 is killed");
        gateways[0].kill();
        sleep_ms(500);
        discovery.set(Entry { state: "DRAINING", ..entry(0) });
        sleep_ms(500);
        discovery.set_down(true);
        sleep_ms(AWAY_MS - 1000);
        gateways[0].restart()?;
        *told_at.lock().unwrap() = Some(Instant::now());
        setup.record.line("gateway-0 is started again");
        sleep_ms(DOWN_MS - (AWAY_MS - 1000));
        discovery.set_down(false);
        sleep_ms(3000);
    } else {
        discovery.set(Entry { state: "DRAINING", ..entry(0) });
        *told_at.lock().unwrap() = Some(Instant::now());
        sleep_ms(9000);
    }
    stops.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let (broken, served) = (broken.load(Ordering::SeqCst), served.load(Ordering::SeqCst));
    let summary = format!(
        "served {served}, requests to the draining server over 2 s after the gateway was told {broken}"
    );
    setup.record.line(&summary);
    println!("{summary}");
    Ok(match (broken, served) {
        (1.., _) => Verdict::Broken,
        (0, 100..) => Verdict::Held,
        _ => Verdict::CouldNotRun,
    })
}

fn send(address: SocketAddr, record: &Record) -> std::io::Result<u16> {
    let id = new_id();
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(TIME_LEFT_MS)))?;
    write!(stream, "GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Service-Class: availability\r\nX-Account: acme\r\nX-Time-Left-Ms: {TIME_LEFT_MS}\r\nConnection: close\r\n\r\n")?;
    let status = read_message(&mut BufReader::new(stream))?.map_or(0, |answer| answer.status());
    record.line(&format!("client got {status} for {id}"));
    Ok(status)
}
