//! Times as histograms that travel between processes.
use hdrhistogram::Histogram;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The longest time that is told from longer ones: ten minutes.
const LONGEST_US: u64 = 600_000_000;

/// A histogram of times in us, to three digits.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        // These bounds are within what a histogram can have. What is longer counts as the longest.
        Times(Histogram::new_with_bounds(1, LONGEST_US, 3).unwrap_or_else(|_| unreachable!("sound bounds")))
    }
}

impl Times {
    /// Takes one in.
    pub fn record(&mut self, us: u64) {
        self.0.saturating_record(us);
    }

    /// Takes another histogram in.
    pub fn join(&mut self, other: &Times) {
        for step in other.0.iter_recorded() {
            self.0.saturating_record_n(step.value_iterated_to(), step.count_at_value());
        }
    }

    /// How many there are.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The time within which a share (0 to 1) of them is, in ms; 0 where there are none.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.0.value_at_quantile(share) as f64 / 1e3
    }

    /// The longest, in ms; 0 where there are none.
    pub fn longest_ms(&self) -> f64 {
        self.0.max() as f64 / 1e3
    }

    /// `(ms, how many)` in order.
    pub fn steps(&self) -> Vec<(f64, u64)> {
        self.0.iter_recorded().map(|s| (s.value_iterated_to() as f64 / 1e3, s.count_at_value())).collect()
    }
}

impl Serialize for Times {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_seq(self.0.iter_recorded().map(|s| (s.value_iterated_to(), s.count_at_value())))
    }
}

impl<'de> Deserialize<'de> for Times {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let mut times = Times::default();
        for (us, count) in Vec::<(u64, u64)>::deserialize(from)? {
            times.0.saturating_record_n(us, count);
        }
        Ok(times)
    }
}
