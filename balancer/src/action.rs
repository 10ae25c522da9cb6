//! The outputs of a [`Balancer`](crate::Balancer): the actions that the gateway carries out.
//!
//! Times are milliseconds on the gateway's own clock.

use crate::ids::{EndpointId, RequestId};

/// The reason for a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The tenant is over its quota while the fleet is full.
    QuotaExceeded,
    /// The fleet is overloaded, or the request's tenant or class stalls, and the request was shed at
    /// random; or no endpoint could take the request in time; or the request may no longer be sent, because
    /// an earlier attempt may have run.
    NoCapacity,
    /// The request arrived too late for a response to have any value.
    TooLate,
    /// The request's attempts have failed, and no retry is possible.
    AttemptsFailed,
    /// The endpoint list is stale, so that no attempt may be sent until discovery responds.
    StaleEndpointList,
}

/// An action for the gateway to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to an endpoint.
    Send {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Endpoint that the attempt is sent to.
        endpoint: EndpointId,
        /// Time at which the gateway gives the attempt up, in ms.
        give_up_at_ms: f64,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
    },
    /// Reject the request; the client may safely retry.
    Reject {
        /// Request to reject.
        request: RequestId,
        /// Reason for the rejection.
        reason: RejectionReason,
        /// Value of Retry-After for the client, in ms; 0 if no Retry-After is sent.
        retry_after_ms: f64,
    },
    /// Fail the request; whether the request took effect is unknown.
    Fail {
        /// Request to fail.
        request: RequestId,
    },
    /// Send an [`Event::Timer`](crate::Event::Timer) at a given time.
    Timer {
        /// Time at which the timer fires, in ms.
        at_ms: f64,
        /// Token that the timer event returns. Always 0, because the balancer has a single timer; the field
        /// exists because the simulator's protocol has it.
        token: u64,
    },
    /// Send a health check to an endpoint.
    HealthCheck {
        /// Endpoint to check.
        endpoint: EndpointId,
    },
    /// Watch the endpoint list, or poll the list if discovery does not push updates.
    WatchEndpoints,
    /// Write this line to the operators' log.
    Log(String),
}
