//! The code that runs in a worker process of a fleet: the origin, a distributor, or many hollow gateways.
use crate::fleet::gateway_name;
use crate::installation::Installation;
use crate::timeline::{revision_spans, Timeline};
use crate::traffic::Traffic;
use crate::usage::now_us;
use crate::worker_process::{
    DistributorAddress, FleetSpec, HollowGateway, WorkerCommand, WorkerReply, WorkerReport, WorkerRole,
    WorkerSpec,
};
use std::collections::{BTreeSet, HashMap};
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use ternstack_control_plane::gateway_client::{
    ClientEvent, GatewayClient, GatewayClientConfig, ScopePriority, ServerEndpoint, SnapshotConfig,
};
use ternstack_control_plane::server::ControlServer;
use ternstack_replication::follower::{FollowerEvent, ScopeMode};
use ternstack_replication::placement;
use ternstack_replication::primary::Primary;
use ternstack_replication::replica::Replica;
use ternstack_replication::scope::{Digest, Entry, Key, Scope};
use ternstack_replication::storage::Storage;
use ternstack_replication::store::Store;
use ternstack_replication::wire::Member;
use tokio::sync::mpsc;

/// Returns the location of a distributor, as input for the order in which a gateway prefers distributors.
pub fn replica_location(distributor: &DistributorAddress) -> placement::ReplicaLocation {
    placement::ReplicaLocation {
        name: distributor.name.clone(),
        zone: distributor.zone.clone(),
        region: distributor.region.clone(),
    }
}

