//! One history of a run: what clients, hosts and discovery saw, and what the rig did, on one clock.
use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum What {
    /// A client has written a message's last byte.
    Asked {
        /// Its id.
        id: String,
        /// Its class.
        class: String,
        /// The gateway that it went to.
        gateway: usize,
        /// How long the client waits, in ms.
        patience_ms: u64,
    },
    /// A client has written a message once more, as its connection ended before a byte of the answer came.
    Again {
        /// The message.
        id: String,
        /// The gateway that it went to.
        gateway: usize,
    },
    /// A client has read a whole final answer.
    Answered {
        /// The message.
        id: String,
        /// The status.
        status: u16,
        /// The body.
        body: String,
        /// Whether it says when to come back.
        advice: bool,
    },
    /// A client closes its connection while its message is open.
    Left {
        /// The message.
        id: String,
    },
    /// A client takes its message elsewhere: its connection ended before a byte of an answer, and the gateway accepts nobody.
    Moved {
        /// The message.
        id: String,
    },
    /// A host was told how long its gateway waits.
    ToldTime {
        /// The message.
        id: String,
        /// When its first byte came, in µs.
        first_us: u64,
        /// The time that it was told, in ms.
        left_ms: u64,
    },
    /// A client's connection ended, or its time was up, with no whole answer.
    Unanswered {
        /// The message.
        id: String,
        /// How that showed.
        how: String,
    },
    /// A host has read a message whole.
    Arrived {
        /// The message.
        id: String,
        /// The host.
        host: usize,
        /// The gateway that it came from.
        gateway: usize,
        /// When its first byte came, in µs.
        first_us: u64,
        /// Whether it ran, or was turned away.
        ran: bool,
    },
    /// A host has made an answer.
    Made {
        /// The message.
        id: String,
        /// The host.
        host: usize,
        /// The answer's body.
        body: String,
    },
    /// Discovery has written a host's state to a gateway.
    Told {
        /// The gateway.
        gateway: usize,
        /// The host.
        host: usize,
        /// Whether it takes new work.
        serving: bool,
    },
    /// A host has started, cold.
    Started {
        /// The host.
        host: usize,
    },
    /// From here on the gateway's clients cannot expect answers: its process or the way to it is broken.
    Broken {
        /// The gateway.
        gateway: usize,
        /// What the rig did.
        words: String,
    },
    /// From here on they can again.
    Healed {
        /// The gateway.
        gateway: usize,
    },
    /// A gateway can read nothing of discovery from here on: it stands still, or the way is broken.
    Deaf {
        /// The gateway.
        gateway: usize,
    },
    /// It hears discovery again.
    Hears {
        /// The gateway.
        gateway: usize,
    },
    /// Any other fault, for the reader.
    Fault {
        /// What the rig did.
        words: String,
    },
    /// A gateway acts by a rule from here on; `None` where it acts by none.
    Acts {
        /// The gateway.
        gateway: usize,
        /// What the rule is about: a tenant's quota, a host's place in the list.
        about: String,
        /// What it says.
        rule: Option<String>,
    },
    /// Something is out of service from here on, or back.
    Out {
        /// What.
        member: String,
        /// Whether it is out.
        out: bool,
    },
    /// A gateway lets a message of a tenant through.
    Admitted {
        /// The tenant.
        tenant: String,
    },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// Since the run's start, in µs.
    pub at_us: u64,
    /// What happened.
    pub what: What,
}

/// What became of the messages of a history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages sent.
    pub asked: usize,
    /// Answers of 200.
    pub served: usize,
    /// Back-off answers.
    pub refused: usize,
    /// All other whole answers.
    pub failed: usize,
    /// Messages that ended without one.
    pub unanswered: usize,
}

impl Counts {
    /// Counts a history, or a part of one.
    pub fn of(history: &[Event]) -> Self {
        let mut counts = Counts::default();
        for event in history {
            match event.what {
                What::Asked { .. } => counts.asked += 1,
                What::Answered { status: 200, .. } => counts.served += 1,
                What::Answered { status: 429 | 503, .. } => counts.refused += 1,
                What::Answered { .. } => counts.failed += 1,
                What::Unanswered { .. } => counts.unanswered += 1,
                _ => {}
            }
        }
        counts
    }

    /// All whole answers.
    pub fn answered(&self) -> usize {
        self.served + self.refused + self.failed
    }
}

/// What all parts of a rig write into.
#[derive(Clone, Debug)]
pub struct Book {
    start: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Default for Book {
    fn default() -> Self {
        Book { start: Instant::now(), events: Arc::default() }
    }
}

impl Book {
    /// Time since the start, in µs.
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Writes down what happens now.
    pub fn note(&self, what: What) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        // Under the lock, so that the times never go back.
        let at_us = self.now_us();
        events.push(Event { at_us, what });
    }

    /// All that has happened since the last call, in order.
    pub fn take(&self) -> Vec<Event> {
        std::mem::take(&mut self.events.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// How many events there are since the last `take`.
    pub fn mark(&self) -> usize {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// What has happened since such a mark.
    pub fn since(&self, mark: usize) -> Vec<Event> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).iter().skip(mark).cloned().collect()
    }
}
