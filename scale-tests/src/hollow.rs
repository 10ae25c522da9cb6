//! What happens inside the processes of a fleet: the origin, a distributor, or many hollow gateways.
use crate::fleet::hollow;
use crate::part::{Common, Hollow, MachineAt, Order, Report, Role, Spec, Told};
use crate::record::{spans, Track};
use crate::traffic::Traffic;
use crate::usage::now_us;
use crate::world::World;
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

/// A distributor, as the choice among them sees it.
pub fn placed(machine: &MachineAt) -> placement::ReplicaLocation {
    placement::ReplicaLocation {
        name: machine.name.clone(),
        zone: machine.zone.clone(),
        region: machine.region.clone(),
    }
}

/// A process of a fleet, as a child of a run: it ends with its parent, and when its standard input does.
pub fn be_a_part() -> ExitCode {
    let worked = if ternstack_fault_tests::process::exit_with_parent() {
        work()
    } else {
        Err("the run that started this process is gone".into())
    };
    match worked {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("ternstack-scale-tests: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn work() -> Result<(), String> {
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line).map_err(|e| e.to_string())?;
    let spec: Spec = serde_json::from_str(&line).map_err(|e| format!("no specification: {e}"))?;
    let (orders, mut taken) = mpsc::channel::<Order>(1);
    // Reads where it may wait; the runtime does not.
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(order) = serde_json::from_str(&line) else { return };
            if orders.blocking_send(order).is_err() {
                return;
            }
        }
    });
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let mut gateways = begin(&spec).await?;
        while let Some(order) = taken.recv().await {
            tell(&gateways.obey(order))?;
        }
        Ok(())
    })
}

fn tell(told: &Told) -> Result<(), String> {
    let mut line = serde_json::to_vec(told).map_err(|e| e.to_string())?;
    line.push(b'\n');
    let mut out = std::io::stdout().lock();
    out.write_all(&line).and_then(|()| out.flush()).map_err(|e| e.to_string())
}

/// Begins what the process is, and says so; the hollow gateways in it, if any.
async fn begin(spec: &Spec) -> Result<Gateways, String> {
    let bind = |at: SocketAddr| async move {
        tokio::net::TcpListener::bind(at).await.map_err(|e| format!("{at}: {e}"))
    };
    let common = &spec.common;
    let local = |l: &tokio::net::TcpListener| l.local_addr().map_err(|e| e.to_string());
    let mut gateways = Gateways::default();
    let at = match &spec.role {
        Role::Origin => {
            let mut store = Store::new();
            for (scope, key, entry) in World::draw(common.size)?.entries() {
                store.load(scope, key, 1, Some(entry));
            }
            store.advance_to(1);
            let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
            let at = local(&listener)?;
            let machine = ControlServer::<Primary>::primary("origin", common.terms, store);
            tokio::spawn(machine.run(listener));
            at
        }
        Role::Distributor { name, listen, origin } => {
            let listener = bind(*listen).await?;
            let at = local(&listener)?;
            let member = Member { name: name.clone(), incarnation: now_us() };
            let machine = ControlServer::<Replica>::replica(member, common.terms);
            tokio::spawn(machine.run(listener, vec![*origin], common.terms));
            at
        }
        Role::Hollows { lists, gateways: all, follow, snapshot, folder } => {
            gateways = Gateways::start(common, lists, all, *follow, snapshot.as_deref(), folder)?;
            SocketAddr::from(([127, 0, 0, 1], 0))
        }
    };
    tell(&Told::Begun(at))?;
    Ok(gateways)
}

/// What is kept of a follower's life.
#[derive(Debug)]
struct Kept {
    track: Track,
    missing: BTreeSet<Scope>, // Of what it wants.
    /// The last moment told of by the drive, by its clock and by the machine's.
    last: (f64, u64),
}

impl Kept {
    /// Takes in what its drive tells, now. What it tells of one moment is of one moment here: who gets a lease and a later
    /// version with one answer never acts on the one before.
    fn hear(&mut self, moment: f64, heard: ClientEvent) {
        if self.last.0 != moment {
            self.last = (moment, now_us());
        }
        let at_us = self.last.1;
        match heard {
            ClientEvent::LeaseAcquired => self.track.leased(at_us),
            ClientEvent::LeaseExpired => self.track.lost(at_us),
            ClientEvent::Follower(FollowerEvent::InForce(number)) => self.track.in_force(at_us, number),
            ClientEvent::Follower(FollowerEvent::Complete(scope)) => drop(self.missing.remove(&scope)),
            ClientEvent::Follower(FollowerEvent::Stale(scope) | FollowerEvent::Restarted(scope)) => {
                self.missing.insert(scope);
            }
            ClientEvent::Follower(_) => {}
        }
        if self.missing.is_empty() && self.track.number() > 0 {
            self.track.whole(at_us);
        }
    }
}

