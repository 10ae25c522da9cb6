//! The messages that the gateway's tasks send to the event loop, and the responses that come back.
//!
//! Tasks depend on this module and not on one another.
use crate::endpoint_list::EndpointList;
use crate::http1::{CompleteMessage, StatusLine};
use bytes::Bytes;
use std::net::SocketAddr;
use ternstack_balancer::{EndpointId, LoadReport, Outcome, RequestId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// How many events may wait for the event loop; beyond that their senders wait.
pub const EVENT_QUEUE_COUNT: usize = 4096;

/// Sends events to the event loop.
pub type EventSender = mpsc::Sender<GatewayEvent>;

/// What the event loop reacts to, besides its timers.
#[derive(Debug)]
pub enum GatewayEvent {
    /// A client's request has been read.
    Request(Request),
    /// A request's client has disconnected or ended its sending side; a response is still written at once.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// A health check has ended.
    HealthCheckEnded {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How the check ended.
        outcome: Outcome,
        /// The load report in the endpoint's response.
        report: LoadReport,
    },
    /// Discovery has been heard, or lost.
    Discovery(DiscoveryEvent),
}

/// What following the endpoint list yields.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// A complete list or a delta.
    Update(EndpointList),
    /// The watch has failed. The list stands, and the balancer decides when to watch again.
    WatchLost,
}

/// A client's request, independent of the protocol that it came over.
#[derive(Debug)]
pub struct Request {
    /// Its number, used once.
    pub id: RequestId,
    /// The index of its class in the settings.
    pub class: usize,
    /// The index of its tenant in the settings.
    pub tenant: Option<usize>,
    /// When its client stops waiting.
    pub deadline: Instant,
    /// The bytes to forward.
    pub raw: RawRequest,
    /// Takes the request's one response.
    pub respond_to: oneshot::Sender<Response>,
}

/// A request to forward: opaque bytes, completed with the time left when an attempt is sent.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// The head up to the value of the time left.
    pub before_time_left: Bytes,
    /// The head behind that value.
    pub after_time_left: Bytes,
    /// The body as the client sent it, without its framing.
    pub body: Bytes,
}

/// The one final response to a request.
#[derive(Debug)]
pub enum Response {
    /// An endpoint has served the request.
    Served(CompleteMessage<StatusLine>),
    /// Rejected: the client may safely retry.
    Rejected {
        /// The earliest time for a retry, in milliseconds from now; 0 for no advice.
        retry_after_ms: f64,
    },
    /// Failed, with no promise about the request's effect.
    Failed,
    /// The deadline passed before the balancer decided.
    TimedOut,
}

/// How an attempt ended. Each attempt that was sent has exactly one result.
#[derive(Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The attempt's number among the request's, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub ended_at: Instant,
    /// The load report in the endpoint's response.
    pub report: LoadReport,
    /// The endpoint's response, if it is the one that the client gets.
    pub response: Option<CompleteMessage<StatusLine>>,
}

/// Receives discovery's address, which changes when the configuration is reread.
pub type DiscoveryAddressReceiver = tokio::sync::watch::Receiver<SocketAddr>;
