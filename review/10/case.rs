//! Case: clients leave, servers turn requests away, and the gateway is held up now and then.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVER_COUNT: usize = 6;
const CLIENT_COUNT: usize = 40;
const TIME_LEFT_MS: u64 = 1000;
/// The share of clients that leave, and how soon after their request.
const LEAVE_SHARE: f64 = 0.06;
const LEAVE_AFTER_MS: [u64; 2] = [0, 60];
/// The share of requests that a server turns away.
const TURN_AWAY_SHARE: f64 = 0.15;
/// For how long the gateway is held up, and for how long it runs in between.
const HELD_UP_MS: u64 = 145;
const RUNS_MS: [u64; 2] = [100, 250];
const TROUBLE_MS: u64 = 60_000;
/// A hold-up that takes longer than this, because this program was delayed, is outside the rule's limit.
const MAX_HELD_UP: Duration = Duration::from_millis(150);
/// For how long after such a hold-up no attempt is counted.
const EXCUSED: Duration = Duration::from_millis(300);
/// An attempt that begins later than this after its client has left breaks the rule.
const RULE_MS: f64 = 100.0;
/// What is added to the rule for the delays of this program.
const MEASURING_MS: f64 = 12.0;

const SETTINGS: &str = r#""seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"classes":[
 {"name":"availability","effect":"safe","aim_ms":300,"deadline_ms":2000,"late_value":0.2,"group":"all","window_ms":5000}],
 "instances":1,"me":0,"zone":"ba-east","zones":["ba-east"],"discovery":"ask","weights":"off","tick_ms":5,
 "limits":{"max_attempts":3,"conn_idle_ms":30000,"dial_timeout_ms":250,"max_open":20000,"cancel":true},
 "report":{"how":"off"},
 "safety":{"drain_grace_ms":2000,"ask_within_ms":10000,"cold_share":0.3,"cold_ms":9000,"tip_multiple":3}}"#;

struct Shared {
    record: Record,
    seed: Mutex<u64>,
    /// When the client of a request has closed its connection.
    left: Mutex<HashMap<String, Instant>>,
    late_attempts: Mutex<Vec<f64>>,
    excused_until: Mutex<Instant>,
    attempt_count: AtomicUsize,
    served: AtomicUsize,
    stops: AtomicBool,
}

impl Shared {
    fn random(&self) -> f64 {
        random(&mut self.seed.lock().unwrap())
    }

    fn between(&self, range: [u64; 2]) -> u64 {
        range[0] + ((range[1] - range[0]) as f64 * self.random()) as u64
    }
}

fn serve(stream: TcpStream, number: usize, shared: &Shared) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        reader.fill_buf()?;
        let begun_at = Instant::now();
        let Some(request) = read_message(&mut reader)? else { return Ok(()) };
        let id = request.field("x-correlation-id").to_string();
        shared.attempt_count.fetch_add(1, Ordering::SeqCst);
        let left_at = shared.left.lock().unwrap().get(&id).copied();
        let since_ms =
            left_at.map_or(0.0, |at| begun_at.saturating_duration_since(at).as_secs_f64() * 1000.0);
        shared.record.line(&format!("server {number} gets {id}, {since_ms:.1} ms after its client has left"));
        let is_excused = begun_at < *shared.excused_until.lock().unwrap();
        if since_ms > RULE_MS + MEASURING_MS && !is_excused {
            shared.record.line(&format!(
                "BROKEN an attempt of {id} begins {since_ms:.1} ms after its client has left"
            ));
            shared.late_attempts.lock().unwrap().push(since_ms);
        }
        let answer = if shared.random() < TURN_AWAY_SHARE {
            Reply::new("503 Service Unavailable", "X-Unprocessed: 1\r\n", b"full\n")
        } else {
            sleep_ms(shared.between([20, 100]));
            Reply::new("200 OK", "", format!("free desks for {id}").as_bytes())
        };
        writer.write_all(&answer.bytes)?;
    }
}

