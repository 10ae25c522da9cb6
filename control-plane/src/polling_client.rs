//! A client that polls one control server at a time. The client connects to the selected server, backs off
//! after failures and fails back to preferred servers. The replication core decides what to poll and applies
//! the responses; [`ServerSelection`] decides which server to connect to.
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

/// The response timeout divided by the time limit of a connection attempt.
const CONNECT_TIMEOUTS_PER_RESPONSE_TIMEOUT: f64 = 2.0;

/// A replication state machine that polls a lessor. Times are in ms of the client's clock.
pub(crate) trait PollingCore {
    /// Returns the time at which the next poll is due, unless a response or a subscription changes that time.
    fn next_poll_at_ms(&mut self, now_ms: f64) -> f64;
    /// Returns the next poll if one is due.
    fn poll(&mut self, now_ms: f64) -> Option<PollRequest>;
    /// Applies a response and returns what the response has changed.
    fn on_response(
        &mut self, now_ms: f64, response: PollResponse,
    ) -> Result<Vec<FollowerEvent>, ResponseError>;
    /// Records that the following polls are sent over a new connection.
    fn on_reconnected(&mut self);
    /// Returns the time at which the lease of the state machine expires.
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

/// An observer of connections and of applied responses. The methods must not block.
pub(crate) trait PollingObserver {
    /// Handles an established connection. `server` is the index of the server in [`PollingClient::servers`].
    fn on_connected(&mut self, server: usize);
    /// Handles the end of the connection.
    fn on_disconnected(&mut self);
    /// Handles the events of a response that has been applied.
    fn on_applied(&mut self, now_ms: f64, events: Vec<FollowerEvent>);
}

/// An observer that ignores everything.
impl PollingObserver for () {
    fn on_connected(&mut self, _: usize) {}
    fn on_disconnected(&mut self) {}
    fn on_applied(&mut self, _: f64, _: Vec<FollowerEvent>) {}
}

/// The reason why a connection to a server was not established or has ended.
#[derive(Debug, Error)]
pub(crate) enum DisconnectReason {
    /// The list of servers is empty.
    #[error("no control server is configured")]
    NoServer,
    /// The connection could not be established.
    #[error("could not connect: {0}")]
    Connect(#[source] io::Error),
    /// The server granted no lease before [`ServerSelection::deadline_ms`]: it sent either nothing or only
    /// responses without a lease.
    #[error("no lease was granted in time")]
    NoLease,
    /// The server did not read a poll before [`ServerSelection::deadline_ms`].
    #[error("the server did not read a poll in time")]
    WriteTimedOut,
    /// The server sent a message that is not a poll response.
    #[error("the server sent a message that is not a poll response")]
    UnexpectedMessage,
    /// The server closed the connection.
    #[error("the server closed the connection")]
    Closed,
    /// The connection failed, or a frame is malformed.
    #[error(transparent)]
    Frame(#[from] ConnectionError),
}

/// Returns the time limit of a connection attempt, which is a part of the response timeout.
pub(crate) fn connect_timeout(lease: &LeaseConfig) -> Duration {
    let timeout_ms = lease.response_timeout_ms() / CONNECT_TIMEOUTS_PER_RESPONSE_TIMEOUT;
    Duration::from_secs_f64(timeout_ms / 1000.0)
}

/// Connects to `server` within `connect_timeout`.
///
/// # Errors
/// [`DisconnectReason::NoServer`] if `server` is `None`, [`DisconnectReason::Connect`] if the connection
/// fails or takes too long.
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

/// A client that keeps a replication core up to date by polling control servers.
pub(crate) struct PollingClient<'a, C> {
    /// The name of the member that polls, which log lines show.
    pub name: &'a str,
    /// The state machine that creates polls and applies responses.
    pub core: &'a Mutex<C>,
    /// The clock from which the core takes its times.
    pub clock: Clock,
    /// The addresses of the servers. [`ServerSelection`] refers to a server by its index here.
    pub servers: &'a [SocketAddr],
    /// The counter of the messages of all connections.
    pub traffic: &'a TrafficCounter,
    /// Notified when a change of the core may make a poll due earlier.
    pub wake: &'a Notify,
    /// The interval in ms at which the core is checked for polls that became due without a notification.
    pub check_interval_ms: f64,
    /// The time limit of a connection attempt.
    pub connect_timeout: Duration,
}

impl<C: PollingCore> PollingClient<'_, C> {
    /// Polls the servers for as long as the returned future is polled.
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
