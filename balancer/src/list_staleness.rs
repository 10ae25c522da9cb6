//! Staleness of the endpoint list: how long the list may be acted on without word from discovery.
//!
//! Rule: where a drain counts from the time at which discovery has it, whether or not it has reached this
//! gateway, a list is acted on only as long as no drain can be older than the grace period. The list is
//! fresh as of the latest time for which it is known that discovery had nothing else to report, and becomes
//! stale one lifetime later:
//!
//! - A cached list is fresh as of the start of the process. Polls that discovery leaves unanswered prove
//!   nothing then, because discovery may have had a change before the process started.
//! - A list that discovery has confirmed is fresh as of the latest confirmation. An unanswered poll shows
//!   that discovery has been out of reach since the poll began, so that the list is fresh as of that time.
//! - After a move to another discovery instance the list is unconfirmed again, as a cached list is. The
//!   changes of the new instance count some seconds after the move.
//!
//! No attempt is sent on a stale list.

use crate::event::DiscoveryReport;
use crate::settings::Settings;

/// Longest time between the decision to send an attempt and the attempt's first byte, in ms: the process may
/// be preempted in between.
const MAX_SEND_DELAY_MS: f64 = 150.0;

/// Shortest lifetime of a list, in ms, because discovery cannot be polled at any rate.
const MIN_LIFETIME_MS: f64 = 100.0;

/// Longest lifetime of a list, in ms: a day.
const MAX_LIFETIME_MS: f64 = 86_400_000.0;

/// Time after a move to another discovery instance from which that instance's changes count, in ms.
const MOVE_NOTICE_MS: f64 = 4000.0;

/// Returns for how long a list may be acted on after the latest time as of which it is fresh, in ms; `None`
/// if lists don't become stale.
pub(crate) fn lifetime_ms(settings: &Settings) -> Option<f64> {
    let grace_ms = settings.drain_grace_ms?;
    Some((grace_ms - MAX_SEND_DELAY_MS).clamp(MIN_LIFETIME_MS, MAX_LIFETIME_MS))
}

/// A change between fresh and stale that has not been logged yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StalenessChange {
    /// The list has become stale.
    BecameStale,
    /// The list is fresh again, after it was stale for this time, in ms.
    BecameFresh { after_ms: f64 },
}

/// The staleness of the endpoint list.
#[derive(Debug)]
pub(crate) struct ListStaleness {
    lifetime_ms: Option<f64>,
    /// Whether the present discovery instance has confirmed the list.
    is_confirmed: bool,
    fresh_as_of_ms: f64,
    /// Time at which the list was found to be stale, in ms; `None` while it is fresh.
    stale_since_ms: Option<f64>,
}

impl ListStaleness {
    /// Creates the state before the first list.
    pub fn new(settings: &Settings) -> Self {
        ListStaleness {
            lifetime_ms: lifetime_ms(settings),
            is_confirmed: false,
            fresh_as_of_ms: f64::INFINITY,
            stale_since_ms: None,
        }
    }

    /// Records that the cached list was loaded by a process that started at `started_at_ms`.
    pub fn on_cached_list(&mut self, started_at_ms: f64) {
        self.is_confirmed = false;
        self.fresh_as_of_ms = started_at_ms;
    }

    /// Records what a poll of discovery, or a move to another instance, shows about the list.
    pub fn on_report(&mut self, report: DiscoveryReport) {
        match report {
            DiscoveryReport::Confirmed { as_of_ms } if self.is_confirmed => self.extend_to(as_of_ms),
            DiscoveryReport::Confirmed { as_of_ms } => {
                self.is_confirmed = true;
                self.fresh_as_of_ms = as_of_ms;
            }
            DiscoveryReport::OutOfReach { as_of_ms } if self.is_confirmed => self.extend_to(as_of_ms),
            DiscoveryReport::Moved { at_ms } if self.is_confirmed => {
                self.is_confirmed = false;
                self.fresh_as_of_ms = at_ms + MOVE_NOTICE_MS;
            }
            DiscoveryReport::OutOfReach { .. } | DiscoveryReport::Moved { .. } => {}
        }
    }

    fn extend_to(&mut self, as_of_ms: f64) {
        self.fresh_as_of_ms = self.fresh_as_of_ms.max(as_of_ms);
    }

    /// Returns when the list becomes stale, in ms; `None` if lists don't become stale.
    pub fn stale_at_ms(&self) -> Option<f64> {
        self.lifetime_ms.map(|lifetime_ms| self.fresh_as_of_ms + lifetime_ms)
    }

    /// Returns whether the list is too old to be acted on.
    pub fn is_stale(&self, now_ms: f64) -> bool {
        self.stale_at_ms().is_some_and(|stale_at_ms| stale_at_ms <= now_ms)
    }

    /// Returns when the balancer has to wake to find the list stale, in ms; `None` if that is not ahead.
    pub fn wake_at_ms(&self, now_ms: f64) -> Option<f64> {
        self.stale_at_ms().filter(|stale_at_ms| *stale_at_ms > now_ms && stale_at_ms.is_finite())
    }

    /// Returns the change since the last call, if there is one.
    pub fn take_change(&mut self, now_ms: f64) -> Option<StalenessChange> {
        match (self.stale_since_ms, self.is_stale(now_ms)) {
            (None, true) => {
                self.stale_since_ms = Some(now_ms);
                Some(StalenessChange::BecameStale)
            }
            (Some(since_ms), false) => {
                self.stale_since_ms = None;
                Some(StalenessChange::BecameFresh { after_ms: now_ms - since_ms })
            }
            _ => None,
        }
    }
}
