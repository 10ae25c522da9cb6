//! A gateway that has an operator file and follows a control server instead of discovery: changes that are
//! proposed to the primary apply to requests. No result depends on the speed of the machine.
mod common;
use common::*;
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use ternstack_control_plane::admin_client;
use ternstack_control_plane::clock::Clock;
use ternstack_control_plane::frames::{write_message, FrameReader, ReceivedMessage};
use ternstack_control_plane::operator_file::{parse_changes, OperatorFile};
use ternstack_control_plane::server::ControlServer;
use ternstack_gateway::control::ControlConfig;
use ternstack_replication::lessor::Lessor;
use ternstack_replication::scope::ChangeSet;
use ternstack_replication::store::Store;
use ternstack_replication::wire::Message;
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Returns an operator file with one control server, the primary, at the address `primary`.
fn operator_file_text(primary: SocketAddr, snapshot: Option<&Path>) -> String {
    let snapshot = snapshot
        .map_or(String::new(), |path| format!("snapshot = {:?}\nsnapshot_every_s = 1\n", path.display()));
    format!(
        "[terms]\nlease_ms = 700.0\nbatch_ms = 20.0\n\n[[zone]]\nname = \"a\"\nnumber = 1\nregion = \"north\"\n\n\
         [[zone]]\nname = \"b\"\nnumber = 2\nregion = \"north\"\n\n[[service]]\nname = \"desks\"\nnumber = 7\n\n\
         [[machine]]\nname = \"o\"\naddress = \"{primary}\"\nrole = \"origin\"\nzone = \"a\"\n\n\
         [gateway]\nname = \"g\"\nzone = \"a\"\nservices = [\"desks\"]\n{snapshot}"
    )
}

/// Returns the section of a changes file that sets the state of a host.
fn host_section(number: usize, address: SocketAddr, state: &str, zone: &str) -> String {
    format!(
        "[[host]]\nservice = \"desks\"\nuid = \"s-{number}\"\nstate = \"{state}\"\n\
         address = \"{address}\"\nzone = \"{zone}\"\n"
    )
}

/// A primary control server, and the operator file with which the test proposes changes to the primary.
struct Primary {
    address: SocketAddr,
    operator_file: OperatorFile,
    task: JoinHandle<()>,
}

impl Primary {
    async fn start(snapshot: Option<&Path>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is bound");
        let address = listener.local_addr().expect("a listener has an address");
        let operator_file = OperatorFile::parse("op.toml", &operator_file_text(address, snapshot))
            .expect("the operator file is valid");
        let run = ControlServer::primary("o", operator_file.lease, Store::new()).run(listener);
        Primary { address, operator_file, task: tokio::spawn(async move { match run.await {} }) }
    }

    fn control(&self) -> Option<ControlConfig> {
        ControlConfig::new(&self.operator_file)
    }

    /// Proposes changes, and waits until they are in force.
    async fn propose(&self, text: &str) {
        let changes =
            parse_changes(&self.operator_file, "changes.toml", text).expect("the changes are valid");
        let revision = admin_client::propose(self.address, changes, TEST_TIMEOUT)
            .await
            .expect("the primary accepts the changes");
        let waited = timeout(TEST_TIMEOUT, async {
            while admin_client::status(self.address, TEST_TIMEOUT)
                .await
                .expect("the primary responds")
                .in_force
                < revision
            {
                sleep(Duration::from_millis(5)).await;
            }
        });
        waited.await.expect("the changes come into force");
    }

