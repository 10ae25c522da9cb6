//! Small peers on loopback: a client, servers, discovery, and a gateway between them.
#![allow(dead_code)]

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::mpsc as threads;
use std::time::Duration;
use ternstack_gateway::config::Config;
use ternstack_gateway::control::ControlConfig;
use ternstack_gateway::http1::{CompleteMessage, Reader, RequestLine, StartLine, StatusLine, MAX_BODY_BYTES};
use ternstack_gateway::ServeError;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Far longer than anything here takes: a test that hangs ends, and none depends on speed.
pub const LONG: Duration = Duration::from_secs(60);

/// Keeps a paused clock from moving by itself: it would, whenever nobody has work, and bytes on their way are no work.
/// It moves on by a millisecond after each pause for the sockets, or where the test moves it.
pub fn hold_clock(moves: bool) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            for _ in 0..20 {
                tokio::task::yield_now().await;
            }
            std::thread::sleep(Duration::from_micros(200));
            if moves {
                tokio::time::advance(Duration::from_millis(1)).await;
            }
        }
    })
}

/// The next whole request of a connection; `None` if it ends first.
pub async fn next<S: StartLine>(
    stream: &mut TcpStream, reader: &mut Reader<S>,
) -> Option<CompleteMessage<S>> {
    let mut ended = false;
    loop {
        match reader.next(ended) {
            Ok(Some(request)) => return Some(request),
            Ok(None) if !ended => {}
            _ => return None,
        }
        ended = stream.read_buf(reader.buffer()).await.unwrap_or(0) == 0;
    }
}

pub fn field<S>(request: &CompleteMessage<S>, name: &str) -> String {
    request.fields.text(name).unwrap_or("").to_string()
}

/// What a server does with a request.
#[derive(Clone, Copy)]
pub enum Does {
    Answer(&'static str),
    AnswerAndClose(&'static str),
    Close,
    Nothing,
}

pub const SERVED: Does = Does::Answer(
    "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nX-Backend-Load: util=0.5,qps=20\r\nContent-Length: 4\r\n\r\ndesk",
);
pub const TURNED_AWAY: Does =
    Does::Answer("HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");

/// What a server has seen.
pub enum Seen {
    Connected,
    Request(CompleteMessage<RequestLine>),
    Ended,
}

pub struct Server {
    pub at: SocketAddr,
    pub seen: mpsc::UnboundedReceiver<Seen>,
}

impl Server {
    /// A server that does the same with every request.
    pub async fn start(does: Does) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let at = listener.local_addr().expect("an address");
        let (tell, seen) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let tell = tell.clone();
                let _ = tell.send(Seen::Connected);
                tokio::spawn(async move {
                    let mut reader = Reader::new(MAX_BODY_BYTES);
                    while let Some(ask) = next::<RequestLine>(&mut stream, &mut reader).await {
                        let _ = tell.send(Seen::Request(ask));
                        match does {
                            Does::Answer(text) => drop(stream.write_all(text.as_bytes()).await),
                            Does::AnswerAndClose(text) => {
                                drop(stream.write_all(text.as_bytes()).await);
                                break;
                            }
                            Does::Close => break,
                            Does::Nothing => {}
                        }
                    }
                    drop(stream);
                    let _ = tell.send(Seen::Ended);
                });
            }
        });
        Server { at, seen }
    }

    pub async fn next(&mut self) -> Seen {
        timeout(LONG, self.seen.recv()).await.expect("something is seen").expect("the server runs")
    }

    /// The ids of all requests seen so far, and the number of connections.
    pub fn so_far(&mut self) -> (Vec<String>, usize) {
        let (mut ids, mut connections) = (Vec::new(), 0);
        while let Ok(seen) = self.seen.try_recv() {
            match seen {
                Seen::Request(ask) => ids.push(field(&ask, "x-correlation-id")),
                Seen::Connected => connections += 1,
                Seen::Ended => {}
            }
        }
        (ids, connections)
    }
}

pub const DESK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndesk";

/// A server whose connections the test plays by hand.
pub struct Peer {
    pub at: SocketAddr,
    listener: TcpListener,
}

impl Peer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        Peer { at: listener.local_addr().expect("an address"), listener }
    }

    /// The next connection.
    pub async fn accept(&self) -> Wire {
        let (stream, _) = timeout(LONG, self.listener.accept()).await.expect("one comes").expect("accepted");
        Wire { stream, reader: Reader::new(MAX_BODY_BYTES) }
    }
}

/// One connection of a [`Peer`].
pub struct Wire {
    pub stream: TcpStream,
    reader: Reader<RequestLine>,
}

impl Wire {
    /// The next whole request; `None` if the connection ends first.
    pub async fn request(&mut self) -> Option<CompleteMessage<RequestLine>> {
        timeout(LONG, next(&mut self.stream, &mut self.reader)).await.expect("a request or an end")
    }

    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("it is up");
    }

    /// Waits for the end; true if not a byte came before it.
    pub async fn ends(&mut self) -> bool {
        self.reader.is_idle() && ends(&mut self.stream).await == 0
    }

    /// Resets the connection.
    pub fn reset(self) {
        self.stream.set_zero_linger().expect("a socket");
    }
}

