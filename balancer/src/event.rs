//! What goes into a [`Balancer`](crate::Balancer): the events that the gateway has seen.
//!
//! Times are milliseconds on the gateway's own clock, which may start anywhere and only moves forward.

use crate::ids::{EndpointId, RequestId};

/// Whether an endpoint takes requests, by the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Takes requests.
    #[default]
    Active,
    /// Drains: no new request may go there.
    Draining,
    /// No longer listed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone, in the gateway's own numbering.
    pub zone: u32,
    /// Its cell, for requests with an idempotency key.
    pub cell: u32,
    /// The same number at every gateway, and another for each endpoint, such as a hash of its name.
    pub hash: u64,
    /// Its size in relation to the others; where weights reflect load, lowered by the requests in flight
    /// there.
    pub weight: f64,
    /// Whether it takes requests.
    pub readiness: Readiness,
    /// When its process last started, in ms; 0 (or less) for long ago.
    pub started_at_ms: f64,
}

/// Kinds of updates from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only changed entries.
    Delta,
    /// The complete list.
    Complete,
    /// The complete list as this gateway cached it last, maybe stale.
    Cached,
    /// A poll failed or the watch broke; the previous list stays in force.
    WatchLost,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The endpoint responded with any status but 200, other than a rejection; or its response was
    /// malformed or stopped arriving before it was complete.
    ServerError,
    /// The endpoint rejected it without running it.
    Rejected,
    /// No response in time.
    ResponseTimeout,
    /// No connection in time, or the connection broke before the request was sent completely, so that it
    /// never ran.
    ConnectFailed,
    /// The connection broke after the request had been sent completely.
    ConnectionLost,
    /// The gateway cancelled it.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// True if this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// An endpoint's load report; absent values were not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Fraction of its CPU that is busy, from 0 to 1.
    pub utilization: Option<f64>,
    /// Requests served a second.
    pub throughput_per_s: Option<f64>,
    /// Number of requests waiting.
    pub queue_length: Option<f64>,
}

/// A request that the gateway has taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings.
    pub tenant: Option<usize>,
    /// How long the client still waits for this attempt of its own, in ms.
    pub client_timeout_ms: f64,
}

/// The end of an attempt; each sent attempt has exactly one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Where it went.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent, in ms.
    pub latency_ms: f64,
    /// The client has its final response: the request needs no further attempt.
    pub request_complete: bool,
    /// The load report that came along.
    pub report: LoadReport,
}

/// Something the gateway has seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointUpdate {
        /// What kind of update.
        kind: UpdateKind,
        /// The entries.
        endpoints: Vec<EndpointRecord>,
    },
    /// A request has arrived.
    Request(Arrival),
    /// The response of a streamed class has begun: the attempt now belongs to the client. No rule needs it:
    /// it is there because the simulator's protocol has it.
    ResponseStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt has ended.
    AttemptEnd(AttemptEnd),
    /// The client no longer waits for the request: it has disconnected, or the deadline has passed.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A health check has ended.
    HealthCheckEnd {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came along.
        report: LoadReport,
    },
    /// A timer is due.
    Timer {
        /// As given with [`Action::Timer`](crate::Action::Timer); not read, since the balancer has one
        /// timer.
        token: u64,
    },
}
