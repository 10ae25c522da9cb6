//! Draws schedules of random faults at random times, with a limit on how many faults overlap.
use super::{FaultAction, Schedule, Step};
use crate::links::{ConnectionHandling, CutAction, DirectionFaults, LinkFaults};
use crate::site::LinkTarget;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Minimum time between two steps that do not count as overlapping, in ms, because a process or link needs
/// time to recover.
const RECOVERY_MS: u64 = 1500;

impl Schedule {
    /// Draws a schedule of at most `count` steps from `seed`. At most half of the gateways are affected at
    /// the same time, and at most one host drains.
    pub fn draw(seed: u64, gateways: usize, hosts: usize, length_ms: u64, count: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut steps: Vec<Step> = Vec::new();
        let max_affected_gateways = (gateways / 2).max(1);
        for _ in 0..count {
            let at_ms = rng.random_range(0..length_ms * 3 / 4);
            let for_ms = rng.random_range(length_ms / 20..=length_ms / 6);
            let gateway = rng.random_range(0..gateways);
            let host = rng.random_range(0..hosts);
            let action = draw_action(&mut rng, gateway, host);
            let step = Step { at_ms, for_ms, action };
            let overlapping: Vec<&Step> = steps.iter().filter(|other| overlap(other, &step)).collect();
            let same_target = overlapping.iter().any(|other| other.action.gateway() == step.action.gateway());
            let affected_gateways =
                overlapping.iter().filter(|other| other.action.gateway().is_some()).count();
            let too_many_affected =
                step.action.gateway().is_some() && affected_gateways >= max_affected_gateways;
            if !same_target && !too_many_affected {
                steps.push(step);
            }
        }
        steps.sort_by_key(|step| step.at_ms);
        Schedule { gateways, hosts, length_ms, steps }
    }
}

fn overlap(first: &Step, second: &Step) -> bool {
    first.at_ms < second.at_ms + second.for_ms + RECOVERY_MS
        && second.at_ms < first.at_ms + first.for_ms + RECOVERY_MS
}

fn draw_action(rng: &mut ChaCha8Rng, gateway: usize, host: usize) -> FaultAction {
    match rng.random_range(0..10) {
        0 => FaultAction::Kill { gateway },
        1 => FaultAction::Pause { gateway },
        2 => FaultAction::Term { gateway },
        3 => FaultAction::Drain { host },
        number => {
            let targets =
                [LinkTarget::Clients, LinkTarget::Host(host), LinkTarget::Hosts, LinkTarget::Discovery];
            let target = targets[number as usize % 4];
            FaultAction::Link { gateway, target, faults: draw_link_faults(rng) }
        }
    }
}

fn draw_link_faults(rng: &mut ChaCha8Rng) -> LinkFaults {
    let cut_action = [CutAction::Reset, CutAction::End, CutAction::Silence][rng.random_range(0..3)];
    let no_faults = DirectionFaults::default();
    let direction = match rng.random_range(0..5) {
        0 => DirectionFaults { stalled: true, ..no_faults },
        1 => DirectionFaults { delay_ms: rng.random_range(5..200), ..no_faults },
        2 => DirectionFaults { jitter_ms: rng.random_range(5..200), ..no_faults },
        3 => DirectionFaults { bytes_per_s: Some(rng.random_range(500..20_000)), ..no_faults },
        _ => DirectionFaults { cut_after: Some((rng.random_range(1..600), cut_action)), ..no_faults },
    };
    let no_faults = LinkFaults::default();
    match rng.random_range(0..6) {
        0 => LinkFaults { connection_handling: ConnectionHandling::Refused, ..no_faults },
        1 => LinkFaults { connection_handling: ConnectionHandling::BlackHole, ..no_faults },
        2 => LinkFaults { connection_handling: ConnectionHandling::Reset, ..no_faults },
        3 => LinkFaults { forward: direction, ..no_faults },
        4 => LinkFaults { reverse: direction, ..no_faults },
        _ => LinkFaults { forward: direction, reverse: direction, ..no_faults },
    }
}
