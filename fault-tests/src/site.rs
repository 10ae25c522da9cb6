//! A site under test: gateway processes, stub hosts, stub discovery, and a link on each path that a gateway
//! has to its clients, to a host and to discovery.
use crate::client::{Client, Request};
use crate::error::Error;
use crate::history::{Event, EventKind, HistoryRecorder};
use crate::invariants::{Guarantees, Idempotency};
use crate::links::{Link, LinkFaults};
use crate::process::{Launch, Process};
use crate::stub_servers::{StubDiscovery, StubHost};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of attempts of a request, the first attempt included.
const MAX_ATTEMPTS: usize = 3;
/// Maximum number of gateways of a site.
const MAX_GATEWAYS: usize = 40;
/// Names of the service classes: idempotent, idempotent with a key, and non-idempotent.
pub const CLASSES: [&str; 3] = ["look", "book", "sign"];

/// The size and the settings of a site.
#[derive(Clone, Copy, Debug)]
pub struct SiteConfig {
    /// Number of gateway processes, 1 to 40.
    pub gateways: usize,
    /// Number of stub hosts, at least 1.
    pub hosts: usize,
    /// Time that a client waits for a response.
    pub client_timeout: Duration,
    /// Time that a host takes to process a request.
    pub service_time: Duration,
    /// Deduplication window of hosts for requests of class `book`, in ms.
    pub deduplication_window_ms: u64,
    /// Whether the gateways' setting for discovery is `push` rather than `ask`.
    pub push_discovery: bool,
    /// Whether gateways may cancel attempts in flight.
    pub allow_cancellation: bool,
}

impl Default for SiteConfig {
    fn default() -> Self {
        SiteConfig {
            gateways: 2,
            hosts: 3,
            client_timeout: Duration::from_millis(1000),
            service_time: Duration::from_millis(8),
            deduplication_window_ms: 800,
            push_discovery: false,
            allow_cancellation: true,
        }
    }
}

/// The peer at the other end of a gateway's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkTarget {
    /// All clients of the gateway.
    Clients,
    /// One host, by its index.
    Host(usize),
    /// All hosts of the site.
    Hosts,
    /// The stub discovery.
    Discovery,
}

/// A source of requests with unique ids. Clones draw ids from the same sequence.
#[derive(Clone, Debug)]
pub struct RequestFactory {
    next_id: Arc<AtomicU64>,
    client_timeout: Duration,
}

impl RequestFactory {
    /// Returns a request of a class with a new id.
    pub fn next(&self, class: &'static str) -> Request {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        Request { id: format!("{id:016x}"), class, client_timeout: self.client_timeout }
    }
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// Size and settings of the site.
    pub config: SiteConfig,
    /// Recorder of the events that clients, hosts and discovery observe.
    pub recorder: HistoryRecorder,
    /// Gateway processes, by index of the gateway.
    pub gateways: Vec<Process>,
    /// Stub hosts, by index of the host.
    pub hosts: Vec<StubHost>,
    /// Stub discovery, which all gateways share.
    pub discovery: StubDiscovery,
    /// Links from clients to a gateway, by index of the gateway.
    pub from_clients: Vec<Link>,
    /// Links from a gateway to a host, by index of the gateway and of the host.
    pub to_hosts: Vec<Vec<Link>>,
    /// Links from a gateway to discovery, by index of the gateway.
    pub to_discovery: Vec<Link>,
    next_id: Arc<AtomicU64>,
    folder: tempfile::TempDir,
}

impl Site {
    /// Starts hosts, discovery, links and gateways, and waits until every gateway listens.
    ///
    /// # Errors
    /// Returns an error if the size is out of range, or if a process, stub server or link cannot be started.
    pub async fn start(launch: &Launch, config: SiteConfig) -> Result<Self, Error> {
        check_size(&config)?;
        let recorder = HistoryRecorder::default();
        let folder = tempfile::tempdir()?;
        let discovery = StubDiscovery::start(config.gateways, &recorder).await?;
        let mut to_hosts: Vec<Vec<Link>> = (0..config.gateways).map(|_| Vec::new()).collect();
        let mut hosts = Vec::new();
        for number in 0..config.hosts {
            hosts.push(start_host(number, &config, &recorder, &mut to_hosts).await?);
            let addresses = to_hosts.iter().map(|links| links[number].address).collect();
            discovery.add(number, addresses, 0);
        }
        let mut to_discovery = Vec::new();
        for address in &discovery.addresses {
            to_discovery.push(Link::to(*address).await?);
        }
        let mut site = Site {
            config,
            recorder,
            gateways: Vec::new(),
            hosts,
            discovery,
            from_clients: Vec::new(),
            to_hosts,
            to_discovery,
            next_id: Arc::default(),
            folder,
        };
        site.start_gateways(launch).await?;
        Ok(site)
    }

