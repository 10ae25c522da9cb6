//! The listener: accepts clients' connections, reads HTTP requests from them, and writes the responses.
//!
//! Beyond this module a request is a [`Request`](crate::events::Request) with opaque bytes to forward.
mod accept;
mod client;
mod close;
mod connection;
mod request;

use crate::descriptors::{Descriptor, Descriptors};
use crate::events::EventSender;
use crate::loop_lag::LoopLag;
use bytes::Bytes;
use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use ternstack_balancer::RequestId;
use ternstack_settings::Deployment;
use tokio::sync::{oneshot, watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

/// How many clients beyond the descriptor budget are accepted in order to be rejected.
pub const SPARE_CONNECTION_COUNT: usize = 24;
/// How many evicted connections may linger, each on a descriptor beyond the budget.
pub const LINGERING_CONNECTION_COUNT: usize = 8;

/// How often the end of the last connection is looked for.
const EMPTY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How far the gateway's graceful shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Not begun.
    Serving,
    /// New requests are served, one a connection.
    Stopping,
    /// Idle connections are closed besides.
    Closing,
    /// No connection is accepted any more, and requests on open ones are rejected.
    Rejecting,
}

/// What all clients' connections share.
pub struct Frontend {
    deployment: Deployment,
    events: EventSender,
    phase: watch::Receiver<ShutdownPhase>,
    next_request_id: AtomicU64,
    descriptors: Arc<Descriptors>,
    spare: Arc<Semaphore>,
    lingering: Semaphore,
    connection_count: AtomicUsize,
    open_correlation_ids: Mutex<HashSet<Bytes>>,
    /// The retry advice of a rejection that the balancer has no part in.
    max_retry_after_ms: f64,
    lag: LoopLag,
}

/// Counts a connection from its accept to its end.
struct ConnectionGuard(Arc<Frontend>);

impl ConnectionGuard {
    fn new(frontend: Arc<Frontend>) -> Self {
        frontend.connection_count.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(frontend)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connection_count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a connection holds while it is served.
enum ClientSlot {
    /// A descriptor of the budget.
    Admitted {
        descriptor: Descriptor,
        /// Completes when the connection is evicted.
        evicted: oneshot::Receiver<()>,
    },
    /// None of the budget: its request is rejected.
    Spare {
        /// Counts the connection among the spare ones until it is dropped.
        _permit: OwnedSemaphorePermit,
    },
}

impl ClientSlot {
    fn is_spare(&self) -> bool {
        matches!(self, ClientSlot::Spare { .. })
    }

    fn is_evicted(&self) -> bool {
        matches!(self, ClientSlot::Admitted { descriptor, .. } if descriptor.is_evicted())
    }

    /// Waits until the connection is evicted; for ever if it holds no descriptor of the budget.
    async fn evicted(&mut self) {
        match self {
            // An error comes only once the descriptor is gone too.
            ClientSlot::Admitted { evicted, .. } => drop(evicted.await),
            ClientSlot::Spare { .. } => std::future::pending().await,
        }
    }
}

/// Reserves a correlation id while its request is open.
struct CorrelationIdGuard<'a> {
    frontend: &'a Frontend,
    id: Bytes,
}

impl Drop for CorrelationIdGuard<'_> {
    fn drop(&mut self) {
        self.frontend.open_correlation_ids().remove(&self.id);
    }
}

impl Frontend {
    /// A frontend whose clients share the budget of `descriptors` with the connections to servers.
    pub fn new(
        deployment: Deployment, events: EventSender, phase: watch::Receiver<ShutdownPhase>,
        descriptors: Arc<Descriptors>, lag: LoopLag,
    ) -> Arc<Self> {
        Arc::new(Frontend {
            lag,
            max_retry_after_ms: deployment.balancer.max_retry_after_ms,
            deployment,
            events,
            phase,
            next_request_id: AtomicU64::new(0),
            descriptors,
            spare: Arc::new(Semaphore::new(SPARE_CONNECTION_COUNT)),
            lingering: Semaphore::new(LINGERING_CONNECTION_COUNT),
            connection_count: AtomicUsize::new(0),
            open_correlation_ids: Mutex::default(),
        })
    }

    /// Waits until no client's connection is left.
    pub async fn wait_until_empty(&self) {
        while self.connection_count.load(Ordering::Relaxed) > 0 {
            sleep(EMPTY_CHECK_INTERVAL).await;
        }
    }

    fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed))
    }

    fn open_correlation_ids(&self) -> MutexGuard<'_, HashSet<Bytes>> {
        self.open_correlation_ids.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves a correlation id; `None` while another open request has it.
    fn reserve_correlation_id(&self, id: Bytes) -> Option<CorrelationIdGuard<'_>> {
        let is_free = self.open_correlation_ids().insert(id.clone());
        // Not constructed otherwise: dropping the guard would release the other request's id.
        is_free.then(|| CorrelationIdGuard { frontend: self, id })
    }
}
