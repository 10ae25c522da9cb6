//! Additive increase and multiplicative decrease (AIMD) of an endpoint's concurrency limit.
//!
//! Rule: a fast response, well within the latency objective, raises the factor by a constant; any slower
//! response or a timeout multiplies the factor by a constant below 1. The factor scales the limit of
//! [`crate::concurrency_limit`].

/// Multiplier of the factor after a slow response or a timeout.
const DECREASE_FACTOR: f64 = 0.7;

/// Increment of the factor after a fast response.
const INCREASE_STEP: f64 = 0.05;

/// Lower bound of the factor, so that cores don't idle when all endpoints are slow at once.
const MIN_FACTOR: f64 = 0.4;

/// A response within this fraction of its latency objective is fast.
const FAST_OBJECTIVE_RATIO: f64 = 0.75;

/// Returns whether a response after `latency_ms` is well within the latency objective.
pub(crate) fn is_fast(latency_ms: f64, objective_ms: f64) -> bool {
    latency_ms < FAST_OBJECTIVE_RATIO * objective_ms
}

/// The AIMD factor of an endpoint's concurrency limit, from [`MIN_FACTOR`] to 1.
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
    pub fn factor(self) -> f64 {
        self.factor
    }

    /// Raises the factor after a fast response.
    pub fn increase(&mut self) {
        self.factor = (self.factor + INCREASE_STEP).min(1.0);
    }

    /// Lowers the factor after a slow response or a timeout; `endpoint_fault_ratio` is the fraction of the
    /// delay that is due to the endpoint, from 0 to 1.
    pub fn decrease(&mut self, endpoint_fault_ratio: f64) {
        self.factor = (self.factor * DECREASE_FACTOR.powf(endpoint_fault_ratio)).max(MIN_FACTOR);
    }
}
