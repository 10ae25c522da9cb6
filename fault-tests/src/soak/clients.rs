//! Clients of a soak. Most requests are sent one after another; for some the client disconnects, writes
//! slowly, or pipelines several requests.
use crate::client::{read_message, Request};
use crate::history::{EventKind, HistoryRecorder};
use crate::site::{RequestFactory, CLASSES};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use ternstack_gateway::http1::{CompleteMessage, Reader, StatusLine, MAX_BODY_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Maximum number of requests that a client pipelines.
pub const MAX_PIPELINED_REQUESTS: u64 = 12;
/// Time limit for a client's connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a client waits beyond its timeout, so that a late response is recorded.
const LATE_RESPONSE_WAIT: Duration = Duration::from_secs(2);

/// Pause of an idle client before it connects again.
const CROWD_RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Connects to a gateway, sends nothing, and connects again whenever the gateway closes the connection.
pub async fn stay_idle(address: SocketAddr, shutdown: Arc<ShutdownState>) {
    while !shutdown.clients_stopped.load(Relaxed) {
        if !shutdown.connects_stopped.load(Relaxed) {
            if let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
                // Returns once the gateway closes the connection, or after a while.
                let _ = timeout(CONNECT_TIMEOUT, stream.read(&mut [0; 16])).await;
            }
        }
        sleep(CROWD_RECONNECT_PAUSE).await;
    }
}

/// The shutdown state of a gateway, shared with the gateway's clients.
#[derive(Debug, Default)]
pub struct ShutdownState {
    /// Whether clients open no new connections, as if the load balancer in front of the gateway had noticed
    /// the shutdown.
    pub connects_stopped: AtomicBool,
    /// Whether clients send no further requests and exit.
    pub clients_stopped: AtomicBool,
}

/// The way in which a client sends a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SendMode {
    Plain,
    Disconnect { after: Duration },
    Slow { pause: Duration },
    Pipelined { count: usize },
}

impl SendMode {
    fn draw(rng: &mut impl Rng, client_timeout: Duration) -> Self {
        match rng.random_range(0..100) {
            0..8 => SendMode::Disconnect { after: client_timeout.mul_f64(rng.random_range(0.0..0.5)) },
            8..12 => SendMode::Slow { pause: Duration::from_millis(rng.random_range(5..150)) },
            12..16 => SendMode::Pipelined { count: rng.random_range(2..=MAX_PIPELINED_REQUESTS as usize) },
            _ => SendMode::Plain,
        }
    }
}

/// An open connection from a client to a gateway.
struct Connection {
    stream: TcpStream,
    /// Whether the connection has carried a request before.
    reused: bool,
}

/// A client of one gateway in a soak.
pub struct SoakClient {
    /// Index of the gateway.
    pub gateway: usize,
    /// Address on which the gateway listens.
    pub address: SocketAddr,
    /// Recorder of the events that the client observes.
    pub recorder: HistoryRecorder,
    /// Source of the client's requests.
    pub requests: RequestFactory,
    /// Shutdown state of the gateway, which ends the client.
    pub shutdown: Arc<ShutdownState>,
    /// Seed of the client's random choices.
    pub seed: u64,
}

impl SoakClient {
    /// Sends requests until [`ShutdownState::clients_stopped`] is set.
    pub async fn run(self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut idle: Option<TcpStream> = None;
        while !self.shutdown.clients_stopped.load(Relaxed) {
            let class = CLASSES[rng.random_range(0..CLASSES.len())];
            let request = self.requests.next(class);
            let mode = SendMode::draw(&mut rng, request.client_timeout);
            idle = match self.connection(idle.take()).await {
                Some(connection) => self.send(connection, &request, mode).await,
                None => None,
            };
            sleep(Duration::from_millis(rng.random_range(2..30))).await;
        }
    }

    /// Returns the idle connection or a new one, or `None` if the gateway cannot be reached or new
    /// connections are stopped.
    async fn connection(&self, idle: Option<TcpStream>) -> Option<Connection> {
        if let Some(stream) = idle {
            return Some(Connection { stream, reused: true });
        }
        if self.shutdown.connects_stopped.load(Relaxed) {
            return None;
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = connected.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection { stream, reused: false })
    }

