//! Polls one control server after another: connects to the selected server, backs off after failures, fails back to
//! preferred servers. The replication core decides what is polled and applies the responses; [`ServerSelection`] decides
//! which server is connected.
use crate::clock::Clock;
use crate::frames::ConnectionError;
use crate::lock::lock;
use crate::server_connection::{ConnectionEnd, ServerConnection};
use crate::server_selection::ServerSelection;
use crate::traffic::TrafficCounter;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use ternstack_replication::follower::{Follower, FollowerEvent, ResponseError};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::replica::Replica;
use ternstack_replication::storage::Storage;
use ternstack_replication::wire::{PollRequest, PollResponse};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use tracing::info;

/// A connection attempt may take the response timeout divided by this.
const CONNECT_TIMEOUTS_PER_RESPONSE_TIMEOUT_RATIO: f64 = 2.0;

/// A replication state machine that polls. Times are in ms of the client's clock.
pub(crate) trait PollingCore {
    /// When the next poll is due if nothing comes until then.
    fn next_poll_at_ms(&mut self, now_ms: f64) -> f64;
    /// The next poll, if one is due.
    fn poll(&mut self, now_ms: f64) -> Option<PollRequest>;
    /// Applies a response.
    fn on_response(
        &mut self, now_ms: f64, response: PollResponse,
    ) -> Result<Vec<FollowerEvent>, ResponseError>;
    /// Polls go over another connection from now on.
    fn on_reconnected(&mut self);
    /// When its lease expires.
    fn lease_expires_at_ms(&self) -> f64;
}

impl<K: Storage> PollingCore for Follower<K> {
    fn next_poll_at_ms(&mut self, _: f64) -> f64 {
        self.next_poll()
    }

    fn poll(&mut self, now_ms: f64) -> Option<PollRequest> {
        self.poll(now_ms)
    }

    fn on_response(
        &mut self, now_ms: f64, response: PollResponse,
    ) -> Result<Vec<FollowerEvent>, ResponseError> {
        self.handle_response(now_ms, response)
    }

    fn on_reconnected(&mut self) {
        self.reconnected();
    }

    fn lease_expires_at_ms(&self) -> f64 {
        self.lease_until()
    }
}

impl PollingCore for Replica {
    fn next_poll_at_ms(&mut self, now_ms: f64) -> f64 {
        self.next_poll(now_ms)
    }

    fn poll(&mut self, now_ms: f64) -> Option<PollRequest> {
        self.poll(now_ms)
    }

    fn on_response(
        &mut self, now_ms: f64, response: PollResponse,
    ) -> Result<Vec<FollowerEvent>, ResponseError> {
        self.handle_response(now_ms, response)
    }

    fn on_reconnected(&mut self) {
        self.reconnected();
    }

    fn lease_expires_at_ms(&self) -> f64 {
        self.follower().lease_until()
    }
}

/// Is notified of connections and of what responses change. Must not block.
pub(crate) trait PollingObserver {
    /// A connection to the server of that index has been established.
    fn on_connected(&mut self, server: usize);
    /// That connection has ended.
    fn on_disconnected(&mut self);
    /// A response has been applied, with these results.
    fn on_applied(&mut self, now_ms: f64, events: Vec<FollowerEvent>);
}

/// Observes nothing.
impl PollingObserver for () {
    fn on_connected(&mut self, _: usize) {}
    fn on_disconnected(&mut self) {}
    fn on_applied(&mut self, _: f64, _: Vec<FollowerEvent>) {}
}

/// Why there is no connection to a server, or no longer.
#[derive(Debug, Error)]
pub(crate) enum DisconnectReason {
    /// The list of servers is empty.
    #[error("no control server is configured")]
    NoServer,
    /// The server could not be connected.
    #[error("{0}")]
    Connect(#[source] io::Error),
    /// The server has granted no lease until [`ServerSelection::deadline_ms`]: it sent nothing, or its responses granted
    /// none. The two are not told apart.
    #[error("no lease was granted in time")]
    NoLease,
    /// The server did not read a poll until that time.
    #[error("the server does not read")]
    WriteTimedOut,
    /// The server sent a message that is no response.
    #[error("the server sent a message that is not a poll response")]
    UnexpectedMessage,
    /// The server closed the connection.
    #[error("the server closed the connection")]
    Closed,
    /// The connection failed, or a frame is malformed.
    #[error("{0}")]
    Frame(#[from] ConnectionError),
}

/// The time limit of a connection attempt: a part of the time in which a response has to arrive.
pub(crate) fn connect_timeout(lease: &LeaseConfig) -> Duration {
    let timeout_ms = lease.response_timeout_ms() / CONNECT_TIMEOUTS_PER_RESPONSE_TIMEOUT_RATIO;
    Duration::from_secs_f64(timeout_ms / 1000.0)
}

/// Connects to `server`, within `connect_timeout`.
pub(crate) async fn connect(
    server: Option<SocketAddr>, connect_timeout: Duration,
) -> Result<TcpStream, DisconnectReason> {
    let server = server.ok_or(DisconnectReason::NoServer)?;
    let connecting = timeout(connect_timeout, TcpStream::connect(server)).await;
    let connected = connecting.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let stream = connected.map_err(DisconnectReason::Connect)?;
    stream.set_nodelay(true).map_err(DisconnectReason::Connect)?;
    Ok(stream)
}

/// Keeps a replication core up to date by polling control servers.
pub(crate) struct PollingClient<'a, C> {
    /// The name of the member, for the log.
    pub name: &'a str,
    /// The state machine that polls.
    pub core: &'a Mutex<C>,
    /// The core's clock.
    pub clock: Clock,
    /// The addresses of the servers.
    pub servers: &'a [SocketAddr],
    /// Counts the messages of all connections.
    pub traffic: &'a TrafficCounter,
    /// Notified when the core may have a poll due earlier.
    pub wake: &'a Notify,
    /// The core is checked at this interval, in ms, for polls that become due without a notification.
    pub check_interval_ms: f64,
    /// The time limit of a connection attempt.
    pub connect_timeout: Duration,
}

impl<C: PollingCore> PollingClient<'_, C> {
    /// Polls for as long as the future is polled.
    pub async fn run(
        &self, mut selection: ServerSelection, observer: &mut impl PollingObserver,
    ) -> Infallible {
        let mut failback_stream = None;
        loop {
            let server = selection.current_server();
            let address = self.servers.get(server).copied();
            let connected = match failback_stream.take() {
                Some(stream) => Ok(stream),
                None => connect(address, self.connect_timeout).await,
            };
            let end = match connected {
                Ok(stream) => self.use_connection(stream, server, &mut selection, observer).await,
                Err(reason) => ConnectionEnd::Disconnected(reason),
            };
            match end {
                ConnectionEnd::Failback { rank, stream } => {
                    info!(name = self.name, "failing back to a preferred control server");
                    selection.on_failback(rank);
                    failback_stream = Some(stream);
                }
                ConnectionEnd::Disconnected(reason) => {
                    let backoff = Duration::from_secs_f64(selection.on_failure() / 1000.0);
                    info!(name = self.name, server = ?address, %reason, "leaving control server");
                    sleep(backoff).await;
                }
            }
        }
    }

    async fn use_connection(
        &self, mut stream: TcpStream, server: usize, selection: &mut ServerSelection,
        observer: &mut impl PollingObserver,
    ) -> ConnectionEnd {
        selection.on_connected(self.clock.now_ms());
        lock(self.core).on_reconnected();
        observer.on_connected(server);
        let end = ServerConnection::new(self, &mut stream).run(selection, observer).await;
        observer.on_disconnected();
        end
    }
}
