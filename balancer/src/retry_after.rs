//! Retry-After of rejected requests.
//!
//! Rule: a request over its tenant's limit may be retried once the tenant's rate has decayed to the limit.
//! Any other rejected request should be retried after the longest delay that clients accept: a response to
//! it would have no value any more, or the fleet has no capacity for it. Both delays are limited to what
//! clients accept. The gateway gives the longest delay, too, to requests that it rejects itself (open request
//! limit, spare connection, eviction, shutdown, disconnect).

/// When the client of a rejected request should retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RetryAfter {
    /// After this time, in ms.
    Delay(f64),
    /// After the longest delay that clients accept.
    Longest,
}

impl RetryAfter {
    /// The Retry-After in ms, given the longest that clients accept; 0 where they accept none.
    pub fn limited_ms(self, max_retry_after_ms: f64) -> f64 {
        match self {
            RetryAfter::Delay(delay_ms) => delay_ms.clamp(0.0, max_retry_after_ms),
            RetryAfter::Longest => max_retry_after_ms,
        }
    }
}
