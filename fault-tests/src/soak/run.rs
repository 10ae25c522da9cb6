//! One run of a soak: a drawn site through its whole life, with faults in some of its phases.
use super::clients::{Client, Gate, MOST_AT_ONCE};
use super::faults::{self, Control, Kind, Means, Phase, BREAKS_CLIENTS};
use crate::checkers::{check, Offence, Promise, Terms};
use crate::history::{Counts, Event, What};
use crate::links::{Door, Faults, Link};
use crate::peers::Mishap;
use crate::process::Launch;
use crate::site::{Site, Size};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, Instant};

/// A new configuration has to be followed so soon.
const RELOAD_WITHIN: Duration = Duration::from_secs(4);
/// New connections come for so long after SIGTERM.
const FRONT_HEARS: Duration = Duration::from_millis(300);
/// From SIGTERM on the gateway is gone within this and the longest deadline, with room for a busy machine.
const ENDS_WITHIN: Duration = Duration::from_millis(2500);
/// The faults of a start go on for so long after it.
const START_LASTS: Duration = Duration::from_millis(300);
/// After a restart the links' connections of before have ended by then.
const LINKS_HEAL: Duration = Duration::from_millis(100);
/// Between two standstills.
const GOES_ON: Duration = Duration::from_millis(250);
/// The tolerance of the protocol page, in ms.
const SLACK_MS: u64 = 50;

/// What a run plays.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// The faults.
    pub kinds: Vec<Kind>,
    /// The phases in which they are injected.
    pub phases: Vec<Phase>,
    /// The site.
    pub size: Size,
    /// What every third host does wrong, and how often.
    pub mishap: Option<(Mishap, usize)>,
    /// Clients of each gateway.
    pub clients: usize,
    /// How long it is in service before the reload.
    pub service: Duration,
    /// One gateway is killed and started anew in service.
    pub kills: bool,
}

impl Plan {
    /// Draws a site round faults.
    pub fn draw(seed: u64, kinds: Vec<Kind>, phases: Vec<Phase>, service: Duration, large: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let gateways = if large { rng.random_range(8..=16) } else { rng.random_range(1..=3) };
        let mishap = Mishap::ALL[rng.random_range(0..Mishap::ALL.len())];
        Plan {
            seed,
            kinds,
            phases,
            size: Size {
                gateways,
                hosts: [2, 3, 5, 9][rng.random_range(0..4)],
                patience: Duration::from_millis([400, 1000, 1600][rng.random_range(0..3)]),
                work: Duration::from_millis(rng.random_range(2..25)),
                window_ms: [150, 300, 800, 5000][rng.random_range(0..4)],
                pushed: rng.random_bool(0.5),
                cancel: rng.random_bool(0.5),
            },
            mishap: rng.random_bool(0.6).then_some((mishap, rng.random_range(3..20))),
            clients: rng.random_range(3..8),
            service,
            kills: large,
        }
    }
}

/// What a run has shown.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Faults injected, by kind.
    pub injected: BTreeMap<&'static str, u64>,
    /// Requests sent, by phase.
    pub requests: BTreeMap<Phase, u64>,
    /// What became of all requests.
    pub counts: Counts,
    /// What was broken.
    pub violations: Vec<String>,
    /// How far the rig's own clock lagged, in ms: it is allowed for.
    pub rig_lag_ms: u64,
}

/// Measures how late the rig itself is, so that it takes its own lateness for nobody's fault.
struct OwnLag(Arc<AtomicU64>, JoinHandle<()>);

impl OwnLag {
    fn measure() -> Self {
        let worst = Arc::new(AtomicU64::new(0));
        let seen = worst.clone();
        let task = tokio::spawn(async move {
            loop {
                let due = Instant::now() + Duration::from_millis(5);
                sleep(Duration::from_millis(5)).await;
                seen.fetch_max(due.elapsed().as_millis() as u64, Relaxed);
            }
        });
        OwnLag(worst, task)
    }
}

impl Drop for OwnLag {
    fn drop(&mut self) {
        self.1.abort();
    }
}

