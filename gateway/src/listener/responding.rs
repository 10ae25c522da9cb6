//! The response of a client connection to one request: from the listener itself or from the event loop.
use super::client::ArrivedRequest;
use super::connection::ClientConnection;
use super::request::InvalidRequest;
use super::request_queue::InputEnd;
use super::ShutdownPhase;
use crate::budget::ConnectionState;
use crate::closes::CloseReason;
use crate::events::{GatewayEvent, Response};
use crate::http1::{CompleteMessage, RequestLine};
use crate::memory::{evicted, MemoryLease};
use crate::memory_budget::Work;
use crate::protocol::{API_PATH, READINESS_PATH};
use crate::response::{EncodedResponse, LocalResponse};
use crate::sockets;
use bytes::{Buf, BytesMut};
use std::io;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

/// The time within which a response must be written completely.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The response to a request before it is encoded.
struct RequestResult {
    response: Result<Response, LocalResponse>,
    client_disconnected: bool,
}

impl From<Result<Response, LocalResponse>> for RequestResult {
    fn from(response: Result<Response, LocalResponse>) -> Self {
        RequestResult { response, client_disconnected: false }
    }
}

impl From<InvalidRequest> for RequestResult {
    fn from(invalid: InvalidRequest) -> Self {
        Err(LocalResponse::BadRequest(invalid.reason())).into()
    }
}

/// A response that is ready to be written.
pub(super) struct FinalResponse {
    pub(super) response: EncodedResponse,
    /// The memory of a large response.
    pub(super) lease: Option<MemoryLease>,
    /// Whether the connection stays open after the response.
    pub(super) keep_alive: bool,
}

