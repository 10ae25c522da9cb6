//! The event loop's clock, in milliseconds as the balancer counts them.
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that is anchored once to Unix time, so that it compares with servers' start times.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    anchor_unix_ms: f64,
}

impl Clock {
    /// A clock anchored now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { anchor: Instant::now(), anchor_unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    /// The time of an instant, in milliseconds of Unix time.
    pub fn at(&self, instant: Instant) -> f64 {
        self.anchor_unix_ms + instant.saturating_duration_since(self.anchor).as_secs_f64() * 1000.0
    }

    /// The time now, in milliseconds of Unix time.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// The instant of a time in milliseconds of Unix time. It is rounded up, by a microsecond more than rounding errors
    /// amount to, so that no timer fires early. A time more than a day ahead counts as a day ahead, which avoids overflow.
    pub fn instant(&self, ms: f64) -> Instant {
        const DAY_MS: f64 = 86_400_000.0;
        let since_ms = (ms - self.anchor_unix_ms).clamp(0.0, self.now() - self.anchor_unix_ms + DAY_MS);
        self.anchor + Duration::from_micros((since_ms * 1000.0).ceil() as u64 + 1)
    }
}
