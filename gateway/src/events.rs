//! The events that the gateway's tasks send to the event loop, and the responses that the event loop sends
//! back.
//!
//! The tasks depend on this module instead of on one another.
use crate::correlation_ids::CorrelationIdGuard;
use crate::endpoint_list::EndpointList;
use crate::http1::{CompleteMessage, StatusLine};
use crate::memory::MemoryLease;
use bytes::Bytes;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use ternstack_balancer::{EndpointId, LoadReport, Outcome, RequestId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// The capacity of the event loop's queue, in events. A sender waits while the queue is full.
pub const EVENT_QUEUE_CAPACITY: usize = 4096;

/// The sending side of the event loop's queue.
pub type EventSender = mpsc::Sender<GatewayEvent>;

/// An event for the event loop.
#[derive(Debug)]
pub enum GatewayEvent {
    /// The listener has read a complete request.
    Request(Request),
    /// The client of a request has disconnected or ended its sending side. The event loop responds at once,
    /// because a client that has only ended its sending side can still read the response.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// A health check has ended.
    HealthCheckEnded {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// The outcome of the health check.
        outcome: Outcome,
        /// The load report in the endpoint's response.
        report: LoadReport,
    },
    /// Discovery has sent an endpoint list, or the watch has failed.
    Discovery(DiscoveryEvent),
}

/// An event of the task that follows the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// A complete list or a delta has been received.
    Update(EndpointList),
    /// Discovery has left a poll unanswered, or cannot be connected to.
    OutOfReach {
        /// The time since which discovery has sent nothing that this gateway does not have.
        as_of: Instant,
    },
    /// Discovery's address has changed, and the list of the instance at the new address may differ.
    Moved,
    /// The watch has failed. The last list stays in use, and the balancer decides when to request another
    /// watch.
    WatchLost,
}

/// A client request, independent of the protocol of the client connection.
#[derive(Debug)]
pub struct Request {
    /// The request's number, which no other request of this process has.
    pub id: RequestId,
    /// The index of the request's class in the settings.
    pub class: usize,
    /// The index of the request's tenant in the settings; `None` for a request without a tenant.
    pub tenant: Option<usize>,
    /// The time at which the client stops waiting for the response.
    pub deadline: Instant,
    /// The bytes to forward to an endpoint.
    pub raw: RawRequest,
    /// The reservation of the request's correlation id.
    pub correlation_id: CorrelationIdGuard,
    /// The channel on which the client connection waits for the one response.
    pub respond_to: oneshot::Sender<Response>,
    /// Whether the client has sent more than has been read, so that a disconnect behind it is not known yet.
    pub unread_input: UnreadInput,
}

/// Whether bytes that a client has sent have not been read, shared by its connection and its attempts.
#[derive(Clone, Debug, Default)]
pub struct UnreadInput(Arc<AtomicBool>);

impl UnreadInput {
    /// Returns whether bytes have not been read.
    pub fn is_pending(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Records whether bytes have not been read.
    pub fn set_pending(&self, is_pending: bool) {
        self.0.store(is_pending, Ordering::Relaxed);
    }
}

/// The bytes of a request to forward. The time left, in milliseconds, is inserted when an attempt is sent.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// The part of the head before the value of the header field that carries the time left.
    pub before_time_left: Bytes,
    /// The part of the head after the value of the header field that carries the time left.
    pub after_time_left: Bytes,
    /// The body as sent by the client, without the framing of the client connection.
    pub body: Bytes,
    /// The memory of a large request, released with the last copy of the request.
    pub lease: Option<Arc<MemoryLease>>,
}

/// An endpoint's response with status 200.
#[derive(Debug)]
pub struct ServedResponse {
    /// The response as received.
    pub message: CompleteMessage<StatusLine>,
    /// The memory of a large response.
    pub lease: Option<MemoryLease>,
}

impl From<CompleteMessage<StatusLine>> for ServedResponse {
    fn from(message: CompleteMessage<StatusLine>) -> Self {
        ServedResponse { message, lease: None }
    }
}

/// The final response to a request.
#[derive(Debug)]
pub enum Response {
    /// An endpoint has served the request.
    Served(ServedResponse),
    /// The request was rejected, and the client may safely retry it.
    Rejected {
        /// The delay after which the client may retry, in milliseconds; 0 for a response without
        /// `Retry-After`.
        retry_after_ms: f64,
    },
    /// The request failed, and may have run at an endpoint.
    Failed,
    /// The request's deadline passed before the balancer gave a response.
    TimedOut,
}

/// The result of an attempt. Each attempt that was handed to `upstream` has exactly one result.
#[derive(Debug)]
pub struct AttemptResult {
    /// The request of the attempt.
    pub request: RequestId,
    /// The attempt's number among the attempts of the request, from 0.
    pub attempt: u32,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The time at which the attempt ended.
    pub ended_at: Instant,
    /// The load report in the endpoint's response, empty if there is none.
    pub report: LoadReport,
    /// The endpoint's response, if the outcome is `Served`.
    pub response: Option<ServedResponse>,
}

/// The receiver of discovery's address, which may change when the configuration is reread.
pub type DiscoveryAddressReceiver = tokio::sync::watch::Receiver<SocketAddr>;
