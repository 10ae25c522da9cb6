//! All processes of a run: the origin, the distributors and the workers of hollow gateways, with the links
//! between them that faults are injected into.
use crate::installation::Installation;
use crate::options::Plan;
use crate::timeline::RevisionSpan;
use crate::traffic::Traffic;
use crate::usage::Usage;
use crate::worker_process::{
    DistributorAddress, FleetSpec, HollowGateway, WorkerCommand, WorkerProcess, WorkerReply, WorkerReport,
    WorkerRole, WorkerSpec,
};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tempfile::TempDir;
use ternstack_control_plane::snapshot_file;
use ternstack_fault_tests::links::{Link, LinkFaults};
use ternstack_fault_tests::process::Launch;
use ternstack_replication::placement;
use ternstack_replication::scope::{Digest, Key, Revision, Scope};
use ternstack_replication::snapshot::Snapshot;
use ternstack_replication::storage::Storage;
use ternstack_replication::tables::Tables;
use ternstack_replication::wire::{decode, encode, Message, Status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A running fleet. Dropping the fleet kills its processes.
#[derive(Debug)]
pub struct Fleet {
    launch: Launch,
    spec: FleetSpec,
    folder: TempDir,
    /// The origin.
    pub origin: WorkerProcess,
    /// The distributors, by number.
    pub distributors: Vec<WorkerProcess>,
    /// The workers of hollow gateways, except for the followers of everything.
    pub hollow_workers: Vec<WorkerProcess>,
    /// The worker of the followers of everything, which are gateways that follow all scopes; `None` if the
    /// plan has no such followers.
    pub everything: Option<WorkerProcess>,
    /// The links from the distributors to the origin, by the distributor's number.
    pub origin_links: Vec<Link>,
    /// The links from the first hollow gateway to the distributors that the gateway may connect to, in order
    /// of preference.
    pub first_gateway_links: Vec<Link>,
}

/// Returns the name of a distributor.
pub fn distributor_name(number: usize) -> String {
    format!("distributor-{number}")
}

/// Returns the name of a hollow gateway.
pub fn gateway_name(number: usize) -> String {
    format!("hollow-{number}")
}

/// Returns the name of a region.
pub fn region_name(number: usize) -> String {
    format!("region-{number}")
}

/// Returns the name of a zone.
pub fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}

const ANY_PORT: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0));

impl Fleet {
    /// Starts the origin and the distributors. [`Fleet::start_hollow_gateways`] starts the gateways.
    pub async fn start(launch: &Launch, plan: &Plan, installation: &Installation) -> Result<Fleet, String> {
        let fleet_spec = FleetSpec { size: plan.size, lease: plan.lease };
        let spec = WorkerSpec { fleet: fleet_spec.clone(), role: WorkerRole::Origin };
        let origin = WorkerProcess::start(launch, "origin", &spec).await?;
        let mut fleet = Fleet {
            launch: launch.clone(),
            spec: fleet_spec,
            folder: tempfile::tempdir().map_err(|e| format!("cannot create a temporary folder: {e}"))?,
            origin,
            distributors: Vec::new(),
            hollow_workers: Vec::new(),
            everything: None,
            origin_links: Vec::new(),
            first_gateway_links: Vec::new(),
        };
        for number in 0..plan.distributors {
            fleet.origin_links.push(
                Link::to(fleet.origin.address)
                    .await
                    .map_err(|e| format!("cannot create a link to the origin: {e}"))?,
            );
            let process = fleet.start_distributor(number, ANY_PORT).await?;
            fleet.distributors.push(process);
        }
        // Only the first hollow gateway connects to its distributors over links, so that a fault can hit one
        // gateway alone.
        let (distributors, order) = fleet.distributors_for_gateway(installation, 0);
        for index in order {
            fleet.first_gateway_links.push(
                Link::to(distributors[index].address)
                    .await
                    .map_err(|e| format!("cannot create a link to {}: {e}", distributors[index].name))?,
            );
        }
        Ok(fleet)
    }

    async fn start_distributor(&self, number: usize, listen: SocketAddr) -> Result<WorkerProcess, String> {
        let (name, origin) = (distributor_name(number), self.origin_links[number].address);
        let role = WorkerRole::Distributor { name: name.clone(), listen, origin };
        WorkerProcess::start(&self.launch, &name, &WorkerSpec { fleet: self.spec.clone(), role }).await
    }

