//! What decides for a gateway: the project's module, or what its users would pick instead.
pub mod rivals;

use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use ternstack_balancer::{Action, Balancer, Event, Settings};

/// Decides for one gateway, behind the module's own interface.
pub trait Policy {
    /// Takes one event at a time in ms and appends what is to be done.
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>);
}

impl Policy for Balancer {
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// Settings of a gateway that is alone before warm hosts in one zone and has no retry to spare: for measuring one
/// decision, and the limiter by itself.
pub fn alone(
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
        slow_start_min_ratio: 1.0,
        slow_start_ms: 0.0,
        slow_start_overload_multiple: 3.0,
        removal_is_advisory: false,
        availability_weight: 0.0,
        availability_target_nines: None,
    }
}

/// Which policy a variant plays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Which {
    /// The project's module.
    #[default]
    Module,
    /// Evenly at random.
    Random,
    /// One after the other.
    RoundRobin,
    /// Where the fewest of the gateway's own attempts are out.
    LeastOutstanding,
    /// The better of two drawn at random, by attempts out.
    TwoChoices,
    /// Of two drawn at random the one with the lower peak-sensitive latency times attempts out.
    PeakEwma,
}

impl Which {
    /// All of them.
    pub const ALL: [Which; 6] = [
        Which::Module,
        Which::Random,
        Which::RoundRobin,
        Which::LeastOutstanding,
        Which::TwoChoices,
        Which::PeakEwma,
    ];

    /// Its name, in words.
    pub fn name(self) -> &'static str {
        match self {
            Which::Module => "module",
            Which::Random => "random",
            Which::RoundRobin => "round robin",
            Which::LeastOutstanding => "least outstanding",
            Which::TwoChoices => "two choices",
            Which::PeakEwma => "peak EWMA",
        }
    }

    /// Makes the policy of one gateway. `budget` is the part of the first attempts that may be repeated, where the
    /// policy has such a limit; the module has its own.
    pub fn make(self, settings: Settings, seed: u64, budget: Option<f64>) -> Result<Box<dyn Policy>, String> {
        settings.check().map_err(|e| e.to_string())?;
        Ok(match self {
            Which::Module => Box::new(Balancer::new(settings, seed).map_err(|e| e.to_string())?),
            rival => Box::new(rivals::Rival::new(rival, settings, seed, budget)),
        })
    }
}

/// A policy whose time on the wall is added up. The time goes nowhere near the run itself.
pub struct Metered {
    policy: Box<dyn Policy>,
    spent: Rc<Cell<Duration>>,
}

impl Metered {
    /// Adds to `spent` what the policy takes.
    pub fn new(policy: Box<dyn Policy>, spent: Rc<Cell<Duration>>) -> Self {
        Metered { policy, spent }
    }
}

impl Policy for Metered {
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        let begun = Instant::now();
        self.policy.handle(now, event, actions);
        self.spent.set(self.spent.get() + begun.elapsed());
    }
}
