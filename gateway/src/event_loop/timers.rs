//! The event loop's timers, ordered by the time at which they are due.
use std::collections::BTreeMap;
use ternstack_balancer::RequestId;
use tokio::time::Instant;

/// The action that is due when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// The balancer is called with the token that it chose when it set the timer.
    Balancer {
        /// The balancer's token.
        token: u64,
    },
    /// The request is given a response if it has none, because its deadline has passed.
    Deadline(RequestId),
}

/// The pending timers. Timers due at the same instant fire in the order in which they were set.
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

    /// Returns the time at which the next timer is due; `None` if no timer is set.
    pub(super) fn next_due_at(&self) -> Option<Instant> {
        self.by_due_time.first_key_value().map(|((due_at, _), _)| *due_at)
    }

    /// Removes and returns the next timer that is due at `now`.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        let entry = self.by_due_time.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }
}
