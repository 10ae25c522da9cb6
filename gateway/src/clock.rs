//! The event loop's clock, which converts instants to the balancer's milliseconds of Unix time and back.
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that is anchored once to Unix time, so that its times can be compared with the start
/// times of endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    anchor_unix_ms: f64,
}

impl Clock {
    /// Returns a clock that is anchored to the Unix time at `started_at`, which is not in the future.
    pub fn start_at(started_at: Instant) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let anchor_unix = unix.saturating_sub(started_at.elapsed());
        Clock { anchor: started_at, anchor_unix_ms: anchor_unix.as_secs_f64() * 1000.0 }
    }

    /// Returns a clock that is anchored to the present Unix time.
    pub fn start() -> Self {
        Self::start_at(Instant::now())
    }

    /// Converts an instant to milliseconds of Unix time. An instant before the anchor counts as the anchor.
    pub fn at(&self, instant: Instant) -> f64 {
        self.anchor_unix_ms + instant.saturating_duration_since(self.anchor).as_secs_f64() * 1000.0
    }

    /// Returns the present time in milliseconds of Unix time.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// Converts milliseconds of Unix time to an instant. The instant is rounded up to whole microseconds,
    /// plus one microsecond against floating-point error, so that no timer fires early. A time more than a
    /// day ahead counts as a day ahead, which avoids overflow.
    pub fn instant(&self, ms: f64) -> Instant {
        const DAY_MS: f64 = 86_400_000.0;
        let since_ms = (ms - self.anchor_unix_ms).clamp(0.0, self.now() - self.anchor_unix_ms + DAY_MS);
        self.anchor + Duration::from_micros((since_ms * 1000.0).ceil() as u64 + 1)
    }
}
