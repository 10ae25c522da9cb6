//! A real gateway behind an operators' file: what is proposed at the origin is what its requests meet. No outcome here depends
//! on how fast the machine is.
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

/// An operators' file with one origin there, and nothing between.
fn operator(origin: SocketAddr, snapshot: Option<&Path>) -> String {
    let snapshot =
        snapshot.map_or(String::new(), |p| format!("snapshot = {:?}\nsnapshot_every_s = 1\n", p.display()));
    format!(
        "[terms]\nlease_ms = 700.0\nbatch_ms = 20.0\n\n[[zone]]\nname = \"a\"\nnumber = 1\nregion = \"north\"\n\n\
         [[zone]]\nname = \"b\"\nnumber = 2\nregion = \"north\"\n\n[[service]]\nname = \"desks\"\nnumber = 7\n\n\
         [[machine]]\nname = \"o\"\naddress = \"{origin}\"\nrole = \"origin\"\nzone = \"a\"\n\n\
         [gateway]\nname = \"g\"\nzone = \"a\"\nservices = [\"desks\"]\n{snapshot}"
    )
}

fn host(n: usize, at: SocketAddr, state: &str, zone: &str) -> String {
    format!(
        "[[host]]\nservice = \"desks\"\nuid = \"s-{n}\"\nstate = \"{state}\"\naddress = \"{at}\"\nzone = \"{zone}\"\n"
    )
}

/// An origin, and an operator who proposes there.
struct Primary {
    at: SocketAddr,
    operator: OperatorFile,
    task: JoinHandle<()>,
}

impl Primary {
    async fn start(snapshot: Option<&Path>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let at = listener.local_addr().expect("an address");
        let operator = OperatorFile::parse("op.toml", &operator(at, snapshot)).expect("it is sound");
        let run = ControlServer::primary("o", operator.lease, Store::new()).run(listener);
        Primary { at, operator, task: tokio::spawn(async move { match run.await {} }) }
    }

    fn control(&self) -> Option<ControlConfig> {
        ControlConfig::new(&self.operator)
    }

    /// Proposes, and waits until that is in force.
    async fn propose(&self, text: &str) {
        let changes = parse_changes(&self.operator, "changes.toml", text).expect("they are sound");
        let version = admin_client::propose(self.at, changes, LONG).await.expect("it is taken");
        let waited = timeout(LONG, async {
            while admin_client::status(self.at, LONG).await.expect("it answers").in_force < version {
                sleep(Duration::from_millis(5)).await;
            }
        });
        waited.await.expect("it comes into force");
    }

