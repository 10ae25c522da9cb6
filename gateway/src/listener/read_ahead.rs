//! Reading behind an open request, so that the gateway notices when the client disconnects.
//!
//! A client may send further requests before it has the response to its open one, and may close its connection
//! behind them. The gateway reads all that has arrived. Complete requests wait in the connection's queue as long
//! as the memory budget has room, and are skipped otherwise: their bodies are discarded, and each of them is
//! rejected in its turn.
use super::client::{watch, ClientInput};
use super::request_queue::InputEnd;
use crate::memory::evicted;
use crate::memory_budget::{Work, SMALL_MESSAGE_BYTES};
use crate::sockets::{self, ReceivedNow};
use crate::work_budget::READ_COST_US;
use std::time::Duration;
use tokio::time::sleep;

/// The maximum memory of the requests behind an open one.
const MAX_QUEUE_BYTES: usize = 2 << 20;
/// The maximum number of bytes that are read while a request is open and cannot be kept. Beyond it, the open
/// request and all requests behind it are rejected, because a disconnect behind so many bytes would be noticed
/// too late.
const MAX_SKIPPED_BYTES: usize = 4 << 20;
/// The maximum number of requests that have been skipped and not been rejected yet, in the same way. It bounds the
/// work on the requests of a client that sends without a pause.
const MAX_SKIPPED_REQUESTS: usize = 4096;
/// The maximum number of bytes that are discarded behind the last request while a request is open. A client that
/// sends more counts as disconnected.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// The number of bytes that are read between two pauses.
const BATCH_BYTES: usize = 64 * 1024;
/// A batch of at least this size may have filled the receive window, so that the kernel receives more as soon as
/// the batch has been read.
const MIN_WINDOW_BYTES: usize = 16 * 1024;
/// The pause after each batch, so that a flooding client does not starve other clients.
const BATCH_PAUSE: Duration = Duration::from_millis(1);

/// The bytes that have been read behind one open request and have not been kept.
#[derive(Default)]
struct Unkept {
    skipped_bytes: usize,
    discarded_bytes: usize,
}

/// The result of reading a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Batch {
    /// All bytes that have arrived have been read.
    Drained,
    /// More bytes may have arrived.
    Full,
    /// The client has disconnected.
    Disconnected,
}