/// A site in play.
struct Play<'a> {
    plan: &'a Plan,
    site: Site,
    controls: Vec<Control>,
    standstills: u64,
    violations: Vec<String>,
}

impl Play<'_> {
    fn arm(&self, phase: Phase, on: bool) -> Result<(), String> {
        if !self.plan.phases.contains(&phase) {
            return Ok(());
        }
        for (control, kind) in self.controls.iter().flat_map(|c| self.plan.kinds.iter().map(move |k| (c, k)))
        {
            control.set(*kind, on).map_err(|e| format!("control: {e}"))?;
        }
        Ok(())
    }

    /// Lets a phase last, with standstills if they are its faults.
    async fn last(&mut self, phase: Phase, length: Duration) {
        let end = Instant::now() + length;
        let still = self.plan.kinds.iter().find_map(|kind| match kind.means {
            Means::Standstill(still) if self.plan.phases.contains(&phase) => Some(still),
            _ => None,
        });
        while let Some(still) = still.filter(|_| Instant::now() < end) {
            // A process that has ended does not stand still.
            let held: Vec<bool> = self.site.gateways.iter().map(|gateway| gateway.pause().is_ok()).collect();
            sleep(still).await;
            for (gateway, _) in self.site.gateways.iter().zip(&held).filter(|(_, held)| **held) {
                self.standstills += u64::from(gateway.go_on().is_ok());
            }
            sleep(GOES_ON).await;
        }
        sleep(end.saturating_duration_since(Instant::now())).await;
    }

    /// In service: a host drains and comes back, and some gateway may be killed.
    async fn serve(&mut self) -> Result<(), String> {
        let part = self.plan.service / 3;
        self.arm(Phase::Service, true)?;
        self.last(Phase::Service, part).await;
        self.site.discovery.state(0, "DRAINING");
        self.last(Phase::Service, part).await;
        if self.plan.kills {
            self.site.broken(0, "is killed");
            self.site.gateways[0].kill().await?;
            self.site.restart(0).await?;
            // A link that could not reach it ends the connections that it took on meanwhile.
            self.site.broken(0, "what came while it was gone ends");
            sleep(LINKS_HEAL).await;
            self.site.healed(0);
        }
        self.site.discovery.state(0, "SERVING");
        self.last(Phase::Service, part).await;
        self.arm(Phase::Service, false)
    }

    /// Discovery moves; nothing comes by its old way any more.
    async fn reload(&mut self) -> Result<(), String> {
        self.arm(Phase::Reload, true)?;
        let since = self.site.book.now_us();
        for me in 0..self.site.gateways.len() {
            let link = Link::to(self.site.discovery.at[me]).await.map_err(|e| e.to_string())?;
            let old = std::mem::replace(&mut self.site.to_discovery[me], link);
            old.set(Faults { door: Door::Refused, ..Faults::default() });
            old.reset();
            self.site.gateways[me].reload(&self.site.config(me))?;
        }
        self.last(Phase::Reload, Duration::from_millis(700)).await;
        let until = Instant::now() + RELOAD_WITHIN;
        while !self.all_heard_since(since) && Instant::now() < until {
            sleep(Duration::from_millis(50)).await;
        }
        if !self.all_heard_since(since) {
            self.violations.push("Reload: discovery is not followed to its new address within 4 s".into());
        }
        self.arm(Phase::Reload, false)?;
        // A change that only the new way tells.
        self.site.discovery.state(1, "DRAINING");
        sleep(Duration::from_millis(300)).await;
        Ok(())
    }

    fn all_heard_since(&self, since: u64) -> bool {
        let events = self.site.book.since(0);
        let heard = |me: usize| {
            events.iter().any(|event| {
                event.at_us > since && matches!(event.what, What::Told { gateway, .. } if gateway == me)
            })
        };
        (0..self.site.gateways.len()).all(heard)
    }

    /// All gateways are told to stop, while their clients go on.
    async fn shut_down(&mut self, gates: &[Arc<Gate>]) -> Result<(), String> {
        for (me, gateway) in self.site.gateways.iter_mut().enumerate() {
            if gateway.has_ended() {
                self.violations.push(format!("Crash: gateway {me} has ended by itself"));
            }
        }
        self.arm(Phase::Shutdown, true)?;
        let told = Instant::now();
        for gateway in &self.site.gateways {
            let _ = gateway.tell_to_stop();
        }
        sleep(FRONT_HEARS).await;
        gates.iter().for_each(|gate| gate.closed.store(true, Relaxed));
        let standing = self.standstills;
        self.last(Phase::Shutdown, Duration::from_millis(600)).await;
        let stood = self.plan.kinds.iter().map(|kind| match kind.means {
            Means::Standstill(still) => still * (self.standstills - standing) as u32,
            _ => Duration::ZERO,
        });
        let most = self.plan.size.patience + ENDS_WITHIN + stood.sum::<Duration>();
        for me in 0..self.site.gateways.len() {
            match self.site.gateways[me].end().await {
                Ok(Some(0)) => {}
                ended => self.violations.push(format!("Exit: gateway {me} ended with {ended:?}")),
            }
        }
        if told.elapsed() > most {
            self.violations.push(format!("Exit: it took {:?}, and may take {most:?}", told.elapsed()));
        }
        gates.iter().for_each(|gate| gate.over.store(true, Relaxed));
        Ok(())
    }
}

