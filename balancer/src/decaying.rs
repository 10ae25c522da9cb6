//! Estimates that decay with time: the rate of events, and the fraction of events that failed.

/// Half-life of a [`DecayingRate`]: long enough to smooth random clusters, and short enough to show a
/// burst.
const RATE_HALF_LIFE_MS: f64 = 2000.0;

/// Exponential decay constant of a [`DecayingRate`], per millisecond.
const RATE_DECAY_PER_MS: f64 = std::f64::consts::LN_2 / RATE_HALF_LIFE_MS;

/// The recent average rate of events: a count that decays exponentially with the time since its last
/// update.
///
/// Source: "Teaching Abusive Users a Lesson with Recent Average Rate Limiters", which calls the count N and
/// the time of the last update T.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRate {
    count: f64,
    updated_at_ms: f64,
}

impl DecayingRate {
    /// Records one event.
    pub fn record(&mut self, now_ms: f64) {
        self.count = 1.0 + self.count * self.decay_since_update(now_ms);
        self.updated_at_ms = now_ms;
    }

    /// Returns the rate in events per second.
    pub fn per_s(&self, now_ms: f64) -> f64 {
        1000.0 * self.count * RATE_DECAY_PER_MS * self.decay_since_update(now_ms)
    }

    fn decay_since_update(&self, now_ms: f64) -> f64 {
        (RATE_DECAY_PER_MS * (self.updated_at_ms - now_ms)).exp()
    }

    /// Returns the time in which a rate decays to a limit if no further event is recorded, in ms.
    pub fn decay_time_ms(rate_per_s: f64, limit_per_s: f64) -> f64 {
        (rate_per_s / limit_per_s).ln() / RATE_DECAY_PER_MS
    }
}

/// The fraction of recent events that failed, from 0 to 1, and the time of its last update.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRatio {
    /// Fraction as of the last update, from 0 to 1.
    pub ratio: f64,
    /// Time of the last update, in ms.
    pub updated_at_ms: f64,
}

impl DecayingRatio {
    /// Returns the ratio at `now_ms`. Without events, the distance of the ratio to `mean_ratio` halves
    /// every `half_life_ms`.
    pub fn at(&self, now_ms: f64, mean_ratio: f64, half_life_ms: f64) -> f64 {
        let decay = 0.5f64.powf((now_ms - self.updated_at_ms) / half_life_ms);
        mean_ratio + (self.ratio - mean_ratio) * decay
    }
}
