//! The rule that decides whether an attempt may begin: checked when the balancer asks for it, and again before its first
//! byte is written, since the first result may no longer hold. No I/O and no clock.
//!
//! Which requests are retried is the balancer's decision (`balancer/src/retry.rs`). This module is an independent second
//! check of it: it shares only the settings' types with the balancer and works on the event loop's own record of the attempts.
//! An attempt that it denies is not sent, whatever the balancer has asked for. A fault in the balancer's bookkeeping could
//! otherwise run a request twice, which nothing undoes. A denial that the balancer should have foreseen counts as a violated
//! [`Invariant`].
use crate::invariants::Invariant;
use ternstack_balancer::{DeduplicationScope, Idempotency, RequestClass};
use tokio::time::Instant;

/// The parts of an endpoint's place that bound the deduplication of requests with an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLocality {
    /// The zone, in the gateway's own numbering.
    pub zone: u32,
    /// The cell.
    pub cell: u32,
}

/// An attempt of the request that was sent before.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// The locality of its endpoint.
    pub locality: EndpointLocality,
    /// For a class that is idempotent with a key: until when endpoints drop a retry of it as a duplicate.
    pub deduplicated_until: Option<Instant>,
    /// It may have run at its endpoint.
    pub may_have_run: bool,
    /// It has not ended yet.
    pub in_flight: bool,
}

/// Why an attempt may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request has its response, or its client has disconnected.
    RequestClosed,
    /// The time at which it would be given up has passed.
    DeadlinePassed,
    /// The endpoint has no address, or is not in service.
    EndpointUnavailable,
    /// The request has had its maximum number of attempts.
    NoAttemptsLeft,
    /// Another attempt of the request is in flight.
    AttemptInFlight,
    /// The request may have run, and its class is not idempotent.
    MayHaveRun,
    /// The request may have run, and endpoints no longer drop a retry as a duplicate.
    DeduplicationOver,
    /// The request may have run at an endpoint that shares no deduplication with this one.
    OutsideDeduplicationScope,
}

impl Denial {
    /// The invariant that the balancer has violated by asking for the attempt; `None` where its events were still on their way.
    pub fn violates(self) -> Option<Invariant> {
        match self {
            Denial::RequestClosed
            | Denial::DeadlinePassed
            | Denial::EndpointUnavailable
            | Denial::DeduplicationOver => None,
            Denial::NoAttemptsLeft => Some(Invariant::AttemptLimit),
            Denial::AttemptInFlight => Some(Invariant::OneAttemptInFlight),
            Denial::MayHaveRun => Some(Invariant::NonIdempotentRunsOnce),
            Denial::OutsideDeduplicationScope => Some(Invariant::DeduplicationScope),
        }
    }
}

/// A request's next attempt, when the balancer asks for it.
#[derive(Debug)]
pub struct NextAttempt<'a> {
    /// The request's class.
    pub class: &'a RequestClass,
    /// The attempts sent before, in order.
    pub prior_attempts: &'a [PriorAttempt],
    /// The maximum number of attempts.
    pub max_attempts: usize,
    /// The client still waits for the response.
    pub client_waits: bool,
    /// When the attempt will be given up.
    pub give_up_at: Instant,
    /// The locality of its endpoint; `None` if the endpoint has no address.
    pub locality: Option<EndpointLocality>,
}

impl NextAttempt<'_> {
    /// Whether it may begin now.
    ///
    /// # Errors
    /// The first reason against it.
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
            (Idempotency::IdempotentWithKey, Some(first)) => self.check_retry(first, locality, now),
        }
    }

    fn check_retry(
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

/// An attempt just before its first byte is written.
#[derive(Clone, Copy, Debug)]
pub struct FirstByte {
    /// When the attempt will be given up.
    pub give_up_at: Instant,
    /// For a retry of a request with an idempotency key: when it must have been sent completely.
    pub send_by: Option<Instant>,
    /// Its endpoint is in service, in the incarnation that was picked.
    pub endpoint_in_service: bool,
    /// The attempt has been cancelled.
    pub is_cancelled: bool,
}

impl FirstByte {
    /// Whether it may be written now.
    ///
    /// # Errors
    /// The first reason against it.
    pub fn check(&self, now: Instant) -> Result<(), Denial> {
        if self.is_cancelled {
            return Err(Denial::RequestClosed);
        }
        if !self.endpoint_in_service {
            return Err(Denial::EndpointUnavailable);
        }
        if self.give_up_at <= now {
            return Err(Denial::DeadlinePassed);
        }
        match self.send_by {
            Some(by) if by <= now => Err(Denial::DeduplicationOver),
            _ => Ok(()),
        }
    }
}
