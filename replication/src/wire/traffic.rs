//! How many messages and bytes a control server or a follower has exchanged, by cause.
use serde::{Deserialize, Serialize};

/// A number of messages and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficCount {
    /// Messages.
    pub messages: u64,
    /// Bytes of their frames.
    pub bytes: u64,
}

/// Messages and bytes by cause. A message counts once, for the first of these that applies: initial fetch, changes, lease.
/// Its bytes are divided among all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficByCause {
    /// Poll requests.
    #[serde(rename = "asks")]
    pub polls: TrafficCount,
    /// Poll responses without content, and the overhead of all others.
    pub leases: TrafficCount,
    /// Pending revisions, and changes in complete scopes.
    pub changes: TrafficCount,
    /// Chunks of scopes that were fetched.
    #[serde(rename = "starts")]
    pub fetches: TrafficCount,
    /// Proposals, status requests and their answers.
    #[serde(rename = "staff")]
    pub admin: TrafficCount,
}

/// Messages and bytes in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// From peers.
    pub read: TrafficByCause,
    /// To peers.
    pub written: TrafficByCause,
}