    async fn start_gateways(&mut self, launch: &Launch) -> Result<(), Error> {
        let configs: Vec<Value> =
            (0..self.config.gateways).map(|gateway| self.gateway_config(gateway)).collect();
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        for (number, config) in configs.iter().enumerate() {
            let name = format!("g{number}");
            let gateway = Process::start(launch, self.folder.path(), &name, listen, config).await?;
            self.from_clients.push(Link::to(gateway.address).await?);
            self.gateways.push(gateway);
        }
        Ok(())
    }

    /// Returns the configuration of a gateway, with the current endpoint list.
    pub fn gateway_config(&self, gateway: usize) -> Value {
        let config = &self.config;
        let class = |name: &str, effect: &str, window_ms: u64| {
            json!({"name": name, "aim_ms": 300.0, "deadline_ms": config.client_timeout.as_millis() as f64,
                   "effect": effect, "group": "all", "window_ms": window_ms, "late_value": 0.2})
        };
        let classes = [
            class("look", "safe", 0),
            class("book", "keyed", config.deduplication_window_ms),
            class("sign", "unsafe", 0),
        ];
        json!({
            "listen": "127.0.0.1:0",
            "discovery": self.to_discovery[gateway].address.to_string(),
            "seed": gateway + 1,
            "limits": {"sockets": 256},
            "known": self.discovery.complete_list(gateway),
            "settings": {
                "classes": classes,
                "tenants": [{"name": "acme", "quota_per_s": 100_000.0}],
                "limits": {"cancel": config.allow_cancellation, "conn_idle_ms": 5000.0, "dial_timeout_ms": 250.0,
                           "max_attempts": MAX_ATTEMPTS, "max_open": 1000, "max_retry_after_ms": 1000.0,
                           "retry_after": true},
                "report": {"how": "inline", "fields": ["utilization", "throughput"]},
                "discovery": if config.push_discovery { "push" } else { "ask" },
                "instances": config.gateways, "me": gateway, "zone": "a", "zones": ["a"],
                "tick_ms": 5.0}
        })
    }

    /// Restarts a gateway that has exited, with the current endpoint list.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started or does not log its listen address in time.
    pub async fn restart(&mut self, gateway: usize) -> Result<(), Error> {
        let config = self.gateway_config(gateway);
        self.discovery.record_initial_list(gateway, &self.recorder);
        self.gateways[gateway].restart(&config).await?;
        self.record_recovery(gateway);
        Ok(())
    }

    /// Returns the links between a gateway and a peer.
    pub fn links(&self, gateway: usize, target: LinkTarget) -> Vec<&Link> {
        match target {
            LinkTarget::Clients => vec![&self.from_clients[gateway]],
            LinkTarget::Host(host) => vec![&self.to_hosts[gateway][host]],
            LinkTarget::Hosts => self.to_hosts[gateway].iter().collect(),
            LinkTarget::Discovery => vec![&self.to_discovery[gateway]],
        }
    }

    /// Asks a gateway to exit (SIGTERM) and waits until the process has exited.
    ///
    /// # Errors
    /// Returns an error if the process does not exit with code 0 in time.
    pub async fn terminate(&mut self, gateway: usize) -> Result<(), Error> {
        match self.gateways[gateway].terminate().await? {
            Some(0) => Ok(()),
            code => Err(Error::ExitCode { gateway, code }),
        }
    }

    /// Stops a gateway's process (SIGSTOP) and records the fault.
    ///
    /// # Errors
    /// Returns an error if the process has exited or cannot be signalled.
    pub fn pause(&self, gateway: usize) -> Result<(), Error> {
        self.record_fault(gateway, "stopped (SIGSTOP)");
        self.recorder.record(EventKind::DiscoveryCut { gateway });
        Ok(self.gateways[gateway].pause()?)
    }

    /// Continues a gateway's stopped process (SIGCONT) and records the recovery.
    ///
    /// # Errors
    /// Returns an error if the process has exited or cannot be signalled.
    pub fn resume(&self, gateway: usize) -> Result<(), Error> {
        self.gateways[gateway].resume()?;
        self.recorder.record(EventKind::DiscoveryRestored { gateway });
        self.record_recovery(gateway);
        Ok(())
    }

