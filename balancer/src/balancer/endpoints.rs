//! What the balancer learns of endpoints: updates of the list, and the ends of attempts.

use super::Balancer;
use crate::action::Action;
use crate::attempt_outcome::AttemptOutcome;
use crate::endpoint_updates::EndpointUpdate;
use crate::event::{AttemptEnd, EndpointRecord, Outcome, Readiness, UpdateKind};
use crate::failure_ratios::FaultKind;
use crate::ids::EndpointId;
use crate::turn_taking;

/// An endpoint that rejected an attempt is left alone for this many shortest latency objectives: a full
/// endpoint responds fastest and looks the emptiest.
const REJECTED_PAUSE_OBJECTIVES: f64 = 0.25;

/// What the failure of an attempt means for its endpoint.
struct EndpointFailure {
    outcome: Outcome,
    served_late: bool,
    /// How far the request's tenant or class accounts for it.
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
        let class = self.requests.get(&end.request).map(|request| request.class);
        let tenant = self.requests.get(&end.request).and_then(|request| request.tenant);
        let outcome = AttemptOutcome::of(
            end,
            class.map(|class| self.settings.classes[class].latency_objective_ms),
            self.fleet.objective_ms(),
            self.latencies.slowest_class_ms(),
        );
        let excuse_ratio = self.count_failure(tenant, class, outcome);
        let mean_failure_ratio = self.fleet.endpoints.mean_failure_ratio();
        let paused_until_ms = now_ms + self.turn_pause_ms(now_ms, end, class);
        let Some(endpoint) = self.fleet.endpoints.get_mut(end.endpoint) else { return };
        endpoint.defer_sends_until(paused_until_ms);
        if outcome.is_informative {
            self.outlier_ejection.decay(now_ms, &mut endpoint.health, mean_failure_ratio);
        }
        let has_responded = matches!(end.outcome, Outcome::ServerError | Outcome::Served);
        if let Some(class) = class.filter(|_| has_responded) {
            let is_error = end.outcome == Outcome::ServerError;
            let tenant_excuse_ratio = self.failure_ratios.tenant_excess_ratio(tenant).max(0.0);
            let class_count = self.settings.classes.len();
            endpoint.class_errors.record(now_ms, class, class_count, is_error, tenant_excuse_ratio);
        }
        endpoint.mark_ended();
        match end.outcome {
            Outcome::Served if !outcome.served_late => endpoint.record_success(now_ms),
            Outcome::Rejected => {
                endpoint.record_success(now_ms);
                let pause_ms = REJECTED_PAUSE_OBJECTIVES * self.fleet.objective_ms();
                self.pause(now_ms + pause_ms, end.endpoint);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            // It was sent too late to be answered.
            Outcome::ResponseTimeout if !outcome.stalled => {}
            // It responded, so it is not ejected; the class may be excluded there.
            Outcome::ServerError => {
                endpoint.mark_responsive(now_ms);
                endpoint.health.readmit();
            }
            Outcome::Served | Outcome::ResponseTimeout | Outcome::ConnectFailed | Outcome::ConnectionLost => {
                let failure = EndpointFailure {
                    outcome: end.outcome,
                    served_late: outcome.served_late,
                    excuse_ratio,
                    mean_failure_ratio,
                };
                self.record_endpoint_failure(now_ms, end.endpoint, &failure);
            }
        }
    }

    /// Counts an outcome for tenant, class and overall; how far these excused the endpoint before.
    fn count_failure(&mut self, tenant: Option<usize>, class: Option<usize>, outcome: AttemptOutcome) -> f64 {
        let Some(class) = class.filter(|_| outcome.is_informative) else { return 0.0 };
        let excuse_ratio = self.failure_ratios.excuse_ratio(tenant, class, FaultKind::Failure);
        self.failure_ratios.record(tenant, class, outcome.failed, outcome.stalled);
        excuse_ratio
    }

    /// How long this gateway lets others have their turns at a busy endpoint, in ms.
    fn turn_pause_ms(&self, now_ms: f64, end: &AttemptEnd, class: Option<usize>) -> f64 {
        let endpoint = self.fleet.endpoints.get(end.endpoint);
        let pause_factor = turn_taking::pause_factor(now_ms, &self.fleet, endpoint);
        let typical_ms = class.map_or(0.0, |class| self.latencies.typical_ms(class));
        let pause_ms = pause_factor * (end.latency_ms - typical_ms);
        pause_ms.min(self.outlier_ejection.max_interval_ms())
    }

    fn pause(&mut self, until_ms: f64, id: EndpointId) {
        if let Some(endpoint) = self.fleet.endpoints.get_mut(id) {
            endpoint.next_send_at_ms = until_ms;
        }
    }

    /// Counts a failure against an endpoint, and ejects it if it has become an outlier.
    fn record_endpoint_failure(&mut self, now_ms: f64, id: EndpointId, failure: &EndpointFailure) {
        let Some(endpoint) = self.fleet.endpoints.get_mut(id) else { return };
        if failure.served_late {
            endpoint.mark_responsive(now_ms);
        }
        endpoint.health.record_failure(failure.excuse_ratio);
        // Without the list's word, or a response ever, the first failed connection is enough.
        let is_confirmed = endpoint.proven && endpoint.unlisted_since_ms.is_none();
        let is_dead = !is_confirmed && failure.outcome == Outcome::ConnectFailed;
        if !is_dead && !self.outlier_ejection.must_eject(&endpoint.health, failure.mean_failure_ratio) {
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
