//! Updates of the endpoint list, and what the ends of attempts show about endpoints.

use super::Balancer;
use crate::action::Action;
use crate::attempt_assessment::AttemptAssessment;
use crate::endpoint_updates::EndpointUpdate;
use crate::event::{AttemptEnd, EndpointRecord, Outcome, Readiness, UpdateKind};
use crate::failure_ratios::FaultKind;
use crate::request_pacing;

/// Pause of the sends to an endpoint that has rejected an attempt, in shortest latency objectives. Without
/// the pause, a full endpoint would be preferred, because a rejecting endpoint responds fastest and has the
/// fewest requests in flight.
const REJECTED_PAUSE_OBJECTIVES: f64 = 0.25;

/// An ended attempt, with the class, tenant and failure statistics that the rules need.
struct EndedAttempt<'a> {
    end: &'a AttemptEnd,
    assessment: AttemptAssessment,
    /// Index of the request's class in the settings, if the request is still open.
    class: Option<usize>,
    /// Index of the request's tenant in the settings, if the request is still open and has a tenant.
    tenant: Option<usize>,
    /// Fraction of a failure that is due to the request's tenant or class, from 0 to 1.
    request_fault_ratio: f64,
    /// Mean failure ratio of the endpoints in use that are not ejected.
    mean_failure_ratio: f64,
}

impl Balancer {
    /// Handles an update of the endpoint list, or the loss of the watch.
    pub(super) fn on_endpoint_update(
        &mut self, now_ms: f64, kind: UpdateKind, records: Vec<EndpointRecord>, actions: &mut Vec<Action>,
    ) {
        if kind == UpdateKind::WatchLost {
            self.discovery.on_watch_lost(now_ms, &mut self.rng);
            return;
        }
        let is_cached = kind == UpdateKind::Cached;
        if is_cached {
            self.list_staleness.on_cached_list(now_ms);
        }
        if is_cached && self.discovery.on_cached_list(now_ms, &mut self.rng) {
            actions.push(Action::WatchEndpoints);
        }
        let update = EndpointUpdate {
            now_ms,
            kind,
            follows_discovery: self.discovery.has_responded(),
            removal_is_advisory: self.settings.removal_is_advisory,
            fleet: &mut self.fleet,
            rng: &mut self.rng,
        };
        update.apply(records);
        self.discovery.on_list(is_cached);
        self.spillover.update(now_ms, &self.fleet);
        self.drain_pending(now_ms, actions);
    }

    /// Records the outcome of an attempt for the tenant, the class and the endpoint.
    pub(super) fn record_outcome(&mut self, now_ms: f64, end: &AttemptEnd) {
        let request = self.requests.get(&end.request);
        let class = request.map(|request| request.class);
        let tenant = request.and_then(|request| request.tenant);
        let assessment = AttemptAssessment::of(
            end,
            class.map(|class| self.settings.classes[class].latency_objective_ms),
            self.fleet.shortest_objective_ms,
            self.latencies.slowest_class_ms(),
        );
        let request_fault_ratio = self.count_failure(tenant, class, assessment);
        let mean_failure_ratio = self.fleet.endpoints.mean_failure_ratio();
        let attempt =
            EndedAttempt { end, assessment, class, tenant, request_fault_ratio, mean_failure_ratio };
        self.update_endpoint(now_ms, &attempt);
        self.record_endpoint_outcome(now_ms, &attempt);
    }

    /// Records whether an attempt failed or stalled, by tenant, by class and overall. Returns the fraction
    /// of a failure that was due to tenant or class before this attempt; 0 if the attempt is not
    /// informative.
    fn count_failure(
        &mut self, tenant: Option<usize>, class: Option<usize>, assessment: AttemptAssessment,
    ) -> f64 {
        let Some(class) = class.filter(|_| assessment.is_informative) else { return 0.0 };
        let request_fault_ratio = self.failure_ratios.request_fault_ratio(tenant, class, FaultKind::Failure);
        self.failure_ratios.record(tenant, class, assessment.failed, assessment.stalled);
        request_fault_ratio
    }

