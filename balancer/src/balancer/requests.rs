//! The life of a request: admission, attempts, retries, and its end.

use super::Balancer;
use crate::action::{Action, RejectionReason};
use crate::admission::{self, ResponseDeadlines};
use crate::concurrency_factor;
use crate::event::{Arrival, AttemptEnd, Outcome};
use crate::failure_ratios::FaultKind;
use crate::ids::{EndpointId, RequestId};
use crate::pending_queue::MAX_MISSES_COUNT;
use crate::pick::EndpointPick;
use crate::rate_limiter::{LimitedRequest, RateLimit};
use crate::request::{Attempt, Request};
use crate::retry;
use crate::retry_after::RetryAfter;
use crate::wakeup::WAKE_INTERVAL_MS;

/// A request becomes pending only if it stays useful for at least this many times [`WAKE_INTERVAL_MS`]. The
/// real interval is longer where the tick is: `max(WAKE_INTERVAL_MS, tick_ms)`.
const MIN_PENDING_WAKE_UPS: f64 = 2.0;

/// Why a request is rejected, and when its client should retry.
struct Rejection {
    reason: RejectionReason,
    retry_after: RetryAfter,
}

impl Balancer {
    /// A request has arrived: rejects it, sends it, or enqueues it.
    pub(super) fn on_request(&mut self, now_ms: f64, arrival: &Arrival, actions: &mut Vec<Action>) {
        if !self.fleet.weights_reflect_load {
            self.spillover.learn(now_ms, &self.fleet);
        }
        let saturation_ratio = self.saturation_ratio(now_ms);
        let class = &self.settings.classes[arrival.class];
        let timeout_ms = arrival.client_timeout_ms;
        let age_ms =
            self.client_timeouts.record(arrival.tenant, arrival.class, timeout_ms, class.deadline_ms);

        let typical_ms = self.latencies.typical_ms(arrival.class);
        let deadlines =
            ResponseDeadlines::new(now_ms, class, typical_ms, age_ms, timeout_ms, self.settings.tick_ms);

        self.retry_budget.deposit();
        self.health_checks.deposit();
        if let Some(rejection) =
            self.check_admission(now_ms, arrival, saturation_ratio, deadlines.misses_objective)
        {
            return self.reject(arrival.request, rejection, actions);
        }

        let request = Request {
            class: arrival.class,
            tenant: arrival.tenant,
            useful_until_ms: deadlines.useful_until_ms,
            give_up_at_ms: deadlines.give_up_at_ms,
            attempts: Vec::new(),
        };
        self.requests.insert(arrival.request, request);
        if !self.pending.is_empty() || !self.dispatch(now_ms, arrival.request, actions) {
            self.enqueue(now_ms, arrival.request, actions);
        }
    }

