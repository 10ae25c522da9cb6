//! Wake-ups: the timer that the balancer requests from the gateway.
//!
//! Rule: the balancer wakes at every interval while requests are pending, less often where it sends health
//! checks, when discovery is due, and when the endpoint list becomes stale. If a wake-up is needed earlier
//! than the one already requested, an additional timer is requested.

/// Interval at which pending requests are tried; the tick if that is longer.
pub(crate) const WAKE_INTERVAL_MS: f64 = 10.0;

/// Time between wake-ups for health checks while no requests are pending, in wake intervals.
const IDLE_WAKE_INTERVALS: f64 = 20.0;

/// The next requested wake-up of the balancer.
#[derive(Debug)]
pub(crate) struct WakeUp {
    tick_ms: f64,
    next_at_ms: f64,
}

/// The reasons for which the balancer has to wake.
pub(crate) struct WakeReasons {
    /// Whether requests are pending.
    pub has_pending: bool,
    /// Whether health checks are enabled.
    pub has_health_checks: bool,
    /// Time at which discovery is to be watched or polled next, in ms, if scheduled.
    pub discovery_due_at_ms: Option<f64>,
    /// Time at which the endpoint list becomes stale, in ms, if that is ahead.
    pub list_stale_at_ms: Option<f64>,
}

impl WakeUp {
    /// Creates the state before the first requested wake-up; `tick_ms` is the shortest time between two
    /// batches of events.
    pub fn new(tick_ms: f64) -> Self {
        WakeUp { tick_ms, next_at_ms: f64::INFINITY }
    }

    /// Records that a timer has fired. A timer that fires early by a rounding error counts as due, because
    /// no other timer would follow.
    pub fn on_timer(&mut self, now_ms: f64) {
        if self.next_at_ms <= now_ms + self.tick_ms {
            self.next_at_ms = f64::INFINITY;
        }
    }

    /// Returns the time of a timer that has to be requested, in ms, or `None` if an earlier or equal one
    /// has been requested.
    pub fn schedule(&mut self, now_ms: f64, reasons: &WakeReasons) -> Option<f64> {
        let intervals = match (reasons.has_pending, reasons.has_health_checks) {
            (true, _) => 1.0,
            (false, true) => IDLE_WAKE_INTERVALS,
            (false, false) => f64::INFINITY,
        };
        let wake_at_ms = now_ms + intervals * WAKE_INTERVAL_MS.max(self.tick_ms);
        let wake_at_ms = wake_at_ms.min(reasons.discovery_due_at_ms.unwrap_or(wake_at_ms));
        let wake_at_ms = wake_at_ms.min(reasons.list_stale_at_ms.unwrap_or(wake_at_ms));
        if wake_at_ms < self.next_at_ms {
            self.next_at_ms = wake_at_ms;
            Some(wake_at_ms)
        } else {
            None
        }
    }
}
