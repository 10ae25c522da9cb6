//! Reading from a client connection: the next request, and a disconnect while a request is open.
use super::pacing::Pacer;
use super::{ConnectionGuard, Frontend, ShutdownPhase};
use crate::http1::{CompleteMessage, Fields, ParseError, Reader, RequestLine, MAX_BODY_BYTES};
use crate::memory::{MemoryExhausted, MemoryLease};
use crate::memory_budget::{Work, SMALL_MESSAGE_BYTES};
use crate::protocol::CONTINUE;
use crate::sockets::{self, ReceivedNow};
use crate::work_budget::{READ_COST_US, REQUEST_COST_US};
use std::future::pending;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};

/// The maximum number of bytes that are buffered while a client's request is open. Further bytes are
/// discarded, so that a disconnect is still noticed, and the connection is closed after the response.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 4 * 1024;
/// The maximum number of bytes that are discarded while a request is open. A client that sends more counts as
/// disconnected.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// The number of bytes that are discarded between two pauses.
const DISCARD_BATCH_BYTES: usize = 64 * 1024;
/// The pause after each read behind an open request, so that a flooding client does not starve other clients.
const READ_AHEAD_PAUSE: Duration = Duration::from_millis(1);

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

/// A client's connection with the state of its reading side.
pub(super) struct ClientInput<'a> {
    frontend: &'a Frontend,
    pub(super) stream: TcpStream,
    pub(super) reader: Reader<RequestLine>,
    /// The time since which bytes that have not been parsed may have been waiting; `None` if none have been
    /// received.
    pub(super) waiting_since: Option<Instant>,
    /// The memory of the incomplete request, if it is large.
    lease: Option<MemoryLease>,
    pacer: Pacer,
}

impl<'a> ClientInput<'a> {
    /// Returns the input of a connection whose first bytes may have been waiting since `arrived_at`.
    pub(super) fn new(guard: &'a ConnectionGuard, stream: TcpStream, arrived_at: Instant) -> Self {
        ClientInput {
            frontend: &guard.frontend,
            stream,
            reader: Reader::new(MAX_BODY_BYTES),
            waiting_since: Some(arrived_at),
            lease: None,
            pacer: Pacer::new(guard.id),
        }
    }

    /// Releases the memory of bytes that have been read and will not be used.
    pub(super) fn release(&mut self) {
        self.reader = Reader::new(MAX_BODY_BYTES);
        self.lease = None;
    }

    /// Reads the next request. Returns `None` if the client closes the connection before the request is
    /// complete.
    pub(super) async fn next_request(&mut self) -> Result<Option<ArrivedRequest>, ReadError> {
        let mut has_continued = false;
        // The waiting time applies only if the request is complete without a further read.
        let mut arrived_at = self.waiting_since.take();
        loop {
            // A request that is complete must have its response before the process may be killed.
            if self.frontend.phase() == ShutdownPhase::Serving {
                self.pacer.pause().await;
            }
            if let Some(message) = self.reader.next(false)? {
                self.pacer.charge(self.frontend, REQUEST_COST_US);
                let arrived_at = arrived_at.unwrap_or_else(|| self.frontend.lag.earliest_arrival());
                self.waiting_since = (!self.reader.is_idle()).then_some(arrived_at);
                return Ok(Some(ArrivedRequest { message, arrived_at, lease: self.lease.take() }));
            }
            if !has_continued && self.reader.awaiting_body().is_some_and(expects_continue) {
                has_continued = true;
                sockets::write_all(&self.stream, &mut &CONTINUE[..]).await?;
            }
            if self.read().await? == 0 {
                return Ok(None);
            }
            self.pacer.charge(self.frontend, READ_COST_US);
            arrived_at = None;
        }
    }

