//! Assessment of an ended attempt: what the attempt shows about its endpoint.
//!
//! Rule: an attempt has stalled if it got no response although it was given enough time for one, or if its
//! response took longer than both twice the typical latency of the slowest class and the shortest latency
//! objective. An attempt with too little time for a response shows nothing about the endpoint.
//!
//! A stall here concerns one attempt; a stalled event loop, in the gateway, concerns the whole process.

use crate::event::{AttemptEnd, Outcome};

/// Time without a response after which an attempt has stalled, in typical latencies of the slowest class. A
/// response after this time and after the shortest latency objective counts as a stall too.
const STALL_LATENCIES: f64 = 2.0;

/// Time without a response after which an attempt has stalled, as a fraction of the class's latency
/// objective.
const STALL_OBJECTIVE_RATIO: f64 = 0.5;

/// The assessment of an ended attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptAssessment {
    /// Whether the attempt failed in any way, including by a stall.
    pub failed: bool,
    /// Whether the attempt stalled, including a served attempt whose latency counts as a stall.
    pub stalled: bool,
    /// Whether the attempt was served, but with a latency that counts as a stall (see [`STALL_LATENCIES`]).
    pub served_after_stall: bool,
    /// Whether the attempt shows anything about the endpoint.
    pub is_informative: bool,
}

impl AttemptAssessment {
    /// Assesses an ended attempt. `class_objective_ms` is the latency objective of the request's class, if
    /// the request is still open; `slowest_class_ms` is the typical latency of the slowest class.
    pub fn of(
        end: &AttemptEnd, class_objective_ms: Option<f64>, shortest_objective_ms: f64, slowest_class_ms: f64,
    ) -> Self {
        let slow_ms = STALL_LATENCIES * slowest_class_ms;
        let stall_ms = class_objective_ms
            .map_or(slow_ms, |objective_ms| slow_ms.min(STALL_OBJECTIVE_RATIO * objective_ms));
        let served_after_stall =
            end.outcome == Outcome::Served && end.latency_ms > slow_ms.max(shortest_objective_ms);
        let timed_out = end.outcome == Outcome::ResponseTimeout && end.latency_ms >= stall_ms;
        let stalled = served_after_stall || timed_out;
        let is_error =
            matches!(end.outcome, Outcome::ServerError | Outcome::ConnectFailed | Outcome::ConnectionLost);
        let failed = stalled || is_error;
        let is_success = matches!(end.outcome, Outcome::Served | Outcome::Rejected);
        AttemptAssessment { failed, stalled, served_after_stall, is_informative: failed || is_success }
    }
}