/// A life: the real program's end towards control, and what is kept of it.
struct Life {
    client: Arc<GatewayClient>,
    kept: Arc<Mutex<Kept>>,
    task: tokio::task::JoinHandle<()>,
}

fn lock(kept: &Mutex<Kept>) -> MutexGuard<'_, Kept> {
    kept.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A hollow gateway through its lives.
struct Seat {
    hollow: Hollow,
    machines: Vec<MachineAt>,
    life: Life,
    past: Vec<Track>,
    spent: Traffic, // In past lives.
}

/// The hollow gateways of a process.
#[derive(Default)]
struct Gateways {
    common: Option<Common>,
    world: Option<World>,
    follow: Option<(usize, usize)>,
    folder: PathBuf,
    seats: Vec<Seat>,
    restarted_us: u64,
}

/// No snapshot is written by itself while a run lasts.
const NEVER: Duration = Duration::from_secs(86_400);

impl Gateways {
    fn start(
        common: &Common, lists: &[Vec<MachineAt>], all: &[Hollow], follow: Option<(usize, usize)>,
        snapshot: Option<&Path>, folder: &Path,
    ) -> Result<Gateways, String> {
        let world = World::draw(common.size)?;
        let (common, folder) = (Some(common.clone()), folder.to_path_buf());
        let mut gateways = Gateways { common, world: Some(world), follow, folder, ..Gateways::default() };
        for hollow in all {
            let machines = lists.get(hollow.list).ok_or("no list of that number")?.clone();
            let beside = snapshot.map(|file| (file.to_path_buf(), BTreeSet::new()));
            if let Some(life) = gateways.live(hollow, &machines, beside) {
                let (hollow, past, spent) = (hollow.clone(), Vec::new(), Traffic::default());
                gateways.seats.push(Seat { hollow, machines, life, past, spent });
            }
        }
        Ok(gateways)
    }

    /// The scopes that a gateway follows, hottest first.
    fn wanted(&self, gateway: usize) -> Vec<Scope> {
        match (&self.world, self.follow) {
            (Some(world), Some((services, shards))) => world.followed(gateway, services, shards),
            _ => Vec::new(),
        }
    }

    /// Begins a life: with nothing, or beside a snapshot that lacks some scopes.
    fn live(
        &self, seat: &Hollow, machines: &[MachineAt], beside: Option<(PathBuf, BTreeSet<Scope>)>,
    ) -> Option<Life> {
        let wanted = self.wanted(seat.number);
        let (snapshot, missing) = match beside {
            Some((path, missing)) => {
                let config = SnapshotConfig { path, write_interval: NEVER, on_blocking_thread: false };
                (Some(config), missing)
            }
            None => (None, wanted.iter().copied().chain([Scope::Zones, Scope::Fleet]).collect()),
        };
        let endpoint = |at: &MachineAt| ServerEndpoint {
            name: at.name.clone(),
            address: at.at,
            zone: at.zone.clone(),
            region: at.region.clone(),
        };
        let prioritized = |(n, scope): (usize, Scope)| ScopePriority { scope, priority: -(n as f64) };
        let client = GatewayClient::new(GatewayClientConfig {
            member: Member { name: hollow(seat.number), incarnation: now_us() },
            zone: seat.zone.clone(),
            region: seat.region.clone(),
            servers: machines.iter().map(endpoint).collect(),
            lease: self.common.as_ref()?.terms,
            snapshot,
            scopes: wanted.into_iter().enumerate().map(prioritized).collect(),
        });
        let kept = Arc::new(Mutex::new(Kept {
            track: Track::begins(now_us()),
            missing,
            last: (f64::NEG_INFINITY, 0),
        }));
        let (runs, heard) = (client.clone(), kept.clone());
        let task = tokio::spawn(async move {
            runs.run(move |moment, told| lock(&heard).hear(moment, told)).await;
        });
        Some(Life { client, kept, task })
    }