    /// Restarts a killed distributor on the address that the distributor listened on before.
    pub async fn restart_distributor(&mut self, number: usize) -> Result<(), String> {
        let process = self.start_distributor(number, self.distributors[number].address).await?;
        self.distributors[number] = process;
        Ok(())
    }

    /// Returns the distributors that gateways of a region may connect to: the region's own ones, or all
    /// distributors if the region has fewer than two.
    fn distributors_for_region(&self, installation: &Installation, region: usize) -> Vec<DistributorAddress> {
        let region_of = |number: usize| installation.region_of(installation.zone_of(number));
        let mut numbers: Vec<usize> =
            (0..self.distributors.len()).filter(|n| region_of(*n) == region).collect();
        if numbers.len() < 2 {
            numbers = (0..self.distributors.len()).collect();
        }
        let distributor = |number: usize| DistributorAddress {
            name: distributor_name(number),
            zone: zone_name(installation.zone_of(number)),
            region: region_name(region_of(number)),
            address: self.distributors[number].address,
        };
        numbers.into_iter().map(distributor).collect()
    }

    /// Returns the distributors that a hollow gateway may connect to, and the gateway's order of preference
    /// as indexes into them.
    fn distributors_for_gateway(
        &self, installation: &Installation, gateway: usize,
    ) -> (Vec<DistributorAddress>, Vec<usize>) {
        let zone = installation.zone_of(gateway);
        let distributors = self.distributors_for_region(installation, installation.region_of(zone));
        let locations: Vec<placement::ReplicaLocation> =
            distributors.iter().map(crate::worker::replica_location).collect();
        let order = placement::preference_order(
            &gateway_name(gateway),
            &zone_name(zone),
            &region_name(installation.region_of(zone)),
            &locations,
        );
        (distributors, order)
    }

    /// Starts all hollow gateways at once, and the followers of everything.
    pub async fn start_hollow_gateways(
        &mut self, plan: &Plan, installation: &Installation,
    ) -> Result<(), String> {
        let mut distributor_lists: Vec<_> =
            (0..plan.size.regions).map(|r| self.distributors_for_region(installation, r)).collect();
        // The first hollow gateway has a list of its own: the same distributors, with the addresses of its
        // links.
        let (mut distributors, order) = self.distributors_for_gateway(installation, 0);
        for (index, link) in order.iter().zip(&self.first_gateway_links) {
            distributors[*index].address = link.address;
        }
        distributor_lists.push(distributors);
        let snapshot = match plan.everything {
            0 => None,
            _ => Some(write_full_snapshot(installation, self.folder.path().join("everything"))?),
        };
        let role = |numbers: std::ops::Range<usize>, everything: bool| {
            let gateways = numbers.map(|number| {
                let zone = installation.zone_of(number);
                let has_links = number == 0 && !everything;
                let list_index = if has_links { plan.size.regions } else { installation.region_of(zone) };
                HollowGateway {
                    number,
                    zone: zone_name(zone),
                    region: region_name(installation.region_of(zone)),
                    list_index,
                }
            });
            WorkerRole::Hollows {
                distributor_lists: distributor_lists.clone(),
                gateways: gateways.collect(),
                snapshot: snapshot.clone().filter(|_| everything),
                folder: self.folder.path().into(),
                follow: (!everything).then_some((plan.follow_services, plan.follow_shards)),
            }
        };
        let mut roles = Vec::new();
        for n in 0..plan.hollow_workers() {
            let end = ((n + 1) * plan.per_process).min(plan.size.gateways);
            roles.push((format!("hollows-{n}"), role(n * plan.per_process..end, false)));
        }
        if plan.everything > 0 {
            let first = plan.size.gateways;
            roles.push(("everything".into(), role(first..first + plan.everything, true)));
        }
        let starting: Vec<_> = roles
            .into_iter()
            .map(|(name, role)| {
                let (launch, spec) = (self.launch.clone(), WorkerSpec { fleet: self.spec.clone(), role });
                tokio::spawn(async move { WorkerProcess::start(&launch, &name, &spec).await })
            })
            .collect();
        for process in starting {
            self.hollow_workers
                .push(process.await.map_err(|e| format!("cannot wait for a worker to start: {e}"))??);
        }
        if plan.everything > 0 {
            self.everything = self.hollow_workers.pop();
        }
        Ok(())
    }

