//! Retries: which requests may be retried, at which endpoints, and how often.
//!
//! Rule: a request with an attempt that may have run is retried only if its class is idempotent, or if the
//! request has an idempotency key and the retry is sent, within the deduplication window, to an endpoint
//! that deduplicates it. Attempts that provably never ran don't count. All retries together stay within a
//! budget.
//!
//! Before the gateway sends an attempt, it checks the same rule independently of the balancer, in
//! `gateway/src/permit.rs`.

use crate::request::Request;
use crate::settings::{DeduplicationScope, Idempotency, RequestClass};
use crate::token_budget::{TokenBudget, TokenRate};
use crate::zone::Locality;

/// Upper bound of the mean number of retries per request, apart from a burst.
const RETRY_RATIO: f64 = 0.15;

/// Largest number of retries that may be sent at once.
const RETRY_BURST: f64 = 10.0;

/// Time that must remain for a retry until the response loses value, as a fraction of the class's typical
/// latency.
const RETRY_LATENCY_RATIO: f64 = 0.5;

/// Creates the full budget of retries.
pub(crate) fn retry_budget() -> TokenBudget {
    TokenBudget::new(TokenRate { tokens_per_request: RETRY_RATIO, burst: RETRY_BURST })
}

/// Returns whether a retry that is sent now could get a response while the response is useful.
pub(crate) fn is_in_time(now_ms: f64, request: &Request, typical_ms: f64) -> bool {
    now_ms + RETRY_LATENCY_RATIO * typical_ms < request.useful_until_ms
}

/// Returns whether another attempt is safe, provided that it is sent to an endpoint for which
/// [`is_in_scope`] holds.
pub(crate) fn may_retry(now_ms: f64, class: &RequestClass, request: &Request) -> bool {
    let Some(first) = request.first_possible_run() else { return true };
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotentWithKey => now_ms < first.sent_at_ms + class.deduplication_window_ms,
        Idempotency::NonIdempotent => false,
    }
}

/// Returns whether an endpoint at `locality` deduplicates a retry of the request, or no deduplication is
/// needed.
pub(crate) fn is_in_scope(class: &RequestClass, request: &Request, locality: Locality) -> bool {
    if class.idempotency != Idempotency::IdempotentWithKey {
        return true;
    }
    let Some(first) = request.first_possible_run() else { return true };
    match class.deduplication_scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.locality.zone == locality.zone,
        DeduplicationScope::Cell => first.locality.cell == locality.cell,
    }
}

/// Returns whether only the endpoints of one deduplication scope may get a retry, so that the subset in use
/// may contain none of them.
pub(crate) fn is_bound_to_scope(class: &RequestClass, request: &Request) -> bool {
    class.idempotency == Idempotency::IdempotentWithKey
        && class.deduplication_scope != DeduplicationScope::All
        && request.first_possible_run().is_some()
}
