//! An endpoint's load and capacity, estimated from its load reports and its listed weight.
//!
//! Rule: the capacity of an endpoint, in requests per second, is the reported throughput divided by the
//! reported utilization, smoothed, with a lower gain for reports of nearly idle endpoints. Listed weights,
//! where they reflect load, and reported queues show how many requests all gateways together have in flight
//! at an endpoint.

use crate::event::LoadReport;

/// Lower bound of a reported utilization in the computation of the balancing weight.
const MIN_WEIGHT_UTILIZATION: f64 = 0.2;

/// Lower bound of a reported utilization in the computation of the capacity, because a report below it is
/// mostly noise.
const MIN_CAPACITY_UTILIZATION: f64 = 0.03;

/// Utilization from which a report is fully trusted in the computation of the capacity.
pub(crate) const RELIABLE_UTILIZATION: f64 = 0.5;

/// Smoothing gain of the balancing weight and of the capacity for a new report.
const REPORT_GAIN: f64 = 0.3;

/// Smoothing gain of the fleet load for a new sample.
const FLEET_LOAD_GAIN: f64 = 0.5;

/// Upper bound of a sample of the fleet load, where 1 is a full endpoint.
const MAX_FLEET_LOAD: f64 = 9.0;

/// Requests in flight per core at which an endpoint is full.
pub(crate) const FULL_IN_FLIGHT_PER_CORE: f64 = 4.0;

/// Time in which an endpoint should be able to serve all its requests in flight, as a fraction of the
/// shortest latency objective.
const IN_FLIGHT_OBJECTIVE_RATIO: f64 = 0.25;

/// Returns how many requests may be in flight at an endpoint: those that the endpoint serves within a
/// fraction of the latency objective.
pub(crate) fn max_in_flight(capacity_per_s: f64, objective_ms: f64) -> f64 {
    capacity_per_s * objective_ms * IN_FLIGHT_OBJECTIVE_RATIO / 1000.0
}

/// The load, weight and capacity of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct EndpointLoad {
    /// Balancing weight in requests per second: the smoothed ratio of throughput to utilization.
    pub weight_per_s: Option<f64>,
    /// Capacity in requests per second: computed like the weight, but with a smaller lower bound of the
    /// utilization, so that a nearly idle endpoint does not seem smaller than it is.
    pub capacity_per_s: Option<f64>,
    /// Largest listed weight of the endpoint so far, which counts as its weight without requests in flight;
    /// used only where listed weights reflect load.
    pub idle_weight: f64,
    /// Requests that all gateways have in flight at the endpoint, as a multiple of those that may be in
    /// flight; at most [`MAX_FLEET_LOAD`].
    pub fleet_load: f64,
    /// Last valid load report of the endpoint.
    pub last_report: LoadReport,
}

impl EndpointLoad {
    /// Applies a load report. Ignores invalid reports and repetitions of the last report.
    ///
    /// `mean_capacity_per_s` is the mean capacity of the endpoints in use, the initial capacity of an
    /// endpoint without one; `objective_ms` is the shortest latency objective. If `queue_shows_fleet_load`,
    /// the reported queue length updates the fleet load. Returns whether the fleet load was updated.
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
        self.update_weight(utilization, throughput_per_s);
        if throughput_per_s > 0.0 {
            self.update_capacity(utilization, throughput_per_s, mean_capacity_per_s);
        }
        self.last_report = report;
        let Some(queue_length) = report.queue_length.filter(|_| queue_shows_fleet_load) else {
            return false;
        };
        let limit = max_in_flight(self.capacity_per_s.unwrap_or(throughput_per_s), objective_ms);
        self.update_fleet_load(queue_length / limit.max(1.0));
        true
    }

    fn update_weight(&mut self, utilization: f64, throughput_per_s: f64) {
        let sample = throughput_per_s / utilization.clamp(MIN_WEIGHT_UTILIZATION, 1.0);
        let smoothed = |weight: f64| weight + REPORT_GAIN * (sample - weight);
        self.weight_per_s = Some(self.weight_per_s.map_or(sample, smoothed));
    }

    /// Updates the capacity with a gain that falls with the utilization, because the capacity of a nearly
    /// idle endpoint would otherwise be estimated far too high.
    fn update_capacity(&mut self, utilization: f64, throughput_per_s: f64, mean_capacity_per_s: Option<f64>) {
        let sample = throughput_per_s / utilization.clamp(MIN_CAPACITY_UTILIZATION, 1.0);
        let reliability = (utilization / RELIABLE_UTILIZATION).min(1.0);
        let gain = reliability * if self.capacity_per_s.is_some() { REPORT_GAIN } else { 1.0 };
        let previous = self.capacity_per_s.or(mean_capacity_per_s);
        let smoothed = |capacity: f64| capacity + gain * (sample - capacity);
        self.capacity_per_s = Some(previous.map_or(sample, smoothed));
    }

    /// Applies a listed weight that reflects load: the size of the endpoint divided by (1 + requests in
    /// flight per core).
    pub fn apply_listed_weight(&mut self, weight: f64) {
        if weight > 0.0 && weight.is_finite() {
            self.idle_weight = self.idle_weight.max(weight);
            let in_flight_per_core = self.idle_weight / weight - 1.0;
            self.update_fleet_load(in_flight_per_core / FULL_IN_FLIGHT_PER_CORE);
        }
    }

    fn update_fleet_load(&mut self, sample: f64) {
        let sample = sample.min(MAX_FLEET_LOAD);
        self.fleet_load += FLEET_LOAD_GAIN * (sample - self.fleet_load);
    }

    /// Returns how busy the endpoint's cores are according to the fleet load, from 0 to 1.
    pub fn busy_ratio(&self) -> f64 {
        1.0 - 1.0 / (1.0 + FULL_IN_FLIGHT_PER_CORE * self.fleet_load)
    }

    /// Resets weight and capacity, because reports of the previous process don't apply to a restarted one.
    pub fn reset_capacity(&mut self) {
        self.weight_per_s = None;
        self.capacity_per_s = None;
    }
}
