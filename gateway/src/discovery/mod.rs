//! Follows the endpoint list that discovery serves: long polls that carry changes, as a watch.
mod connection;
mod timing;

pub use timing::renewal_delay;

use crate::endpoint_list::{EndpointList, EndpointListError};
use crate::events::{DiscoveryAddressReceiver, DiscoveryEvent, EventSender, GatewayEvent};
use crate::http1::{ParseError, Reader, StatusLine};
use crate::protocol::endpoints_target;
use connection::DiscoveryConnection;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use timing::{PollTiming, EMPTY_POLL_DELAY, FIRST_POLL, NEXT_POLL};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout_at, Instant};
use tracing::{debug, info, warn};

/// The largest endpoint list: 4 KiB for each of 1,024 servers, an eighth of the smallest gateway's memory.
const MAX_LIST_BYTES: usize = 1 << 22;
/// The status of a response that carries a list.
const STATUS_OK: u16 = 200;

/// Why a watch has ended.
#[derive(Debug, Error)]
enum WatchError {
    /// A poll had no response in time, over a connection that is up.
    #[error("no answer in time")]
    Silent,
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    #[error("cannot ask: {0}")]
    Send(#[source] io::Error),
    #[error("connection: {0}")]
    Receive(#[source] io::Error),
    #[error("the connection ended")]
    Closed,
    #[error("malformed response: {0}")]
    Parse(#[from] ParseError),
    #[error("status {0}")]
    Status(u16),
    #[error("malformed list: {0}")]
    List(#[from] EndpointListError),
}

/// How to follow discovery.
#[derive(Debug)]
pub struct FollowConfig {
    /// A connection that is not up after this has failed.
    pub connect_timeout: Duration,
    /// The revision of the cached list; `None` without one.
    pub revision: Option<u64>,
    /// How long this gateway waits before it renews a silent watch ([`renewal_delay`]).
    pub renewal_delay: Duration,
}

/// Watches discovery from `config.revision` on each time that a watch is requested, until a poll fails; and at once when
/// discovery's address changes. A silent watch is renewed once. Returns when the event loop has ended.
pub async fn follow(
    discovery: DiscoveryAddressReceiver, config: FollowConfig, requests: mpsc::Receiver<()>,
    events: EventSender,
) {
    let mut connection = DiscoveryConnection::new(config.connect_timeout);
    connection.reserve(*discovery.borrow());
    let watcher = Watcher {
        discovery,
        connection,
        revision: config.revision,
        renewal_delay: config.renewal_delay,
        requests,
        events,
        has_had_response: true,
    };
    watcher.run().await;
}

/// How a series of watches goes on.
enum Next {
    /// With another watch at once.
    Watch {
        /// Discovery's address has changed.
        has_moved: bool,
    },
    /// With the next request for a watch.
    Lost(WatchError),
    /// Not at all: nobody listens any more.
    Stop,
}

struct Watcher {
    discovery: DiscoveryAddressReceiver,
    connection: DiscoveryConnection,
    revision: Option<u64>,
    renewal_delay: Duration,
    requests: mpsc::Receiver<()>,
    events: EventSender,
    /// The latest watch has had a response. One that is silent from its start on is not renewed, but left to the
    /// balancer's backoff.
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
            warn!("discovery: {error}");
            self.discard_requests();
            if self.events.send(GatewayEvent::Discovery(DiscoveryEvent::WatchLost)).await.is_err() {
                return;
            }
        }
    }

    /// Watches until a watch is lost for good; `None` if nobody listens any more.
    async fn watch_until_lost(&mut self, mut has_moved: bool) -> Option<WatchError> {
        loop {
            // The watch that begins now serves them.
            self.discard_requests();
            let address = *self.discovery.borrow_and_update();
            if has_moved {
                // Another instance may number its revisions otherwise.
                self.revision = None;
            }
            match self.watch_once(address).await {
                Next::Watch { has_moved: moved } => has_moved = moved,
                Next::Lost(error) => return Some(error),
                Next::Stop => return None,
            }
        }
    }

    /// One watch, until it ends or discovery's address changes.
    async fn watch_once(&mut self, address: SocketAddr) -> Next {
        let delay = if self.has_had_response { Duration::ZERO } else { self.renewal_delay };
        let Watcher { discovery, connection, revision, events, has_had_response, .. } = self;
        let mut watch = Watch { connection, revision, has_had_response, events };
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
            None => Next::Watch { has_moved: true },
            Some(Ok(())) => Next::Stop,
            Some(Err(WatchError::Silent)) if std::mem::take(&mut self.has_had_response) => {
                info!("discovery: watch is silent; renewing it");
                Next::Watch { has_moved: false }
            }
            Some(Err(error)) => Next::Lost(error),
        }
    }

    fn discard_requests(&mut self) {
        while self.requests.try_recv().is_ok() {}
    }
}

/// What a poll has received.
struct PollResponse {
    list: EndpointList,
    /// The connection can carry another poll.
    keep_alive: bool,
}

/// A watch: one poll after another.
struct Watch<'a> {
    connection: &'a mut DiscoveryConnection,
    revision: &'a mut Option<u64>,
    has_had_response: &'a mut bool,
    events: &'a EventSender,
}

impl Watch<'_> {
    /// Polls as long as polls succeed and the event loop runs. Each poll has its own deadline, so that a discovery that
    /// falls silent is noticed; the first one's covers the dial.
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
            // A discovery that responds without waiting is not polled in a busy loop.
            let is_idle = list.endpoints.is_empty() && polled_at.elapsed() < EMPTY_POLL_DELAY;
            *self.revision = Some(list.revision);
            (*self.has_had_response, timing) = (true, NEXT_POLL);
            if self.events.send(GatewayEvent::Discovery(DiscoveryEvent::Update(list))).await.is_err() {
                return Ok(());
            }
            if is_idle {
                sleep(EMPTY_POLL_DELAY).await;
            }
            deadline = Instant::now() + NEXT_POLL.total();
            if !keep_alive || !reader.is_idle() {
                reader = Reader::new(MAX_LIST_BYTES);
                self.connection.dial(address, deadline).await?;
            }
        }
    }

    /// One poll.
    async fn poll(
        &mut self, address: SocketAddr, timing: &PollTiming, deadline: Instant,
        reader: &mut Reader<StatusLine>,
    ) -> Result<PollResponse, WatchError> {
        let target = endpoints_target(*self.revision, timing.wait_ms);
        let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let call = self.connection.call(reader, &request);
        let response = timeout_at(deadline, call).await.map_err(|_| WatchError::Silent)??;
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
