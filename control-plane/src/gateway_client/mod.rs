//! The client with which a gateway follows the control plane. The client owns a [`Follower`], keeps the
//! follower up to date by polling, and writes snapshots. Scale tests run hundreds of clients in one process
//! without a gateway around them.
use crate::clock::Clock;
use crate::lock::lock;
use crate::polling_client::{connect_timeout, PollingClient, PollingObserver};
use crate::server_selection::{seed_of, ServerSelection};
use crate::snapshot_file::{self, SnapshotFileError};
use crate::traffic::TrafficCounter;
use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use ternstack_replication::follower::{Follower, FollowerEvent, ScopeMode};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::placement;
use ternstack_replication::scope::{Entry, Key, Revision, Scope};
use ternstack_replication::snapshot::Snapshot;
use ternstack_replication::tables::Tables;
use ternstack_replication::wire::Traffic;
use tokio::sync::Notify;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, sleep_until};
use tracing::warn;

mod config;
mod events;

pub use config::{GatewayClientConfig, ScopePriority, ServerEndpoint, SnapshotConfig};
pub use events::ClientEvent;
use events::EventSender;

/// The value of the field `connected_server` of [`GatewayClient`] while there is no connection.
const NOT_CONNECTED: usize = usize::MAX;

/// A gateway's client. The client polls for as long as the future of [`GatewayClient::run`] is polled.
pub struct GatewayClient {
    name: String,
    core: Mutex<Follower<Tables>>,
    clock: Clock,
    traffic: TrafficCounter,
    wake: Notify,
    servers: Vec<SocketAddr>,
    /// The indices of `servers`, the preferred server first.
    ranking: Vec<usize>,
    lease: LeaseConfig,
    snapshot: Option<SnapshotConfig>,
    /// The index of the connected server in `servers`, or [`NOT_CONNECTED`].
    connected_server: AtomicUsize,
    connections_established: AtomicU64,
}

impl GatewayClient {
    /// Creates a client and restores the snapshot if there is one. A snapshot that cannot be read is logged
    /// and ignored. The call blocks on the disk.
    pub fn new(config: GatewayClientConfig) -> Arc<Self> {
        let name = config.member.name.clone();
        let ranking = rank_servers(&config);
        let mut core = match restore_snapshot(&name, config.snapshot.as_ref()) {
            Some(snapshot) => Follower::restore(config.lease, config.member, snapshot),
            None => Follower::new(config.lease, config.member, Tables::new()),
        };
        for followed in config.scopes {
            core.subscribe(followed.scope, followed.priority);
        }
        Arc::new(GatewayClient {
            name,
            core: Mutex::new(core),
            clock: Clock::start(),
            traffic: TrafficCounter::default(),
            wake: Notify::new(),
            servers: config.servers.iter().map(|server| server.address).collect(),
            ranking,
            lease: config.lease,
            snapshot: config.snapshot,
            connected_server: AtomicUsize::new(NOT_CONNECTED),
            connections_established: AtomicU64::new(0),
        })
    }

    /// Polls control servers for as long as the returned future is polled. `on_event` is called with each
    /// event and the time of the event, in ms of [`GatewayClient::clock`]. The callback must neither block
    /// nor call the client.
    pub async fn run(&self, on_event: impl FnMut(f64, ClientEvent) + Send) -> Infallible {
        let events = Mutex::new(EventSender::new(on_event));
        let lease_acquired = Notify::new();
        let lease_timeout_ms = self.lease.response_timeout_ms();
        let polling = PollingClient {
            name: &self.name,
            core: &self.core,
            clock: self.clock,
            servers: &self.servers,
            traffic: &self.traffic,
            wake: &self.wake,
            check_interval_ms: f64::INFINITY,
            connect_timeout: connect_timeout(&self.lease),
        };
        let ranking = self.ranking.clone();
        let selection = ServerSelection::new(ranking, lease_timeout_ms, seed_of(&self.name));
        let mut observer = Observer { client: self, events: &events, lease_acquired: &lease_acquired };
        tokio::select! {
            never = polling.run(selection, &mut observer) => never,
            never = self.watch_lease(&events, &lease_acquired) => never,
            never = self.write_snapshots() => never,
        }
    }

    /// Sends [`ClientEvent::LeaseExpired`] when the lease expires.
    async fn watch_lease<F: FnMut(f64, ClientEvent)>(
        &self, events: &Mutex<EventSender<F>>, lease_acquired: &Notify,
    ) -> Infallible {
        loop {
            let now_ms = self.clock.now_ms();
            let expires_at_ms = lock(&self.core).lease_until();
            if now_ms < expires_at_ms {
                sleep_until(self.clock.instant_at(expires_at_ms)).await;
            } else {
                lock(events).update_lease(now_ms, false);
                lease_acquired.notified().await;
            }
        }
    }

    /// Writes the snapshot at the configured interval, unless the state has not changed since the last write.
    async fn write_snapshots(&self) -> Infallible {
        let Some(config) = &self.snapshot else { return pending().await };
        let mut written = None;
        loop {
            sleep(config.write_interval).await;
            let current = self.with_core(|core, _| SnapshotState::of(core));
            if written == Some(current) || current.in_force == 0 {
                continue;
            }
            match self.write_snapshot().await {
                Ok(()) => written = Some(current),
                Err(error) => warn!(name = self.name, "snapshot write failed: {error}"),
            }
        }
    }

