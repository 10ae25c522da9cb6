//! Latency between zones, and between clients and gateways.
use super::draw::{spread, stream, Purpose};
use super::spec;
use super::{us, Us};
use rand_chacha::ChaCha8Rng;

/// Network with random latencies.
#[derive(Debug)]
pub struct Network {
    spec: spec::Network,
    rng: ChaCha8Rng,
}

impl Network {
    /// Creates a network whose random latencies are determined by the run's seed.
    pub fn new(spec: spec::Network, seed: u64) -> Self {
        Network { spec, rng: stream(seed, Purpose::Network, 0) }
    }

    /// Draws the one-way latency between a gateway's zone and a host's zone.
    pub fn between(&mut self, zone: u32, other: u32) -> Us {
        let mean = if zone == other { self.spec.same_ms } else { self.spec.cross_ms };
        us(mean * spread(self.spec.jitter, &mut self.rng))
    }

    /// Draws the one-way latency between a client and a gateway.
    pub fn to_client(&mut self) -> Us {
        us(self.spec.client_ms * spread(self.spec.jitter, &mut self.rng))
    }
}
