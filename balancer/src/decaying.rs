//! Estimates that decay with time: a rate of events, and a ratio of events that went wrong.

/// Half-life of a [`DecayingRate`]: long enough to smooth random clusters, short enough to show a burst.
const RATE_HALF_LIFE_MS: f64 = 2000.0;

/// Exponential decay of a [`DecayingRate`] a millisecond.
const RATE_DECAY_PER_MS: f64 = std::f64::consts::LN_2 / RATE_HALF_LIFE_MS;

/// The recent average rate of events: a count that decays exponentially since its last update.
///
/// Source: "Teaching Abusive Users a Lesson with Recent Average Rate Limiters", where the pair is called N
/// and T.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRate {
    count: f64,
    updated_at_ms: f64,
}

impl DecayingRate {
    /// Counts one event.
    pub fn record(&mut self, now_ms: f64) {
        self.count = 1.0 + self.count * self.decay_since_update(now_ms);
        self.updated_at_ms = now_ms;
    }

    /// The rate, in events a second.
    pub fn per_s(&self, now_ms: f64) -> f64 {
        1000.0 * self.count * RATE_DECAY_PER_MS * self.decay_since_update(now_ms)
    }

    fn decay_since_update(&self, now_ms: f64) -> f64 {
        (RATE_DECAY_PER_MS * (self.updated_at_ms - now_ms)).exp()
    }

    /// How long a rate takes to decay to a limit when no further event comes, in ms.
    pub fn decay_time_ms(rate_per_s: f64, limit_per_s: f64) -> f64 {
        (rate_per_s / limit_per_s).ln() / RATE_DECAY_PER_MS
    }
}

/// The fraction of recent events that went wrong, from 0 to 1, and when it was last updated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRatio {
    /// The fraction as of the last update.
    pub ratio: f64,
    /// When it was last updated.
    pub updated_at_ms: f64,
}

impl DecayingRatio {
    /// The ratio now: without events its distance to `mean_ratio` halves every `half_life_ms`.
    pub fn at(&self, now_ms: f64, mean_ratio: f64, half_life_ms: f64) -> f64 {
        let decay = 0.5f64.powf((now_ms - self.updated_at_ms) / half_life_ms);
        mean_ratio + (self.ratio - mean_ratio) * decay
    }
}
