//! Reading from a client connection until the next request is complete.
use super::pacing::Pacer;
use super::request_queue::{InputEnd, NextRequest, QueuedRequest, RequestQueue};
use super::{ConnectionGuard, Frontend, ShutdownPhase};
use crate::events::UnreadInput;
use crate::http1::{CompleteMessage, Fields, ParseError, Reader, RequestLine, MAX_BODY_BYTES};
use crate::loop_lag::LoopLag;
use crate::memory::{evicted, MemoryExhausted, MemoryLease};
use crate::memory_budget::{Work, SMALL_MESSAGE_BYTES};
use crate::protocol::CONTINUE;
use crate::sockets::{self, ReceivedNow};
use crate::work_budget::{READ_COST_US, REQUEST_COST_US, SKIPPED_REQUEST_COST_US};
use std::future::Future;
use std::io;
use std::pin::pin;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::coop::consume_budget;
use tokio::task::yield_now;
use tokio::time::Instant;

/// The maximum number of skipped requests that are rejected with one write.
const MAX_REJECTED_AT_ONCE: usize = 64;

/// The reason why no request could be read.
#[derive(Debug, Error)]
pub(super) enum ReadError {
    /// The client connection is broken.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The client's bytes are not an acceptable request.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The memory budget has no room for the rest of the request.
    #[error(transparent)]
    Memory(#[from] MemoryExhausted),
}

/// A complete request with the time of its arrival.
pub(super) struct ArrivedRequest {
    pub(super) message: CompleteMessage<RequestLine>,
    /// The earliest time at which the complete request may have arrived.
    pub(super) arrived_at: Instant,
    /// The memory of a large request.
    pub(super) lease: Option<MemoryLease>,
}

/// The next request of a client connection, or the end of its requests.
pub(super) enum ReceivedRequest {
    /// A complete request.
    Complete(ArrivedRequest),
    /// This number of complete requests in a row that have been skipped and must be rejected.
    Skipped(usize),
    /// The client has closed the connection, or sends no further request.
    ClientClosed,
}

/// A client's connection with the state of its reading side.
pub(super) struct ClientInput<'a> {
    pub(super) frontend: &'a Frontend,
    pub(super) stream: TcpStream,
    pub(super) reader: Reader<RequestLine>,
    /// The complete requests that have been read and have no response yet.
    pub(super) queue: RequestQueue,
    /// The memory of the queued requests and of the bytes behind them, if they are large.
    pub(super) queue_lease: Option<MemoryLease>,
    /// Whether the request that is being received is skipped.
    pub(super) is_skipping: bool,
    /// Whether a batch has been read behind an open request and more has arrived.
    pub(super) unread_input: UnreadInput,
    /// The time since which the connection's first bytes may have been waiting for the accept.
    pub(super) accepted_bytes_since: Option<Instant>,
    /// The time since which bytes that have not been read may have been waiting; `None` if none are known to wait.
    /// It is kept until a read finds nothing, because the bytes behind those that are read may be as old.
    pub(super) waiting_since: Option<Instant>,
    /// The earliest time at which the bytes that were read last may have arrived.
    received_at: Instant,
    /// The memory of the incomplete request, if it is large.
    lease: Option<MemoryLease>,
    pub(super) pacer: Pacer,
}

impl<'a> ClientInput<'a> {
    /// Returns the input of a connection whose first bytes may have been waiting since `arrived_at`.
    pub(super) fn new(guard: &'a ConnectionGuard, stream: TcpStream, arrived_at: Instant) -> Self {
        ClientInput {
            frontend: &guard.frontend,
            stream,
            reader: Reader::new(MAX_BODY_BYTES),
            queue: RequestQueue::default(),
            queue_lease: None,
            is_skipping: false,
            unread_input: UnreadInput::default(),
            accepted_bytes_since: Some(arrived_at),
            waiting_since: None,
            received_at: arrived_at,
            lease: None,
            pacer: Pacer::new(guard.id),
        }
    }

    /// Releases the memory of bytes that have been read and will not be used.
    pub(super) fn release(&mut self) {
        self.reader = Reader::new(MAX_BODY_BYTES);
        self.queue = RequestQueue::default();
        (self.lease, self.queue_lease) = (None, None);
    }

    /// Returns whether the connection is between two requests and has no byte of the next one.
    pub(super) fn is_idle(&self) -> bool {
        self.reader.is_idle() && !self.has_queued()
    }

    /// Returns whether something that has been read still needs a response: a complete request, or bytes that
    /// are not an acceptable request.
    pub(super) fn has_queued(&self) -> bool {
        !self.queue.is_empty() || matches!(self.queue.end(), Some(InputEnd::Invalid(_)))
    }

