//! The client of discovery, which follows the endpoint list by a watch: a series of long polls for changes.
mod connection;
mod error;
mod silence;
mod timing;
mod watch;

pub use timing::renewal_delay;

use crate::events::{DiscoveryAddressReceiver, DiscoveryEvent, EventSender, GatewayEvent};
use crate::loop_lag::LoopLag;
use crate::memory::Memory;
use connection::DiscoveryConnection;
use error::WatchError;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use timing::PollTimings;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::{info, warn};
use watch::Watch;

/// The configuration of a gateway's watches of discovery.
#[derive(Debug)]
pub struct FollowConfig {
    /// The time after which connecting to discovery is given up.
    pub connect_timeout: Duration,
    /// The revision of the cached list, from which the first watch starts; `None` without a cached list.
    pub revision: Option<u64>,
    /// How long this gateway waits before it renews a silent watch ([`renewal_delay`]).
    pub renewal_delay: Duration,
    /// How long the endpoint list may be acted on without word from discovery; `None` if the list does not become
    /// stale.
    pub list_lifetime: Option<Duration>,
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
    let address = *discovery.borrow();
    let new_connection = || {
        let mut connection = DiscoveryConnection::new(config.connect_timeout, &config.memory);
        connection.reserve(address);
        connection
    };
    let timings = PollTimings::new(config.list_lifetime);
    let watcher = Watcher {
        discovery,
        connection: new_connection(),
        probe_connection: timings.probe_interval.map(|_| new_connection()),
        timings,
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
    /// The connection of the probes beside a first poll without a response, if probes are sent.
    probe_connection: Option<DiscoveryConnection>,
    timings: PollTimings,
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
                let moved = GatewayEvent::Discovery(DiscoveryEvent::Moved);
                self.events.send(moved).await.ok()?;
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
        let Watcher { discovery, connection, probe_connection, timings, revision, .. } = self;
        let mut watch = Watch {
            connection,
            probe_connection: probe_connection.as_mut(),
            timings,
            revision,
            has_had_response: &mut self.has_had_response,
            events: &self.events,
            lag: &self.lag,
        };
        let ended = tokio::select! {
            biased;
            Ok(()) = discovery.changed() => None,
            ended = async {
                sleep(delay).await;
                watch.run(address).await
            } => Some(ended),
        };
        self.connection.reserve(address);
        if let Some(probe_connection) = &mut self.probe_connection {
            probe_connection.reserve(address);
        }
        match ended {
            None => NextStep::Watch { has_moved: true },
            Some(Ok(())) => NextStep::Stop,
            Some(Err(error)) if error.is_timeout() && std::mem::take(&mut self.has_had_response) => {
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
