//! What decides for a gateway: the project's module, or what its users would pick instead.
pub mod rivals;

use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use ternstack::{Action, Balancer, Event, Settings};

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

impl Which {
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