    /// Sends a command to all workers of hollow gateways in turn, with or without the followers of
    /// everything. Returns the replies in the same order.
    pub async fn send_command(
        &mut self, command: &WorkerCommand, include_everything: bool,
    ) -> Result<Vec<WorkerReply>, String> {
        let mut replies = Vec::new();
        for worker in
            self.hollow_workers.iter_mut().chain(self.everything.iter_mut().filter(|_| include_everything))
        {
            replies.push(worker.send_command(command).await?);
        }
        Ok(replies)
    }

    /// Returns the state of all hollow gateways together, without the followers of everything, and the
    /// propagation times of `(revision, proposed at, in us)`.
    pub async fn report(&mut self, proposals: &[(Revision, u64)]) -> Result<WorkerReport, String> {
        let replies = self.send_command(&WorkerCommand::Report(proposals.to_vec()), false).await?;
        let mut all = WorkerReport { min_revision: Revision::MAX, ..WorkerReport::default() };
        for reply in replies {
            let WorkerReply::Report(report) = reply else {
                return Err("unexpected reply of a worker of hollow gateways, expected Report".into());
            };
            all.followers += report.followers;
            all.complete += report.complete;
            all.leased += report.leased;
            all.min_revision = all.min_revision.min(report.min_revision);
            all.startup_times.merge(&report.startup_times);
            all.propagation.times.merge(&report.propagation.times);
            all.propagation.missing += report.propagation.missing;
            all.traffic = all.traffic.plus(&report.traffic);
            all.max_bytes_read = all.max_bytes_read.max(report.max_bytes_read);
            all.state_bytes += report.state_bytes;
            all.rollbacks += report.rollbacks;
        }
        Ok(all)
    }

    /// Returns the state of the followers of everything, as [`Fleet::report`] does for the other hollow
    /// gateways; `None` if the fleet has no followers of everything.
    pub async fn report_everything(
        &mut self, proposals: &[(Revision, u64)],
    ) -> Result<Option<WorkerReport>, String> {
        let Some(worker) = &mut self.everything else { return Ok(None) };
        match worker.send_command(&WorkerCommand::Report(proposals.to_vec())).await? {
            WorkerReply::Report(report) => Ok(Some(*report)),
            _ => Err("unexpected reply of the followers of everything, expected Report".into()),
        }
    }

    /// Returns when any follower acted on each revision.
    pub async fn spans(&mut self) -> Result<BTreeMap<Revision, RevisionSpan>, String> {
        let mut all: BTreeMap<Revision, RevisionSpan> = BTreeMap::new();
        for reply in self.send_command(&WorkerCommand::Spans, true).await? {
            let WorkerReply::Spans(spans) = reply else {
                return Err("unexpected reply of a worker of hollow gateways, expected Spans".into());
            };
            for (revision, span) in spans {
                all.entry(revision).and_modify(|s| s.merge(span)).or_insert(span);
            }
        }
        Ok(all)
    }

    /// Returns the digests of complete scopes, each with the number of followers that have this digest.
    pub async fn holdings(&mut self) -> Result<HashMap<(Scope, Digest), u64>, String> {
        let mut all = HashMap::new();
        for reply in self.send_command(&WorkerCommand::Holdings, true).await? {
            let WorkerReply::Holdings(holdings) = reply else {
                return Err("unexpected reply of a worker of hollow gateways, expected Holdings".into());
            };
            for (scope, digest, followers) in holdings {
                *all.entry((scope, digest)).or_insert(0) += followers;
            }
        }
        Ok(all)
    }

    /// Returns the number of followers of a host's scope, and how many of them would send new requests to the
    /// host.
    pub async fn probe(&mut self, scope: Scope, key: Key) -> Result<(u64, u64), String> {
        let mut all = (0, 0);
        for reply in self.send_command(&WorkerCommand::Probe(scope, key), true).await? {
            let WorkerReply::Probe { probed, still_sending } = reply else {
                return Err("unexpected reply of a worker of hollow gateways, expected Probe".into());
            };
            all = (all.0 + probed, all.1 + still_sending);
        }
        Ok(all)
    }

