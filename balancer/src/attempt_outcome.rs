//! What an attempt's end says about its endpoint.
//!
//! Rule: an attempt has stalled if it got no response in a time in which it should have had one, or one far
//! later than the other classes' responses and the latency objective. An attempt that was sent too late to
//! be answered says nothing.

use crate::event::{AttemptEnd, Outcome};

/// A response is far too late after this many typical latencies of the slowest class.
const LATE_LATENCIES: f64 = 2.0;

/// An attempt that was given this part of its latency objective and got no response has stalled.
const STALL_OBJECTIVE_RATIO: f64 = 0.5;

/// What an attempt's end says about its endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptOutcome {
    /// It failed in any way, a stall included.
    pub failed: bool,
    /// It got no response in a time in which it should have had one.
    pub stalled: bool,
    /// It was served, but far too late.
    pub served_late: bool,
    /// It says something about the endpoint at all.
    pub is_informative: bool,
}

impl AttemptOutcome {
    /// Judges an attempt's end by the latency objective of its class, if the request is still open, the
    /// shortest latency objective, and the typical latency of the slowest class.
    pub fn of(
        end: &AttemptEnd, class_objective_ms: Option<f64>, shortest_objective_ms: f64, slowest_class_ms: f64,
    ) -> Self {
        let late_ms = LATE_LATENCIES * slowest_class_ms;
        let stall_ms = class_objective_ms
            .map_or(late_ms, |objective_ms| late_ms.min(STALL_OBJECTIVE_RATIO * objective_ms));
        let served_late =
            end.outcome == Outcome::Served && end.latency_ms > late_ms.max(shortest_objective_ms);
        let timed_out = end.outcome == Outcome::ResponseTimeout && end.latency_ms >= stall_ms;
        let stalled = served_late || timed_out;
        let is_error =
            matches!(end.outcome, Outcome::ServerError | Outcome::ConnectFailed | Outcome::ConnectionLost);
        let failed = stalled || is_error;
        let is_success = matches!(end.outcome, Outcome::Served | Outcome::Rejected);
        AttemptOutcome { failed, stalled, served_late, is_informative: failed || is_success }
    }
}
