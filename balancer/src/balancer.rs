//! The balancer: hands each event to the rules that it concerns, and collects their actions.
//!
//! The rules are in modules of their own. This one owns them; [`requests`] takes a request through its
//! life, and [`endpoints`] passes on what is learnt of endpoints.

mod endpoints;
mod requests;

use crate::action::Action;
use crate::client_timeouts::ClientTimeouts;
use crate::discovery::Discovery;
use crate::event::Event;
use crate::failure_ratios::FailureRatios;
use crate::fleet::Fleet;
use crate::health_checks::HealthChecks;
use crate::ids::{EndpointId, RequestId};
use crate::latency_estimates::LatencyEstimates;
use crate::outlier_ejection::OutlierEjection;
use crate::pending_queue::PendingQueue;
use crate::rate_limiter::RateLimiter;
use crate::rejection_log::{RejectionContext, RejectionLog};
use crate::request::Request;
use crate::retry;
use crate::saturation::saturation_ratio;
use crate::settings::{Idempotency, Settings, SettingsError};
use crate::spillover::Spillover;
use crate::token_budget::TokenBudget;
use crate::wakeup::{WakeReasons, WakeUp};
use oorandom::Rand64;
use std::collections::BTreeMap;

/// Decides for one gateway. See the crate's front page for its use.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: Rand64,
    fleet: Fleet,
    spillover: Spillover,
    outlier_ejection: OutlierEjection,
    failure_ratios: FailureRatios,
    latencies: LatencyEstimates,
    client_timeouts: ClientTimeouts,
    rate_limiter: RateLimiter,
    retry_budget: TokenBudget,
    health_checks: HealthChecks,
    discovery: Discovery,
    requests: BTreeMap<RequestId, Request>,
    pending: PendingQueue,
    rejections: RejectionLog,
    wake_up: WakeUp,
}

impl Balancer {
    /// A balancer that knows no endpoint yet. The same seed and events lead to the same actions.
    ///
    /// # Errors
    ///
    /// The first setting that cannot be used.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let objectives_ms = settings.classes.iter().map(|class| class.latency_objective_ms);
        let shortest_objective_ms = objectives_ms.fold(f64::INFINITY, f64::min);
        Ok(Balancer {
            rng: Rand64::new(u128::from(seed)),
            fleet: Fleet::new(&settings, shortest_objective_ms),
            spillover: Spillover::new(&settings, shortest_objective_ms),
            outlier_ejection: OutlierEjection::new(shortest_objective_ms),
            failure_ratios: FailureRatios::new(settings.tenants.len(), settings.classes.len()),
            latencies: LatencyEstimates::new(&settings.classes),
            client_timeouts: ClientTimeouts::new(&settings),
            rate_limiter: RateLimiter::new(&settings.tenants),
            retry_budget: retry::retry_budget(),
            health_checks: HealthChecks::new(&settings),
            discovery: Discovery::new(&settings),
            requests: BTreeMap::new(),
            pending: PendingQueue::default(),
            rejections: RejectionLog::default(),
            wake_up: WakeUp::new(settings.tick_ms),
            settings,
        })
    }

    /// Whether the balancer still remembers an endpoint.
    pub fn knows(&self, endpoint: EndpointId) -> bool {
        self.fleet.endpoints.contains(endpoint)
    }

    /// Takes one event at `now_ms`, and appends the actions that it asks for.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate { kind, endpoints } => {
                self.on_endpoint_update(now_ms, kind, endpoints, actions);
            }
            Event::Request(arrival) => self.on_request(now_ms, &arrival, actions),
            // The attempt is the client's now; its end completes the request.
            Event::ResponseStarted { .. } => {}
            Event::AttemptEnd(end) => {
                self.fleet.apply_report(end.endpoint, end.report);
                self.record_outcome(now_ms, &end);
                self.on_attempt_end(now_ms, &end, actions);
                self.drain_pending(now_ms, actions);
            }
            Event::ClientDisconnected { request } => self.on_client_disconnected(request, actions),
            Event::HealthCheckEnd { endpoint, report, .. } => self.fleet.apply_report(endpoint, report),
            Event::Timer { .. } => self.on_timer(now_ms, actions),
        }
        self.log_rejections(now_ms, actions);
        self.schedule_wake_up(now_ms, actions);
    }

    fn on_timer(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        self.wake_up.on_timer(now_ms);
        self.drain_pending(now_ms, actions);
        if self.discovery.take_due(now_ms) {
            actions.push(Action::WatchEndpoints);
        }
        for endpoint in self.health_checks.due(now_ms, &mut self.fleet.endpoints) {
            actions.push(Action::HealthCheck { endpoint });
        }
    }

    fn schedule_wake_up(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let reasons = WakeReasons {
            has_pending: !self.pending.is_empty(),
            has_health_checks: self.health_checks.enabled(),
            discovery_due_at_ms: self.discovery.due_at_ms(),
        };
        if let Some(at_ms) = self.wake_up.schedule(now_ms, &reasons) {
            actions.push(Action::Timer { at_ms, token: 0 });
        }
    }

    fn log_rejections(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        if !self.rejections.is_due(now_ms) {
            return;
        }
        let in_use = self.fleet.endpoints.in_use();
        let context = RejectionContext {
            saturation_ratio: self.saturation_ratio(now_ms),
            traffic_share_ratio: self.fleet.traffic_share.traffic_share_ratio(),
            spillover_ratio: self.spillover.ratio(),
            pending_count: self.pending.len(),
            ejected_count: in_use.filter(|endpoint| endpoint.health.is_ejected()).count(),
        };
        actions.push(Action::Log(self.rejections.take_line(now_ms, &context)));
    }

    fn saturation_ratio(&self, now_ms: f64) -> f64 {
        saturation_ratio(now_ms, &self.fleet, !self.pending.is_empty())
    }

    /// Whether requests of a class may serve as trials of ejected endpoints: idempotent ones, if there are
    /// any.
    fn may_try_ejected(&self, class: usize) -> bool {
        let is_idempotent =
            |class: usize| self.settings.classes[class].idempotency == Idempotency::Idempotent;
        is_idempotent(class) || !(0..self.settings.classes.len()).any(is_idempotent)
    }
}
