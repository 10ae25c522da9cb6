//! Requests that have no response yet or still have attempts in flight.
use crate::events::{RawRequest, Response};
use crate::permit::{Denial, EndpointLocality, NextAttempt, PriorAttempt};
use crate::upstream::Cancellation;
use std::collections::BTreeMap;
use ternstack_balancer::{EndpointId, Outcome, RequestClass, RequestId};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request with its attempts.
pub(super) struct OpenRequest {
    /// The index of its class in the settings.
    pub(super) class: usize,
    /// When its client stops waiting.
    pub(super) deadline: Instant,
    /// The bytes to forward.
    pub(super) raw: RawRequest,
    /// Takes its response; `None` once that has been given.
    respond_to: Option<oneshot::Sender<Response>>,
    /// Its attempts in the order sent.
    pub(super) attempts: Vec<SentAttempt>,
    in_flight_count: usize,
}

/// An attempt that the balancer has asked for.
pub(super) struct SentAttempt {
    /// The endpoint that it went to.
    pub(super) endpoint: EndpointId,
    /// When it was sent, by the gateway's clock.
    pub(super) sent_at_ms: f64,
    /// What the request's next attempts have to know of it.
    pub(super) prior: PriorAttempt,
    /// Cancels it; `None` once used.
    pub(super) cancel: Option<oneshot::Sender<Cancellation>>,
}

/// What the balancer has to know of an attempt's end, besides its outcome.
pub(super) struct EndedAttempt {
    /// The endpoint that it went to.
    pub(super) endpoint: EndpointId,
    /// Its request has its response.
    pub(super) has_response: bool,
}

impl OpenRequest {
    pub(super) fn new(
        class: usize, deadline: Instant, raw: RawRequest, respond_to: oneshot::Sender<Response>,
    ) -> Self {
        let respond_to = Some(respond_to);
        OpenRequest { class, deadline, raw, respond_to, attempts: Vec::new(), in_flight_count: 0 }
    }

    pub(super) fn has_response(&self) -> bool {
        self.respond_to.is_none()
    }

    /// Whether any attempt may have run at an endpoint.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.prior.may_have_run)
    }

    /// Until when endpoints drop a retry, if an attempt may have run and its class is idempotent with a key.
    pub(super) fn deduplicated_until(&self) -> Option<Instant> {
        let first = self.attempts.iter().find(|attempt| attempt.prior.may_have_run);
        first.and_then(|first| first.prior.deduplicated_until)
    }

    /// Whether the next attempt may begin now, at an endpoint in `locality`.
    pub(super) fn permit(
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

    /// Adds an attempt; its number.
    pub(super) fn push_attempt(&mut self, attempt: SentAttempt) -> u32 {
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
    /// How many requests have no response yet.
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

    /// A request without a response.
    pub(super) fn without_response(&self, id: RequestId) -> Option<&OpenRequest> {
        self.get(id).filter(|request| !request.has_response())
    }

    /// An attempt by its request and number.
    pub(super) fn attempt(&self, id: RequestId, number: u32) -> Option<&SentAttempt> {
        self.get(id)?.attempts.get(number as usize)
    }

    /// An attempt by its request and number.
    pub(super) fn attempt_mut(&mut self, id: RequestId, number: u32) -> Option<&mut SentAttempt> {
        self.get_mut(id)?.attempts.get_mut(number as usize)
    }

    /// Gives a request's response, unless it has one.
    pub(super) fn respond(&mut self, id: RequestId, response: Response) {
        let Some(respond_to) = self.get_mut(id).and_then(|request| request.respond_to.take()) else { return };
        self.without_response_count -= 1;
        // The receiver is gone if the client's connection has just ended.
        let _ = respond_to.send(response);
        self.remove_if_finished(id);
    }

    /// Notes an attempt's end; `None` if it is not known.
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
        if self.get(id).is_some_and(|request| request.has_response() && request.in_flight_count == 0) {
            self.by_id.remove(&id);
        }
    }
}