    /// Reads once, after the memory for the bytes has been reserved.
    async fn read(&mut self) -> Result<usize, ReadError> {
        let memory_bytes = self.reader.memory_bytes();
        if memory_bytes > SMALL_MESSAGE_BYTES {
            let memory = &self.frontend.budgets.memory;
            let lease = self.lease.get_or_insert_with(|| memory.lease(Work::IncompleteRequest));
            lease.reserve(memory_bytes).await?;
        }
        let evicted = async {
            match &mut self.lease {
                Some(lease) => lease.evicted().await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            read = sockets::read(&self.stream, self.reader.buffer()) => Ok(read?),
            () = evicted => Err(MemoryExhausted.into()),
        }
    }

    /// Returns whether bytes of a request have arrived on a connection that is about to be closed as idle. After
    /// a stall of the process, bytes may be waiting that the runtime has not noticed yet.
    pub(super) async fn has_received_request(&mut self) -> bool {
        // Lets the runtime ask the kernel which sockets are readable.
        yield_now().await;
        matches!(sockets::read_now(&self.stream, self.reader.buffer()), ReceivedNow::Bytes(_))
    }

    /// Reads what the kernel has received behind a request. Returns false if the client has disconnected, in
    /// the sense of [`ClientInput::disconnected`].
    ///
    /// A client may have closed its connection behind bytes that have not been read, and its request must not
    /// be forwarded then.
    pub(super) async fn is_connected(&mut self) -> bool {
        while self.reader.unparsed_bytes() < MAX_READ_AHEAD_BYTES {
            match sockets::read_now(&self.stream, self.reader.buffer()) {
                ReceivedNow::Nothing => return true,
                ReceivedNow::Ended => return false,
                ReceivedNow::Bytes(_) => self.set_waiting(),
            }
        }
        let mut discarded_bytes = 0;
        while discarded_bytes < MAX_DISCARDED_BYTES {
            // The kernel may receive more as soon as bytes have been read.
            sleep(READ_AHEAD_PAUSE).await;
            match self.discard_batch() {
                (0, has_ended) => return !has_ended,
                (_, true) => return false,
                (bytes, false) => discarded_bytes += bytes,
            }
        }
        false
    }

    /// Discards a batch of received bytes without waiting. Returns their number, and whether the client has
    /// ended its sending side.
    fn discard_batch(&self) -> (usize, bool) {
        let mut batch_bytes = 0;
        while batch_bytes < DISCARD_BATCH_BYTES {
            match sockets::discard_now(&self.stream) {
                ReceivedNow::Bytes(bytes) => batch_bytes += bytes,
                ReceivedNow::Nothing => return (batch_bytes, false),
                ReceivedNow::Ended => return (batch_bytes, true),
            }
        }
        (batch_bytes, false)
    }

    /// Waits until the client disconnects, which means that it closes the connection or its sending side, or
    /// sends more than [`MAX_DISCARDED_BYTES`] beyond [`MAX_READ_AHEAD_BYTES`].
    pub(super) async fn disconnected(&mut self) {
        while self.reader.unparsed_bytes() < MAX_READ_AHEAD_BYTES {
            match sockets::read(&self.stream, self.reader.buffer()).await {
                Ok(0) | Err(_) => return,
                Ok(_) => self.set_waiting(),
            }
            sleep(READ_AHEAD_PAUSE).await;
        }
        let mut discarded_bytes = 0;
        while discarded_bytes < MAX_DISCARDED_BYTES {
            let Ok(read_bytes @ 1..) = sockets::discard(&self.stream).await else { return };
            let (batch_bytes, has_ended) = self.discard_batch();
            if has_ended {
                return;
            }
            discarded_bytes += read_bytes + batch_bytes;
            sleep(READ_AHEAD_PAUSE).await;
        }
    }

    fn set_waiting(&mut self) {
        self.waiting_since.get_or_insert_with(|| self.frontend.lag.earliest_arrival());
    }
}

fn expects_continue(fields: &Fields) -> bool {
    fields.get("expect").is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
}
