//! All processes of a run: an origin, distributors, hollow gateways, and the links between them that fail by script.
use crate::installation::World;
use crate::options::Plan;
use crate::timeline::Span;
use crate::traffic::Traffic;
use crate::usage::Usage;
use crate::worker_process::{Common, Hollow, MachineAt, Order, Part, Report, Role, Spec, Told};
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

/// A fleet, running. What is dropped is killed.
#[derive(Debug)]
pub struct Fleet {
    launch: Launch,
    common: Common,
    folder: TempDir,
    /// The origin.
    pub origin: Part,
    /// The distributors.
    pub distributors: Vec<Part>,
    /// Processes of hollow gateways.
    pub hollows: Vec<Part>,
    /// The process of the followers of everything, if there are any.
    pub everything: Option<Part>,
    /// From each distributor to the origin.
    pub to_origin: Vec<Link>,
    /// From the first hollow to the distributors that it may call, best first.
    pub single: Vec<Link>,
}

/// The name of a distributor.
pub fn distributor(number: usize) -> String {
    format!("distributor-{number}")
}

/// The name of a hollow gateway.
pub fn hollow(number: usize) -> String {
    format!("hollow-{number}")
}

/// The name of a region.
pub fn region(number: usize) -> String {
    format!("region-{number}")
}

/// The name of a zone.
pub fn zone(number: usize) -> String {
    format!("zone-{number}")
}

const ANY_PORT: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0));

impl Fleet {
    /// Starts the control machines. Gateways come with [`Fleet::start_hollows`].
    pub async fn start(launch: &Launch, plan: &Plan, world: &World) -> Result<Fleet, String> {
        let common = Common { size: plan.size, terms: plan.terms };
        let spec = Spec { common: common.clone(), role: Role::Origin };
        let origin = Part::start(launch, "origin", &spec).await?;
        let mut fleet = Fleet {
            launch: launch.clone(),
            common,
            folder: tempfile::tempdir().map_err(|e| e.to_string())?,
            origin,
            distributors: Vec::new(),
            hollows: Vec::new(),
            everything: None,
            to_origin: Vec::new(),
            single: Vec::new(),
        };
        for number in 0..plan.distributors {
            fleet.to_origin.push(Link::to(fleet.origin.at).await.map_err(|e| e.to_string())?);
            let part = fleet.start_distributor(number, ANY_PORT).await?;
            fleet.distributors.push(part);
        }
        // The first hollow has links of its own, so that one link can fail.
        let (machines, order) = fleet.machines_for(world, 0);
        for place in order {
            fleet.single.push(Link::to(machines[place].at).await.map_err(|e| e.to_string())?);
        }
        Ok(fleet)
    }

    async fn start_distributor(&self, number: usize, listen: SocketAddr) -> Result<Part, String> {
        let (name, origin) = (distributor(number), self.to_origin[number].address);
        let role = Role::Distributor { name: name.clone(), listen, origin };
        Part::start(&self.launch, &name, &Spec { common: self.common.clone(), role }).await
    }

    /// Starts a distributor anew where it listened before, once it has been killed.
    pub async fn restart_distributor(&mut self, number: usize) -> Result<(), String> {
        let part = self.start_distributor(number, self.distributors[number].at).await?;
        self.distributors[number] = part;
        Ok(())
    }

    /// The distributors that gateways of a region may call: its own, or all where it has fewer than two.
    fn machines_of(&self, world: &World, at: usize) -> Vec<MachineAt> {
        let of = |number: usize| world.region_of(world.zone_of(number));
        let mut numbers: Vec<usize> = (0..self.distributors.len()).filter(|n| of(*n) == at).collect();
        if numbers.len() < 2 {
            numbers = (0..self.distributors.len()).collect();
        }
        let machine = |number: usize| MachineAt {
            name: distributor(number),
            zone: zone(world.zone_of(number)),
            region: region(of(number)),
            at: self.distributors[number].at,
        };
        numbers.into_iter().map(machine).collect()
    }

    /// The distributors a hollow may call, and in which order it does, best first.
    fn machines_for(&self, world: &World, gateway: usize) -> (Vec<MachineAt>, Vec<usize>) {
        let at = world.zone_of(gateway);
        let machines = self.machines_of(world, world.region_of(at));
        let all: Vec<placement::ReplicaLocation> = machines.iter().map(crate::worker::placed).collect();
        let order =
            placement::preference_order(&hollow(gateway), &zone(at), &region(world.region_of(at)), &all);
        (machines, order)
    }

