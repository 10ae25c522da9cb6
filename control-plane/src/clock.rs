//! A monotonic clock in milliseconds, which the replication state machines take their times from.
use std::time::Duration;
use tokio::time::Instant;

/// The longest time from now to an instant that [`Clock::instant_at`] returns: one day. Infinity stands for
/// "no deadline" and has no [`Instant`].
const MAX_WAIT_MS: f64 = 86_400_000.0;

/// A clock that counts milliseconds from its start. Copies of a clock share its start and show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at 0 ms.
    pub fn start() -> Self {
        Clock { started_at: Instant::now() }
    }

    /// Returns the time since the start of the clock, in ms.
    pub fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Returns the instant at which this clock shows `time_ms`. A negative time gives the start of the clock;
    /// a time more than a day ahead, infinity and NaN give the instant a day from now.
    pub fn instant_at(&self, time_ms: f64) -> Instant {
        let latest_ms = self.now_ms() + MAX_WAIT_MS;
        // `f64::min` returns the other operand for NaN.
        let bounded_ms = latest_ms.min(time_ms).max(0.0);
        self.started_at + Duration::from_secs_f64(bounded_ms / 1000.0)
    }
}
