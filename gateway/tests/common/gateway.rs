//! A gateway in a task or thread of its own, the configuration of such a gateway, and its clients.
use super::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::mpsc as blocking_mpsc;
use std::time::Duration;
use ternstack_gateway::config::Config;
use ternstack_gateway::control::ControlConfig;
use ternstack_gateway::http1::{CompleteMessage, Reader, StatusLine, MAX_BODY_BYTES};
use ternstack_gateway::ServeError;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Returns a configuration with the idempotent class `look`, and with the class `book`, whose requests are
/// idempotent with an idempotency key. The cached endpoint list consists of `cached_entries`.
pub fn gateway_config(cached_entries: Vec<Value>, discovery: SocketAddr) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": endpoint_list(41, true, cached_entries),
        "settings": {
            "classes": [
                {"name": "look", "aim_ms": 8000.0, "deadline_ms": 20000.0, "effect": "safe", "late_value": 0.2},
                {"name": "book", "aim_ms": 8000.0, "deadline_ms": 20000.0, "effect": "keyed", "group": "all",
                 "window_ms": 20000.0, "late_value": 0.2}],
            "tenants": [{"name": "acme", "quota_per_s": 50.0, "fraction": 1.0}],
            "limits": {"cancel": true, "conn_idle_ms": 30000.0, "dial_timeout_ms": 5000.0, "max_attempts": 3,
                       "max_open": 100, "max_retry_after_ms": 2000.0, "retry_after": true},
            "report": {"how": "inline", "fields": ["utilization", "throughput"]},
            "discovery": "ask", "instances": 1, "zone": "a", "zones": ["a"], "tick_ms": 5.0}
    })
}

/// A gateway in a task of the test's runtime.
pub struct Gateway {
    pub address: SocketAddr,
    /// The sender with which the test changes discovery's address.
    pub discovery: watch::Sender<SocketAddr>,
    shutdown: Option<oneshot::Sender<()>>,
    /// The task that runs the gateway until the graceful shutdown has ended.
    pub task: JoinHandle<Result<(), ServeError>>,
}

impl Gateway {
    pub async fn start(config: &Value) -> Self {
        Self::start_with_control(config, None).await
    }

    /// Starts a gateway that follows a control server, if `control` is given.
    pub async fn start_with_control(config: &Value, control: Option<ControlConfig>) -> Self {
        let config = Config::read(&config.to_string(), |_| None).expect("the configuration is valid");
        let listener = TcpListener::bind(config.listen).await.expect("a free port is bound");
        let address = listener.local_addr().expect("a listener has an address");
        let (shutdown, shutdown_signal) = oneshot::channel();
        let shutdown_signal = async move { drop(shutdown_signal.await) };
        let (discovery, discovery_address) = watch::channel(config.discovery);
        let task = tokio::spawn(ternstack_gateway::serve_with_control(
            config,
            control,
            listener,
            discovery_address,
            shutdown_signal,
        ));
        Gateway { address, discovery, shutdown: Some(shutdown), task }
    }

    /// Starts the graceful shutdown, without waiting for the shutdown to end.
    pub fn shut_down(&mut self) {
        drop(self.shutdown.take());
    }

    pub async fn client(&self) -> Client {
        Client { stream: TcpStream::connect(self.address).await.expect("the gateway accepts connections") }
    }
}

/// A client connection to the gateway.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("the connection to the gateway is open");
    }

    /// Reads the next response; returns `None` if the connection ends first.
    pub async fn read_response(&mut self) -> Option<CompleteMessage<StatusLine>> {
        timeout(TEST_TIMEOUT, read_message(&mut self.stream, &mut Reader::new(MAX_BODY_BYTES)))
            .await
            .expect("the gateway responds or closes the connection")
    }

    /// Sends a request and returns the response.
    pub async fn request(&mut self, text: &str) -> CompleteMessage<StatusLine> {
        self.send(text).await;
        self.read_response().await.expect("the gateway responds")
    }
}

/// Returns a request of the idempotent class `look`.
pub fn look_request(id: &str) -> String {
    format!("GET /api?d=4 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Service-Class: look\r\n\r\n")
}

/// A gateway in a thread of its own, which the test can stall.
pub struct StallableGateway {
    pub address: SocketAddr,
    /// The sender with which the test changes discovery's address.
    pub discovery: watch::Sender<SocketAddr>,
    /// The requests to stall the thread, each until its receiver returns.
    stalls: mpsc::UnboundedSender<blocking_mpsc::Receiver<()>>,
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<Result<(), ServeError>>>,
}

impl StallableGateway {
    pub fn start(config: &Value) -> Self {
        Self::start_with_hook(config, || ())
    }

