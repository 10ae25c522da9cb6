//! What the balancer learns of endpoints: updates of the list, and the ends of attempts.

use super::Balancer;
use crate::action::Action;
use crate::attempt_assessment::AttemptAssessment;
use crate::endpoint_updates::EndpointUpdate;
use crate::event::{AttemptEnd, EndpointRecord, Outcome, Readiness, UpdateKind};
use crate::failure_ratios::FaultKind;
use crate::request_pacing;

/// An endpoint that rejected an attempt is left alone for this many shortest latency objectives: a full
/// endpoint responds fastest and looks the emptiest.
const REJECTED_PAUSE_OBJECTIVES: f64 = 0.25;

/// What is known of an attempt that has ended, and of its request.
struct EndedAttempt<'a> {
    end: &'a AttemptEnd,
    assessment: AttemptAssessment,
    /// Class and tenant, if the request is still open.
    class: Option<usize>,
    tenant: Option<usize>,
    /// How far the tenant or the class accounts for a failure.
    excuse_ratio: f64,
    mean_failure_ratio: f64,
}

impl Balancer {
    /// An update of the endpoint list, or the loss of the watch.
    pub(super) fn on_endpoint_update(
        &mut self, now_ms: f64, kind: UpdateKind, records: Vec<EndpointRecord>, actions: &mut Vec<Action>,
    ) {
        if kind == UpdateKind::WatchLost {
            self.discovery.on_watch_lost(now_ms, &mut self.rng);
            return;
        }
        let is_cached = kind == UpdateKind::Cached;
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
        self.spillover.learn(now_ms, &self.fleet);
        self.drain_pending(now_ms, actions);
    }

    /// Counts an attempt's outcome for its tenant, its class and its endpoint.
    pub(super) fn record_outcome(&mut self, now_ms: f64, end: &AttemptEnd) {
        let request = self.requests.get(&end.request);
        let class = request.map(|request| request.class);
        let tenant = request.and_then(|request| request.tenant);
        let assessment = AttemptAssessment::of(
            end,
            class.map(|class| self.settings.classes[class].latency_objective_ms),
            self.fleet.objective_ms,
            self.latencies.slowest_class_ms(),
        );
        let excuse_ratio = self.count_failure(tenant, class, assessment);
        let mean_failure_ratio = self.fleet.endpoints.mean_failure_ratio();
        let attempt = EndedAttempt { end, assessment, class, tenant, excuse_ratio, mean_failure_ratio };
        self.update_endpoint(now_ms, &attempt);
        self.record_endpoint_outcome(now_ms, &attempt);
    }

    /// Counts an outcome for tenant, class and overall; how far these excused the endpoint before.
    fn count_failure(
        &mut self, tenant: Option<usize>, class: Option<usize>, assessment: AttemptAssessment,
    ) -> f64 {
        let Some(class) = class.filter(|_| assessment.is_informative) else { return 0.0 };
        let excuse_ratio = self.failure_ratios.excuse_ratio(tenant, class, FaultKind::Failure);
        self.failure_ratios.record(tenant, class, assessment.failed, assessment.stalled);
        excuse_ratio
    }

    /// Updates what every ended attempt changes at its endpoint: pacing, decay of failures, errors by
    /// class.
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
            let tenant_excuse_ratio = self.failure_ratios.tenant_excess_ratio(attempt.tenant).max(0.0);
            let class_count = self.settings.classes.len();
            endpoint.class_errors.record(now_ms, class, class_count, is_error, tenant_excuse_ratio);
        }
        endpoint.mark_ended();
    }

    /// Counts a success or a failure for the endpoint.
    fn record_endpoint_outcome(&mut self, now_ms: f64, attempt: &EndedAttempt) {
        let AttemptAssessment { stalled, served_as_stall, .. } = attempt.assessment;
        let objective_ms = self.fleet.objective_ms;
        let Some(endpoint) = self.fleet.endpoints.get_mut(attempt.end.endpoint) else { return };
        match attempt.end.outcome {
            Outcome::Served if !served_as_stall => endpoint.record_success(now_ms),
            Outcome::Rejected => {
                endpoint.record_success(now_ms);
                let pause_ms = REJECTED_PAUSE_OBJECTIVES * objective_ms;
                endpoint.next_send_at_ms = now_ms + pause_ms;
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            // It had too little time left for a response.
            Outcome::ResponseTimeout if !stalled => {}
            // It responded, so it is not ejected; the class may be excluded there.
            Outcome::ServerError => {
                endpoint.mark_responsive(now_ms);
                endpoint.health.readmit();
            }
            Outcome::Served | Outcome::ResponseTimeout | Outcome::ConnectFailed | Outcome::ConnectionLost => {
                self.record_endpoint_failure(now_ms, attempt);
            }
        }
    }

    /// How long this gateway sends nothing more to a busy endpoint, in ms ([`request_pacing`]).
    fn pacing_pause_ms(&self, now_ms: f64, end: &AttemptEnd, class: Option<usize>) -> f64 {
        let endpoint = self.fleet.endpoints.get(end.endpoint);
        let pause_factor = request_pacing::pause_factor(now_ms, &self.fleet, endpoint);
        let typical_ms = class.map_or(0.0, |class| self.latencies.typical_ms(class));
        let pause_ms = pause_factor * (end.latency_ms - typical_ms);
        pause_ms.min(self.outlier_ejection.max_interval_ms())
    }

    /// Counts a failure against an endpoint, and ejects it if it has become an outlier.
    fn record_endpoint_failure(&mut self, now_ms: f64, attempt: &EndedAttempt) {
        let Some(endpoint) = self.fleet.endpoints.get_mut(attempt.end.endpoint) else { return };
        if attempt.assessment.served_as_stall {
            endpoint.mark_responsive(now_ms);
        }
        endpoint.health.record_failure(attempt.excuse_ratio);
        // Where neither the list nor a response has confirmed the endpoint, one failed connection is
        // enough.
        let is_confirmed = endpoint.proven && endpoint.unlisted_since_ms.is_none();
        let is_dead = !is_confirmed && attempt.end.outcome == Outcome::ConnectFailed;
        if !is_dead && !self.outlier_ejection.must_eject(&endpoint.health, attempt.mean_failure_ratio) {
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
