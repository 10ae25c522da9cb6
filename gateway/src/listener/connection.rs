//! One client's connection: waits for requests, responds to each, and ends.
use super::client::{ArrivedRequest, ClientReader, ReadError, MAX_READ_AHEAD_BYTES};
use super::close::linger;
use super::request::InvalidRequest;
use super::{ClientSlot, Frontend, ShutdownPhase};
use crate::budget::ConnectionState;
use crate::events::{GatewayEvent, Response};
use crate::http1::{CompleteMessage, Reader, RequestLine, MAX_BODY_BYTES};
use crate::protocol::{API_PATH, CORRELATION_ID, READINESS_PATH};
use crate::response::{EncodedResponse, LocalResponse};
use crate::sockets;
use bytes::Buf;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};
use tracing::debug;

/// The time from a request's first byte until it must be complete; for a connection's first request, from the accept. The
/// requirement is that the client of an incomplete request has an error response within 3 s.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// A response must be written within this.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may be idle. Clients that send one request may keep their connection for good, and hold
/// descriptors that others need.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection accepted in [`ShutdownPhase::Closing`] may take to begin its request.
const CLOSING_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(100);
/// Bytes read so soon after the accept may have arrived together with the connection.
const ARRIVED_WITH_CONNECTION: Duration = Duration::from_millis(20);

/// What ends the wait for a request's first byte.
enum IdleEnd {
    /// Bytes have arrived.
    Bytes,
    /// The client has closed the connection.
    ClientClosed,
    /// The connection was idle for too long or evicted, or the gateway shuts down.
    Expired,
}

/// What comes of reading a request.
enum ReadOutcome {
    Request(ArrivedRequest),
    ClientClosed,
    Invalid(LocalResponse),
    Failed(io::Error),
    Evicted,
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

/// A response ready to be written.
struct FinalResponse {
    response: EncodedResponse,
    /// The connection stays open after it.
    keep_alive: bool,
}

/// A client's connection while it is served.
pub(super) struct ClientConnection<'a> {
    frontend: &'a Frontend,
    stream: TcpStream,
    slot: ClientSlot,
    reader: Reader<RequestLine>,
    /// A request that was read behind another one before the connection was to end.
    pipelined: Option<CompleteMessage<RequestLine>>,
    /// Since when bytes that have not been parsed may have been waiting.
    waiting_since: Option<Instant>,
    phase: watch::Receiver<ShutdownPhase>,
    accepted_at: Instant,
    has_begun_request: bool,
}

impl<'a> ClientConnection<'a> {
    /// A connection whose first bytes may have been waiting since `arrived_at`.
    pub(super) fn new(
        frontend: &'a Frontend, stream: TcpStream, slot: ClientSlot, arrived_at: Instant,
    ) -> Self {
        ClientConnection {
            frontend,
            stream,
            slot,
            reader: Reader::new(MAX_BODY_BYTES),
            pipelined: None,
            waiting_since: Some(arrived_at),
            phase: frontend.phase.clone(),
            accepted_at: Instant::now(),
            has_begun_request: false,
        }
    }

    /// Serves requests until one side ends the connection.
    pub(super) async fn serve(mut self) -> io::Result<()> {
        loop {
            if self.reader.is_idle() && self.pipelined.is_none() {
                match self.first_byte().await? {
                    IdleEnd::Bytes => {}
                    IdleEnd::ClientClosed => return Ok(()),
                    IdleEnd::Expired => return self.close_idle().await,
                }
            }
            self.set_state(ConnectionState::Reading);
            let FinalResponse { response, keep_alive } = match self.read_request().await {
                ReadOutcome::Request(request) => self.respond(request).await,
                ReadOutcome::ClientClosed => return Ok(()),
                ReadOutcome::Invalid(response) => {
                    FinalResponse { response: response.encode(false), keep_alive: false }
                }
                ReadOutcome::Failed(e) => return Err(e),
                ReadOutcome::Evicted => return self.close_evicted().await,
            };
            write(&self.stream, response).await?;
            if !keep_alive {
                return linger(&mut self.stream).await;
            }
            self.set_state(ConnectionState::Idle);
        }
    }

    fn set_state(&self, state: ConnectionState) {
        if let ClientSlot::Admitted { descriptor, .. } = &self.slot {
            descriptor.set_state(state);
        }
    }