    /// Returns the bounds that this site's settings guarantee.
    pub fn guarantees(&self) -> Guarantees {
        let window_ms = self.config.deduplication_window_ms;
        Guarantees {
            classes: vec![
                ("look".into(), Idempotency::Idempotent),
                ("book".into(), Idempotency::IdempotentWithKey { window_ms }),
                ("sign".into(), Idempotency::NonIdempotent),
            ],
            max_attempts: MAX_ATTEMPTS,
            response_slack_ms: 500,
            drain_grace_ms: 1000,
            disconnect_slack_ms: None,
            deadline_slack_ms: None,
            slow_start: None,
            contradiction_ms: 2000,
            max_unavailable: self.config.gateways,
            rate_limits: Vec::new(),
        }
    }

    /// Returns a request of a class with a new id.
    pub fn request(&self, class: &'static str) -> Request {
        self.request_factory().next(class)
    }

    /// Returns a source of this site's requests that another task can own.
    pub fn request_factory(&self) -> RequestFactory {
        RequestFactory { next_id: self.next_id.clone(), client_timeout: self.config.client_timeout }
    }

    /// Has `clients` new clients of each gateway in `gateways` send `count` requests, each client one request
    /// after another. Returns the status of each request, or `None` for a request without a complete
    /// response.
    pub async fn send_requests(&self, gateways: &[usize], clients: usize, count: usize) -> Vec<Option<u16>> {
        let mut tasks = Vec::new();
        for gateway in gateways {
            for number in 0..clients {
                let mut client = Client::new(*gateway, self.from_clients[*gateway].address, &self.recorder);
                let requests: Vec<Request> =
                    (0..count).map(|n| self.request(CLASSES[(n + number) % CLASSES.len()])).collect();
                tasks.push(tokio::spawn(async move {
                    let mut statuses = Vec::new();
                    for request in &requests {
                        statuses.push(client.send(request).await);
                    }
                    statuses
                }));
            }
        }
        let mut statuses = Vec::new();
        for task in tasks {
            statuses.extend(task.await.unwrap_or_default());
        }
        statuses
    }

    /// Records that clients of a gateway cannot expect responses from now on, because of a fault.
    pub fn record_fault(&self, gateway: usize, description: impl Into<String>) {
        self.recorder.record(EventKind::GatewayFaulted { gateway, description: description.into() });
    }

    /// Records that clients of a gateway can expect responses again.
    pub fn record_recovery(&self, gateway: usize) {
        self.recorder.record(EventKind::GatewayRecovered { gateway });
    }

    /// Removes the faults of all links and resets the open connections of the links that had faults.
    pub fn clear_link_faults(&self) {
        let links = self.from_clients.iter().chain(&self.to_discovery).chain(self.to_hosts.iter().flatten());
        for link in links.filter(|link| link.faults() != LinkFaults::default()) {
            link.set(LinkFaults::default());
            // The data that a stalled connection still holds belongs to requests that have timed out, so that
            // the connection is reset instead of continued.
            link.reset();
        }
    }

    /// Removes and returns all events that were recorded so far.
    pub fn take_history(&self) -> Vec<Event> {
        self.recorder.take()
    }

    /// Returns the last log lines of all gateways, each line with the gateway's name.
    pub fn logs(&self) -> String {
        let lines_of = |(number, gateway): (usize, &Process)| {
            gateway.log().iter().map(|line| format!("g{number} {line}\n")).collect::<String>()
        };
        self.gateways.iter().enumerate().map(lines_of).collect()
    }
}

/// Starts a host and adds the link from each gateway to the host.
async fn start_host(
    number: usize, config: &SiteConfig, recorder: &HistoryRecorder, to_hosts: &mut [Vec<Link>],
) -> io::Result<StubHost> {
    let host = StubHost::start(number, config.gateways, config.service_time, recorder).await?;
    for (links, address) in to_hosts.iter_mut().zip(&host.addresses) {
        links.push(Link::to(*address).await?);
    }
    Ok(host)
}

/// Checks that the size of the site is in range and within the limit of open files.
fn check_size(config: &SiteConfig) -> Result<(), Error> {
    let SiteConfig { gateways, hosts, .. } = *config;
    if !(1..=MAX_GATEWAYS).contains(&gateways) || hosts == 0 {
        return Err(Error::SiteSize { gateways, hosts });
    }
    // Listeners, and several connections for each path. The links and stub servers run in this process, so
    // that both ends of a connection count.
    let needed = 64 + gateways * (hosts * 12 + 40);
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX);
    if (needed as u64) > limit {
        return Err(Error::DescriptorLimit { needed, limit });
    }
    Ok(())
}
