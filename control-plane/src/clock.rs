//! One monotonic time in ms, as the state machines have it.
use std::time::Duration;
use tokio::time::Instant;

/// A clock that began with its making. Copies tell the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// One that tells 0 now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Now, in ms.
    pub fn now(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1000.0
    }

    /// The moment of a time in ms; a day from now for what is later, or never.
    pub fn at(&self, ms: f64) -> Instant {
        let latest = self.now() + 86_400_000.0;
        // `min` takes the number where the other is none.
        self.0 + Duration::from_secs_f64(latest.min(ms).max(0.0) / 1000.0)
    }
}
