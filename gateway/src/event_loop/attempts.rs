//! Attempts and health checks of the event loop: sending, cancellation and the handling of results.
use super::endpoints::ReachableEndpoint;
use super::open_requests::AttemptRecord;
use super::EventLoop;
use crate::events::{AttemptResult, RawRequest, Response, UnreadInput};
use crate::invariants::Invariant;
use crate::permit::{Denial, PriorAttempt};
use crate::protocol::{HEALTH_CHECK_HEAD, HEALTH_CHECK_TAIL};
use crate::upstream::{Attempt, Cancellation, Purpose};
use bytes::Bytes;
use ternstack_balancer::{AttemptEnd, EndpointId, Event, Idempotency, LoadReport, Outcome, RequestId};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

impl EventLoop {
    /// Sends the next attempt of a request. An attempt that is not permitted ends at once with the outcome
    /// `NotSent`.
    pub(super) fn send_attempt(&mut self, id: RequestId, endpoint: EndpointId, give_up_at_ms: f64) {
        let Some(request) = self.requests.get_mut(id) else {
            let detail = format_args!("the balancer asked for an attempt of a request that is not open");
            return self.violations.record(Invariant::NoAttemptAfterResponse, id.0, detail);
        };
        let Some(class) = self.classes.get(request.class) else { return };
        let reachable = self.endpoints.reachable(endpoint);
        let locality = reachable.as_ref().map(|reachable| reachable.locality);
        let give_up_at = self.clock.instant(give_up_at_ms).min(request.deadline);
        let permit = request.check_permit(class, self.max_attempts, give_up_at, locality);
        let send_by = request.deduplicated_until();
        let has_idempotency_key = class.idempotency == Idempotency::IdempotentWithKey;
        let prior = PriorAttempt {
            locality: locality.unwrap_or_default(),
            deduplicated_until: has_idempotency_key
                .then(|| self.clock.instant(self.now_ms + class.deduplication_window_ms)),
            may_have_run: true,
            in_flight: true,
        };
        let (cancel, cancelled) = oneshot::channel();
        let attempt = AttemptRecord { endpoint, requested_at_ms: self.now_ms, prior, cancel: Some(cancel) };
        let number = request.push_attempt(attempt);
        match (permit, reachable) {
            (Ok(()), Some(ReachableEndpoint { address, incarnation, .. })) => {
                debug!(request_id = id.0, attempt = number, endpoint_id = endpoint.0, "sending attempt");
                let purpose = Purpose::Request { id, attempt: number };
                let (raw, unread_input) = (request.raw.clone(), request.unread_input.clone());
                self.upstream.start(Attempt {
                    purpose,
                    endpoint,
                    incarnation,
                    address,
                    raw,
                    unread_input,
                    give_up_at,
                    send_by,
                    cancelled,
                });
            }
            (permit, _) => {
                let denial = permit.err().unwrap_or(Denial::EndpointUnavailable);
                self.deny_attempt(id, number, endpoint, denial);
            }
        }
    }

    /// Ends an attempt that is not permitted, and records the violated invariant if the denial violates one.
    fn deny_attempt(&mut self, id: RequestId, number: u32, endpoint: EndpointId, denial: Denial) {
        debug!(request_id = id.0, attempt = number, endpoint_id = endpoint.0, ?denial, "attempt not sent");
        if let Some(invariant) = denial.violated_invariant() {
            let detail = format_args!("attempt {number} at endpoint {}: {denial:?}", endpoint.0);
            self.violations.record(invariant, id.0, detail);
        }
        self.end_attempt(id, number, Outcome::NotSent, 0.0, LoadReport::default());
    }

    pub(super) fn cancel_attempt(&mut self, id: RequestId, number: u32) {
        let attempt = self.requests.attempt_mut(id, number);
        if let Some(cancel) = attempt.and_then(|attempt| attempt.cancel.take()) {
            // The receiver has been dropped if the attempt has just ended.
            let _ = cancel.send(Cancellation::Always);
        }
    }

    /// Handles the result of an attempt: responds to the request if an endpoint has served it, and notifies
    /// the balancer.
    pub(super) fn on_attempt_ended(&mut self, result: AttemptResult) {
        let AttemptResult { request: id, attempt: number, outcome, ended_at, report, response } = result;
        let Some(attempt) = self.requests.attempt(id, number) else {
            let detail = format_args!("attempt {number} ended but is not known");
            return self.violations.record(Invariant::AttemptKnown, id.0, detail);
        };
        let latency_ms = (self.clock.at(ended_at) - attempt.requested_at_ms).max(0.0);
        if let Some(endpoint) = self.endpoints.describe(attempt.endpoint) {
            let has_started = endpoint.started_at_ms > 0.0;
            let uptime_ms = has_started.then_some(self.now_ms - endpoint.started_at_ms);
            debug!(
                request_id = id.0,
                attempt = number,
                endpoint = endpoint.uid,
                uptime_ms,
                ?outcome,
                latency_ms,
                utilization = report.utilization,
                throughput_per_s = report.throughput_per_s,
                "attempt ended"
            );
        }
        // The first response with status 200 is the response to the request.
        if let Some(served) = response {
            self.respond(id, Response::Served(served));
        }
        self.end_attempt(id, number, outcome, latency_ms, report);
        self.handle_pending_events();
    }

    /// Records the end of an attempt and queues it for the balancer.
    fn end_attempt(
        &mut self, id: RequestId, number: u32, outcome: Outcome, latency_ms: f64, report: LoadReport,
    ) {
        let Some(ended) = self.requests.end_attempt(id, number, outcome) else { return };
        self.pending_events.push_back(Event::AttemptEnd(AttemptEnd {
            request: id,
            attempt: number,
            endpoint: ended.endpoint,
            outcome,
            latency_ms,
            request_complete: ended.has_response,
            report,
        }));
    }

    /// Sends a health check, which requests an endpoint's load report, unless another health check of the
    /// endpoint is in flight.
    pub(super) fn start_health_check(&mut self, endpoint: EndpointId) {
        let reachable =
            self.endpoints.reachable(endpoint).filter(|_| !self.health_checks.contains_key(&endpoint));
        let Some(ReachableEndpoint { address, incarnation, .. }) = reachable else { return };
        let (cancel, cancelled) = oneshot::channel();
        self.health_checks.insert(endpoint, cancel);
        self.upstream.start(Attempt {
            purpose: Purpose::HealthCheck,
            endpoint,
            incarnation,
            address,
            raw: RawRequest {
                before_time_left: Bytes::from_static(HEALTH_CHECK_HEAD),
                after_time_left: Bytes::from_static(HEALTH_CHECK_TAIL),
                body: Bytes::new(),
                lease: None,
            },
            unread_input: UnreadInput::default(),
            give_up_at: Instant::now() + self.health_check_timeout,
            send_by: None,
            cancelled,
        });
    }
}
