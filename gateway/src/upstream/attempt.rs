//! Attempts as they are handed to the connection pool.
use crate::events::RawRequest;
use std::net::SocketAddr;
use std::sync::Weak;
use ternstack_balancer::{EndpointId, Outcome, RequestId};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What an attempt is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Purpose {
    /// To have a client's request served.
    Request {
        /// The request.
        id: RequestId,
        /// The attempt's number among the request's, from 0.
        attempt: u32,
    },
    /// To get the endpoint's load report.
    HealthCheck,
}

/// How far an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// Only if it has not been sent completely: what an endpoint may have begun on runs to its end.
    IfUnsent,
    /// In any case.
    Always,
}

/// One attempt to have a request served, or a health check answered, by an endpoint.
#[derive(Debug)]
pub struct Attempt {
    /// What it is for.
    pub purpose: Purpose,
    /// The endpoint it goes to.
    pub endpoint: EndpointId,
    /// The endpoint's incarnation when it was picked. It is dropped once the endpoint moves, restarts or stops serving.
    pub incarnation: Weak<()>,
    /// Where the endpoint listens.
    pub address: SocketAddr,
    /// What is sent.
    pub raw: RawRequest,
    /// When it is given up.
    pub give_up_at: Instant,
    /// For a retry that endpoints drop as a duplicate only until then: when it must have been sent completely.
    pub send_by: Option<Instant>,
    /// Receives its cancellation; a sender that is dropped cancels it as [`Cancellation::Always`] does.
    pub cancelled: oneshot::Receiver<Cancellation>,
}

impl Attempt {
    /// The outcome of an attempt that was begun and not sent completely, which proves that it never ran. A send that broke or
    /// took too long on an open connection counts as `ConnectFailed`, as a failed dial does, since the endpoint did not take
    /// the request. It is `NotSent` once the attempt's own `send_by` has passed, which is not the endpoint's fault.
    pub(super) fn incomplete_send_outcome(&self) -> Outcome {
        if self.is_past_send_by() {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Whether endpoints may no longer drop it as a duplicate.
    pub(super) fn is_past_send_by(&self) -> bool {
        self.send_by.is_some_and(|send_by| send_by <= Instant::now())
    }

    /// Whether the endpoint is still in service in the incarnation that was picked.
    pub(super) fn is_endpoint_in_service(&self) -> bool {
        self.incarnation.strong_count() > 0
    }
}
