//! Counters of messages and bytes by cause, shared by any number of connections.
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use ternstack_replication::wire::{
    Message, PollRequest, PollResponse, Traffic, TrafficByCause, TrafficCount,
};

/// A counter of the messages that were read and written. Tasks share one counter, which can be read at any
/// time.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    read: DirectionCounter,
    written: DirectionCounter,
}

impl TrafficCounter {
    /// Counts a message that was read. If the message is a poll response, `request` is the poll that it
    /// answers.
    pub fn record_read(&self, message: &Message, frame_bytes: usize, request: Option<&PollRequest>) {
        self.read.record(message, frame_bytes, request);
    }

    /// Counts a message that was written. If the message is a poll response, `request` is the poll that it
    /// answers.
    pub fn record_written(&self, message: &Message, frame_bytes: usize, request: Option<&PollRequest>) {
        self.written.record(message, frame_bytes, request);
    }

    /// Returns the messages and bytes counted so far.
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

    /// Counts a response as one message of the first cause that applies: fetches, changes, leases. The bytes
    /// of the response are divided among all causes.
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

/// The counter of one cause.
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

/// The sizes of the parts of a response, apart from the lease and the framing.
#[derive(Clone, Copy, Debug)]
struct ResponseContent {
    /// The bytes of pending revisions, of the list of stale scopes, and of changes in scopes that were
    /// complete at the client.
    changed_bytes: usize,
    /// The bytes of chunks of fetched scopes; of all chunks if the client had no state yet.
    fetched_bytes: usize,
}

impl ResponseContent {
    fn of(response: &PollResponse, request: Option<&PollRequest>) -> Self {
        let client_has_no_state = request.is_some_and(|request| request.known == 0);
        let is_fetched =
            |scope| request.is_some_and(|request| request.fetch.iter().any(|(fetched, _)| *fetched == scope));
        let mut content = ResponseContent { changed_bytes: 0, fetched_bytes: 0 };
        content.changed_bytes += response.pending.iter().map(encoded_bytes).sum::<usize>();
        content.changed_bytes += response.stale.iter().map(encoded_bytes).sum::<usize>();
        for chunk in &response.chunks {
            if client_has_no_state || is_fetched(chunk.scope) {
                content.fetched_bytes += encoded_bytes(chunk);
            } else {
                content.changed_bytes += encoded_bytes(chunk);
            }
        }
        content
    }
}

fn encoded_bytes(value: &impl serde::Serialize) -> usize {
    // The size of these types can always be computed, so that the default is never used.
    postcard::serialize_with_flavor(value, postcard::ser_flavors::Size::default()).unwrap_or_default()
}
