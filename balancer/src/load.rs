//! An endpoint's load and capacity, learnt from its load reports and its listed weight.
//!
//! Rule: a report's throughput over its utilization is the endpoint's capacity in requests a second; it is
//! smoothed, with little weight for reports of nearly idle endpoints. Weights of the list, where they
//! reflect load, and reported queues tell what all gateways together have in flight at an endpoint.

use crate::event::LoadReport;

/// A reported utilization counts as this at least in the balancing weight.
const MIN_WEIGHT_UTILIZATION_RATIO: f64 = 0.2;

/// Lower bound of a reported utilization in the capacity: below it a report is mostly noise.
const MIN_CAPACITY_UTILIZATION_RATIO: f64 = 0.03;

/// From this utilization on a report is trusted in full as to the capacity.
pub(crate) const RELIABLE_UTILIZATION_RATIO: f64 = 0.5;

/// Fraction of a new report that enters the smoothed weight and capacity.
const REPORT_GAIN_RATIO: f64 = 0.3;

/// Fraction of a new sample that enters the smoothed fleet load.
const FLEET_LOAD_GAIN_RATIO: f64 = 0.5;

/// A sample of the fleet load counts as this at most; 1 is a full endpoint.
const MAX_FLEET_LOAD: f64 = 9.0;

/// Number of requests in flight a core at which an endpoint is full.
pub(crate) const FULL_IN_FLIGHT_PER_CORE_COUNT: f64 = 4.0;

/// The fraction of the shortest latency objective in which what is in flight at an endpoint may drain.
const DRAIN_OBJECTIVE_RATIO: f64 = 0.25;

/// How many requests an endpoint may have in flight: what it serves in a fraction of the latency objective.
pub(crate) fn drainable_count(capacity_per_s: f64, objective_ms: f64) -> f64 {
    capacity_per_s * objective_ms * DRAIN_OBJECTIVE_RATIO / 1000.0
}

/// What is known of one endpoint's load.
#[derive(Debug, Default)]
pub(crate) struct EndpointLoad {
    /// Balancing weight, in requests a second: smoothed throughput over utilization.
    pub weight_per_s: Option<f64>,
    /// Capacity in requests a second: as the weight, but an idle endpoint does not look small.
    pub capacity_per_s: Option<f64>,
    /// The greatest weight that a list whose weights reflect load gave it: its weight when idle.
    pub idle_weight: f64,
    /// What all gateways have in flight there, as a multiple of what may be in flight, up to 9.
    pub fleet_load: f64,
    /// The last report that was taken.
    pub last_report: LoadReport,
}

impl EndpointLoad {
    /// Takes in a load report.
    ///
    /// `mean_capacity_per_s` is the fleet's mean, from which an endpoint without a capacity starts, and
    /// `objective_ms` the shortest latency objective. With `queue_shows_fleet_load` the reported queue
    /// updates the fleet load. True if it did.
    pub fn apply_report(
        &mut self, report: LoadReport, mean_capacity_per_s: Option<f64>, objective_ms: f64,
        queue_shows_fleet_load: bool,
    ) -> bool {
        let (Some(utilization), Some(throughput_per_s)) = (report.utilization, report.throughput_per_s)
        else {
            return false;
        };
        let valid = utilization.is_finite()
            && throughput_per_s.is_finite()
            && utilization >= 0.0
            && throughput_per_s >= 0.0;
        if !valid || report == self.last_report {
            return false;
        }
        self.learn_weight(utilization, throughput_per_s);
        if throughput_per_s > 0.0 {
            self.learn_capacity(utilization, throughput_per_s, mean_capacity_per_s);
        }
        self.last_report = report;
        let Some(queue_length) = report.queue_length.filter(|_| queue_shows_fleet_load) else {
            return false;
        };
        let limit_count = drainable_count(self.capacity_per_s.unwrap_or(throughput_per_s), objective_ms);
        self.learn_fleet_load(queue_length / limit_count.max(1.0));
        true
    }

    fn learn_weight(&mut self, utilization: f64, throughput_per_s: f64) {
        let sample = throughput_per_s / utilization.clamp(MIN_WEIGHT_UTILIZATION_RATIO, 1.0);
        let smoothed = |weight: f64| weight + REPORT_GAIN_RATIO * (sample - weight);
        self.weight_per_s = Some(self.weight_per_s.map_or(sample, smoothed));
    }

    /// An endpoint that is hardly used looks far larger than it is: the gain falls with the utilization.
    fn learn_capacity(&mut self, utilization: f64, throughput_per_s: f64, mean_capacity_per_s: Option<f64>) {
        let sample = throughput_per_s / utilization.clamp(MIN_CAPACITY_UTILIZATION_RATIO, 1.0);
        let reliability = (utilization / RELIABLE_UTILIZATION_RATIO).min(1.0);
        let gain = reliability * if self.capacity_per_s.is_some() { REPORT_GAIN_RATIO } else { 1.0 };
        let previous = self.capacity_per_s.or(mean_capacity_per_s);
        let smoothed = |capacity: f64| capacity + gain * (sample - capacity);
        self.capacity_per_s = Some(previous.map_or(sample, smoothed));
    }

    /// Takes in a listed weight, where weights are sizes divided by 1 + requests in flight a core.
    pub fn apply_listed_weight(&mut self, weight: f64) {
        if weight > 0.0 && weight.is_finite() {
            self.idle_weight = self.idle_weight.max(weight);
            let in_flight_per_core = self.idle_weight / weight - 1.0;
            self.learn_fleet_load(in_flight_per_core / FULL_IN_FLIGHT_PER_CORE_COUNT);
        }
    }

    fn learn_fleet_load(&mut self, sample: f64) {
        let sample = sample.min(MAX_FLEET_LOAD);
        self.fleet_load += FLEET_LOAD_GAIN_RATIO * (sample - self.fleet_load);
    }

    /// How busy the endpoint's cores are by the fleet load, from 0 to 1.
    pub fn busy_ratio(&self) -> f64 {
        1.0 - 1.0 / (1.0 + FULL_IN_FLIGHT_PER_CORE_COUNT * self.fleet_load)
    }

    /// Forgets weight and capacity, which a restarted process has to earn anew.
    pub fn reset_capacity(&mut self) {
        self.weight_per_s = None;
        self.capacity_per_s = None;
    }
}
