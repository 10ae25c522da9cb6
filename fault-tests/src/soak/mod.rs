//! The soak: drawn sites of real processes whose system calls fail, whose clocks step and which are stopped, alone
//! and
//! mixed, at each phase of a process's life, judged by the invariants.
//!
//! [`faults`] tells a process's shim what to inject, [`plan`] draws the runs, [`clients`] send requests, [`run`]
//! plays one
//! run and [`judge`] checks it, [`report`] sums up.
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

/// Plays plans, `jobs` of them at once.
///
/// # Errors
/// If a run cannot be continued; the error names its seed.
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
