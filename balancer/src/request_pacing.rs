//! Request pacing: spaces this gateway's requests to a busy endpoint that more gateways share than it can
//! serve at once.
//!
//! Rule: where this gateway's limit at a busy endpoint is below one request, a response that takes longer
//! than the class's typical latency makes the gateway pause its sends there for a multiple of the excess.
//! Otherwise a queue of one request from each of the gateways would stay at the endpoint.
//!
//! Example: in a fleet of 20 gateways (visibility 4 / 20 = 0.2) that all use the endpoint, the multiple is
//! 0.7 * 19 * (1 - 0.2) = 10.64: a response 10 ms slower than typical is followed by a pause of 106.4 ms.

use crate::concurrency_limit::ConcurrencyLimits;
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::load::RELIABLE_UTILIZATION_RATIO;

/// The pause is this multiple of the excess latency for each other gateway that uses the endpoint.
const PACING_FACTOR: f64 = 0.7;

/// The pause as a multiple of the time by which a response took longer than typical; 0 where requests need
/// no pacing.
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
    let other_gateways_count = 1.0 / fleet.subset_selector.endpoint_share_ratio() - 1.0;
    PACING_FACTOR * other_gateways_count * (1.0 - visibility_ratio)
}
