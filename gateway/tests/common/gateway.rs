//! The gateway in a task or in a thread of its own, its configuration, and its clients.
use super::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::mpsc as threads;
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

/// A configuration with one safe and one keyed class.
pub fn config(known: Vec<Value>, discovery: SocketAddr) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": list(41, true, known),
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

pub struct Gateway {
    pub at: SocketAddr,
    /// Where discovery answers.
    pub discovery: watch::Sender<SocketAddr>,
    stop: Option<oneshot::Sender<()>>,
    pub task: JoinHandle<Result<(), ServeError>>,
}

impl Gateway {
    pub async fn start(config: &Value) -> Self {
        Self::start_with_control(config, None).await
    }

    /// The same, with what an operators' file tells it.
    pub async fn start_with_control(config: &Value, control: Option<ControlConfig>) -> Self {
        let config = Config::read(&config.to_string(), |_| None).expect("a sound configuration");
        let listener = TcpListener::bind(config.listen).await.expect("a free port");
        let at = listener.local_addr().expect("an address");
        let (stop, told) = oneshot::channel();
        let told = async move { drop(told.await) };
        let (discovery, now) = watch::channel(config.discovery);
        let task = tokio::spawn(ternstack_gateway::serve_with_control(config, control, listener, now, told));
        Gateway { at, discovery, stop: Some(stop), task }
    }

    pub fn stop(&mut self) {
        drop(self.stop.take());
    }

    pub async fn client(&self) -> Client {
        Client { stream: TcpStream::connect(self.at).await.expect("the gateway listens") }
    }
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("the gateway reads");
    }

    /// The next answer; `None` if the connection ends first.
    pub async fn answer(&mut self) -> Option<CompleteMessage<StatusLine>> {
        timeout(LONG, next(&mut self.stream, &mut Reader::new(MAX_BODY_BYTES)))
            .await
            .expect("an answer or an end")
    }

    pub async fn ask(&mut self, text: &str) -> CompleteMessage<StatusLine> {
        self.send(text).await;
        self.answer().await.expect("an answer")
    }
}

pub fn look(id: &str) -> String {
    format!("GET /api?d=4 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Service-Class: look\r\n\r\n")
}

/// A gateway in a thread of its own, which the test can make stand still.
pub struct StallableGateway {
    pub at: SocketAddr,
    /// Where discovery answers.
    pub discovery: watch::Sender<SocketAddr>,
    holds: mpsc::UnboundedSender<threads::Receiver<()>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<Result<(), ServeError>>>,
}

impl StallableGateway {
    pub fn start(config: &Value) -> Self {
        Self::start_with(config, || ())
    }

    /// The same; its thread does `first` once it listens.
    pub fn start_with(config: &Value, first: impl FnOnce() + Send + 'static) -> Self {
        let config = Config::read(&config.to_string(), |_| None).expect("a sound configuration");
        let (stop, told) = oneshot::channel();
        let (discovery, now) = watch::channel(config.discovery);
        let (tell, at) = threads::channel();
        let (holds, mut held) = mpsc::unbounded_channel::<threads::Receiver<()>>();
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let listener = TcpListener::bind(config.listen).await.expect("a free port");
                tell.send(listener.local_addr().expect("an address")).expect("the test waits");
                tokio::spawn(async move {
                    while let Some(until) = held.recv().await {
                        let _ = until.recv();
                    }
                });
                first();
                let told = async move { drop(told.await) };
                ternstack_gateway::serve_with_control(config, None, listener, now, told).await
            })
        });
        let at = at.recv().expect("it listens");
        StallableGateway { at, discovery, holds, stop: Some(stop), thread: Some(thread) }
    }

    /// From now on it stands still, until what this gives is dropped.
    pub async fn hold(&self) -> threads::Sender<()> {
        let (release, until) = threads::channel();
        self.holds.send(until).expect("it runs");
        sleep(Duration::from_millis(100)).await;
        release
    }

    pub async fn client(&self) -> Client {
        Client { stream: TcpStream::connect(self.at).await.expect("the gateway listens") }
    }

    pub fn stop(&mut self) {
        drop(self.stop.take());
    }
}

impl Drop for StallableGateway {
    fn drop(&mut self) {
        self.stop();
        let ended = self.thread.take().map(std::thread::JoinHandle::join);
        if !std::thread::panicking() {
            ended.expect("it was started").expect("no panic").expect("it ends well");
        }
    }
}

/// Of a kind with the deployments' own: an unsafe class, a repeat window, no advice, no cancelling, pushed lists.
pub fn config_with_unsafe_class(known: Vec<Value>, discovery: std::net::SocketAddr) -> Value {
    let mut told = config(known, discovery);
    told["settings"]["classes"] = json!([
        {"name": "look", "aim_ms": 9000.0, "deadline_ms": 600_000.0, "effect": "safe"},
        {"name": "sign", "aim_ms": 9000.0, "deadline_ms": 600_000.0, "effect": "unsafe"},
        {"name": "hold", "aim_ms": 9000.0, "deadline_ms": 600_000.0, "effect": "keyed", "group": "all", "window_ms": 300.0}]);
    told["settings"]["limits"]["cancel"] = false.into();
    told["settings"]["limits"]["retry_after"] = false.into();
    told["settings"]["limits"]["dial_timeout_ms"] = json!(20_000.0);
    told["settings"]["limits"]["max_attempts"] = json!(6);
    told["settings"]["discovery"] = "push".into();
    told
}

pub fn unsafe_request(id: &str) -> String {
    format!("POST /api HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Service-Class: sign\r\nContent-Length: 4\r\n\r\ndesk")
}

/// A gateway that may call off, its server, a client, and the connection on which that one's request is out.
pub async fn request_in_flight() -> (Gateway, ScriptedServer, Client, ScriptedConnection) {
    let (server, discovery) = (ScriptedServer::start().await, Discovery::start().await);
    let mut told = config_with_unsafe_class(vec![target(1, server.at, "SERVING")], discovery.at);
    told["settings"]["limits"]["cancel"] = true.into();
    let gateway = Gateway::start(&told).await;
    let mut client = gateway.client().await;
    client.send(&look("a")).await;
    let mut wire = server.accept().await;
    wire.request().await.expect("it is out");
    (gateway, server, client, wire)
}

pub async fn next_answer(client: &mut Client) -> Option<u16> {
    client.answer().await.map(|answer| answer.start_line.code)
}