    async fn kill(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// What is logged on this thread.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no panic").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Log {
    fn start() -> (Self, tracing::subscriber::DefaultGuard) {
        let log = Log::default();
        let writer = log.clone();
        let subscriber = tracing_subscriber::fmt().with_ansi(false).with_writer(move || writer.clone());
        (log, tracing::subscriber::set_default(subscriber.finish()))
    }

    async fn until(&self, line: &str) {
        let waited = timeout(LONG, async {
            while !String::from_utf8_lossy(&self.0.lock().expect("no panic")).contains(line) {
                sleep(Duration::from_millis(5)).await;
            }
        });
        waited.await.unwrap_or_else(|_| panic!("never logged: {line}"));
    }
}

/// Asks until this server has served one; all are to be served.
async fn until_seen(gateway: &Gateway, server: &mut Server) {
    let mut client = gateway.client().await;
    let waited = timeout(LONG, async {
        for n in 0.. {
            let answer = client.ask(&look(&format!("until-{n}"))).await;
            if server.so_far().0.is_empty() {
                // One that has not arrived yet is no fault.
                assert!([200, 503].contains(&answer.start_line.code));
                sleep(Duration::from_millis(1)).await;
                continue;
            }
            return;
        }
    });
    waited.await.expect("it is drawn in the end");
}

/// Waits for the end of all that was connected there: the gateway ends a server's connections when it hears it drains.
async fn let_go(server: &mut Server) {
    while !matches!(server.next().await, Seen::Ended) {}
}

/// Asks often; all are served.
async fn ask_often(gateway: &Gateway, name: &str) {
    let mut client = gateway.client().await;
    for n in 0..60 {
        assert_eq!(client.ask(&look(&format!("{name}-{n}"))).await.start_line.code, 200);
    }
}

fn config_of(known: Vec<Value>, discovery: SocketAddr) -> Value {
    let mut config = config(known, discovery);
    config["settings"]["zones"] = serde_json::json!(["a", "b"]);
    config
}

#[tokio::test]
async fn drains_arrivals_removals_and_a_lost_zone_reach_the_requests() {
    let origin = Primary::start(None).await;
    let (mut one, mut two) = (Server::start(SERVED).await, Server::start(SERVED).await);
    let (mut three, mut four) = (Server::start(SERVED).await, Server::start(SERVED).await);
    origin.propose(&(host(1, one.at, "serving", "a") + &host(2, two.at, "serving", "a"))).await;
    let mut discovery = Discovery::start().await;
    // It begins with what it knew, and goes on with what is agreed.
    let config = config_of(vec![target(1, one.at, "SERVING")], discovery.at);
    let gateway = Gateway::start_with_control(&config, origin.control()).await;
    until_seen(&gateway, &mut one).await;
    until_seen(&gateway, &mut two).await;

    origin.propose(&host(1, one.at, "draining", "a")).await;
    let_go(&mut one).await;
    one.so_far();
    ask_often(&gateway, "drained").await;
    assert_eq!(one.so_far(), (vec![], 0), "nothing new goes to what drains");

    origin.propose(&(host(3, three.at, "serving", "a") + &host(4, four.at, "serving", "b"))).await;
    until_seen(&gateway, &mut three).await;
    until_seen(&gateway, &mut four).await;

    origin.propose(&host(2, two.at, "removed", "a")).await;
    let_go(&mut two).await;
    two.so_far();
    ask_often(&gateway, "removed").await;
    assert_eq!(two.so_far(), (vec![], 0), "nothing goes to what is gone");

    origin.propose("[[zone]]\nname = \"b\"\nserves = false\n").await;
    let_go(&mut four).await;
    four.so_far();
    ask_often(&gateway, "lost").await;
    assert_eq!(four.so_far(), (vec![], 0), "nothing new goes to a zone that is lost");
    origin.propose("[[zone]]\nname = \"b\"\nserves = true\n").await;
    until_seen(&gateway, &mut four).await;

    // Discovery was never called.
    let asked = timeout(Duration::ZERO, discovery.call()).await;
    assert!(asked.is_err());
}

#[tokio::test]
async fn while_the_control_plane_is_unreachable_it_serves_its_last_state_and_restarts_from_the_snapshot() {
    let (log, _guard) = Log::start();
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("g.snapshot");
    let origin = Primary::start(Some(&path)).await;
    let (mut one, mut two) = (Server::start(SERVED).await, Server::start(SERVED).await);
    let serving = host(1, one.at, "serving", "a");
    origin.propose(&(serving + &host(2, two.at, "draining", "a"))).await;
    let config = config_of(vec![], Discovery::start().await.at);
    let mut gateway = Gateway::start_with_control(&config, origin.control()).await;
    until_seen(&gateway, &mut one).await;
    let waited = timeout(LONG, async {
        while !path.exists() {
            sleep(Duration::from_millis(5)).await;
        }
    });
    waited.await.expect("the snapshot is written");
    let control = origin.control();
    origin.kill().await;
    log.until("control-plane lease expired").await;
    ask_often(&gateway, "apart").await;
    assert!(!one.so_far().0.is_empty());
    assert_eq!(two.so_far(), (vec![], 0), "what drains still drains");

    gateway.stop();
    let again = Gateway::start_with_control(&config, control).await;
    until_seen(&again, &mut one).await;
    ask_often(&again, "again").await;
    assert_eq!(two.so_far(), (vec![], 0));
}

/// A control machine that the test plays: what it has, and whether it gives leases.
struct Played {
    store: Store,
    grantor: Lessor,
    leases: bool,
}

impl Played {
    /// Brings a version into force at once.
    fn agree(played: &Mutex<Played>, operator: &OperatorFile, text: &str) {
        let changes = parse_changes(operator, "changes.toml", text).expect("they are sound");
        let mut played = played.lock().expect("no panic");
        let number = played.store.through() + 1;
        played.store.add_pending(ChangeSet { revision: number, changes });
        played.store.advance_to(number);
    }

