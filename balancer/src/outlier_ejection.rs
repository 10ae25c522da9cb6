//! Ejection of outliers: endpoints that fail much more than the mean of the endpoints in use.
//!
//! Rule: an endpoint whose failure ratio lies [`EJECTION_MARGIN_RATIO`] above the mean is ejected. After an
//! interval it gets one trial request, which must be idempotent where such requests exist. A failed trial
//! doubles the interval. A response ends the ejection, be it an error or a rejection, unless its latency
//! counts as a stall; so does a new start of the endpoint's process, unless it is in slow start already. Time
//! alone only makes a trial due. Where everything fails or is slow at once, the mean rises too and few are
//! ejected.
//!
//! An endpoint that neither the list nor a response has confirmed is ejected by one failed connection. An
//! unlisted endpoint whose interval reaches the maximum is removed.

use crate::decaying::DecayingRatio;
use crate::failure_ratios::FAILURE_GAIN_RATIO;

/// An endpoint is ejected if its failure ratio exceeds the mean by more than this; three failures in a row
/// do.
const EJECTION_MARGIN_RATIO: f64 = 0.45;

/// Lower bound of the mean served fraction that an excess is divided by.
const MIN_MEAN_SERVED_RATIO: f64 = 0.5;

/// Interval before an ejected endpoint's first trial, in shortest latency objectives.
const FIRST_INTERVAL_OBJECTIVES: f64 = 1.25;

/// The longest interval between trials, in shortest latency objectives.
pub(crate) const MAX_INTERVAL_OBJECTIVES: f64 = 5.0;

/// Factor of the interval after a failed trial.
const INTERVAL_GROWTH_FACTOR: f64 = 2.0;

/// Half-life of a failure ratio's distance to the mean, in shortest latency objectives without outcomes: an
/// endpoint that failed by chance gets requests again.
const FAILURE_HALF_LIFE_OBJECTIVES: f64 = 5.0;

/// An ejection in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ejection {
    /// When the next trial request may be sent.
    pub next_trial_at_ms: f64,
    /// The time from one trial to the next.
    pub interval_ms: f64,
}

impl Ejection {
    /// A trial has been sent: the next one follows after the interval.
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
    /// The ejection in force.
    pub fn ejection(&self) -> Option<Ejection> {
        self.ejection
    }

    /// Whether the endpoint is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// The failure ratio as of the last outcome; none while ejected.
    pub fn ratio_unless_ejected(&self) -> Option<f64> {
        self.ejection.is_none().then_some(self.failures.ratio)
    }

    /// A request is sent there: if ejected, it is the trial.
    pub fn mark_sent(&mut self, now_ms: f64) {
        if let Some(ejection) = &mut self.ejection {
            ejection.schedule_next_trial(now_ms);
        }
    }

    /// The endpoint works: counts a success.
    pub fn record_success(&mut self) {
        self.failures.ratio -= FAILURE_GAIN_RATIO * self.failures.ratio;
    }

    /// Counts a failure, by the fraction that is the endpoint's fault.
    pub fn record_failure(&mut self, excuse_ratio: f64) {
        self.failures.ratio += FAILURE_GAIN_RATIO * (1.0 - excuse_ratio - self.failures.ratio);
    }

    /// Ends an ejection; true if there was one.
    pub fn readmit(&mut self) -> bool {
        self.ejection.take().is_some()
    }

    /// A restarted process begins without failures.
    pub fn reset(&mut self) {
        self.failures.ratio = 0.0;
        self.ejection = None;
    }
}

/// The rule's times, from the shortest latency objective.
#[derive(Debug)]
pub(crate) struct OutlierEjection {
    objective_ms: f64,
}

impl OutlierEjection {
    /// The rule for a shortest latency objective.
    pub fn new(objective_ms: f64) -> Self {
        OutlierEjection { objective_ms }
    }

    /// The longest interval between trials, in ms.
    pub fn max_interval_ms(&self) -> f64 {
        MAX_INTERVAL_OBJECTIVES * self.objective_ms
    }

    /// The failure ratio now, between outcomes nearer to the mean as time passes.
    pub fn failure_ratio(&self, now_ms: f64, health: &EndpointHealth, mean_ratio: f64) -> f64 {
        let half_life_ms = FAILURE_HALF_LIFE_OBJECTIVES * self.objective_ms;
        health.failures.at(now_ms, mean_ratio, half_life_ms)
    }

    /// Brings the failure ratio up to date before an outcome is counted.
    pub fn decay(&self, now_ms: f64, health: &mut EndpointHealth, mean_ratio: f64) {
        let ratio = self.failure_ratio(now_ms, health, mean_ratio);
        health.failures = DecayingRatio { ratio, updated_at_ms: now_ms };
    }

    /// Whether an endpoint that has just failed must be ejected, or stays so after a failed trial.
    pub fn must_eject(&self, health: &EndpointHealth, mean_ratio: f64) -> bool {
        let excess = health.failures.ratio - mean_ratio;
        let is_outlier = excess / (1.0 - mean_ratio).max(MIN_MEAN_SERVED_RATIO) > EJECTION_MARGIN_RATIO;
        is_outlier || health.is_ejected()
    }

    /// Ejects the endpoint, or extends its ejection after a failed trial; the interval from now on, in ms.
    pub fn eject(&self, now_ms: f64, health: &mut EndpointHealth) -> f64 {
        let interval_ms = match health.ejection {
            None => FIRST_INTERVAL_OBJECTIVES * self.objective_ms,
            Some(ejection) => (ejection.interval_ms * INTERVAL_GROWTH_FACTOR).min(self.max_interval_ms()),
        };
        health.ejection = Some(Ejection { next_trial_at_ms: now_ms + interval_ms, interval_ms });
        interval_ms
    }

    /// When an ejected endpoint's next trial is due, in ms.
    ///
    /// A gateway whose subset grew to replace lost endpoints, `subset_count` instead of `target_count`,
    /// waits longer at an endpoint that has long been silent: all gateways together then send it no more
    /// trials.
    pub fn trial_due_at_ms(
        &self, now_ms: f64, ejection: Ejection, last_response_at_ms: f64, subset_count: usize,
        target_count: usize,
    ) -> f64 {
        let is_lost = now_ms - last_response_at_ms > self.max_interval_ms();
        let lost = f64::from(u8::from(is_lost));
        let excess_ratio = (subset_count as f64 / target_count as f64 - 1.0).max(0.0);
        ejection.next_trial_at_ms + lost * ejection.interval_ms * excess_ratio
    }
}
