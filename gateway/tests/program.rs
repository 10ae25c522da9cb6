//! The gateway as a process: startup, signals, exit codes, and a lack of descriptors.

mod common;
use common::*;
use serde_json::{json, Value};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// A running gateway process. A shell starts the process, and may lower the resource limits first. Dropping
/// the value kills the process.
struct GatewayProcess {
    child: std::process::Child,
    address: String,
    config_path: std::path::PathBuf,
    log: std::sync::mpsc::Receiver<String>,
}

impl GatewayProcess {
    /// Starts the process, and waits until the process listens. `limits` is a shell command that sets
    /// resource limits, and `name` makes the path of the configuration file unique.
    fn start(limits: &str, name: &str, config: &Value) -> Self {
        let config_path = std::env::temp_dir().join(format!("ternstack-{}-{name}.json", std::process::id()));
        std::fs::write(&config_path, config.to_string()).expect("the file is written");
        let script = format!("{limits} exec {}", env!("CARGO_BIN_EXE_ternstack-gateway"));
        let mut shell = Command::new("sh");
        let shell = shell.arg("-c").arg(script).env("LB_CONFIG", &config_path).stderr(Stdio::piped());
        let mut child = shell.spawn().expect("the shell can be run");
        let log = std::io::BufReader::new(child.stderr.take().expect("stderr is piped"));
        let (line_sender, lines) = std::sync::mpsc::channel();
        // The log is read until the process ends, so that the process never writes to a closed pipe.
        std::thread::spawn(move || {
            for line in std::io::BufRead::lines(log).map_while(Result::ok) {
                let _ = line_sender.send(line);
            }
        });
        let mut program = GatewayProcess { child, address: String::new(), config_path, log: lines };
        let line = program.wait_for_log("serving");
        let address = line.split("listen=").nth(1).and_then(|rest| rest.split(' ').next());
        program.address = address.expect("the log line contains the address").to_string();
        program
    }

    /// Waits for the next log line that contains `words`, and returns the line.
    fn wait_for_log(&self, words: &str) -> String {
        let mut lines = std::iter::from_fn(|| self.log.recv_timeout(TEST_TIMEOUT).ok());
        lines.find(|line| line.contains(words)).expect(words)
    }

    /// Sends the signal `name`, such as `HUP`.
    fn signal(&self, name: &str) {
        let kill_status =
            Command::new("sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
        assert!(kill_status.expect("the shell can be run").success());
    }

    /// Sends SIGTERM, and returns the exit code of the process.
    fn terminate(mut self) -> Option<i32> {
        self.signal("TERM");
        self.child.wait().expect("the process exits").code()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = (std::fs::remove_file(&self.config_path), self.child.kill(), self.child.wait());
    }
}

#[test]
fn the_program_serves_again_after_a_lack_of_descriptors() {
    let program =
        GatewayProcess::start("ulimit -n 40;", "few", &gateway_config(vec![], ([127, 0, 0, 1], 9).into()));
    // More clients connect than there are descriptors. The others wait in the listener's backlog.
    let clients: Vec<_> = (0..60)
        .map(|_| std::net::TcpStream::connect(&program.address).expect("the program listens on its port"))
        .collect();
    drop(clients);
    let mut client =
        std::net::TcpStream::connect(&program.address).expect("the program still listens on its port");
    std::io::Write::write_all(&mut client, b"GET /ready HTTP/1.1\r\n\r\n").expect("the connection is open");
    let mut status_line = [0; 12];
    std::io::Read::read_exact(&mut client, &mut status_line).expect("the program responds");
    assert_eq!(&status_line, b"HTTP/1.1 200");
    assert_eq!(program.terminate(), Some(0));
}

#[test]
fn the_program_reports_a_missing_configuration_and_exits_with_0_on_sigterm() {
    let program = || Command::new(env!("CARGO_BIN_EXE_ternstack-gateway"));
    let output = program().env("LB_CONFIG", "nowhere.json").output().expect("the program can be run");
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("LB_CONFIG"));

    let process = GatewayProcess::start("", "plain", &gateway_config(vec![], ([127, 0, 0, 1], 9).into()));
    assert_eq!(process.terminate(), Some(0));
}

#[tokio::test]
async fn sighup_rereads_the_configuration_and_does_not_apply_an_invalid_one() {
    let (mut old_discovery, mut new_discovery) = (StubDiscovery::start().await, StubDiscovery::start().await);
    let program = GatewayProcess::start("", "hangup", &gateway_config(vec![], old_discovery.address));
    let (_, _pending_responder) = old_discovery.next_poll().await;
    // An invalid configuration is logged with its key, and the old configuration stays in force.
    std::fs::write(
        &program.config_path,
        gateway_config(vec![], new_discovery.address).to_string().replace("\"look\"", "7"),
    )
    .expect("the file is written");
    program.signal("HUP");
    assert!(program.wait_for_log("stays in force").contains("classes[].name"));
    std::fs::write(&program.config_path, gateway_config(vec![], new_discovery.address).to_string())
        .expect("the file is written");
    program.signal("HUP");
    assert_eq!(new_discovery.next_poll().await.0, "/v1/endpoints");
    assert_eq!(program.terminate(), Some(0));
}

