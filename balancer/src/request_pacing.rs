//! Request pacing: spaces out this gateway's requests to a busy endpoint that is shared by more gateways
//! than the number of requests that the endpoint can serve at once.
//!
//! Rule: if this gateway's concurrency limit at a busy endpoint is below one request, a response that takes
//! longer than the class's typical latency makes the gateway pause its sends to the endpoint for a multiple
//! of the excess latency. Without the pause, a queue of one request from each gateway would remain at the
//! endpoint.
//!
//! Example: in a fleet of 20 gateways (visibility 4 / 20 = 0.2) that all use the endpoint, the multiple is
//! 0.7 * 19 * (1 - 0.2) = 10.64: a response 10 ms slower than typical is followed by a pause of 106.4 ms.

use crate::concurrency_limit::ConcurrencyLimits;
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::load::RELIABLE_UTILIZATION;

/// Length of the pause for each other gateway that uses the endpoint, as a multiple of the excess latency.
const PACING_FACTOR: f64 = 0.7;

/// Returns the pause as a multiple of the excess of a response's latency over the typical latency; 0 if
/// requests need no pacing.
pub(crate) fn pause_factor(now_ms: f64, fleet: &Fleet, endpoint: Option<&Endpoint>) -> f64 {
    let visibility = fleet.traffic_share.visibility();
    let is_busy = |endpoint: &&Endpoint| {
        let utilization = endpoint.load.last_report.utilization;
        visibility < 1.0 && utilization.is_some_and(|utilization| utilization >= RELIABLE_UTILIZATION)
    };
    let limit =
        endpoint.filter(is_busy).map_or(1.0, |endpoint| ConcurrencyLimits::at(now_ms, fleet).limit(endpoint));
    if limit >= 1.0 {
        return 0.0;
    }
    let other_gateways = 1.0 / fleet.subset_selector.endpoint_share() - 1.0;
    PACING_FACTOR * other_gateways * (1.0 - visibility)
}
