//! The response of a client connection to one request: from the listener itself or from the event loop.
use super::client::{ArrivedRequest, MAX_READ_AHEAD_BYTES};
use super::connection::ClientConnection;
use super::request::InvalidRequest;
use super::ShutdownPhase;
use crate::budget::ConnectionState;
use crate::closes::CloseReason;
use crate::events::{GatewayEvent, Response};
use crate::http1::{CompleteMessage, RequestLine};
use crate::memory::MemoryLease;
use crate::memory_budget::Work;
use crate::protocol::{API_PATH, READINESS_PATH};
use crate::response::{EncodedResponse, LocalResponse};
use crate::sockets;
use bytes::Buf;
use std::future::pending;
use std::io;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;
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
        self.slot.set_state(ConnectionState::Open);
        let client_keeps_alive = request.message.keep_alive;
        let RequestResult { response, client_disconnected } = self.handle_request(request).await;
        let is_invalid =
            matches!(response, Err(LocalResponse::BadRequest(_) | LocalResponse::MethodNotAllowed));
        let accepts_more = client_keeps_alive && !is_invalid && !client_disconnected;
        let is_spare = self.slot.is_spare();
        let is_evicted = self.slot.is_evicted();
        let has_excess_input = self.input.reader.unparsed_bytes() >= MAX_READ_AHEAD_BYTES;
        let phase = self.frontend.phase();
        let must_close = is_spare || is_evicted || has_excess_input || phase != ShutdownPhase::Serving;
        // A connection that must close still serves the complete requests that have already been read.
        self.pipelined =
            if accepts_more && must_close { self.input.reader.next(false).ok().flatten() } else { None };
        let keep_alive = accepts_more && (!must_close || self.pipelined.is_some());
        if !keep_alive {
            debug!(
                is_invalid,
                client_disconnected,
                is_spare,
                is_evicted,
                has_excess_input,
                ?phase,
                "closing connection after response"
            );
        }
        if has_excess_input && !keep_alive {
            self.record_close(CloseReason::ExcessInput);
        }
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

    /// Returns the response to a request, from the listener itself or from the event loop. A client that has
    /// disconnected also gets a response, because it may have ended its sending side only.
    async fn handle_request(&mut self, request: ArrivedRequest) -> RequestResult {
        if let Err(local) = self.route(&request.message) {
            return Err(local).into();
        }
        let (respond_to, mut response) = oneshot::channel();
        let request = match self.frontend.parse_request(request, respond_to) {
            Ok(request) => request,
            Err(invalid) => return invalid.into(),
        };
        let rejected = Response::Rejected { retry_after_ms: self.frontend.max_retry_after_ms };
        if self.slot.is_spare() || self.frontend.phase() == ShutdownPhase::Rejecting {
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
            response = &mut response => return Ok(response.unwrap_or(Response::Failed)).into(),
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
        let evicted = async {
            match &mut lease {
                Some(lease) => lease.evicted().await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            written = timeout(RESPONSE_WRITE_TIMEOUT, sockets::write_all(&self.input.stream, &mut bytes)) => written?,
            () = evicted => {
                self.frontend.closes.record(
                    CloseReason::MemoryForResponse,
                    self.connection_id,
                    bytes.remaining(),
                );
                Err(io::ErrorKind::OutOfMemory.into())
            }
        }
    }
}
