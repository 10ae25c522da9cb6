//! A monotonic clock in milliseconds, the time base of the replication state machines.
use std::time::Duration;
use tokio::time::Instant;

/// The longest time from now to an instant that [`Clock::instant_at`] returns, in ms: a day.
const MAX_WAIT_MS: f64 = 86_400_000.0;

/// Milliseconds since the clock was started. Copies tell the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at 0 ms.
    pub fn start() -> Self {
        Clock { started_at: Instant::now() }
    }

    /// The time since the start, in ms.
    pub fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant of a time in ms of this clock. Times before the start become the start; times later than a day from now,
    /// infinity and NaN become a day from now.
    pub fn instant_at(&self, time_ms: f64) -> Instant {
        let latest_ms = self.now_ms() + MAX_WAIT_MS;
        // `f64::min` returns the other operand for NaN.
        let bounded_ms = latest_ms.min(time_ms).max(0.0);
        self.started_at + Duration::from_secs_f64(bounded_ms / 1000.0)
    }
}