    /// Waits for the next request's first byte.
    async fn first_byte(&mut self) -> io::Result<IdleEnd> {
        let (phase, accepted_at) = (&mut self.phase, self.accepted_at);
        let read = tokio::select! {
            biased;
            read = sockets::read(&self.stream, self.reader.buffer()) => Some(read?),
            () = async {
                // The sender lives as long as the program.
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
        if self.accepted_at.elapsed() >= ARRIVED_WITH_CONNECTION {
            // The bytes have not been waiting since the connection arrived.
            self.waiting_since = None;
        }
        Ok(IdleEnd::Bytes)
    }

    async fn read_request(&mut self) -> ReadOutcome {
        let begun_at = if self.has_begun_request { Instant::now() } else { self.accepted_at };
        self.has_begun_request = true;
        if let Some(message) = self.pipelined.take() {
            let arrived_at = self.waiting_since.unwrap_or_else(Instant::now);
            return ReadOutcome::Request(ArrivedRequest { message, arrived_at });
        }
        let mut client = ClientReader {
            stream: &self.stream,
            reader: &mut self.reader,
            waiting_since: &mut self.waiting_since,
            lag: &self.frontend.lag,
        };
        let read = tokio::select! {
            biased;
            read = timeout_at(begun_at + REQUEST_READ_TIMEOUT, client.next_request()) => read,
            () = self.slot.evicted() => return ReadOutcome::Evicted,
        };
        match read {
            Ok(Ok(Some(request))) => ReadOutcome::Request(request),
            Ok(Ok(None)) => ReadOutcome::ClientClosed,
            Ok(Err(ReadError::Parse(e))) => ReadOutcome::Invalid(e.into()),
            Ok(Err(ReadError::Io(e))) => ReadOutcome::Failed(e),
            Err(_) => ReadOutcome::Invalid(LocalResponse::RequestTimeout),
        }
    }

    /// The response to a request.
    async fn respond(&mut self, request: ArrivedRequest) -> FinalResponse {
        self.set_state(ConnectionState::Open);
        let client_keeps_alive = request.message.keep_alive;
        let RequestResult { response, client_disconnected } = self.handle_request(request).await;
        let is_invalid =
            matches!(response, Err(LocalResponse::BadRequest(_) | LocalResponse::MethodNotAllowed));
        let accepts_more = client_keeps_alive && !is_invalid && !client_disconnected;
        let is_spare = self.slot.is_spare();
        let is_evicted = self.slot.is_evicted();
        let has_flooded = self.reader.buffer().len() >= MAX_READ_AHEAD_BYTES;
        let phase = self.frontend.phase();
        let must_end = is_spare || is_evicted || has_flooded || phase != ShutdownPhase::Serving;
        // A connection that must end stays open for the requests that have been read already.
        self.pipelined = if accepts_more && must_end { self.reader.next(false).ok().flatten() } else { None };
        let keep_alive = accepts_more && (!must_end || self.pipelined.is_some());
        if !keep_alive {
            debug!(
                is_invalid,
                client_disconnected,
                is_spare,
                is_evicted,
                has_flooded,
                ?phase,
                "closing connection after response"
            );
        }
        let response = match response {
            Ok(response) => response.encode(keep_alive),
            Err(local) => local.encode(keep_alive),
        };
        FinalResponse { response, keep_alive }
    }

    /// Has a request handled, by the listener itself or by the event loop. A client that has disconnected still gets the
    /// response, as it may have ended its sending side only.
    async fn handle_request(&mut self, request: ArrivedRequest) -> RequestResult {
        let ArrivedRequest { message, arrived_at } = request;
        if let Err(local) = self.route(&message) {
            return Err(local).into();
        }
        let (respond_to, mut response) = oneshot::channel();
        let request = match self.frontend.parse_request(&message, arrived_at, respond_to) {
            Ok(request) => request,
            Err(invalid) => return invalid.into(),
        };
        let rejected = Response::Rejected { retry_after_ms: self.frontend.max_retry_after_ms };
        if self.slot.is_spare() || self.frontend.phase() == ShutdownPhase::Rejecting {
            return Ok(rejected).into();
        }
        let correlation_id = message.fields.bytes(CORRELATION_ID);
        let reserved = correlation_id.and_then(|id| self.frontend.reserve_correlation_id(id));
        let Some(_reserved) = reserved else { return InvalidRequest::CorrelationIdInUse.into() };
        let id = request.id;
        drop(message);
        let mut client = ClientReader {
            stream: &self.stream,
            reader: &mut self.reader,
            waiting_since: &mut self.waiting_since,
            lag: &self.frontend.lag,
        };
        let events = &self.frontend.events;
        tokio::select! {
            biased;
            permit = events.reserve() => match permit {
                Ok(permit) => permit.send(GatewayEvent::Request(request)),
                // The event queue closes only when the gateway stops.
                Err(_) => return Ok(Response::Failed).into(),
            },
            // The event loop has not seen the request, and never will.
            () = client.disconnected() => {
                return RequestResult { response: Ok(rejected), client_disconnected: true };
            }
        }
        tokio::select! {
            biased;
            response = &mut response => return Ok(response.unwrap_or(Response::Failed)).into(),
            () = client.disconnected() => {}
        }
        let _ = events.send(GatewayEvent::ClientDisconnected(id)).await;
        RequestResult { response: Ok(response.await.unwrap_or(Response::Failed)), client_disconnected: true }
    }

    /// Whether a message is a request to forward; the response otherwise.
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

    /// Ends an idle connection. It lingers, since a request that crosses its end would otherwise be reset.
    async fn close_idle(mut self) -> io::Result<()> {
        let is_evicted = self.slot.is_evicted();
        // The slot is free while the connection lingers.
        drop(self.slot);
        debug!(is_evicted, phase = ?self.frontend.phase(), "closing idle connection");
        if is_evicted {
            return linger_evicted(self.frontend, &mut self.stream).await;
        }
        linger(&mut self.stream).await
    }

    /// Ends a connection that is evicted in the middle of a request. It is rejected, since the rest of the request may
    /// have arrived by now.
    async fn close_evicted(mut self) -> io::Result<()> {
        debug!("connection evicted in the middle of a request");
        let rejected = Response::Rejected { retry_after_ms: self.frontend.max_retry_after_ms };
        write(&self.stream, rejected.encode(false)).await?;
        linger_evicted(self.frontend, &mut self.stream).await
    }
}

/// Lingers on a descriptor beyond the budget, if there is one.
async fn linger_evicted(frontend: &Frontend, stream: &mut TcpStream) -> io::Result<()> {
    match frontend.lingering.try_acquire() {
        Ok(_permit) => linger(stream).await,
        Err(_) => Ok(()),
    }
}

async fn write(stream: &TcpStream, response: EncodedResponse) -> io::Result<()> {
    let mut bytes = response.head.chain(response.body);
    timeout(RESPONSE_WRITE_TIMEOUT, sockets::write_all(stream, &mut bytes)).await?
}
