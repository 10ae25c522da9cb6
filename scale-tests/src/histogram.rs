//! Histograms of durations that worker processes serialize and send to the run.
use hdrhistogram::Histogram;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Ten minutes; a longer duration is recorded as ten minutes.
const MAX_DURATION_US: u64 = 600_000_000;

/// A histogram of durations in us, exact to three significant digits.
#[derive(Clone, Debug)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        // The constructor accepts these constant bounds, so the error branch is unreachable.
        DurationHistogram(
            Histogram::new_with_bounds(1, MAX_DURATION_US, 3)
                .unwrap_or_else(|_| unreachable!("the histogram bounds are valid")),
        )
    }
}

impl DurationHistogram {
    /// Records a duration.
    pub fn record(&mut self, us: u64) {
        self.0.saturating_record(us);
    }

    /// Adds all durations of another histogram.
    pub fn merge(&mut self, other: &DurationHistogram) {
        for bucket in other.0.iter_recorded() {
            self.0.saturating_record_n(bucket.value_iterated_to(), bucket.count_at_value());
        }
    }

    /// Returns the number of recorded durations.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns the duration, in ms, that a share (0 to 1) of the recorded durations doesn't exceed; 0 for an
    /// empty histogram.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.0.value_at_quantile(share) as f64 / 1e3
    }

    /// Returns the longest duration in ms; 0 for an empty histogram.
    pub fn max_ms(&self) -> f64 {
        self.0.max() as f64 / 1e3
    }

    /// Returns `(duration in ms, count)` of each non-empty bucket, in ascending order.
    pub fn buckets(&self) -> Vec<(f64, u64)> {
        self.0.iter_recorded().map(|b| (b.value_iterated_to() as f64 / 1e3, b.count_at_value())).collect()
    }
}

impl Serialize for DurationHistogram {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.0.iter_recorded().map(|b| (b.value_iterated_to(), b.count_at_value())))
    }
}

impl<'de> Deserialize<'de> for DurationHistogram {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut histogram = DurationHistogram::default();
        for (us, count) in Vec::<(u64, u64)>::deserialize(deserializer)? {
            histogram.0.saturating_record_n(us, count);
        }
        Ok(histogram)
    }
}