fn is_armed(plan: &Plan, name: &str) -> bool {
    plan.kinds.iter().any(|kind| kind.name == name)
}

/// The terms, with what the faults of a run excuse.
fn terms(plan: &Plan, site: &Site, rig_lag_ms: u64) -> Terms {
    let still_ms = plan.kinds.iter().map(|kind| match kind.means {
        Means::Standstill(still) => still.as_millis() as u64,
        _ => 0,
    });
    let still_ms: u64 = still_ms.max().unwrap_or(0);
    // What breaks on the way from discovery was never told: it counts as told 6 s later.
    let breaks = plan.kinds.iter().any(|kind| kind.name.starts_with("read_e") && kind.name != "read_eintr");
    Terms {
        slack_ms: 500 + SLACK_MS + still_ms * 3 + rig_lag_ms,
        grace_ms: 3000 + rig_lag_ms + if breaks { 6000 } else { 0 },
        leave_ms: Some(100 + SLACK_MS + rig_lag_ms),
        told_slack_ms: Some(150 + SLACK_MS + rig_lag_ms),
        ..site.terms()
    }
}

/// Plays a run.
pub async fn play(launch: &Launch, plan: &Plan) -> Result<Outcome, String> {
    let told = |e: std::io::Error| e.to_string();
    let folder = tempfile::tempdir().map_err(told)?;
    let mut launch = launch.clone();
    launch.variables = faults::variables(folder.path()).map_err(told)?;
    let controls: Result<Vec<_>, _> = (0..plan.size.gateways)
        .map(|me| Control::create(folder.path(), &format!("g{me}"), plan.seed ^ (me as u64) << 32))
        .collect();
    let controls = controls.map_err(told)?;
    if plan.phases.contains(&Phase::Start) {
        for (control, kind) in controls.iter().flat_map(|c| plan.kinds.iter().map(move |k| (c, k))) {
            control.set(*kind, true).map_err(told)?;
        }
    }
    let site = match Site::start(&launch, plan.size).await {
        Ok(site) => site,
        Err(problem) => {
            let mut outcome = Outcome { violations: vec![format!("Start: {problem}")], ..Outcome::default() };
            count_injected(plan, &controls, 0, &mut outcome)?;
            return Ok(outcome);
        }
    };
    for (number, host) in site.hosts.iter().enumerate().filter(|(number, _)| number % 3 == 1) {
        let _ = number;
        host.conduct(|conduct| conduct.mishap = plan.mishap);
    }
    let lag = OwnLag::measure();
    let gates: Vec<Arc<Gate>> = (0..plan.size.gateways).map(|_| Arc::default()).collect();
    let mut clients = JoinSet::new();
    for (gateway, n) in (0..plan.size.gateways).flat_map(|g| (0..plan.clients).map(move |n| (g, n))) {
        let client = Client {
            gateway,
            at: site.gateways[gateway].at,
            book: site.book.clone(),
            messages: site.messages(),
            gate: gates[gateway].clone(),
            seed: plan.seed ^ ((gateway * 100 + n + 1) as u64),
        };
        clients.spawn(client.run());
    }
    let mut play = Play { plan, site, controls, standstills: 0, violations: Vec::new() };
    let mut begins = vec![(Phase::Start, 0)];
    play.last(Phase::Start, START_LASTS).await;
    play.arm(Phase::Start, false)?;
    begins.push((Phase::Service, play.site.book.now_us()));
    play.serve().await?;
    begins.push((Phase::Reload, play.site.book.now_us()));
    play.reload().await?;
    begins.push((Phase::Shutdown, play.site.book.now_us()));
    play.shut_down(&gates).await?;
    while clients.join_next().await.is_some() {}
    let rig_lag_ms = lag.0.load(Relaxed);
    judge(play, &begins, rig_lag_ms)
}