impl ClientInput<'_> {
    /// Reads what the kernel has received behind a request. Returns false if the client has disconnected, in
    /// the sense of [`ClientInput::disconnected`].
    ///
    /// A client may have closed its connection behind bytes that have not been read, and its request must not
    /// be forwarded then.
    pub(super) async fn is_connected(&mut self) -> bool {
        let mut unkept = Unkept::default();
        loop {
            match self.read_batch(&mut unkept) {
                Batch::Drained => return true,
                Batch::Disconnected => return false,
                Batch::Full => self.pause_between_batches().await,
            }
        }
    }

    /// Waits until the client disconnects, which means that it closes the connection or its sending side, or
    /// sends more than [`MAX_SKIPPED_BYTES`] or [`MAX_SKIPPED_REQUESTS`] that cannot be kept, or more than
    /// [`MAX_DISCARDED_BYTES`] behind its last request.
    pub(super) async fn disconnected(&mut self) {
        let mut unkept = Unkept::default();
        loop {
            let may_read = async {
                if !self.unread_input.is_pending() {
                    // A connection that is broken is readable as well.
                    let _ = self.stream.readable().await;
                }
            };
            tokio::select! {
                biased;
                () = evicted(&mut self.queue_lease) => {
                    self.skip_queued();
                    continue;
                }
                () = may_read => {}
            }
            if self.read_batch(&mut unkept) == Batch::Disconnected {
                return;
            }
            self.pause_between_batches().await;
        }
    }

    async fn pause_between_batches(&mut self) {
        watch(&self.stream, &self.frontend.lag, &mut self.waiting_since, sleep(BATCH_PAUSE)).await;
    }

    /// Reads a batch of received bytes without waiting, and records whether more has arrived.
    fn read_batch(&mut self, unkept: &mut Unkept) -> Batch {
        let batch = self.read_until_drained(unkept);
        // After a disconnect, attempts wait until it has cancelled them.
        self.unread_input.set_pending(batch != Batch::Drained);
        batch
    }

    /// Reads until nothing is left to read or the batch is full.
    fn read_until_drained(&mut self, unkept: &mut Unkept) -> Batch {
        let mut batch_bytes = 0;
        while batch_bytes < BATCH_BYTES {
            let has_ended = self.queue.end().is_some();
            let received = if has_ended {
                sockets::discard_now(&self.stream)
            } else {
                sockets::read_now(&self.stream, self.reader.buffer())
            };
            let read_bytes = match received {
                ReceivedNow::Bytes(read_bytes) => read_bytes,
                ReceivedNow::Nothing => {
                    self.waiting_since = None;
                    let may_receive_more = batch_bytes >= MIN_WINDOW_BYTES;
                    return if may_receive_more { Batch::Full } else { Batch::Drained };
                }
                ReceivedNow::Ended => return Batch::Disconnected,
            };
            batch_bytes += read_bytes;
            if has_ended {
                unkept.discarded_bytes += read_bytes;
            } else {
                self.receive_behind_open_request(read_bytes, unkept);
            }
            if unkept.skipped_bytes > MAX_SKIPPED_BYTES || self.queue.skipped_count() > MAX_SKIPPED_REQUESTS {
                self.queue.set_end(InputEnd::Excess);
            }
            if self.queue.end() == Some(InputEnd::Excess) || unkept.discarded_bytes > MAX_DISCARDED_BYTES {
                return Batch::Disconnected;
            }
        }
        self.pacer.charge(self.frontend, READ_COST_US);
        Batch::Full
    }

    /// Adds the requests among the `read_bytes` that have just been read to the queue.
    fn receive_behind_open_request(&mut self, read_bytes: usize, unkept: &mut Unkept) {
        self.set_received();
        let was_skipping = self.is_skipping;
        self.parse_received();
        self.reserve_queue();
        if was_skipping || self.is_skipping {
            unkept.skipped_bytes += read_bytes;
        }
    }

    /// Reserves the memory of the queued requests and of the incomplete one behind them. If the budget has no
    /// room, first the incomplete request is skipped, and then all queued requests are.
    pub(super) fn reserve_queue(&mut self) {
        if self.can_reserve_queue() {
            return;
        }
        self.is_skipping = true;
        self.parse_received();
        self.reader.shrink();
        if self.can_reserve_queue() {
            return;
        }
        self.queue.skip_all();
        // The reservation may have been evicted.
        self.queue_lease = None;
        if !self.can_reserve_queue() {
            self.queue.set_end(InputEnd::Excess);
        }
    }

    fn can_reserve_queue(&mut self) -> bool {
        let memory_bytes = self.queue.memory_bytes() + self.reader.memory_bytes();
        if memory_bytes <= SMALL_MESSAGE_BYTES {
            self.queue_lease = None;
            return true;
        }
        let memory = &self.frontend.budgets.memory;
        let lease = self.queue_lease.get_or_insert_with(|| memory.lease(Work::ReadAhead));
        memory_bytes <= MAX_QUEUE_BYTES && lease.try_reserve(memory_bytes)
    }

    /// Releases a part of the queue's reservation.
    pub(super) fn set_queue_bytes(&mut self, memory_bytes: usize) {
        if let Some(lease) = &self.queue_lease {
            lease.set_bytes(memory_bytes);
        }
    }

    /// Skips all queued requests, so that each of them is rejected, and releases their memory.
    pub(super) fn skip_queued(&mut self) {
        self.queue.skip_all();
        self.queue_lease = None;
        self.reserve_queue();
    }

    /// Ends the input. Returns how many requests that have been read need a response, including an incomplete one.
    pub(super) fn end_with_unanswered(&mut self) -> usize {
        self.parse_received();
        let unanswered_count = self.queue.request_count() + usize::from(!self.reader.is_idle());
        self.release();
        unanswered_count
    }
}
