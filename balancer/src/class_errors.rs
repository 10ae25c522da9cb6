//! Error responses of an endpoint by request class, and the exclusion of classes at an endpoint.
//!
//! Rule: an endpoint that fails much more of a class than the best endpoint in use gets no more requests of
//! that class except for single trials. The endpoint keeps the classes that it serves: ejecting the whole
//! endpoint would move its load to other endpoints, which might then be ejected because of the same class.

use crate::failure_ratios::FAILURE_GAIN;

/// Smoothing gain of the error ratio for a served response. Greater than the gain for an error, so that the
/// ratio falls faster than it rises.
const SERVED_GAIN: f64 = 0.5;

/// A class is excluded at an endpoint whose error ratio exceeds the lowest one in use by more than this
/// margin.
const EXCLUSION_MARGIN: f64 = 0.6;

/// Interval between trials of an excluded class, in shortest latency objectives.
const TRIAL_INTERVAL_OBJECTIVES: f64 = 4.0;

/// The error ratio of one class, and the time at which a request of the class was last sent or answered.
#[derive(Clone, Copy, Debug, Default)]
struct ClassErrors {
    error_ratio: f64,
    last_attempt_at_ms: f64,
}

/// The error ratios of one endpoint by request class; empty until the endpoint has responded.
#[derive(Debug, Default)]
pub(crate) struct ClassErrorRatios {
    by_class: Vec<ClassErrors>,
}

/// Whether an endpoint may get requests of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClassExclusion {
    /// The endpoint may get requests of the class.
    Included,
    /// The class is excluded, but a trial is due.
    TrialDue,
    /// The class is excluded, and no trial is due.
    Excluded,
}

impl ClassErrorRatios {
    /// Returns the smoothed fraction of the class's responses that are errors, from 0 to 1.
    pub fn error_ratio(&self, class: usize) -> f64 {
        self.by_class.get(class).map_or(0.0, |errors| errors.error_ratio)
    }

    /// Records a response. `tenant_fault_ratio` is the fraction of an error that is due to the request's
    /// tenant.
    pub fn record(
        &mut self, now_ms: f64, class: usize, class_count: usize, is_error: bool, tenant_fault_ratio: f64,
    ) {
        let unknown = ClassErrors { error_ratio: 0.0, last_attempt_at_ms: now_ms };
        self.by_class.resize(class_count, unknown);
        let errors = &mut self.by_class[class];
        let gain = if is_error { FAILURE_GAIN * (1.0 - tenant_fault_ratio) } else { SERVED_GAIN };
        let sample = if is_error { 1.0 } else { 0.0 };
        errors.error_ratio += gain * (sample - errors.error_ratio);
        errors.last_attempt_at_ms = now_ms;
    }

    /// Records that a request of the class is sent to the endpoint.
    pub fn mark_sent(&mut self, now_ms: f64, class: usize) {
        if let Some(errors) = self.by_class.get_mut(class) {
            errors.last_attempt_at_ms = now_ms;
        }
    }

    /// Returns whether the class is excluded; `least_error_ratio` is the lowest error ratio among the
    /// endpoints in use.
    pub fn exclusion(
        &self, now_ms: f64, class: usize, least_error_ratio: f64, objective_ms: f64,
    ) -> ClassExclusion {
        let errors = self.by_class.get(class).copied().unwrap_or_default();
        if errors.error_ratio - least_error_ratio <= EXCLUSION_MARGIN {
            return ClassExclusion::Included;
        }
        let trial_interval_ms = TRIAL_INTERVAL_OBJECTIVES * objective_ms;
        if now_ms - errors.last_attempt_at_ms > trial_interval_ms {
            ClassExclusion::TrialDue
        } else {
            ClassExclusion::Excluded
        }
    }

    /// Returns whether the endpoint fails most requests of some class, so that it has spare capacity for
    /// the others.
    pub fn fails_some_class(&self) -> bool {
        self.by_class.iter().any(|errors| errors.error_ratio > EXCLUSION_MARGIN)
    }
}
