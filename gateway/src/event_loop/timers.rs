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

/// The position of a pending timer: the time at which it is due, and its number.
pub(super) type TimerKey = (Instant, u64);

/// The pending timers. Timers due at the same instant fire in the order in which they were set.
#[derive(Debug, Default)]
pub(super) struct Timers {
    by_due_time: BTreeMap<TimerKey, Timer>,
    last_sequence: u64,
}

impl Timers {
    pub(super) fn set(&mut self, due_at: Instant, timer: Timer) -> TimerKey {
        self.last_sequence += 1;
        let key = (due_at, self.last_sequence);
        self.by_due_time.insert(key, timer);
        key
    }

    /// Removes a timer that is not needed any more. Does nothing if the timer has fired.
    pub(super) fn cancel(&mut self, key: TimerKey) {
        self.by_due_time.remove(&key);
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
