//! Plays a plan: start, quiet, changes, ten times the changes, faults; measures each, and has the end judged.
use crate::before::{self, Before};
use crate::faults::Fault;
use crate::fleet::{look, Fleet};
use crate::judge::{judge, longest_contradiction, Drain, Evidence, Held, Offence};
use crate::measure::{Mark, Row};
use crate::options::Plan;
use crate::part::{Order, Report};
use crate::proposer::Proposer;
use crate::real::{Pair, Seen};
use crate::usage::now_us;
use crate::world::{Stream, World};
use rustix::process::Signal;
use serde::Serialize;
use std::time::Duration;
use ternstack_fault_tests::links::{DirectionFaults, LinkFaults};
use ternstack_fault_tests::process::Launch;
use ternstack_replication::scope::{Change, Entry, Key, Revision, Scope};
use tokio::time::{sleep, sleep_until, Instant};

/// The operators' bound on a change, in force everywhere: a drain that was told is obeyed within it.
const DRAIN_WITHIN: Duration = Duration::from_secs(5);
/// The drain is told so long after its fault begins.
const DRAIN_AFTER: Duration = Duration::from_millis(500);
/// Changes go on for so long after a fault is over.
const AFTER_FAULT: Duration = Duration::from_secs(2);
/// Control machines have all within this, or the run is void.
const MACHINES_WITHIN: Duration = Duration::from_secs(300);
/// Gateways that have not all by then are told of as such.
const GATEWAYS_WITHIN: Duration = Duration::from_secs(180);
/// After changes, all have to be at the last version within this, or the judge is told.
const SETTLED_WITHIN: Duration = Duration::from_secs(120);

/// How the start went.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Start {
    /// Until every distributor had all the state, in ms.
    pub distributors_ms: f64,
    /// Gateways started at once.
    pub gateways: u64,
    /// Those that had all their scopes within the time given.
    pub whole: u64,
    /// From the begin of a gateway's life until it had, in ms: half of them.
    pub p50_ms: f64,
    /// Nine in ten.
    pub p90_ms: f64,
    /// The last.
    pub last_ms: f64,
    /// Followers of everything, and those that had all.
    pub everything: (u64, u64),
}

/// A drain that was told during a phase.
#[derive(Clone, Debug, Serialize)]
pub struct Told {
    /// The phase.
    pub phase: String,
    /// Followers of its service, once its bound was over.
    pub asked: u64,
    /// How many of them still gave it work.
    pub still: u64,
    /// Whether the judge counts it: not where a region was cut off meanwhile.
    pub judged: bool,
}

/// What a run gave.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// What was played.
    pub plan: Plan,
    /// How the start went.
    pub start: Start,
    /// A row for each phase.
    pub rows: Vec<Row>,
    /// Drains.
    pub drains: Vec<Told>,
    /// Proposals that were accepted.
    pub accepted: usize,
    /// The longest time that two acted on different versions, in ms, and what is promised.
    pub contradiction_ms: (f64, f64),
    /// What a change costs when a version is the whole state.
    pub before: Option<Before>,
    /// What clients of the real gateways saw, if there were any.
    pub real: Vec<Seen>,
    /// Requests to a drained server of the one that follows control, once the bound was over, and to all of its servers.
    pub real_drain: Option<(u64, u64)>,
    /// What the judge holds against it.
    pub offences: Vec<Offence>,
}

/// What real gateways' clients saw, and what still came to a drained server.
type RealSeen = (Vec<Seen>, Option<(u64, u64)>);

/// A run under way.
struct Run<'a> {
    plan: &'a Plan,
    world: &'a World,
    fleet: Fleet,
    staff: Proposer,
    stream: Stream<'a>,
    drained: u32,
    drains: Vec<Told>,
}

/// How processes are started.
#[derive(Clone, Debug)]
pub struct Launches {
    /// A part of a fleet.
    pub part: Launch,
    /// A real gateway; `None` where there is none.
    pub gateway: Option<Launch>,
}