    async fn kill(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// The log output of the current thread.
#[derive(Clone, Default)]
struct LogCapture(Arc<Mutex<Vec<u8>>>);

impl Write for LogCapture {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("the lock is not poisoned").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogCapture {
    fn start() -> (Self, tracing::subscriber::DefaultGuard) {
        let log = LogCapture::default();
        let writer = log.clone();
        let subscriber = tracing_subscriber::fmt().with_ansi(false).with_writer(move || writer.clone());
        (log, tracing::subscriber::set_default(subscriber.finish()))
    }

    /// Waits until a line that contains `line` is logged.
    async fn wait_for(&self, line: &str) {
        let waited = timeout(TEST_TIMEOUT, async {
            while !String::from_utf8_lossy(&self.0.lock().expect("the lock is not poisoned")).contains(line) {
                sleep(Duration::from_millis(5)).await;
            }
        });
        waited.await.unwrap_or_else(|_| panic!("expected a log line that contains {line:?}"));
    }
}

/// Sends requests until `server` has received one. Each request must be served or rejected.
async fn request_until_received_by(gateway: &Gateway, server: &mut StubServer) {
    let mut client = gateway.client().await;
    let waited = timeout(TEST_TIMEOUT, async {
        for number in 0.. {
            let response = client.request(&look_request(&format!("until-{number}"))).await;
            if server.take_events().0.is_empty() {
                // A 503 is allowed until the gateway has learned of an endpoint that can serve.
                assert!([200, 503].contains(&response.start_line.code));
                sleep(Duration::from_millis(1)).await;
                continue;
            }
            return;
        }
    });
    waited.await.expect("the gateway sends a request to the server");
}

/// Waits until a connection to `server` is closed. The gateway closes the idle connections to an endpoint
/// once the gateway learns that the endpoint drains.
async fn wait_for_close(server: &mut StubServer) {
    while !matches!(server.next_event().await, ServerEvent::Closed) {}
}

/// Sends 60 requests, which must all be served.
async fn send_requests(gateway: &Gateway, id_prefix: &str) {
    let mut client = gateway.client().await;
    for number in 0..60 {
        assert_eq!(
            client.request(&look_request(&format!("{id_prefix}-{number}"))).await.start_line.code,
            200
        );
    }
}

/// Returns a configuration in which the zones `a` and `b` are known.
fn config_with_two_zones(cached_entries: Vec<Value>, discovery: SocketAddr) -> Value {
    let mut config = gateway_config(cached_entries, discovery);
    config["settings"]["zones"] = serde_json::json!(["a", "b"]);
    config
}

#[tokio::test]
async fn changes_to_hosts_and_zones_at_the_primary_apply_to_requests() {
    let primary = Primary::start(None).await;
    let (mut first, mut second) = (StubServer::start(SERVE).await, StubServer::start(SERVE).await);
    let (mut third, mut fourth) = (StubServer::start(SERVE).await, StubServer::start(SERVE).await);
    primary
        .propose(
            &(host_section(1, first.address, "serving", "a")
                + &host_section(2, second.address, "serving", "a")),
        )
        .await;
    let mut discovery = StubDiscovery::start().await;
    // The gateway starts with the cached list, and continues with the state of the primary.
    let config = config_with_two_zones(vec![endpoint_entry(1, first.address, "SERVING")], discovery.address);
    let gateway = Gateway::start_with_control(&config, primary.control()).await;
    request_until_received_by(&gateway, &mut first).await;
    request_until_received_by(&gateway, &mut second).await;

    primary.propose(&host_section(1, first.address, "draining", "a")).await;
    wait_for_close(&mut first).await;
    first.take_events();
    send_requests(&gateway, "drained").await;
    assert_eq!(first.take_events(), (vec![], 0), "no request is sent to a draining host");

    primary
        .propose(
            &(host_section(3, third.address, "serving", "a")
                + &host_section(4, fourth.address, "serving", "b")),
        )
        .await;
    request_until_received_by(&gateway, &mut third).await;
    request_until_received_by(&gateway, &mut fourth).await;

    primary.propose(&host_section(2, second.address, "removed", "a")).await;
    wait_for_close(&mut second).await;
    second.take_events();
    send_requests(&gateway, "removed").await;
    assert_eq!(second.take_events(), (vec![], 0), "no request is sent to a removed host");

    primary.propose("[[zone]]\nname = \"b\"\nserves = false\n").await;
    wait_for_close(&mut fourth).await;
    fourth.take_events();
    send_requests(&gateway, "lost").await;
    assert_eq!(fourth.take_events(), (vec![], 0), "no request is sent to a zone that does not serve");
    primary.propose("[[zone]]\nname = \"b\"\nserves = true\n").await;
    request_until_received_by(&gateway, &mut fourth).await;

    // A gateway that follows a control server does not poll discovery.
    let poll = timeout(Duration::ZERO, discovery.next_poll()).await;
    assert!(poll.is_err());
}

#[tokio::test]
async fn a_gateway_without_its_control_server_keeps_the_last_state_and_restarts_from_the_snapshot() {
    let (log, _guard) = LogCapture::start();
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let path = dir.path().join("g.snapshot");
    let primary = Primary::start(Some(&path)).await;
    let (mut first, mut second) = (StubServer::start(SERVE).await, StubServer::start(SERVE).await);
    let serving = host_section(1, first.address, "serving", "a");
    primary.propose(&(serving + &host_section(2, second.address, "draining", "a"))).await;
    let config = config_with_two_zones(vec![], StubDiscovery::start().await.address);
    let mut gateway = Gateway::start_with_control(&config, primary.control()).await;
    request_until_received_by(&gateway, &mut first).await;
    let waited = timeout(TEST_TIMEOUT, async {
        while !path.exists() {
            sleep(Duration::from_millis(5)).await;
        }
    });
    waited.await.expect("the snapshot is written");
    let control = primary.control();
    primary.kill().await;
    log.wait_for("control-plane lease expired").await;
    send_requests(&gateway, "apart").await;
    assert!(!first.take_events().0.is_empty());
    assert_eq!(second.take_events(), (vec![], 0), "a draining host keeps draining without a control server");

    gateway.shut_down();
    let restarted = Gateway::start_with_control(&config, control).await;
    request_until_received_by(&restarted, &mut first).await;
    send_requests(&restarted, "again").await;
    assert_eq!(second.take_events(), (vec![], 0));
}

/// A primary whose state the test changes, and which can stop granting leases.
struct ScriptedPrimary {
    store: Store,
    lessor: Lessor,
    /// Whether responses to polls grant a lease.
    grants_leases: bool,
}

impl ScriptedPrimary {
    /// Puts changes into force as the next revision, without waiting for followers.
    fn put_in_force(primary: &Mutex<ScriptedPrimary>, operator_file: &OperatorFile, text: &str) {
        let changes = parse_changes(operator_file, "changes.toml", text).expect("the changes are valid");
        let mut primary = primary.lock().expect("the lock is not poisoned");
        let revision = primary.store.through() + 1;
        primary.store.add_pending(ChangeSet { revision, changes });
        primary.store.advance_to(revision);
    }

    /// Responds to the polls of followers.
    async fn serve(primary: Arc<Mutex<ScriptedPrimary>>, listener: TcpListener) {
        let clock = Clock::start();
        while let Ok((mut stream, _)) = listener.accept().await {
            let (reader, mut writer) = stream.split();
            let mut frames = FrameReader::new(reader);
            while let Ok(Some(ReceivedMessage { message: Message::PollRequest(poll), .. })) =
                frames.next().await
            {
                let response = {
                    let ScriptedPrimary { store, lessor, grants_leases } =
                        &mut *primary.lock().expect("the lock is not poisoned");
                    lessor.handle_poll(clock.now_ms(), store, if *grants_leases { 700.0 } else { 0.0 }, &poll)
                };
                if write_message(&mut writer, &Message::PollResponse(response), &mut Vec::new())
                    .await
                    .is_err()
                {
                    break;
                }
            }
        }
    }
}

#[tokio::test]
async fn a_state_received_without_a_lease_only_withdraws_hosts_from_service() {
    let (log, _guard) = LogCapture::start();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is bound");
    let address = listener.local_addr().expect("a listener has an address");
    let operator_file = OperatorFile::parse("op.toml", &operator_file_text(address, None))
        .expect("the operator file is valid");
    let primary = ScriptedPrimary {
        store: Store::new(),
        lessor: Lessor::new(operator_file.lease, 0.0),
        grants_leases: true,
    };
    let primary = Arc::new(Mutex::new(primary));
    let (mut first, mut second) = (StubServer::start(SERVE).await, StubServer::start(SERVE).await);
    let (mut third, mut fourth) = (StubServer::start(SERVE).await, StubServer::start(SERVE).await);
    let initial_changes =
        host_section(1, first.address, "serving", "a") + &host_section(2, second.address, "serving", "a");
    ScriptedPrimary::put_in_force(
        &primary,
        &operator_file,
        &(initial_changes + &host_section(4, fourth.address, "draining", "a")),
    );
    let serving = tokio::spawn(ScriptedPrimary::serve(primary.clone(), listener));
    let config = config_with_two_zones(vec![], refusing_address().await);
    let gateway = Gateway::start_with_control(&config, ControlConfig::new(&operator_file)).await;
    request_until_received_by(&gateway, &mut first).await;
    request_until_received_by(&gateway, &mut second).await;

    primary.lock().expect("the lock is not poisoned").grants_leases = false;
    log.wait_for("control-plane lease expired").await;
    let later_changes =
        host_section(2, second.address, "draining", "a") + &host_section(3, third.address, "serving", "a");
    ScriptedPrimary::put_in_force(
        &primary,
        &operator_file,
        &(later_changes + &host_section(4, fourth.address, "serving", "a")),
    );
    wait_for_close(&mut second).await;
    second.take_events();
    send_requests(&gateway, "apart").await;
    assert_eq!(
        second.take_events(),
        (vec![], 0),
        "a host that drains in a revision received without a lease gets no request"
    );
    assert_eq!(third.take_events(), (vec![], 0), "a host added without a lease gets no request");
    assert_eq!(
        fourth.take_events(),
        (vec![], 0),
        "a host that returns to service without a lease gets no request"
    );

    primary.lock().expect("the lock is not poisoned").grants_leases = true;
    request_until_received_by(&gateway, &mut third).await;
    request_until_received_by(&gateway, &mut fourth).await;
    serving.abort();
}

/// Runs the program until it exits; returns the exit code and the text written to stderr.
async fn run_program(args: &[&str], env: &[(&str, &str)]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ternstack-gateway"));
    command.args(args).env_remove("LB_OPERATOR").envs(env.iter().copied()).kill_on_drop(true);
    let output = timeout(TEST_TIMEOUT, command.output())
        .await
        .expect("the program exits")
        .expect("the program can be run");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[tokio::test]
async fn an_invalid_operator_file_is_reported_with_line_or_key_and_exit_code_2() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let (operator_path, config_path) = (dir.path().join("op.toml"), dir.path().join("config.json"));
    std::fs::write(&config_path, gateway_config(vec![], refusing_address().await).to_string())
        .expect("the file is written");
    let (path, config_path) = (operator_path.display().to_string(), config_path.display().to_string());
    let valid = operator_file_text(refusing_address().await, None);
    for (text, expected) in [
        (
            valid.replace("lease_ms = 700.0", "lease = 700.0"),
            ":2: unknown field `lease`, expected one of `lease_ms`",
        ),
        (
            valid.replace("services = [\"desks\"]", "services = [\"rooms\"]"),
            "gateway.services: expected one of desks",
        ),
        (
            valid.split("[gateway]").next().expect("the text before the section is present").to_string(),
            ": expected [gateway] with name",
        ),
    ] {
        std::fs::write(&operator_path, text).expect("the file is written");
        let (with_flag, with_variable) =
            (["--operator", &path], [("LB_CONFIG", &*config_path), ("LB_OPERATOR", &*path)]);
        for (exit_code, stderr) in
            [run_program(&with_flag, &with_variable[..1]).await, run_program(&[], &with_variable).await]
        {
            assert_eq!(exit_code, Some(2), "{stderr}");
            assert!(stderr.contains(&path) && stderr.contains(expected), "{stderr}");
        }
    }
    let (exit_code, stderr) = run_program(&["--operator"], &[("LB_CONFIG", &config_path)]).await;
    assert!(exit_code == Some(2) && stderr.contains("expected the path"), "{stderr}");
}