    /// Writes what a gateway would have kept; where, and what it lacks.
    fn keep(&self, seat: &Seat) -> Option<(PathBuf, BTreeSet<Scope>)> {
        let snapshot = seat.life.client.with_core(|core, _| core.snapshot());
        let there: BTreeSet<Scope> = snapshot.tables.scopes().collect();
        let file = self.folder.join(hollow(seat.hollow.number));
        std::fs::write(&file, snapshot.encode().ok()?).ok()?;
        Some((file, self.wanted(seat.hollow.number).into_iter().filter(|s| !there.contains(s)).collect()))
    }

    fn obey(&mut self, order: Order) -> Told {
        match order {
            Order::Report(versions) => Told::Report(Box::new(self.report(&versions))),
            Order::Restart { every, kept } => {
                self.restart(every.max(1), kept);
                Told::Done
            }
            Order::Spans => {
                let lives: Vec<_> =
                    self.seats.iter().map(|s| (s.hollow.number, lock(&s.life.kept))).collect();
                let past = self.seats.iter().flat_map(|s| s.past.iter().map(|t| (s.hollow.number, t)));
                let all = lives.iter().map(|(n, l)| (*n, &l.track)).chain(past);
                Told::Spans(spans(all, now_us()).into_iter().collect())
            }
            Order::Holdings => Told::Holdings(self.holdings()),
            Order::Probe(scope, key) => self.probe(scope, key),
        }
    }

    fn restart(&mut self, every: usize, kept: bool) {
        let mut seats = std::mem::take(&mut self.seats);
        self.restarted_us = now_us();
        for seat in seats.iter_mut().filter(|s| s.hollow.number % every == 0) {
            let beside = if kept { self.keep(seat) } else { None };
            let Some(life) = self.live(&seat.hollow, &seat.machines, beside) else { continue };
            let last = std::mem::replace(&mut seat.life, life);
            last.task.abort();
            let mut kept = lock(&last.kept);
            kept.track.ends(now_us());
            seat.past.push(std::mem::take(&mut kept.track));
            seat.spent = seat.spent.plus(&Traffic::of(&last.client.traffic()));
        }
        self.seats = seats;
    }

    fn report(&self, versions: &[(u64, u64)]) -> Report {
        let mut report = Report { least: u64::MAX, ..Report::default() };
        for seat in &self.seats {
            let client = &seat.life.client;
            let (whole, bytes) =
                client.with_core(|core, _| (core.is_complete(), core.storage().memory_bytes()));
            let kept = lock(&seat.life.kept);
            report.followers += 1;
            report.whole += u64::from(whole);
            report.leased += u64::from(kept.track.number() > 0);
            report.least = report.least.min(kept.track.number());
            report.state_bytes += bytes as u64;
            if let Some(took_us) = kept.track.took_us().filter(|_| kept.track.began_us() >= self.restarted_us)
            {
                report.start.record(took_us);
            }
            for track in std::iter::once(&kept.track).chain(&seat.past) {
                report.went_back += track.went_back();
                report.reached.take(track, versions);
            }
            let traffic = seat.spent.plus(&Traffic::of(&client.traffic()));
            report.most_bytes = report.most_bytes.max(traffic.all_read().bytes as u64);
            report.traffic = report.traffic.plus(&traffic);
        }
        report
    }

    fn holdings(&self) -> Vec<(Scope, Digest, u64)> {
        let mut all: HashMap<(Scope, Digest), u64> = HashMap::new();
        for seat in &self.seats {
            seat.life.client.with_core(|core, _| {
                for (scope, _) in core.complete_scopes() {
                    *all.entry((scope, core.storage().digest(scope))).or_insert(0) += 1;
                }
            });
        }
        all.into_iter().map(|((scope, digest), n)| (scope, digest, n)).collect()
    }

    /// Who has the scope, whole or behind, and would give this host new work now. By its zone it may be lost, too.
    fn probe(&self, scope: Scope, key: Key) -> Told {
        let (mut asked, mut still) = (0, 0);
        for seat in &self.seats {
            let client = &seat.life.client;
            if client.scope_mode(scope) == ScopeMode::Unknown {
                continue;
            }
            asked += 1;
            let entry = client.entry(scope, key);
            still += u64::from(matches!(entry, Some(Entry::Host(host)) if !host.draining));
        }
        Told::Probe { asked, still }
    }
}
