//! How many requests this gateway may have in flight at an endpoint.
//!
//! Rule: the limit is this gateway's part of what the endpoint serves within a part of the shortest latency
//! objective, times the endpoint's AIMD factor. The gateway's part is its own send rate over the endpoint's
//! reported throughput, and never less than an even part among the gateways that use the endpoint.
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
            return UNKNOWN_CAPACITY_LIMIT_COUNT * self.fleet.subset.endpoint_share_ratio();
        }
        let own_capacity_per_s = capacity_per_s * self.share_ratio(endpoint);
        let usable_per_s = own_capacity_per_s * endpoint.concurrency.ratio();
        drainable_count(usable_per_s, self.fleet.objective_ms())
    }

    /// This gateway's part of the endpoint's requests.
    fn share_ratio(&self, endpoint: &Endpoint) -> f64 {
        let even_ratio = self.fleet.subset.endpoint_share_ratio();
        let reported_per_s = endpoint.load.last_report.throughput_per_s.filter(|per_s| *per_s > 0.0);
        reported_per_s.map_or(even_ratio, |reported_per_s| {
            (endpoint.send_rate.per_s(self.now_ms) / reported_per_s).clamp(even_ratio, 1.0)
        })
    }
}
