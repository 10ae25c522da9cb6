//! Connections to endpoints, and the attempts that are sent over these connections.
//!
//! Each connection has a task of its own, carries one attempt at a time, and is kept in a pool between
//! attempts.
mod attempt;
mod connection;
mod exchange;
mod load_report;
mod pool;

pub use attempt::{Attempt, Cancellation, Purpose};
pub use load_report::parse_load_report;

use crate::descriptors::Descriptors;
use crate::events::{AttemptResult, EventSender, GatewayEvent, ServedResponse};
use crate::invariants::Violations;
use crate::list_expiry::ListExpiry;
use crate::loop_lag::LoopLag;
use crate::memory::Memory;
use crate::protocol::LOAD_REPORT;
use pool::Pool;
use std::sync::Arc;
use std::time::Duration;
use ternstack_balancer::{EndpointId, Outcome};
use tokio::time::Instant;

/// The idle timeout of the gateway relative to that of endpoints. The gateway closes an idle connection
/// first, so that no attempt is sent on a connection that the endpoint is closing.
const IDLE_TIMEOUT_RATIO: f64 = 0.9;
/// The longest idle timeout, in seconds: a day.
const MAX_IDLE_TIMEOUT_S: f64 = 86_400.0;

/// The outcome of an attempt, with the endpoint's response if a complete one was received.
#[derive(Debug)]
struct ExchangeEnd {
    outcome: Outcome,
    response: Option<ServedResponse>,
}

impl From<Outcome> for ExchangeEnd {
    fn from(outcome: Outcome) -> Self {
        ExchangeEnd { outcome, response: None }
    }
}

/// The connections to all endpoints.
#[derive(Clone, Debug)]
pub struct Upstream {
    pool: Arc<Pool>,
    events: EventSender,
    descriptors: Arc<Descriptors>,
    memory: Arc<Memory>,
    violations: Violations,
    lag: LoopLag,
    list_expiry: ListExpiry,
    idle_timeout: Duration,
    connect_timeout: Duration,
}

impl Upstream {
    /// Returns the connections to all endpoints, within the budget of `descriptors`. Endpoints close idle
    /// connections after `endpoint_idle_timeout_ms` milliseconds, and the gateway closes them a little
    /// earlier.
    pub fn new(
        events: EventSender, descriptors: Arc<Descriptors>, endpoint_idle_timeout_ms: f64,
        connect_timeout: Duration,
    ) -> Self {
        let idle_timeout_s = (endpoint_idle_timeout_ms * IDLE_TIMEOUT_RATIO / 1000.0).min(MAX_IDLE_TIMEOUT_S);
        let idle_timeout = Duration::from_secs_f64(idle_timeout_s);
        Upstream {
            pool: Arc::default(),
            events,
            descriptors,
            memory: Memory::new(usize::MAX),
            violations: Violations::default(),
            lag: LoopLag::default(),
            list_expiry: ListExpiry::default(),
            idle_timeout,
            connect_timeout,
        }
    }

    /// Reserves the memory of large responses in `memory`, which has no bound by default.
    pub fn with_memory(mut self, memory: Arc<Memory>) -> Self {
        self.memory = memory;
        self
    }

    /// Counts violated invariants in `violations`.
    pub fn with_violations(mut self, violations: Violations) -> Self {
        self.violations = violations;
        self
    }

    /// Uses `lag`, which another task measures, to notice that the process has stalled.
    pub fn with_lag(mut self, lag: LoopLag) -> Self {
        self.lag = lag;
        self
    }

    /// Sends no attempt once the list has expired, which never happens by default.
    pub fn with_list_expiry(mut self, list_expiry: ListExpiry) -> Self {
        self.list_expiry = list_expiry;
        self
    }

    /// Sends an attempt over an idle connection to its endpoint, or over a new connection if none is idle.
    /// The result is sent to the event loop.
    pub fn start(&self, attempt: Attempt) {
        let Some(attempt) = self.pool.try_reuse(attempt) else { return };
        let slot = self.connection_slot();
        let upstream = self.clone();
        tokio::spawn(async move {
            match slot {
                Some(slot) => connection::run(upstream, slot, attempt).await,
                None => upstream.report_end(&attempt, Outcome::NotSent.into()).await,
            }
        });
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.pool.close(endpoint);
    }

    /// Returns a descriptor for a new connection. If the budget has no room, closes the connection that has
    /// been idle for longest, or else evicts a client connection. Returns `None` if neither is possible.
    fn connection_slot(&self) -> Option<ConnectionSlot> {
        if !self.descriptors.has_room() && self.pool.close_oldest() {
            self.descriptors.replace_upstream();
        } else if !self.descriptors.open_upstream() {
            return None;
        }
        Some(ConnectionSlot(self.descriptors.clone()))
    }

    /// Sends an attempt's result to the event loop.
    async fn report_end(&self, attempt: &Attempt, end: ExchangeEnd) {
        let ExchangeEnd { outcome, response } = end;
        let report_text = response.as_ref().map(|response| match attempt.purpose {
            Purpose::Request { .. } => response.message.fields.text(LOAD_REPORT).unwrap_or(""),
            Purpose::HealthCheck => std::str::from_utf8(&response.message.body).unwrap_or(""),
        });
        let report = report_text.map(parse_load_report).unwrap_or_default();
        let event = match attempt.purpose {
            Purpose::Request { id: request, attempt } => {
                let response = response.filter(|_| outcome == Outcome::Served);
                let ended_at = Instant::now();
                let result = AttemptResult { request, attempt, outcome, ended_at, report, response };
                GatewayEvent::AttemptEnded(result)
            }
            Purpose::HealthCheck => {
                GatewayEvent::HealthCheckEnded { endpoint: attempt.endpoint, outcome, report }
            }
        };
        // The event loop's queue is closed only when the gateway stops.
        let _ = self.events.send(event).await;
    }
}

/// An upstream connection's descriptor in the budget, which is free again once this value is dropped.
struct ConnectionSlot(Arc<Descriptors>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.close_upstream();
    }
}