    async fn serve(played: Arc<Mutex<Played>>, listener: TcpListener) {
        let clock = Clock::start();
        while let Ok((mut stream, _)) = listener.accept().await {
            let (reader, mut writer) = stream.split();
            let mut frames = FrameReader::new(reader);
            while let Ok(Some(ReceivedMessage { message: Message::PollRequest(ask), .. })) =
                frames.next().await
            {
                let grant = {
                    let Played { store, grantor, leases } = &mut *played.lock().expect("no panic");
                    grantor.handle_poll(clock.now_ms(), store, if *leases { 700.0 } else { 0.0 }, &ask)
                };
                if write_message(&mut writer, &Message::PollResponse(grant), &mut Vec::new()).await.is_err() {
                    break;
                }
            }
        }
    }
}

#[tokio::test]
async fn what_is_heard_without_a_lease_takes_work_from_servers_and_gives_none() {
    let (log, _guard) = Log::start();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let at = listener.local_addr().expect("an address");
    let operator = OperatorFile::parse("op.toml", &operator(at, None)).expect("it is sound");
    let played = Played { store: Store::new(), grantor: Lessor::new(operator.lease, 0.0), leases: true };
    let played = Arc::new(Mutex::new(played));
    let (mut one, mut two) = (Server::start(SERVED).await, Server::start(SERVED).await);
    let (mut three, mut four) = (Server::start(SERVED).await, Server::start(SERVED).await);
    let first = host(1, one.at, "serving", "a") + &host(2, two.at, "serving", "a");
    Played::agree(&played, &operator, &(first + &host(4, four.at, "draining", "a")));
    let serving = tokio::spawn(Played::serve(played.clone(), listener));
    let config = config_of(vec![], nobody().await);
    let gateway = Gateway::start_with_control(&config, ControlConfig::new(&operator)).await;
    until_seen(&gateway, &mut one).await;
    until_seen(&gateway, &mut two).await;

    played.lock().expect("no panic").leases = false;
    log.until("control-plane lease expired").await;
    let second = host(2, two.at, "draining", "a") + &host(3, three.at, "serving", "a");
    Played::agree(&played, &operator, &(second + &host(4, four.at, "serving", "a")));
    let_go(&mut two).await;
    two.so_far();
    ask_often(&gateway, "apart").await;
    assert_eq!(two.so_far(), (vec![], 0), "what drains in a version that is heard of drains");
    assert_eq!(three.so_far(), (vec![], 0), "nothing arrives");
    assert_eq!(four.so_far(), (vec![], 0), "what drained still does");

    played.lock().expect("no panic").leases = true;
    until_seen(&gateway, &mut three).await;
    until_seen(&gateway, &mut four).await;
    serving.abort();
}

/// Runs the program until it ends; its exit code and what it says.
async fn program(args: &[&str], env: &[(&str, &str)]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ternstack-gateway"));
    command.args(args).env_remove("LB_OPERATOR").envs(env.iter().copied()).kill_on_drop(true);
    let output = timeout(LONG, command.output()).await.expect("it ends").expect("it starts");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[tokio::test]
async fn a_faulty_operators_file_is_reported_with_line_and_key_and_exit_code_2() {
    let dir = tempfile::tempdir().expect("a directory");
    let (file, configured) = (dir.path().join("op.toml"), dir.path().join("config.json"));
    std::fs::write(&configured, config(vec![], nobody().await).to_string()).expect("written");
    let (path, configured) = (file.display().to_string(), configured.display().to_string());
    let sound = operator(nobody().await, None);
    for (text, told) in [
        (
            sound.replace("lease_ms = 700.0", "lease = 700.0"),
            ":2: unknown field `lease`, expected one of `lease_ms`",
        ),
        (
            sound.replace("services = [\"desks\"]", "services = [\"rooms\"]"),
            "gateway.services: expected one of desks",
        ),
        (sound.split("[gateway]").next().expect("a part").to_string(), ": expected [gateway] with name"),
    ] {
        std::fs::write(&file, text).expect("written");
        let (flag, variable) =
            (["--operator", &path], [("LB_CONFIG", &*configured), ("LB_OPERATOR", &*path)]);
        for (code, words) in [program(&flag, &variable[..1]).await, program(&[], &variable).await] {
            assert_eq!(code, Some(2), "{words}");
            assert!(words.contains(&path) && words.contains(told), "{words}");
        }
    }
    let (code, words) = program(&["--operator"], &[("LB_CONFIG", &configured)]).await;
    assert!(code == Some(2) && words.contains("expected the path"), "{words}");
}