    /// Sends a request in the given mode. Returns the connection if it can be reused.
    async fn send(&self, connection: Connection, request: &Request, mode: SendMode) -> Option<TcpStream> {
        let Connection { mut stream, reused } = connection;
        let text = request.to_http();
        match mode {
            SendMode::Disconnect { after } => {
                stream.write_all(text.as_bytes()).await.ok()?;
                self.recorder.record(request.sent_to(self.gateway));
                sleep(after).await;
                self.recorder.record(EventKind::ClientDisconnected { id: request.id.clone() });
                return None;
            }
            SendMode::Pipelined { count } => {
                return self.send_pipelined(Connection { stream, reused }, request, count).await;
            }
            SendMode::Slow { pause } => {
                let (first, rest) = text.split_at(text.len() / 2);
                stream.write_all(first.as_bytes()).await.ok()?;
                sleep(pause).await;
                stream.write_all(rest.as_bytes()).await.ok()?;
            }
            SendMode::Plain => stream.write_all(text.as_bytes()).await.ok()?,
        }
        self.recorder.record(request.sent_to(self.gateway));
        let mut reader = Reader::new(MAX_BODY_BYTES);
        match self.receive(&mut stream, &mut reader, request).await {
            Some(response) => (response.keep_alive && reader.is_idle()).then_some(stream),
            // The gateway closed the idle connection while the request was on the way.
            None if reused && !reader.has_begun() => self.resend(request).await,
            None => self.record_missing(request),
        }
    }

    /// Resends a request over a new connection. Returns the connection if it can be reused.
    async fn resend(&self, request: &Request) -> Option<TcpStream> {
        let Some(Connection { mut stream, .. }) = self.connection(None).await else {
            self.recorder.record(EventKind::RequestMoved { id: request.id.clone() });
            return None;
        };
        self.recorder.record(EventKind::RequestResent { id: request.id.clone(), gateway: self.gateway });
        if stream.write_all(request.to_http().as_bytes()).await.is_err() {
            return self.record_missing(request);
        }
        let mut reader = Reader::new(MAX_BODY_BYTES);
        match self.receive(&mut stream, &mut reader, request).await {
            Some(response) => (response.keep_alive && reader.is_idle()).then_some(stream),
            None => self.record_missing(request),
        }
    }

    /// Pipelines `count` requests and reads their responses in order. Requests after a response that closes
    /// the connection count as moved, because the gateway has not accepted them. Returns the connection if it
    /// can be reused.
    async fn send_pipelined(
        &self, connection: Connection, first: &Request, count: usize,
    ) -> Option<TcpStream> {
        let Connection { mut stream, reused } = connection;
        let more = (1..count).map(|_| self.requests.next("look"));
        let requests: Vec<Request> = std::iter::once(first.clone()).chain(more).collect();
        let text: String = requests.iter().map(Request::to_http).collect();
        stream.write_all(text.as_bytes()).await.ok()?;
        requests.iter().for_each(|request| self.recorder.record(request.sent_to(self.gateway)));
        let mut reader = Reader::new(MAX_BODY_BYTES);
        let mut answered = 0;
        let mut keep_alive = true;
        while keep_alive && answered < requests.len() {
            let Some(response) = self.receive(&mut stream, &mut reader, &requests[answered]).await else {
                break;
            };
            answered += 1;
            keep_alive = response.keep_alive;
        }
        let closed_while_idle = reused && answered == 0 && !reader.has_begun();
        for request in &requests[answered..] {
            if closed_while_idle || !keep_alive {
                self.recorder.record(EventKind::RequestMoved { id: request.id.clone() });
            } else {
                self.record_missing(request);
            }
        }
        (answered == requests.len() && keep_alive).then_some(stream)
    }

    /// Reads the next response and records it as the response to `request`.
    async fn receive(
        &self, stream: &mut TcpStream, reader: &mut Reader<StatusLine>, request: &Request,
    ) -> Option<CompleteMessage<StatusLine>> {
        let limit = request.client_timeout + LATE_RESPONSE_WAIT;
        let (response, _) = timeout(limit, read_message(stream, reader, &self.recorder)).await.ok()??;
        self.recorder.record(request.answered_by(&response));
        Some(response)
    }

    fn record_missing(&self, request: &Request) -> Option<TcpStream> {
        let reason = "the connection ended".into();
        self.recorder.record(EventKind::ResponseMissing { id: request.id.clone(), reason });
        None
    }
}
