//! When this gateway watches the endpoint list, or polls for it.
//!
//! Rule: all gateways share one discovery, so their polls are spread over time: at the start, when the
//! cached list is loaded, and again after a watch is lost. All of them still fall within a bound, as a list
//! that is not polled in time counts as stale.

use crate::settings::Settings;
use oorandom::Rand64;

/// The shortest pause before watching anew, jittered.
const MIN_RETRY_PAUSE_MS: f64 = 200.0;

/// Mean time between the polls of two gateways.
const POLL_SPACING_MS: f64 = 50.0;

/// All gateways' polls fall within this time.
const MAX_SPREAD_MS: f64 = 2000.0;

/// Polls are spread over at most this fraction of the age that the list may have.
const MAX_SPREAD_AGE_RATIO: f64 = 0.5;

/// A pause is jittered from this fraction of itself up to all of it.
const MIN_JITTER_RATIO: f64 = 0.5;

/// When discovery is due, and whether it has responded.
#[derive(Debug)]
pub(crate) struct Discovery {
    polls: bool,
    spread_ms: f64,
    due_at_ms: Option<f64>,
    has_responded: bool,
}

impl Discovery {
    /// Discovery has not responded yet.
    pub fn new(settings: &Settings) -> Self {
        let other_gateway_count = if settings.poll_discovery { settings.gateway_count - 1 } else { 0 };
        let spread_ms = (POLL_SPACING_MS * f64::from(other_gateway_count))
            .min(settings.max_discovery_age_ms * MAX_SPREAD_AGE_RATIO)
            .min(MAX_SPREAD_MS);
        Discovery { polls: settings.poll_discovery, spread_ms, due_at_ms: None, has_responded: false }
    }

    /// When discovery is to be watched or polled next, if it is.
    pub fn due_at_ms(&self) -> Option<f64> {
        self.due_at_ms
    }

    /// Whether a list has come since the cached one.
    pub fn has_responded(&self) -> bool {
        self.has_responded
    }

    /// A list has come: the cached one, or one of discovery itself.
    pub fn on_list(&mut self, is_cached: bool) {
        self.has_responded = !is_cached;
    }

    /// The cached list is loaded: true if discovery is to be polled at once; else it is scheduled, where it
    /// must be polled for.
    pub fn on_cached_list(&mut self, now_ms: f64, rng: &mut Rand64) -> bool {
        if !self.polls {
            return false;
        }
        let pause_ms = self.spread_ms * rng.rand_float();
        let at_once = pause_ms < MIN_RETRY_PAUSE_MS;
        if !at_once {
            self.due_at_ms = Some(now_ms + pause_ms);
        }
        at_once
    }

    /// A poll failed or the watch broke: schedules the next one.
    pub fn on_watch_lost(&mut self, now_ms: f64, rng: &mut Rand64) {
        let jitter_ratio = MIN_JITTER_RATIO + (1.0 - MIN_JITTER_RATIO) * rng.rand_float();
        self.due_at_ms = Some(now_ms + MIN_RETRY_PAUSE_MS.max(self.spread_ms) * jitter_ratio);
    }

    /// Whether discovery is to be watched or polled now; true once.
    pub fn take_due(&mut self, now_ms: f64) -> bool {
        self.due_at_ms.take_if(|due_at_ms| *due_at_ms <= now_ms).is_some()
    }
}