    /// Whether a request is rejected on arrival, and why.
    ///
    /// The order of the random draws is part of the behaviour, since the same seed and events lead to the
    /// same actions: first the draw of [`admission::arrives_too_late`], which is made even where another
    /// reason then rejects the request, then those of the rate limit, then the one of shedding.
    fn check_admission(
        &mut self, now_ms: f64, arrival: &Arrival, saturation_ratio: f64, misses_objective: bool,
    ) -> Option<Rejection> {
        let Arrival { class, tenant, client_timeout_ms, .. } = *arrival;
        let is_full = admission::is_full(saturation_ratio);
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
        } else if arrives_too_late && admission::is_busy(saturation_ratio) {
            reject(RejectionReason::TooLate)
        } else {
            None
        }
    }

    /// Counts a request for its tenant. While no limit binds, this gateway's share of the traffic is
    /// learnt.
    fn check_rate_limit(&mut self, now_ms: f64, tenant: Option<usize>, is_full: bool) -> RateLimit {
        let Some(tenant) = tenant.filter(|tenant| self.rate_limiter.knows(*tenant)) else {
            return RateLimit::Within;
        };
        let request = LimitedRequest {
            now_ms,
            tenant,
            traffic_share_ratio: self.fleet.traffic_share.traffic_share_ratio(),
            fleet_is_full: is_full,
        };
        let limit = self.rate_limiter.check(&request, &mut self.rng);
        if !is_full {
            self.fleet.learn_traffic_share(now_ms);
        }
        limit
    }

    /// Sends the request's next attempt, if an endpoint can take it; true if one can, or the request has
    /// ended.
    fn dispatch(&mut self, now_ms: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(mut request) = self.requests.remove(&id) else { return true };
        let picked = self.pick_endpoint(now_ms, &request);
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

    /// Lets the request wait for capacity, if it could then still be in time; else ends it at once. Its
    /// client may be gone before the next wake-up.
    fn enqueue(&mut self, now_ms: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let typical_ms = self.latencies.typical_ms(request.class);
        let cannot_be_useful =
            now_ms + typical_ms.max(MIN_PENDING_WAKE_UPS * WAKE_INTERVAL_MS) > request.useful_until_ms;
        if cannot_be_useful || !self.may_retry(now_ms, request) {
            self.end(id, RejectionReason::NoCapacity, actions);
        } else {
            self.pending.push(id);
        }
    }

    /// Sends pending requests while there is capacity, and ends those that can no longer be in time.
    pub(super) fn drain_pending(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let mut misses_count = 0;
        for id in self.pending.drain(&self.requests) {
            let may_send = misses_count < MAX_MISSES_COUNT && self.may_send_pending(now_ms, id);
            if !may_send || !self.dispatch(now_ms, id, actions) {
                misses_count += 1;
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

    /// An attempt has ended: completes, retries or ends its request.
    pub(super) fn on_attempt_end(&mut self, now_ms: f64, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        let (class, tenant) = (request.class, request.tenant);
        request.mark_ended(end.attempt, end.outcome.never_ran());
        let is_in_flight = request.is_in_flight();
        let blame_ratio = 1.0 - self.failure_ratios.excuse_ratio(tenant, class, FaultKind::Failure);
        self.record_latency(end, class, blame_ratio);
        if end.request_complete {
            self.requests.remove(&end.request);
            self.pending.remove(end.request);
        } else if !is_in_flight {
            self.retry_or_end(now_ms, end.request, blame_ratio, actions);
        }
    }

    /// Learns from an attempt's latency, by the fraction that is the endpoint's fault.
    fn record_latency(&mut self, end: &AttemptEnd, class: usize, blame_ratio: f64) {
        let is_served = end.outcome == Outcome::Served;
        let is_timeout = end.outcome == Outcome::ResponseTimeout;
        let objective_ms = self.settings.classes[class].latency_objective_ms;
        let is_good = concurrency_factor::is_good(end.latency_ms, objective_ms);
        if let Some(endpoint) = self.fleet.endpoints.get_mut(end.endpoint) {
            if is_served && is_good {
                endpoint.concurrency.increase();
            } else if is_served || (is_timeout && !is_good) {
                endpoint.concurrency.decrease(blame_ratio);
            }
        }
        if is_served || is_timeout {
            self.latencies.record(class, end.latency_ms, is_timeout, blame_ratio);
        }
    }

    /// Sends another attempt of a request that has none in flight, or ends it. What fails for its tenant or
    /// class everywhere is retried with a lower probability.
    fn retry_or_end(&mut self, now_ms: f64, id: RequestId, blame_ratio: f64, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let attempts_left = (request.attempts.len() as u32) < self.settings.max_attempts;
        let is_in_time = retry::is_in_time(now_ms, request, self.latencies.typical_ms(request.class));
        let retries = attempts_left
            && self.retry_budget.has_token()
            && is_in_time
            && self.rng.rand_float() < blame_ratio
            && self.may_retry(now_ms, request);
        if !retries {
            return self.end(id, RejectionReason::AttemptsFailed, actions);
        }
        self.retry_budget.withdraw();
        if !self.dispatch(now_ms, id, actions) {
            self.enqueue(now_ms, id, actions);
        }
    }

    /// Ends a request unserved: rejected where its client may safely retry, else failed.
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

    /// The gateway has closed the request: its client has disconnected, or its deadline has passed. Cancels
    /// its attempts in flight, where that is permitted.
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
