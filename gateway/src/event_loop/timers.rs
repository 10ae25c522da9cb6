//! Timers of the event loop, in the order in which they are due.
use std::collections::BTreeMap;
use ternstack_balancer::RequestId;
use tokio::time::Instant;

/// What happens when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// The balancer gets back the token that it set the timer with.
    Balancer {
        /// The balancer's token.
        token: u64,
    },
    /// A request's deadline has passed.
    Deadline(RequestId),
}

/// The timers that are set. Timers due at the same instant fire in the order in which they were set.
#[derive(Debug, Default)]
pub(super) struct Timers {
    by_due_time: BTreeMap<(Instant, u64), Timer>,
    last_sequence: u64,
}

impl Timers {
    pub(super) fn set(&mut self, due_at: Instant, timer: Timer) {
        self.last_sequence += 1;
        self.by_due_time.insert((due_at, self.last_sequence), timer);
    }

    /// When the next timer is due.
    pub(super) fn next_due_at(&self) -> Option<Instant> {
        self.by_due_time.first_key_value().map(|((due_at, _), _)| *due_at)
    }

    /// Takes the next timer that is due at `now`.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        let entry = self.by_due_time.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }
}