    /// Records that bytes have just been read.
    pub(super) fn set_received(&mut self) {
        self.waiting_since = self.accepted_bytes_since.take().or(self.waiting_since);
        self.received_at = self.waiting_since.unwrap_or_else(|| self.frontend.lag.earliest_arrival());
    }

    /// Records that the bytes that are read next may have been waiting since now, because the gateway does
    /// something else first.
    pub(super) fn set_waiting(&mut self) {
        self.waiting_since.get_or_insert_with(|| self.frontend.lag.earliest_arrival());
    }

    /// Returns the next request, and reads until one is complete.
    pub(super) async fn next_request(&mut self) -> Result<ReceivedRequest, ReadError> {
        let mut has_continued = false;
        if !self.queue.is_empty() {
            // Other connections take their turn between two requests that have been sent at once.
            yield_now().await;
        }
        loop {
            if self.queue.is_empty() && !self.reader.is_in_body() {
                // No part of the request has been discarded, and it no longer waits behind others.
                self.is_skipping = false;
            }
            self.parse_received();
            if let Some(next) = self.take_queued() {
                if self.queue_lease.is_some() || !self.is_idle() {
                    self.reserve_queue();
                }
                return Ok(next);
            }
            match self.queue.end() {
                Some(InputEnd::Invalid(e)) => return Err(e.into()),
                Some(InputEnd::Excess) => return Err(MemoryExhausted.into()),
                Some(InputEnd::LastRequest) => return Ok(ReceivedRequest::ClientClosed),
                None => {}
            }
            if !has_continued && self.reader.awaiting_body().is_some_and(expects_continue) {
                has_continued = true;
                let mut bytes = CONTINUE;
                let written = sockets::write_all(&self.stream, &mut bytes);
                watch(&self.stream, &self.frontend.lag, &mut self.waiting_since, written).await?;
            }
            // A request that is complete must have its response before the process may be killed.
            if self.pacer.must_pause() && self.frontend.phase() == ShutdownPhase::Serving {
                let has_read = self.read_without_growth();
                watch(&self.stream, &self.frontend.lag, &mut self.waiting_since, self.pacer.pause()).await;
                if has_read {
                    self.pacer.charge(self.frontend, READ_COST_US);
                    continue;
                }
            }
            if self.read().await? == 0 {
                return Ok(ReceivedRequest::ClientClosed);
            }
            self.pacer.charge(self.frontend, READ_COST_US);
        }
    }

    /// Adds the complete requests among the received bytes to the queue.
    pub(super) fn parse_received(&mut self) {
        while self.queue.end().is_none() {
            let parsed = if self.is_skipping { self.skip_next() } else { self.parse_next() };
            match parsed {
                Ok(true) => {}
                Ok(false) => return,
                Err(e) => self.queue.set_end(InputEnd::Invalid(e)),
            }
        }
        self.reader = Reader::new(MAX_BODY_BYTES);
    }

    /// Adds the next request to the queue. Returns false while the request is incomplete.
    fn parse_next(&mut self) -> Result<bool, ParseError> {
        let Some(message) = self.reader.next(false)? else { return Ok(false) };
        self.queue.push(QueuedRequest { message, arrived_at: self.received_at, lease: self.lease.take() });
        Ok(true)
    }

    /// Skips the next request. Returns false while the request is incomplete.
    fn skip_next(&mut self) -> Result<bool, ParseError> {
        let Some(keep_alive) = self.reader.skip()? else { return Ok(false) };
        self.is_skipping = false;
        self.queue.push_skipped(keep_alive);
        Ok(true)
    }

    /// Takes the next request from the queue, with the memory that was reserved for it.
    fn take_queued(&mut self) -> Option<ReceivedRequest> {
        let mut request = match self.queue.pop(MAX_REJECTED_AT_ONCE)? {
            NextRequest::Complete(request) => request,
            NextRequest::Skipped(count) => {
                self.pacer.charge(self.frontend, count as f64 * SKIPPED_REQUEST_COST_US);
                return Some(ReceivedRequest::Skipped(count));
            }
        };
        self.pacer.begin_request();
        self.pacer.charge(self.frontend, REQUEST_COST_US);
        let memory_bytes = request.message.memory_bytes();
        if self.queue_lease.is_some() && request.lease.is_none() && memory_bytes > SMALL_MESSAGE_BYTES {
            // The bytes are part of the queue's reservation, which shrinks by as much.
            let lease = self.frontend.budgets.memory.lease(Work::Accepted);
            lease.set_bytes(memory_bytes);
            self.set_queue_bytes(self.queue.memory_bytes() + self.reader.memory_bytes());
            request.lease = Some(lease);
        }
        let QueuedRequest { message, arrived_at, lease } = request;
        Some(ReceivedRequest::Complete(ArrivedRequest { message, arrived_at, lease }))
    }

