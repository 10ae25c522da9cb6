//! The task of one client connection: waits for requests, responds to each of them, and closes the
//! connection.
use super::client::{ArrivedRequest, ClientInput, ReadError, ReceivedRequest};
use super::close::linger;
use super::responding::FinalResponse;
use super::{ClientSlot, ConnectionGuard, Frontend, ShutdownPhase};
use crate::budget::ConnectionState;
use crate::closes::CloseReason;
use crate::response::LocalResponse;
use crate::work_budget::ConnectionId;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::debug;

/// The time within which a request must be complete, counted from its first byte, or from the accept for the
/// connection's first request. The requirement is that the client of an incomplete request gets an error
/// response within 3 s.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2500);
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
    /// This number of complete requests that have been skipped.
    Skipped(usize),
    ClientClosed,
    Invalid(LocalResponse),
    Failed(io::Error),
    /// The connection has lost its descriptor or its memory to others.
    Evicted(CloseReason),
}

/// A client connection while it is served.
pub(super) struct ClientConnection<'a> {
    pub(super) frontend: &'a Frontend,
    pub(super) slot: ClientSlot,
    pub(super) input: ClientInput<'a>,
    pub(super) connection_id: ConnectionId,
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
            phase: frontend.phase.clone(),
            accepted_at: Instant::now(),
            has_begun_request: false,
        }
    }

    /// Serves requests until the client or the gateway closes the connection.
    pub(super) async fn serve(mut self) -> io::Result<()> {
        loop {
            if self.input.is_idle() {
                match self.wait_for_first_byte().await? {
                    IdleEnd::Bytes => {}
                    IdleEnd::ClientClosed => return Ok(()),
                    IdleEnd::Expired => return self.close_idle().await,
                }
            }
            if !self.input.has_queued() {
                self.slot.descriptor.set_state(ConnectionState::Reading);
            }
            let response = match self.read_request().await {
                ReadOutcome::Request(request) => self.respond(request).await,
                ReadOutcome::Skipped(count) => self.reject_skipped(count),
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
            // A connection with requests that have been read is not evicted.
            if !self.input.has_queued() {
                self.slot.descriptor.set_state(ConnectionState::Idle);
            }
        }
    }

    /// Ends a connection that cannot be kept: counts and logs the reason.
    pub(super) fn record_close(&self, reason: CloseReason) {
        self.frontend.closes.record(reason, self.connection_id, self.input.reader.memory_bytes());
    }

    /// Waits for the next request's first byte.
    async fn wait_for_first_byte(&mut self) -> io::Result<IdleEnd> {
        let (phase, accepted_at, lag) = (&mut self.phase, self.accepted_at, &self.frontend.lag);
        let read = tokio::select! {
            biased;
            read = self.input.read_first_bytes() => Some(read?),
            () = async {
                // Waiting fails only if the sender is dropped, which does not happen while the gateway runs.
                let _ = phase.wait_for(|phase| *phase >= ShutdownPhase::Closing).await;
                lag.sleep_until(accepted_at + CLOSING_FIRST_BYTE_TIMEOUT).await;
            } => None,
            () = self.slot.evicted() => None,
            () = lag.sleep(IDLE_TIMEOUT) => None,
        };
        match read {
            None => return Ok(IdleEnd::Expired),
            Some(0) => return Ok(IdleEnd::ClientClosed),
            Some(_) => {}
        }
        if self.accepted_at.elapsed() >= SAME_ARRIVAL_WINDOW {
            // These bytes arrived after the connection was accepted.
            self.input.accepted_bytes_since = None;
        }
        self.input.set_received();
        Ok(IdleEnd::Bytes)
    }

    /// Reads the next request, which must be complete within [`REQUEST_READ_TIMEOUT`].
    async fn read_request(&mut self) -> ReadOutcome {
        let begun_at = if self.has_begun_request { Instant::now() } else { self.accepted_at };
        self.has_begun_request = true;
        let has_queued = self.input.has_queued();
        let read_until = begun_at + REQUEST_READ_TIMEOUT;
        let read = tokio::select! {
            biased;
            read = self.frontend.lag.timeout_at(read_until, self.input.next_request()) => read,
            () = self.slot.evicted(), if !has_queued => return ReadOutcome::Evicted(CloseReason::Descriptor),
        };
        match read {
            Some(Ok(ReceivedRequest::Complete(request))) => ReadOutcome::Request(request),
            Some(Ok(ReceivedRequest::Skipped(count))) => ReadOutcome::Skipped(count),
            Some(Ok(ReceivedRequest::ClientClosed)) => ReadOutcome::ClientClosed,
            Some(Err(ReadError::Parse(e))) => ReadOutcome::Invalid(e.into()),
            Some(Err(ReadError::Io(e))) => ReadOutcome::Failed(e),
            Some(Err(ReadError::Memory(_))) => ReadOutcome::Evicted(CloseReason::MemoryForRequest),
            None => {
                self.record_close(CloseReason::RequestTimeout);
                ReadOutcome::Invalid(LocalResponse::RequestTimeout)
            }
        }
    }

    /// Lingers after the last response, until the descriptor is needed for another connection.
    async fn linger_until_evicted(mut self) -> io::Result<()> {
        self.input.release();
        self.slot.descriptor.set_state(ConnectionState::Lingering);
        tokio::select! {
            biased;
            lingered = linger(&self.frontend.lag, &mut self.input.stream) => lingered,
            () = self.slot.evicted() => Ok(()),
        }
    }

    /// Closes an idle connection. The connection lingers, because otherwise a request that the client sends
    /// at the same time would be answered by a TCP reset.
    async fn close_idle(mut self) -> io::Result<()> {
        let is_evicted = self.slot.descriptor.is_evicted();
        if is_evicted && self.input.has_received_request().await {
            return self.close_evicted(CloseReason::Descriptor).await;
        }
        // Another client can use the descriptor of the budget while the connection lingers.
        drop(self.slot);
        debug!(is_evicted, phase = ?self.frontend.phase(), "closing idle connection");
        if is_evicted {
            return linger_evicted(self.frontend, &mut self.input.stream).await;
        }
        linger(&self.frontend.lag, &mut self.input.stream).await
    }

    /// Closes a connection that was evicted in the middle of a request. The request is rejected, because its
    /// rest may have arrived by now.
    async fn close_evicted(mut self, reason: CloseReason) -> io::Result<()> {
        self.record_close(reason);
        let unanswered_count = self.input.end_with_unanswered().max(1);
        let response = self.reject(unanswered_count, false);
        self.write(response).await?;
        linger_evicted(self.frontend, &mut self.input.stream).await
    }
}

/// Lingers on one of the [`MAX_LINGERING_CONNECTIONS`](super::MAX_LINGERING_CONNECTIONS) descriptors beyond
/// the budget. If none is free, the connection is closed at once.
async fn linger_evicted(frontend: &Frontend, stream: &mut TcpStream) -> io::Result<()> {
    match frontend.lingering_slots.try_acquire() {
        Ok(_permit) => linger(&frontend.lag, stream).await,
        Err(_) => Ok(()),
    }
}
