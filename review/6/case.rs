//! Case: a client sends many commands at once.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The number of requests of each client.
const REQUEST_COUNT: usize = 48;
/// How many requests a client has open at once.
const WINDOW: usize = 16;
const CLIENT_COUNT: usize = 6;
/// How long each client waits for an answer.
const TIME_LEFT_MS: u64 = 5000;

const SETTINGS: &str = r#""seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"classes":[
 {"name":"availability","effect":"safe","aim_ms":1200,"deadline_ms":5000,"late_value":0.2,"group":"all","window_ms":5000},
 {"name":"reservation","effect":"keyed","aim_ms":2000,"deadline_ms":5000,"late_value":0.2,"group":"all","window_ms":1200}],
 "instances":1,"me":0,"zone":"ba-east","zones":["ba-east"],"discovery":"ask","weights":"off","tick_ms":5,
 "limits":{"max_attempts":3,"conn_idle_ms":30000,"dial_timeout_ms":250,"max_open":20000,"cancel":true},
 "report":{"how":"off"},
 "safety":{"drain_grace_ms":2000,"ask_within_ms":10000,"cold_share":0.3,"cold_ms":9000,"tip_multiple":3}}"#;

/// The body of a request: one booking, as lines that name the request.
fn body_of(id: &str) -> Vec<u8> {
    (0..24)
        .map(|line| format!("line={line:02}&booking={id}&desk={line:03}\n"))
        .collect::<String>()
        .into_bytes()
}

fn request_of(id: &str) -> Vec<u8> {
    let body = body_of(id);
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Service-Class: reservation\r\nX-Account: acme\r\nX-Time-Left-Ms: {TIME_LEFT_MS}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.into_bytes(), body].concat()
}

fn answer_of(id: &str) -> String {
    format!("booked {id}")
}

/// What has gone wrong, seen by clients and servers.
#[derive(Default)]
struct Findings {
    broken: Vec<String>,
    spliced: usize,
    answered: usize,
    refused: usize,
    failed: usize,
    resent: usize,
}

type Shared = Arc<Mutex<Findings>>;

fn broken(record: &Record, findings: &Shared, text: String) {
    record.line(&format!("BROKEN {text}"));
    findings.lock().unwrap().broken.push(text);
}

fn main() {
    run_case(run)
}

