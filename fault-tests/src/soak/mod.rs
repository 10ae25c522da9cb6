//! The soak: drawn sites of real processes whose system calls fail, whose clocks step and who stand still, alone and mixed,
//! at each phase of a process' life, judged by the checkers.
//!
//! [`faults`] tells a process' shim what to inject, [`clients`] send and misbehave, [`run`] plays one run, [`report`] sums up.
pub mod clients;
pub mod faults;
pub mod report;
pub mod run;

use crate::process::Launch;
use faults::Phase;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use report::Report;
use run::Plan;
use std::time::Duration;
use tokio::task::JoinSet;

/// The plans of a soak: each kind alone in each phase, in order, and then mixed ones with two or three kinds and a few dozen
/// processes at once.
pub fn plans(seed: u64, count: usize, service: Duration) -> Vec<Plan> {
    let alone = faults::ALL.iter().flat_map(|kind| Phase::ALL.map(|phase| (*kind, phase)));
    let mut plans: Vec<Plan> = Vec::new();
    for (n, (kind, phase)) in alone.take(count).enumerate() {
        plans.push(Plan::draw(seed.wrapping_add(n as u64), vec![kind], vec![phase], service, false));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while plans.len() < count {
        let number = plans.len() as u64;
        let kinds =
            (0..rng.random_range(2..=3)).map(|_| faults::ALL[rng.random_range(0..faults::ALL.len() - 1)]);
        let mut kinds: Vec<_> = kinds.collect();
        kinds.dedup_by_key(|kind| kind.name);
        let phases = Phase::ALL.into_iter().filter(|_| rng.random_bool(0.6)).collect();
        plans.push(Plan::draw(seed.wrapping_add(number), kinds, phases, service, true));
    }
    plans
}

/// Plays plans, so many at once.
pub async fn play(launch: &Launch, plans: Vec<Plan>, jobs: usize) -> Result<Report, String> {
    let mut report = Report::default();
    let mut playing = JoinSet::new();
    let mut waiting = plans.into_iter();
    loop {
        while playing.len() < jobs.max(1) {
            let Some(plan) = waiting.next() else { break };
            let launch = launch.clone();
            playing.spawn(async move { (run::play(&launch, &plan).await, plan) });
        }
        let Some(played) = playing.join_next().await else { return Ok(report) };
        let (outcome, plan) = played.map_err(|e| e.to_string())?;
        report.add(&plan, &outcome.map_err(|e| format!("seed {}: {e}", plan.seed))?);
    }
}
