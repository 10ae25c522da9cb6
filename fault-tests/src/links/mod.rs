//! Links with injected faults: every path between two parts of a site leads through one, and each direction fails
//! on its own.
//!
//! A [`Link`] forwards TCP connections, [`UdpLinkPair`] forwards datagrams. Both apply the [`LinkFaults`] or
//! [`DirectionFaults`] that are set at the moment, and none at first.
mod tcp;
mod udp;

pub use tcp::Link;
pub use udp::UdpLinkPair;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What happens to a connection when it is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutAction {
    /// It is reset on both sides.
    Reset,
    /// It is closed on both sides.
    End,
    /// It stays open, and nothing crosses in this direction any more.
    Silence,
}

/// What a link does with a new connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectionHandling {
    /// It is accepted and forwarded.
    #[default]
    Open,
    /// It is refused: nothing listens.
    Refused,
    /// It is accepted and reset at once.
    Reset,
    /// It is accepted, and nothing ever crosses it.
    BlackHole,
}

/// The faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFaults {
    /// Nothing crosses while this is set. TCP data is delivered afterwards, datagrams are lost.
    #[serde(rename = "held")]
    pub stalled: bool,
    /// The delay of each chunk, in ms.
    pub delay_ms: u64,
    /// The most that is added to the delay by chance, in ms.
    pub jitter_ms: u64,
    /// The most bytes a second.
    pub bytes_per_s: Option<u64>,
    /// After how many bytes a connection is cut, and how.
    pub cut_after: Option<(u64, CutAction)>,
    /// The share of the datagrams that is lost, 0 to 1.
    #[serde(rename = "loss")]
    pub loss_ratio: f64,
    /// The share of the datagrams that is delivered twice, 0 to 1.
    #[serde(rename = "repeat")]
    pub duplicate_ratio: f64,
    /// The share of the datagrams that is delivered after the next one, 0 to 1.
    #[serde(rename = "reorder")]
    pub reorder_ratio: f64,
}

impl DirectionFaults {
    /// The delay of the next chunk or datagram, with its jitter.
    fn draw_delay(&self, rng: &mut impl Rng) -> Duration {
        let jitter_ms = if self.jitter_ms > 0 { rng.random_range(0..=self.jitter_ms) } else { 0 };
        Duration::from_millis(self.delay_ms + jitter_ms)
    }
}

/// The faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// What happens to new connections.
    #[serde(rename = "door")]
    pub connection_handling: ConnectionHandling,
    /// From the side that connects to the side that listens.
    #[serde(rename = "there")]
    pub forward: DirectionFaults,
    /// From the side that listens to the side that connects.
    #[serde(rename = "back")]
    pub reverse: DirectionFaults,
}

impl LinkFaults {
    /// Returns the faults of a network partition: both directions are stalled, and open connections stay open.
    pub fn partition() -> Self {
        let stalled = DirectionFaults { stalled: true, ..DirectionFaults::default() };
        LinkFaults { forward: stalled, reverse: stalled, ..LinkFaults::default() }
    }
}
