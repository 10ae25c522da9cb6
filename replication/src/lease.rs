//! The figures that the promises are made of, and the formulas of what they promise.
//!
//! A member acts on the version in force only while it holds a lease, and by the neutral rules otherwise. The origin first
//! sees to it that every holder of a lease *knows* a version; then it comes *into force*, and from then on leases are
//! granted for it alone. Who has not heard storage the old version until its lease runs out.
use serde::{Deserialize, Serialize};

/// The settings of agreement. All times are in ms.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseConfig {
    /// How long a lease lasts, from the moment its holder asked for it.
    pub lease_ms: f64,
    /// How much faster or slower than true a clock may run: 0.01 for one in a hundred.
    #[serde(rename = "drift")]
    pub clock_drift_ratio: f64,
    /// Proposals that come within this time of each other may be put into one version.
    pub batch_ms: f64,
    /// The longest time from an ask to its answer for which [`LeaseConfig::max_activation_ms`] is promised.
    pub round_trip_ms: f64,
    /// What a gateway may spend on asks and answers, in bytes a second.
    pub bytes_per_s: f64,
    /// What a machine between may spend on its own asks and their answers, in bytes a second.
    #[serde(rename = "between_bytes_per_s")]
    pub replica_bytes_per_s: f64,
    /// How many seconds of these bytes may be saved up.
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
    /// The promise: no two members act on versions that contradict each other for longer, in ms of true time.
    pub fn max_conflict_ms(&self) -> f64 {
        self.lease_ms / (1.0 - self.clock_drift_ratio)
    }

    /// How long a grantor counts a lease of full length as held, by its own clock: longer than its holder does by any other.
    pub fn max_held_ms(&self) -> f64 {
        self.held_for_ms(self.lease_ms)
    }

    /// How long a grantor counts a lease of `lease_ms` as held, by its own clock.
    pub fn held_for_ms(&self, lease_ms: f64) -> f64 {
        lease_ms * (1.0 + self.clock_drift_ratio) / (1.0 - self.clock_drift_ratio)
    }

    /// The longest lease that may be handed on by who holds one for `remaining_ms` more by its own clock: it ends no later,
    /// whatever the two clocks do, and [`LeaseConfig::held_for_ms`] of it is no longer.
    pub fn sublease_ms(&self, remaining_ms: f64) -> f64 {
        remaining_ms * (1.0 - self.clock_drift_ratio) / (1.0 + self.clock_drift_ratio)
    }

    /// How often a member asks anew, in ms.
    pub fn poll_interval_ms(&self) -> f64 {
        self.lease_ms / 5.0
    }

    /// How often a machine between asks anew, in ms: its leases bound those of its followers, and its word is waited for.
    pub fn replica_poll_interval_ms(&self) -> f64 {
        self.poll_interval_ms() / 2.0
    }

    /// How soon a member asks anew that has something to tell: that it knows, or acts on, more than it said.
    pub fn prompt_poll_delay_ms(&self) -> f64 {
        self.poll_interval_ms() / 8.0
    }

    /// How long a member waits for an answer at most before it asks anew, in ms.
    pub fn response_timeout_ms(&self) -> f64 {
        self.lease_ms / 2.0
    }

    /// The promise: a version is in force at the last gateway that can be reached so long after its proposal, in ms of true
    /// time, with one machine between, one member dead or cut off one way, whatever versions came just before; where
    /// no message is lost on the other ways, and none takes longer than [`LeaseConfig::round_trip_ms`] there and back.
    ///
    /// FollowerEvent goes down by two asks that come by themselves, one at each floor, and what was taken is told up by two that come
    /// soon. A version waits for its batch; then until who died is counted no more, or until the version before, which may
    /// have come into force just then, is acted on by all; and has two floors to go down.
    pub fn max_activation_ms(&self) -> f64 {
        let takes = |ms: f64| ms / (1.0 - self.clock_drift_ratio) + self.round_trip_ms;
        let down = takes(self.replica_poll_interval_ms()) + takes(self.poll_interval_ms());
        let up = 2.0 * takes(self.prompt_poll_delay_ms());
        let held = self.max_held_ms() / (1.0 - self.clock_drift_ratio) + takes(self.prompt_poll_delay_ms());
        self.batch_ms / (1.0 - self.clock_drift_ratio) + held.max(2.0 * (down + up)) + down
    }
}