/// Runs a worker process until its standard input closes. The process also exits with its parent, so that no
/// worker outlives the run.
pub fn run_worker() -> ExitCode {
    let result = if ternstack_fault_tests::process::exit_with_parent() {
        serve_commands()
    } else {
        Err("the run that started this worker has exited".into())
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ternstack-scale-tests: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve_commands() -> Result<(), String> {
    let mut line = String::new();
    std::io::stdin()
        .lock()
        .read_line(&mut line)
        .map_err(|e| format!("cannot read the worker's specification: {e}"))?;
    let spec: WorkerSpec =
        serde_json::from_str(&line).map_err(|e| format!("invalid worker specification: {e}"))?;
    let (command_sender, mut commands) = mpsc::channel::<WorkerCommand>(1);
    // Standard input is read on a thread of its own, so that a blocking read doesn't stall the
    // single-threaded runtime.
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(command) = serde_json::from_str(&line) else { return };
            if command_sender.blocking_send(command).is_err() {
                return;
            }
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("cannot create the runtime: {e}"))?;
    runtime.block_on(async {
        let mut gateways = start_role(&spec).await?;
        while let Some(command) = commands.recv().await {
            write_reply(&gateways.execute(command))?;
        }
        Ok(())
    })
}

fn write_reply(reply: &WorkerReply) -> Result<(), String> {
    let mut line = serde_json::to_vec(reply).map_err(|e| format!("cannot encode a reply: {e}"))?;
    line.push(b'\n');
    let mut out = std::io::stdout().lock();
    out.write_all(&line).and_then(|()| out.flush()).map_err(|e| format!("cannot write a reply: {e}"))
}

/// Starts the worker's role and replies that the worker has started. Returns the worker's hollow gateways;
/// there are none for the origin and for distributors.
async fn start_role(spec: &WorkerSpec) -> Result<HollowGateways, String> {
    let bind = |address: SocketAddr| async move {
        tokio::net::TcpListener::bind(address).await.map_err(|e| format!("cannot listen on {address}: {e}"))
    };
    let fleet = &spec.fleet;
    let local_addr = |listener: &tokio::net::TcpListener| {
        listener.local_addr().map_err(|e| format!("cannot read the listener's address: {e}"))
    };
    let mut hollow_gateways = HollowGateways::default();
    let address = match &spec.role {
        WorkerRole::Origin => {
            let mut store = Store::new();
            for (scope, key, entry) in Installation::generate(fleet.size)?.initial_entries() {
                store.load(scope, key, 1, Some(entry));
            }
            store.advance_to(1);
            let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
            let address = local_addr(&listener)?;
            let server = ControlServer::<Primary>::primary("origin", fleet.lease, store);
            tokio::spawn(server.run(listener));
            address
        }
        WorkerRole::Distributor { name, listen, origin } => {
            let listener = bind(*listen).await?;
            let address = local_addr(&listener)?;
            let member = Member { name: name.clone(), incarnation: now_us() };
            let server = ControlServer::<Replica>::replica(member, fleet.lease);
            tokio::spawn(server.run(listener, vec![*origin], fleet.lease));
            address
        }
        WorkerRole::Hollows { distributor_lists, gateways, follow, snapshot, folder } => {
            hollow_gateways = HollowGateways::start(
                fleet,
                distributor_lists,
                gateways,
                *follow,
                snapshot.as_deref(),
                folder,
            )?;
            SocketAddr::from(([127, 0, 0, 1], 0))
        }
    };
    write_reply(&WorkerReply::Started(address))?;
    Ok(hollow_gateways)
}

/// The record of one incarnation of a hollow gateway.
#[derive(Debug)]
struct IncarnationRecord {
    timeline: Timeline,
    missing_scopes: BTreeSet<Scope>, // Followed scopes that are not complete.
    /// The time of the latest event, in ms of the gateway client's clock and in us of the monotonic clock.
    last_moment: (f64, u64),
}

impl IncarnationRecord {
    /// Records an event of the gateway client. All events of one moment of the client's clock get the same
    /// time, because a follower that gets a lease and a later revision in one response never acts on the
    /// earlier revision.
    fn record_event(&mut self, moment: f64, event: ClientEvent) {
        if self.last_moment.0 != moment {
            self.last_moment = (moment, now_us());
        }
        let at_us = self.last_moment.1;
        match event {
            ClientEvent::LeaseAcquired => self.timeline.record_lease_acquired(at_us),
            ClientEvent::LeaseExpired => self.timeline.record_lease_expired(at_us),
            ClientEvent::Follower(FollowerEvent::InForce(revision)) => {
                self.timeline.record_in_force(at_us, revision)
            }
            ClientEvent::Follower(FollowerEvent::Complete(scope)) => drop(self.missing_scopes.remove(&scope)),
            ClientEvent::Follower(FollowerEvent::Stale(scope) | FollowerEvent::Restarted(scope)) => {
                self.missing_scopes.insert(scope);
            }
            ClientEvent::Follower(_) => {}
        }
        if self.missing_scopes.is_empty() && self.timeline.active_revision() > 0 {
            self.timeline.record_complete(at_us);
        }
    }
}

/// One incarnation of a hollow gateway: the gateway's client of the control servers, and the record of its
/// events.
struct Incarnation {
    client: Arc<GatewayClient>,
    record: Arc<Mutex<IncarnationRecord>>,
    task: tokio::task::JoinHandle<()>,
}

fn lock(record: &Mutex<IncarnationRecord>) -> MutexGuard<'_, IncarnationRecord> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A hollow gateway with its current incarnation, and the timelines and traffic of its past incarnations.
struct GatewaySlot {
    gateway: HollowGateway,
    distributors: Vec<DistributorAddress>,
    incarnation: Incarnation,
    past_timelines: Vec<Timeline>,
    past_traffic: Traffic, // Of all past incarnations together.
}

/// The hollow gateways of a worker.
#[derive(Default)]
struct HollowGateways {
    fleet: Option<FleetSpec>,
    installation: Option<Installation>,
    /// Number of services and number of tenant shards that each gateway follows; `None` to follow everything.
    follow: Option<(usize, usize)>,
    folder: PathBuf,
    slots: Vec<GatewaySlot>,
    last_restart_us: u64,
}

/// Longer than any run, so that the gateway clients write no snapshots during a run.
const SNAPSHOT_WRITE_INTERVAL: Duration = Duration::from_secs(86_400);

impl HollowGateways {
    fn start(
        fleet: &FleetSpec, distributor_lists: &[Vec<DistributorAddress>], gateways: &[HollowGateway],
        follow: Option<(usize, usize)>, snapshot: Option<&Path>, folder: &Path,
    ) -> Result<HollowGateways, String> {
        let installation = Installation::generate(fleet.size)?;
        let (fleet, folder) = (Some(fleet.clone()), folder.to_path_buf());
        let mut hollow_gateways = HollowGateways {
            fleet,
            installation: Some(installation),
            follow,
            folder,
            ..HollowGateways::default()
        };
        for gateway in gateways {
            let distributors = distributor_lists
                .get(gateway.list_index)
                .ok_or("a gateway's list index is out of range of the distributor lists")?
                .clone();
            let snapshot = snapshot.map(|file| (file.to_path_buf(), BTreeSet::new()));
            if let Some(incarnation) = hollow_gateways.start_incarnation(gateway, &distributors, snapshot) {
                let (gateway, past_timelines, past_traffic) =
                    (gateway.clone(), Vec::new(), Traffic::default());
                hollow_gateways.slots.push(GatewaySlot {
                    gateway,
                    distributors,
                    incarnation,
                    past_timelines,
                    past_traffic,
                });
            }
        }
        Ok(hollow_gateways)
    }

    /// Returns the scopes that a gateway follows, highest priority first; empty for a follower of everything.
    fn followed_scopes(&self, gateway: usize) -> Vec<Scope> {
        match (&self.installation, self.follow) {
            (Some(installation), Some((services, shards))) => {
                installation.followed_scopes(gateway, services, shards)
            }
            _ => Vec::new(),
        }
    }

    /// Starts an incarnation of a gateway, either without any state or from a snapshot. `snapshot` holds the
    /// path of the snapshot file and the followed scopes that the file lacks.
    fn start_incarnation(
        &self, gateway: &HollowGateway, distributors: &[DistributorAddress],
        snapshot: Option<(PathBuf, BTreeSet<Scope>)>,
    ) -> Option<Incarnation> {
        let followed = self.followed_scopes(gateway.number);
        let (snapshot, missing_scopes) = match snapshot {
            Some((path, missing_scopes)) => {
                let config = SnapshotConfig {
                    path,
                    write_interval: SNAPSHOT_WRITE_INTERVAL,
                    on_blocking_thread: false,
                };
                (Some(config), missing_scopes)
            }
            None => (None, followed.iter().copied().chain([Scope::Zones, Scope::Fleet]).collect()),
        };
        let endpoint = |distributor: &DistributorAddress| ServerEndpoint {
            name: distributor.name.clone(),
            address: distributor.address,
            zone: distributor.zone.clone(),
            region: distributor.region.clone(),
        };
        let prioritized = |(n, scope): (usize, Scope)| ScopePriority { scope, priority: -(n as f64) };
        let client = GatewayClient::new(GatewayClientConfig {
            member: Member { name: gateway_name(gateway.number), incarnation: now_us() },
            zone: gateway.zone.clone(),
            region: gateway.region.clone(),
            servers: distributors.iter().map(endpoint).collect(),
            lease: self.fleet.as_ref()?.lease,
            snapshot,
            scopes: followed.into_iter().enumerate().map(prioritized).collect(),
        });
        let record = Arc::new(Mutex::new(IncarnationRecord {
            timeline: Timeline::starting_at(now_us()),
            missing_scopes,
            last_moment: (f64::NEG_INFINITY, 0),
        }));
        let (running_client, event_record) = (client.clone(), record.clone());
        let task = tokio::spawn(async move {
            running_client.run(move |moment, event| lock(&event_record).record_event(moment, event)).await;
        });
        Some(Incarnation { client, record, task })
    }

    /// Writes the snapshot of a gateway's state to a file. Returns the file and the followed scopes that the
    /// snapshot lacks; `None` if the file can't be written.
    fn write_snapshot(&self, slot: &GatewaySlot) -> Option<(PathBuf, BTreeSet<Scope>)> {
        let snapshot = slot.incarnation.client.with_core(|core, _| core.snapshot());
        let contained: BTreeSet<Scope> = snapshot.tables.scopes().collect();
        let file = self.folder.join(gateway_name(slot.gateway.number));
        std::fs::write(&file, snapshot.encode().ok()?).ok()?;
        Some((
            file,
            self.followed_scopes(slot.gateway.number)
                .into_iter()
                .filter(|s| !contained.contains(s))
                .collect(),
        ))
    }

    fn execute(&mut self, command: WorkerCommand) -> WorkerReply {
        match command {
            WorkerCommand::Report(proposals) => WorkerReply::Report(Box::new(self.report(&proposals))),
            WorkerCommand::Restart { every, from_snapshot } => {
                self.restart(every.max(1), from_snapshot);
                WorkerReply::Done
            }
            WorkerCommand::Spans => {
                let records: Vec<_> =
                    self.slots.iter().map(|s| (s.gateway.number, lock(&s.incarnation.record))).collect();
                let past =
                    self.slots.iter().flat_map(|s| s.past_timelines.iter().map(|t| (s.gateway.number, t)));
                let timelines = records.iter().map(|(n, record)| (*n, &record.timeline)).chain(past);
                WorkerReply::Spans(revision_spans(timelines, now_us()).into_iter().collect())
            }
            WorkerCommand::Holdings => WorkerReply::Holdings(self.holdings()),
            WorkerCommand::Probe(scope, key) => self.probe(scope, key),
        }
    }

    /// Restarts the gateways whose number is divisible by `every`.
    fn restart(&mut self, every: usize, from_snapshot: bool) {
        let mut slots = std::mem::take(&mut self.slots);
        self.last_restart_us = now_us();
        for slot in slots.iter_mut().filter(|s| s.gateway.number % every == 0) {
            let snapshot = if from_snapshot { self.write_snapshot(slot) } else { None };
            let Some(incarnation) = self.start_incarnation(&slot.gateway, &slot.distributors, snapshot)
            else {
                continue;
            };
            let past = std::mem::replace(&mut slot.incarnation, incarnation);
            past.task.abort();
            let mut record = lock(&past.record);
            record.timeline.record_stopped(now_us());
            slot.past_timelines.push(std::mem::take(&mut record.timeline));
            slot.past_traffic = slot.past_traffic.plus(&Traffic::from_counts(&past.client.traffic()));
        }
        self.slots = slots;
    }

    fn report(&self, proposals: &[(u64, u64)]) -> WorkerReport {
        let mut report = WorkerReport { min_revision: u64::MAX, ..WorkerReport::default() };
        for slot in &self.slots {
            let client = &slot.incarnation.client;
            let (is_complete, state_bytes) =
                client.with_core(|core, _| (core.is_complete(), core.storage().memory_bytes()));
            let record = lock(&slot.incarnation.record);
            report.followers += 1;
            report.complete += u64::from(is_complete);
            report.leased += u64::from(record.timeline.active_revision() > 0);
            report.min_revision = report.min_revision.min(record.timeline.active_revision());
            report.state_bytes += state_bytes as u64;
            if let Some(time_us) = record
                .timeline
                .time_to_complete_us()
                .filter(|_| record.timeline.started_us() >= self.last_restart_us)
            {
                report.startup_times.record(time_us);
            }
            for timeline in std::iter::once(&record.timeline).chain(&slot.past_timelines) {
                report.rollbacks += timeline.rollbacks();
                report.propagation.record(timeline, proposals);
            }
            let traffic = slot.past_traffic.plus(&Traffic::from_counts(&client.traffic()));
            report.max_bytes_read = report.max_bytes_read.max(traffic.total_read().bytes as u64);
            report.traffic = report.traffic.plus(&traffic);
        }
        report
    }

    /// Returns the digests of all complete scopes, each with the number of gateways that have this digest.
    fn holdings(&self) -> Vec<(Scope, Digest, u64)> {
        let mut followers: HashMap<(Scope, Digest), u64> = HashMap::new();
        for slot in &self.slots {
            slot.incarnation.client.with_core(|core, _| {
                for (scope, _) in core.complete_scopes() {
                    *followers.entry((scope, core.storage().digest(scope))).or_insert(0) += 1;
                }
            });
        }
        followers.into_iter().map(|((scope, digest), n)| (scope, digest, n)).collect()
    }

    /// Counts the gateways that have the scope, complete or stale, and those of them that would send new
    /// requests to the host. A lost zone isn't considered here: a host in a lost zone counts as used.
    fn probe(&self, scope: Scope, key: Key) -> WorkerReply {
        let (mut probed, mut still_sending) = (0, 0);
        for slot in &self.slots {
            let client = &slot.incarnation.client;
            if client.scope_mode(scope) == ScopeMode::Unknown {
                continue;
            }
            probed += 1;
            let entry = client.entry(scope, key);
            still_sending += u64::from(matches!(entry, Some(Entry::Host(host)) if !host.draining));
        }
        WorkerReply::Probe { probed, still_sending }
    }
}
