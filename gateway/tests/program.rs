//! The program as a process: start, signals, exit codes, and a lack of descriptors.

mod common;
use common::*;
use serde_json::{json, Value};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

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
fn the_program_survives_a_lack_of_descriptors() {
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
fn the_program_reports_errors_and_exits_cleanly_on_sigterm() {
    let program = || Command::new(env!("CARGO_BIN_EXE_ternstack-gateway"));
    let lost = program().env("LB_CONFIG", "nowhere.json").output().expect("it runs");
    assert!(!lost.status.success());
    assert!(String::from_utf8_lossy(&lost.stderr).contains("LB_CONFIG"));

    let plain = Program::start("", "plain", &config(vec![], ([127, 0, 0, 1], 9).into()));
    assert_eq!(plain.terminate(), Some(0));
}

#[tokio::test]
async fn sighup_rereads_the_configuration_and_never_ends_the_program() {
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
async fn an_unreadable_configuration_is_followed_once_it_can_be_read() {
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
    program.logs("LB_CONFIG: invalid JSON");
    std::fs::write(&program.file, &text).expect("written");
    assert_eq!(before.call().await.0, "/v1/endpoints");
    assert_eq!(program.terminate(), Some(0));
}

#[test]
fn sighup_during_the_start_does_not_end_the_program() {
    // Its configuration comes from a pipe, so that the test knows how far it is.
    let folder = tempfile::tempdir().expect("a folder");
    let pipe = folder.path().join("config.json");
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("it runs").success());
    let mut program = Command::new(env!("CARGO_BIN_EXE_ternstack-gateway"));
    let program = program.env("LB_CONFIG", &pipe).stderr(Stdio::piped()).spawn().expect("it runs");
    let mut program = KillOnDrop(program);
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
struct KillOnDrop(std::process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

#[test]
fn an_address_in_use_is_retried_at_the_start() {
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
async fn a_discovery_that_is_down_at_the_start_or_after_a_move_is_watched_on_its_return() {
    let (before, after) = (ReservedPort::new(), ReservedPort::new());
    let program = Program::start("", "down", &config(vec![], before.at));
    // Ready at once, on what it knows.
    let mut client = tokio::net::TcpStream::connect(&program.at).await.expect("it listens");
    client.write_all(b"GET /ready HTTP/1.1\r\n\r\n").await.expect("it reads");
    let mut start = [0; 12];
    tokio::io::AsyncReadExt::read_exact(&mut client, &mut start).await.expect("it answers");
    assert_eq!(&start, b"HTTP/1.1 200");
    program.logs("cannot connect");
    std::fs::write(&program.file, config(vec![], after.at).to_string()).expect("written");
    program.signal("HUP");
    program.logs("configuration reread");
    program.logs("cannot connect");
    let mut discovery = Discovery::start_on(after.listen());
    assert_eq!(discovery.call().await.0, "/v1/endpoints");
    assert_eq!(program.terminate(), Some(0));
}

#[tokio::test]
async fn idle_clients_that_hold_all_descriptors_do_not_block_discovery() {
    // A budget that is as large as the limit, and one that counts on more than there are and so holds nobody back.
    for (limit, sockets) in [(64, 64), (40, 256)] {
        let (mut old, mut new) = (Server::start(SERVED).await, Server::start(SERVED).await);
        let down = ReservedPort::new();
        let mut told = config(vec![target(1, old.at, "SERVING")], down.at);
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
        let mut discovery = Discovery::start_on(down.listen());
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
