//! The requests that a client has sent behind its open request, in the order received.
//!
//! Every complete request that has been read gets a response. A request for which there is no memory is skipped:
//! only its place in the order is kept, and it is rejected when its turn comes.
use crate::http1::{CompleteMessage, ParseError, RequestLine};
use crate::memory::MemoryLease;
use std::collections::VecDeque;
use tokio::time::Instant;

/// A complete request that waits for its turn.
pub(super) struct QueuedRequest {
    pub(super) message: CompleteMessage<RequestLine>,
    /// The earliest time at which the request's last byte may have arrived.
    pub(super) arrived_at: Instant,
    /// The memory of a large request that was reserved while the request was incomplete.
    pub(super) lease: Option<MemoryLease>,
}

impl QueuedRequest {
    /// Returns the memory that the request takes in the queue, without the memory of its own lease.
    pub(super) fn memory_bytes(&self) -> usize {
        match self.lease {
            Some(_) => size_of::<Self>(),
            None => size_of::<Self>() + self.message.memory_bytes(),
        }
    }
}

/// The next request in the order received.
pub(super) enum NextRequest {
    /// A complete request.
    Complete(QueuedRequest),
    /// This number of requests in a row that have been skipped.
    Skipped(usize),
}

/// The reason why no further request is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputEnd {
    /// The bytes behind the last request are not an acceptable request.
    Invalid(ParseError),
    /// The last request says that the client sends no further request.
    LastRequest,
    /// The client has sent more than the gateway can read behind an open request.
    Excess,
}

/// The requests of one connection that have been read and have no response yet.
#[derive(Default)]
pub(super) struct RequestQueue {
    requests: VecDeque<NextRequest>,
    memory_bytes: usize,
    /// The number of requests that were skipped as they were received and have not been taken yet.
    skipped_count: usize,
    end: Option<InputEnd>,
}

impl RequestQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the reason why no request follows the queued ones; `None` if further requests may follow.
    pub(super) fn end(&self) -> Option<InputEnd> {
        self.end
    }

    /// Returns the memory of the queued requests, without the memory of their own leases.
    pub(super) fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// Returns the number of requests that were skipped as they were received and have not been taken yet.
    pub(super) fn skipped_count(&self) -> usize {
        self.skipped_count
    }

    pub(super) fn push(&mut self, request: QueuedRequest) {
        self.memory_bytes += request.memory_bytes();
        if !request.message.keep_alive {
            self.set_end(InputEnd::LastRequest);
        }
        self.requests.push_back(NextRequest::Complete(request));
    }

    /// Adds a complete request that has been skipped. `keep_alive` says whether another request may follow.
    pub(super) fn push_skipped(&mut self, keep_alive: bool) {
        self.skipped_count += 1;
        if !keep_alive {
            self.set_end(InputEnd::LastRequest);
        }
        match self.requests.back_mut() {
            Some(NextRequest::Skipped(count)) => *count += 1,
            _ => self.requests.push_back(NextRequest::Skipped(1)),
        }
    }

    /// Records that no further request is read. The first reason counts.
    pub(super) fn set_end(&mut self, end: InputEnd) {
        self.end.get_or_insert(end);
    }

    /// Returns the number of queued requests.
    pub(super) fn request_count(&self) -> usize {
        let count_of = |request: &NextRequest| match request {
            NextRequest::Complete(_) => 1,
            NextRequest::Skipped(count) => *count,
        };
        self.requests.iter().map(count_of).sum()
    }

    /// Skips all queued requests, which releases their memory.
    pub(super) fn skip_all(&mut self) {
        let count = self.request_count();
        self.requests = VecDeque::new();
        self.memory_bytes = 0;
        if count > 0 {
            self.requests.push_back(NextRequest::Skipped(count));
        }
    }

    /// Removes the next request, or at most `max_skipped` skipped requests in a row.
    pub(super) fn pop(&mut self, max_skipped: usize) -> Option<NextRequest> {
        if let Some(NextRequest::Skipped(count)) = self.requests.front_mut() {
            if *count > max_skipped {
                *count -= max_skipped;
                self.skipped_count = self.skipped_count.saturating_sub(max_skipped);
                return Some(NextRequest::Skipped(max_skipped));
            }
        }
        let next = self.requests.pop_front()?;
        match &next {
            NextRequest::Complete(request) => self.memory_bytes -= request.memory_bytes(),
            NextRequest::Skipped(count) => self.skipped_count = self.skipped_count.saturating_sub(*count),
        }
        if self.requests.is_empty() {
            // A long queue keeps no memory once it is empty.
            self.requests = VecDeque::new();
        }
        Some(next)
    }
}
