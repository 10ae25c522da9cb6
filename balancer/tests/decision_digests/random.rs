//! A seeded random generator for the event streams, independent of any crate so that streams never change.

/// A splitmix64 generator.
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator; the same seed leads to the same values.
    pub fn new(seed: u64) -> Self {
        Random { state: seed }
    }

    /// Returns 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.state)
    }

    /// Returns a value that is uniform in [0, 1).
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a value that is uniform in [low, high).
    pub fn range(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Returns an integer that is uniform in 0..count.
    pub fn below(&mut self, count: usize) -> usize {
        (self.bits() % count as u64) as usize
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Returns an exponentially distributed value.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Returns one of the choices, all with equal probability.
    pub fn choose<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }
}

/// The output function of splitmix64, which spreads small numbers over all 64 bits.
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
