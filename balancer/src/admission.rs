//! Admission control: which requests are rejected on arrival.
//!
//! Rule, in this order: a request over its tenant's limit is rejected ([`crate::rate_limiter`]); a request
//! that arrives at an overloaded fleet is shed with a probability that grows with the overload; a request
//! that arrives too late for a response to have any value is rejected unless the fleet has spare capacity.

use crate::concurrency_limit::ConcurrencyLimits;
use crate::endpoint::Endpoint;
use crate::failure_ratios::{FailureRatios, FaultKind};
use crate::fleet::Fleet;
use crate::settings::RequestClass;
use oorandom::Rand64;

/// Saturation from which the fleet counts as full, so that tenant limits are enforced.
const FULL_SATURATION: f64 = 0.85;

/// Saturation from which the fleet counts as busy, so that requests that arrive too late are rejected.
const BUSY_SATURATION: f64 = 0.65;

/// Largest fraction of a tenant's or class's requests that is shed because its attempts stall at all
/// endpoints. The remaining requests show whether they still stall.
const MAX_STALL_SHED_RATIO: f64 = 0.95;

/// Slope of the fraction of requests that is shed because the attempts of a tenant or class stall at all
/// endpoints: `STALL_SHED_SLOPE * stall_fault_ratio - STALL_SHED_OFFSET`, where `stall_fault_ratio` (0 to
/// 1) is the fraction of the stalls that is due to the tenant or class. Shedding starts at a ratio of `1 /
/// 2.2`, about 0.45, and is bounded by [`MAX_STALL_SHED_RATIO`].
const STALL_SHED_SLOPE: f64 = 2.2;

/// Offset in the formula of [`STALL_SHED_SLOPE`].
const STALL_SHED_OFFSET: f64 = 1.0;

/// Lower bound of a concurrency limit without its AIMD factor, in requests, so that a division by the limit
/// stays finite.
const MIN_UNSCALED_LIMIT: f64 = 1e-6;

/// Shortest client timeout that a full fleet admits, in typical latencies of the class. A client with a
/// shorter timeout would disconnect before a response arrives.
const MIN_TIMEOUT_LATENCIES: f64 = 2.0;

/// Upper bound of the expected latency when a request is assessed on arrival, as a fraction of the class's
/// latency objective.
const MAX_LATENCY_OBJECTIVE_RATIO: f64 = 0.5;

/// Time before the client's timeout at which an attempt is given up, in ticks. An attempt that is given up
/// later may occupy the endpoint while the client already retries.
const GIVE_UP_LEAD_TICKS: f64 = 1.5;

/// Returns whether the fleet is so full that tenant limits are enforced.
pub(crate) fn is_full(saturation: f64) -> bool {
    saturation >= FULL_SATURATION
}

/// Returns whether the fleet is too busy for requests that arrive too late.
pub(crate) fn is_busy(saturation: f64) -> bool {
    saturation >= BUSY_SATURATION
}

/// The times until which a response to a request has value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseDeadlines {
    /// Whether a response is expected after the latency objective, counted from the client's first attempt.
    pub misses_objective: bool,
    /// Time from which a response no longer has its full value, in ms.
    pub useful_until_ms: f64,
    /// Time at which an attempt is given up, in ms: the client's timeout, or `useful_until_ms` in classes
    /// where responses after the objective have no value. A given-up attempt may be removed from the
    /// endpoint's queue.
    pub give_up_at_ms: f64,
}

impl ResponseDeadlines {
    /// Computes the times for a request that arrives at `now_ms`, and whose client has been trying for
    /// `age_ms`.
    pub fn new(
        now_ms: f64, class: &RequestClass, typical_ms: f64, age_ms: f64, client_timeout_ms: f64, tick_ms: f64,
    ) -> Self {
        let objective_ms = class.latency_objective_ms;
        let expected_ms = typical_ms.min(objective_ms * MAX_LATENCY_OBJECTIVE_RATIO);
        let misses_objective = age_ms + expected_ms > objective_ms;
        let client_timeout_at_ms = now_ms + client_timeout_ms - GIVE_UP_LEAD_TICKS * tick_ms;
        let useful_until_ms = if misses_objective {
            client_timeout_at_ms
        } else {
            client_timeout_at_ms.min(now_ms + objective_ms - age_ms)
        };
        let give_up_at_ms = if class.late_value_ratio > 0.0 { client_timeout_at_ms } else { useful_until_ms };
        ResponseDeadlines { misses_objective, useful_until_ms, give_up_at_ms }
    }
}

/// Returns whether a request arrives too late for a response to have any value. True if the response is
/// expected to miss the latency objective, except with a probability of `late_value_ratio`, the value of
/// late responses; also true if the fleet is full and the client's timeout is short.
pub(crate) fn arrives_too_late(
    class: &RequestClass, misses_objective: bool, typical_ms: f64, client_timeout_ms: f64, is_full: bool,
    rng: &mut Rand64,
) -> bool {
    if misses_objective && rng.rand_float() >= class.late_value_ratio {
        return true;
    }
    let max_latency_ms = class.latency_objective_ms * MAX_LATENCY_OBJECTIVE_RATIO;
    is_full && client_timeout_ms < (MIN_TIMEOUT_LATENCIES * typical_ms).min(max_latency_ms)
}

/// Returns the fraction of requests that an overloaded fleet sheds; 0 or less if none.
pub(crate) fn shed_ratio(
    now_ms: f64, fleet: &Fleet, is_full: bool, failure_ratios: &FailureRatios, tenant: Option<usize>,
    class: usize,
) -> f64 {
    // A gateway may have few of the requests that are in flight at overloaded endpoints, so that its own
    // requests don't show the overload.
    let mean_fleet_load = fleet.endpoints.mean(|endpoint| Some(endpoint.load.fleet_load));
    let overload = mean_fleet_load.unwrap_or(0.0) - 1.0;
    let aimd_shed_ratio = 1.0 - aimd_admitted_ratio(now_ms, fleet, is_full);
    // Requests that stall at all endpoints would meanwhile take capacity from other requests.
    let stall_fault_ratio = failure_ratios.request_fault_ratio(tenant, class, FaultKind::Stall);
    let stall_shed_ratio = STALL_SHED_SLOPE * stall_fault_ratio - STALL_SHED_OFFSET;
    overload.max(aimd_shed_ratio).max(stall_shed_ratio.min(MAX_STALL_SHED_RATIO))
}

/// Returns the fraction of requests that a full fleet admits. The fraction is below 1 where AIMD lowers an
/// endpoint's limit below one request in flight, because the concurrency limit itself cannot fall below one.
fn aimd_admitted_ratio(now_ms: f64, fleet: &Fleet, is_full: bool) -> f64 {
    if !is_full {
        return 1.0;
    }
    let limits = ConcurrencyLimits::at(now_ms, fleet);
    let admitted_ratio = |endpoint: &Endpoint| {
        let limit = limits.limit(endpoint);
        let unscaled_limit = limit / endpoint.concurrency.factor();
        Some(limit.min(1.0) / unscaled_limit.clamp(MIN_UNSCALED_LIMIT, 1.0))
    };
    fleet.endpoints.mean(admitted_ratio).unwrap_or(1.0)
}
