//! The task of one client connection: waits for requests, responds to each of them, and closes the
//! connection.
use super::client::{ArrivedRequest, ClientInput, ReadError, MAX_READ_AHEAD_BYTES};
use super::close::linger;
use super::request::InvalidRequest;
use super::{ClientSlot, ConnectionGuard, Frontend, ShutdownPhase};
use crate::budget::ConnectionState;
use crate::closes::CloseReason;
use crate::events::{GatewayEvent, Response};
use crate::http1::{CompleteMessage, RequestLine};
use crate::memory::MemoryLease;
use crate::memory_budget::Work;
use crate::protocol::{API_PATH, READINESS_PATH};
use crate::response::{EncodedResponse, LocalResponse};
use crate::sockets;
use crate::work_budget::ConnectionId;
use bytes::Buf;
use std::future::pending;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};
use tracing::debug;

/// The time within which a request must be complete, counted from its first byte, or from the accept for the
/// connection's first request. The requirement is that the client of an incomplete request gets an error
/// response within 3 s.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// The time within which a response must be written completely.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may be idle. The limit frees the descriptors of clients that send one request and
/// never close their connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection may take from its accept to the first byte of a request, from
/// [`ShutdownPhase::Closing`] on.
const CLOSING_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(100);
/// The time after the accept within which bytes that are read may have arrived together with the connection.
const SAME_ARRIVAL_WINDOW: Duration = Duration::from_millis(20);

/// The event that ends the wait for a request's first byte.
enum IdleEnd {
    /// Bytes of a request have arrived.
    Bytes,
    /// The client has closed the connection.
    ClientClosed,
    /// The connection was idle for too long or evicted, or the gateway shuts down.
    Expired,
}

/// The outcome of reading a request.
enum ReadOutcome {
    Request(ArrivedRequest),
    ClientClosed,
    Invalid(LocalResponse),
    Failed(io::Error),
    /// The connection has lost its descriptor or its memory to others.
    Evicted(CloseReason),
}

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
struct FinalResponse {
    response: EncodedResponse,
    /// The memory of a large response.
    lease: Option<MemoryLease>,
    /// Whether the connection stays open after the response.
    keep_alive: bool,
}

/// A client connection while it is served.
pub(super) struct ClientConnection<'a> {
    frontend: &'a Frontend,
    slot: ClientSlot,
    input: ClientInput<'a>,
    connection_id: ConnectionId,
    /// A complete request that the client sent before the response to the preceding one, on a connection that
    /// must close.
    pipelined: Option<CompleteMessage<RequestLine>>,
    phase: watch::Receiver<ShutdownPhase>,
    accepted_at: Instant,
    has_begun_request: bool,
}

impl<'a> ClientConnection<'a> {
    /// Returns a connection whose first bytes may have been waiting since `arrived_at`.
    pub(super) fn new(
        guard: &'a ConnectionGuard, stream: TcpStream, slot: ClientSlot, arrived_at: Instant,
    ) -> Self {
        let frontend = &guard.frontend;
        ClientConnection {
            frontend,
            slot,
            input: ClientInput::new(guard, stream, arrived_at),
            connection_id: guard.id,
            pipelined: None,
            phase: frontend.phase.clone(),
            accepted_at: Instant::now(),
            has_begun_request: false,
        }
    }

    /// Serves requests until the client or the gateway closes the connection.
    pub(super) async fn serve(mut self) -> io::Result<()> {
        loop {
            if self.input.reader.is_idle() && self.pipelined.is_none() {
                match self.wait_for_first_byte().await? {
                    IdleEnd::Bytes => {}
                    IdleEnd::ClientClosed => return Ok(()),
                    IdleEnd::Expired => return self.close_idle().await,
                }
            }
            self.slot.set_state(ConnectionState::Reading);
            let response = match self.read_request().await {
                ReadOutcome::Request(request) => self.respond(request).await,
                ReadOutcome::ClientClosed => return Ok(()),
                ReadOutcome::Invalid(response) => {
                    // An invalid request is not read further, so that its memory is released at once.
                    self.input.release();
                    FinalResponse { response: response.encode(false), lease: None, keep_alive: false }
                }
                ReadOutcome::Failed(e) => return Err(e),
                ReadOutcome::Evicted(reason) => return self.close_evicted(reason).await,
            };
            let keep_alive = response.keep_alive;
            self.write(response).await?;
            if !keep_alive {
                return self.linger_until_evicted().await;
            }
            self.slot.set_state(ConnectionState::Idle);
        }
    }

    /// Ends a connection that cannot be kept: counts and logs the reason.
    fn record_close(&self, reason: CloseReason) {
        self.frontend.closes.record(reason, self.connection_id, self.input.reader.memory_bytes());
    }