impl ClientConnection<'_> {
    /// Handles a request, and decides whether the connection stays open after the response.
    pub(super) async fn respond(&mut self, request: ArrivedRequest) -> FinalResponse {
        self.slot.descriptor.set_state(ConnectionState::Open);
        let client_keeps_alive = request.message.keep_alive;
        let RequestResult { response, client_disconnected } = self.handle_request(request).await;
        let is_invalid =
            matches!(response, Err(LocalResponse::BadRequest(_) | LocalResponse::MethodNotAllowed));
        if client_disconnected {
            // No further request of the client is forwarded, and each one that has been read is rejected.
            self.input.skip_queued();
        }
        let may_read_on = client_keeps_alive && !is_invalid && !client_disconnected;
        let keep_alive = self.stays_open(may_read_on);
        let mut lease = None;
        let response = match response {
            Ok(mut response) => {
                if let Response::Served(served) = &mut response {
                    lease = served.lease.take();
                }
                response.encode(keep_alive)
            }
            Err(local) => local.encode(keep_alive),
        };
        FinalResponse { response, lease, keep_alive }
    }

    /// Rejects `count` requests in a row that have been skipped.
    pub(super) fn reject_skipped(&mut self, count: usize) -> FinalResponse {
        self.slot.descriptor.set_state(ConnectionState::Open);
        let keep_alive = self.stays_open(true);
        debug!(count, keep_alive, "rejecting skipped requests");
        self.reject(count, keep_alive)
    }

    /// Returns the rejections of `count` requests in a row. `keep_alive` says whether the connection stays open
    /// after the last one.
    pub(super) fn reject(&self, count: usize, keep_alive: bool) -> FinalResponse {
        let rejected = || Response::Rejected { retry_after_ms: self.frontend.max_retry_after_ms };
        let (earlier, last) = (rejected().encode(true), rejected().encode(keep_alive));
        let mut bytes = BytesMut::with_capacity(count * (earlier.head.len() + earlier.body.len()));
        for _ in 1..count {
            bytes.extend_from_slice(&earlier.head);
            bytes.extend_from_slice(&earlier.body);
        }
        bytes.extend_from_slice(&last.head);
        let response = EncodedResponse { head: bytes.freeze(), body: last.body };
        FinalResponse { response, lease: None, keep_alive }
    }

    /// Returns whether the connection stays open after the next response. A connection that must close still
    /// responds to everything that has been read.
    fn stays_open(&self, may_read_on: bool) -> bool {
        let is_spare = self.slot.descriptor.is_spare();
        let is_evicted = self.slot.descriptor.is_evicted();
        let phase = self.frontend.phase();
        let must_close = is_spare || is_evicted || phase != ShutdownPhase::Serving;
        let end = self.input.queue.end();
        let stays_open = self.input.has_queued() || (may_read_on && !must_close && end.is_none());
        if !stays_open {
            debug!(may_read_on, is_spare, is_evicted, ?end, ?phase, "closing connection after response");
            if end == Some(InputEnd::Excess) {
                self.record_close(CloseReason::ExcessInput);
            }
        }
        stays_open
    }

    /// Returns the response to a request, from the listener itself or from the event loop. A client that has
    /// disconnected also gets a response, because it may have ended its sending side only.
    async fn handle_request(&mut self, request: ArrivedRequest) -> RequestResult {
        if let Err(local) = self.route(&request.message) {
            return Err(local).into();
        }
        let (respond_to, mut response) = oneshot::channel();
        let request = match self.frontend.parse_request(request, self.input.unread_input.clone(), respond_to)
        {
            Ok(request) => request,
            Err(invalid) => return invalid.into(),
        };
        let rejected = Response::Rejected { retry_after_ms: self.frontend.max_retry_after_ms };
        if self.slot.descriptor.is_spare() || self.frontend.phase() == ShutdownPhase::Rejecting {
            return Ok(rejected).into();
        }
        let id = request.id;
        if !self.input.is_connected().await {
            return RequestResult { response: Ok(rejected), client_disconnected: true };
        }
        let events = &self.frontend.events;
        tokio::select! {
            biased;
            permit = events.reserve() => match permit {
                Ok(permit) => permit.send(GatewayEvent::Request(request)),
                // The event loop's queue is closed only when the gateway stops.
                Err(_) => return Ok(Response::Failed).into(),
            },
            // The request has not been sent to the event loop, so it can safely be rejected.
            () = self.input.disconnected() => {
                return RequestResult { response: Ok(rejected), client_disconnected: true };
            }
        }
        tokio::select! {
            biased;
            response = &mut response => {
                self.input.pacer.rest(self.frontend);
                return Ok(response.unwrap_or(Response::Failed)).into();
            }
            () = self.input.disconnected() => {}
        }
        let _ = events.send(GatewayEvent::ClientDisconnected(id)).await;
        RequestResult { response: Ok(response.await.unwrap_or(Response::Failed)), client_disconnected: true }
    }

    /// Returns `Ok` if a message is a request to forward, and the listener's own response otherwise.
    fn route(&self, message: &CompleteMessage<RequestLine>) -> Result<(), LocalResponse> {
        let path = message.target().split(|b| *b == b'?').next().unwrap_or_default();
        match (path, message.method()) {
            (READINESS_PATH, b"GET") if self.frontend.phase() == ShutdownPhase::Serving => {
                Err(LocalResponse::Ready)
            }
            (READINESS_PATH, b"GET") => Err(LocalResponse::Stopping),
            (API_PATH, b"GET" | b"POST") => Ok(()),
            (READINESS_PATH | API_PATH, _) => Err(LocalResponse::MethodNotAllowed),
            _ => Err(LocalResponse::NotFound),
        }
    }

    /// Writes a response. Fails if the client does not read it in time, or if its memory is needed.
    pub(super) async fn write(&mut self, response: FinalResponse) -> io::Result<()> {
        let FinalResponse { response, mut lease, .. } = response;
        let mut bytes = response.head.chain(response.body);
        if let Some(lease) = &lease {
            lease.set_work(Work::UnreadResponse);
        }
        let write_until = Instant::now() + RESPONSE_WRITE_TIMEOUT;
        loop {
            let is_watched = self.input.waiting_since.is_none();
            let writing = sockets::write_all(&self.input.stream, &mut bytes);
            tokio::select! {
                biased;
                written = self.frontend.lag.timeout_at(write_until, writing) => {
                    return written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
                }
                () = evicted(&mut lease) => {
                    self.frontend.closes.record(
                        CloseReason::MemoryForResponse,
                        self.connection_id,
                        bytes.remaining(),
                    );
                    return Err(io::ErrorKind::OutOfMemory.into());
                }
                () = evicted(&mut self.input.queue_lease) => self.input.skip_queued(),
                _ = self.input.stream.readable(), if is_watched => self.input.set_waiting(),
            }
        }
    }
}
