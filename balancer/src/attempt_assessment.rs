//! What an attempt's end says about its endpoint.
//!
//! Rule: an attempt has stalled if it got no response in a time in which it should have had one, or one
//! after more than twice the typical latency of the slowest class and the shortest latency objective. An
//! attempt that had too little time left for a response says nothing.
//!
//! A stall here concerns one attempt; a stalled event loop, in the gateway, is a process that stood still.

use crate::event::{AttemptEnd, Outcome};

/// An attempt without a response after this many typical latencies of the slowest class has stalled; a
/// response that comes later than that, and than the shortest latency objective, counts as a stall too.
const STALL_LATENCIES: f64 = 2.0;

/// An attempt that was given this fraction of its latency objective and got no response has stalled.
const STALL_OBJECTIVE_RATIO: f64 = 0.5;

/// What an attempt's end says about its endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptAssessment {
    /// It failed in any way, a stall included.
    pub failed: bool,
    /// It got no response in a time in which it should have had one.
    pub stalled: bool,
    /// It was served, but with a latency that counts as a stall (see [`STALL_LATENCIES`]).
    pub served_as_stall: bool,
    /// It says something about the endpoint at all.
    pub is_informative: bool,
}

impl AttemptAssessment {
    /// Judges an attempt's end by the latency objective of its class, if the request is still open, the
    /// shortest latency objective, and the typical latency of the slowest class.
    pub fn of(
        end: &AttemptEnd, class_objective_ms: Option<f64>, shortest_objective_ms: f64, slowest_class_ms: f64,
    ) -> Self {
        let slow_ms = STALL_LATENCIES * slowest_class_ms;
        let stall_ms = class_objective_ms
            .map_or(slow_ms, |objective_ms| slow_ms.min(STALL_OBJECTIVE_RATIO * objective_ms));
        let served_as_stall =
            end.outcome == Outcome::Served && end.latency_ms > slow_ms.max(shortest_objective_ms);
        let timed_out = end.outcome == Outcome::ResponseTimeout && end.latency_ms >= stall_ms;
        let stalled = served_as_stall || timed_out;
        let is_error =
            matches!(end.outcome, Outcome::ServerError | Outcome::ConnectFailed | Outcome::ConnectionLost);
        let failed = stalled || is_error;
        let is_success = matches!(end.outcome, Outcome::Served | Outcome::Rejected);
        AttemptAssessment { failed, stalled, served_as_stall, is_informative: failed || is_success }
    }
}
