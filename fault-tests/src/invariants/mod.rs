//! The invariants that a site of gateways must keep, checked against a recorded history from outside.
//!
//! Each check reads the events of a run and the [`Guarantees`] of the site, and asks no gateway. `responses` covers what
//! clients read, `attempts` what servers receive of one request, `placement` where and how often requests go, and
//! `configuration` whether gateways agree.
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
    /// Any number of times.
    Idempotent,
    /// Servers drop repeats of its idempotency key for a while.
    IdempotentWithKey {
        /// How long after its first attempt a request may be retried, in ms.
        window_ms: u64,
    },
    /// Never.
    NonIdempotent,
}

/// At most so many requests in any window of a length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowLimit {
    /// The window's length, in ms.
    pub window_ms: u64,
    /// The most requests in it.
    pub max_request_count: usize,
}

/// The rate limit of a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantLimit {
    /// The tenant's name.
    pub tenant: String,
    /// How many of its requests are admitted.
    pub limit: WindowLimit,
}

/// The bounds that a site's settings guarantee.
#[derive(Clone, Debug)]
pub struct Guarantees {
    /// The service classes by name. A request of any other class counts as non-idempotent.
    pub classes: Vec<(String, Idempotency)>,
    /// The most attempts of a request, the first one included.
    pub max_attempts: usize,
    /// How long after its client's timeout a response may arrive, in ms.
    pub response_slack_ms: u64,
    /// How long after its drain was notified a host may receive new requests, in ms.
    pub drain_grace_ms: u64,
    /// The most requests that a host receives during slow start, which lasts one window from its start.
    pub slow_start: Option<WindowLimit>,
    /// How long after its client disconnected a request may reach a host, in ms. `None` where links hold back data, so that
    /// the time of an arrival proves nothing.
    pub disconnect_slack_ms: Option<u64>,
    /// By how much the deadline forwarded to a host may exceed the time that the client has left, in ms; `None` as above.
    pub deadline_slack_ms: Option<u64>,
    /// How long gateways may apply contradictory rules, in ms.
    pub contradiction_ms: u64,
    /// The most members that may be unavailable at once.
    pub max_unavailable: usize,
    /// The rate limits.
    pub rate_limits: Vec<TenantLimit>,
}

/// What a site guarantees, one invariant each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A request is answered if its gateway and the link to it work.
    Answered,
    /// A request gets no second response.
    AnsweredOnce,
    /// A response arrives within the client's timeout.
    InTime,
    /// A response of 200 is what a host created for this request, byte for byte.
    BodyUnchanged,
    /// A request that a host may have processed is not retried beyond what its class permits.
    Idempotency,
    /// No attempt begins after the client disconnected.
    NoAttemptAfterDisconnect,
    /// The deadline forwarded to a host is not later than the client's.
    ForwardedDeadline,
    /// A draining host receives no new request after the grace period.
    Draining,
    /// A rejection has a `Retry-After`.
    RetryAfter,
    /// A host in slow start is not overloaded.
    SlowStart,
    /// Gateways do not apply contradictory rules for long.
    Agreement,
    /// Not too many members are unavailable at once.
    MaxUnavailable,
    /// A tenant's rate limit holds.
    RateLimit,
}

/// An invariant that was violated.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// When it was violated, in µs since the run's start.
    pub at_us: u64,
    /// What was observed.
    pub description: String,
}

impl Violation {
    fn new(invariant: Invariant, at_us: u64, description: String) -> Self {
        Violation { invariant, at_us, description }
    }
}

/// Appends the violations of some invariants.
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

/// All violations in a history, ordered by time.
pub fn check(history: &[Event], guarantees: &Guarantees) -> Vec<Violation> {
    let mut found = Vec::new();
    CHECKS.iter().for_each(|check| check(history, guarantees, &mut found));
    found.sort_by_key(|violation| violation.at_us);
    found
}
