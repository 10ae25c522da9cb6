//! An origin, distributors and followers as tasks on loopback, and what a test awaits of them.
#![allow(dead_code)]

pub mod fixtures;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use ternstack_control_plane::gateway_client::{
    ClientEvent, GatewayClient, GatewayClientConfig, ScopePriority, ServerEndpoint, SnapshotConfig,
};
use ternstack_control_plane::server::ControlServer;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::primary::Primary;
use ternstack_replication::replica::Replica;
use ternstack_replication::scope::{Change, ChangeSet, Entry, Host, Key, Revision, Scope};
use ternstack_replication::store::Store;
use ternstack_replication::wire::Member;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Far longer than anything here takes: a test that hangs ends, and none depends on speed.
pub const LONG: Duration = Duration::from_secs(60);
/// The service that all here follow.
pub const SERVICE: Scope = Scope::Hosts(7);

/// Short leases, so that what waits for one to run out does not wait long.
pub fn terms() -> LeaseConfig {
    LeaseConfig { lease_ms: 700.0, batch_ms: 20.0, ..LeaseConfig::default() }
}

pub fn host(n: u64, drains: bool) -> Change {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1000 + n as u16);
    let host = Host { address, zone: 1, draining: drains, weight_milli: 1000, started_s: 0 };
    Change { scope: SERVICE, key: Key(n), entry: Some(Entry::Host(host)) }
}

/// State with so many hosts of the service, in force as version 1.
pub fn store(hosts: u64) -> Store {
    let mut store = Store::new();
    let mut changes: Vec<Change> = (0..hosts).map(|n| host(n, false)).collect();
    changes.push(Change { scope: Scope::Zones, key: Key::from_number(1), entry: Some(Entry::Zone(true)) });
    store.add_pending(ChangeSet { revision: 1, changes });
    store.advance_to(1);
    store
}

pub async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// A machine that runs until it is killed.
pub struct Running<C> {
    pub server: Arc<ControlServer<C>>,
    pub at: SocketAddr,
    pub task: JoinHandle<()>,
}

impl<C> Running<C> {
    /// Kills it: its listener and its connections end at once.
    pub async fn kill(&mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

impl<C> Drop for Running<C> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub async fn origin(hosts: u64) -> Running<Primary> {
    let (listener, at) = listener().await;
    let server = ControlServer::primary("o", terms(), store(hosts));
    let run = server.clone().run(listener);
    Running { server, at, task: tokio::spawn(async move { match run.await {} }) }
}

pub async fn distributor(name: &str, grantor: SocketAddr) -> Running<Replica> {
    let (listener, at) = listener().await;
    let server = ControlServer::replica(Member { name: name.into(), incarnation: 1 }, terms());
    let run = server.clone().run(listener, vec![grantor], terms());
    let running = Running { server, at, task: tokio::spawn(async move { match run.await {} }) };
    let complete = || {
        running
            .server
            .with_core(|core, now| core.follower().is_complete() && core.follower().lease_until() > now)
    };
    let waited = timeout(LONG, async {
        while !complete() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    waited.await.expect("it has all in the end");
    running
}

/// A follower of the service.
pub struct Gateway {
    pub client: Arc<GatewayClient>,
    pub events: mpsc::UnboundedReceiver<ClientEvent>,
    /// All that was told so far.
    pub all: Arc<Mutex<Vec<ClientEvent>>>,
    pub task: JoinHandle<()>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub fn endpoint(name: &str, address: SocketAddr, zone: &str) -> ServerEndpoint {
    ServerEndpoint { name: name.into(), address, zone: zone.into(), region: "north".into() }
}

pub fn client_config(name: &str, incarnation: u64, servers: Vec<ServerEndpoint>) -> GatewayClientConfig {
    GatewayClientConfig {
        member: Member { name: name.into(), incarnation },
        zone: "a".into(),
        region: "north".into(),
        servers,
        lease: terms(),
        snapshot: None,
        scopes: vec![ScopePriority { scope: SERVICE, priority: 1.0 }],
    }
}

pub fn snapshot_config(path: &std::path::Path) -> Option<SnapshotConfig> {
    Some(SnapshotConfig { path: path.to_path_buf(), write_interval: LONG, on_blocking_thread: true })
}

impl Gateway {
    pub fn start(config: GatewayClientConfig) -> Self {
        let client = GatewayClient::new(config);
        let (tell, events) = mpsc::unbounded_channel();
        let (running, all) = (client.clone(), Arc::new(Mutex::new(Vec::new())));
        let heard = all.clone();
        let task = tokio::spawn(async move {
            let tell = move |_, what| {
                heard.lock().expect("no panic").push(what);
                let _ = tell.send(what);
            };
            match running.run(tell).await {}
        });
        Gateway { client, events, all, task }
    }

    /// Waits until something holds here, looking at it after whatever is told.
    pub async fn until(&mut self, what: &str, holds: impl Fn(&GatewayClient) -> bool) {
        let waited = timeout(LONG, async {
            while !holds(&self.client) {
                self.events.recv().await.expect("it runs");
            }
        });
        waited.await.unwrap_or_else(|_| panic!("{what}: never at {}", self.client.name()));
    }

    /// Waits until it acts on a version, or a later one, by a lease.
    pub async fn acts_on(&mut self, number: Revision) {
        let acts = |f: &GatewayClient| f.in_force() >= number && f.holds_lease();
        self.until(&format!("version {number}"), acts).await;
    }

    /// Waits until it has its service whole.
    pub async fn whole(&mut self) {
        let whole = |f: &GatewayClient| f.with_core(|core, _| core.is_complete()) && f.holds_lease();
        self.until("whole", whole).await;
    }
}

pub fn drains(client: &GatewayClient, n: u64) -> bool {
    matches!(client.entry(SERVICE, Key(n)), Some(Entry::Host(host)) if host.draining)
}
