//! Counts messages and bytes by cause, for any number of connections.
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use ternstack_replication::wire::{
    Message, PollRequest, PollResponse, Traffic, TrafficByCause, TrafficCount,
};

/// Counts messages read and written. Shared between tasks; may be read at any time.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    read: DirectionCounter,
    written: DirectionCounter,
}

impl TrafficCounter {
    /// Counts a message that was read; `request` is the poll that it responds to, if it is a response.
    pub fn record_read(&self, message: &Message, frame_bytes: usize, request: Option<&PollRequest>) {
        self.read.record(message, frame_bytes, request);
    }

    /// Counts a message that was written; `request` is the poll that it responds to, if it is a response.
    pub fn record_written(&self, message: &Message, frame_bytes: usize, request: Option<&PollRequest>) {
        self.written.record(message, frame_bytes, request);
    }

    /// All messages and bytes so far.
    pub fn counts(&self) -> Traffic {
        Traffic { read: self.read.load(), written: self.written.load() }
    }
}

/// The counters of one direction, by cause.
#[derive(Debug, Default)]
struct DirectionCounter {
    polls: CauseCounter,
    leases: CauseCounter,
    changes: CauseCounter,
    fetches: CauseCounter,
    admin: CauseCounter,
}

impl DirectionCounter {
    fn record(&self, message: &Message, frame_bytes: usize, request: Option<&PollRequest>) {
        match message {
            Message::PollRequest(_) => self.polls.add(1, frame_bytes),
            Message::PollResponse(response) => self.record_response(response, frame_bytes, request),
            _ => self.admin.add(1, frame_bytes),
        }
    }

    /// A response counts as one message, of its most important cause; its bytes are divided among all of them.
    fn record_response(&self, response: &PollResponse, frame_bytes: usize, request: Option<&PollRequest>) {
        let content = ResponseContent::of(response, request);
        let cause = if content.fetched_bytes > 0 {
            &self.fetches
        } else if content.changed_bytes > 0 {
            &self.changes
        } else {
            &self.leases
        };
        cause.add(1, 0);
        self.changes.add(0, content.changed_bytes);
        self.fetches.add(0, content.fetched_bytes);
        self.leases.add(0, frame_bytes.saturating_sub(content.changed_bytes + content.fetched_bytes));
    }

    fn load(&self) -> TrafficByCause {
        TrafficByCause {
            polls: self.polls.load(),
            leases: self.leases.load(),
            changes: self.changes.load(),
            fetches: self.fetches.load(),
            admin: self.admin.load(),
        }
    }
}

/// Messages and bytes of one cause.
#[derive(Debug, Default)]
struct CauseCounter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl CauseCounter {
    fn add(&self, messages: u64, bytes: usize) {
        self.messages.fetch_add(messages, Relaxed);
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }

    fn load(&self) -> TrafficCount {
        TrafficCount { messages: self.messages.load(Relaxed), bytes: self.bytes.load(Relaxed) }
    }
}

/// What the bytes of a response consist of, apart from the lease and the framing.
#[derive(Clone, Copy, Debug)]
struct ResponseContent {
    /// Pending versions, and changes in scopes that the client had in full.
    changed_bytes: usize,
    /// Chunks of scopes that were fetched; all chunks for a replica that has nothing yet.
    fetched_bytes: usize,
}

impl ResponseContent {
    fn of(response: &PollResponse, request: Option<&PollRequest>) -> Self {
        let has_nothing = request.is_some_and(|request| request.known == 0);
        let is_fetched =
            |scope| request.is_some_and(|request| request.fetch.iter().any(|(fetched, _)| *fetched == scope));
        let mut content = ResponseContent { changed_bytes: 0, fetched_bytes: 0 };
        content.changed_bytes += response.pending.iter().map(encoded_bytes).sum::<usize>();
        content.changed_bytes += response.stale.iter().map(encoded_bytes).sum::<usize>();
        for chunk in &response.chunks {
            if has_nothing || is_fetched(chunk.scope) {
                content.fetched_bytes += encoded_bytes(chunk);
            } else {
                content.changed_bytes += encoded_bytes(chunk);
            }
        }
        content
    }
}

fn encoded_bytes(value: &impl serde::Serialize) -> usize {
    // Measuring these types cannot fail.
    postcard::serialize_with_flavor(value, postcard::ser_flavors::Size::default()).unwrap_or_default()
}
