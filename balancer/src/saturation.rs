//! The saturation of the fleet.
//!
//! Rule: the saturation is the number of requests in flight at the endpoints in use in the gateway's own
//! zone, divided by the sum of their concurrency limits; at least 1 while requests are pending. Where the
//! load of other gateways is unknown, the reported utilization counts too, because a small fraction of the
//! traffic doesn't show that load. A busy fleet that still meets its latency objectives may thus count as
//! full.

use crate::concurrency_limit::ConcurrencyLimits;
use crate::fleet::Fleet;
use crate::zone::ZoneSide;

/// Returns the saturation of the fleet: 0 if idle, and 1 or more if full.
pub(crate) fn fleet_saturation(now_ms: f64, fleet: &Fleet, has_pending: bool) -> f64 {
    let limits = ConcurrencyLimits::at(now_ms, fleet);
    let endpoints = &fleet.endpoints;
    let subset = endpoints.subset();
    let side = if subset.local.is_empty() { ZoneSide::Remote } else { ZoneSide::Local };
    let fleet_load_weight = fleet.fleet_load_weight;
    let total_in_flight: f64 = endpoints
        .get_all(subset.get(side).iter())
        .map(|endpoint| f64::from(endpoint.in_flight_count) + fleet_load_weight * endpoint.load.fleet_load)
        .sum();
    let total_limit: f64 = endpoints
        .get_all(subset.get(side).iter())
        .map(|endpoint| limits.limit(endpoint).max(1.0 - fleet_load_weight) + fleet_load_weight)
        .sum();
    let mean_utilization = endpoints.mean(|endpoint| endpoint.load.last_report.utilization).unwrap_or(0.0);
    let utilization_ratio = (1.0 - fleet_load_weight) * mean_utilization;
    let pending_ratio = if has_pending { 1.0 } else { 0.0 };
    (total_in_flight / total_limit.max(1.0)).max(utilization_ratio).max(pending_ratio)
}
