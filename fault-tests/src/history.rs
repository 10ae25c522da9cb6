//! The history of a run: the observations of clients, hosts and discovery and the injected faults, with times
//! of a single clock.
use serde::Serialize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The kind of an event, with the data of its kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum EventKind {
    /// A client has written a complete request.
    RequestSent {
        /// Id of the request.
        id: String,
        /// Service class of the request.
        class: String,
        /// Index of the gateway that the request was sent to.
        gateway: usize,
        /// Time that the client waits for the response, in ms.
        client_timeout_ms: u64,
    },
    /// A client has resent a request over a new connection, because the reused connection ended before any
    /// byte of the response.
    RequestResent {
        /// Id of the request.
        id: String,
        /// Index of the gateway that the request was sent to.
        gateway: usize,
    },
    /// A client has read a complete response.
    ResponseReceived {
        /// Id of the request.
        id: String,
        /// HTTP status code.
        status: u16,
        /// Body of the response; bytes that are not UTF-8 are replaced.
        body: String,
        /// Whether the response has a `Retry-After` field.
        has_retry_after: bool,
    },
    /// A client has closed its connection without waiting for the response.
    ClientDisconnected {
        /// Id of the request.
        id: String,
    },
    /// A client would send its request to another gateway, because its connection ended before any byte of
    /// the response and the gateway accepts no new connection.
    RequestMoved {
        /// Id of the request.
        id: String,
    },
    /// A host has read the deadline that a gateway forwarded.
    DeadlineForwarded {
        /// Id of the request.
        id: String,
        /// Arrival of the request's first byte, in µs since the start of the run.
        first_byte_at_us: u64,
        /// Time left for the request according to the gateway, in ms.
        remaining_ms: u64,
    },
    /// A client's connection ended or its timeout expired without a complete response.
    ResponseMissing {
        /// Id of the request.
        id: String,
        /// Text that says how the client noticed.
        reason: String,
    },
    /// A host has read a complete request.
    RequestReceived {
        /// Id of the request.
        id: String,
        /// Index of the host.
        host: usize,
        /// Index of the gateway that forwarded the request.
        gateway: usize,
        /// Arrival of the request's first byte, in µs since the start of the run.
        first_byte_at_us: u64,
        /// Whether the host processed the request rather than rejected it.
        processed: bool,
    },
    /// A host has created a response.
    ResponseCreated {
        /// Id of the request.
        id: String,
        /// Index of the host.
        host: usize,
        /// Body of the response.
        body: String,
    },
    /// Discovery has sent a host's state to a gateway, or a gateway has started with this state in its
    /// configuration.
    EndpointStateSent {
        /// Index of the gateway.
        gateway: usize,
        /// Index of the host.
        host: usize,
        /// Whether the host accepts new requests.
        serving: bool,
    },
    /// A host has started and is in slow start.
    ServerStarted {
        /// Index of the host.
        host: usize,
    },
    /// A fault of a gateway's process or of the link from its clients has begun; its clients cannot expect
    /// responses until [`EventKind::GatewayRecovered`].
    GatewayFaulted {
        /// Index of the gateway.
        gateway: usize,
        /// Text that describes the fault.
        description: String,
    },
    /// The fault of [`EventKind::GatewayFaulted`] has ended.
    GatewayRecovered {
        /// Index of the gateway.
        gateway: usize,
    },
    /// A gateway can no longer read from discovery, because its process is stopped or its link is faulty.
    DiscoveryCut {
        /// Index of the gateway.
        gateway: usize,
    },
    /// The gateway can read from discovery again after [`EventKind::DiscoveryCut`].
    DiscoveryRestored {
        /// Index of the gateway.
        gateway: usize,
    },
    /// A step of a fault schedule begins or ends. The event is recorded for diagnosis, and no invariant reads
    /// the event.
    FaultInjected {
        /// Text that describes the fault.
        description: String,
    },
    /// A gateway applies a new rule from this time on, or has dropped its rule.
    RuleApplied {
        /// Index of the gateway.
        gateway: usize,
        /// Name of what the rule governs, for instance a tenant's quota.
        subject: String,
        /// Text of the rule; `None` if the gateway applies no rule to the subject.
        rule: Option<String>,
    },
    /// A member has become unavailable or available.
    AvailabilityChanged {
        /// Name of the member.
        member: String,
        /// Whether the member is unavailable from this time on.
        unavailable: bool,
    },
    /// A gateway has admitted a request of a tenant.
    RequestAdmitted {
        /// Name of the tenant.
        tenant: String,
    },
}

/// An event of a run and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// Time since the run's start, in µs.
    pub at_us: u64,
    /// Kind and data of the event.
    pub kind: EventKind,
}

/// Numbers of requests of a history by the way in which they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that were sent.
    pub sent: usize,
    /// Responses with status 200.
    pub served: usize,
    /// Responses with status 429 or 503.
    pub rejected: usize,
    /// Complete responses with any other status.
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

    /// Returns the number of complete responses, whatever their status.
    pub fn answered(&self) -> usize {
        self.served + self.rejected + self.failed
    }
}

/// A recorder of the events of a run. Clones share one history and one clock.
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

    /// Returns the time since the recorder was created, in µs.
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Records an event at the current time.
    pub fn record(&self, kind: EventKind) {
        let mut events = self.lock();
        // The clock is read while the history is locked, so that the times of events never decrease.
        let at_us = self.now_us();
        events.push(Event { at_us, kind });
    }

    /// Removes and returns all events, in order.
    pub fn take(&self) -> Vec<Event> {
        std::mem::take(&mut self.lock())
    }

    /// Returns the position after the last event, for [`HistoryRecorder::since`]. [`HistoryRecorder::take`]
    /// resets the position to 0.
    pub fn position(&self) -> usize {
        self.lock().len()
    }

    /// Returns copies of the events from a position on.
    pub fn since(&self, position: usize) -> Vec<Event> {
        self.lock().iter().skip(position).cloned().collect()
    }
}