    /// Updates the endpoint state that every ended attempt affects: the pacing pause, the decay of the
    /// failure ratio, the error ratios by class, and the number of attempts in flight.
    fn update_endpoint(&mut self, now_ms: f64, attempt: &EndedAttempt) {
        let end = attempt.end;
        let paused_until_ms = now_ms + self.pacing_pause_ms(now_ms, end, attempt.class);
        let Some(endpoint) = self.fleet.endpoints.get_mut(end.endpoint) else { return };
        endpoint.defer_sends_until(paused_until_ms);
        if attempt.assessment.is_informative {
            self.outlier_ejection.decay(now_ms, &mut endpoint.health, attempt.mean_failure_ratio);
        }
        let has_responded = matches!(end.outcome, Outcome::ServerError | Outcome::Served);
        if let Some(class) = attempt.class.filter(|_| has_responded) {
            let is_error = end.outcome == Outcome::ServerError;
            let tenant_fault_ratio = self.failure_ratios.tenant_excess_ratio(attempt.tenant).max(0.0);
            let class_count = self.settings.classes.len();
            endpoint.class_errors.record(now_ms, class, class_count, is_error, tenant_fault_ratio);
        }
        endpoint.mark_ended();
    }

    /// Records a success or a failure of the endpoint.
    fn record_endpoint_outcome(&mut self, now_ms: f64, attempt: &EndedAttempt) {
        let AttemptAssessment { stalled, served_after_stall, .. } = attempt.assessment;
        let shortest_objective_ms = self.fleet.shortest_objective_ms;
        let Some(endpoint) = self.fleet.endpoints.get_mut(attempt.end.endpoint) else { return };
        match attempt.end.outcome {
            Outcome::Served if !served_after_stall => endpoint.record_success(now_ms),
            Outcome::Rejected => {
                endpoint.record_success(now_ms);
                let pause_ms = REJECTED_PAUSE_OBJECTIVES * shortest_objective_ms;
                endpoint.next_send_at_ms = now_ms + pause_ms;
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            // A short timeout says nothing about the endpoint, because even a healthy endpoint may need
            // longer.
            Outcome::ResponseTimeout if !stalled => {}
            // An endpoint that responds with errors is not ejected, but may be excluded for the class that
            // fails.
            Outcome::ServerError => {
                endpoint.mark_responsive(now_ms);
                endpoint.health.readmit();
            }
            Outcome::Served | Outcome::ResponseTimeout | Outcome::ConnectFailed | Outcome::ConnectionLost => {
                self.record_endpoint_failure(now_ms, attempt);
            }
        }
    }

    /// Returns how long this gateway pauses its sends to a busy endpoint, in ms ([`request_pacing`]).
    fn pacing_pause_ms(&self, now_ms: f64, end: &AttemptEnd, class: Option<usize>) -> f64 {
        let endpoint = self.fleet.endpoints.get(end.endpoint);
        let pause_factor = request_pacing::pause_factor(now_ms, &self.fleet, endpoint);
        let typical_ms = class.map_or(0.0, |class| self.latencies.typical_ms(class));
        let pause_ms = pause_factor * (end.latency_ms - typical_ms);
        pause_ms.min(self.outlier_ejection.max_interval_ms())
    }

    /// Records a failure of the endpoint, and ejects the endpoint if it has become an outlier.
    fn record_endpoint_failure(&mut self, now_ms: f64, attempt: &EndedAttempt) {
        let Some(endpoint) = self.fleet.endpoints.get_mut(attempt.end.endpoint) else { return };
        if attempt.assessment.served_after_stall {
            endpoint.mark_responsive(now_ms);
        }
        endpoint.health.record_failure(attempt.request_fault_ratio);
        // One failed connection ejects an endpoint that neither the list nor a response confirms.
        let is_confirmed = endpoint.proven && endpoint.unlisted_since_ms.is_none();
        let is_unreachable = !is_confirmed && attempt.end.outcome == Outcome::ConnectFailed;
        if !is_unreachable && !self.outlier_ejection.must_eject(&endpoint.health, attempt.mean_failure_ratio)
        {
            return;
        }
        let interval_ms = self.outlier_ejection.eject(now_ms, &mut endpoint.health);
        let is_unlisted = endpoint.unlisted_since_ms.is_some();
        if is_unlisted && interval_ms >= self.outlier_ejection.max_interval_ms() {
            endpoint.record.readiness = Readiness::Removed;
            self.fleet.rebuild_subset(now_ms, &mut self.rng);
        }
        self.fleet.replenish_subset(now_ms);
    }
}