    /// Starts the hollow gateways, all at once, and the followers of everything.
    pub async fn start_hollows(&mut self, plan: &Plan, world: &World) -> Result<(), String> {
        let mut lists: Vec<_> = (0..plan.size.regions).map(|r| self.machines_of(world, r)).collect();
        // The first hollow's own list: the same names and zones, behind links.
        let (mut machines, order) = self.machines_for(world, 0);
        for (place, link) in order.iter().zip(&self.single) {
            machines[*place].at = link.address;
        }
        lists.push(machines);
        let snapshot = match plan.everything {
            0 => None,
            _ => Some(snapshot(world, self.folder.path().join("everything"))?),
        };
        let role = |numbers: std::ops::Range<usize>, everything: bool| {
            let gateways = numbers.map(|number| {
                let at = world.zone_of(number);
                let alone = number == 0 && !everything;
                let list = if alone { plan.size.regions } else { world.region_of(at) };
                Hollow { number, zone: zone(at), region: region(world.region_of(at)), list }
            });
            Role::Hollows {
                lists: lists.clone(),
                gateways: gateways.collect(),
                snapshot: snapshot.clone().filter(|_| everything),
                folder: self.folder.path().into(),
                follow: (!everything).then_some((plan.follow_services, plan.follow_shards)),
            }
        };
        let mut starts = Vec::new();
        for n in 0..plan.hollow_processes() {
            let end = ((n + 1) * plan.per_process).min(plan.size.gateways);
            starts.push((format!("hollows-{n}"), role(n * plan.per_process..end, false)));
        }
        if plan.everything > 0 {
            let first = plan.size.gateways;
            starts.push(("everything".into(), role(first..first + plan.everything, true)));
        }
        let starting: Vec<_> = starts
            .into_iter()
            .map(|(name, role)| {
                let (launch, spec) = (self.launch.clone(), Spec { common: self.common.clone(), role });
                tokio::spawn(async move { Part::start(&launch, &name, &spec).await })
            })
            .collect();
        for started in starting {
            self.hollows.push(started.await.map_err(|e| e.to_string())??);
        }
        if plan.everything > 0 {
            self.everything = self.hollows.pop();
        }
        Ok(())
    }

    /// Gives all processes of hollow gateways an order, one after another; with the followers of everything or without.
    pub async fn order(&mut self, order: &Order, everything: bool) -> Result<Vec<Told>, String> {
        let mut told = Vec::new();
        for part in self.hollows.iter_mut().chain(self.everything.iter_mut().filter(|_| everything)) {
            told.push(part.order(order).await?);
        }
        Ok(told)
    }

    /// How it is at the hollow gateways, of all together; `versions` with the time of their proposal.
    pub async fn report(&mut self, versions: &[(Revision, u64)]) -> Result<Report, String> {
        let told = self.order(&Order::Report(versions.to_vec()), false).await?;
        let mut all = Report { least: Revision::MAX, ..Report::default() };
        for told in told {
            let Told::Report(one) = told else { return Err("hollows: told no report".into()) };
            all.followers += one.followers;
            all.whole += one.whole;
            all.leased += one.leased;
            all.least = all.least.min(one.least);
            all.start.join(&one.start);
            all.reached.times.join(&one.reached.times);
            all.reached.missing += one.reached.missing;
            all.traffic = all.traffic.plus(&one.traffic);
            all.most_bytes = all.most_bytes.max(one.most_bytes);
            all.state_bytes += one.state_bytes;
            all.went_back += one.went_back;
        }
        Ok(all)
    }

    /// The same of the followers of everything; `None` where there are none.
    pub async fn report_everything(
        &mut self, versions: &[(Revision, u64)],
    ) -> Result<Option<Report>, String> {
        let Some(part) = &mut self.everything else { return Ok(None) };
        match part.order(&Order::Report(versions.to_vec())).await? {
            Told::Report(report) => Ok(Some(*report)),
            _ => Err("everything: told no report".into()),
        }
    }

    /// From when to when anybody acted on each version.
    pub async fn spans(&mut self) -> Result<BTreeMap<Revision, Span>, String> {
        let mut all: BTreeMap<Revision, Span> = BTreeMap::new();
        for told in self.order(&Order::Spans, true).await? {
            let Told::Spans(spans) = told else { return Err("hollows: told no spans".into()) };
            for (number, span) in spans {
                all.entry(number).and_modify(|s| s.join(span)).or_insert(span);
            }
        }
        Ok(all)
    }

