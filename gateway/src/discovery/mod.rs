//! The client of discovery, which follows the endpoint list by a watch: a series of long polls for changes.
mod connection;
mod timing;

pub use timing::renewal_delay;

use crate::endpoint_list::{EndpointList, EndpointListError};
use crate::events::{DiscoveryAddressReceiver, DiscoveryEvent, EventSender, GatewayEvent};
use crate::http1::{ParseError, Reader, StatusLine};
use crate::loop_lag::LoopLag;
use crate::memory::{Memory, MemoryExhausted};
use crate::protocol::endpoints_target;
use connection::DiscoveryConnection;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use timing::{PollTiming, EMPTY_POLL_DELAY, FIRST_POLL, NEXT_POLL};
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};
use tracing::{debug, info, warn};

/// The largest accepted endpoint list: 4 KiB for each of 1,024 endpoints, an eighth of the smallest gateway's
/// memory.
const MAX_LIST_BYTES: usize = 1 << 22;
/// The HTTP status of a response that contains an endpoint list.
const STATUS_OK: u16 = 200;

/// The reason why a watch has ended.
#[derive(Debug, Error)]
enum WatchError {
    /// A poll on an open connection had no response in time.
    #[error("no response in time")]
    Silent,
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    #[error("cannot send a poll: {0}")]
    Send(#[source] io::Error),
    #[error("cannot receive a response: {0}")]
    Receive(#[source] io::Error),
    #[error("connection closed before a complete response")]
    Closed,
    #[error("malformed response: {0}")]
    Parse(#[from] ParseError),
    #[error("expected status {STATUS_OK}, got {0}")]
    Status(u16),
    #[error("malformed endpoint list: {0}")]
    List(#[from] EndpointListError),
    #[error("endpoint list: {0}")]
    Memory(#[from] MemoryExhausted),
}

/// The configuration of a gateway's watches of discovery.
#[derive(Debug)]
pub struct FollowConfig {
    /// The time after which connecting to discovery is given up.
    pub connect_timeout: Duration,
    /// The revision of the cached list, from which the first watch starts; `None` without a cached list.
    pub revision: Option<u64>,
    /// How long this gateway waits before it renews a silent watch ([`renewal_delay`]).
    pub renewal_delay: Duration,
    /// The budget in which the memory of large lists is reserved.
    pub memory: Arc<Memory>,
    /// The measurement of the process's stalls.
    pub lag: LoopLag,
}

/// Watches discovery, starting from `config.revision`. A watch begins when one is requested or when
/// discovery's address changes, and ends when a poll fails. A silent watch is renewed once. Returns when the
/// event loop has ended.
pub async fn follow(
    discovery: DiscoveryAddressReceiver, config: FollowConfig, requests: mpsc::Receiver<()>,
    events: EventSender,
) {
    let mut connection = DiscoveryConnection::new(config.connect_timeout, &config.memory);
    connection.reserve(*discovery.borrow());
    let watcher = Watcher {
        discovery,
        connection,
        revision: config.revision,
        renewal_delay: config.renewal_delay,
        requests,
        events,
        lag: config.lag,
        has_had_response: true,
    };
    watcher.run().await;
}

/// The next step after the end of a watch.
enum NextStep {
    /// Another watch begins at once.
    Watch {
        /// Whether discovery's address has changed.
        has_moved: bool,
    },
    /// Another watch begins when the balancer requests one.
    Lost(WatchError),
    /// No further watch begins, because the event loop has ended.
    Stop,
}

/// The state of the task that watches discovery.
struct Watcher {
    discovery: DiscoveryAddressReceiver,
    connection: DiscoveryConnection,
    revision: Option<u64>,
    renewal_delay: Duration,
    requests: mpsc::Receiver<()>,
    events: EventSender,
    lag: LoopLag,
    /// Whether the latest watch has received a response. A watch that is silent from its start is not
    /// renewed; the balancer requests another one after its backoff.
    has_had_response: bool,
}

impl Watcher {
    async fn run(mut self) {
        loop {
            let has_moved = tokio::select! {
                request = self.requests.recv() => match request {
                    Some(()) => false,
                    None => return,
                },
                Ok(()) = self.discovery.changed() => true,
            };
            self.has_had_response = true;
            let Some(error) = self.watch_until_lost(has_moved).await else { return };
            warn!(%error, "watch of discovery lost");
            self.discard_requests();
            if self.events.send(GatewayEvent::Discovery(DiscoveryEvent::WatchLost)).await.is_err() {
                return;
            }
        }
    }

    /// Watches until a watch is lost and not renewed; returns `None` if the event loop has ended.
    async fn watch_until_lost(&mut self, mut has_moved: bool) -> Option<WatchError> {
        loop {
            // The watch that begins now fulfils all earlier requests.
            self.discard_requests();
            let address = *self.discovery.borrow_and_update();
            if has_moved {
                // Revisions are not comparable between two instances of discovery.
                self.revision = None;
            }
            match self.watch_once(address).await {
                NextStep::Watch { has_moved: moved } => has_moved = moved,
                NextStep::Lost(error) => return Some(error),
                NextStep::Stop => return None,
            }
        }
    }

    /// Runs one watch until it ends or discovery's address changes.
    async fn watch_once(&mut self, address: SocketAddr) -> NextStep {
        let delay = if self.has_had_response { Duration::ZERO } else { self.renewal_delay };
        let Watcher { discovery, connection, revision, events, lag, has_had_response, .. } = self;
        let mut watch = Watch { connection, revision, has_had_response, events, lag };
        let ended = tokio::select! {
            biased;
            Ok(()) = discovery.changed() => None,
            ended = async {
                sleep(delay).await;
                watch.run(address).await
            } => Some(ended),
        };
        self.connection.reserve(address);
        match ended {
            None => NextStep::Watch { has_moved: true },
            Some(Ok(())) => NextStep::Stop,
            Some(Err(WatchError::Silent)) if std::mem::take(&mut self.has_had_response) => {
                info!("watch of discovery is silent; renewing the watch");
                NextStep::Watch { has_moved: false }
            }
            Some(Err(error)) => NextStep::Lost(error),
        }
    }

    fn discard_requests(&mut self) {
        while self.requests.try_recv().is_ok() {}
    }
}

/// The response to a poll.
struct PollResponse {
    list: EndpointList,
    /// Whether the connection can carry another poll.
    keep_alive: bool,
}

/// One watch, with the state of the [`Watcher`] that its polls change.
struct Watch<'a> {
    connection: &'a mut DiscoveryConnection,
    revision: &'a mut Option<u64>,
    has_had_response: &'a mut bool,
    events: &'a EventSender,
    lag: &'a LoopLag,
}

impl Watch<'_> {
    /// Polls discovery until a poll fails or the event loop ends. Each poll has a deadline of its own, so
    /// that a silent discovery is noticed. The deadline of the first poll includes the time to connect.
    async fn run(&mut self, address: SocketAddr) -> Result<(), WatchError> {
        let mut deadline = Instant::now() + FIRST_POLL.total();
        self.connection.dial(address, deadline).await?;
        let mut reader = Reader::new(MAX_LIST_BYTES);
        info!(discovery = %address, revision = *self.revision, "watching discovery");
        let mut timing = FIRST_POLL;
        loop {
            let polled_at = Instant::now();
            let PollResponse { list, keep_alive } =
                self.poll(address, &timing, deadline, &mut reader).await?;
            (*self.has_had_response, timing) = (true, NEXT_POLL);
            if self.is_of_another_history(&list) {
                let (revision, known) = (list.revision, *self.revision);
                warn!(revision, known, "revision of discovery went back; requesting the complete list");
                *self.revision = None;
            } else {
                // The pause avoids a busy loop if discovery responds to polls without waiting for a change.
                let is_idle = list.endpoints.is_empty() && polled_at.elapsed() < EMPTY_POLL_DELAY;
                *self.revision = Some(list.revision);
                if self.events.send(GatewayEvent::Discovery(DiscoveryEvent::Update(list))).await.is_err() {
                    return Ok(());
                }
                if is_idle {
                    sleep(EMPTY_POLL_DELAY).await;
                }
            }
            deadline = Instant::now() + NEXT_POLL.total();
            if !keep_alive || !reader.is_idle() {
                reader = Reader::new(MAX_LIST_BYTES);
                self.connection.dial(address, deadline).await?;
            }
        }
    }

    /// Returns whether a list contains changes to a revision that this gateway does not have, because another
    /// process with revisions of its own has taken discovery's place.
    fn is_of_another_history(&self, list: &EndpointList) -> bool {
        !list.is_complete && self.revision.is_some_and(|known| list.revision < known)
    }

    /// Sends one poll and waits for its response until `deadline`.
    async fn poll(
        &mut self, address: SocketAddr, timing: &PollTiming, deadline: Instant,
        reader: &mut Reader<StatusLine>,
    ) -> Result<PollResponse, WatchError> {
        let target = endpoints_target(*self.revision, timing.wait_ms);
        let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let call = self.connection.call(reader, &request);
        let response = self.lag.timeout_at(deadline, call).await.ok_or(WatchError::Silent)??;
        if response.start_line.code != STATUS_OK {
            return Err(WatchError::Status(response.start_line.code));
        }
        let list = EndpointList::from_slice(&response.body)?;
        debug!(
            revision = list.revision,
            is_complete = list.is_complete,
            endpoints = list.endpoints.len(),
            "endpoint list received"
        );
        Ok(PollResponse { list, keep_alive: response.keep_alive })
    }
}
