//! Random settings and fleets of the event streams, over the range of the known deployments.

use crate::adapter::{StreamClass, StreamSettings};
use crate::random::Random;

/// The settings of one stream's gateway, and the behaviour of its endpoints and clients.
pub struct Scenario {
    pub settings: StreamSettings,
    pub endpoint_count: usize,
    pub zone_count: u32,
    pub cell_size: usize,
    /// Requests per second that a warm endpoint can serve.
    pub capacity_per_s: f64,
    /// Response time of an idle endpoint, in ms.
    pub service_ms: f64,
    /// Mean time between two faults or list changes, in ms.
    pub fault_every_ms: f64,
    /// Demand relative to the fleet's capacity, in each phase.
    pub loads: Vec<f64>,
    pub phase_ms: f64,
    /// Whether utilization, throughput and queue length are reported.
    pub reported: [bool; 3],
    /// Fraction of the clients with an unusual timeout, mostly a short one.
    pub unusual_timeout_ratio: f64,
    /// Whether clients retry after a rejection or failure.
    pub clients_retry: bool,
    /// Whether responses are streamed.
    pub streamed: bool,
    pub event_count: usize,
}

/// First of the slow streams, whose events cover minutes, so that long timeouts pass.
pub const FIRST_SLOW_STREAM: u64 = 300;

/// First of the streams in which requests with idempotency keys are retried in an overloaded fleet, within
/// short deduplication windows.
pub const FIRST_KEYED_STREAM: u64 = 340;

/// Draws the scenario of a stream.
pub fn draw_scenario(stream: u64, random: &mut Random) -> Scenario {
    let mut scenario = draw_common_scenario(stream, random);
    if stream >= FIRST_KEYED_STREAM {
        for class in &mut scenario.settings.classes {
            class.idempotency = 1;
            class.deadline_ms = class.objective_ms * 4.0;
            class.late_value_ratio = 0.2;
            class.deduplication_window_ms = class.objective_ms * random.range(0.1, 1.0);
        }
        scenario.settings.max_attempts = 4;
        scenario.loads = vec![random.range(1.2, 3.0), 0.5];
        scenario.fault_every_ms = random.range(200.0, 900.0);
        scenario.event_count = 1500;
    } else if stream >= FIRST_SLOW_STREAM {
        scenario.capacity_per_s = random.range(0.5, 3.0);
        scenario.fault_every_ms = random.range(4000.0, 9000.0);
        scenario.phase_ms = random.range(15_000.0, 60_000.0);
        scenario.settings.removal_is_advisory = !stream.is_multiple_of(4);
    }
    scenario
}

/// Draws a scenario without the changes that distinguish slow streams and streams with idempotency keys.
fn draw_common_scenario(stream: u64, random: &mut Random) -> Scenario {
    let zone_count = random.choose(&[1, 2, 2, 3]);
    // Every tenth stream simulates one gateway of a large fleet.
    let (gateway_count, endpoint_count) = match stream % 10 {
        9 => (random.choose(&[40, 120, 300]), 30 + random.below(50)),
        8 => (8 + random.below(20) as u32, 16 + random.below(40)),
        7 => (1, 1 + random.below(3)),
        _ => (1 + random.below(6) as u32, 4 + random.below(13)),
    };
    let capacity_per_s = random.range(8.0, 60.0);
    let load_report_delivery = random.choose(&[0, 0, 1, 2]);
    let classes = draw_classes(random);
    let shortest_objective_ms = classes.iter().map(|class| class.objective_ms).fold(f64::INFINITY, f64::min);
    let fleet_per_s = capacity_per_s * endpoint_count as f64;
    let tenant_count = random.below(4);
    let settings = StreamSettings {
        classes,
        tenant_quotas_per_s: (0..tenant_count).map(|_| draw_quota(random, fleet_per_s)).collect(),
        gateway_count,
        gateway_index: random.below(gateway_count as usize) as u32,
        zone: random.below(zone_count as usize) as u32,
        tick_ms: random.choose(&[1.0, 5.0, 5.0, 12.5]),
        weights_reflect_load: random.chance(0.35),
        cross_zone_cost_ratio: random.choose(&[0.0, 0.01, 0.02, 0.3]),
        connection_idle_timeout_ms: random.choose(&[2000.0, 12_000.0, 30_000.0]),
        load_report_delivery,
        poll_discovery: random.chance(0.5),
        max_attempts: 1 + random.below(4) as u32,
        health_checks_allowed: load_report_delivery == 1 || random.chance(0.3),
        cancellation_allowed: random.chance(0.6),
        max_retry_after_ms: random.choose(&[0.0, 900.0, 2000.0]),
        max_discovery_age_ms: random.choose(&[1500.0, 6000.0, 10_000.0]),
        slow_start_min_ratio: random.range(0.05, 0.6),
        slow_start_ms: random.choose(&[3000.0, 7800.0, 20_000.0]),
        slow_start_overload_multiple: random.range(1.5, 4.5),
        removal_is_advisory: random.chance(0.5),
        availability_weight: random.choose(&[0.0, 0.4, 1.0]),
        availability_target_nines: random.choose(&[None, Some(4.5)]),
    };
    Scenario {
        endpoint_count,
        zone_count,
        cell_size: 1 + random.below(8),
        capacity_per_s,
        service_ms: shortest_objective_ms * random.range(0.05, 0.45),
        fault_every_ms: random.range(600.0, 5000.0),
        loads: draw_loads(random),
        phase_ms: random.range(2000.0, 9000.0),
        reported: [random.chance(0.9), random.chance(0.9), random.chance(0.6)],
        unusual_timeout_ratio: random.choose(&[0.0, 0.05, 0.3]),
        clients_retry: random.chance(0.7),
        streamed: random.chance(0.2),
        event_count: 500 + random.below(900),
        settings,
    }
}

fn draw_classes(random: &mut Random) -> Vec<StreamClass> {
    let objective_scale = random.choose(&[0.2, 1.0, 1.0, 4.0]);
    let same_idempotency = random.chance(0.3).then(|| random.below(3) as u8);
    let count = 1 + random.below(3);
    let mut classes = Vec::new();
    for _ in 0..count {
        let objective_ms = objective_scale * random.range(150.0, 400.0);
        classes.push(StreamClass {
            objective_ms,
            deadline_ms: objective_ms * random.range(1.0, 4.2),
            late_value_ratio: random.choose(&[0.0, 0.0, 0.1, 0.2, 1.0]),
            idempotency: same_idempotency.unwrap_or_else(|| random.below(3) as u8),
            deduplication_scope: random.below(3) as u8,
            deduplication_window_ms: objective_ms * random.range(0.3, 2.0),
        });
    }
    classes
}

fn draw_quota(random: &mut Random, fleet_per_s: f64) -> f64 {
    match random.below(4) {
        0 => 0.0,
        1 => fleet_per_s * random.range(0.02, 0.15),
        _ => fleet_per_s * random.range(0.15, 0.5),
    }
}

fn draw_loads(random: &mut Random) -> Vec<f64> {
    let count = 2 + random.below(4);
    (0..count).map(|_| random.choose(&[0.15, 0.4, 0.6, 0.8, 1.0, 1.4, 1.9, 3.0])).collect()
}
