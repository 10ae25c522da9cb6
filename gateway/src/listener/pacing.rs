//! Pauses of a client connection that has done more than its share of work.
use super::Frontend;
use crate::work_budget::{ConnectionId, WorkMeter, MAX_PAUSE_MS};
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// The longest sum of the pauses of one request, in full length.
const MAX_REQUEST_PAUSE: Duration = Duration::from_millis(MAX_PAUSE_MS as u64);
/// The pause before a read of a request that has been paused for [`MAX_REQUEST_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// The work of one client connection, and the time until which it pauses.
pub(super) struct Pacer {
    connection_id: ConnectionId,
    meter: WorkMeter,
    resume_at: Option<Instant>,
    /// The sum of the pauses of the request that is being received.
    paused: Duration,
}

impl Pacer {
    pub(super) fn new(connection_id: ConnectionId) -> Self {
        Pacer { connection_id, meter: WorkMeter::default(), resume_at: None, paused: Duration::ZERO }
    }

    /// Records that the connection has waited for its client or for an endpoint until now.
    pub(super) fn rest(&mut self, frontend: &Frontend) {
        frontend.budgets.rest(&mut self.meter);
    }

    /// Charges the connection for work on bytes that have been waiting for the gateway.
    pub(super) fn charge(&mut self, frontend: &Frontend, cost_us: f64) {
        let pause_ms = frontend.budgets.charge(self.connection_id, &mut self.meter, cost_us);
        let pause = Duration::from_secs_f64(pause_ms / 1000.0);
        let left = MAX_REQUEST_PAUSE.saturating_sub(self.paused).max(MIN_PAUSE);
        self.resume_at = (pause > Duration::ZERO).then(|| Instant::now() + pause.min(left));
    }

    /// Records that a request is complete. The pauses before the next one are counted anew.
    pub(super) fn begin_request(&mut self) {
        self.paused = Duration::ZERO;
    }

    /// Returns whether the connection must pause before it does further work.
    pub(super) fn must_pause(&self) -> bool {
        self.resume_at.is_some()
    }

    /// Waits until the connection may do further work. Cancel safe.
    pub(super) async fn pause(&mut self) {
        if let Some(resume_at) = self.resume_at {
            let paused_at = Instant::now();
            sleep_until(resume_at).await;
            self.paused += paused_at.elapsed();
            self.resume_at = None;
        }
    }
}
