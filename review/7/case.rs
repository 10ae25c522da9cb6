//! Case: servers send a second answer some milliseconds late while the gateway is held up now and then.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVER_COUNT: usize = 3;
const CLIENT_COUNT: usize = 12;
const TIME_LEFT_MS: u64 = 2000;
/// The share of answers that come twice, and how much later the second one comes.
const SECOND_SHARE: f64 = 0.2;
const SECOND_DELAY_MS: [u64; 2] = [2, 8];
/// A second answer that would come later than this, because this program was delayed, is left out.
const MAX_SECOND_DELAY: Duration = Duration::from_micros(8500);
/// For how long the gateway is held up, and for how long it runs in between.
const HELD_UP_MS: u64 = 140;
const RUNS_MS: [u64; 2] = [150, 400];
const TROUBLE_MS: u64 = 35_000;

const SETTINGS: &str = r#""seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"classes":[
 {"name":"availability","effect":"safe","aim_ms":1200,"deadline_ms":5000,"late_value":0.2,"group":"all","window_ms":5000}],
 "instances":1,"me":0,"zone":"ba-east","zones":["ba-east"],"discovery":"ask","weights":"off","tick_ms":5,
 "limits":{"max_attempts":3,"conn_idle_ms":30000,"dial_timeout_ms":250,"max_open":20000,"cancel":true},
 "report":{"how":"off"},
 "safety":{"drain_grace_ms":2000,"ask_within_ms":10000,"cold_share":0.3,"cold_ms":9000,"tip_multiple":3}}"#;

#[derive(Default)]
struct Findings {
    by_status: BTreeMap<u16, usize>,
    foreign: usize,
}

fn answer_of(id: &str) -> String {
    format!("free desks for {id}")
}

fn between(range: [u64; 2], seed: &Mutex<u64>) -> u64 {
    range[0] + ((range[1] - range[0]) as f64 * random(&mut seed.lock().unwrap())) as u64
}

/// Sends an answer, and now and then the same answer again a little later.
fn serve(
    stream: TcpStream, number: usize, record: Record, trouble: bool, seed: Arc<Mutex<u64>>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let id = request.field("x-correlation-id").to_string();
        sleep_ms(between([5, 25], &seed));
        let answer = Reply::new("200 OK", "", answer_of(&id).as_bytes()).bytes;
        record.line(&format!("server {number} runs {id}"));
        let answered_at = Instant::now();
        writer.write_all(&answer)?;
        if trouble && random(&mut seed.lock().unwrap()) < SECOND_SHARE {
            let delay_ms = between(SECOND_DELAY_MS, &seed);
            sleep_ms(delay_ms);
            if answered_at.elapsed() > MAX_SECOND_DELAY {
                continue;
            }
            writer.write_all(&answer)?;
            let delay_ms = answered_at.elapsed().as_secs_f64() * 1000.0;
            record.line(&format!("server {number} sends the answer to {id} again, {delay_ms:.1} ms later"));
        }
    }
    Ok(())
}

fn main() {
    run_case(run)
}

fn run(setup: &Setup) -> std::io::Result<Verdict> {
    let seed = Arc::new(Mutex::new(5u64));
    let mut entries = Vec::new();
    for number in 0..SERVER_COUNT {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        entries.push(Entry::new(&format!("s-{number}"), listener.local_addr()?, "ba-east"));
        let (record, trouble, seed) = (setup.record.clone(), setup.trouble, seed.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, seed) = (record.clone(), seed.clone());
                std::thread::spawn(move || serve(stream, number, record, trouble, seed));
            }
        });
    }
    let discovery = Discovery::start(&setup.record, entries)?;
    let config =
        format!("\"discovery\":\"{}\",\"known\":{},{SETTINGS}", discovery.address, discovery.known());
    let mut gateway = Gateway::start(setup, "gateway-1", &config)?;
    if !gateway.wait_ready() {
        return Ok(Verdict::CouldNotRun);
    }
    sleep_ms(500);
    let findings: Arc<Mutex<Findings>> = Arc::default();
    let stops = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|number| {
            let (record, findings, stops) = (setup.record.clone(), findings.clone(), stops.clone());
            let address = gateway.address;
            std::thread::spawn(move || {
                let mut connection = None;
                while !stops.load(Ordering::SeqCst) {
                    connection =
                        send(number, address, connection, &new_id(), &record, &findings).ok().flatten();
                    sleep_ms(5);
                }
            })
        })
        .collect();
    let until = Instant::now() + Duration::from_millis(TROUBLE_MS);
    let mut hold_ups = 0;
    while Instant::now() < until {
        sleep_ms(between(RUNS_MS, &seed));
        if setup.trouble {
            gateway.signal(SIGSTOP);
            sleep_ms(HELD_UP_MS);
            gateway.signal(SIGCONT);
            hold_ups += 1;
            setup.record.line(&format!("the gateway was held up for {HELD_UP_MS} ms"));
        }
    }
    stops.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let has_ended = gateway.ended();
    let found = findings.lock().unwrap();
    let summary = format!(
        "held up {hold_ups} times; answers by status {:?}; answers to other requests {}; gateway ended {has_ended:?}",
        found.by_status, found.foreign
    );
    setup.record.line(&summary);
    println!("{summary}");
    Ok(if found.foreign > 0 || has_ended.is_some() {
        Verdict::Broken
    } else if found.by_status.get(&200).is_none_or(|count| *count < 1000) {
        Verdict::CouldNotRun
    } else {
        Verdict::Held
    })
}

/// Sends a request. Returns the connection if it can be used again.
fn send(
    number: usize, address: SocketAddr, connection: Option<TcpStream>, id: &str, record: &Record,
    findings: &Mutex<Findings>,
) -> std::io::Result<Option<TcpStream>> {
    let is_reused = connection.is_some();
    let mut stream = match connection {
        Some(stream) => stream,
        None => TcpStream::connect(address)?,
    };
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(TIME_LEFT_MS + 500)))?;
    let request = format!(
        "GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Service-Class: availability\r\nX-Account: acme\r\nX-Time-Left-Ms: {TIME_LEFT_MS}\r\n\r\n"
    );
    record.line(&format!("client {number} sends {id}"));
    let sent = stream.write_all(request.as_bytes());
    match sent.and_then(|()| read_message(&mut BufReader::new(stream.try_clone()?))) {
        Ok(Some(answer)) => {
            let text = String::from_utf8_lossy(&answer.body).trim().to_string();
            record.line(&format!("client {number} got {} {text:?} for {id}", answer.status()));
            let mut findings = findings.lock().unwrap();
            *findings.by_status.entry(answer.status()).or_default() += 1;
            if answer.status() == 200 && text != answer_of(id) {
                record.line(&format!(
                    "BROKEN client {number}: {text:?} is the answer to another request than {id}"
                ));
                findings.foreign += 1;
            }
            Ok((!answer.closes()).then_some(stream))
        }
        // The gateway has closed the resting connection, so the request is sent once more on a new one.
        Ok(None) | Err(_) if is_reused => send(number, address, None, id, record, findings),
        Ok(None) => Ok(None),
        Err(e) => Err(e),
    }
}
