//! Latency between zones, and to clients.
use super::draw::{spread, stream, Purpose};
use super::spec;
use super::{us, Us};
use rand_chacha::ChaCha8Rng;

/// The network.
#[derive(Debug)]
pub struct Network {
    spec: spec::Network,
    rng: ChaCha8Rng,
}

impl Network {
    /// A network under a run's seed.
    pub fn new(spec: spec::Network, seed: u64) -> Self {
        Network { spec, rng: stream(seed, Purpose::Network, 0) }
    }

    /// One way between a gateway and a host.
    pub fn between(&mut self, zone: u32, other: u32) -> Us {
        let mean = if zone == other { self.spec.same_ms } else { self.spec.cross_ms };
        us(mean * spread(self.spec.jitter, &mut self.rng))
    }

    /// One way between a client and a gateway.
    pub fn to_client(&mut self) -> Us {
        us(self.spec.client_ms * spread(self.spec.jitter, &mut self.rng))
    }
}
