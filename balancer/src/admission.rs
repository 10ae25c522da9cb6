//! Admission control: which requests are shed on arrival.
//!
//! Rule, in this order: a request over its tenant's limit is rejected ([`crate::rate_limiter`]); one that
//! meets an overloaded fleet is rejected with a probability that grows with the overload; one that comes
//! too late for a response of any value is rejected unless the fleet has capacity to spare.

use crate::concurrency_limit::ConcurrencyLimits;
use crate::endpoint::Endpoint;
use crate::failure_ratios::{FailureRatios, FaultKind};
use crate::fleet::Fleet;
use crate::settings::RequestClass;
use oorandom::Rand64;

/// From this saturation on the fleet is full, and tenant limits bind.
const FULL_SATURATION_RATIO: f64 = 0.85;

/// From this saturation on the fleet is busy, and requests are rejected that arrive too late.
const BUSY_SATURATION_RATIO: f64 = 0.65;

/// At most this fraction of a tenant's or class's requests is rejected because they stall everywhere: the
/// rest shows whether they still do.
const MAX_STALL_SHED_RATIO: f64 = 0.95;

/// Slope of the fraction of requests that is shed because they stall everywhere: `STALL_SHED_SLOPE * excuse
/// - STALL_SHED_OFFSET`, where `excuse` (0 to 1) says how far the request's tenant or class accounts for
/// the stalls. Shedding starts at an excuse of 1 / 2.2, about 0.45, and is bounded by
/// [`MAX_STALL_SHED_RATIO`].
const STALL_SHED_SLOPE: f64 = 2.2;

/// What is subtracted in the formula of [`STALL_SHED_SLOPE`].
const STALL_SHED_OFFSET: f64 = 1.0;

/// The least fraction of the concurrency that AIMD is taken to keep.
const MIN_KEPT_RATIO: f64 = 1e-6;

/// A client that waits less than this many typical latencies gets no response in a full fleet.
const MIN_TIMEOUT_LATENCIES: f64 = 2.0;

/// Latencies count as this fraction of the class's objective at most when a request's chances are judged.
const MAX_LATENCY_OBJECTIVE_RATIO: f64 = 0.5;

/// An attempt is given up this many ticks before its client's timeout: an endpoint may go on working on it
/// while the client already retries.
const GIVE_UP_LEAD_TICKS: f64 = 1.5;

/// Whether the fleet is so full that tenant limits bind.
pub(crate) fn is_full(saturation_ratio: f64) -> bool {
    saturation_ratio >= FULL_SATURATION_RATIO
}

/// Whether the fleet is too busy for requests that arrive too late.
pub(crate) fn is_busy(saturation_ratio: f64) -> bool {
    saturation_ratio >= BUSY_SATURATION_RATIO
}

/// Until when a response to a request has value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseDeadlines {
    /// A response is expected after the latency objective, counted from the client's first attempt.
    pub misses_objective: bool,
    /// When a response no longer has the full value.
    pub useful_until_ms: f64,
    /// When an attempt is given up: where responses after the objective have no value, as
    /// soon as it is no longer useful.
    /// Cancelling it may remove it from the endpoint's queue.
    pub give_up_at_ms: f64,
}

impl ResponseDeadlines {
    /// Worked out for a request that arrives now, whose client has been trying for `age_ms`.
    pub fn new(
        now_ms: f64, class: &RequestClass, typical_ms: f64, age_ms: f64, client_timeout_ms: f64, tick_ms: f64,
    ) -> Self {
        let objective_ms = class.latency_objective_ms;
        let expected_ms = typical_ms.min(objective_ms * MAX_LATENCY_OBJECTIVE_RATIO);
        let misses_objective = age_ms + expected_ms > objective_ms;
        let client_ends_at_ms = now_ms + client_timeout_ms - GIVE_UP_LEAD_TICKS * tick_ms;
        let useful_until_ms = if misses_objective {
            client_ends_at_ms
        } else {
            client_ends_at_ms.min(now_ms + objective_ms - age_ms)
        };
        let give_up_at_ms = if class.late_value_ratio > 0.0 { client_ends_at_ms } else { useful_until_ms };
        ResponseDeadlines { misses_objective, useful_until_ms, give_up_at_ms }
    }
}

/// Whether a request arrives too late for a response of any value: its response misses the latency
/// objective, drawn by the value that such responses have, or the fleet is full and its client's timeout
/// short.
pub(crate) fn arrives_too_late(
    class: &RequestClass, misses_objective: bool, typical_ms: f64, client_timeout_ms: f64, is_full: bool,
    rng: &mut Rand64,
) -> bool {
    if misses_objective && rng.rand_float() >= class.late_value_ratio {
        return true;
    }
    let longest_ms = class.latency_objective_ms * MAX_LATENCY_OBJECTIVE_RATIO;
    is_full && client_timeout_ms < (MIN_TIMEOUT_LATENCIES * typical_ms).min(longest_ms)
}

/// The fraction of requests that an overloaded fleet rejects; 0 or less for none.
pub(crate) fn shed_ratio(
    now_ms: f64, fleet: &Fleet, is_full: bool, failure_ratios: &FailureRatios, tenant: Option<usize>,
    class: usize,
) -> f64 {
    // Of the requests in flight at overloaded endpoints a gateway may see few of its own.
    let mean_fleet_load = fleet.endpoints.mean(|endpoint| Some(endpoint.load.fleet_load));
    let overload = mean_fleet_load.unwrap_or(0.0) - 1.0;
    let aimd_ratio = 1.0 - aimd_kept_ratio(now_ms, fleet, is_full);
    // What stalls everywhere would take the capacity of others meanwhile.
    let stall_excuse_ratio = failure_ratios.excuse_ratio(tenant, class, FaultKind::Stall);
    let stall_ratio = STALL_SHED_SLOPE * stall_excuse_ratio - STALL_SHED_OFFSET;
    overload.max(aimd_ratio).max(stall_ratio.min(MAX_STALL_SHED_RATIO))
}

/// The fraction of its requests that a full fleet keeps where AIMD asks for less than one request in flight
/// at an endpoint: the limit itself can't fall below one.
fn aimd_kept_ratio(now_ms: f64, fleet: &Fleet, is_full: bool) -> f64 {
    if !is_full {
        return 1.0;
    }
    let limits = ConcurrencyLimits::at(now_ms, fleet);
    let kept_ratio = |endpoint: &Endpoint| {
        let limit_count = limits.limit_count(endpoint);
        let uncut_count = limit_count / endpoint.concurrency.factor();
        Some(limit_count.min(1.0) / uncut_count.clamp(MIN_KEPT_RATIO, 1.0))
    };
    fleet.endpoints.mean(kept_ratio).unwrap_or(1.0)
}