    /// Reads what has arrived into the free part of the buffer, so that the runtime notices when the next bytes
    /// arrive. Returns whether bytes were read.
    fn read_without_growth(&mut self) -> bool {
        if !self.reader.has_room() {
            return false;
        }
        match sockets::read_now(&self.stream, self.reader.buffer()) {
            ReceivedNow::Bytes(_) => {
                self.set_received();
                true
            }
            ReceivedNow::Nothing => {
                self.waiting_since = None;
                false
            }
            ReceivedNow::Ended => false,
        }
    }

    /// Reads once, after the memory for the bytes has been reserved.
    async fn read(&mut self) -> Result<usize, ReadError> {
        let memory_bytes = self.reader.memory_bytes();
        // Only the request that is being received needs memory now.
        self.queue_lease = None;
        if memory_bytes > SMALL_MESSAGE_BYTES {
            let memory = &self.frontend.budgets.memory;
            let lease = self.lease.get_or_insert_with(|| memory.lease(Work::IncompleteRequest));
            let reserved = lease.reserve(memory_bytes);
            watch(&self.stream, &self.frontend.lag, &mut self.waiting_since, reserved).await?;
        }
        let input =
            Input { stream: &self.stream, reader: &mut self.reader, waiting_since: &mut self.waiting_since };
        let read_bytes = tokio::select! {
            biased;
            read = input.receive(&mut self.pacer, self.frontend) => read?,
            () = evicted(&mut self.lease) => return Err(MemoryExhausted.into()),
        };
        self.set_received();
        Ok(read_bytes)
    }

    /// Waits for the first bytes of the next request and reads them. Returns the number of bytes, which is 0 once
    /// the client has ended its sending side. Cancel safe.
    pub(super) async fn read_first_bytes(&mut self) -> io::Result<usize> {
        let input =
            Input { stream: &self.stream, reader: &mut self.reader, waiting_since: &mut self.waiting_since };
        input.receive(&mut self.pacer, self.frontend).await
    }

    /// Returns whether bytes of a request have arrived on a connection that is about to be closed as idle. After
    /// a stall of the process, bytes may be waiting that the runtime has not noticed yet.
    pub(super) async fn has_received_request(&mut self) -> bool {
        // Lets the runtime ask the kernel which sockets are readable.
        yield_now().await;
        matches!(sockets::read_now(&self.stream, self.reader.buffer()), ReceivedNow::Bytes(_))
    }
}

/// The parts of a [`ClientInput`] that reading needs.
struct Input<'a> {
    stream: &'a TcpStream,
    reader: &'a mut Reader<RequestLine>,
    waiting_since: &'a mut Option<Instant>,
}

impl Input<'_> {
    /// Reads from a client connection. If nothing has arrived, no bytes are waiting, and the connection rests until
    /// the next ones arrive. Cancel safe.
    async fn receive(self, pacer: &mut Pacer, frontend: &Frontend) -> io::Result<usize> {
        // Lets other tasks run even if the client sends without a pause.
        consume_budget().await;
        match sockets::read_now(self.stream, self.reader.buffer()) {
            ReceivedNow::Bytes(read_bytes) => return Ok(read_bytes),
            ReceivedNow::Ended => return Ok(0),
            ReceivedNow::Nothing => {}
        }
        *self.waiting_since = None;
        let read = sockets::read(self.stream, self.reader.buffer()).await;
        pacer.rest(frontend);
        read
    }
}

/// Waits for `result` and records in `waiting_since` when bytes arrive meanwhile, so that the time of a request counts
/// from when its bytes could have been read. Cancel safe if the waiting for `result` is.
pub(super) async fn watch<T>(
    stream: &TcpStream, lag: &LoopLag, waiting_since: &mut Option<Instant>, result: impl Future<Output = T>,
) -> T {
    let mut result = pin!(result);
    if waiting_since.is_none() {
        tokio::select! {
            biased;
            result = &mut result => return result,
            // A connection that is broken is readable as well.
            _ = stream.readable() => *waiting_since = Some(lag.earliest_arrival()),
        }
    }
    result.await
}

fn expects_continue(fields: &Fields) -> bool {
    fields.get("expect").is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
}
