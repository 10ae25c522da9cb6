//! Pauses of a client connection that has done more than its share of work.
use super::Frontend;
use crate::work_budget::{ConnectionId, WorkMeter};
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// The work of one client connection, and the time until which it pauses.
pub(super) struct Pacer {
    connection_id: ConnectionId,
    meter: WorkMeter,
    resume_at: Option<Instant>,
}

impl Pacer {
    pub(super) fn new(connection_id: ConnectionId) -> Self {
        Pacer { connection_id, meter: WorkMeter::default(), resume_at: None }
    }

    /// Charges the connection for work.
    pub(super) fn charge(&mut self, frontend: &Frontend, cost_us: f64) {
        let pause_ms = frontend.budgets.charge(self.connection_id, &mut self.meter, cost_us);
        self.resume_at =
            (pause_ms > 0.0).then(|| Instant::now() + Duration::from_secs_f64(pause_ms / 1000.0));
    }

    /// Waits until the connection may do further work. Cancel safe.
    pub(super) async fn pause(&mut self) {
        if let Some(resume_at) = self.resume_at {
            sleep_until(resume_at).await;
            self.resume_at = None;
        }
    }
}
