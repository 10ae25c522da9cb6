//! Which requests may be attempted again, where, and how many of them.
//!
//! Rule: a request of which an attempt may have run is retried only if its class is idempotent, or if it
//! has an idempotency key and the retry goes, within the deduplication window, to an endpoint that
//! deduplicates it. Attempts that provably never ran don't count. All retries together stay within a
//! budget.
//!
//! The gateway checks each attempt again, independently of the balancer, before it sends it: `permit.rs` in
//! `gateway/src/`.

use crate::request::Request;
use crate::settings::{DeduplicationScope, Idempotency, RequestClass};
use crate::token_budget::{TokenBudget, TokenRate};
use crate::zone::Locality;

/// Retries may be this fraction of the requests, plus a burst.
const RETRY_RATIO: f64 = 0.15;

/// The most retries that may be sent at once.
const RETRY_BURST_COUNT: f64 = 10.0;

/// A request is retried only if this fraction of its class's typical latency fits before it loses its
/// value.
const RETRY_LATENCY_RATIO: f64 = 0.5;

/// The budget of retries.
pub(crate) fn retry_budget() -> TokenBudget {
    TokenBudget::new(TokenRate { tokens_per_request: RETRY_RATIO, burst_count: RETRY_BURST_COUNT })
}

/// Whether a retry sent now could be in time.
pub(crate) fn is_in_time(now_ms: f64, request: &Request, typical_ms: f64) -> bool {
    now_ms + RETRY_LATENCY_RATIO * typical_ms < request.useful_until_ms
}

/// Whether another attempt does no harm, sent to an endpoint that [`is_in_scope`].
pub(crate) fn may_retry(now_ms: f64, class: &RequestClass, request: &Request) -> bool {
    let Some(first) = request.first_possible_run() else { return true };
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotentWithKey => now_ms < first.sent_at_ms + class.deduplication_window_ms,
        Idempotency::NonIdempotent => false,
    }
}

/// Whether an endpoint there deduplicates a retry of the request, where that is needed.
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

/// Whether only some endpoints are in scope, so that the subset in use may hold none of them.
pub(crate) fn is_bound_to_scope(class: &RequestClass, request: &Request) -> bool {
    class.idempotency == Idempotency::IdempotentWithKey
        && class.deduplication_scope != DeduplicationScope::All
        && request.first_possible_run().is_some()
}
