//! The balancer: passes each event to the rules that depend on the event, and collects the resulting
//! actions.
//!
//! Each rule has a module of its own; [`Balancer`] owns the state of all rules. [`requests`] handles the
//! life cycle of a request, and [`endpoints`] handles endpoint updates and outcomes of attempts.

mod endpoints;
mod requests;

use crate::action::Action;
use crate::client_timeouts::ClientTimeouts;
use crate::discovery::Discovery;
use crate::event::{DiscoveryReport, Event};
use crate::failure_ratios::FailureRatios;
use crate::fleet::Fleet;
use crate::health_checks::HealthChecks;
use crate::ids::{EndpointId, RequestId};
use crate::latency_estimates::LatencyEstimates;
use crate::list_staleness::{ListStaleness, StalenessChange};
use crate::outlier_ejection::OutlierEjection;
use crate::pending_queue::PendingQueue;
use crate::rate_limiter::RateLimiter;
use crate::rejection_log::{RejectionContext, RejectionLog};
use crate::request::Request;
use crate::retry;
use crate::saturation::fleet_saturation;
use crate::settings::{Idempotency, Settings, SettingsError};
use crate::spillover::Spillover;
use crate::token_budget::TokenBudget;
use crate::wakeup::{WakeReasons, WakeUp};
use oorandom::Rand64;
use std::collections::BTreeMap;

/// The balancer of one gateway; the crate's documentation describes its use.
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
    list_staleness: ListStaleness,
    requests: BTreeMap<RequestId, Request>,
    pending: PendingQueue,
    rejections: RejectionLog,
    wake_up: WakeUp,
}

impl Balancer {
    /// Creates a balancer that knows no endpoints. `seed` seeds the random draws: the same settings, seed
    /// and events lead to the same actions.
    ///
    /// # Errors
    ///
    /// Returns the first setting whose value is invalid.
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
            list_staleness: ListStaleness::new(&settings),
            requests: BTreeMap::new(),
            pending: PendingQueue::default(),
            rejections: RejectionLog::default(),
            wake_up: WakeUp::new(settings.tick_ms),
            settings,
        })
    }

    /// Returns whether the balancer holds state for `endpoint`; the state may outlast the endpoint's
    /// removal from the list, for example while attempts are in flight.
    pub fn knows(&self, endpoint: EndpointId) -> bool {
        self.fleet.endpoints.contains(endpoint)
    }

    /// Returns the time from which no attempt may begin unless discovery responds before, in ms; `None` if
    /// the endpoint list does not become stale.
    pub fn list_stale_at_ms(&self) -> Option<f64> {
        self.list_staleness.stale_at_ms()
    }

    /// Handles one event that occurred at `now_ms` on the gateway's clock, and appends the actions to carry
    /// out to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate { kind, endpoints } => {
                self.on_endpoint_update(now_ms, kind, endpoints, actions);
            }
            Event::Discovery(report) => self.on_discovery_report(now_ms, report, actions),
            Event::Request(arrival) => self.on_request(now_ms, &arrival, actions),
            // The request stays open until the end of the attempt completes it.
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
        self.log_staleness(now_ms, actions);
        self.log_rejections(now_ms, actions);
        self.schedule_wake_up(now_ms, actions);
    }

    fn on_timer(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        self.wake_up.on_timer(now_ms);
        self.drain_pending(now_ms, actions);
        if self.discovery.take_due(now_ms) {
            actions.push(Action::WatchEndpoints);
        }
        if self.list_staleness.is_stale(now_ms) {
            return;
        }
        for endpoint in self.health_checks.due(now_ms, &mut self.fleet.endpoints) {
            actions.push(Action::HealthCheck { endpoint });
        }
    }

    /// Records the report, and sends pending requests if it makes the endpoint list fresh.
    fn on_discovery_report(&mut self, now_ms: f64, report: DiscoveryReport, actions: &mut Vec<Action>) {
        let was_stale = self.list_staleness.is_stale(now_ms);
        self.list_staleness.on_report(report);
        if was_stale {
            self.drain_pending(now_ms, actions);
        }
    }

    fn schedule_wake_up(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let reasons = WakeReasons {
            has_pending: !self.pending.is_empty(),
            has_health_checks: self.health_checks.enabled(),
            discovery_due_at_ms: self.discovery.due_at_ms(),
            list_stale_at_ms: self.list_staleness.wake_at_ms(now_ms),
        };
        if let Some(at_ms) = self.wake_up.schedule(now_ms, &reasons) {
            actions.push(Action::Timer { at_ms, token: 0 });
        }
    }

    fn log_staleness(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let line = match self.list_staleness.take_change(now_ms) {
            None => return,
            Some(StalenessChange::BecameStale) => {
                "endpoint list stale: not confirmed by discovery in time; no attempts until it responds"
                    .to_string()
            }
            Some(StalenessChange::BecameFresh { after_ms }) => {
                format!("endpoint list fresh: confirmed by discovery; was stale for {after_ms:.0} ms")
            }
        };
        actions.push(Action::Log(line));
    }

    fn log_rejections(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        if !self.rejections.is_due(now_ms) {
            return;
        }
        let in_use = self.fleet.endpoints.in_use();
        let context = RejectionContext {
            saturation: self.saturation(now_ms),
            traffic_share: self.fleet.traffic_share.own_share(),
            spillover_ratio: self.spillover.ratio(),
            pending_count: self.pending.len(),
            ejected_count: in_use.filter(|endpoint| endpoint.health.is_ejected()).count(),
        };
        actions.push(Action::Log(self.rejections.take_line(now_ms, &context)));
    }

    fn saturation(&self, now_ms: f64) -> f64 {
        fleet_saturation(now_ms, &self.fleet, !self.pending.is_empty())
    }

    /// Returns whether requests of `class` may be sent to ejected endpoints as trials: only idempotent
    /// requests are, unless no class is idempotent.
    fn may_try_ejected(&self, class: usize) -> bool {
        let is_idempotent =
            |class: usize| self.settings.classes[class].idempotency == Idempotency::Idempotent;
        is_idempotent(class) || !(0..self.settings.classes.len()).any(is_idempotent)
    }
}