    /// Starts a gateway whose thread calls `on_listening` once the gateway listens.
    pub fn start_with_hook(config: &Value, on_listening: impl FnOnce() + Send + 'static) -> Self {
        let config = Config::read(&config.to_string(), |_| None).expect("the configuration is valid");
        let (shutdown, shutdown_signal) = oneshot::channel();
        let (discovery, discovery_address) = watch::channel(config.discovery);
        let (address_sender, address) = blocking_mpsc::channel();
        let (stalls, mut stall_receiver) = mpsc::unbounded_channel::<blocking_mpsc::Receiver<()>>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime is built");
            runtime.block_on(async {
                let listener = TcpListener::bind(config.listen).await.expect("a free port is bound");
                address_sender
                    .send(listener.local_addr().expect("a listener has an address"))
                    .expect("the test waits for the address");
                tokio::spawn(async move {
                    while let Some(released) = stall_receiver.recv().await {
                        let _ = released.recv();
                    }
                });
                on_listening();
                let shutdown_signal = async move { drop(shutdown_signal.await) };
                ternstack_gateway::serve_with_control(
                    config,
                    None,
                    listener,
                    discovery_address,
                    shutdown_signal,
                )
                .await
            })
        });
        let address = address.recv().expect("the gateway listens on its port");
        StallableGateway { address, discovery, stalls, shutdown: Some(shutdown), thread: Some(thread) }
    }

    /// Stalls the gateway's thread until the returned guard is dropped. Returns after 100 ms, so that the
    /// stall has begun by then.
    pub async fn stall(&self) -> blocking_mpsc::Sender<()> {
        let (guard, released) = blocking_mpsc::channel();
        self.stalls.send(released).expect("the gateway is running");
        sleep(Duration::from_millis(100)).await;
        guard
    }

    pub async fn client(&self) -> Client {
        Client { stream: TcpStream::connect(self.address).await.expect("the gateway accepts connections") }
    }

    /// Starts the graceful shutdown, without waiting for the shutdown to end.
    pub fn shut_down(&mut self) {
        drop(self.shutdown.take());
    }
}

impl Drop for StallableGateway {
    fn drop(&mut self) {
        self.shut_down();
        let result = self.thread.take().map(std::thread::JoinHandle::join);
        if !std::thread::panicking() {
            result
                .expect("the thread was started")
                .expect("the gateway does not panic")
                .expect("the gateway stops without an error");
        }
    }
}

/// Returns a configuration like that of a deployment: with the non-idempotent class `sign` and a short
/// deduplication window, without `Retry-After` and cancellation, and with endpoint lists that discovery
/// pushes.
pub fn non_idempotent_config(cached_entries: Vec<Value>, discovery: std::net::SocketAddr) -> Value {
    let mut config = gateway_config(cached_entries, discovery);
    config["settings"]["classes"] = json!([
        {"name": "look", "aim_ms": 9000.0, "deadline_ms": 600_000.0, "effect": "safe"},
        {"name": "sign", "aim_ms": 9000.0, "deadline_ms": 600_000.0, "effect": "unsafe"},
        {"name": "hold", "aim_ms": 9000.0, "deadline_ms": 600_000.0, "effect": "keyed", "group": "all", "window_ms": 300.0}]);
    config["settings"]["limits"]["cancel"] = false.into();
    config["settings"]["limits"]["retry_after"] = false.into();
    config["settings"]["limits"]["dial_timeout_ms"] = json!(20_000.0);
    config["settings"]["limits"]["max_attempts"] = json!(6);
    config["settings"]["discovery"] = "push".into();
    // Discovery is silent in most tests that use this configuration, and the list is to stay in use.
    config["settings"]["safety"] = json!({"drain_grace_ms": 600_000.0});
    config
}

/// Returns a request of the non-idempotent class `sign`.
pub fn sign_request(id: &str) -> String {
    format!("POST /api HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Service-Class: sign\r\nContent-Length: 4\r\n\r\ndesk")
}

/// Starts a gateway that may cancel attempts, and sends a request through it. Returns the gateway, the
/// server, the client, and the server's connection, from which the request with the id `a` has been read but
/// not answered.
pub async fn request_in_flight() -> (Gateway, ScriptedServer, Client, ScriptedConnection) {
    let (server, discovery) = (ScriptedServer::start().await, StubDiscovery::start().await);
    let mut config =
        non_idempotent_config(vec![endpoint_entry(1, server.address, "SERVING")], discovery.address);
    config["settings"]["limits"]["cancel"] = true.into();
    let gateway = Gateway::start(&config).await;
    let mut client = gateway.client().await;
    client.send(&look_request("a")).await;
    let mut connection = server.accept().await;
    connection.read_request().await.expect("the request is forwarded");
    (gateway, server, client, connection)
}

/// Reads the next response and returns the status code; `None` if the connection ends first.
pub async fn read_status(client: &mut Client) -> Option<u16> {
    client.read_response().await.map(|response| response.start_line.code)
}
