//! How full the fleet is.
//!
//! Rule: what is in flight at the endpoints in use of the own zone, over what may be; at least 1 while
//! requests are pending. Where the load of other gateways is unknown, the reported utilization counts too:
//! a small fraction of the traffic doesn't show it. A busy fleet that keeps its latencies may thus be
//! taken for full.

use crate::concurrency_limit::ConcurrencyLimits;
use crate::fleet::Fleet;
use crate::zone::ZoneSide;

/// The saturation of the fleet: 0 when idle, 1 and more when full.
pub(crate) fn saturation_ratio(now_ms: f64, fleet: &Fleet, has_pending: bool) -> f64 {
    let limits = ConcurrencyLimits::at(now_ms, fleet);
    let endpoints = &fleet.endpoints;
    let subset = endpoints.subset();
    let side = if subset.local.is_empty() { ZoneSide::Remote } else { ZoneSide::Local };
    let fleet_load_weight = fleet.fleet_load_weight;
    let in_flight_count: f64 = endpoints
        .of(subset.get(side).iter())
        .map(|endpoint| f64::from(endpoint.in_flight_count) + fleet_load_weight * endpoint.load.fleet_load)
        .sum();
    let limit_count: f64 = endpoints
        .of(subset.get(side).iter())
        .map(|endpoint| limits.limit_count(endpoint).max(1.0 - fleet_load_weight) + fleet_load_weight)
        .sum();
    let mean_utilization = endpoints.mean(|endpoint| endpoint.load.last_report.utilization).unwrap_or(0.0);
    let utilization_ratio = (1.0 - fleet_load_weight) * mean_utilization;
    let pending_ratio = if has_pending { 1.0 } else { 0.0 };
    (in_flight_count / limit_count.max(1.0)).max(utilization_ratio).max(pending_ratio)
}
