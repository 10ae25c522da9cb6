//! What a soak run plays, drawn from a seed.
use super::faults::{self, Kind, Phase};
use crate::site::SiteConfig;
use crate::stub_servers::{FaultEvery, ResponseFault};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A run: a site, and which faults are injected in which phases.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// The faults.
    pub kinds: Vec<Kind>,
    /// The phases in which they are injected.
    pub phases: Vec<Phase>,
    /// The site.
    pub site: SiteConfig,
    /// The response fault of every third host, if any.
    pub response_fault: Option<FaultEvery>,
    /// How many clients each gateway has.
    pub clients: usize,
    /// How long the site is in service before the reload.
    pub service: Duration,
    /// Whether a gateway is killed and restarted in service.
    pub kills: bool,
}

impl Plan {
    /// Draws a site for these faults.
    pub fn draw(seed: u64, kinds: Vec<Kind>, phases: Vec<Phase>, service: Duration, large: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
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
                .then_some(FaultEvery { fault, request_count: rng.random_range(3..20) }),
            clients: rng.random_range(3..8),
            service,
            kills: large,
        }
    }

    /// Whether a kind is among the faults.
    pub(super) fn injects(&self, name: &str) -> bool {
        self.kinds.iter().any(|kind| kind.name == name)
    }
}

/// The plans of a soak: each kind alone in each phase, in order, and then mixed ones with two or three kinds and a
/// few
/// dozen processes at once.
pub fn plans(seed: u64, count: usize, service: Duration) -> Vec<Plan> {
    let alone = faults::ALL.iter().flat_map(|kind| Phase::ALL.map(|phase| (*kind, phase)));
    let mut plans: Vec<Plan> = Vec::new();
    for (n, (kind, phase)) in alone.take(count).enumerate() {
        plans.push(Plan::draw(seed.wrapping_add(n as u64), vec![kind], vec![phase], service, false));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while plans.len() < count {
        let number = plans.len() as u64;
        // The last kind injects nothing.
        let kinds =
            (0..rng.random_range(2..=3)).map(|_| faults::ALL[rng.random_range(0..faults::ALL.len() - 1)]);
        let mut kinds: Vec<_> = kinds.collect();
        kinds.dedup_by_key(|kind| kind.name);
        let phases = Phase::ALL.into_iter().filter(|_| rng.random_bool(0.6)).collect();
        plans.push(Plan::draw(seed.wrapping_add(number), kinds, phases, service, true));
    }
    plans
}