fn run(setup: &Setup) -> std::io::Result<Verdict> {
    let findings: Shared = Arc::default();
    let sent: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut servers = Vec::new();
    let mut entries = Vec::new();
    for number in 0..4 {
        let (record, findings, sent) = (setup.record.clone(), findings.clone(), sent.clone());
        let handler = move |request: Message| {
            let id = request.field("x-correlation-id").to_string();
            record.line(&format!("server {number} runs {id} {}", request.first_line));
            if !sent.lock().unwrap().contains(&id) || !request.first_line.starts_with("POST /api ") {
                broken(
                    &record,
                    &findings,
                    format!("server {number} got a request that nobody sent: {request:?}"),
                );
            } else if request.body != body_of(&id) {
                findings.lock().unwrap().spliced += 1;
                let text = String::from_utf8_lossy(&request.body).replace('\r', "\\r").replace('\n', "\\n");
                broken(
                    &record,
                    &findings,
                    format!("server {number} got {id} with a body that nobody sent: {text}"),
                );
            }
            if request.body != body_of(&id) {
                return Reply::new("400 Bad Request", "", b"no client sent this\n");
            }
            sleep_ms(40);
            Reply::new("200 OK", "", answer_of(&id).as_bytes())
        };
        let server = Server::start(None, Arc::new(handler))?;
        entries.push(Entry::new(&format!("s-{number}"), server.address, "ba-east"));
        servers.push(server);
    }
    let discovery = Discovery::start(&setup.record, entries)?;
    let config =
        format!("\"discovery\":\"{}\",\"known\":{},{SETTINGS}", discovery.address, discovery.known());
    let mut gateway = Gateway::start(setup, "gateway-1", &config)?;
    if !gateway.wait_ready() {
        return Ok(Verdict::CouldNotRun);
    }
    sleep_ms(500);
    let window = if setup.trouble { WINDOW } else { 1 };
    let threads: Vec<_> = (0..CLIENT_COUNT)
        .map(|number| {
            let (setup, findings, sent) = (setup.clone(), findings.clone(), sent.clone());
            let address = gateway.address;
            std::thread::spawn(move || {
                sleep_ms(700 * number as u64);
                let mut client = Client { number, address, window, record: setup.record, findings, sent };
                client.run();
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    if let Some(end) = gateway.ended() {
        broken(&setup.record, &findings, format!("the gateway has ended: {end}"));
    }
    let found = findings.lock().unwrap();
    let Findings { answered, refused, failed, resent, spliced, .. } = *found;
    let summary = format!(
        "served {answered}, refused {refused}, failed {failed}, sent once more {resent}, broken {}, of these attempts with a body that nobody sent {spliced}",
        found.broken.len()
    );
    setup.record.line(&summary);
    println!("{summary}");
    for text in found.broken.iter().take(8) {
        println!("broken: {}", text.chars().take(300).collect::<String>());
    }
    Ok(if !found.broken.is_empty() {
        Verdict::Broken
    } else if answered < CLIENT_COUNT * REQUEST_COUNT / 2 {
        Verdict::CouldNotRun
    } else {
        Verdict::Held
    })
}

struct Client {
    number: usize,
    address: SocketAddr,
    window: usize,
    record: Record,
    findings: Shared,
    sent: Arc<Mutex<HashSet<String>>>,
}

impl Client {
    /// Sends all requests. What the gateway has not answered when it closes a connection between requests is sent
    /// once more on a new connection.
    fn run(&mut self) {
        let ids: Vec<String> = (0..REQUEST_COUNT).map(|_| new_id()).collect();
        self.sent.lock().unwrap().extend(ids.iter().cloned());
        let mut waiting: VecDeque<String> = ids.into();
        let mut tries: HashMap<String, u32> = HashMap::new();
        while !waiting.is_empty() {
            let unanswered = self.use_connection(&mut waiting, &mut tries);
            for id in unanswered.into_iter().rev() {
                if tries[&id] >= 2 {
                    self.broken(format!(
                        "client {}: {id} has no answer on a second connection either",
                        self.number
                    ));
                } else {
                    self.findings.lock().unwrap().resent += 1;
                    waiting.push_front(id);
                }
            }
        }
    }

    /// Sends requests on one connection until all are answered or the gateway closes it. Returns the requests that
    /// were sent and not answered when the gateway closed the connection.
    fn use_connection(
        &mut self, waiting: &mut VecDeque<String>, tries: &mut HashMap<String, u32>,
    ) -> Vec<String> {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return Vec::new() };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(TIME_LEFT_MS + 500)));
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut open: VecDeque<String> = VecDeque::new();
        loop {
            let mut bytes = Vec::new();
            while open.len() < self.window {
                let Some(id) = waiting.pop_front() else { break };
                *tries.entry(id.clone()).or_default() += 1;
                self.record.line(&format!("client {} sends {id}", self.number));
                bytes.extend(request_of(&id));
                open.push_back(id);
            }
            if open.is_empty() {
                return Vec::new();
            }
            // An error shows in the read below.
            let _ = stream.write_all(&bytes);
            let answer = match read_message(&mut reader) {
                Ok(Some(answer)) => answer,
                Ok(None) => {
                    self.record.line(&format!("client {}: closed with {} open", self.number, open.len()));
                    return open.into();
                }
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
                {
                    self.broken(format!(
                        "client {}: no answer in time on an open connection to {open:?}",
                        self.number
                    ));
                    return Vec::new();
                }
                Err(e) => {
                    self.record.line(&format!("client {}: {e} with {} open", self.number, open.len()));
                    return open.into();
                }
            };
            let id = open.pop_front().unwrap();
            let text = String::from_utf8_lossy(&answer.body).trim().to_string();
            self.record.line(&format!("client {} got {} {text:?} for {id}", self.number, answer.status()));
            match answer.status() {
                200 if text == answer_of(&id) => self.findings.lock().unwrap().answered += 1,
                200 => self.broken(format!("client {} got {text:?} as the answer to {id}", self.number)),
                429 | 503 => self.findings.lock().unwrap().refused += 1,
                _ => self.findings.lock().unwrap().failed += 1,
            }
            if answer.closes() {
                return open.into();
            }
        }
    }

    fn broken(&self, text: String) {
        broken(&self.record, &self.findings, text);
    }
}
