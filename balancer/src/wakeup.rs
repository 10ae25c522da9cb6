//! The balancer's one timer.
//!
//! Rule: while requests are pending the balancer wakes at every interval; where it sends health checks,
//! less often; and when discovery is due. An earlier wake-up than the one already requested is requested in
//! addition.

/// Pending requests are tried this often, or every tick where that is longer.
pub(crate) const WAKE_INTERVAL_MS: f64 = 10.0;

/// Without pending requests, health checks are sent once in this many intervals.
const IDLE_INTERVALS_COUNT: f64 = 20.0;

/// When the balancer wakes next.
#[derive(Debug)]
pub(crate) struct WakeUp {
    tick_ms: f64,
    next_at_ms: f64,
}

/// Why the balancer has to wake.
pub(crate) struct WakeReasons {
    /// Requests are pending.
    pub has_pending: bool,
    /// Health checks are sent.
    pub has_health_checks: bool,
    /// When discovery is to be watched or polled next.
    pub discovery_due_at_ms: Option<f64>,
}

impl WakeUp {
    /// No wake-up is requested yet; `tick_ms` is the shortest time between two batches of events.
    pub fn new(tick_ms: f64) -> Self {
        WakeUp { tick_ms, next_at_ms: f64::INFINITY }
    }

    /// A timer has fired. One that fires a rounding error early counts as due: no other timer would follow
    /// it.
    pub fn on_timer(&mut self, now_ms: f64) {
        if self.next_at_ms <= now_ms + self.tick_ms {
            self.next_at_ms = f64::INFINITY;
        }
    }

    /// When a timer must be requested, if none that is due by then has been.
    pub fn schedule(&mut self, now_ms: f64, reasons: &WakeReasons) -> Option<f64> {
        let intervals_count = match (reasons.has_pending, reasons.has_health_checks) {
            (true, _) => 1.0,
            (false, true) => IDLE_INTERVALS_COUNT,
            (false, false) => f64::INFINITY,
        };
        let wake_at_ms = now_ms + intervals_count * WAKE_INTERVAL_MS.max(self.tick_ms);
        let wake_at_ms = wake_at_ms.min(reasons.discovery_due_at_ms.unwrap_or(wake_at_ms));
        if wake_at_ms < self.next_at_ms {
            self.next_at_ms = wake_at_ms;
            Some(wake_at_ms)
        } else {
            None
        }
    }
}
