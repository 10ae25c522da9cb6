//! Smoothed latency of each request class.

use crate::settings::RequestClass;

/// Part of a new latency that enters a class's smoothed latency.
const LATENCY_GAIN_RATIO: f64 = 0.05;

/// Until responses tell, a class's latency is its objective divided by this.
const INITIAL_OBJECTIVE_DIVISOR: f64 = 3.0;

/// The typical latency of each class's attempts.
#[derive(Debug)]
pub(crate) struct LatencyEstimates {
    by_class_ms: Vec<f64>,
}

impl LatencyEstimates {
    /// Estimates from the latency objectives alone.
    pub fn new(classes: &[RequestClass]) -> Self {
        let initial_ms = |class: &RequestClass| class.latency_objective_ms / INITIAL_OBJECTIVE_DIVISOR;
        LatencyEstimates { by_class_ms: classes.iter().map(initial_ms).collect() }
    }

    /// The typical latency of a class, in ms.
    pub fn typical_ms(&self, class: usize) -> f64 {
        self.by_class_ms[class]
    }

    /// The typical latency of the slowest class, in ms.
    pub fn slowest_class_ms(&self) -> f64 {
        self.by_class_ms.iter().copied().fold(0.0, f64::max)
    }

    /// Takes in a response's latency, or the length of a timeout where that is above the estimate: leaving
    /// timeouts out would learn from survivors only. `blame_ratio` is the fraction that is the endpoints'
    /// fault.
    pub fn record(&mut self, class: usize, latency_ms: f64, is_timeout: bool, blame_ratio: f64) {
        let estimate_ms = &mut self.by_class_ms[class];
        if !is_timeout || latency_ms > *estimate_ms {
            *estimate_ms += blame_ratio * LATENCY_GAIN_RATIO * (latency_ms - *estimate_ms);
        }
    }
}