fn main() {
    run_case(run)
}

fn run(setup: &Setup) -> std::io::Result<Verdict> {
    let shared = Arc::new(Shared {
        record: setup.record.clone(),
        seed: Mutex::new(3),
        left: Mutex::default(),
        late_attempts: Mutex::default(),
        excused_until: Mutex::new(Instant::now()),
        attempt_count: AtomicUsize::new(0),
        served: AtomicUsize::new(0),
        stops: AtomicBool::new(false),
    });
    let mut entries = Vec::new();
    for number in 0..SERVER_COUNT {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        entries.push(Entry::new(&format!("s-{number}"), listener.local_addr()?, "ba-east"));
        let shared = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, number, &shared));
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
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|_| {
            let (shared, address, trouble) = (shared.clone(), gateway.address, setup.trouble);
            std::thread::spawn(move || {
                let mut connection = None;
                while !shared.stops.load(Ordering::SeqCst) {
                    connection = send(&shared, address, connection, &new_id(), trouble).ok().flatten();
                    sleep_ms(shared.between([0, 120]));
                }
            })
        })
        .collect();
    let until = Instant::now() + Duration::from_millis(TROUBLE_MS);
    while Instant::now() < until {
        sleep_ms(shared.between(RUNS_MS));
        if setup.trouble {
            shared.record.line("the gateway is held up");
            let held_up_at = Instant::now();
            gateway.signal(SIGSTOP);
            sleep_ms(HELD_UP_MS);
            if held_up_at.elapsed() > MAX_HELD_UP {
                shared.record.line("this hold-up is too long and not counted");
                *shared.excused_until.lock().unwrap() = Instant::now() + EXCUSED;
            }
            gateway.signal(SIGCONT);
            shared.record.line("the gateway runs again");
        }
    }
    shared.stops.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let has_ended = gateway.ended();
    let late = shared.late_attempts.lock().unwrap();
    let summary = format!(
        "served {}, attempts {}, clients left {}, attempts over {RULE_MS} ms after that {} (latest {:.1} ms); gateway ended {has_ended:?}",
        shared.served.load(Ordering::SeqCst),
        shared.attempt_count.load(Ordering::SeqCst),
        shared.left.lock().unwrap().len(),
        late.len(),
        late.iter().copied().fold(0.0, f64::max)
    );
    shared.record.line(&summary);
    println!("{summary}");
    Ok(if !late.is_empty() || has_ended.is_some() {
        Verdict::Broken
    } else if shared.served.load(Ordering::SeqCst) < 1000 {
        Verdict::CouldNotRun
    } else {
        Verdict::Held
    })
}

/// Sends a request, and reads the answer unless the client leaves. Returns the connection if it can be used again.
fn send(
    shared: &Shared, address: SocketAddr, connection: Option<TcpStream>, id: &str, trouble: bool,
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
    shared.record.line(&format!("client sends {id}"));
    let sent = stream.write_all(request.as_bytes());
    if trouble && shared.random() < LEAVE_SHARE {
        sleep_ms(shared.between(LEAVE_AFTER_MS));
        let _ = stream.shutdown(Shutdown::Both);
        drop(stream);
        shared.left.lock().unwrap().insert(id.to_string(), Instant::now());
        shared.record.line(&format!("the client of {id} has left"));
        return Ok(None);
    }
    match sent.and_then(|()| read_message(&mut BufReader::new(stream.try_clone()?))) {
        Ok(Some(answer)) => {
            shared.record.line(&format!("client got {} for {id}", answer.status()));
            shared.served.fetch_add(usize::from(answer.status() == 200), Ordering::SeqCst);
            Ok((!answer.closes()).then_some(stream))
        }
        // The gateway has closed the resting connection, so the request is sent once more on a new one.
        Ok(None) | Err(_) if is_reused => send(shared, address, None, id, trouble),
        Ok(None) => Ok(None),
        Err(e) => Err(e),
    }
}