/// Plays a plan. `say` is told of each step.
pub async fn play(
    launches: &Launches, plan: &Plan, with_before: bool, say: &dyn Fn(String),
) -> Result<Outcome, String> {
    let launch = &launches.part;
    let world = World::draw(plan.size)?;
    let before = with_before.then(|| before::measure(&world));
    say(format!("{} gateways, {} hosts: starting", plan.size.gateways, plan.size.hosts));
    let began = Instant::now();
    let fleet = Fleet::start(launch, plan, &world).await?;
    let staff = Proposer::new(fleet.origin.at);
    let stream = Stream::new(&world, plan.size.seed);
    let mut run = Run { plan, world: &world, fleet, staff, stream, drained: 0, drains: Vec::new() };
    run.machines_whole().await?;
    let mut start = Start { distributors_ms: began.elapsed().as_secs_f64() * 1e3, ..Start::default() };
    say(format!("{} distributors have all after {:.0} ms", plan.distributors, start.distributors_ms));
    let mut rows = vec![run.start(&mut start).await?];
    say(format!(
        "{} of {} gateways have all; the last after {:.0} ms",
        start.whole, start.gateways, start.last_ms
    ));
    let begin = run.mark().await?;
    sleep(Duration::from_secs(plan.quiet_s)).await;
    rows.push(run.row("quiet", &begin, &[]).await?);
    let phases = [("changes", 1.0), ("ten times the changes", 10.0)];
    for (name, times) in phases.into_iter().take(if plan.tenfold { 2 } else { 1 }) {
        rows.push(run.changing(name, times).await?);
        say(rows.last().map_or(String::new(), Row::line));
    }
    for fault in &plan.faults {
        rows.push(run.fault(*fault).await?);
        say(rows.last().map_or(String::new(), Row::line));
    }
    let (real, real_drain) = match (&launches.gateway, plan.real) {
        (Some(gateway), true) => run.real(gateway, say).await?,
        _ => Default::default(),
    };
    let (evidence, drains) = run.evidence().await?;
    let (_, longest_us) = longest_contradiction(&evidence.spans);
    let accepted = run.staff.log().accepted.len();
    run.fleet.end().await;
    Ok(Outcome {
        plan: plan.clone(),
        start,
        rows,
        drains,
        accepted,
        contradiction_ms: (longest_us as f64 / 1e3, plan.terms.max_conflict_ms()),
        before,
        real,
        real_drain,
        offences: judge(&evidence, &plan.terms),
    })
}

