//! Two real gateways beside a fleet, each with upstream servers and load of its own: one follows the fleet's
//! control servers, the other runs without control. Both are measured at the same time, so that other work on
//! the machine affects both alike.
use crate::fleet::{region_name, zone_name, Fleet};
use crate::histogram::DurationHistogram;
use crate::installation::Installation;
use crate::options::Plan;
use crate::proposer::Proposer;
use crate::usage::now_us;
use serde::Serialize;
use std::fmt::Write as _;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tempfile::TempDir;
use ternstack_fault_tests::client::Client;
use ternstack_fault_tests::history::EventKind;
use ternstack_fault_tests::process::Launch;
use ternstack_fault_tests::site::{Site, SiteConfig};
use ternstack_replication::scope::{Change, Entry, Host, Key, Scope};
use tokio::time::{sleep, sleep_until, Instant};

/// Upstream servers of each gateway.
const SERVERS_PER_GATEWAY: usize = 4;
/// Clients of each gateway; each client has at most one request in flight.
const CLIENTS_PER_GATEWAY: usize = 12;
/// Requests a second to each gateway: a gateway's share of the operators' peak load.
const REQUESTS_PER_S: f64 = 360.0;
/// How long a server works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// How long requests to a drained server are counted after the bound on a drain has passed.
const DRAIN_OBSERVATION: Duration = Duration::from_secs(3);

/// The number and latency of the requests that the clients of one gateway sent during a phase.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClientResults {
    /// The phase's name in reports.
    pub phase: String,
    /// Whether the gateway follows the control servers.
    #[serde(rename = "follows")]
    pub follows_control: bool,
    /// Number of requests sent.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Number of requests answered with status 200.
    #[serde(rename = "served")]
    pub succeeded: u64,
    /// Latency of the successful requests, in ms: median, 99th percentile and maximum.
    #[serde(rename = "ms")]
    pub latency_ms: [f64; 3],
}

/// The two running gateways with their servers.
#[derive(Debug)]
pub struct RealGateways {
    without_control: Site,
    with_control: Site,
    service: u32,
    _folder: TempDir,
}

/// Returns the operator file of the gateway that follows the control servers.
fn operator_file(fleet: &Fleet, plan: &Plan, installation: &Installation, service: u32) -> String {
    let lease = plan.lease;
    let mut text =
        format!("[terms]\nlease_ms = {:?}\nbytes_per_s = {:?}\n", lease.lease_ms, lease.bytes_per_s);
    for number in 0..plan.size.zones {
        let (name, region) = (zone_name(number), region_name(installation.region_of(number)));
        let _ = writeln!(text, "[[zone]]\nname = \"{name}\"\nnumber = {number}\nregion = \"{region}\"");
    }
    let _ = writeln!(text, "[[service]]\nname = \"real\"\nnumber = {service}");
    // The gateway connects only to distributors, but an operator file without an origin is rejected.
    let _ = writeln!(
        text,
        "[[machine]]\nname = \"origin\"\naddress = \"{}\"\nrole = \"origin\"\nzone = \"zone-0\"",
        fleet.origin.address
    );
    for (number, process) in fleet.distributors.iter().enumerate() {
        let (name, address, zone) = (&process.name, process.address, zone_name(installation.zone_of(number)));
        let _ = writeln!(
            text,
            "[[machine]]\nname = \"{name}\"\naddress = \"{address}\"\nrole = \"distributor\"\nzone = \"{zone}\""
        );
    }
    text + "[gateway]\nname = \"real\"\nzone = \"zone-0\"\nservices = [\"real\"]\n"
}

impl RealGateways {
    /// Starts both gateways, and proposes the servers of the gateway that follows the control servers.
    pub async fn start(
        gateway: &Launch, fleet: &Fleet, plan: &Plan, installation: &Installation, proposer: &mut Proposer,
    ) -> Result<RealGateways, String> {
        let folder = tempfile::tempdir().map_err(|e| format!("cannot create a temporary folder: {e}"))?;
        let file = folder.path().join("operator.toml");
        // The servers belong to an additional service, which no hollow gateway follows.
        let service = plan.size.services as u32;
        let text = operator_file(fleet, plan, installation, service);
        std::fs::write(&file, text).map_err(|e| format!("cannot write {}: {e}", file.display()))?;
        let site_config = SiteConfig {
            gateways: 1,
            hosts: SERVERS_PER_GATEWAY,
            service_time: SERVICE_TIME,
            ..SiteConfig::default()
        };
        let mut launch_with_control = gateway.clone();
        launch_with_control.args.extend(["--operator".into(), file.into()]);
        let without_control = Site::start(gateway, site_config)
            .await
            .map_err(|e| format!("cannot start the gateway without control: {e}"))?;
        let with_control = Site::start(&launch_with_control, site_config)
            .await
            .map_err(|e| format!("cannot start the gateway with control: {e}"))?;
        let gateways = RealGateways { without_control, with_control, service, _folder: folder };
        let changes = (0..SERVERS_PER_GATEWAY)
            .map(|n| gateways.server_change(n, false, 1000))
            .collect::<Result<_, _>>()?;
        proposer.propose(changes).await?;
        proposer.wait_for_answers().await?;
        // 5 s is the operators' bound on a change, so the gateway has its servers before the first request.
        sleep(Duration::from_secs(5)).await;
        Ok(gateways)
    }

