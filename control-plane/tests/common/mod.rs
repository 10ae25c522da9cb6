//! A primary, replicas and gateways that run as tasks on the loopback interface, and functions that wait for
//! their states.
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

/// The time limit of each wait, far longer than any wait takes. A test that hangs fails, but no test depends
/// on the speed of the machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// The scope of the service that all gateways follow.
pub const SERVICE_SCOPE: Scope = Scope::Hosts(7);

/// Returns settings with short leases, so that tests do not wait long for a lease to expire.
pub fn lease_config() -> LeaseConfig {
    LeaseConfig { lease_ms: 700.0, batch_ms: 20.0, ..LeaseConfig::default() }
}

pub fn host_change(number: u64, draining: bool) -> Change {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1000 + number as u16);
    let host = Host { address, zone: 1, draining, weight_milli: 1000, started_s: 0 };
    Change { scope: SERVICE_SCOPE, key: Key(number), entry: Some(Entry::Host(host)) }
}

/// Returns a store in which revision 1 is in force, with `hosts` hosts of the service.
pub fn store_with_hosts(hosts: u64) -> Store {
    let mut store = Store::new();
    let mut changes: Vec<Change> = (0..hosts).map(|number| host_change(number, false)).collect();
    changes.push(Change { scope: Scope::Zones, key: Key::from_number(1), entry: Some(Entry::Zone(true)) });
    store.add_pending(ChangeSet { revision: 1, changes });
    store.advance_to(1);
    store
}

pub async fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

/// A control server that runs until it is killed or dropped.
pub struct RunningServer<C> {
    pub server: Arc<ControlServer<C>>,
    pub address: SocketAddr,
    pub task: JoinHandle<()>,
}

impl<C> RunningServer<C> {
    /// Stops the server at once, which closes its listener and its connections.
    pub async fn kill(&mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

impl<C> Drop for RunningServer<C> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub async fn start_primary(hosts: u64) -> RunningServer<Primary> {
    let (listener, address) = bind_listener().await;
    let server = ControlServer::primary("o", lease_config(), store_with_hosts(hosts));
    let run = server.clone().run(listener);
    RunningServer { server, address, task: tokio::spawn(async move { match run.await {} }) }
}

/// Starts a replica that follows `upstream`, and waits until the replica is complete and holds a lease.
pub async fn start_replica(name: &str, upstream: SocketAddr) -> RunningServer<Replica> {
    let (listener, address) = bind_listener().await;
    let server = ControlServer::replica(Member { name: name.into(), incarnation: 1 }, lease_config());
    let run = server.clone().run(listener, vec![upstream], lease_config());
    let running = RunningServer { server, address, task: tokio::spawn(async move { match run.await {} }) };
    let is_ready = || {
        running
            .server
            .with_core(|core, now_ms| core.follower().is_complete() && core.follower().lease_until() > now_ms)
    };
    let waiting = timeout(TEST_TIMEOUT, async {
        while !is_ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    waiting.await.expect("the replica becomes complete and acquires a lease");
    running
}

/// A gateway's client that follows the service, and the events of the client.
pub struct TestGateway {
    pub client: Arc<GatewayClient>,
    pub events: mpsc::UnboundedReceiver<ClientEvent>,
    /// All events since the start, in order.
    pub event_log: Arc<Mutex<Vec<ClientEvent>>>,
    pub task: JoinHandle<()>,
}

impl Drop for TestGateway {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub fn server_endpoint(name: &str, address: SocketAddr, zone: &str) -> ServerEndpoint {
    ServerEndpoint { name: name.into(), address, zone: zone.into(), region: "north".into() }
}

pub fn client_config(name: &str, incarnation: u64, servers: Vec<ServerEndpoint>) -> GatewayClientConfig {
    GatewayClientConfig {
        member: Member { name: name.into(), incarnation },
        zone: "a".into(),
        region: "north".into(),
        servers,
        lease: lease_config(),
        snapshot: None,
        scopes: vec![ScopePriority { scope: SERVICE_SCOPE, priority: 1.0 }],
    }
}

pub fn snapshot_config(path: &std::path::Path) -> Option<SnapshotConfig> {
    Some(SnapshotConfig { path: path.to_path_buf(), write_interval: TEST_TIMEOUT, on_blocking_thread: true })
}

impl TestGateway {
    pub fn start(config: GatewayClientConfig) -> Self {
        let client = GatewayClient::new(config);
        let (event_sender, events) = mpsc::unbounded_channel();
        let (running_client, event_log) = (client.clone(), Arc::new(Mutex::new(Vec::new())));
        let log = event_log.clone();
        let task = tokio::spawn(async move {
            let on_event = move |_, event| {
                log.lock().expect("no holder of the lock has panicked").push(event);
                let _ = event_sender.send(event);
            };
            match running_client.run(on_event).await {}
        });
        TestGateway { client, events, event_log, task }
    }

    /// Waits until a condition holds, which is checked after each event. `description` names the condition in
    /// the failure message.
    pub async fn wait_until(&mut self, description: &str, holds: impl Fn(&GatewayClient) -> bool) {
        let waiting = timeout(TEST_TIMEOUT, async {
            while !holds(&self.client) {
                self.events.recv().await.expect("the client runs");
            }
        });
        waiting.await.unwrap_or_else(|_| panic!("{} does not reach: {description}", self.client.name()));
    }

    /// Waits until a revision or a later one is in force at the client, which holds a lease.
    pub async fn wait_for_revision(&mut self, revision: Revision) {
        let is_in_force = |client: &GatewayClient| client.in_force() >= revision && client.holds_lease();
        self.wait_until(&format!("revision {revision} in force"), is_in_force).await;
    }

    /// Waits until all followed scopes are complete at the client, which holds a lease.
    pub async fn wait_until_complete(&mut self) {
        let is_complete =
            |client: &GatewayClient| client.with_core(|core, _| core.is_complete()) && client.holds_lease();
        self.wait_until("all scopes complete", is_complete).await;
    }
}

pub fn is_draining(client: &GatewayClient, host_number: u64) -> bool {
    matches!(client.entry(SERVICE_SCOPE, Key(host_number)), Some(Entry::Host(host)) if host.draining)
}
