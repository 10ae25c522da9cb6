//! The life cycle of a request: admission, attempts, retries, and completion.

use super::Balancer;
use crate::action::{Action, RejectionReason};
use crate::admission::{self, ResponseDeadlines};
use crate::concurrency_factor;
use crate::event::{Arrival, AttemptEnd, Outcome};
use crate::failure_ratios::FaultKind;
use crate::ids::{EndpointId, RequestId};
use crate::pending_queue::MAX_MISSES;
use crate::pick::EndpointPick;
use crate::rate_limiter::{LimitedRequest, RateLimit};
use crate::request::{Attempt, Request};
use crate::retry;
use crate::retry_after::RetryAfter;
use crate::wakeup::WAKE_INTERVAL_MS;

/// A request is enqueued only if a response stays useful for at least this many times [`WAKE_INTERVAL_MS`].
/// The balancer wakes less often where the tick is longer: every `max(WAKE_INTERVAL_MS, tick_ms)`.
const MIN_PENDING_WAKE_UPS: f64 = 2.0;

/// Longest time for which a request waits for a fresh endpoint list, in ms.
const MAX_HOLD_MS: f64 = 500.0;

/// Longest time for which a request waits for a fresh endpoint list, as a fraction of the client's timeout. A
/// rejection after half of the timeout would cost more than an early one.
const MAX_HOLD_RATIO: f64 = 0.3;

/// Largest number of requests that wait for a fresh endpoint list, so that they don't form a burst once the
/// list is fresh.
const MAX_HELD_REQUESTS: usize = 64;

/// The reason for a rejection, and when the client should retry.
struct Rejection {
    reason: RejectionReason,
    retry_after: RetryAfter,
}

impl Balancer {
    /// Handles the arrival of a request: rejects, forwards or enqueues the request.
    pub(super) fn on_request(&mut self, now_ms: f64, arrival: &Arrival, actions: &mut Vec<Action>) {
        if !self.fleet.weights_reflect_load {
            self.spillover.update(now_ms, &self.fleet);
        }
        let saturation = self.saturation(now_ms);
        let class = &self.settings.classes[arrival.class];
        let timeout_ms = arrival.client_timeout_ms;
        let age_ms =
            self.client_timeouts.record(arrival.tenant, arrival.class, timeout_ms, class.deadline_ms);

        let typical_ms = self.latencies.typical_ms(arrival.class);
        let deadlines =
            ResponseDeadlines::new(now_ms, class, typical_ms, age_ms, timeout_ms, self.settings.tick_ms);

        self.retry_budget.deposit();
        self.health_checks.deposit();
        // Without attempts, saturation and latencies say nothing about the request.
        if !self.list_staleness.is_stale(now_ms) {
            let rejection = self.check_admission(now_ms, arrival, saturation, deadlines.misses_objective);
            if let Some(rejection) = rejection {
                return self.reject(arrival.request, rejection, actions);
            }
        }

        let request = Request {
            class: arrival.class,
            tenant: arrival.tenant,
            useful_until_ms: deadlines.useful_until_ms,
            give_up_at_ms: deadlines.give_up_at_ms,
            hold_until_ms: now_ms + MAX_HOLD_MS.min(MAX_HOLD_RATIO * timeout_ms),
            attempts: Vec::new(),
        };
        self.requests.insert(arrival.request, request);
        if !self.pending.is_empty() || !self.dispatch(now_ms, arrival.request, actions) {
            self.enqueue(now_ms, arrival.request, actions);
        }
    }

    /// Returns why a request is rejected on arrival, or `None` if the request is admitted.
    ///
    /// The order of the random draws is part of the behaviour, because the same seed and events must lead
    /// to the same actions: first the draw of [`admission::arrives_too_late`], even if the request is then
    /// rejected for another reason, then the draws of the rate limit, then the draw for shedding.
    fn check_admission(
        &mut self, now_ms: f64, arrival: &Arrival, saturation: f64, misses_objective: bool,
    ) -> Option<Rejection> {
        let Arrival { class, tenant, client_timeout_ms, .. } = *arrival;
        let is_full = admission::is_full(saturation);
        let arrives_too_late = admission::arrives_too_late(
            &self.settings.classes[class],
            misses_objective,
            self.latencies.typical_ms(class),
            client_timeout_ms,
            is_full,
            &mut self.rng,
        );
        let shed_ratio =
            admission::shed_ratio(now_ms, &self.fleet, is_full, &self.failure_ratios, tenant, class);
        if let RateLimit::Exceeded { retry_after_ms } = self.check_rate_limit(now_ms, tenant, is_full) {
            let retry_after = RetryAfter::Delay(retry_after_ms);
            return Some(Rejection { reason: RejectionReason::QuotaExceeded, retry_after });
        }
        let reject = |reason| Some(Rejection { reason, retry_after: RetryAfter::Longest });
        if self.rng.rand_float() < shed_ratio {
            reject(RejectionReason::NoCapacity)
        } else if arrives_too_late && admission::is_busy(saturation) {
            reject(RejectionReason::TooLate)
        } else {
            None
        }
    }

