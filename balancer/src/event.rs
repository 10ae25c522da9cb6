//! The inputs of a [`Balancer`](crate::Balancer): the events that the gateway has observed.
//!
//! Times are milliseconds on the gateway's own clock, which starts at an arbitrary value and never goes
//! back.

use crate::ids::{EndpointId, RequestId};

/// Readiness of an endpoint according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// The endpoint takes requests.
    #[default]
    Active,
    /// The endpoint is draining: no new request may be sent to it.
    Draining,
    /// The endpoint is no longer listed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointRecord {
    /// Endpoint that the entry describes.
    pub endpoint: EndpointId,
    /// Zone of the endpoint, in the gateway's own numbering.
    pub zone: u32,
    /// Cell of the endpoint, in the gateway's own numbering; retries with an idempotency key may be limited
    /// to a cell.
    pub cell: u32,
    /// Hash of the endpoint, such as a hash of its name. The same at all gateways and different for each
    /// endpoint, so that all gateways order endpoints in the same way.
    pub hash: u64,
    /// Size of the endpoint relative to the other endpoints. Where weights reflect load, the size is
    /// divided by 1 + requests in flight per core.
    pub weight: f64,
    /// Whether the endpoint takes requests.
    pub readiness: Readiness,
    /// Time at which the endpoint's process last started, in ms; 0 or less if the process started long ago.
    pub started_at_ms: f64,
}

/// The kind of an endpoint update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Changed entries only.
    Delta,
    /// The complete list; endpoints that are not on the list have been removed.
    Complete,
    /// The complete list as this gateway cached it before its last stop; the list may be stale.
    Cached,
    /// No list: a poll failed or the watch broke, and the previous list stays in force.
    WatchLost,
}

/// The outcome of an attempt or of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the request.
    Served,
    /// The endpoint responded with a status other than 200 that is no rejection, or its response was
    /// malformed or incomplete.
    ServerError,
    /// The endpoint rejected the request without running it.
    Rejected,
    /// No response arrived in time.
    ResponseTimeout,
    /// No connection was established in time, or the connection broke before the request was sent
    /// completely, so that the request never ran.
    ConnectFailed,
    /// The connection broke after the request was sent completely.
    ConnectionLost,
    /// The gateway cancelled the attempt.
    Cancelled,
    /// The gateway never sent the attempt.
    NotSent,
}

impl Outcome {
    /// Returns whether the outcome proves that the attempt never ran at the endpoint.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The load report of an endpoint; `None` stands for a value that the endpoint did not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Fraction of the endpoint's CPU capacity that is in use, from 0 to 1.
    pub utilization: Option<f64>,
    /// Requests that the endpoint serves per second.
    pub throughput_per_s: Option<f64>,
    /// Number of requests queued at the endpoint.
    pub queue_length: Option<f64>,
}

/// The arrival of a request at the gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Id of the new request.
    pub request: RequestId,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Index of the request's tenant in the settings, if the request has one.
    pub tenant: Option<usize>,
    /// Time that the client still waits for a response to this request, in ms.
    pub client_timeout_ms: f64,
}

/// The end of an attempt; each attempt that is sent ends exactly once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time from sending the attempt to its end, in ms.
    pub latency_ms: f64,
    /// Whether the client has its final response, so that the request needs no further attempt.
    pub request_complete: bool,
    /// Load report that the endpoint sent with its response, if any.
    pub report: LoadReport,
}

/// What the gateway has learned about the age of the endpoint list. An update of the list alone says nothing
/// about its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryReport {
    /// Discovery has answered a poll, with or without changes; the changes have been applied.
    Confirmed {
        /// Time as of which the answer reports all changes, in ms.
        as_of_ms: f64,
    },
    /// Discovery has left a poll unanswered, or cannot be connected to.
    OutOfReach {
        /// Time since which discovery has reported nothing that this gateway does not have, in ms.
        as_of_ms: f64,
    },
    /// The gateway now polls another instance of discovery, whose list may differ.
    Moved {
        /// Time of the move, in ms.
        at_ms: f64,
    },
}

/// An event that the gateway has observed.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed, or discovery can no longer be watched.
    EndpointUpdate {
        /// Kind of the update.
        kind: UpdateKind,
        /// Entries of the update; empty if the watch was lost.
        endpoints: Vec<EndpointRecord>,
    },
    /// The gateway has learned something about the age of the endpoint list.
    Discovery(DiscoveryReport),
    /// A request has arrived.
    Request(Arrival),
    /// The response of a request of a streamed class has started, and the gateway forwards the response to
    /// the client. No rule uses this event; it exists because the simulator's protocol has it.
    ResponseStarted {
        /// Request whose response has started.
        request: RequestId,
    },
    /// An attempt has ended.
    AttemptEnd(AttemptEnd),
    /// The client no longer waits for a response: it has disconnected, or the request's deadline has
    /// passed.
    ClientDisconnected {
        /// Request whose client no longer waits.
        request: RequestId,
    },
    /// A health check has ended.
    HealthCheckEnd {
        /// Endpoint that was checked.
        endpoint: EndpointId,
        /// Outcome of the health check.
        outcome: Outcome,
        /// Load report that the endpoint sent with its response, if any.
        report: LoadReport,
    },
    /// A timer has fired.
    Timer {
        /// Token of the [`Action::Timer`](crate::Action::Timer) that requested the timer. No rule uses the
        /// token, because the balancer has a single timer.
        token: u64,
    },
}
