//! Policies that decide for a gateway: the project's balancer, and baselines to compare it with.
pub mod baselines;

use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use ternstack_balancer::{Action, Balancer, Event, Settings};

/// Decides for one gateway, through the interface of the balancer.
pub trait Policy {
    /// Handles an event at a time in ms, and appends the resulting actions.
    fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>);
}

impl Policy for Balancer {
    fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now_ms, event, actions);
    }
}

/// Returns the settings of a single gateway in one zone, without retries or slow start: for measuring one
/// decision, and the rate limiter on its own.
pub fn single_gateway_settings(
    classes: Vec<ternstack_balancer::RequestClass>, tenants: Vec<ternstack_balancer::Tenant>,
) -> Settings {
    Settings {
        classes,
        tenants,
        gateway_count: 1,
        gateway_index: 0,
        zone: 0,
        tick_ms: 1.0,
        weights_reflect_load: false,
        cross_zone_cost_ratio: 0.0,
        connection_idle_timeout_ms: 1e6,
        load_report_delivery: ternstack_balancer::LoadReportDelivery::Inline,
        poll_discovery: false,
        max_attempts: 1,
        health_checks_allowed: false,
        cancellation_allowed: false,
        max_retry_after_ms: 1e9,
        max_discovery_age_ms: 1e6,
        drain_grace_ms: None,
        slow_start_min_ratio: 1.0,
        slow_start_ms: 0.0,
        slow_start_overload_multiple: 3.0,
        removal_is_advisory: false,
        availability_weight: 0.0,
        availability_target_nines: None,
    }
}

/// Policy of a variant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// The project's balancer.
    #[default]
    Module,
    /// Uniformly random.
    Random,
    /// Round robin.
    RoundRobin,
    /// The host with the fewest outstanding attempts of the gateway.
    LeastOutstanding,
    /// The better of two random hosts, by outstanding attempts.
    TwoChoices,
    /// The better of two random hosts, by peak-sensitive EWMA latency times outstanding attempts.
    PeakEwma,
}

impl PolicyKind {
    /// All policies, the balancer first.
    pub const ALL: [PolicyKind; 6] = [
        PolicyKind::Module,
        PolicyKind::Random,
        PolicyKind::RoundRobin,
        PolicyKind::LeastOutstanding,
        PolicyKind::TwoChoices,
        PolicyKind::PeakEwma,
    ];

    /// Returns the name, as reports show it.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Module => "module",
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round robin",
            PolicyKind::LeastOutstanding => "least outstanding",
            PolicyKind::TwoChoices => "two choices",
            PolicyKind::PeakEwma => "peak EWMA",
        }
    }

    /// Creates the policy of one gateway. `budget` is a baseline's retry budget as a share of the first
    /// attempts, `None` for no limit; the balancer ignores it because it has its own.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid.
    pub fn create(
        self, settings: Settings, seed: u64, budget: Option<f64>,
    ) -> Result<Box<dyn Policy>, String> {
        settings.check().map_err(|e| e.to_string())?;
        Ok(match self {
            PolicyKind::Module => Box::new(Balancer::new(settings, seed).map_err(|e| e.to_string())?),
            baseline => Box::new(baselines::Baseline::new(baseline, settings, seed, budget)),
        })
    }
}

/// Wrapper that records the wall-clock time of a policy; the time has no effect on the run.
pub struct TimedPolicy {
    policy: Box<dyn Policy>,
    spent: Rc<Cell<Duration>>,
}

impl TimedPolicy {
    /// Wraps a policy; the time of each call is added to `spent`.
    pub fn new(policy: Box<dyn Policy>, spent: Rc<Cell<Duration>>) -> Self {
        TimedPolicy { policy, spent }
    }
}

impl Policy for TimedPolicy {
    fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        let started = Instant::now();
        self.policy.handle(now_ms, event, actions);
        self.spent.set(self.spent.get() + started.elapsed());
    }
}
