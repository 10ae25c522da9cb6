//! The soak: random sites of real gateway processes, in which system calls fail, clocks step and processes
//! are stopped. Each kind of fault is injected alone and mixed with others, in each phase of a process's
//! life, and the invariants are checked.
//!
//! [`faults`] sets the faults that a process's shim injects, [`plan`] draws the runs, [`clients`] send
//! requests, [`run`] plays one run, [`judge`] checks its history, and [`report`] summarizes all runs.
pub mod clients;
pub mod faults;
pub mod judge;
pub mod plan;
pub mod report;
pub mod run;

pub use plan::plans;

use crate::error::Error;
use crate::process::Launch;
use plan::Plan;
use report::Report;
use tokio::task::JoinSet;

/// Plays plans, `jobs` of them at the same time, and returns the report of all runs.
///
/// # Errors
/// Returns an error if a run cannot be continued. The error contains the seed of the run.
pub async fn play(launch: &Launch, plans: Vec<Plan>, jobs: usize) -> Result<Report, Error> {
    let mut report = Report::default();
    let mut running = JoinSet::new();
    let mut waiting = plans.into_iter();
    loop {
        while running.len() < jobs.max(1) {
            let Some(plan) = waiting.next() else { break };
            let launch = launch.clone();
            running.spawn(async move { (run::play(&launch, &plan).await, plan) });
        }
        let Some(finished) = running.join_next().await else { return Ok(report) };
        let (outcome, plan) = finished?;
        let outcome =
            outcome.map_err(|source| Error::SoakRun { seed: plan.seed, source: Box::new(source) })?;
        report.add(&plan, &outcome);
    }
}
