//! Error responses of an endpoint by request class, and the exclusion of a class there.
//!
//! Rule: an endpoint that fails much more of a class than the best endpoint in use gets no more requests of
//! that class except for single trials. It keeps the classes that it serves: ejecting it as a whole
//! would move its load to other endpoints, which may then be ejected for the same class.

use crate::failure_ratios::FAILURE_GAIN_RATIO;

/// Gain of the error ratio for a served response; greater than for an error, so that the ratio falls faster
/// than it rises.
const SERVED_GAIN_RATIO: f64 = 0.5;

/// A class is excluded at an endpoint whose error ratio exceeds the best endpoint's by more than this.
const EXCLUSION_MARGIN_RATIO: f64 = 0.6;

/// An excluded class gets a trial this often, in shortest latency objectives.
const TRIAL_INTERVAL_OBJECTIVES: f64 = 4.0;

/// Error ratio of one class, and when a request of it was last sent or answered.
#[derive(Clone, Copy, Debug, Default)]
struct ClassErrors {
    error_ratio: f64,
    last_tried_at_ms: f64,
}

/// The error ratios of one endpoint, by request class; empty until it has responded.
#[derive(Debug, Default)]
pub(crate) struct ClassErrorRatios {
    by_class: Vec<ClassErrors>,
}

/// Whether an endpoint may get a request of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClassExclusion {
    /// It may.
    Included,
    /// It may not, but a trial is due.
    TrialDue,
    /// It may not.
    Excluded,
}

impl ClassErrorRatios {
    /// The fraction of the class's responses that were errors.
    pub fn error_ratio(&self, class: usize) -> f64 {
        self.by_class.get(class).map_or(0.0, |errors| errors.error_ratio)
    }

    /// Counts a response. `tenant_excuse_ratio` is how far the tenant accounts for an error.
    pub fn record(
        &mut self, now_ms: f64, class: usize, class_count: usize, is_error: bool, tenant_excuse_ratio: f64,
    ) {
        let unknown = ClassErrors { error_ratio: 0.0, last_tried_at_ms: now_ms };
        self.by_class.resize(class_count, unknown);
        let errors = &mut self.by_class[class];
        let gain =
            if is_error { FAILURE_GAIN_RATIO * (1.0 - tenant_excuse_ratio) } else { SERVED_GAIN_RATIO };
        let sample = if is_error { 1.0 } else { 0.0 };
        errors.error_ratio += gain * (sample - errors.error_ratio);
        errors.last_tried_at_ms = now_ms;
    }

    /// Notes that a request of the class is sent.
    pub fn mark_tried(&mut self, now_ms: f64, class: usize) {
        if let Some(errors) = self.by_class.get_mut(class) {
            errors.last_tried_at_ms = now_ms;
        }
    }

    /// Whether the class is excluded, given the least error ratio of the endpoints in use.
    pub fn exclusion(
        &self, now_ms: f64, class: usize, least_error_ratio: f64, objective_ms: f64,
    ) -> ClassExclusion {
        let errors = self.by_class.get(class).copied().unwrap_or_default();
        if errors.error_ratio - least_error_ratio <= EXCLUSION_MARGIN_RATIO {
            return ClassExclusion::Included;
        }
        let trial_interval_ms = TRIAL_INTERVAL_OBJECTIVES * objective_ms;
        if now_ms - errors.last_tried_at_ms > trial_interval_ms {
            ClassExclusion::TrialDue
        } else {
            ClassExclusion::Excluded
        }
    }

    /// Whether the endpoint fails most of some class, so that it has spare capacity for the others.
    pub fn fails_some_class(&self) -> bool {
        self.by_class.iter().any(|errors| errors.error_ratio > EXCLUSION_MARGIN_RATIO)
    }
}
