//! The invariants that a site of gateways must keep, checked against a recorded history.
//!
//! Each check reads only the events of a run and the [`Guarantees`] of the site, so that a faulty gateway
//! cannot hide a violation. `responses` covers the responses that clients read, `attempts` the attempts of
//! one request, `placement` draining hosts, slow start and rate limits, and `configuration` whether gateways
//! agree.
mod attempts;
mod configuration;
mod outages;
mod placement;
mod responses;

use crate::history::Event;

/// Microseconds in a millisecond: histories are in µs, guarantees in ms.
const US_PER_MS: u64 = 1000;

/// Whether a request of a class may reach servers more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A request may reach servers any number of times.
    Idempotent,
    /// Servers drop requests with an idempotency key that they have seen within the deduplication window.
    IdempotentWithKey {
        /// Time after the first attempt in which a request may be retried, in ms.
        window_ms: u64,
    },
    /// A request may reach servers only once.
    NonIdempotent,
}

/// A limit on the number of requests in any window of a fixed length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowLimit {
    /// Length of the window, in ms.
    pub window_ms: u64,
    /// Maximum number of requests in a window.
    pub max_requests: usize,
}

/// The rate limit of a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantLimit {
    /// Name of the tenant.
    pub tenant: String,
    /// Limit on the tenant's admitted requests, over all gateways.
    pub limit: WindowLimit,
}

/// The bounds that a site's settings guarantee.
#[derive(Clone, Debug)]
pub struct Guarantees {
    /// Service classes by name. A request of any other class counts as non-idempotent.
    pub classes: Vec<(String, Idempotency)>,
    /// Maximum number of attempts of a request, the first attempt included.
    pub max_attempts: usize,
    /// Time after the client's timeout within which a response must arrive, in ms.
    pub response_slack_ms: u64,
    /// Time in which a draining host may still receive new requests after the gateway was notified, in ms.
    pub drain_grace_ms: u64,
    /// Limit on the requests that a host receives during slow start, which lasts one window from the host's
    /// start. `None` if slow start is not checked.
    pub slow_start: Option<WindowLimit>,
    /// Time in which a request may still reach a host after the client has disconnected, in ms. `None` where
    /// links delay data, because the time of arrival then does not show when the attempt began.
    pub disconnect_slack_ms: Option<u64>,
    /// Time by which the deadline forwarded to a host may exceed the time that the client has left, in ms.
    /// `None` where links delay data.
    pub deadline_slack_ms: Option<u64>,
    /// Time in which gateways may apply contradictory rules, in ms.
    pub contradiction_ms: u64,
    /// Maximum number of members that may be unavailable at the same time.
    pub max_unavailable: usize,
    /// Rate limits of tenants; a tenant without a limit is not checked.
    pub rate_limits: Vec<TenantLimit>,
}

/// An invariant that a site of gateways must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A request gets a response if no fault affects its gateway or the link from the clients to the gateway.
    Answered,
    /// A request gets at most one response.
    AnsweredOnce,
    /// A response arrives within the client's timeout plus the response slack.
    InTime,
    /// The body of a response with status 200 is identical to the body that a host created for the same
    /// request.
    BodyUnchanged,
    /// A request that a host has processed is retried only as the request's class permits.
    Idempotency,
    /// No attempt begins after the client has disconnected.
    NoAttemptAfterDisconnect,
    /// The deadline forwarded to a host is not later than the client's.
    ForwardedDeadline,
    /// A draining host receives no new request after the grace period.
    Draining,
    /// A response with status 429 or 503 has a `Retry-After` field.
    RetryAfter,
    /// A host in slow start receives no more requests than its limit.
    SlowStart,
    /// Gateways apply contradictory rules for at most the permitted time.
    Agreement,
    /// The number of members that are unavailable at the same time is limited.
    MaxUnavailable,
    /// No more requests of a tenant are admitted than its rate limit permits.
    RateLimit,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Invariant that was violated.
    pub invariant: Invariant,
    /// Time of the violation, in µs since the start of the run.
    pub at_us: u64,
    /// Text that says what was observed, with the request's id if there is one.
    pub description: String,
}

impl Violation {
    fn new(invariant: Invariant, at_us: u64, description: String) -> Self {
        Violation { invariant, at_us, description }
    }
}

/// A function that checks one or several invariants and appends their violations.
type InvariantCheck = fn(&[Event], &Guarantees, &mut Vec<Violation>);

const CHECKS: [InvariantCheck; 11] = [
    responses::check_answered,
    responses::check_body_unchanged,
    attempts::check_idempotency,
    attempts::check_disconnects,
    attempts::check_deadlines,
    placement::check_draining,
    responses::check_retry_after,
    placement::check_slow_start,
    configuration::check_agreement,
    configuration::check_unavailable,
    placement::check_rate_limits,
];

/// Returns all violations in a history, ordered by time.
pub fn check(history: &[Event], guarantees: &Guarantees) -> Vec<Violation> {
    let mut found = Vec::new();
    CHECKS.iter().for_each(|check| check(history, guarantees, &mut found));
    found.sort_by_key(|violation| violation.at_us);
    found
}
