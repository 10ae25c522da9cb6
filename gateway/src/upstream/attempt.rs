//! Attempts and health checks as the event loop hands them to [`Upstream`](super::Upstream).
use crate::events::{RawRequest, UnreadInput};
use std::net::SocketAddr;
use std::sync::Weak;
use ternstack_balancer::{EndpointId, Outcome, RequestId};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The purpose of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Purpose {
    /// The attempt serves a client request.
    Request {
        /// The id of the request.
        id: RequestId,
        /// The attempt's number among the attempts of the request, from 0.
        attempt: u32,
    },
    /// The attempt is a health check, which requests the endpoint's load report.
    HealthCheck,
}

/// The condition under which an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// The attempt is cancelled only if it has not been sent completely, so that a request that an endpoint
    /// may have begun to process is not interrupted.
    IfUnsent,
    /// The attempt is cancelled in any case.
    Always,
}

/// An attempt to have a client request or a health check served by an endpoint.
#[derive(Debug)]
pub struct Attempt {
    /// The purpose of the attempt.
    pub purpose: Purpose,
    /// The endpoint to which the attempt is sent.
    pub endpoint: EndpointId,
    /// The token of the endpoint's incarnation when the endpoint was picked. The token is dropped once the
    /// endpoint moves, restarts or stops serving.
    pub incarnation: Weak<()>,
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    /// The bytes to send.
    pub raw: RawRequest,
    /// Whether the client has sent more than has been read, so that a disconnect behind it is not known yet.
    pub unread_input: UnreadInput,
    /// The time at which the attempt is given up.
    pub give_up_at: Instant,
    /// The time by which a retry must have been sent completely, because endpoints drop it as a duplicate
    /// only until then; `None` for other attempts.
    pub send_by: Option<Instant>,
    /// The channel on which the attempt is cancelled. Dropping the sender acts as [`Cancellation::Always`].
    pub cancelled: oneshot::Receiver<Cancellation>,
}

impl Attempt {
    /// Returns the outcome of an attempt that was not sent completely and therefore has not run. A send that
    /// failed or took too long on an open connection counts as `ConnectFailed`, because the endpoint did not
    /// take the request. Once the attempt's `send_by` has passed, the outcome is `NotSent`, because the
    /// endpoint is not to blame.
    pub(super) fn incomplete_send_outcome(&self) -> Outcome {
        if self.is_past_send_by() {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Returns whether endpoints may no longer drop the attempt as a duplicate.
    pub(super) fn is_past_send_by(&self) -> bool {
        self.send_by.is_some_and(|send_by| send_by <= Instant::now())
    }

    /// Returns whether the endpoint is still in service, in the incarnation that was picked.
    pub(super) fn is_endpoint_in_service(&self) -> bool {
        self.incarnation.strong_count() > 0
    }
}
