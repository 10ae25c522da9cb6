//! The capacity of each endpoint in requests per second, reported or assumed, and its balancing weight.
//!
//! Rule: an endpoint without load reports is assumed to have the mean capacity of the fleet, times its
//! relative listed size, and less in slow start. The balancing weight never lies far below that mean.

use crate::endpoint::Endpoint;
use crate::fleet::Fleet;

/// Lower bound of an endpoint's balancing weight, as a fraction of the mean capacity.
const MIN_WEIGHT_RATIO: f64 = 0.25;

/// Lower bound of the balancing weight, in requests per second; above 0, so that every endpoint can be
/// picked.
const MIN_WEIGHT_PER_S: f64 = 1e-6;

/// The capacities of the fleet's endpoints at one time.
pub(crate) struct Capacities<'a> {
    fleet: &'a Fleet,
    now_ms: f64,
    mean_per_s: f64,
}

impl<'a> Capacities<'a> {
    /// Returns the capacities at `now_ms`.
    pub fn at(now_ms: f64, fleet: &'a Fleet) -> Self {
        Capacities { fleet, now_ms, mean_per_s: fleet.endpoints.mean_capacity_per_s() }
    }

    /// Returns the capacity of an endpoint, in requests per second; 0 if no endpoint has reported.
    pub fn capacity_per_s(&self, endpoint: &Endpoint) -> f64 {
        endpoint.load.capacity_per_s.unwrap_or_else(|| {
            let warm_up_ratio = self.fleet.slow_start.warm_up_ratio(self.now_ms, endpoint);
            self.mean_per_s * self.relative_size(endpoint) * warm_up_ratio
        })
    }

    /// Returns the balancing weight of an endpoint, in requests per second.
    pub fn weight_per_s(&self, endpoint: &Endpoint) -> f64 {
        let warm_up_ratio = self.fleet.slow_start.warm_up_ratio(self.now_ms, endpoint);
        let warm_mean_per_s = self.mean_per_s * warm_up_ratio;
        let reported_per_s = endpoint.load.weight_per_s;
        reported_per_s
            .unwrap_or_else(|| warm_mean_per_s * self.relative_size(endpoint))
            .max(MIN_WEIGHT_RATIO * warm_mean_per_s)
            .max(MIN_WEIGHT_PER_S)
    }

    /// Returns the endpoint's listed size relative to the mean of the endpoints in use if weights reflect
    /// load, and 1 otherwise.
    fn relative_size(&self, endpoint: &Endpoint) -> f64 {
        let size = endpoint.load.idle_weight;
        if size <= 0.0 {
            return 1.0;
        }
        let mean = self.fleet.endpoints.mean(|endpoint| Some(endpoint.load.idle_weight));
        mean.map_or(1.0, |mean| size / mean)
    }
}
