//! Turns at a busy endpoint that more gateways share than it can serve at once.
//!
//! Rule: where this gateway's limit at a busy endpoint is below one request, a response later than usual
//! makes it pause for a multiple of the excess, so that the other gateways have their turns. Otherwise a
//! queue of one request from each of many gateways would stay.

use crate::concurrency_limit::ConcurrencyLimits;
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::load::RELIABLE_UTILIZATION_RATIO;

/// A gateway lets pass this part of the turns of the others.
const PASSED_TURNS_RATIO: f64 = 0.7;

/// The pause, in ms, as a multiple of the time by which a response was later than usual.
pub(crate) fn pause_factor(now_ms: f64, fleet: &Fleet, endpoint: Option<&Endpoint>) -> f64 {
    let visibility_ratio = fleet.traffic_share.visibility_ratio();
    let is_busy = |endpoint: &&Endpoint| {
        let utilization = endpoint.load.last_report.utilization;
        visibility_ratio < 1.0
            && utilization.is_some_and(|utilization| utilization >= RELIABLE_UTILIZATION_RATIO)
    };
    let limit_count = endpoint
        .filter(is_busy)
        .map_or(1.0, |endpoint| ConcurrencyLimits::at(now_ms, fleet).limit_count(endpoint));
    if limit_count >= 1.0 {
        return 0.0;
    }
    let other_gateways_count = 1.0 / fleet.subset.endpoint_share_ratio() - 1.0;
    PASSED_TURNS_RATIO * other_gateways_count * (1.0 - visibility_ratio)
}