/// Reads a connection to its end, by a close or a reset; the bytes that came.
pub async fn ends(stream: &mut TcpStream) -> usize {
    let mut bytes = Vec::new();
    let _ = timeout(LONG, stream.read_to_end(&mut bytes)).await.expect("it ends");
    bytes.len()
}

/// A target line of discovery's list.
pub fn target(n: usize, at: SocketAddr, state: &str) -> Value {
    json!({"uid": format!("s-{n}"), "endpoint": at.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0, "novel": {}})
}

pub fn list(rev: u64, all: bool, targets: Vec<Value>) -> Value {
    json!({"rev": rev, "all": all, "targets": targets})
}

/// Discovery that answers each call with what the test gives it.
pub struct Discovery {
    pub at: SocketAddr,
    calls: mpsc::UnboundedReceiver<(String, oneshot::Sender<String>)>,
}

/// An address at which nobody answers yet.
pub async fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port").local_addr().expect("an address")
}

impl Discovery {
    pub async fn start() -> Self {
        Self::start_at(([127, 0, 0, 1], 0).into()).await
    }

    pub async fn start_at(at: SocketAddr) -> Self {
        let listener = TcpListener::bind(at).await.expect("the port is free");
        let at = listener.local_addr().expect("an address");
        let (tell, calls) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let tell = tell.clone();
                tokio::spawn(async move {
                    let mut reader = Reader::new(MAX_BODY_BYTES);
                    while let Some(ask) = next::<RequestLine>(&mut stream, &mut reader).await {
                        let (answer, answered) = oneshot::channel::<String>();
                        let _ = tell.send((String::from_utf8_lossy(ask.target()).into_owned(), answer));
                        let Ok(text) = answered.await else { break };
                        drop(stream.write_all(text.as_bytes()).await);
                    }
                });
            }
        });
        Discovery { at, calls }
    }

    /// The next call's path and query; it waits until it is answered, or ends if that is dropped.
    pub async fn call(&mut self) -> (String, oneshot::Sender<String>) {
        timeout(LONG, self.calls.recv()).await.expect("a call").expect("discovery runs")
    }
}

pub fn ok(body: &Value) -> String {
    let body = body.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

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

/// A server whose connections do not come up until it is told: its queue is full.
pub struct Deaf {
    listener: TcpListener,
    pub at: SocketAddr,
    before: Vec<TcpStream>,
}

impl Deaf {
    pub async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
        let listener = socket.listen(1).expect("it listens");
        let at = listener.local_addr().expect("an address");
        let mut before = Vec::new();
        // Until one does not come up: then the queue is full, and whoever connects tries again by itself.
        while let Ok(Ok(stream)) = timeout(Duration::from_millis(300), TcpStream::connect(at)).await {
            before.push(stream);
        }
        Deaf { listener, at, before }
    }

    /// Lets all connect; the first connection that is not one of its own.
    pub async fn hears(&mut self) -> TcpStream {
        let own: Vec<_> = self.before.iter().map(|s| s.local_addr().expect("an address")).collect();
        loop {
            let accepted =
                timeout(LONG, self.listener.accept()).await.expect("one comes up").expect("accepted");
            if !own.contains(&accepted.1) {
                return accepted.0;
            }
        }
    }
}

/// A gateway in a thread of its own, which the test can make stand still.
pub struct Threaded {
    pub at: SocketAddr,
    /// Where discovery answers.
    pub discovery: watch::Sender<SocketAddr>,
    holds: mpsc::UnboundedSender<threads::Receiver<()>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<Result<(), ServeError>>>,
}

impl Threaded {
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
        Threaded { at, discovery, holds, stop: Some(stop), thread: Some(thread) }
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

impl Drop for Threaded {
    fn drop(&mut self) {
        self.stop();
        let ended = self.thread.take().map(std::thread::JoinHandle::join);
        if !std::thread::panicking() {
            ended.expect("it was started").expect("no panic").expect("it ends well");
        }
    }
}

/// Of a kind with the deployments' own: an unsafe class, a repeat window, no advice, no cancelling, pushed lists.
pub fn other_settings(known: Vec<Value>, discovery: std::net::SocketAddr) -> Value {
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

pub fn sign(id: &str) -> String {
    format!("POST /api HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Service-Class: sign\r\nContent-Length: 4\r\n\r\ndesk")
}

/// A gateway that may call off, its server, a client, and the connection on which that one's request is out.
pub async fn one_out() -> (Gateway, Peer, Client, Wire) {
    let (server, discovery) = (Peer::start().await, Discovery::start().await);
    let mut told = other_settings(vec![target(1, server.at, "SERVING")], discovery.at);
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