    /// Writes the snapshot now, if one is configured.
    ///
    /// # Errors
    /// A [`SnapshotFileError`] if the snapshot cannot be encoded or written. The previous file stays in
    /// place.
    pub async fn write_snapshot(&self) -> Result<(), SnapshotFileError> {
        let Some(config) = &self.snapshot else { return Ok(()) };
        let snapshot = self.with_core(|core, _| core.snapshot());
        if !config.on_blocking_thread {
            return snapshot_file::write(&config.path, &snapshot);
        }
        let path = config.path.clone();
        let writing = spawn_blocking(move || snapshot_file::write(&path, &snapshot));
        writing.await.unwrap_or_else(|error| Err(SnapshotFileError::WriterPanicked(error)))
    }

    /// Starts to follow a scope. Scopes with a higher priority are fetched earlier.
    pub fn subscribe(&self, scope: Scope, priority: f64) {
        lock(&self.core).subscribe(scope, priority);
        self.wake.notify_one();
    }

    /// Stops following a scope.
    pub fn unsubscribe(&self, scope: Scope) {
        lock(&self.core).unsubscribe(scope);
    }

    /// Returns the name of the gateway as a member of the control plane.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the rules that apply in a scope at present.
    pub fn scope_mode(&self, scope: Scope) -> ScopeMode {
        self.with_core(|core, now_ms| core.scope_mode(now_ms, scope))
    }

    /// Returns the entry that applies to a key at present, which depends on [`GatewayClient::scope_mode`].
    pub fn entry(&self, scope: Scope, key: Key) -> Option<Entry> {
        self.with_core(|core, now_ms| core.entry(now_ms, scope, key))
    }

    /// Returns the last revision that came into force at this client.
    pub fn in_force(&self) -> Revision {
        lock(&self.core).in_force()
    }

    /// Returns whether the client holds a lease at present.
    pub fn holds_lease(&self) -> bool {
        self.with_core(|core, now_ms| now_ms < core.lease_until())
    }

    /// Calls `read` with the follower and the current time, in ms of [`GatewayClient::clock`]. The follower
    /// is locked during the call, so `read` must not block.
    pub fn with_core<R>(&self, read: impl FnOnce(&Follower<Tables>, f64) -> R) -> R {
        read(&lock(&self.core), self.clock.now_ms())
    }

    /// Returns the clock from which the client takes its times.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the messages and bytes read and written so far, by cause.
    pub fn traffic(&self) -> Traffic {
        self.traffic.counts()
    }

    /// Returns the connected server, as an index of [`GatewayClientConfig::servers`].
    pub fn connected_server(&self) -> Option<usize> {
        Some(self.connected_server.load(Relaxed)).filter(|server| *server != NOT_CONNECTED)
    }

    /// Returns the number of connections to servers that were established so far.
    pub fn connections_established(&self) -> u64 {
        self.connections_established.load(Relaxed)
    }
}

/// A summary of the replicated state. A snapshot is written only if the summary has changed since the last
/// write.
#[derive(Clone, Copy, PartialEq, Eq)]
struct SnapshotState {
    in_force: Revision,
    complete_scopes: usize,
}

impl SnapshotState {
    fn of(core: &Follower<Tables>) -> Self {
        SnapshotState { in_force: core.in_force(), complete_scopes: core.complete_scopes().count() }
    }
}

fn rank_servers(config: &GatewayClientConfig) -> Vec<usize> {
    let candidate = |server: &ServerEndpoint| placement::ReplicaLocation {
        name: server.name.clone(),
        zone: server.zone.clone(),
        region: server.region.clone(),
    };
    let candidates: Vec<placement::ReplicaLocation> = config.servers.iter().map(candidate).collect();
    placement::preference_order(&config.member.name, &config.zone, &config.region, &candidates)
}

fn restore_snapshot(name: &str, config: Option<&SnapshotConfig>) -> Option<Snapshot> {
    let path = &config?.path;
    snapshot_file::read(path).unwrap_or_else(|error| {
        warn!(name, path = %path.display(), "ignoring snapshot and fetching all state: {error}");
        None
    })
}

/// An observer that records the connected server and sends events.
struct Observer<'a, F> {
    client: &'a GatewayClient,
    events: &'a Mutex<EventSender<F>>,
    lease_acquired: &'a Notify,
}

impl<F: FnMut(f64, ClientEvent)> PollingObserver for Observer<'_, F> {
    fn on_connected(&mut self, server: usize) {
        self.client.connected_server.store(server, Relaxed);
        self.client.connections_established.fetch_add(1, Relaxed);
    }

    fn on_disconnected(&mut self) {
        self.client.connected_server.store(NOT_CONNECTED, Relaxed);
    }

    fn on_applied(&mut self, now_ms: f64, follower_events: Vec<FollowerEvent>) {
        let holds_lease = now_ms < lock(&self.client.core).lease_until();
        let mut events = lock(self.events);
        if events.update_lease(now_ms, holds_lease) && holds_lease {
            self.lease_acquired.notify_one();
        }
        for event in follower_events {
            events.send_follower_event(now_ms, event);
        }
    }
}
