//! How many requests this gateway may have in flight at an endpoint, and how heavily it may draw on it.
//!
//! Rule: the limit is this gateway's part of what the endpoint serves within a part of the shortest latency
//! objective, times the endpoint's AIMD factor. Without a capacity the fleet's mean stands in, less in slow
//! start.
//!
//! Inputs: load reports, listed sizes, own send rate, subset. Unit of limits: requests, which may be a
//! fraction.

use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::load::drainable_count;

/// What all gateways may have in flight at an endpoint of a fleet of which nothing is known.
const UNKNOWN_CAPACITY_LIMIT_COUNT: f64 = 8.0;

/// An endpoint's balancing weight is at least this part of the mean capacity.
const MIN_WEIGHT_RATIO: f64 = 0.25;

/// The least balancing weight, in requests a second: above 0, so that an endpoint can be drawn.
const MIN_WEIGHT_PER_S: f64 = 1e-6;

/// Limits and weights of the fleet's endpoints at one moment.
pub(crate) struct ConcurrencyLimits<'a> {
    fleet: &'a Fleet,
    now_ms: f64,
    mean_capacity_per_s: f64,
}

impl<'a> ConcurrencyLimits<'a> {
    /// The limits as of now.
    pub fn at(now_ms: f64, fleet: &'a Fleet) -> Self {
        ConcurrencyLimits { fleet, now_ms, mean_capacity_per_s: fleet.endpoints.mean_capacity_per_s() }
    }

    /// How many requests this gateway may have in flight at an endpoint.
    pub fn limit_count(&self, endpoint: &Endpoint) -> f64 {
        let capacity_per_s =
            endpoint.load.capacity_per_s.unwrap_or_else(|| self.assumed_capacity_per_s(endpoint));
        let subset_share_ratio = self.fleet.subset.endpoint_share_ratio();
        if capacity_per_s <= 0.0 {
            return UNKNOWN_CAPACITY_LIMIT_COUNT * subset_share_ratio;
        }
        let reported_per_s = endpoint.load.last_report.throughput_per_s.filter(|per_s| *per_s > 0.0);
        let share_ratio = reported_per_s.map_or(subset_share_ratio, |reported_per_s| {
            (endpoint.send_rate.per_s(self.now_ms) / reported_per_s).clamp(subset_share_ratio, 1.0)
        });
        let usable_per_s = capacity_per_s * share_ratio * endpoint.concurrency.ratio();
        drainable_count(usable_per_s, self.fleet.objective_ms())
    }

    /// The balancing weight: the endpoint's capacity in requests a second, never far below the mean.
    pub fn weight_per_s(&self, endpoint: &Endpoint) -> f64 {
        let warm_up_ratio = self.fleet.slow_start.warm_up_ratio(self.now_ms, endpoint);
        let warm_mean_per_s = self.mean_capacity_per_s * warm_up_ratio;
        let weight_per_s = endpoint.load.weight_per_s;
        weight_per_s
            .unwrap_or_else(|| warm_mean_per_s * self.relative_size(endpoint))
            .max(MIN_WEIGHT_RATIO * warm_mean_per_s)
            .max(MIN_WEIGHT_PER_S)
    }

    fn assumed_capacity_per_s(&self, endpoint: &Endpoint) -> f64 {
        let warm_up_ratio = self.fleet.slow_start.warm_up_ratio(self.now_ms, endpoint);
        self.mean_capacity_per_s * self.relative_size(endpoint) * warm_up_ratio
    }

    /// An endpoint's listed size as a part of the mean of those in use, where weights reflect load; else 1.
    fn relative_size(&self, endpoint: &Endpoint) -> f64 {
        let size = endpoint.load.idle_weight;
        if size <= 0.0 {
            return 1.0;
        }
        let mean = self.fleet.endpoints.mean(|endpoint| Some(endpoint.load.idle_weight));
        mean.map_or(1.0, |mean| size / mean)
    }
}
