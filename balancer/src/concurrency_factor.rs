//! Additive increase and multiplicative decrease (AIMD) of an endpoint's concurrency limit.
//!
//! Rule: a response well within its latency objective raises the factor by a constant; a late response or a
//! timeout multiplies it. The factor scales the limit of [`crate::concurrency_limit`].

/// A late response or a timeout cuts the factor to this part.
const DECREASE_RATIO: f64 = 0.7;

/// A good response raises the factor by this.
const INCREASE_RATIO: f64 = 0.05;

/// The factor never falls below this: when all endpoints are slow at once their cores must not stand idle.
const MIN_FACTOR_RATIO: f64 = 0.4;

/// A response within this part of its latency objective is good.
const GOOD_OBJECTIVE_RATIO: f64 = 0.75;

/// Whether a response after `latency_ms` is well within its objective.
pub(crate) fn is_good(latency_ms: f64, objective_ms: f64) -> bool {
    latency_ms < GOOD_OBJECTIVE_RATIO * objective_ms
}

/// The part of an endpoint's concurrency limit that is in use, from [`MIN_FACTOR_RATIO`] to 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyFactor {
    ratio: f64,
}

impl Default for ConcurrencyFactor {
    fn default() -> Self {
        ConcurrencyFactor { ratio: 1.0 }
    }
}

impl ConcurrencyFactor {
    /// The factor.
    pub fn ratio(self) -> f64 {
        self.ratio
    }

    /// After a good response.
    pub fn increase(&mut self) {
        self.ratio = (self.ratio + INCREASE_RATIO).min(1.0);
    }

    /// After a late response or a timeout, by the part of it that is the endpoint's fault.
    pub fn decrease(&mut self, blame_ratio: f64) {
        self.ratio = (self.ratio * DECREASE_RATIO.powf(blame_ratio)).max(MIN_FACTOR_RATIO);
    }
}
