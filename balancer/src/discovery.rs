//! The times at which this gateway watches the endpoint list, or polls for it.
//!
//! Rule: all gateways use the same discovery, so that their polls are spread over time, both after the
//! cached list is loaded at the start and after a watch is lost. The spread is bounded, because a list that
//! is not polled in time counts as stale.

use crate::settings::Settings;
use oorandom::Rand64;

/// Shortest delay before a lost watch is started again, before jitter.
const MIN_REWATCH_DELAY_MS: f64 = 200.0;

/// Mean time between the polls of two gateways.
const POLL_SPACING_MS: f64 = 50.0;

/// Upper bound of the time over which the polls of all gateways are spread.
const MAX_SPREAD_MS: f64 = 2000.0;

/// Upper bound of the time over which the polls of all gateways are spread, as a fraction of the age that
/// the endpoint list may have.
const MAX_SPREAD_AGE_RATIO: f64 = 0.5;

/// Lower bound of the random factor that the delay before a lost watch is started again is multiplied by;
/// the upper bound is 1.
const MIN_JITTER_RATIO: f64 = 0.5;

/// The time of the next watch or poll, and whether discovery has sent a list.
#[derive(Debug)]
pub(crate) struct Discovery {
    polls: bool,
    spread_ms: f64,
    due_at_ms: Option<f64>,
    has_responded: bool,
}

impl Discovery {
    /// Creates the rule before the first list.
    pub fn new(settings: &Settings) -> Self {
        let other_gateway_count = if settings.poll_discovery { settings.gateway_count - 1 } else { 0 };
        let spread_ms = (POLL_SPACING_MS * f64::from(other_gateway_count))
            .min(settings.max_discovery_age_ms * MAX_SPREAD_AGE_RATIO)
            .min(MAX_SPREAD_MS);
        Discovery { polls: settings.poll_discovery, spread_ms, due_at_ms: None, has_responded: false }
    }

    /// Returns when discovery is to be watched or polled next, in ms, if a watch or a poll is scheduled.
    pub fn due_at_ms(&self) -> Option<f64> {
        self.due_at_ms
    }

    /// Returns whether discovery has sent a list since the cached one was loaded.
    pub fn has_responded(&self) -> bool {
        self.has_responded
    }

    /// Records that a list was applied: the cached one if `is_cached`, and else one from discovery.
    pub fn on_list(&mut self, is_cached: bool) {
        self.has_responded = !is_cached;
    }

    /// Schedules the first poll after the cached list was loaded, if discovery has to be polled. Returns
    /// whether the poll is to be sent at once instead.
    pub fn on_cached_list(&mut self, now_ms: f64, rng: &mut Rand64) -> bool {
        if !self.polls {
            return false;
        }
        let delay_ms = self.spread_ms * rng.rand_float();
        let at_once = delay_ms < MIN_REWATCH_DELAY_MS;
        if !at_once {
            self.due_at_ms = Some(now_ms + delay_ms);
        }
        at_once
    }

    /// Schedules the next watch or poll after a poll failed or the watch broke.
    pub fn on_watch_lost(&mut self, now_ms: f64, rng: &mut Rand64) {
        let jitter_ratio = MIN_JITTER_RATIO + (1.0 - MIN_JITTER_RATIO) * rng.rand_float();
        self.due_at_ms = Some(now_ms + MIN_REWATCH_DELAY_MS.max(self.spread_ms) * jitter_ratio);
    }

    /// Returns whether a watch or a poll is due, and removes it from the schedule.
    pub fn take_due(&mut self, now_ms: f64) -> bool {
        self.due_at_ms.take_if(|due_at_ms| *due_at_ms <= now_ms).is_some()
    }
}