    /// Waits for the next request's first byte.
    async fn wait_for_first_byte(&mut self) -> io::Result<IdleEnd> {
        let (phase, accepted_at) = (&mut self.phase, self.accepted_at);
        let read = tokio::select! {
            biased;
            read = sockets::read(&self.input.stream, self.input.reader.buffer()) => Some(read?),
            () = async {
                // Waiting fails only if the sender is dropped, which does not happen while the gateway runs.
                let _ = phase.wait_for(|phase| *phase >= ShutdownPhase::Closing).await;
                sleep_until(accepted_at + CLOSING_FIRST_BYTE_TIMEOUT).await;
            } => None,
            () = self.slot.evicted() => None,
            () = sleep(IDLE_TIMEOUT) => None,
        };
        match read {
            None => return Ok(IdleEnd::Expired),
            Some(0) => return Ok(IdleEnd::ClientClosed),
            Some(_) => {}
        }
        if self.accepted_at.elapsed() >= SAME_ARRIVAL_WINDOW {
            // These bytes arrived after the connection was accepted.
            self.input.waiting_since = None;
        }
        Ok(IdleEnd::Bytes)
    }

    /// Reads the next request, which must be complete within [`REQUEST_READ_TIMEOUT`].
    async fn read_request(&mut self) -> ReadOutcome {
        let begun_at = if self.has_begun_request { Instant::now() } else { self.accepted_at };
        self.has_begun_request = true;
        if let Some(message) = self.pipelined.take() {
            let arrived_at = self.input.waiting_since.unwrap_or_else(Instant::now);
            return ReadOutcome::Request(ArrivedRequest { message, arrived_at, lease: None });
        }
        let read = tokio::select! {
            biased;
            read = timeout_at(begun_at + REQUEST_READ_TIMEOUT, self.input.next_request()) => read,
            () = self.slot.evicted() => return ReadOutcome::Evicted(CloseReason::Descriptor),
        };
        match read {
            Ok(Ok(Some(request))) => ReadOutcome::Request(request),
            Ok(Ok(None)) => ReadOutcome::ClientClosed,
            Ok(Err(ReadError::Parse(e))) => ReadOutcome::Invalid(e.into()),
            Ok(Err(ReadError::Io(e))) => ReadOutcome::Failed(e),
            Ok(Err(ReadError::Memory(_))) => ReadOutcome::Evicted(CloseReason::MemoryForRequest),
            Err(_) => {
                self.record_close(CloseReason::RequestTimeout);
                ReadOutcome::Invalid(LocalResponse::RequestTimeout)
            }
        }
    }

    /// Handles a request, and decides whether the connection stays open after the response.
    async fn respond(&mut self, request: ArrivedRequest) -> FinalResponse {
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

    /// Lingers after the last response, until the descriptor is needed for another connection.
    async fn linger_until_evicted(mut self) -> io::Result<()> {
        self.input.release();
        self.slot.set_state(ConnectionState::Lingering);
        tokio::select! {
            biased;
            lingered = linger(&mut self.input.stream) => lingered,
            () = self.slot.evicted() => Ok(()),
        }
    }

    /// Closes an idle connection. The connection lingers, because otherwise a request that the client sends
    /// at the same time would be answered by a TCP reset.
    async fn close_idle(mut self) -> io::Result<()> {
        let is_evicted = self.slot.is_evicted();
        // Another client can use the descriptor of the budget while the connection lingers.
        drop(self.slot);
        debug!(is_evicted, phase = ?self.frontend.phase(), "closing idle connection");
        if is_evicted {
            return linger_evicted(self.frontend, &mut self.input.stream).await;
        }
        linger(&mut self.input.stream).await
    }

    /// Closes a connection that was evicted in the middle of a request. The request is rejected, because its
    /// rest may have arrived by now.
    async fn close_evicted(mut self, reason: CloseReason) -> io::Result<()> {
        self.record_close(reason);
        self.input.release();
        let rejected = Response::Rejected { retry_after_ms: self.frontend.max_retry_after_ms };
        let response = FinalResponse { response: rejected.encode(false), lease: None, keep_alive: false };
        self.write(response).await?;
        linger_evicted(self.frontend, &mut self.input.stream).await
    }

    /// Writes a response. Fails if the client does not read it in time, or if its memory is needed.
    async fn write(&mut self, response: FinalResponse) -> io::Result<()> {
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

/// Lingers on one of the [`MAX_LINGERING_CONNECTIONS`](super::MAX_LINGERING_CONNECTIONS) descriptors beyond
/// the budget. If none is free, the connection is closed at once.
async fn linger_evicted(frontend: &Frontend, stream: &mut TcpStream) -> io::Result<()> {
    match frontend.lingering_slots.try_acquire() {
        Ok(_permit) => linger(stream).await,
        Err(_) => Ok(()),
    }
}
