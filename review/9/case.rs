//! Case: bad clients send much at once, and other clients' requests are answered long after their time.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const BAD_CLIENT_COUNT: usize = 330;
/// How many requests a bad client sends at once.
const BAD_REQUEST_COUNT: usize = 400;
const CLIENT_COUNT: usize = 8;
const BODY_BYTES: usize = 12_000;
/// How long a client waits for an answer: half of the deadline.
const TIME_LEFT_MS: u64 = 400;
/// How long after its time an answer only earns nothing; later, the request is lost.
const GRACE_MS: u64 = 500;
/// By how much the time that a server is told may exceed what the client has left.
const TIME_LEFT_SLACK_MS: f64 = 150.0;
const QUIET_MS: u64 = 4000;
const TROUBLE_MS: u64 = 25_000;

const SETTINGS: &str = r#""seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"classes":[
 {"name":"reservation","effect":"keyed","aim_ms":200,"deadline_ms":800,"late_value":0.2,"group":"all","window_ms":1200}],
 "instances":1,"me":0,"zone":"ba-east","zones":["ba-east"],"discovery":"ask","weights":"off","tick_ms":5,
 "limits":{"max_attempts":3,"conn_idle_ms":30000,"dial_timeout_ms":250,"max_open":20000,"cancel":true},
 "report":{"how":"off"},
 "safety":{"drain_grace_ms":2000,"ask_within_ms":10000,"cold_share":0.3,"cold_ms":9000,"tip_multiple":3}}"#;

#[derive(Default)]
struct Findings {
    in_time: usize,
    late: usize,
    lost: Vec<String>,
    told_too_much: usize,
    most_told_ms: f64,
    refused_or_failed: usize,
}

struct Shared {
    findings: Mutex<Findings>,
    /// When each request was sent.
    sent: Mutex<HashMap<String, Instant>>,
    stops: AtomicBool,
}

fn main() {
    run_case(run)
}

fn run(setup: &Setup) -> std::io::Result<Verdict> {
    let shared = Arc::new(Shared {
        findings: Mutex::default(),
        sent: Mutex::default(),
        stops: AtomicBool::new(false),
    });
    let mut servers = Vec::new();
    for number in 0..4 {
        let (record, shared) = (setup.record.clone(), shared.clone());
        let handler = move |request: Message| {
            let id = request.field("x-correlation-id");
            let told_ms: f64 = request.field("x-time-left-ms").parse().unwrap_or(f64::NAN);
            let sent_at = shared.sent.lock().unwrap().get(id).copied();
            if let Some(sent_at) = sent_at {
                let left_ms = TIME_LEFT_MS as f64 - sent_at.elapsed().as_secs_f64() * 1000.0;
                record.line(&format!(
                    "server {number} runs {id}: told {told_ms} ms, the client has {left_ms:.0} ms left"
                ));
                let mut findings = shared.findings.lock().unwrap();
                findings.most_told_ms = findings.most_told_ms.max(told_ms - left_ms.max(0.0));
                findings.told_too_much += usize::from(told_ms > left_ms.max(0.0) + TIME_LEFT_SLACK_MS);
            }
            sleep_ms(30);
            Reply::new("200 OK", "", format!("booked {id}").as_bytes())
        };
        servers.push(Server::start(None, Arc::new(handler))?);
    }
    let entries =
        servers.iter().enumerate().map(|(i, s)| Entry::new(&format!("s-{i}"), s.address, "ba-east"));
    let discovery = Discovery::start(&setup.record, entries.collect())?;
    let config =
        format!("\"discovery\":\"{}\",\"known\":{},{SETTINGS}", discovery.address, discovery.known());
    let mut gateway = Gateway::start(setup, "gateway-1", &config)?;
    if !gateway.wait_ready() {
        return Ok(Verdict::CouldNotRun);
    }
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|number| {
            let client = Client {
                number,
                address: gateway.address,
                record: setup.record.clone(),
                shared: shared.clone(),
            };
            std::thread::spawn(move || client.run())
        })
        .collect();
    sleep_ms(QUIET_MS);
    let bad_clients = if setup.trouble { start_bad_clients(setup, gateway.address)? } else { Vec::new() };
    sleep_ms(TROUBLE_MS);
    shared.stops.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    drop(bad_clients);
    let has_ended = gateway.ended();
    let found = shared.findings.lock().unwrap();
    let summary = format!(
        "answered in time {}, late {}, refused or failed {}, lost {}; told a server over {TIME_LEFT_SLACK_MS} ms too much {} times, {:.0} ms at most; gateway ended {has_ended:?}",
        found.in_time,
        found.late,
        found.refused_or_failed,
        found.lost.len(),
        found.told_too_much,
        found.most_told_ms
    );
    setup.record.line(&summary);
    println!("{summary}");
    Ok(if !found.lost.is_empty() || has_ended.is_some() {
        Verdict::Broken
    } else if found.in_time < 100 {
        Verdict::CouldNotRun
    } else {
        Verdict::Held
    })
}

