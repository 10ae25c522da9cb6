//! The configuration of a gateway's client.
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::scope::Scope;
use ternstack_replication::wire::Member;

/// A control server that a gateway may connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEndpoint {
    /// The unique name of the server.
    pub name: String,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The name of the server's zone.
    pub zone: String,
    /// The name of the region of the server's zone.
    pub region: String,
}

/// The place and the interval of a gateway's snapshots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotConfig {
    /// The path of the snapshot file.
    pub path: PathBuf,
    /// The interval between writes. A write is skipped if the state has not changed.
    pub write_interval: Duration,
    /// Whether the file is written on a blocking thread, so that the disk does not delay a gateway's
    /// requests. Scale tests write without a blocking thread, because hundreds of clients share a process
    /// there.
    pub on_blocking_thread: bool,
}

/// The configuration of a [`GatewayClient`](super::GatewayClient).
#[derive(Clone, Debug)]
pub struct GatewayClientConfig {
    /// The name of the gateway, and an incarnation that differs between starts.
    pub member: Member,
    /// The name of the gateway's zone.
    pub zone: String,
    /// The name of the region of the gateway's zone.
    pub region: String,
    /// The servers that the client may connect to, in any order.
    pub servers: Vec<ServerEndpoint>,
    /// The lease and traffic settings, which are the same at all members.
    pub lease: LeaseConfig,
    /// The snapshot settings; `None` if no snapshot is written or restored.
    pub snapshot: Option<SnapshotConfig>,
    /// The scopes that the client follows from the start.
    pub scopes: Vec<ScopePriority>,
}

/// A scope to follow, with a priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScopePriority {
    /// The scope to follow.
    pub scope: Scope,
    /// The fetch priority; scopes with a higher one are fetched earlier.
    pub priority: f64,
}
