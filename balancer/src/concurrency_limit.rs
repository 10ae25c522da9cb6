//! How many requests this gateway may have in flight at an endpoint.
//!
//! Rule: the limit is this gateway's share of what the endpoint serves within a fraction of the shortest
//! latency objective, times the endpoint's AIMD factor. The gateway's share is its own send rate over the
//! endpoint's reported throughput, and never less than an even share among the gateways that use the
//! endpoint.
//!
//! Unit of limits: requests, which may be a fraction.

use crate::capacity::Capacities;
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::load::drainable_count;

/// What all gateways may have in flight at an endpoint of a fleet of which nothing is known.
const UNKNOWN_CAPACITY_LIMIT_COUNT: f64 = 8.0;

/// The limits of the fleet's endpoints at one moment.
pub(crate) struct ConcurrencyLimits<'a> {
    capacities: Capacities<'a>,
    fleet: &'a Fleet,
    now_ms: f64,
}

impl<'a> ConcurrencyLimits<'a> {
    /// The limits as of now.
    pub fn at(now_ms: f64, fleet: &'a Fleet) -> Self {
        ConcurrencyLimits { capacities: Capacities::at(now_ms, fleet), fleet, now_ms }
    }

    /// The capacities that the limits follow from.
    pub fn capacities(&self) -> &Capacities<'a> {
        &self.capacities
    }

    /// How many requests this gateway may have in flight at an endpoint.
    pub fn limit_count(&self, endpoint: &Endpoint) -> f64 {
        let capacity_per_s = self.capacities.capacity_per_s(endpoint);
        if capacity_per_s <= 0.0 {
            return UNKNOWN_CAPACITY_LIMIT_COUNT * self.fleet.subset_selector.endpoint_share_ratio();
        }
        let own_capacity_per_s = capacity_per_s * self.limit_share_ratio(endpoint);
        let usable_per_s = own_capacity_per_s * endpoint.concurrency.factor();
        drainable_count(usable_per_s, self.fleet.objective_ms)
    }

    /// This gateway's share of the endpoint's requests: its send rate over the reported throughput, and at
    /// least the share of [`crate::subset`]; that alone without a report.
    fn limit_share_ratio(&self, endpoint: &Endpoint) -> f64 {
        let endpoint_share_ratio = self.fleet.subset_selector.endpoint_share_ratio();
        let reported_per_s = endpoint.load.last_report.throughput_per_s.filter(|per_s| *per_s > 0.0);
        reported_per_s.map_or(endpoint_share_ratio, |reported_per_s| {
            (endpoint.send_rate.per_s(self.now_ms) / reported_per_s).clamp(endpoint_share_ratio, 1.0)
        })
    }
}
