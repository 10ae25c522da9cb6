//! What a gateway's client is configured with.
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::scope::Scope;
use ternstack_replication::wire::Member;

/// A control server that a gateway may connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEndpoint {
    /// Its name, which no other server has.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
}

/// Where and how often a gateway writes its snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotConfig {
    /// The file.
    pub path: PathBuf,
    /// The interval of writes; one without changes is skipped.
    pub write_interval: Duration,
    /// Whether the file is written on a blocking thread: for gateways with traffic, not where hundreds of clients share a
    /// process.
    pub on_blocking_thread: bool,
}

/// The configuration of a [`GatewayClient`](super::GatewayClient).
#[derive(Clone, Debug)]
pub struct GatewayClientConfig {
    /// Who it is. Each start has another incarnation.
    pub member: Member,
    /// Its zone.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// The servers that it may connect to, in any order.
    pub servers: Vec<ServerEndpoint>,
    /// The lease and traffic settings, the same at all members.
    pub lease: LeaseConfig,
    /// Its snapshot, if it keeps one.
    pub snapshot: Option<SnapshotConfig>,
    /// The scopes that it follows from the start, with their fetch priority: the highest comes first.
    pub scopes: Vec<ScopePriority>,
}

/// A scope to follow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScopePriority {
    /// The scope.
    pub scope: Scope,
    /// Scopes of a higher priority are fetched earlier.
    pub priority: f64,
}
