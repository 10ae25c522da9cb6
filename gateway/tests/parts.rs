//! The parts by themselves: how attempts end, the clock, the configuration, and the program.

mod common;
use bytes::Bytes;
use common::*;
use serde_json::{json, Value};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use ternstack_balancer::{EndpointId, LoadReport, Outcome, RequestId};
use ternstack_gateway::clock::Clock;
use ternstack_gateway::config::Config;
use ternstack_gateway::descriptors::Descriptors;
use ternstack_gateway::events::{AttemptResult, GatewayEvent, RawRequest};
use ternstack_gateway::upstream::{parse_load_report, Attempt, Cancellation, Purpose, Upstream};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout, Instant};

/// A way to the upstream with its queue.
struct Upstreams {
    side: Upstream,
    inputs: mpsc::Receiver<GatewayEvent>,
    number: u32,
    incarnation: std::sync::Arc<()>,
    send_by: Option<Instant>,
}

impl Upstreams {
    fn new(most: usize, idle_ms: f64) -> Self {
        let (queue, inputs) = mpsc::channel(16);
        Upstreams {
            side: Upstream::new(queue, Descriptors::new(most), idle_ms, Duration::from_secs(20)),
            inputs,
            number: 0,
            incarnation: std::sync::Arc::new(()),
            send_by: None,
        }
    }

    fn start(&mut self, address: std::net::SocketAddr, patience: Duration) -> oneshot::Sender<Cancellation> {
        let (call_off, cancelled) = oneshot::channel();
        let raw = RawRequest {
            before_time_left: Bytes::from_static(
                b"GET /api HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: ",
            ),
            after_time_left: Bytes::from_static(b"\r\n\r\n"),
            body: Bytes::new(),
        };
        let purpose = Purpose::Request { id: RequestId(7), attempt: self.number };
        let give_up_at = Instant::now() + patience;
        self.number += 1;
        let (server, incarnation) =
            (EndpointId(u32::from(address.port())), std::sync::Arc::downgrade(&self.incarnation));
        let send_by = self.send_by;
        self.side.start(Attempt {
            purpose,
            server,
            incarnation,
            address,
            raw,
            give_up_at,
            send_by,
            cancelled,
        });
        call_off
    }

    async fn end(&mut self) -> AttemptResult {
        match timeout(LONG, self.inputs.recv()).await.expect("an end") {
            Some(GatewayEvent::AttemptEnded(end)) => end,
            other => panic!("{other:?}"),
        }
    }

    async fn outcome(&mut self, address: std::net::SocketAddr, patience: Duration) -> (Outcome, LoadReport) {
        let _call_off = self.start(address, patience);
        let end = self.end().await;
        assert_eq!(end.attempt + 1, self.number);
        assert_eq!(end.response.is_some(), end.outcome == Outcome::Served);
        (end.outcome, end.report)
    }
}

