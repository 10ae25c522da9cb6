//! What comes out of a [`Balancer`](crate::Balancer): the actions that the gateway carries out.
//!
//! Times are milliseconds on the gateway's own clock.

use crate::ids::{EndpointId, RequestId};

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// Its tenant is over its quota while the fleet is full.
    QuotaExceeded,
    /// It was shed at random, since the fleet is overloaded or its tenant or class stalls; or no endpoint
    /// could take it in time; or it may not be retried any more.
    NoCapacity,
    /// It arrived too late for a response of any value.
    TooLate,
    /// Its attempts have failed, and there can be no other.
    AttemptsFailed,
}

/// Something the gateway is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// When to give the attempt up, in ms.
        give_up_at_ms: f64,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// End the request unserved; the client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RejectionReason,
        /// Retry-After for the client, in ms; 0 for none.
        retry_after_ms: f64,
    },
    /// End the request as failed, with no promise about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Ask for an [`Event::Timer`](crate::Event::Timer).
    Timer {
        /// When, in ms.
        at_ms: f64,
        /// Comes back as given. Always 0, since the balancer has one timer: the simulator's protocol has
        /// it.
        token: u64,
    },
    /// Send a health check to an endpoint.
    HealthCheck {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Watch the endpoint list, or poll for it where discovery does not push.
    WatchEndpoints,
    /// A line for the operators' log.
    Log(String),
}