    /// Counts a request for the rate limit of its tenant. While the fleet is not full, no quota is enforced
    /// and the gateway's share of the traffic is updated.
    fn check_rate_limit(&mut self, now_ms: f64, tenant: Option<usize>, is_full: bool) -> RateLimit {
        let Some(tenant) = tenant.filter(|tenant| self.rate_limiter.has_tenant(*tenant)) else {
            return RateLimit::Within;
        };
        let request = LimitedRequest {
            now_ms,
            tenant,
            traffic_share: self.fleet.traffic_share.own_share(),
            fleet_is_full: is_full,
        };
        let limit = self.rate_limiter.check(&request, &mut self.rng);
        if !is_full {
            self.fleet.update_traffic_share(now_ms);
        }
        limit
    }

    /// Sends the next attempt of a request if the endpoint list is fresh and an endpoint can take the
    /// attempt. Returns whether an attempt was sent; also true if the request is no longer open.
    fn dispatch(&mut self, now_ms: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(mut request) = self.requests.remove(&id) else { return true };
        let is_stale = self.list_staleness.is_stale(now_ms);
        let picked = if is_stale { None } else { self.pick_endpoint(now_ms, &request) };
        if let Some(endpoint) = picked {
            self.record_attempt(now_ms, &mut request, endpoint);
            let give_up_at_ms = request.give_up_at_ms;
            actions.push(Action::Send { request: id, endpoint, give_up_at_ms });
        }
        self.requests.insert(id, request);
        picked.is_some()
    }

    fn pick_endpoint(&mut self, now_ms: f64, request: &Request) -> Option<EndpointId> {
        let pick = EndpointPick {
            now_ms,
            fleet: &self.fleet,
            ejection: &self.outlier_ejection,
            class: &self.settings.classes[request.class],
            request,
            may_try_ejected: self.may_try_ejected(request.class),
            slowest_class_ms: self.latencies.slowest_class_ms(),
            connection_idle_timeout_ms: self.settings.connection_idle_timeout_ms,
        };
        pick.pick(self.spillover.ratio(), &mut self.rng)
    }

    fn record_attempt(&mut self, now_ms: f64, request: &mut Request, id: EndpointId) {
        let Some(endpoint) = self.fleet.endpoints.get(id) else { return };
        let interval_ms = self.fleet.slow_start_interval_ms(now_ms, endpoint);
        let Some(endpoint) = self.fleet.endpoints.get_mut(id) else { return };
        endpoint.mark_sent(now_ms, request.class, interval_ms);
        request.attempts.push(Attempt {
            endpoint: id,
            locality: endpoint.locality(),
            sent_at_ms: now_ms,
            in_flight: true,
            may_have_run: true,
        });
    }

    /// Enqueues a request until an endpoint has capacity and the endpoint list is fresh. Ends the request at
    /// once if a response could no longer be useful by then, because the client may disconnect before the
    /// next wake-up, or if the request may not wait for a fresh list any longer.
    fn enqueue(&mut self, now_ms: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let typical_ms = self.latencies.typical_ms(request.class);
        let cannot_be_useful =
            now_ms + typical_ms.max(MIN_PENDING_WAKE_UPS * WAKE_INTERVAL_MS) > request.useful_until_ms;
        let is_stale = self.list_staleness.is_stale(now_ms);
        let may_hold = now_ms < request.hold_until_ms && self.pending.len() < MAX_HELD_REQUESTS;
        if is_stale && (cannot_be_useful || !may_hold) {
            self.end(id, RejectionReason::StaleEndpointList, actions);
        } else if cannot_be_useful || !self.may_retry(now_ms, request) {
            self.end(id, RejectionReason::NoCapacity, actions);
        } else {
            self.pending.push(id);
        }
    }

    /// Sends pending requests while endpoints have capacity, and ends those whose responses can no longer
    /// be useful.
    pub(super) fn drain_pending(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let mut misses = 0;
        for id in self.pending.drain(&self.requests) {
            let may_send = misses < MAX_MISSES && self.may_send_pending(now_ms, id);
            if !may_send || !self.dispatch(now_ms, id, actions) {
                misses += 1;
                self.enqueue(now_ms, id, actions);
            }
        }
    }

