//! A log line that sums up rejections.

use crate::action::RejectionReason;

/// Rejections are summed up in a line at most this often.
const LOG_INTERVAL_MS: f64 = 5000.0;

/// Rejections since the last line, by reason.
#[derive(Debug, Default)]
pub(crate) struct RejectionLog {
    quota_exceeded_count: u32,
    no_capacity_count: u32,
    too_late_count: u32,
    attempts_failed_count: u32,
    logged_at_ms: f64,
}

/// What a reader of the line needs to tell why requests were rejected.
pub(crate) struct RejectionContext {
    /// How full the fleet is; 1 and more when full.
    pub saturation_ratio: f64,
    /// This gateway's share of the fleet's traffic.
    pub traffic_share_ratio: f64,
    /// The fraction of the requests that goes to other zones.
    pub spillover_ratio: f64,
    /// Requests that wait for capacity.
    pub pending_count: usize,
    /// Endpoints in use that are ejected.
    pub ejected_count: usize,
}

impl RejectionLog {
    /// Counts a rejection.
    pub fn record(&mut self, reason: RejectionReason) {
        let count = match reason {
            RejectionReason::QuotaExceeded => &mut self.quota_exceeded_count,
            RejectionReason::NoCapacity => &mut self.no_capacity_count,
            RejectionReason::TooLate => &mut self.too_late_count,
            RejectionReason::AttemptsFailed => &mut self.attempts_failed_count,
        };
        *count += 1;
    }

    /// Whether a line is due.
    pub fn is_due(&self, now_ms: f64) -> bool {
        let count = self.quota_exceeded_count
            + self.no_capacity_count
            + self.too_late_count
            + self.attempts_failed_count;
        now_ms - self.logged_at_ms >= LOG_INTERVAL_MS && count > 0
    }

    /// The line; counting starts anew.
    pub fn take_line(&mut self, now_ms: f64, context: &RejectionContext) -> String {
        let line = format!(
            "rejected: {} quota exceeded, {} no capacity, {} too late, {} attempts failed; \
             saturation {:.2}, traffic share {:.4}, spillover {:.2}, pending {}, ejected {}",
            self.quota_exceeded_count,
            self.no_capacity_count,
            self.too_late_count,
            self.attempts_failed_count,
            context.saturation_ratio,
            context.traffic_share_ratio,
            context.spillover_ratio,
            context.pending_count,
            context.ejected_count,
        );
        *self = RejectionLog { logged_at_ms: now_ms, ..RejectionLog::default() };
        line
    }
}
