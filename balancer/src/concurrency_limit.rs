//! Concurrency limits: how many requests this gateway may have in flight at an endpoint.
//!
//! Rule: the limit is this gateway's share of the requests that the endpoint serves within a fraction of
//! the shortest latency objective, times the endpoint's AIMD factor. The gateway's share is its own send
//! rate divided by the endpoint's reported throughput, and at least an even share among the gateways that
//! use the endpoint.
//!
//! Limits are in requests, and may have a fractional part.

use crate::capacity::Capacities;
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::load::max_in_flight;

/// Number of requests that all gateways together may have in flight at an endpoint while no endpoint's
/// capacity is known.
const UNKNOWN_CAPACITY_LIMIT: f64 = 8.0;

/// The concurrency limits of the fleet's endpoints at one time.
pub(crate) struct ConcurrencyLimits<'a> {
    capacities: Capacities<'a>,
    fleet: &'a Fleet,
    now_ms: f64,
}

impl<'a> ConcurrencyLimits<'a> {
    /// Returns the limits at `now_ms`.
    pub fn at(now_ms: f64, fleet: &'a Fleet) -> Self {
        ConcurrencyLimits { capacities: Capacities::at(now_ms, fleet), fleet, now_ms }
    }

    /// Returns the capacities from which the limits are computed.
    pub fn capacities(&self) -> &Capacities<'a> {
        &self.capacities
    }

    /// Returns how many requests this gateway may have in flight at an endpoint.
    pub fn limit(&self, endpoint: &Endpoint) -> f64 {
        let capacity_per_s = self.capacities.capacity_per_s(endpoint);
        if capacity_per_s <= 0.0 {
            return UNKNOWN_CAPACITY_LIMIT * self.fleet.subset_selector.endpoint_share();
        }
        let own_capacity_per_s = capacity_per_s * self.limit_share(endpoint);
        let usable_per_s = own_capacity_per_s * endpoint.concurrency.factor();
        max_in_flight(usable_per_s, self.fleet.shortest_objective_ms)
    }

    /// Returns this gateway's share of the endpoint's requests: its send rate divided by the reported
    /// throughput, and at least the endpoint share of [`crate::subset`]; the endpoint share alone if there
    /// is no report.
    fn limit_share(&self, endpoint: &Endpoint) -> f64 {
        let endpoint_share = self.fleet.subset_selector.endpoint_share();
        let reported_per_s = endpoint.load.last_report.throughput_per_s.filter(|per_s| *per_s > 0.0);
        reported_per_s.map_or(endpoint_share, |reported_per_s| {
            (endpoint.send_rate.per_s(self.now_ms) / reported_per_s).clamp(endpoint_share, 1.0)
        })
    }
}