impl Run<'_> {
    async fn mark(&mut self) -> Result<Mark, String> {
        Mark::of(&mut self.fleet).await
    }

    /// Waits until every distributor has what the origin has.
    async fn machines_whole(&mut self) -> Result<(), String> {
        let latest = Instant::now() + MACHINES_WITHIN;
        loop {
            let origin = look(self.fleet.origin.at).await?;
            let mut behind = 0;
            for part in &self.fleet.distributors {
                let status = look(part.at).await?;
                behind += usize::from(status.digest != origin.digest || status.in_force != origin.in_force);
            }
            if behind == 0 {
                return Ok(());
            }
            if Instant::now() > latest {
                return Err(format!("{behind} distributors are not whole within {MACHINES_WITHIN:?}"));
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Starts all gateways at once.
    async fn start(&mut self, start: &mut Start) -> Result<Row, String> {
        let begin = self.mark().await?;
        self.fleet.start_hollows(self.plan, self.world).await?;
        let latest = Instant::now() + GATEWAYS_WITHIN;
        let (report, everything) = loop {
            let report = self.fleet.report(&[]).await?;
            let everything = self.fleet.report_everything(&[]).await?;
            let is_whole = |r: &Report| r.whole == r.followers;
            let whole = is_whole(&report) && everything.as_ref().is_none_or(is_whole);
            if whole || Instant::now() > latest {
                break (report, everything);
            }
            sleep(Duration::from_millis(250)).await;
        };
        (start.gateways, start.whole) = (report.followers, report.whole);
        start.p50_ms = report.start.quantile_ms(0.5);
        start.p90_ms = report.start.quantile_ms(0.9);
        start.last_ms = report.start.longest_ms();
        start.everything = everything.map_or((0, 0), |r| (r.followers, r.whole));
        self.row("start, all at once", &begin, &[]).await
    }

    /// Lets changes come until `end`.
    async fn changes(&mut self, end: Instant, configuration: f64, hosts: f64) -> Result<(), String> {
        let pace = |rate: f64| (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate));
        let (pace_c, pace_h) = (pace(configuration), pace(hosts));
        let start = Instant::now();
        let mut next_c = pace_c.map(|p| start + p / 2);
        let mut next_h = pace_h.map(|p| start + p / 3);
        loop {
            let next = [next_c, next_h].into_iter().flatten().min().filter(|next| *next < end);
            let Some(next) = next else { break };
            sleep_until(next).await;
            let change = if next_c == Some(next) {
                next_c = pace_c.map(|p| next + p);
                self.stream.configuration()
            } else {
                next_h = pace_h.map(|p| next + p);
                self.stream.host()
            };
            self.staff.propose(vec![change]).await?;
        }
        sleep_until(end).await;
        Ok(())
    }

    /// Waits until all hold the last version and have all their scopes; how long that took, in ms.
    async fn settled(&mut self) -> Result<(f64, Report), String> {
        let start = Instant::now();
        self.staff.answered().await?;
        let last = self.staff.log().last();
        loop {
            let report = self.fleet.report(&[]).await?;
            let all = self.fleet.report_everything(&[]).await?;
            let is_there = |r: &Report| r.least >= last && r.whole == r.followers;
            let there = is_there(&report) && all.as_ref().is_none_or(is_there);
            if there || start.elapsed() > SETTLED_WITHIN {
                return Ok((start.elapsed().as_secs_f64() * 1e3, report));
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn row(&mut self, name: &str, begin: &Mark, versions: &[(Revision, u64)]) -> Result<Row, String> {
        let end = self.mark().await?;
        let mut row = Row::between(name, begin, &end, self.plan);
        if !versions.is_empty() {
            row.reached(&self.fleet.report(versions).await?.reached, versions.len());
        }
        Ok(row)
    }

    async fn changing(&mut self, name: &str, times: f64) -> Result<Row, String> {
        let (begin, from_us) = (self.mark().await?, now_us());
        let end = Instant::now() + Duration::from_secs(self.plan.seconds);
        let (scope, key) = self.drain().await?;
        let bound = Instant::now() + DRAIN_WITHIN;
        let probe = bound.min(end);
        self.changes(probe, times * self.plan.changes_per_s, self.plan.host_changes_per_s).await?;
        self.look_after(name, scope, key, bound <= end).await?;
        self.changes(end, times * self.plan.changes_per_s, self.plan.host_changes_per_s).await?;
        let end = self.mark().await?;
        let (settled_ms, _) = self.settled().await?;
        let versions = self.staff.log().between(from_us, now_us());
        let mut row = Row::between(name, &begin, &end, self.plan);
        row.reached(&self.fleet.report(&versions).await?.reached, versions.len());
        row.settled_ms = settled_ms;
        Ok(row)
    }

    /// Tells a host of the largest service to drain; another one each time.
    async fn drain(&mut self) -> Result<(Scope, Key), String> {
        // Hosts of the first service are numbered from 0 on.
        let number = self.drained % self.world.spared().min(self.world.hosts_of(0));
        self.drained += 1;
        let (scope, key, host) = self.world.host(number);
        let entry = Some(Entry::Host(ternstack_replication::scope::Host { draining: true, ..host }));
        self.staff.propose(vec![Change { scope, key, entry }]).await?;
        Ok((scope, key))
    }

    async fn look_after(&mut self, phase: &str, scope: Scope, key: Key, judged: bool) -> Result<(), String> {
        let (asked, still) = self.fleet.probe(scope, key).await?;
        self.drains.push(Told { phase: phase.into(), asked, still, judged });
        Ok(())
    }

    async fn begin_fault(&mut self, fault: Fault) -> Result<(), String> {
        let held = DirectionFaults { stalled: true, ..DirectionFaults::default() };
        let there = LinkFaults { forward: held, ..LinkFaults::default() };
        let back = LinkFaults { reverse: held, ..LinkFaults::default() };
        let last = self.fleet.distributors.len() - 1;
        match fault {
            Fault::Kill => self.fleet.distributors[last].kill().await?,
            Fault::Stop => self.fleet.distributors[last].signal(Signal::STOP)?,
            Fault::CutThere => self.fleet.single[0].set(there),
            Fault::CutBack => self.fleet.single[0].set(back),
            Fault::DistributorCutThere => self.fleet.set_to_origin(|n| n == last, there),
            Fault::DistributorCutBack => self.fleet.set_to_origin(|n| n == last, back),
            Fault::Region => {
                let world = self.world;
                self.fleet.set_to_origin(|n| world.region_of(world.zone_of(n)) == 0, LinkFaults::partition());
            }
            Fault::ZoneLost => self.zone(false).await?,
            Fault::RestartTenth => self.restart(10, false).await?,
            Fault::RestartTenthKept => self.restart(10, true).await?,
            Fault::RestartAll => self.restart(1, false).await?,
            Fault::SlowReader => {
                let slow = DirectionFaults { bytes_per_s: Some(500), ..DirectionFaults::default() };
                let faults = LinkFaults { reverse: slow, ..LinkFaults::default() };
                self.fleet.single.iter().for_each(|link| link.set(faults));
            }
            Fault::Burst => {}
        }
        Ok(())
    }

    async fn end_fault(&mut self, fault: Fault) -> Result<(), String> {
        let last = self.fleet.distributors.len() - 1;
        match fault {
            Fault::Kill => self.fleet.restart_distributor(last).await?,
            Fault::Stop => self.fleet.distributors[last].signal(Signal::CONT)?,
            Fault::ZoneLost => self.zone(true).await?,
            _ => {
                self.fleet.single.iter().for_each(|link| link.set(LinkFaults::default()));
                self.fleet.set_to_origin(|_| true, LinkFaults::default());
            }
        }
        Ok(())
    }

    async fn restart(&mut self, every: usize, kept: bool) -> Result<(), String> {
        self.fleet.order(&Order::Restart { every, kept }, false).await.map(drop)
    }

    async fn zone(&mut self, serves: bool) -> Result<(), String> {
        let entry = Some(Entry::Zone(serves));
        self.staff.propose(vec![Change { scope: Scope::Zones, key: Key::from_number(0), entry }]).await
    }

    /// A fault with changes all through it, a drain in it, and what comes after it until all are there again.
    async fn fault(&mut self, fault: Fault) -> Result<Row, String> {
        let (begin, from_us, start) = (self.mark().await?, now_us(), Instant::now());
        let lasts = Duration::from_secs_f64(fault.lasts_s());
        self.begin_fault(fault).await?;
        let (mut rate, hosts) = (self.plan.changes_per_s, self.plan.host_changes_per_s);
        if fault == Fault::Burst {
            rate = 100.0;
        }
        let drained = start + DRAIN_AFTER;
        self.changes(drained, rate, hosts).await?;
        let (scope, key) = self.drain().await?;
        // The drain's bound may be over before the fault is, or after it.
        let (mut over, mut probed) = (false, false);
        let (over_at, probe_at) = (start + lasts, Instant::now() + DRAIN_WITHIN);
        let end = probe_at.max(over_at + AFTER_FAULT);
        while !(over && probed) {
            if !over && (probed || over_at <= probe_at) {
                self.changes(over_at, rate, hosts).await?;
                self.end_fault(fault).await?;
                (over, rate) = (true, self.plan.changes_per_s);
            } else {
                self.changes(probe_at, rate, hosts).await?;
                self.look_after(fault.name(), scope, key, fault != Fault::Region).await?;
                probed = true;
            }
        }
        self.changes(end, rate, hosts).await?;
        if fault == Fault::Kill {
            self.machines_whole().await?;
        }
        let (settled_ms, report) = self.settled().await?;
        let end = self.mark().await?;
        let versions = self.staff.log().between(from_us, now_us());
        let mut row = Row::between(fault.name(), &begin, &end, self.plan);
        row.reached(&self.fleet.report(&versions).await?.reached, versions.len());
        row.settled_ms = settled_ms;
        if matches!(fault, Fault::RestartTenth | Fault::RestartTenthKept | Fault::RestartAll) {
            row.ready_ms = Some((report.start.quantile_ms(0.5), report.start.quantile_ms(0.9)));
        }
        Ok(row)
    }

    /// Real gateways beside the fleet: quiet, and at ten times the changes.
    async fn real(&mut self, gateway: &Launch, say: &dyn Fn(String)) -> Result<RealSeen, String> {
        let pair = Pair::start(gateway, &self.fleet, self.plan, self.world, &mut self.staff).await?;
        say("real gateways are there".into());
        let length = Duration::from_secs(self.plan.seconds);
        let mut seen = pair.phase("quiet", length, None).await?;
        let mut own = Proposer::new(self.fleet.origin.at);
        let (rate, hosts) = (10.0 * self.plan.changes_per_s, self.plan.host_changes_per_s);
        let (changed, stirred) = tokio::join!(
            self.changes(Instant::now() + length, rate, hosts),
            pair.phase("ten times the changes", length, Some(&mut own))
        );
        changed?;
        seen.extend(stirred?);
        let drained = pair.drain(&mut own, DRAIN_WITHIN).await?;
        own.answered().await?;
        // What the pair's own staff changed counts at the end as well.
        self.staff.take_in(&mut own);
        Ok((seen, Some(drained)))
    }

    /// What the judge is shown at the end.
    async fn evidence(&mut self) -> Result<(Evidence, Vec<Told>), String> {
        let (_, report) = self.settled().await?;
        let distributors_keep_all = self.machines_whole().await.is_ok();
        let digests = self.staff.log().digests(self.world);
        let origin = look(self.fleet.origin.at).await?;
        let mut sum = ternstack_replication::scope::Digest::default();
        digests.values().for_each(|d| sum.join(*d));
        let mut evidence = Evidence {
            followers: (report.followers, report.whole),
            went_back: report.went_back,
            spans: self.fleet.spans().await?,
            ended: self.fleet.ended(),
            drains: Vec::new(),
            origin_keeps_all: origin.digest == sum,
            distributors_keep_all,
            ..Evidence::default()
        };
        if report.least < self.staff.log().last() {
            evidence.followers.1 = evidence.followers.1.min(report.followers - 1);
        }
        evidence.held = self
            .fleet
            .holdings()
            .await?
            .into_iter()
            .map(|((scope, digest), followers)| Held { scope, digest, followers })
            .collect();
        evidence.agreed = digests;
        let drains = std::mem::take(&mut self.drains);
        evidence.drains = drains
            .iter()
            .filter(|d| d.judged)
            .map(|d| Drain {
                host: format!("the host drained in {}", d.phase),
                asked: d.asked,
                still: d.still,
            })
            .collect();
        Ok((evidence, drains))
    }
}