/// Starts the bad clients: each sends many requests for unknown paths at once, reads the answers and stays.
fn start_bad_clients(setup: &Setup, address: SocketAddr) -> std::io::Result<Vec<TcpStream>> {
    setup.record.line(&format!("{BAD_CLIENT_COUNT} bad clients send {BAD_REQUEST_COUNT} requests each"));
    let requests = "GET /desks HTTP/1.1\r\nHost: a\r\n\r\n".repeat(BAD_REQUEST_COUNT);
    let mut streams = Vec::new();
    for _ in 0..BAD_CLIENT_COUNT {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(requests.as_bytes())?;
        let mut answers = stream.try_clone()?;
        std::thread::Builder::new().stack_size(64 * 1024).spawn(move || {
            let mut buffer = [0; 4096];
            while answers.read(&mut buffer).is_ok_and(|bytes| bytes > 0) {}
        })?;
        streams.push(stream);
    }
    Ok(streams)
}

struct Client {
    number: usize,
    address: SocketAddr,
    record: Record,
    shared: Arc<Shared>,
}

impl Client {
    /// Sends one request after the other on one connection, which it keeps as long as the gateway does.
    fn run(&self) {
        let mut connection: Option<TcpStream> = None;
        while !self.shared.stops.load(Ordering::SeqCst) {
            connection = self.send(&new_id(), connection).ok().flatten();
            sleep_ms(30);
        }
    }

    /// Sends a request. Returns the connection if it can be used again.
    fn send(&self, id: &str, connection: Option<TcpStream>) -> std::io::Result<Option<TcpStream>> {
        let is_reused = connection.is_some();
        let mut stream = match connection {
            Some(stream) => stream,
            None => TcpStream::connect(self.address)?,
        };
        stream.set_nodelay(true)?;
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Service-Class: reservation\r\nX-Account: acme\r\nX-Time-Left-Ms: {TIME_LEFT_MS}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        let request = [head.into_bytes(), vec![b'b'; BODY_BYTES]].concat();
        let sent_at = Instant::now();
        self.shared.sent.lock().unwrap().insert(id.to_string(), sent_at);
        self.record.line(&format!("client {} sends {id}", self.number));
        let written = stream.write_all(&request);
        // What the client does not have by then is lost; a little more for the client's own delays.
        let wait = Duration::from_millis(TIME_LEFT_MS + GRACE_MS + 20);
        stream.set_read_timeout(Some(wait))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let answer = written.and_then(|()| read_message(&mut reader));
        let took_ms = sent_at.elapsed().as_secs_f64() * 1000.0;
        let mut findings = self.shared.findings.lock().unwrap();
        match answer {
            Ok(Some(answer)) => {
                self.record.line(&format!(
                    "client {} got {} for {id} after {took_ms:.0} ms",
                    self.number,
                    answer.status()
                ));
                if took_ms > (TIME_LEFT_MS + GRACE_MS) as f64 {
                    findings.lost.push(id.to_string());
                } else if took_ms > TIME_LEFT_MS as f64 {
                    findings.late += 1;
                } else if answer.status() == 200 {
                    findings.in_time += 1;
                } else {
                    findings.refused_or_failed += 1;
                }
                Ok((!answer.closes()).then_some(stream))
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                self.record
                    .line(&format!("BROKEN client {}: no answer to {id} after {took_ms:.0} ms", self.number));
                findings.lost.push(id.to_string());
                Ok(None)
            }
            // The gateway has closed the resting connection, so the request is sent once more on a new one.
            _ if is_reused => {
                drop(findings);
                self.send(id, None)
            }
            _ => {
                self.record
                    .line(&format!("BROKEN client {}: {id} was closed without an answer", self.number));
                findings.lost.push(id.to_string());
                Ok(None)
            }
        }
    }
}
