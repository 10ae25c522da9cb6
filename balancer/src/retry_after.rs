//! Retry-After of rejected requests.
//!
//! Rule: a request over its tenant's limit may be retried once the tenant's rate has decayed to the limit.
//! Any other rejected request should be retried after the longest delay that clients accept, because a
//! response would no longer have any value, or because the fleet has no capacity for the request. Both
//! delays are limited to the longest delay that clients accept. The gateway also sends that longest delay
//! with requests that it rejects without the balancer (limit on open requests, spare connection, eviction,
//! shutdown, disconnect).

/// When the client of a rejected request should retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RetryAfter {
    /// After this time, in ms.
    Delay(f64),
    /// After the longest delay that clients accept.
    Longest,
}

impl RetryAfter {
    /// Returns the Retry-After in ms; 0 if `max_retry_after_ms`, the longest that clients accept, is 0.
    pub fn limited_ms(self, max_retry_after_ms: f64) -> f64 {
        match self {
            RetryAfter::Delay(delay_ms) => delay_ms.clamp(0.0, max_retry_after_ms),
            RetryAfter::Longest => max_retry_after_ms,
        }
    }
}