#[tokio::test]
async fn every_way_an_attempt_can_end_has_its_outcome_and_its_report() {
    let report = |u, t| LoadReport { utilization: u, throughput_per_s: t, queue_length: None };
    let none = LoadReport::default();
    for (does, outcome, told) in [
        (SERVED, Outcome::Served, report(Some(0.5), Some(20.0))),
        (TURNED_AWAY, Outcome::Rejected, none),
        (
            Does::Answer("HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nX-Backend-Load: util=1, qps=x\r\n\r\n"),
            Outcome::ServerError, // A body up to the end of a connection that stays open.
            none,
        ),
        (
            Does::AnswerAndClose(
                "HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nX-Backend-Load: util=1, qps=x\r\n\r\n",
            ),
            Outcome::Rejected,
            report(Some(1.0), None),
        ),
        (
            Does::Answer(
                "HTTP/1.1 503 No\r\nContent-Length: 0\r\nX-Backend-Load: utilization=0.749,throughput=19.651\r\n\r\n",
            ),
            Outcome::ServerError,
            report(Some(0.749), Some(19.651)),
        ),
        (Does::Answer("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), Outcome::ServerError, none),
        (Does::Answer("HTTP/1.1 204 No\r\n\r\n"), Outcome::ServerError, none),
        // Less comes than is said to, and nothing more ever.
        (
            Does::Answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndesk"),
            Outcome::ServerError,
            none,
        ),
        (Does::Answer("what?\r\n\r\n"), Outcome::ServerError, none),
        (Does::Answer("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n"), Outcome::ServerError, none),
        (
            Does::AnswerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndesk"),
            Outcome::ConnectionLost,
            none,
        ),
        (Does::Close, Outcome::ConnectionLost, none),
        (Does::Nothing, Outcome::ResponseTimeout, none),
    ] {
        let server = Server::start(does).await;
        let patience = if outcome == Outcome::ResponseTimeout { Duration::from_secs(1) } else { LONG };
        let (seen, report) = Upstreams::new(4, 30_000.0).outcome(server.at, patience).await;
        assert_eq!((seen, report), (outcome, told));
    }
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("it");
    assert_eq!(Upstreams::new(4, 30_000.0).outcome(free, LONG).await.0, Outcome::ConnectFailed);

    // A repeat whose time is over when its connection is up is not sent.
    let mut server = Server::start(SERVED).await;
    let mut late = Upstreams::new(4, 30_000.0);
    late.send_by = Some(Instant::now());
    assert_eq!(late.outcome(server.at, LONG).await.0, Outcome::NotSent);
    assert!(matches!((server.next().await, server.next().await), (Seen::Connected, Seen::Ended)));

    let mut server = Server::start(Does::Nothing).await;
    let mut upstream = Upstreams::new(4, 30_000.0);
    let call_off = upstream.start(server.at, LONG);
    while !matches!(server.next().await, Seen::Request(_)) {}
    call_off.send(Cancellation::Always).expect("it is out");
    assert_eq!(upstream.end().await.outcome, Outcome::Cancelled);
    // An answer may still be due on that connection: it is closed.
    while !matches!(server.next().await, Seen::Ended) {}
}

#[tokio::test]
async fn connections_stay_under_the_most_and_end_before_they_have_been_idle_too_long() {
    let (mut quick, mut other, mut slow) =
        (Server::start(SERVED).await, Server::start(SERVED).await, Server::start(Does::Nothing).await);
    let mut upstream = Upstreams::new(2, 30_000.0);
    let _first = upstream.start(slow.at, LONG);
    while !matches!(slow.next().await, Seen::Request(_)) {}
    assert_eq!(upstream.outcome(quick.at, LONG).await.0, Outcome::Served);
    upstream.number = 2;
    // The idle connection makes room for one to another server.
    assert_eq!(upstream.outcome(other.at, LONG).await.0, Outcome::Served);
    while !matches!(quick.next().await, Seen::Ended) {}
    // With none idle, nothing is sent, and no server is blamed.
    let _second = upstream.start(slow.at, LONG);
    while !matches!(slow.next().await, Seen::Request(_)) {}
    assert_eq!(upstream.outcome(quick.at, LONG).await.0, Outcome::NotSent);
    assert_eq!((quick.so_far().1, other.so_far().1), (0, 1));

    let mut brief = Upstreams::new(2, 100.0);
    let mut server = Server::start(SERVED).await;
    assert_eq!(brief.outcome(server.at, LONG).await.0, Outcome::Served);
    while !matches!(server.next().await, Seen::Ended) {}
}

#[tokio::test]
async fn a_server_that_started_anew_inherits_no_connection() {
    let server = Peer::start().await;
    let mut upstream = Upstreams::new(4, 30_000.0);
    let _out = upstream.start(server.at, LONG);
    // Its present life ends while an attempt is out there: that one's connection carries nothing more.
    let mut first = server.accept().await;
    first.request().await.expect("it is sent");
    upstream.incarnation = std::sync::Arc::new(());
    first.write(DESK).await;
    assert_eq!(upstream.end().await.outcome, Outcome::Served);
    assert!(first.ends().await, "nothing is left to read there");
    let mut out = vec![upstream.start(server.at, LONG)];
    let mut second = server.accept().await;
    for again in [true, false] {
        second.request().await.expect("it is sent");
        second.write(DESK).await;
        assert_eq!(upstream.end().await.outcome, Outcome::Served);
        if again {
            out.push(upstream.start(server.at, LONG));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn the_clock_keeps_unix_time_and_its_instants_are_never_early() {
    let clock = Clock::start();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    assert!((clock.now() - unix.as_secs_f64() * 1000.0).abs() < 60_000.0);
    let start = clock.now();
    for n in 0..20_000 {
        let ms = start + f64::from(n) * 0.377;
        assert!(clock.at(clock.instant(ms)) >= ms, "{n}");
    }
    tokio::time::sleep_until(clock.instant(start + 12.3)).await;
    assert!(clock.now() >= start + 12.3 && clock.now() < start + 15.0);
    assert!(clock.instant(f64::INFINITY) > clock.instant(start));
}

#[test]
fn a_bad_configuration_names_the_faulty_key() {
    let good = config(
        vec![target(1, "127.0.0.1:9".parse().expect("an address"), "SERVING")],
        ([127, 0, 0, 1], 9).into(),
    );
    let read = |config: &Value, name: &str, value: &str| {
        Config::read(&config.to_string(), |asked| (asked == name).then(|| value.to_string()))
    };
    let told = read(&good, "LB_LISTEN", "127.0.0.1:4000").expect("sound");
    assert_eq!((told.listen.port(), told.seed, told.sockets), (4000, 0x8c1f_30d2_7a5b_e964, 256));
    assert!(read(&good, "LB_LISTEN", "here").unwrap_err().to_string().starts_with("LB_LISTEN"));
    assert!(read(&good, "LB_LOG", "loud").unwrap_err().to_string().starts_with("LB_LOG"));
    for (path, value, key) in [
        ("/listen", json!("nowhere"), "listen"),
        ("/discovery", json!(7), "discovery"),
        ("/seed", json!("xyz"), "seed"),
        ("/limits/sockets", json!(3), "limits.sockets"),
        ("/known/targets/0/state", json!("NAPPING"), "known"),
        ("/known/targets/0/endpoint", Value::Null, "endpoint"),
        ("/settings/classes", json!([]), "classes"),
        ("/settings/classes/0/deadline_ms", json!(-1), "classes.deadline_ms"),
        ("/settings/classes/0/effect", json!("odd"), "classes[].effect"),
        ("/settings/limits/dial_timeout_ms", json!(0), "limits.dial_timeout_ms"),
        ("/settings/limits/max_open", json!("many"), "limits.max_open"),
        ("/settings", json!(1), "settings"),
        ("/settings/discovery", json!("pull"), "discovery"),
        ("/settings/discovery", json!(true), "discovery"),
        ("/settings/report/how", json!("sometimes"), "report.how"),
        ("/settings/instances", json!(-3), "instances"),
        ("/settings/instances", json!("two"), "instances"),
        ("/settings/tick_ms", json!(0), "tick_ms"),
        ("/settings/tick_ms", json!(-5), "tick_ms"),
        ("/settings/limits/max_attempts", json!(0), "max_attempts"),
        ("/settings/limits/max_open", json!(-1), "limits.max_open"),
        ("/settings/limits/conn_idle_ms", json!(-1), "idle_ms"),
        ("/settings/limits/cancel", json!("yes"), "limits.cancel"),
        ("/settings/classes/0/aim_ms", json!(-8), "classes.aim_ms"),
        ("/settings/classes/0/late_value", json!(7), "classes.late_value"),
        ("/settings/classes/1/window_ms", json!(-1), "classes.window_ms"),
        ("/settings/tenants", json!({}), "tenants"),
    ] {
        let mut bad = good.clone();
        *bad.pointer_mut(path).expect("it is there") = value;
        let problem = read(&bad, "", "").expect_err(path).to_string();
        assert!(problem.contains(key) && problem.starts_with("LB_CONFIG"), "{path}: {problem}");
    }
    let mut alone = good.clone();
    alone["settings"]["me"] = json!(1);
    assert!(read(&alone, "", "")
        .expect_err("one gateway is number 0")
        .to_string()
        .contains("me must be below instances"));
}

/// The program, started by a shell that may first lower its limits; ended if the test fails.
struct Program {
    child: std::process::Child,
    at: String,
    file: std::path::PathBuf,
    log: std::sync::mpsc::Receiver<String>,
}

impl Program {
    fn start(limits: &str, name: &str, config: &Value) -> Self {
        let file = std::env::temp_dir().join(format!("ternstack-{}-{name}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).expect("it is written");
        let script = format!("{limits} exec {}", env!("CARGO_BIN_EXE_ternstack-gateway"));
        let mut shell = Command::new("sh");
        let shell = shell.arg("-c").arg(script).env("LB_CONFIG", &file).stderr(Stdio::piped());
        let mut child = shell.spawn().expect("it runs");
        let log = std::io::BufReader::new(child.stderr.take().expect("a log"));
        let (tell, lines) = std::sync::mpsc::channel();
        // The log is read to its end, so that the program never writes to a closed pipe.
        std::thread::spawn(move || {
            for line in std::io::BufRead::lines(log).map_while(Result::ok) {
                let _ = tell.send(line);
            }
        });
        let mut program = Program { child, at: String::new(), file, log: lines };
        let line = program.logs("serving");
        let at = line.split("listen=").nth(1).and_then(|rest| rest.split(' ').next());
        program.at = at.expect("an address").to_string();
        program
    }

    /// The next log line with these words.
    fn logs(&self, words: &str) -> String {
        let mut lines = std::iter::from_fn(|| self.log.recv_timeout(LONG).ok());
        lines.find(|line| line.contains(words)).expect(words)
    }

    fn signal(&self, name: &str) {
        let kill = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
        assert!(kill.expect("a shell").success());
    }

    fn terminate(mut self) -> Option<i32> {
        self.signal("TERM");
        self.child.wait().expect("it ends").code()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = (std::fs::remove_file(&self.file), self.child.kill(), self.child.wait());
    }
}

#[test]
fn the_program_outlives_a_lack_of_descriptors() {
    let program = Program::start("ulimit -n 40;", "few", &config(vec![], ([127, 0, 0, 1], 9).into()));
    // More clients than descriptors: the rest wait in the listener's queue.
    let clients: Vec<_> =
        (0..60).map(|_| std::net::TcpStream::connect(&program.at).expect("it listens")).collect();
    drop(clients);
    let mut client = std::net::TcpStream::connect(&program.at).expect("it still listens");
    std::io::Write::write_all(&mut client, b"GET /ready HTTP/1.1\r\n\r\n").expect("it reads");
    let mut start = [0; 12];
    std::io::Read::read_exact(&mut client, &mut start).expect("it answers");
    assert_eq!(&start, b"HTTP/1.1 200");
    assert_eq!(program.terminate(), Some(0));
}

#[test]
fn the_program_says_what_is_wrong_and_ends_well_when_told_to() {
    let program = || Command::new(env!("CARGO_BIN_EXE_ternstack-gateway"));
    let lost = program().env("LB_CONFIG", "nowhere.json").output().expect("it runs");
    assert!(!lost.status.success());
    assert!(String::from_utf8_lossy(&lost.stderr).contains("LB_CONFIG"));

    let plain = Program::start("", "plain", &config(vec![], ([127, 0, 0, 1], 9).into()));
    assert_eq!(plain.terminate(), Some(0));
}

#[tokio::test]
async fn a_hangup_rereads_the_configuration_and_never_ends_the_program() {
    let (mut before, mut after) = (Discovery::start().await, Discovery::start().await);
    let program = Program::start("", "hangup", &config(vec![], before.at));
    let (_, _waiting) = before.call().await;
    // What is wrong is told by its key, and the old configuration stays.
    std::fs::write(&program.file, config(vec![], after.at).to_string().replace("\"look\"", "7"))
        .expect("written");
    program.signal("HUP");
    assert!(program.logs("stays in force").contains("classes[].name"));
    std::fs::write(&program.file, config(vec![], after.at).to_string()).expect("written");
    program.signal("HUP");
    assert_eq!(after.call().await.0, "/v1/endpoints");
    assert_eq!(program.terminate(), Some(0));
}

#[tokio::test]
async fn a_new_configuration_that_cannot_be_read_yet_is_followed_once_it_can() {
    let (mut before, mut after) = (Discovery::start().await, Discovery::start().await);
    let program = Program::start("", "unreadable", &config(vec![], before.at));
    let (_, _waiting) = before.call().await;
    std::fs::remove_file(&program.file).expect("it was there");
    program.signal("HUP");
    program.logs("LB_CONFIG");
    std::fs::write(&program.file, config(vec![], after.at).to_string()).expect("written");
    assert_eq!(after.call().await.0, "/v1/endpoints");
    // Half written, as another process that writes it leaves it for a moment.
    let text = config(vec![], before.at).to_string();
    std::fs::write(&program.file, &text[..text.len() / 2]).expect("written");
    program.signal("HUP");
    program.logs("LB_CONFIG is no JSON");
    std::fs::write(&program.file, &text).expect("written");
    assert_eq!(before.call().await.0, "/v1/endpoints");
    assert_eq!(program.terminate(), Some(0));
}

#[test]
fn a_hangup_that_comes_while_the_program_starts_does_not_end_it() {
    // Its configuration comes from a pipe, so that the test knows how far it is.
    let folder = tempfile::tempdir().expect("a folder");
    let pipe = folder.path().join("config.json");
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("it runs").success());
    let mut program = Command::new(env!("CARGO_BIN_EXE_ternstack-gateway"));
    let program = program.env("LB_CONFIG", &pipe).stderr(Stdio::piped()).spawn().expect("it runs");
    let mut program = Ended(program);
    // This waits until the program reads.
    let mut writer = std::fs::File::options().write(true).open(&pipe).expect("a pipe");
    let hangup = Command::new("sh").arg("-c").arg(format!("kill -HUP {}", program.0.id())).status();
    assert!(hangup.expect("a shell").success());
    let text = config(vec![], ([127, 0, 0, 1], 9).into()).to_string();
    std::io::Write::write_all(&mut writer, text.as_bytes()).expect("it reads");
    drop(writer);
    let log = std::io::BufReader::new(program.0.stderr.take().expect("a log"));
    let mut lines = std::io::BufRead::lines(log).map_while(Result::ok);
    assert!(lines.any(|line| line.contains("serving")), "it has ended: {:?}", program.0.try_wait());
}

/// A process that does not outlive its test.
struct Ended(std::process::Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

#[test]
fn an_address_that_its_predecessor_still_holds_is_waited_for() {
    let held = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut told = config(vec![], ([127, 0, 0, 1], 9).into());
    told["listen"] = json!(held.local_addr().expect("an address").to_string());
    let releasing = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(500));
        drop(held);
    });
    let program = Program::start("", "held", &told);
    releasing.join().expect("released");
    assert_eq!(program.terminate(), Some(0));
}

#[tokio::test]
async fn a_discovery_that_is_down_as_the_program_starts_and_as_it_moves_is_heard_on_its_return() {
    let (before, after) = (nobody().await, nobody().await);
    let program = Program::start("", "down", &config(vec![], before));
    // Ready at once, on what it knows.
    let mut client = tokio::net::TcpStream::connect(&program.at).await.expect("it listens");
    client.write_all(b"GET /ready HTTP/1.1\r\n\r\n").await.expect("it reads");
    let mut start = [0; 12];
    tokio::io::AsyncReadExt::read_exact(&mut client, &mut start).await.expect("it answers");
    assert_eq!(&start, b"HTTP/1.1 200");
    program.logs("cannot connect");
    std::fs::write(&program.file, config(vec![], after).to_string()).expect("written");
    program.signal("HUP");
    program.logs("configuration reread");
    program.logs("cannot connect");
    let mut discovery = Discovery::start_at(after).await;
    assert_eq!(discovery.call().await.0, "/v1/endpoints");
    assert_eq!(program.terminate(), Some(0));
}

#[tokio::test]
async fn idle_clients_that_fill_the_descriptors_do_not_keep_discovery_from_being_heard() {
    // A budget that is as large as the limit, and one that counts on more than there are and so holds nobody back.
    for (limit, sockets) in [(64, 64), (40, 256)] {
        let (mut old, mut new) = (Server::start(SERVED).await, Server::start(SERVED).await);
        let down = nobody().await;
        let mut told = config(vec![target(1, old.at, "SERVING")], down);
        told["limits"]["sockets"] = json!(sockets);
        let program = Program::start(&format!("ulimit -n {limit};"), "filled", &told);
        let (at, full) = (program.at.clone(), Arc::new(AtomicBool::new(true)));
        let fills = full.clone();
        // A thread of its own, since waiting for a log line holds up this one.
        let filling = std::thread::spawn(move || {
            let mut held: Vec<std::net::TcpStream> = Vec::new();
            while fills.load(Ordering::Relaxed) {
                held.retain(|stream| !matches!(std::io::Read::read(&mut &*stream, &mut [0; 1]), Ok(0)));
                while held.len() < 100 {
                    let stream = std::net::TcpStream::connect(&at).expect("it listens");
                    stream.set_nonblocking(true).expect("a socket");
                    held.push(stream);
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        // By then clients have come for whatever was free, many times over.
        if sockets > limit {
            program.logs("cannot accept");
        }
        for _ in 0..5 {
            program.logs("cannot connect: Connection refused");
        }
        let mut discovery = Discovery::start_at(down).await;
        let (_, answer) = discovery.call().await;
        let change = vec![target(1, old.at, "DRAINING"), target(2, new.at, "SERVING")];
        answer.send(ok(&list(42, false, change))).expect("asked");
        let _waiting = discovery.call().await;
        // It serves as well, within its budget; a client that is told to come back does.
        let mut served = sockets > limit;
        for _ in 0..200 {
            if !served {
                let stream = tokio::net::TcpStream::connect(&program.at).await.expect("it listens");
                let mut client = Client { stream };
                let _ = client.stream.write_all(look("a").as_bytes()).await;
                served = client.answer().await.is_some_and(|answer| answer.start_line.code == 200);
            }
        }
        assert!(served, "nobody is served");
        assert_eq!(new.so_far().0.contains(&"a".to_string()), sockets == limit);
        assert!(old.so_far().0.is_empty(), "it drains");
        full.store(false, Ordering::Relaxed);
        filling.join().expect("it filled");
        assert_eq!(program.terminate(), Some(0));
    }
}

#[test]
fn a_replaced_file_goes_before_the_variable_that_cannot_change() {
    let text = config(vec![], ([127, 0, 0, 1], 9).into()).to_string();
    let variable = |name: &str| (name == "LB_DISCOVERY").then(|| "127.0.0.1:8".to_string());
    assert_eq!(Config::read(&text, variable).expect("sound").discovery.port(), 8);
    assert_eq!(Config::reread(&text, variable).expect("sound").discovery.port(), 9);
    let text = text.replace("\"discovery\":\"127", "\"elsewhere\":\"127");
    assert_eq!(Config::reread(&text, variable).expect("sound").discovery.port(), 8);
}

#[tokio::test]
async fn a_connection_that_takes_no_option_still_carries_what_it_is_given() {
    // Such a socket refuses TCP_NODELAY as one of another family does.
    let (ours, theirs) = std::os::unix::net::UnixStream::pair().expect("a pair");
    ours.set_nonblocking(true).expect("non-blocking");
    let odd = std::net::TcpStream::from(std::os::fd::OwnedFd::from(ours));
    assert!(odd.set_nodelay(true).is_err(), "the option is taken: this test shows nothing");
    let odd = tokio::net::TcpStream::from_std(odd).expect("a stream");
    let mut stream = ternstack_gateway::sockets::opened(Ok(odd)).expect("a connection that goes on");
    stream.write_all(b"attempt").await.expect("written");
    drop(stream);
    let mut read = String::new();
    std::io::Read::read_to_string(&mut &theirs, &mut read).expect("read");
    assert_eq!(read, "attempt");
}

#[test]
fn a_report_is_read_in_either_form_and_what_is_absurd_is_left_out() {
    let whole = LoadReport { utilization: Some(0.61), throughput_per_s: Some(12.0), queue_length: Some(2.0) };
    for text in [
        "util=0.61,qps=12,queue=2",
        " utilization = 0.61 , throughput=12.0, backlog=2,inflight=7",
        r#"{"util":0.61,"qps":12,"queue":2,"novel":{"a":[]}}"#,
    ] {
        assert_eq!(parse_load_report(text), whole, "{text}");
    }
    for value in ["", "-1", "NaN", "inf", "-inf", "1e999", "0x3", "many", "null", "\u{0}"] {
        let pairs = format!("util={value},qps={value},queue={value}");
        let json = format!(r#"{{"util":{value:?},"qps":{value:?},"queue":{value:?}}}"#);
        for text in [pairs, json, value.to_string()] {
            assert_eq!(parse_load_report(&text), LoadReport::default(), "{text}");
        }
    }
}
