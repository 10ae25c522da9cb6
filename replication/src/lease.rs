//! The settings of leases, and the bounds that follow from these settings.
//!
//! A gateway acts on the revision in force only while it holds a lease, and by conservative rules otherwise.
//! The primary first waits until every lease holder *knows* a revision. Then the revision comes *into force*,
//! and from then on leases are granted for this revision alone. A gateway that does not know yet that the
//! revision is in force acts on the previous one until its lease expires.
use serde::{Deserialize, Serialize};

pub(crate) const MS_PER_S: f64 = 1000.0;
pub(crate) const US_PER_MS: f64 = 1000.0;

/// The number of polls of a gateway during one lease: four polls may be lost before the lease expires.
const POLLS_PER_LEASE: f64 = 5.0;
/// The number of polls of a replica per poll of a gateway. A replica polls more often, because its lease
/// bounds the leases of its followers.
const REPLICA_POLLS_PER_GATEWAY_POLL: f64 = 2.0;
/// A follower with progress to report polls after the regular interval divided by this number.
const PROMPT_POLLS_PER_INTERVAL: f64 = 8.0;
/// A follower waits for a response for at most the duration of a lease divided by this number.
const RESPONSE_TIMEOUTS_PER_LEASE: f64 = 2.0;

/// The settings of leases, and of the bytes that followers may send and receive.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseConfig {
    /// How long a lease lasts from the moment its holder requested it, in ms.
    pub lease_ms: f64,
    /// How much faster or slower than true time a clock may run, as a ratio: 0.01 is one percent.
    #[serde(rename = "drift")]
    pub clock_drift_ratio: f64,
    /// The shortest time between two revisions of the primary, in ms; proposals made in between wait for the
    /// next one.
    pub batch_ms: f64,
    /// The longest round trip of a poll, in ms, for which [`LeaseConfig::max_activation_ms`] holds.
    pub round_trip_ms: f64,
    /// The byte budget of a gateway's polls and their responses, in bytes per second.
    pub bytes_per_s: f64,
    /// The byte budget of a replica's own polls and their responses, in bytes per second.
    #[serde(rename = "between_bytes_per_s")]
    pub replica_bytes_per_s: f64,
    /// How much unused byte budget may accumulate, in seconds of the budget.
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
    /// Returns the longest time for which two members may act on conflicting revisions, in ms of true time.
    pub fn max_conflict_ms(&self) -> f64 {
        self.lease_ms / (1.0 - self.clock_drift_ratio)
    }

    /// Returns how long a lessor counts a lease of full length as held, in ms of the lessor's clock.
    pub fn max_held_ms(&self) -> f64 {
        self.held_for_ms(self.lease_ms)
    }

    /// Returns how long a lessor counts a lease of `lease_ms` as held, in ms of the lessor's clock. As long as
    /// both clocks keep to the drift, the lessor never counts the lease as held for a shorter time than the
    /// holder does.
    pub fn held_for_ms(&self, lease_ms: f64) -> f64 {
        lease_ms * (1.0 + self.clock_drift_ratio) / (1.0 - self.clock_drift_ratio)
    }

    /// Returns the longest lease, in ms, that a replica may grant while its own lease lasts for another
    /// `remaining_ms` by its clock. As long as both clocks keep to the drift, the granted lease ends no later
    /// than the replica's, and [`LeaseConfig::held_for_ms`] of the granted lease is no longer than
    /// `remaining_ms`.
    pub fn sublease_ms(&self, remaining_ms: f64) -> f64 {
        remaining_ms * (1.0 - self.clock_drift_ratio) / (1.0 + self.clock_drift_ratio)
    }

    /// Returns the interval between two polls of a gateway, in ms.
    pub fn poll_interval_ms(&self) -> f64 {
        self.lease_ms / POLLS_PER_LEASE
    }

    /// Returns the interval between two polls of a replica, in ms.
    pub fn replica_poll_interval_ms(&self) -> f64 {
        self.poll_interval_ms() / REPLICA_POLLS_PER_GATEWAY_POLL
    }

    /// Returns how soon a follower polls again when it knows, or acts on, a newer revision than it has
    /// reported, in ms.
    pub fn prompt_poll_delay_ms(&self) -> f64 {
        self.poll_interval_ms() / PROMPT_POLLS_PER_INTERVAL
    }

    /// Returns the longest time for which a follower waits for a response before it polls again, in ms.
    pub fn response_timeout_ms(&self) -> f64 {
        self.lease_ms / RESPONSE_TIMEOUTS_PER_LEASE
    }

    /// Returns the longest time from a proposal until its revision is in force at the last reachable gateway,
    /// in ms of true time. The bound holds with one level of replicas between the primary and the gateways,
    /// with one member dead or cut off in one direction, and whatever revisions came directly before, provided
    /// that no message is lost on the other links and that none takes longer than
    /// [`LeaseConfig::round_trip_ms`].
    ///
    /// A revision travels down with two regular polls, one per level, and its acknowledgement travels up with
    /// two prompt polls. The revision waits for its batch, and then until the lease of a dead member has
    /// expired or until all members act on the previous revision, which may just have come into force. Then it
    /// travels down two levels again as the revision in force.
    pub fn max_activation_ms(&self) -> f64 {
        let poll_ms = |delay_ms: f64| delay_ms / (1.0 - self.clock_drift_ratio) + self.round_trip_ms;
        let down_ms = poll_ms(self.replica_poll_interval_ms()) + poll_ms(self.poll_interval_ms());
        let up_ms = 2.0 * poll_ms(self.prompt_poll_delay_ms());
        let wait_for_dead_ms =
            self.max_held_ms() / (1.0 - self.clock_drift_ratio) + poll_ms(self.prompt_poll_delay_ms());
        self.batch_ms / (1.0 - self.clock_drift_ratio)
            + wait_for_dead_ms.max(2.0 * (down_ms + up_ms))
            + down_ms
    }
}
