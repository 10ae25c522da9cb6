//! Settings of leases, and the bounds that follow from them.
//!
//! A gateway acts on the revision in force only while it holds a lease, and by conservative rules otherwise. The primary
//! first makes sure that every lease holder *knows* a revision; then the revision comes *into force*, and from then on
//! leases are granted for it alone. A gateway that has not heard of it keeps the old revision until its lease expires.
use serde::{Deserialize, Serialize};

/// Milliseconds in a second.
pub(crate) const MS_PER_S: f64 = 1000.0;
/// Microseconds in a millisecond.
pub(crate) const US_PER_MS: f64 = 1000.0;

/// Polls in the duration of one lease: four may be lost before it expires.
const POLLS_PER_LEASE_RATIO: f64 = 5.0;
/// A replica polls this many times as often as a gateway: its lease bounds those of its followers.
const REPLICA_POLL_RATIO: f64 = 2.0;
/// A follower with progress to report waits for a regular interval divided by this.
const PROMPT_POLLS_PER_INTERVAL_RATIO: f64 = 8.0;
/// The duration of a lease divided by this is the longest wait for a response.
const RESPONSE_TIMEOUTS_PER_LEASE_RATIO: f64 = 2.0;

/// The settings of leases and of what followers may send and receive.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseConfig {
    /// How long a lease lasts from the moment its holder asked for it, in ms.
    pub lease_ms: f64,
    /// How much faster or slower than true time a clock may run, as a ratio: 0.01 is one percent.
    #[serde(rename = "drift")]
    pub clock_drift_ratio: f64,
    /// The primary creates a revision at most once in this time, in ms; proposals wait for the next one.
    pub batch_ms: f64,
    /// The longest round trip of a poll, in ms, for which [`LeaseConfig::max_activation_ms`] holds.
    pub round_trip_ms: f64,
    /// What a gateway's polls and their responses may use, in bytes per second.
    pub bytes_per_s: f64,
    /// What a replica's own polls and their responses may use, in bytes per second.
    #[serde(rename = "between_bytes_per_s")]
    pub replica_bytes_per_s: f64,
    /// How many seconds of these bytes may accumulate, in s.
    pub burst_s: f64,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        LeaseConfig {
            lease_ms: 1900.0,
            clock_drift_ratio: 0.01,
            batch_ms: 200.0,
            round_trip_ms: 200.0,
            bytes_per_s: 12_000.0,
            replica_bytes_per_s: 2_000_000.0,
            burst_s: 2.0,
        }
    }
}

impl LeaseConfig {
    /// The longest time for which two members may act on revisions that conflict, in ms of true time.
    pub fn max_conflict_ms(&self) -> f64 {
        self.lease_ms / (1.0 - self.clock_drift_ratio)
    }

    /// How long a lessor counts a lease of full length as held, in ms of its own clock.
    pub fn max_held_ms(&self) -> f64 {
        self.held_for_ms(self.lease_ms)
    }

    /// How long a lessor counts a lease of `lease_ms` as held, in ms of its own clock: never shorter than its holder does,
    /// whatever the two clocks do.
    pub fn held_for_ms(&self, lease_ms: f64) -> f64 {
        lease_ms * (1.0 + self.clock_drift_ratio) / (1.0 - self.clock_drift_ratio)
    }

    /// The longest lease, in ms, that may be granted by a replica whose own lease lasts `remaining_ms` by its clock: it ends
    /// no later than the replica's, whatever the two clocks do, and [`LeaseConfig::held_for_ms`] of it is no longer.
    pub fn sublease_ms(&self, remaining_ms: f64) -> f64 {
        remaining_ms * (1.0 - self.clock_drift_ratio) / (1.0 + self.clock_drift_ratio)
    }

    /// How often a gateway polls, in ms.
    pub fn poll_interval_ms(&self) -> f64 {
        self.lease_ms / POLLS_PER_LEASE_RATIO
    }

    /// How often a replica polls, in ms.
    pub fn replica_poll_interval_ms(&self) -> f64 {
        self.poll_interval_ms() / REPLICA_POLL_RATIO
    }

    /// How soon a follower polls again when it knows, or acts on, a newer revision than it has reported, in ms.
    pub fn prompt_poll_delay_ms(&self) -> f64 {
        self.poll_interval_ms() / PROMPT_POLLS_PER_INTERVAL_RATIO
    }

    /// The longest time for which a follower waits for a response before it polls again, in ms.
    pub fn response_timeout_ms(&self) -> f64 {
        self.lease_ms / RESPONSE_TIMEOUTS_PER_LEASE_RATIO
    }

    /// The longest time from a proposal until its revision is in force at the last reachable gateway, in ms of true time:
    /// with one replica in between and one member dead or cut off in one direction, whatever revisions came just before;
    /// provided that no message is lost on the other links and none takes longer than [`LeaseConfig::round_trip_ms`].
    ///
    /// A revision travels down by two regular polls, one a level, and its acknowledgement travels up by two prompt polls. It
    /// waits for its batch, then until a dead member's lease has expired or until all act on the revision before, which may
    /// just have come into force; and then it travels down two levels.
    pub fn max_activation_ms(&self) -> f64 {
        let takes = |ms: f64| ms / (1.0 - self.clock_drift_ratio) + self.round_trip_ms;
        let down = takes(self.replica_poll_interval_ms()) + takes(self.poll_interval_ms());
        let up = 2.0 * takes(self.prompt_poll_delay_ms());
        let held = self.max_held_ms() / (1.0 - self.clock_drift_ratio) + takes(self.prompt_poll_delay_ms());
        self.batch_ms / (1.0 - self.clock_drift_ratio) + held.max(2.0 * (down + up)) + down
    }
}
