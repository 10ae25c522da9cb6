//! The history of a run: what clients, hosts and discovery observed and which faults were injected, on one clock.
use serde::Serialize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum EventKind {
    /// A client has written a request completely.
    RequestSent {
        /// The request's id.
        id: String,
        /// Its service class.
        class: String,
        /// The gateway it was sent to.
        gateway: usize,
        /// How long the client waits, in ms.
        client_timeout_ms: u64,
    },
    /// A client has resent a request because its reused connection ended before any byte of the response.
    RequestResent {
        /// The request's id.
        id: String,
        /// The gateway it was sent to.
        gateway: usize,
    },
    /// A client has read a complete response.
    ResponseReceived {
        /// The request's id.
        id: String,
        /// The status.
        status: u16,
        /// The body.
        body: String,
        /// Whether it has a `Retry-After`.
        has_retry_after: bool,
    },
    /// A client has closed its connection without waiting for the response.
    ClientDisconnected {
        /// The request's id.
        id: String,
    },
    /// A client would use another gateway: its connection ended before any byte of a response, and this gateway accepts no new one.
    RequestMoved {
        /// The request's id.
        id: String,
    },
    /// A host has read the deadline that a gateway forwarded.
    DeadlineForwarded {
        /// The request's id.
        id: String,
        /// When its first byte came, in µs.
        first_byte_at_us: u64,
        /// The remaining time according to the gateway, in ms.
        remaining_ms: u64,
    },
    /// A client's connection ended or its timeout expired without a complete response.
    ResponseMissing {
        /// The request's id.
        id: String,
        /// How the client noticed.
        reason: String,
    },
    /// A host has read a complete request.
    RequestReceived {
        /// The request's id.
        id: String,
        /// The host.
        host: usize,
        /// The gateway that it came from.
        gateway: usize,
        /// When its first byte came, in µs.
        first_byte_at_us: u64,
        /// Whether the host processed it, rather than rejected it.
        processed: bool,
    },
    /// A host has created a response.
    ResponseCreated {
        /// The request's id.
        id: String,
        /// The host.
        host: usize,
        /// The response's body.
        body: String,
    },
    /// Discovery has sent a host's state to a gateway.
    EndpointStateSent {
        /// The gateway.
        gateway: usize,
        /// The host.
        host: usize,
        /// Whether the host accepts new requests.
        serving: bool,
    },
    /// A host has started and is in slow start.
    ServerStarted {
        /// The host.
        host: usize,
    },
    /// A fault of the gateway's process or of the link from its clients has begun: they cannot expect responses.
    GatewayFaulted {
        /// The gateway.
        gateway: usize,
        /// The fault.
        description: String,
    },
    /// That fault has ended.
    GatewayRecovered {
        /// The gateway.
        gateway: usize,
    },
    /// A gateway cannot read from discovery any more: it is stopped, or its link is faulty.
    DiscoveryCut {
        /// The gateway.
        gateway: usize,
    },
    /// It can read from discovery again.
    DiscoveryRestored {
        /// The gateway.
        gateway: usize,
    },
    /// Any other fault, for diagnosis.
    FaultInjected {
        /// The fault.
        description: String,
    },
    /// A gateway applies a rule from now on, or none.
    RuleApplied {
        /// The gateway.
        gateway: usize,
        /// What the rule governs, for instance a tenant's quota.
        subject: String,
        /// The rule's text.
        rule: Option<String>,
    },
    /// A member has become unavailable or available.
    AvailabilityChanged {
        /// The member's name.
        member: String,
        /// Whether it is unavailable now.
        unavailable: bool,
    },
    /// A gateway has admitted a request of a tenant.
    RequestAdmitted {
        /// The tenant.
        tenant: String,
    },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// Time since the run's start, in µs.
    pub at_us: u64,
    /// What happened.
    pub kind: EventKind,
}

/// How many requests of a history ended in which way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests sent.
    pub sent: usize,
    /// Responses of 200.
    pub served: usize,
    /// Rejections: 429 or 503.
    pub rejected: usize,
    /// All other complete responses.
    pub failed: usize,
    /// Requests without a complete response.
    pub unanswered: usize,
}

impl Counts {
    /// Counts the events of a history or of a part of it.
    pub fn of(history: &[Event]) -> Self {
        let mut counts = Counts::default();
        for event in history {
            match event.kind {
                EventKind::RequestSent { .. } => counts.sent += 1,
                EventKind::ResponseReceived { status: 200, .. } => counts.served += 1,
                EventKind::ResponseReceived { status: 429 | 503, .. } => counts.rejected += 1,
                EventKind::ResponseReceived { .. } => counts.failed += 1,
                EventKind::ResponseMissing { .. } => counts.unanswered += 1,
                _ => {}
            }
        }
        counts
    }

    /// All complete responses.
    pub fn answered(&self) -> usize {
        self.served + self.rejected + self.failed
    }
}

/// Records the events of a run; clones share one history.
#[derive(Clone, Debug)]
pub struct HistoryRecorder {
    start: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Default for HistoryRecorder {
    fn default() -> Self {
        HistoryRecorder { start: Instant::now(), events: Arc::default() }
    }
}

impl HistoryRecorder {
    fn lock(&self) -> MutexGuard<'_, Vec<Event>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the start, in µs.
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Records an event at the current time.
    pub fn record(&self, kind: EventKind) {
        let mut events = self.lock();
        // Read under the lock, so that times never decrease.
        let at_us = self.now_us();
        events.push(Event { at_us, kind });
    }

    /// Removes and returns all events, in order.
    pub fn take(&self) -> Vec<Event> {
        std::mem::take(&mut self.lock())
    }

    /// The position after the last event, for [`HistoryRecorder::since`]; `take` resets it to 0.
    pub fn position(&self) -> usize {
        self.lock().len()
    }

    /// The events from a position on.
    pub fn since(&self, position: usize) -> Vec<Event> {
        self.lock().iter().skip(position).cloned().collect()
    }
}
