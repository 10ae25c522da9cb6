//! Counters of the messages and bytes that a control server or a follower has exchanged, by cause.
use serde::{Deserialize, Serialize};

/// A number of messages and the bytes of their frames.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficCount {
    /// The number of messages.
    pub messages: u64,
    /// The bytes of the messages' frames, headers included.
    pub bytes: u64,
}

/// Messages and bytes by cause. A message counts once, for the first of these causes that applies: initial
/// fetch, changes, lease. The bytes of a message are divided among all causes that apply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficByCause {
    /// Poll requests.
    #[serde(rename = "asks")]
    pub polls: TrafficCount,
    /// Poll responses without content, and the overhead of all other poll responses.
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
    /// The traffic received from peers.
    pub read: TrafficByCause,
    /// The traffic sent to peers.
    pub written: TrafficByCause,
}