fn judge(mut play: Play, begins: &[(Phase, u64)], rig_lag_ms: u64) -> Result<Outcome, String> {
    let history = play.site.take();
    let terms = terms(play.plan, &play.site, rig_lag_ms);
    let mut outcome = Outcome { counts: Counts::of(&history), rig_lag_ms, ..Outcome::default() };
    count_injected(play.plan, &play.controls, play.standstills, &mut outcome)?;
    for event in history.iter().filter(|event| matches!(event.what, What::Asked { .. })) {
        let phase = begins.iter().rev().find(|(_, at)| *at <= event.at_us).map(|(phase, _)| *phase);
        *outcome.requests.entry(phase.unwrap_or(Phase::Start)).or_default() += 1;
    }
    let offences = without_excused(play.plan, &outcome, check(&history, &terms));
    let told = |o: &Offence| {
        format!("{:?}: {} ms: {}{}", o.promise, o.at_us / 1000, o.words, story(&history, &o.words))
    };
    play.violations.extend(offences.iter().map(told));
    let logs = play.site.logs();
    play.violations
        .extend(logs.lines().filter(|line| line.contains("invariant violated")).map(str::to_string));
    outcome.violations = play.violations;
    Ok(outcome)
}

/// Where clients' connections are broken by this machine, a request may end unanswered, or be sent again by its client
/// though it was taken: as many as were broken, and those behind them.
fn without_excused(plan: &Plan, outcome: &Outcome, offences: Vec<Offence>) -> Vec<Offence> {
    let broken: u64 = BREAKS_CLIENTS.iter().filter_map(|kind| outcome.injected.get(kind)).sum();
    if !BREAKS_CLIENTS.iter().any(|kind| is_armed(plan, kind)) {
        return offences;
    }
    let by_a_break = |o: &Offence| matches!(o.promise, Promise::Answered | Promise::Effects);
    let (excused, mut others): (Vec<_>, Vec<_>) = offences.into_iter().partition(by_a_break);
    if excused.len() as u64 > broken * MOST_AT_ONCE {
        others.extend(excused);
    }
    others
}

/// What a request went through, by the id in an offence's words, and what the rig did meanwhile.
fn story(history: &[Event], words: &str) -> String {
    let id = words.split(' ').find(|word| word.len() == 16 && word.bytes().all(|b| b.is_ascii_hexdigit()));
    let Some(id) = id else { return String::new() };
    let told = history.iter().filter(|event| {
        let text = format!("{:?}", event.what);
        text.contains(id) || matches!(event.what, What::Broken { .. } | What::Healed { .. })
    });
    told.map(|event| format!("; {} us: {:?}", event.at_us, event.what)).collect()
}

fn count_injected(
    plan: &Plan, controls: &[Control], standstills: u64, outcome: &mut Outcome,
) -> Result<(), String> {
    for kind in &plan.kinds {
        let mut count = if matches!(kind.means, Means::Standstill(_)) { standstills } else { 0 };
        for control in controls {
            count += control.injected(*kind).map_err(|e| e.to_string())?;
        }
        outcome.injected.insert(kind.name, count);
    }
    Ok(())
}
