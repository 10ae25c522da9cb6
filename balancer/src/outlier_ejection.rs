//! Outlier ejection: endpoints that fail much more than the mean of the endpoints in use get only trial
//! requests.
//!
//! Rule: an endpoint whose failure ratio exceeds the mean by [`EJECTION_MARGIN`] is ejected. After an
//! interval the endpoint gets one trial request, which must be idempotent if there are such classes. A
//! failed trial doubles the interval. A response ends the ejection, even an error or a rejection, unless
//! its latency counts as a stall; a new start of the endpoint's process ends the ejection too, unless the
//! endpoint is in slow start already. Time alone only makes a trial due. If all endpoints fail or are slow
//! at once, the mean rises too and few are ejected.
//!
//! One failed connection ejects an endpoint that neither the list nor a response has confirmed. An unlisted
//! endpoint whose interval reaches the maximum is removed.

use crate::decaying::DecayingRatio;
use crate::failure_ratios::FAILURE_GAIN;

/// An endpoint is ejected if its failure ratio exceeds the mean by more than this margin; three failures in
/// a row suffice.
const EJECTION_MARGIN: f64 = 0.45;

/// Lower bound of the mean served fraction by which the excess of an endpoint's failure ratio is divided.
const MIN_MEAN_SERVED_RATIO: f64 = 0.5;

/// Interval from an ejection to the first trial, in shortest latency objectives.
const FIRST_INTERVAL_OBJECTIVES: f64 = 1.25;

/// Upper bound of the interval between trials, in shortest latency objectives.
pub(crate) const MAX_INTERVAL_OBJECTIVES: f64 = 5.0;

/// Growth of the trial interval after a failed trial.
const INTERVAL_GROWTH_FACTOR: f64 = 2.0;

/// Half-life of the distance of a failure ratio to the mean while there are no outcomes, in shortest
/// latency objectives. The decay lets an endpoint that failed by chance get requests again.
const FAILURE_HALF_LIFE_OBJECTIVES: f64 = 5.0;

/// The ejection of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ejection {
    /// Time from which the next trial request may be sent, in ms.
    pub next_trial_at_ms: f64,
    /// Time between two trials, in ms.
    pub interval_ms: f64,
}

impl Ejection {
    /// Schedules the next trial after a trial has been sent.
    pub fn schedule_next_trial(&mut self, now_ms: f64) {
        self.next_trial_at_ms = now_ms + self.interval_ms;
    }
}

/// An endpoint's failure ratio, and its ejection while it is ejected.
#[derive(Debug, Default)]
pub(crate) struct EndpointHealth {
    failures: DecayingRatio,
    ejection: Option<Ejection>,
}

impl EndpointHealth {
    /// Returns the current ejection of the endpoint, if any.
    pub fn ejection(&self) -> Option<Ejection> {
        self.ejection
    }

    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns the failure ratio as of the last outcome, or `None` while the endpoint is ejected.
    pub fn ratio_unless_ejected(&self) -> Option<f64> {
        self.ejection.is_none().then_some(self.failures.ratio)
    }

    /// Records that a request is sent to the endpoint, which is a trial if the endpoint is ejected.
    pub fn mark_sent(&mut self, now_ms: f64) {
        if let Some(ejection) = &mut self.ejection {
            ejection.schedule_next_trial(now_ms);
        }
    }

    /// Records a success of the endpoint.
    pub fn record_success(&mut self) {
        self.failures.ratio -= FAILURE_GAIN * self.failures.ratio;
    }

    /// Records a failure, reduced by the fraction `request_fault_ratio` that is due to the request's tenant
    /// or class.
    pub fn record_failure(&mut self, request_fault_ratio: f64) {
        self.failures.ratio += FAILURE_GAIN * (1.0 - request_fault_ratio - self.failures.ratio);
    }

    /// Ends the ejection, and returns whether the endpoint was ejected.
    pub fn readmit(&mut self) -> bool {
        self.ejection.take().is_some()
    }

    /// Clears the failure ratio and the ejection, for a restarted process.
    pub fn reset(&mut self) {
        self.failures.ratio = 0.0;
        self.ejection = None;
    }
}

/// The outlier ejection rule, whose times are multiples of the shortest latency objective.
#[derive(Debug)]
pub(crate) struct OutlierEjection {
    shortest_objective_ms: f64,
}

impl OutlierEjection {
    /// Creates the rule for the shortest latency objective, in ms.
    pub fn new(shortest_objective_ms: f64) -> Self {
        OutlierEjection { shortest_objective_ms }
    }

    /// Returns the longest interval between trials, in ms.
    pub fn max_interval_ms(&self) -> f64 {
        MAX_INTERVAL_OBJECTIVES * self.shortest_objective_ms
    }

    /// Returns the failure ratio at `now_ms`; between outcomes the ratio approaches the mean.
    pub fn failure_ratio(&self, now_ms: f64, health: &EndpointHealth, mean_ratio: f64) -> f64 {
        let half_life_ms = FAILURE_HALF_LIFE_OBJECTIVES * self.shortest_objective_ms;
        health.failures.at(now_ms, mean_ratio, half_life_ms)
    }

    /// Applies the decay since the last outcome to the failure ratio, before a new outcome is recorded.
    pub fn decay(&self, now_ms: f64, health: &mut EndpointHealth, mean_ratio: f64) {
        let ratio = self.failure_ratio(now_ms, health, mean_ratio);
        health.failures = DecayingRatio { ratio, updated_at_ms: now_ms };
    }

    /// Returns whether an endpoint that has just failed is to be ejected, or stays ejected after a failed
    /// trial.
    pub fn must_eject(&self, health: &EndpointHealth, mean_ratio: f64) -> bool {
        let excess = health.failures.ratio - mean_ratio;
        let is_outlier = excess / (1.0 - mean_ratio).max(MIN_MEAN_SERVED_RATIO) > EJECTION_MARGIN;
        is_outlier || health.is_ejected()
    }

    /// Ejects the endpoint, or extends its ejection after a failed trial. Returns the new trial interval,
    /// in ms.
    pub fn eject(&self, now_ms: f64, health: &mut EndpointHealth) -> f64 {
        let interval_ms = match health.ejection {
            None => FIRST_INTERVAL_OBJECTIVES * self.shortest_objective_ms,
            Some(ejection) => (ejection.interval_ms * INTERVAL_GROWTH_FACTOR).min(self.max_interval_ms()),
        };
        health.ejection = Some(Ejection { next_trial_at_ms: now_ms + interval_ms, interval_ms });
        interval_ms
    }

    /// Returns when the next trial of an ejected endpoint is due, in ms.
    ///
    /// A gateway whose subset has grown from `target_count` to `subset_count` endpoints to replace unusable
    /// ones waits longer at an endpoint that has long been silent, so that the trials of all gateways
    /// together don't become more frequent.
    pub fn trial_due_at_ms(
        &self, now_ms: f64, ejection: Ejection, last_response_at_ms: f64, subset_count: usize,
        target_count: usize,
    ) -> f64 {
        let is_silent = now_ms - last_response_at_ms > self.max_interval_ms();
        let silence_factor = f64::from(u8::from(is_silent));
        let excess_ratio = (subset_count as f64 / target_count as f64 - 1.0).max(0.0);
        ejection.next_trial_at_ms + silence_factor * ejection.interval_ms * excess_ratio
    }
}