    fn may_send_pending(&self, now_ms: f64, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let cannot_be_useful = now_ms + self.latencies.typical_ms(request.class) > request.useful_until_ms;
        !cannot_be_useful && self.may_retry(now_ms, request)
    }

    fn may_retry(&self, now_ms: f64, request: &Request) -> bool {
        retry::may_retry(now_ms, &self.settings.classes[request.class], request)
    }

    /// Handles the end of an attempt: completes, retries or ends the request.
    pub(super) fn on_attempt_end(&mut self, now_ms: f64, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        let (class, tenant) = (request.class, request.tenant);
        request.mark_ended(end.attempt, end.outcome.never_ran());
        let is_in_flight = request.is_in_flight();
        let endpoint_fault_ratio =
            1.0 - self.failure_ratios.request_fault_ratio(tenant, class, FaultKind::Failure);
        self.record_latency(end, class, endpoint_fault_ratio);
        if end.request_complete {
            self.requests.remove(&end.request);
            self.pending.remove(end.request);
        } else if !is_in_flight {
            self.retry_or_end(now_ms, end.request, endpoint_fault_ratio, actions);
        }
    }

    /// Updates the endpoint's AIMD factor and the class's latency estimate from an ended attempt.
    /// `endpoint_fault_ratio` is the fraction of a failure that is due to the endpoint, from 0 to 1.
    fn record_latency(&mut self, end: &AttemptEnd, class: usize, endpoint_fault_ratio: f64) {
        let is_served = end.outcome == Outcome::Served;
        let is_timeout = end.outcome == Outcome::ResponseTimeout;
        let objective_ms = self.settings.classes[class].latency_objective_ms;
        let is_fast = concurrency_factor::is_fast(end.latency_ms, objective_ms);
        if let Some(endpoint) = self.fleet.endpoints.get_mut(end.endpoint) {
            if is_served && is_fast {
                endpoint.concurrency.increase();
            } else if is_served || (is_timeout && !is_fast) {
                endpoint.concurrency.decrease(endpoint_fault_ratio);
            }
        }
        if is_served || is_timeout {
            self.latencies.record(class, end.latency_ms, is_timeout, endpoint_fault_ratio);
        }
    }

    /// Retries a request that has no attempt in flight, or ends the request. A retry is sent only with the
    /// probability `endpoint_fault_ratio`, because failures that are due to the request's tenant or class
    /// would probably repeat at another endpoint.
    fn retry_or_end(
        &mut self, now_ms: f64, id: RequestId, endpoint_fault_ratio: f64, actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let attempts_left = (request.attempts.len() as u32) < self.settings.max_attempts;
        let is_in_time = retry::is_in_time(now_ms, request, self.latencies.typical_ms(request.class));
        let retries = attempts_left
            && self.retry_budget.has_token()
            && is_in_time
            && self.rng.rand_float() < endpoint_fault_ratio
            && self.may_retry(now_ms, request);
        if !retries {
            return self.end(id, RejectionReason::AttemptsFailed, actions);
        }
        self.retry_budget.withdraw();
        if !self.dispatch(now_ms, id, actions) {
            self.enqueue(now_ms, id, actions);
        }
    }

    /// Ends a request without a response from an endpoint: rejects the request if its client may safely
    /// retry, and fails the request otherwise.
    fn end(&mut self, id: RequestId, reason: RejectionReason, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        let may_have_run = request.first_possible_run().is_some();
        if self.settings.classes[request.class].may_reject(may_have_run) {
            let rejection = Rejection { reason, retry_after: RetryAfter::Longest };
            self.reject(id, rejection, actions);
        } else {
            actions.push(Action::Fail { request: id });
        }
    }

    fn reject(&mut self, request: RequestId, rejection: Rejection, actions: &mut Vec<Action>) {
        let Rejection { reason, retry_after } = rejection;
        self.rejections.record(reason);
        let retry_after_ms = retry_after.limited_ms(self.settings.max_retry_after_ms);
        actions.push(Action::Reject { request, reason, retry_after_ms });
    }

    /// Closes a request whose client has disconnected or whose deadline has passed, and cancels attempts in
    /// flight if the deployment permits cancellation.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.pending.remove(id);
        if !self.settings.cancellation_allowed {
            return;
        }
        for (number, attempt) in request.attempts.iter().enumerate() {
            if attempt.in_flight {
                actions.push(Action::Cancel { request: id, attempt: number as u32 });
            }
        }
    }
}