#[tokio::test]
async fn a_configuration_that_cannot_be_reread_is_applied_once_it_can_be_read() {
    let (mut old_discovery, mut new_discovery) = (StubDiscovery::start().await, StubDiscovery::start().await);
    let program = GatewayProcess::start("", "unreadable", &gateway_config(vec![], old_discovery.address));
    let (_, _pending_responder) = old_discovery.next_poll().await;
    std::fs::remove_file(&program.config_path).expect("the file is removed");
    program.signal("HUP");
    program.wait_for_log("LB_CONFIG");
    std::fs::write(&program.config_path, gateway_config(vec![], new_discovery.address).to_string())
        .expect("the file is written");
    assert_eq!(new_discovery.next_poll().await.0, "/v1/endpoints");
    // The file contains half of the configuration, as it may while another process is writing the file.
    let text = gateway_config(vec![], old_discovery.address).to_string();
    std::fs::write(&program.config_path, &text[..text.len() / 2]).expect("the file is written");
    program.signal("HUP");
    program.wait_for_log("LB_CONFIG: invalid JSON");
    std::fs::write(&program.config_path, &text).expect("the file is written");
    assert_eq!(old_discovery.next_poll().await.0, "/v1/endpoints");
    assert_eq!(program.terminate(), Some(0));
}

#[test]
fn sighup_during_startup_does_not_end_the_program() {
    // The program reads its configuration from a pipe, so that the test controls when startup continues.
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let pipe = directory.path().join("config.json");
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo can be run").success());
    let mut program = Command::new(env!("CARGO_BIN_EXE_ternstack-gateway"));
    let program =
        program.env("LB_CONFIG", &pipe).stderr(Stdio::piped()).spawn().expect("the program can be run");
    let mut program = KillOnDrop(program);
    // Opening the pipe for writing blocks until the program opens the pipe for reading.
    let mut writer = std::fs::File::options().write(true).open(&pipe).expect("the pipe is opened");
    let kill_status = Command::new("sh").arg("-c").arg(format!("kill -HUP {}", program.0.id())).status();
    assert!(kill_status.expect("the shell can be run").success());
    let text = gateway_config(vec![], ([127, 0, 0, 1], 9).into()).to_string();
    std::io::Write::write_all(&mut writer, text.as_bytes()).expect("the program reads the pipe");
    drop(writer);
    let log = std::io::BufReader::new(program.0.stderr.take().expect("stderr is piped"));
    let mut lines = std::io::BufRead::lines(log).map_while(Result::ok);
    assert!(
        lines.any(|line| line.contains("serving")),
        "the program logs that it is serving; exit status: {:?}",
        program.0.try_wait()
    );
}

/// A process that is killed when the value is dropped.
struct KillOnDrop(std::process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

#[test]
fn binding_to_an_address_in_use_is_retried_at_startup() {
    let held_listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port is bound");
    let mut config = gateway_config(vec![], ([127, 0, 0, 1], 9).into());
    config["listen"] = json!(held_listener.local_addr().expect("a listener has an address").to_string());
    let releasing_thread = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(500));
        drop(held_listener);
    });
    let program = GatewayProcess::start("", "held", &config);
    releasing_thread.join().expect("the releasing thread does not panic");
    assert_eq!(program.terminate(), Some(0));
}

// Guards against the age of a cached list that counts only from the time at which the gateway listens.
#[tokio::test]
async fn the_age_of_a_cached_list_counts_from_the_start_of_the_process() {
    const DRAIN_GRACE: Duration = Duration::from_millis(400);
    let mut server = StubServer::start(SERVE).await;
    let held_listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port is bound");
    let mut config =
        gateway_config(vec![endpoint_entry(1, server.address, "SERVING")], refusing_address().await);
    config["listen"] = json!(held_listener.local_addr().expect("a listener has an address").to_string());
    config["settings"]["discovery"] = "push".into();
    config["settings"]["safety"] = json!({"drain_grace_ms": DRAIN_GRACE.as_millis() as u64});
    let releasing_thread = std::thread::spawn(move || {
        std::thread::sleep(DRAIN_GRACE * 3);
        drop(held_listener);
    });
    let program = GatewayProcess::start("", "aged", &config);
    releasing_thread.join().expect("the releasing thread does not panic");
    let stream =
        tokio::net::TcpStream::connect(&program.address).await.expect("the program listens on its port");
    let response = Client { stream }.request(&look_request("late")).await;
    assert_eq!(response.start_line.code, 503, "the list became stale before the program listened");
    assert_eq!(server.take_events(), (vec![], 0));
    program.wait_for_log("endpoint list stale");
    assert_eq!(program.terminate(), Some(0));
}

