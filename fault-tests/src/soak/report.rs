//! What a soak has shown: a table of kinds by phases, and all violations.
use super::faults::{self, Phase};
use super::run::{Outcome, Plan};
use serde::Serialize;
use std::collections::BTreeMap;

/// One kind in one phase.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Cell {
    /// Runs with at least one injected event.
    pub runs: u64,
    /// Runs in which nothing was injected: they count as not run.
    pub without_event: u64,
    /// Injected events.
    pub injected: u64,
    /// Requests sent in that phase.
    pub requests: u64,
    /// Violations in these runs.
    pub violations: u64,
}

/// A run that broke something.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Its seed.
    pub seed: u64,
    /// Its kinds.
    pub kinds: Vec<&'static str>,
    /// Its phases.
    pub phases: Vec<Phase>,
    /// What was broken.
    pub violations: Vec<String>,
}

/// The whole of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// All runs.
    pub runs: u64,
    /// All requests.
    pub requests: u64,
    /// Those that got a host's answer.
    pub served: u64,
    /// Those that were refused.
    pub refused: u64,
    /// Those that failed.
    pub failed: u64,
    /// All violations.
    pub violations: u64,
    /// Kinds alone, by name and phase.
    pub alone: BTreeMap<&'static str, BTreeMap<Phase, Cell>>,
    /// Kinds in mixed runs, by name.
    pub mixed: BTreeMap<&'static str, Cell>,
    /// The runs that broke something.
    pub broken: Vec<Broken>,
    /// The most that the rig itself lagged, in ms.
    pub rig_lag_ms: u64,
}

impl Report {
    /// Takes in a run.
    pub fn add(&mut self, plan: &Plan, outcome: &Outcome) {
        let violations = outcome.violations.len() as u64;
        self.runs += 1;
        self.requests += outcome.requests.values().sum::<u64>();
        self.served += outcome.counts.served as u64;
        self.refused += outcome.counts.refused as u64;
        self.failed += outcome.counts.failed as u64;
        self.violations += violations;
        self.rig_lag_ms = self.rig_lag_ms.max(outcome.rig_lag_ms);
        let alone = plan.kinds.len() == 1 && plan.phases.len() == 1;
        for kind in &plan.kinds {
            let injected = outcome.injected.get(kind.name).copied().unwrap_or(0);
            let asked = plan.phases.iter().filter_map(|phase| outcome.requests.get(phase)).sum::<u64>();
            let cell = if alone {
                self.alone.entry(kind.name).or_default().entry(plan.phases[0]).or_default()
            } else {
                self.mixed.entry(kind.name).or_default()
            };
            cell.injected += injected;
            cell.requests += asked;
            cell.violations += violations;
            if injected > 0 || kind.name == "none" {
                cell.runs += 1;
            } else {
                cell.without_event += 1;
            }
        }
        if violations > 0 {
            self.broken.push(Broken {
                seed: plan.seed,
                kinds: plan.kinds.iter().map(|kind| kind.name).collect(),
                phases: plan.phases.clone(),
                violations: outcome.violations.iter().take(12).cloned().collect(),
            });
        }
    }

    /// The table as Markdown: runs / injected / requests / violations in each cell.
    pub fn table(&self) -> String {
        let mut text = String::from(
            "| kind | start | service | reload | shutdown | mixed |\n| --- | --- | --- | --- | --- | --- |\n",
        );
        let words = |cell: Option<&Cell>| match cell {
            Some(cell) if cell.runs > 0 => {
                format!("{} / {} / {} / {}", cell.runs, cell.injected, cell.requests, cell.violations)
            }
            _ => "not run".to_string(),
        };
        for kind in faults::ALL {
            let phases = self.alone.get(kind.name);
            let cells = Phase::ALL.map(|phase| words(phases.and_then(|phases| phases.get(&phase))));
            let mixed = words(self.mixed.get(kind.name));
            text += &format!("| `{}` | {} | {mixed} |\n", kind.name, cells.join(" | "));
        }
        text
    }
}
