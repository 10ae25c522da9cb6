//! The capacity of each endpoint in requests a second, known or assumed, and its balancing weight.
//!
//! Rule: an endpoint without load reports is taken to have the fleet's mean capacity, times its listed size
//! and less in slow start. The balancing weight never lies far below that mean.

use crate::endpoint::Endpoint;
use crate::fleet::Fleet;

/// An endpoint's balancing weight is at least this fraction of the mean capacity.
const MIN_WEIGHT_RATIO: f64 = 0.25;

/// The least balancing weight, in requests a second: above 0, so that an endpoint can be drawn.
const MIN_WEIGHT_PER_S: f64 = 1e-6;

/// The capacities of the fleet's endpoints at one moment.
pub(crate) struct Capacities<'a> {
    fleet: &'a Fleet,
    now_ms: f64,
    mean_per_s: f64,
}

impl<'a> Capacities<'a> {
    /// The capacities as of now.
    pub fn at(now_ms: f64, fleet: &'a Fleet) -> Self {
        Capacities { fleet, now_ms, mean_per_s: fleet.endpoints.mean_capacity_per_s() }
    }

    /// An endpoint's capacity; 0 where no endpoint has reported.
    pub fn capacity_per_s(&self, endpoint: &Endpoint) -> f64 {
        endpoint.load.capacity_per_s.unwrap_or_else(|| {
            let warm_up_ratio = self.fleet.slow_start.warm_up_ratio(self.now_ms, endpoint);
            self.mean_per_s * self.relative_size(endpoint) * warm_up_ratio
        })
    }

    /// An endpoint's balancing weight.
    pub fn weight_per_s(&self, endpoint: &Endpoint) -> f64 {
        let warm_up_ratio = self.fleet.slow_start.warm_up_ratio(self.now_ms, endpoint);
        let warm_mean_per_s = self.mean_per_s * warm_up_ratio;
        let reported_per_s = endpoint.load.weight_per_s;
        reported_per_s
            .unwrap_or_else(|| warm_mean_per_s * self.relative_size(endpoint))
            .max(MIN_WEIGHT_RATIO * warm_mean_per_s)
            .max(MIN_WEIGHT_PER_S)
    }

    /// An endpoint's listed size relative to the mean of those in use, where weights reflect load; else 1.
    fn relative_size(&self, endpoint: &Endpoint) -> f64 {
        let size = endpoint.load.idle_weight;
        if size <= 0.0 {
            return 1.0;
        }
        let mean = self.fleet.endpoints.mean(|endpoint| Some(endpoint.load.idle_weight));
        mean.map_or(1.0, |mean| size / mean)
    }
}