    /// Returns the usage of all workers of hollow gateways together, without the followers of everything.
    pub fn hollow_gateway_usage(&self) -> Usage {
        self.hollow_workers.iter().fold(Usage::default(), |sum, worker| sum.plus(worker.usage()))
    }

    /// Sets the faults of the links to the origin for the distributors that `selects` returns true for.
    pub fn set_origin_link_faults(&self, selects: impl Fn(usize) -> bool, faults: LinkFaults) {
        self.origin_links
            .iter()
            .enumerate()
            .filter(|(n, _)| selects(*n))
            .for_each(|(_, link)| link.set(faults));
    }

    /// Returns the names of the processes that have exited although the run continues.
    pub fn exited_processes(&mut self) -> Vec<String> {
        let all =
            std::iter::once(&mut self.origin).chain(&mut self.distributors).chain(&mut self.hollow_workers);
        all.chain(self.everything.iter_mut()).filter_map(|p| p.has_exited().then(|| p.name.clone())).collect()
    }

    /// Kills all processes, and waits until they have exited.
    pub async fn shut_down(mut self) {
        let all =
            std::iter::once(&mut self.origin).chain(&mut self.distributors).chain(&mut self.hollow_workers);
        for process in all.chain(self.everything.iter_mut()) {
            // A failed kill is ignored because the process has already exited then.
            let _ = process.kill().await;
        }
    }
}

/// Writes a snapshot of the whole installation, which the followers of everything start from. These followers
/// follow only the scopes in the snapshot. A scope without entries is not in the snapshot, but no generated
/// change adds the first entry of a scope.
fn write_full_snapshot(installation: &Installation, file: PathBuf) -> Result<PathBuf, String> {
    let mut tables = Tables::new();
    installation.initial_entries().for_each(|(scope, key, entry)| tables.set(scope, key, 1, Some(entry)));
    snapshot_file::write(&file, &Snapshot { known: 1, in_force: 1, tables })
        .map_err(|e| format!("cannot write the snapshot {}: {e}", file.display()))?;
    Ok(file)
}

/// Fetches the status of the control server at an address, over a new connection.
pub async fn fetch_status(address: SocketAddr) -> Result<Status, String> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.map_err(|e| format!("cannot connect: {e}"))?;
        let mut bytes = Vec::new();
        encode(&Message::GetStatus, &mut bytes).map_err(|e| format!("cannot encode GetStatus: {e}"))?;
        stream.write_all(&bytes).await.map_err(|e| format!("cannot send GetStatus: {e}"))?;
        let mut buffer = Vec::new();
        loop {
            if let Some((message, _)) = decode(&buffer).map_err(|e| format!("invalid response: {e}"))? {
                return match message {
                    Message::Status(status) => Ok(status),
                    _ => Err("unexpected message, expected Status".to_string()),
                };
            }
            if stream.read_buf(&mut buffer).await.map_err(|e| format!("cannot read the status: {e}"))? == 0 {
                return Err("connection closed before the status was complete".into());
            }
        }
    };
    let result = timeout(Duration::from_secs(10), exchange).await;
    result
        .unwrap_or_else(|_| Err("did not answer GetStatus within 10 s".into()))
        .map_err(|e| format!("control server {address}: {e}"))
}

impl Traffic {
    /// Converts the message counts of a control server or a gateway client.
    pub fn from_counts(counts: &ternstack_replication::wire::Traffic) -> Traffic {
        let totals_by_cause = |counts: &ternstack_replication::wire::TrafficByCause| {
            let all = [
                ("asks", counts.polls),
                ("leases", counts.leases),
                ("changes", counts.changes),
                ("starts", counts.fetches),
                ("staff", counts.admin),
            ];
            let totals = |count: ternstack_replication::wire::TrafficCount| crate::traffic::MessageTotals {
                messages: count.messages as f64,
                bytes: count.bytes as f64,
            };
            all.into_iter()
                .filter(|(_, count)| count.messages + count.bytes > 0)
                .map(|(cause, count)| (cause.into(), totals(count)))
                .collect()
        };
        Traffic { read: totals_by_cause(&counts.read), written: totals_by_cause(&counts.written) }
    }
}
