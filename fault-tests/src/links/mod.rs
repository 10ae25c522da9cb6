//! Links with injected faults. A site has a link on every path between a gateway and a peer, and each
//! direction of a link has its own faults.
//!
//! A [`Link`] forwards TCP connections, [`UdpLinkPair`] forwards datagrams. Both start without faults and
//! apply the [`LinkFaults`] or [`DirectionFaults`] that were set last.
mod tcp;
mod udp;

pub use tcp::Link;
pub use udp::UdpLinkPair;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The way in which a connection is cut after the number of bytes in [`DirectionFaults::cut_after`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutAction {
    /// The connection is reset on both sides.
    Reset,
    /// The connection is closed on both sides.
    End,
    /// The connection stays open, and no further data is forwarded in the direction of the fault.
    Silence,
}

/// The way in which a link handles a new connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectionHandling {
    /// The connection is accepted and forwarded.
    #[default]
    Open,
    /// The connection is refused, because the link does not listen.
    Refused,
    /// The connection is accepted and reset immediately.
    Reset,
    /// The connection is accepted, all data from the connecting side is discarded, and no data is sent back.
    BlackHole,
}

/// The faults of one direction of a link. The default values mean no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFaults {
    /// Whether forwarding is stopped. TCP data is delivered once the stall ends, datagrams are lost.
    #[serde(rename = "held")]
    pub stalled: bool,
    /// Delay of each chunk or datagram, in ms.
    pub delay_ms: u64,
    /// Upper bound of the random time that is added to the delay, in ms.
    pub jitter_ms: u64,
    /// Maximum rate of a TCP connection, in bytes per second.
    pub bytes_per_s: Option<u64>,
    /// Number of bytes after which a TCP connection is cut, and the way in which it is cut.
    pub cut_after: Option<(u64, CutAction)>,
    /// Probability that a datagram is lost, 0 to 1.
    #[serde(rename = "loss")]
    pub loss_ratio: f64,
    /// Probability that a datagram is delivered twice, 0 to 1.
    #[serde(rename = "repeat")]
    pub duplicate_ratio: f64,
    /// Probability that a datagram is delivered after the next datagram, 0 to 1.
    #[serde(rename = "reorder")]
    pub reorder_ratio: f64,
}

impl DirectionFaults {
    /// Draws the delay of a chunk or datagram, including jitter.
    fn draw_delay(&self, rng: &mut impl Rng) -> Duration {
        let jitter_ms = if self.jitter_ms > 0 { rng.random_range(0..=self.jitter_ms) } else { 0 };
        Duration::from_millis(self.delay_ms + jitter_ms)
    }
}

/// The faults of a TCP link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Handling of new connections.
    #[serde(rename = "door")]
    pub connection_handling: ConnectionHandling,
    /// Faults of the direction from the connecting side to the listening side.
    #[serde(rename = "there")]
    pub forward: DirectionFaults,
    /// Faults of the direction from the listening side to the connecting side.
    #[serde(rename = "back")]
    pub reverse: DirectionFaults,
}

impl LinkFaults {
    /// Returns the faults of a network partition: both directions are stalled, and open connections stay
    /// open.
    pub fn partition() -> Self {
        let stalled = DirectionFaults { stalled: true, ..DirectionFaults::default() };
        LinkFaults { forward: stalled, reverse: stalled, ..LinkFaults::default() }
    }
}