#[tokio::test]
async fn a_discovery_that_is_down_at_startup_or_at_a_new_address_is_watched_once_it_listens() {
    let (old_port, new_port) = (ReservedPort::new(), ReservedPort::new());
    let program = GatewayProcess::start("", "down", &gateway_config(vec![], old_port.address));
    // The program is ready at once, with the cached endpoint list.
    let mut client =
        tokio::net::TcpStream::connect(&program.address).await.expect("the program listens on its port");
    client.write_all(b"GET /ready HTTP/1.1\r\n\r\n").await.expect("the connection is open");
    let mut status_line = [0; 12];
    tokio::io::AsyncReadExt::read_exact(&mut client, &mut status_line).await.expect("the program responds");
    assert_eq!(&status_line, b"HTTP/1.1 200");
    program.wait_for_log("cannot connect");
    std::fs::write(&program.config_path, gateway_config(vec![], new_port.address).to_string())
        .expect("the file is written");
    program.signal("HUP");
    program.wait_for_log("configuration reread");
    program.wait_for_log("cannot connect");
    let mut discovery = StubDiscovery::start_on(new_port.listen());
    assert_eq!(discovery.next_poll().await.0, "/v1/endpoints");
    assert_eq!(program.terminate(), Some(0));
}

#[tokio::test]
async fn idle_clients_that_hold_all_descriptors_do_not_block_discovery() {
    // A budget equal to the descriptor_limit of the process, and a budget above the descriptor_limit, which
    // therefore refuses no client.
    for (descriptor_limit, sockets) in [(64, 64), (40, 256)] {
        let (mut draining_server, mut serving_server) =
            (StubServer::start(SERVE).await, StubServer::start(SERVE).await);
        let discovery_port = ReservedPort::new();
        let mut config = gateway_config(
            vec![endpoint_entry(1, draining_server.address, "SERVING")],
            discovery_port.address,
        );
        config["limits"]["sockets"] = json!(sockets);
        let program = GatewayProcess::start(&format!("ulimit -n {descriptor_limit};"), "filled", &config);
        let (address, keep_filling) = (program.address.clone(), Arc::new(AtomicBool::new(true)));
        let is_filling = keep_filling.clone();
        // The clients run in a thread of their own, because waiting for a log line blocks the current thread.
        let filling_thread = std::thread::spawn(move || {
            let mut clients: Vec<std::net::TcpStream> = Vec::new();
            while is_filling.load(Ordering::Relaxed) {
                clients.retain(|stream| !matches!(std::io::Read::read(&mut &*stream, &mut [0; 1]), Ok(0)));
                while clients.len() < 100 {
                    let stream =
                        std::net::TcpStream::connect(&address).expect("the program listens on its port");
                    stream.set_nonblocking(true).expect("the socket can be made non-blocking");
                    clients.push(stream);
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        // After these log lines, clients have taken every descriptor that became free, many times over.
        if sockets > descriptor_limit {
            program.wait_for_log("cannot accept");
        }
        for _ in 0..5 {
            program.wait_for_log("cannot connect: Connection refused");
        }
        let mut discovery = StubDiscovery::start_on(discovery_port.listen());
        let (_, responder) = discovery.next_poll().await;
        let delta = vec![
            endpoint_entry(1, draining_server.address, "DRAINING"),
            endpoint_entry(2, serving_server.address, "SERVING"),
        ];
        responder
            .send(ok_response(&endpoint_list(42, false, delta)))
            .expect("the poll waits for its response");
        let _pending_responder = discovery.next_poll().await;
        // With a budget equal to the limit, the program also serves requests, possibly after rejecting some.
        let mut is_served = sockets > descriptor_limit;
        for _ in 0..200 {
            if !is_served {
                let stream = tokio::net::TcpStream::connect(&program.address)
                    .await
                    .expect("the program listens on its port");
                let mut client = Client { stream };
                let _ = client.stream.write_all(look_request("a").as_bytes()).await;
                is_served =
                    client.read_response().await.is_some_and(|response| response.start_line.code == 200);
            }
        }
        assert!(is_served, "a request is served");
        assert_eq!(serving_server.take_events().0.contains(&"a".to_string()), sockets == descriptor_limit);
        assert!(draining_server.take_events().0.is_empty(), "no request is sent to the draining endpoint");
        keep_filling.store(false, Ordering::Relaxed);
        filling_thread.join().expect("the filling thread does not panic");
        assert_eq!(program.terminate(), Some(0));
    }
}
