//! The open requests: those that have no response yet or still have attempts in flight.
use super::timers::TimerKey;
use crate::correlation_ids::CorrelationIdGuard;
use crate::events::{RawRequest, Request, Response, UnreadInput};
use crate::permit::{Denial, EndpointLocality, NextAttempt, PriorAttempt};
use crate::upstream::Cancellation;
use std::collections::BTreeMap;
use ternstack_balancer::{EndpointId, Idempotency, Outcome, RequestClass, RequestId};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An open request with its attempts.
pub(super) struct OpenRequest {
    /// The index of the request's class in the settings.
    pub(super) class: usize,
    /// The time at which the client stops waiting for the response.
    pub(super) deadline: Instant,
    /// The bytes to forward to an endpoint.
    pub(super) raw: RawRequest,
    /// Whether the client has sent more than has been read.
    pub(super) unread_input: UnreadInput,
    /// The channel to the client connection; `None` once the response has been sent on it.
    respond_to: Option<oneshot::Sender<Response>>,
    /// The reservation of the request's correlation id, kept until the request has ended.
    correlation_id: CorrelationIdGuard,
    /// Whether endpoints may run the request twice if it is sent twice.
    is_non_idempotent: bool,
    /// The timer that fires at the deadline.
    deadline_timer: TimerKey,
    /// The request's attempts in the order in which the balancer asked for them. The index of an attempt is
    /// its number.
    pub(super) attempts: Vec<AttemptRecord>,
    in_flight_count: usize,
}

/// An attempt that the balancer has asked for, including one that was denied.
pub(super) struct AttemptRecord {
    /// The endpoint that the balancer picked.
    pub(super) endpoint: EndpointId,
    /// The time at which the balancer asked for the attempt, in milliseconds of Unix time by the gateway's
    /// clock.
    pub(super) requested_at_ms: f64,
    /// The state of the attempt that decides whether a later attempt of the request may begin.
    pub(super) prior: PriorAttempt,
    /// The channel that cancels the attempt; `None` once a cancellation has been sent.
    pub(super) cancel: Option<oneshot::Sender<Cancellation>>,
}

/// The data about an ended attempt that the balancer needs besides the outcome.
pub(super) struct EndedAttempt {
    /// The endpoint of the attempt.
    pub(super) endpoint: EndpointId,
    /// Whether the request has been given a response.
    pub(super) has_response: bool,
}

impl OpenRequest {
    /// Returns a request without attempts. `deadline_timer` fires at its deadline.
    pub(super) fn new(request: Request, class: &RequestClass, deadline_timer: TimerKey) -> Self {
        OpenRequest {
            class: request.class,
            deadline: request.deadline,
            raw: request.raw,
            unread_input: request.unread_input,
            respond_to: Some(request.respond_to),
            correlation_id: request.correlation_id,
            is_non_idempotent: class.idempotency != Idempotency::Idempotent,
            deadline_timer,
            attempts: Vec::new(),
            in_flight_count: 0,
        }
    }

    pub(super) fn has_response(&self) -> bool {
        self.respond_to.is_none()
    }

    /// Returns whether any attempt of the request may have run at an endpoint.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.prior.may_have_run)
    }

    /// Returns the end of the deduplication window, until which endpoints drop a retry as a duplicate; `None`
    /// unless an attempt may have run and the request's class is idempotent with a key.
    pub(super) fn deduplicated_until(&self) -> Option<Instant> {
        let first = self.attempts.iter().find(|attempt| attempt.prior.may_have_run);
        first.and_then(|first| first.prior.deduplicated_until)
    }

    /// Checks that the next attempt may begin now, at an endpoint in `locality`.
    pub(super) fn check_permit(
        &self, class: &RequestClass, max_attempts: usize, give_up_at: Instant,
        locality: Option<EndpointLocality>,
    ) -> Result<(), Denial> {
        let prior_attempts: Vec<PriorAttempt> = self.attempts.iter().map(|sent| sent.prior).collect();
        let next = NextAttempt {
            class,
            prior_attempts: &prior_attempts,
            max_attempts,
            client_waits: !self.has_response(),
            give_up_at,
            locality,
        };
        next.check(Instant::now())
    }

    /// Adds an attempt in flight, and returns its number among the attempts of the request.
    pub(super) fn push_attempt(&mut self, attempt: AttemptRecord) -> u32 {
        let number = self.attempts.len() as u32;
        self.attempts.push(attempt);
        self.in_flight_count += 1;
        number
    }
}

/// All open requests.
#[derive(Default)]
pub(super) struct OpenRequests {
    by_id: BTreeMap<RequestId, OpenRequest>,
    without_response_count: usize,
}

impl OpenRequests {
    /// Returns the number of requests that have no response yet.
    pub(super) fn without_response_count(&self) -> usize {
        self.without_response_count
    }

    /// Adds a request that has no response yet.
    pub(super) fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.without_response_count += 1;
        self.by_id.insert(id, request);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.by_id.get_mut(&id)
    }

    /// Returns a request if it has no response yet.
    pub(super) fn without_response(&self, id: RequestId) -> Option<&OpenRequest> {
        self.get(id).filter(|request| !request.has_response())
    }

    /// Returns an attempt by its request and its number among the attempts of that request.
    pub(super) fn attempt(&self, id: RequestId, number: u32) -> Option<&AttemptRecord> {
        self.get(id)?.attempts.get(number as usize)
    }

    /// Returns an attempt by its request and its number among the attempts of that request.
    pub(super) fn attempt_mut(&mut self, id: RequestId, number: u32) -> Option<&mut AttemptRecord> {
        self.get_mut(id)?.attempts.get_mut(number as usize)
    }

    /// Sends the response to a request's client connection, unless a response has been sent before. Returns
    /// the request's deadline timer, which is not needed any more.
    pub(super) fn respond(&mut self, id: RequestId, response: Response) -> Option<TimerKey> {
        let request = self.get_mut(id)?;
        let respond_to = request.respond_to.take()?;
        let deadline_timer = request.deadline_timer;
        self.without_response_count -= 1;
        // The receiver has been dropped if the client connection has just been closed.
        let _ = respond_to.send(response);
        self.remove_if_finished(id);
        Some(deadline_timer)
    }

    /// Records the end of an attempt; returns `None` if the attempt is not known.
    pub(super) fn end_attempt(
        &mut self, id: RequestId, number: u32, outcome: Outcome,
    ) -> Option<EndedAttempt> {
        let request = self.by_id.get_mut(&id)?;
        let attempt = request.attempts.get_mut(number as usize)?;
        attempt.prior.may_have_run = !outcome.never_ran();
        attempt.prior.in_flight = false;
        let endpoint = attempt.endpoint;
        request.in_flight_count -= 1;
        let has_response = request.has_response();
        self.remove_if_finished(id);
        Some(EndedAttempt { endpoint, has_response })
    }

    fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished =
            self.get(id).is_some_and(|request| request.has_response() && request.in_flight_count == 0);
        let Some(mut finished) = is_finished.then(|| self.by_id.remove(&id)).flatten() else { return };
        if finished.is_non_idempotent && finished.may_have_run() {
            finished.correlation_id.retain();
        }
    }
}
