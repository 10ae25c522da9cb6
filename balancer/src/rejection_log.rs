//! The log line that summarizes rejections.

use crate::action::RejectionReason;

/// Shortest time between two log lines about rejections.
const LOG_INTERVAL_MS: f64 = 5000.0;

/// The number of rejections since the last log line, by reason.
#[derive(Debug, Default)]
pub(crate) struct RejectionLog {
    quota_exceeded_count: u32,
    no_capacity_count: u32,
    too_late_count: u32,
    attempts_failed_count: u32,
    stale_list_count: u32,
    logged_at_ms: f64,
}

/// The state of the gateway that explains the rejections to a reader of the log line.
pub(crate) struct RejectionContext {
    /// Saturation of the fleet; 1 or more if full.
    pub saturation: f64,
    /// This gateway's share of the fleet's traffic, from 0 to 1.
    pub traffic_share: f64,
    /// Fraction of the requests that is sent to other zones, from 0 to 1.
    pub spillover_ratio: f64,
    /// Number of pending requests.
    pub pending_count: usize,
    /// Number of endpoints in use that are ejected.
    pub ejected_count: usize,
}

impl RejectionLog {
    /// Records a rejection.
    pub fn record(&mut self, reason: RejectionReason) {
        let count = match reason {
            RejectionReason::QuotaExceeded => &mut self.quota_exceeded_count,
            RejectionReason::NoCapacity => &mut self.no_capacity_count,
            RejectionReason::TooLate => &mut self.too_late_count,
            RejectionReason::AttemptsFailed => &mut self.attempts_failed_count,
            RejectionReason::StaleEndpointList => &mut self.stale_list_count,
        };
        *count += 1;
    }

    /// Returns whether a log line is due.
    pub fn is_due(&self, now_ms: f64) -> bool {
        let count = self.quota_exceeded_count
            + self.no_capacity_count
            + self.too_late_count
            + self.attempts_failed_count
            + self.stale_list_count;
        now_ms - self.logged_at_ms >= LOG_INTERVAL_MS && count > 0
    }

    /// Returns the log line, and resets the numbers of rejections.
    pub fn take_line(&mut self, now_ms: f64, context: &RejectionContext) -> String {
        let stale_list = match self.stale_list_count {
            0 => String::new(),
            count => format!(", {count} stale endpoint list"),
        };
        let line = format!(
            "rejected: {} quota exceeded, {} no capacity, {} too late, {} attempts failed{stale_list}; \
             saturation {:.2}, traffic share {:.4}, spillover {:.2}, pending {}, ejected {}",
            self.quota_exceeded_count,
            self.no_capacity_count,
            self.too_late_count,
            self.attempts_failed_count,
            context.saturation,
            context.traffic_share,
            context.spillover_ratio,
            context.pending_count,
            context.ejected_count,
        );
        *self = RejectionLog { logged_at_ms: now_ms, ..RejectionLog::default() };
        line
    }
}
