//! The listener: accepts client connections, reads HTTP requests from them, and writes the responses.
//!
//! Other modules see a request as a [`Request`](crate::events::Request) with opaque bytes to forward.
mod accept;
mod client;
mod close;
mod connection;
mod pacing;
mod read_ahead;
mod request;
mod request_queue;
mod responding;

use crate::budgets::Budgets;
use crate::closes::CloseCounters;
use crate::correlation_ids::SharedCorrelationIds;
use crate::descriptors::Descriptor;
use crate::events::EventSender;
use crate::loop_lag::LoopLag;
use crate::work_budget::ConnectionId;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use ternstack_balancer::RequestId;
use ternstack_settings::Deployment;
use tokio::sync::{oneshot, watch, Semaphore};
use tokio::time::sleep;

/// The maximum number of client connections that are accepted beyond the descriptor budget, so that their
/// requests can be rejected with retry advice.
pub const MAX_SPARE_CONNECTIONS: usize = 24;
/// The maximum number of evicted connections that linger at the same time, each on a descriptor beyond the
/// budget.
pub const MAX_LINGERING_CONNECTIONS: usize = 8;

/// The interval at which a shutdown checks whether all client connections have been closed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The phases of the gateway's graceful shutdown, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The shutdown has not begun.
    Serving,
    /// New requests are served, and each connection is closed after its next response.
    Stopping,
    /// New requests are served as in `Stopping`, and idle connections are closed.
    Closing,
    /// New connections are not accepted, and new requests on open connections are rejected.
    Rejecting,
}

/// The state that all client connections share.
pub struct Frontend {
    deployment: Deployment,
    events: EventSender,
    phase: watch::Receiver<ShutdownPhase>,
    next_request_id: AtomicU64,
    budgets: Budgets,
    closes: CloseCounters,
    lingering_slots: Semaphore,
    connection_count: AtomicUsize,
    last_connection_id: AtomicU64,
    correlation_ids: Arc<SharedCorrelationIds>,
    /// The retry advice, in milliseconds, of a rejection that the balancer has not decided.
    max_retry_after_ms: f64,
    lag: LoopLag,
}

/// A guard that counts a client connection from its accept until the guard is dropped.
struct ConnectionGuard {
    frontend: Arc<Frontend>,
    id: ConnectionId,
}

impl ConnectionGuard {
    fn new(frontend: Arc<Frontend>) -> Self {
        frontend.connection_count.fetch_add(1, Ordering::Relaxed);
        let id = frontend.last_connection_id.fetch_add(1, Ordering::Relaxed) + 1;
        ConnectionGuard { frontend, id }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.frontend.budgets.remove_connection(self.id);
        self.frontend.connection_count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The descriptor that a client connection holds while it is served.
struct ClientSlot {
    descriptor: Descriptor,
    /// Completes when the connection is evicted.
    evicted: oneshot::Receiver<()>,
}

impl ClientSlot {
    /// Waits until the connection is evicted.
    async fn evicted(&mut self) {
        // The result does not matter: the sender is dropped without a message only after the descriptor.
        let _ = (&mut self.evicted).await;
    }
}

impl Frontend {
    /// Returns a frontend whose client connections share `budgets` with the upstream connections.
    pub fn new(
        deployment: Deployment, events: EventSender, phase: watch::Receiver<ShutdownPhase>, budgets: Budgets,
        lag: LoopLag,
    ) -> Arc<Self> {
        Arc::new(Frontend {
            lag,
            max_retry_after_ms: deployment.balancer.max_retry_after_ms,
            deployment,
            events,
            phase,
            next_request_id: AtomicU64::new(0),
            budgets,
            closes: CloseCounters::default(),
            lingering_slots: Semaphore::new(MAX_LINGERING_CONNECTIONS),
            connection_count: AtomicUsize::new(0),
            last_connection_id: AtomicU64::new(0),
            correlation_ids: SharedCorrelationIds::new(),
        })
    }

    /// Waits until all client connections have been closed.
    pub async fn wait_until_drained(&self) {
        while self.connection_count.load(Ordering::Relaxed) > 0 {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed))
    }
}