    /// Returns the change that sets a server of the gateway with control.
    fn server_change(&self, number: usize, draining: bool, weight_milli: u32) -> Result<Change, String> {
        let address: SocketAddr = self.with_control.to_hosts[0][number].address;
        let SocketAddr::V4(address) = address else {
            return Err(format!("server address {address}: expected IPv4"));
        };
        Ok(self.host_change(number, address, draining, weight_milli))
    }

    fn host_change(&self, number: usize, address: SocketAddrV4, draining: bool, weight_milli: u32) -> Change {
        let host = Host { address, zone: 0, draining, weight_milli, started_s: 0 };
        let (scope, key) = (Scope::Hosts(self.service), Key::of(&format!("real-{number}")));
        Change { scope, key, entry: Some(Entry::Host(host)) }
    }

    /// Sends load to both gateways for `length`. With `server_changes`, that proposer also changes the weight
    /// of one server every 500 ms, in addition to the fleet's other changes.
    pub async fn run_phase(
        &self, phase: &str, length: Duration, server_changes: Option<&mut Proposer>,
    ) -> Result<Vec<ClientResults>, String> {
        let end = Instant::now() + length;
        let start_clients = |site: &Site| {
            let clients = (0..CLIENTS_PER_GATEWAY).map(|n| {
                let mut client = Client::new(0, site.gateways[0].address, &site.recorder);
                let count = (length.as_secs_f64() * REQUESTS_PER_S / CLIENTS_PER_GATEWAY as f64) as usize + 1;
                let requests: Vec<_> = (0..count).map(|_| site.request("look")).collect();
                let interval = Duration::from_secs_f64(CLIENTS_PER_GATEWAY as f64 / REQUESTS_PER_S);
                let first = Instant::now() + interval.mul_f64(n as f64 / CLIENTS_PER_GATEWAY as f64);
                tokio::spawn(async move {
                    let (mut sent, mut latencies) = (0u64, DurationHistogram::default());
                    for (n, request) in requests.iter().enumerate() {
                        let send_at = first + interval * n as u32;
                        if send_at >= end {
                            break;
                        }
                        sleep_until(send_at).await;
                        let sent_us = now_us();
                        sent += 1;
                        if client.send(request).await == Some(200) {
                            latencies.record(now_us().saturating_sub(sent_us));
                        }
                    }
                    (sent, latencies)
                })
            });
            clients.collect::<Vec<_>>()
        };
        let running =
            [(false, start_clients(&self.without_control)), (true, start_clients(&self.with_control))];
        if let Some(proposer) = server_changes {
            let mut weight_milli = 1000;
            while Instant::now() + Duration::from_millis(500) < end {
                sleep(Duration::from_millis(500)).await;
                weight_milli = if weight_milli == 1000 { 1010 } else { 1000 };
                proposer.propose(vec![self.server_change(1, false, weight_milli)?]).await?;
            }
        }
        let mut results = Vec::new();
        for (follows_control, clients) in running {
            let mut result =
                ClientResults { phase: phase.into(), follows_control, ..ClientResults::default() };
            let mut latencies = DurationHistogram::default();
            for client in clients {
                let (sent, client_latencies) =
                    client.await.map_err(|e| format!("cannot wait for a client: {e}"))?;
                result.requests += sent;
                latencies.merge(&client_latencies);
            }
            result.succeeded = latencies.count();
            result.latency_ms = [latencies.quantile_ms(0.5), latencies.quantile_ms(0.99), latencies.max_ms()];
            results.push(result);
        }
        Ok(results)
    }

    /// Drains server 0 of the gateway with control. Returns the number of requests that arrived at the
    /// drained server after `bound`, and the number that arrived at all servers in the same time.
    pub async fn drain(&self, proposer: &mut Proposer, bound: Duration) -> Result<(u64, u64), String> {
        let count_arrivals = |events: Vec<ternstack_fault_tests::history::Event>| {
            let hosts = events.into_iter().filter_map(|e| match e.kind {
                EventKind::RequestReceived { host, .. } => Some(host),
                _ => None,
            });
            hosts.fold((0, 0), |(drained, all), host| (drained + u64::from(host == 0), all + 1))
        };
        proposer.propose(vec![self.server_change(0, true, 1000)?]).await?;
        self.run_phase("drain", bound, None).await?;
        drop(self.with_control.take_history());
        self.run_phase("drained", DRAIN_OBSERVATION, None).await?;
        Ok(count_arrivals(self.with_control.take_history()))
    }
}
