//! Additive increase and multiplicative decrease (AIMD) of an endpoint's concurrency limit.
//!
//! Rule: a response well within its latency objective raises the factor by a constant; a slow response (one
//! that is not good) or a timeout multiplies it. The factor scales the limit of
//! [`crate::concurrency_limit`].

/// A slow response or a timeout multiplies the factor by this.
const DECREASE_FACTOR: f64 = 0.7;

/// A good response adds this to the factor.
const INCREASE_STEP: f64 = 0.05;

/// The factor never falls below this: when all endpoints are slow at once their cores must not be idle.
const MIN_FACTOR: f64 = 0.4;

/// A response within this fraction of its latency objective is good.
const GOOD_OBJECTIVE_RATIO: f64 = 0.75;

/// Whether a response after `latency_ms` is well within its objective.
pub(crate) fn is_good(latency_ms: f64, objective_ms: f64) -> bool {
    latency_ms < GOOD_OBJECTIVE_RATIO * objective_ms
}

/// The fraction of an endpoint's concurrency limit that is in use, from [`MIN_FACTOR`] to 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyFactor {
    factor: f64,
}

impl Default for ConcurrencyFactor {
    fn default() -> Self {
        ConcurrencyFactor { factor: 1.0 }
    }
}

impl ConcurrencyFactor {
    /// The factor.
    pub fn factor(self) -> f64 {
        self.factor
    }

    /// After a good response.
    pub fn increase(&mut self) {
        self.factor = (self.factor + INCREASE_STEP).min(1.0);
    }

    /// After a slow response or a timeout, by the fraction of it that is the endpoint's fault.
    pub fn decrease(&mut self, blame_ratio: f64) {
        self.factor = (self.factor * DECREASE_FACTOR.powf(blame_ratio)).max(MIN_FACTOR);
    }
}
