//! The rule that decides whether an attempt may begin. The rule is checked when the balancer asks for the
//! attempt, and again before the first byte is written, because the first result may be out of date by then.
//! This module does no I/O and has no clock.
//!
//! The balancer decides which requests are retried (`balancer/src/retry.rs`). This module is a second,
//! independent check: it shares only the types of the settings with the balancer, and works on the event
//! loop's own record of the attempts. A denied attempt is not sent, because a bug in the balancer could
//! otherwise run a request twice, which cannot be undone. A denial that the balancer should have foreseen
//! counts as a violated [`Invariant`].
use crate::invariants::Invariant;
use ternstack_balancer::{DeduplicationScope, Idempotency, RequestClass};
use tokio::time::Instant;

/// The zone and the cell of an endpoint, which bound the deduplication of requests with an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLocality {
    /// The number of the zone, which this gateway has assigned to the zone's name.
    pub zone: u32,
    /// The number of the cell, as listed by discovery.
    pub cell: u32,
}

/// An earlier attempt of the same request.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// The locality of the attempt's endpoint.
    pub locality: EndpointLocality,
    /// The end of the deduplication window, until which endpoints drop a retry as a duplicate of this
    /// attempt; `None` unless the class is idempotent with a key.
    pub deduplicated_until: Option<Instant>,
    /// Whether the attempt may have run at its endpoint.
    pub may_have_run: bool,
    /// Whether the attempt has not ended yet.
    pub in_flight: bool,
}

/// The reason why an attempt may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request already has a response, or its client has disconnected.
    RequestClosed,
    /// The time at which the attempt would be given up has passed.
    DeadlinePassed,
    /// The endpoint has no address, or is not in service.
    EndpointUnavailable,
    /// The endpoint list has expired, so that the endpoint may be draining.
    ListExpired,
    /// The request has used its maximum number of attempts.
    NoAttemptsLeft,
    /// Another attempt of the request is in flight.
    AttemptInFlight,
    /// The request may have run, and its class is not idempotent.
    MayHaveRun,
    /// The request may have run, and its deduplication window has ended.
    DeduplicationOver,
    /// The request may have run at an endpoint that shares no deduplication with the attempt's endpoint.
    OutsideDeduplicationScope,
}

impl Denial {
    /// Returns the invariant that the balancer has violated by asking for the attempt; `None` if the balancer
    /// may not yet have known of the reason, because the event about it was still queued.
    pub fn violated_invariant(self) -> Option<Invariant> {
        match self {
            Denial::RequestClosed
            | Denial::DeadlinePassed
            | Denial::EndpointUnavailable
            | Denial::ListExpired
            | Denial::DeduplicationOver => None,
            Denial::NoAttemptsLeft => Some(Invariant::AttemptLimit),
            Denial::AttemptInFlight => Some(Invariant::OneAttemptInFlight),
            Denial::MayHaveRun => Some(Invariant::NonIdempotentRunsOnce),
            Denial::OutsideDeduplicationScope => Some(Invariant::DeduplicationScope),
        }
    }
}

/// The next attempt of a request, at the time when the balancer asks for the attempt.
#[derive(Debug)]
pub struct NextAttempt<'a> {
    /// The request's class.
    pub class: &'a RequestClass,
    /// The earlier attempts of the request, in the order sent.
    pub prior_attempts: &'a [PriorAttempt],
    /// The maximum number of attempts of one request.
    pub max_attempts: usize,
    /// Whether the client still waits for the response.
    pub client_waits: bool,
    /// The time at which the attempt will be given up.
    pub give_up_at: Instant,
    /// The locality of the attempt's endpoint; `None` if the endpoint has no address.
    pub locality: Option<EndpointLocality>,
}

impl NextAttempt<'_> {
    /// Checks that the attempt may begin at `now`.
    ///
    /// # Errors
    /// Returns the first reason why the attempt may not begin.
    pub fn check(&self, now: Instant) -> Result<(), Denial> {
        if !self.client_waits {
            return Err(Denial::RequestClosed);
        }
        let locality = self.locality.ok_or(Denial::EndpointUnavailable)?;
        if self.give_up_at <= now {
            return Err(Denial::DeadlinePassed);
        }
        if self.prior_attempts.len() >= self.max_attempts {
            return Err(Denial::NoAttemptsLeft);
        }
        if self.prior_attempts.iter().any(|attempt| attempt.in_flight) {
            return Err(Denial::AttemptInFlight);
        }
        match (self.class.idempotency, self.prior_attempts.iter().find(|attempt| attempt.may_have_run)) {
            (Idempotency::Idempotent, _) | (_, None) => Ok(()),
            (Idempotency::NonIdempotent, Some(_)) => Err(Denial::MayHaveRun),
            (Idempotency::IdempotentWithKey, Some(first)) => self.check_deduplication(first, locality, now),
        }
    }

    fn check_deduplication(
        &self, first: &PriorAttempt, locality: EndpointLocality, now: Instant,
    ) -> Result<(), Denial> {
        let is_in_scope = match self.class.deduplication_scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.locality.zone == locality.zone,
            DeduplicationScope::Cell => first.locality.cell == locality.cell,
        };
        if !is_in_scope {
            return Err(Denial::OutsideDeduplicationScope);
        }
        match first.deduplicated_until {
            Some(end) if now < end => Ok(()),
            _ => Err(Denial::DeduplicationOver),
        }
    }
}

/// An attempt at the time just before its first byte is written.
#[derive(Clone, Copy, Debug)]
pub struct FirstByte {
    /// The time at which the attempt will be given up.
    pub give_up_at: Instant,
    /// The time by which the attempt must have been sent completely, for a retry of a request with an
    /// idempotency key; `None` for other attempts.
    pub send_by: Option<Instant>,
    /// Whether the client has sent more than has been read, so that it may have disconnected.
    pub has_unread_input: bool,
    /// Whether the endpoint is still in service, in the incarnation that the balancer picked.
    pub endpoint_in_service: bool,
    /// The time at which the endpoint list expires; `None` if the list does not expire.
    pub list_expires_at: Option<Instant>,
    /// Whether the attempt has been cancelled.
    pub is_cancelled: bool,
}

impl FirstByte {
    /// Checks that the first byte may be written at `now`.
    ///
    /// # Errors
    /// Returns the first reason why the first byte may not be written.
    pub fn check(&self, now: Instant) -> Result<(), Denial> {
        if self.is_cancelled || self.has_unread_input {
            return Err(Denial::RequestClosed);
        }
        if !self.endpoint_in_service {
            return Err(Denial::EndpointUnavailable);
        }
        if self.list_expires_at.is_some_and(|expires_at| expires_at <= now) {
            return Err(Denial::ListExpired);
        }
        if self.give_up_at <= now {
            return Err(Denial::DeadlinePassed);
        }
        match self.send_by {
            Some(send_by) if send_by <= now => Err(Denial::DeduplicationOver),
            _ => Ok(()),
        }
    }
}
