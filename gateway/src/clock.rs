//! One clock for the whole gateway, in milliseconds as the module counts them.
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Anchored once to Unix time, so that it compares with a host's `boot_ms`, and monotonic from there on.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    unix_ms: f64,
}

impl Clock {
    /// A clock anchored now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { anchor: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    /// The time of an instant.
    pub fn at(&self, instant: Instant) -> f64 {
        self.unix_ms + instant.saturating_duration_since(self.anchor).as_secs_f64() * 1000.0
    }

    /// The time now.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// The instant of a time, rounded up to a microsecond past what rounding can hide, so that no timer fires
    /// early. A time more than a day ahead counts as a day ahead, lest it overflow.
    pub fn instant(&self, ms: f64) -> Instant {
        const DAY_MS: f64 = 86_400_000.0;
        let since_ms = (ms - self.unix_ms).clamp(0.0, self.now() - self.unix_ms + DAY_MS);
        self.anchor + Duration::from_micros((since_ms * 1000.0).ceil() as u64 + 1)
    }
}
