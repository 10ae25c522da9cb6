//! Seeded draws for the event streams, independent of any crate so that a stream never changes.

/// The splitmix64 generator.
pub struct Random {
    state: u64,
}

impl Random {
    /// A generator that repeats its draws for the same seed.
    pub fn new(seed: u64) -> Self {
        Random { state: seed }
    }

    /// The next 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.state)
    }

    /// Uniform in [0, 1).
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Uniform in [low, high).
    pub fn range(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Uniform in 0..count.
    pub fn below(&mut self, count: usize) -> usize {
        (self.bits() % count as u64) as usize
    }

    /// True with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Exponentially distributed.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// One of the choices.
    pub fn choose<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }
}

/// Splitmix64's output function: spreads small numbers over all 64 bits.
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
