//! Smoothed latency of each request class.

use crate::settings::RequestClass;

/// Smoothing gain of a class's latency estimate for a new latency.
const LATENCY_GAIN: f64 = 0.05;

/// Divisor of a class's latency objective that gives the initial latency estimate.
const INITIAL_OBJECTIVE_DIVISOR: f64 = 3.0;

/// The typical latency of the attempts of each class.
#[derive(Debug)]
pub(crate) struct LatencyEstimates {
    by_class_ms: Vec<f64>,
}

impl LatencyEstimates {
    /// Creates estimates from the latency objectives alone.
    pub fn new(classes: &[RequestClass]) -> Self {
        let initial_ms = |class: &RequestClass| class.latency_objective_ms / INITIAL_OBJECTIVE_DIVISOR;
        LatencyEstimates { by_class_ms: classes.iter().map(initial_ms).collect() }
    }

    /// Returns the typical latency of a class, in ms.
    pub fn typical_ms(&self, class: usize) -> f64 {
        self.by_class_ms[class]
    }

    /// Returns the typical latency of the slowest class, in ms.
    pub fn slowest_class_ms(&self) -> f64 {
        self.by_class_ms.iter().copied().fold(0.0, f64::max)
    }

    /// Updates the estimate with the latency of a response, or with the length of a timeout if that is
    /// above the estimate: without timeouts the estimate would be too low, because slow attempts would be
    /// missing. `endpoint_fault_ratio` is the fraction of a failure that is due to the endpoint.
    pub fn record(&mut self, class: usize, latency_ms: f64, is_timeout: bool, endpoint_fault_ratio: f64) {
        let estimate_ms = &mut self.by_class_ms[class];
        if !is_timeout || latency_ms > *estimate_ms {
            *estimate_ms += endpoint_fault_ratio * LATENCY_GAIN * (latency_ms - *estimate_ms);
        }
    }
}