    /// What scopes sum up to at those that have them whole, and how many hold each so.
    pub async fn holdings(&mut self) -> Result<HashMap<(Scope, Digest), u64>, String> {
        let mut all = HashMap::new();
        for told in self.order(&Order::Holdings, true).await? {
            let Told::Holdings(held) = told else { return Err("hollows: told no holdings".into()) };
            for (scope, digest, followers) in held {
                *all.entry((scope, digest)).or_insert(0) += followers;
            }
        }
        Ok(all)
    }

    /// How many follow a host's scope, and how many of them give the host new work.
    pub async fn probe(&mut self, scope: Scope, key: Key) -> Result<(u64, u64), String> {
        let mut all = (0, 0);
        for told in self.order(&Order::Probe(scope, key), true).await? {
            let Told::Probe { asked, still } = told else { return Err("hollows: told no probe".into()) };
            all = (all.0 + asked, all.1 + still);
        }
        Ok(all)
    }

    /// What all hollow gateways have taken.
    pub fn usage_of_hollows(&self) -> Usage {
        self.hollows.iter().fold(Usage::default(), |sum, part| sum.plus(part.usage()))
    }

    /// Sets the links of distributors to the origin.
    pub fn set_to_origin(&self, which: impl Fn(usize) -> bool, faults: LinkFaults) {
        self.to_origin.iter().enumerate().filter(|(n, _)| which(*n)).for_each(|(_, link)| link.set(faults));
    }

    /// Processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let all = std::iter::once(&mut self.origin).chain(&mut self.distributors).chain(&mut self.hollows);
        all.chain(self.everything.iter_mut()).filter_map(|p| p.has_ended().then(|| p.name.clone())).collect()
    }

    /// Ends all processes, and waits for that.
    pub async fn end(mut self) {
        let all = std::iter::once(&mut self.origin).chain(&mut self.distributors).chain(&mut self.hollows);
        for part in all.chain(self.everything.iter_mut()) {
            // Whoever has ended needs none.
            let _ = part.kill().await;
        }
    }
}

/// Writes all of an installation, as a gateway that has everything keeps it at its start. Scopes without entries are not in
/// there, and so not followed: nothing in a run begins one.
fn snapshot(world: &World, file: PathBuf) -> Result<PathBuf, String> {
    let mut tables = Tables::new();
    world.entries().for_each(|(scope, key, entry)| tables.set(scope, key, 1, Some(entry)));
    snapshot_file::write(&file, &Snapshot { known: 1, in_force: 1, tables }).map_err(|e| e.to_string())?;
    Ok(file)
}

/// How it is at a control machine; over a connection of its own.
pub async fn look(at: SocketAddr) -> Result<Status, String> {
    let asking = async {
        let mut stream = TcpStream::connect(at).await.map_err(|e| e.to_string())?;
        let mut bytes = Vec::new();
        encode(&Message::GetStatus, &mut bytes).map_err(|e| e.to_string())?;
        stream.write_all(&bytes).await.map_err(|e| e.to_string())?;
        let mut buffer = Vec::new();
        loop {
            if let Some((message, _)) = decode(&buffer).map_err(|e| e.to_string())? {
                return match message {
                    Message::Status(status) => Ok(status),
                    _ => Err("told no status".to_string()),
                };
            }
            if stream.read_buf(&mut buffer).await.map_err(|e| e.to_string())? == 0 {
                return Err("ended".into());
            }
        }
    };
    let told = timeout(Duration::from_secs(10), asking).await;
    told.unwrap_or_else(|_| Err("did not answer within 10 s".into())).map_err(|e| format!("{at}: {e}"))
}

impl Traffic {
    /// What a control machine counted.
    pub fn of(counts: &ternstack_replication::wire::Traffic) -> Traffic {
        let sums = |causes: &ternstack_replication::wire::TrafficByCause| {
            let all = [
                ("asks", causes.polls),
                ("leases", causes.leases),
                ("changes", causes.changes),
                ("starts", causes.fetches),
                ("staff", causes.admin),
            ];
            let sum = |tally: ternstack_replication::wire::TrafficCount| crate::traffic::Sum {
                messages: tally.messages as f64,
                bytes: tally.bytes as f64,
            };
            all.into_iter()
                .filter(|(_, t)| t.messages + t.bytes > 0)
                .map(|(c, t)| (c.into(), sum(t)))
                .collect()
        };
        Traffic { read: sums(&counts.read), written: sums(&counts.written) }
    }
}
