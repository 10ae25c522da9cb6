//! The plans of soak runs, drawn from a seed.
use super::faults::{self, Kind, Phase};
use crate::site::SiteConfig;
use crate::stub_servers::{RecurringFault, ResponseFault};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The number of idle clients of a crowd, more than a gateway of the site has descriptors.
const CROWD_CLIENTS: usize = 300;
/// A number that makes the generator of a plan's end another one than that of its begin.
const END_SEED: u64 = 0x656e_6421;

/// The plan of a soak run: a site, the faults to inject, and the phases of the injection.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the run.
    pub seed: u64,
    /// Kinds of faults that are injected.
    pub kinds: Vec<Kind>,
    /// Phases in which the faults are injected.
    pub phases: Vec<Phase>,
    /// Size and settings of the site.
    pub site: SiteConfig,
    /// Response fault of every third host, if any.
    pub response_fault: Option<RecurringFault>,
    /// Number of clients per gateway.
    pub clients: usize,
    /// Length of the service phase, which ends with the reload.
    pub service: Duration,
    /// Whether gateway 0 is killed and restarted in the service phase.
    pub kills: bool,
    /// Number of idle clients per gateway, which connect again whenever they are disconnected.
    pub crowd: usize,
    /// Whether signals come in series: several reloads, and further signals after SIGTERM.
    pub has_signal_series: bool,
    /// Whether the gateways are killed at the earliest time after SIGTERM; otherwise they exit by themselves.
    pub is_killed_at_shutdown: bool,
}

impl Plan {
    /// Draws a plan with these kinds of faults from `seed`. A large site has 8 to 16 gateways, any other 1 to
    /// 3.
    pub fn draw(seed: u64, kinds: Vec<Kind>, phases: Vec<Phase>, service: Duration, large: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // A generator of its own, so that the other values of a seed stay as they were.
        let mut end_rng = ChaCha8Rng::seed_from_u64(seed ^ END_SEED);
        let gateways = if large { rng.random_range(8..=16) } else { rng.random_range(1..=3) };
        let fault = ResponseFault::ALL[rng.random_range(0..ResponseFault::ALL.len())];
        Plan {
            seed,
            kinds,
            phases,
            site: SiteConfig {
                gateways,
                hosts: [2, 3, 5, 9][rng.random_range(0..4)],
                client_timeout: Duration::from_millis([400, 1000, 1600][rng.random_range(0..3)]),
                service_time: Duration::from_millis(rng.random_range(2..25)),
                deduplication_window_ms: [150, 300, 800, 5000][rng.random_range(0..4)],
                push_discovery: rng.random_bool(0.5),
                allow_cancellation: rng.random_bool(0.5),
            },
            response_fault: rng
                .random_bool(0.6)
                .then_some(RecurringFault { fault, period: rng.random_range(3..20) }),
            clients: rng.random_range(3..8),
            service,
            kills: large,
            crowd: if !large && end_rng.random_bool(0.25) { CROWD_CLIENTS } else { 0 },
            has_signal_series: end_rng.random_bool(0.5),
            is_killed_at_shutdown: end_rng.random_bool(0.5),
        }
    }

    /// Returns whether the plan injects the kind of faults named `name`.
    pub(super) fn injects(&self, name: &str) -> bool {
        self.kinds.iter().any(|kind| kind.name == name)
    }
}

/// Returns the `count` plans of a soak: first each kind alone in each phase, in order, then mixed plans with
/// two or three kinds on a large site.
pub fn plans(seed: u64, count: usize, service: Duration) -> Vec<Plan> {
    let alone = faults::ALL.iter().flat_map(|kind| Phase::ALL.map(|phase| (*kind, phase)));
    let mut plans: Vec<Plan> = Vec::new();
    for (n, (kind, phase)) in alone.take(count).enumerate() {
        plans.push(Plan::draw(seed.wrapping_add(n as u64), vec![kind], vec![phase], service, false));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while plans.len() < count {
        let number = plans.len() as u64;
        // The last kind is excluded, because it injects nothing.
        let kinds =
            (0..rng.random_range(2..=3)).map(|_| faults::ALL[rng.random_range(0..faults::ALL.len() - 1)]);
        let mut kinds: Vec<_> = kinds.collect();
        kinds.dedup_by_key(|kind| kind.name);
        let phases = Phase::ALL.into_iter().filter(|_| rng.random_bool(0.6)).collect();
        plans.push(Plan::draw(seed.wrapping_add(number), kinds, phases, service, true));
    }
    plans
}
