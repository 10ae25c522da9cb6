//! The report of a soak: a table of fault kinds by phases, and all violations.
use super::faults::{self, Phase};
use super::judge::Outcome;
use super::plan::Plan;
use serde::Serialize;
use std::collections::BTreeMap;

/// The sums over the runs of a kind in a phase, or over the mixed runs of a kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Cell {
    /// Number of runs in which at least one fault of the kind was injected.
    pub runs: u64,
    /// Number of runs in which no fault of the kind was injected, which count as not run.
    pub without_event: u64,
    /// Number of faults of the kind that were injected.
    pub injected: u64,
    /// Number of requests that were sent in the phases of the runs' plans.
    pub requests: u64,
    /// Number of violations.
    pub violations: u64,
}

/// A run with violations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FailedRun {
    /// Seed of the run.
    pub seed: u64,
    /// Names of the kinds of faults that were injected.
    pub kinds: Vec<&'static str>,
    /// Phases in which the faults were injected.
    pub phases: Vec<Phase>,
    /// First 12 violations of the run.
    pub violations: Vec<String>,
}

/// The report of a soak.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Number of runs.
    pub runs: u64,
    /// Number of requests that were sent.
    pub requests: u64,
    /// Number of responses with status 200.
    pub served: u64,
    /// Number of responses with status 429 or 503.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of complete responses with any other status.
    pub failed: u64,
    /// Number of violations.
    pub violations: u64,
    /// Runs of a single kind in a single phase, by name of the kind and phase.
    pub alone: BTreeMap<&'static str, BTreeMap<Phase, Cell>>,
    /// Mixed runs, by name of the kind.
    pub mixed: BTreeMap<&'static str, Cell>,
    /// Runs with violations.
    #[serde(rename = "broken")]
    pub failed_runs: Vec<FailedRun>,
    /// Largest delay of the timers of the test program itself in any run, in ms.
    #[serde(rename = "rig_lag_ms")]
    pub harness_lag_ms: u64,
}

impl Report {
    /// Adds the outcome of a run.
    pub fn add(&mut self, plan: &Plan, outcome: &Outcome) {
        let violations = outcome.violations.len() as u64;
        self.runs += 1;
        self.requests += outcome.requests.values().sum::<u64>();
        self.served += outcome.counts.served as u64;
        self.rejected += outcome.counts.rejected as u64;
        self.failed += outcome.counts.failed as u64;
        self.violations += violations;
        self.harness_lag_ms = self.harness_lag_ms.max(outcome.harness_lag_ms);
        let alone = plan.kinds.len() == 1 && plan.phases.len() == 1;
        for kind in &plan.kinds {
            let injected = outcome.injected.get(kind.name).copied().unwrap_or(0);
            let sent = plan.phases.iter().filter_map(|phase| outcome.requests.get(phase)).sum::<u64>();
            let cell = if alone {
                self.alone.entry(kind.name).or_default().entry(plan.phases[0]).or_default()
            } else {
                self.mixed.entry(kind.name).or_default()
            };
            cell.injected += injected;
            cell.requests += sent;
            cell.violations += violations;
            if injected > 0 || kind.name == "none" {
                cell.runs += 1;
            } else {
                cell.without_event += 1;
            }
        }
        if violations > 0 {
            self.failed_runs.push(FailedRun {
                seed: plan.seed,
                kinds: plan.kinds.iter().map(|kind| kind.name).collect(),
                phases: plan.phases.clone(),
                violations: outcome.violations.iter().take(12).cloned().collect(),
            });
        }
    }

    /// Returns the table as Markdown. A cell shows runs / injected faults / requests / violations.
    pub fn table(&self) -> String {
        let mut text = String::from(
            "| kind | start | service | reload | shutdown | mixed |\n| --- | --- | --- | --- | --- | --- |\n",
        );
        let cell_text = |cell: Option<&Cell>| match cell {
            Some(cell) if cell.runs > 0 => {
                format!("{} / {} / {} / {}", cell.runs, cell.injected, cell.requests, cell.violations)
            }
            _ => "not run".to_string(),
        };
        for kind in faults::ALL {
            let phases = self.alone.get(kind.name);
            let cells = Phase::ALL.map(|phase| cell_text(phases.and_then(|phases| phases.get(&phase))));
            let mixed = cell_text(self.mixed.get(kind.name));
            text += &format!("| `{}` | {} | {mixed} |\n", kind.name, cells.join(" | "));
        }
        text
    }
}
