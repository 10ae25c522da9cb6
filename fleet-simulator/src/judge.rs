//! The judge: it sees what really crossed between clients, gateways, hosts and discovery, asks no policy about
//! anything, and tells whether the rules were kept and what service clients had.
use crate::trouble::Trouble;
use crate::world::clients::Message;
use crate::world::spec::{Class, Effect, World};
use crate::world::{ms, us, Us};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use ternstack_balancer::{Outcome, RejectionReason};

/// Length of a bin of the time series.
pub const BIN: Us = 500_000;
/// Service is measured over so many bins to tell whether it has recovered.
const RECOVERED_BINS: usize = 4;
/// Recovered is this part of the service before.
const RECOVERED: f64 = 0.95;
/// The worst stretch is of so many bins: 10 s.
const WORST_BINS: usize = 20;
/// So many offences are described.
const TOLD: usize = 10;

/// The four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each message that a gateway took gets one final answer in time.
    Answered,
    /// No effect is repeated beyond its class.
    Effects,
    /// Nothing new to a drained or removed host after the grace.
    Drains,
    /// No cold host is pushed over.
    Cold,
}

/// How often a rule was broken, and how at first.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Offences {
    /// The rule.
    pub rule: Rule,
    /// How often.
    pub count: u64,
    /// The first of them, in words.
    pub first: Vec<String>,
}

/// What happened in one bin of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Bin {
    /// Worth of the messages that began here.
    pub asked: f64,
    /// Worth of theirs that was earned, whenever.
    pub earned: f64,
    /// Messages that began here.
    pub messages: u32,
    /// Tries that began here, the first ones included.
    pub tries: u32,
    /// Attempts sent to hosts.
    pub attempts: u32,
    /// Refusals, by cause: over limit, no room, too late, attempts failed.
    pub refused: [u32; 4],
    /// Tries that ended as failed, or met no gateway.
    pub failed: u32,
    /// Tries whose client gave up waiting.
    pub timed_out: u32,
    /// Work that hosts ended here, in standard core seconds.
    pub work: f64,
    /// The part of it that nobody got an answer from.
    pub wasted: f64,
    /// Work that first tries asked for, in standard core seconds.
    pub offered: f64,
    /// Attempts that wait at hosts, at the bin's end.
    pub queue: u32,
    /// Hosts slowed by crowding, at its end.
    pub slow: u32,
    /// Hosts that answer, at its end.
    pub up: u32,
    /// Core time in use, as a part of all that is up.
    pub busy: f64,
}

/// Service of a class or tenant.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Share {
    /// Its name.
    pub name: String,
    /// Messages.
    pub messages: u64,
    /// Worth asked.
    pub asked: f64,
    /// Worth earned.
    pub earned: f64,
    /// Earned by asked; 1 where nothing was asked.
    pub service: f64,
}

/// How long service took to come back after a trouble.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Recovery {
    /// The trouble.
    pub trouble: String,
    /// When it began, in seconds.
    pub at_s: f64,
    /// When it was over, in seconds.
    pub end_s: f64,
    /// Service in the time before.
    pub before: f64,
    /// Seconds from its end until service was back to 95% of that; absent where it never was.
    pub seconds: Option<f64>,
}

/// Latencies of served messages, from the first try on, in ms.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Latency {
    /// The class.
    pub class: String,
    /// Served messages.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90 in 100 lie under this.
    pub p90: f64,
    /// 99 in 100.
    pub p99: f64,
    /// 999 in 1000.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

/// What a run showed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Findings {
    /// Worth earned by worth asked.
    pub service: f64,
    /// The same in the worst 10 s.
    pub worst_10_s: f64,
    /// Of the last 10 s, by the service before the first trouble: under 1 where something has stayed broken.
    pub at_end: f64,
    /// The part of the worth that capacity allowed, by the work that first tries asked for, bin by bin.
    pub allowed: f64,
    /// Service by class.
    pub classes: Vec<Share>,
    /// Service by tenant within its quota: the named ones, and all others as one.
    pub tenants: Vec<Share>,
    /// Jain's index over these tenants' service: 1 where all have the same.
    pub fairness: f64,
    /// Messages.
    pub messages: u64,
    /// Tries a message.
    pub tries_per_message: f64,
    /// Attempts a message.
    pub attempts_per_message: f64,
    /// Refusals a try, by cause: over limit, no room, too late, attempts failed.
    pub refused: [f64; 4],
    /// Tries that failed or met no gateway, of all.
    pub failed: f64,
    /// Tries whose client gave up waiting, of all.
    pub timed_out: f64,
    /// The part of the hosts' work that nobody got an answer from.
    pub wasted: f64,
    /// Latencies by class.
    pub latency: Vec<Latency>,
    /// Recovery from each trouble.
    pub recovery: Vec<Recovery>,
    /// Rules that were broken.
    pub broken: Vec<Offences>,
    /// The time series, in bins of half a second from the start.
    pub bins: Vec<Bin>,
}

impl Findings {
    /// The longest recovery in seconds; infinite where service never came back.
    pub fn longest_recovery(&self) -> f64 {
        self.recovery.iter().map(|r| r.seconds.unwrap_or(f64::INFINITY)).fold(0.0, f64::max)
    }
}

/// An attempt of a try as the judge remembers it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// When.
    pub at: Us,
    /// False once an outcome has proved that it never ran.
    pub may_have_run: bool,
}

/// The judge of one run.
#[derive(Debug)]
pub struct Judge {
    world: World,
    start: Us,
    end: Us,
    bins: Vec<Bin>,
    capacity: f64,
    classes: Vec<Share>,
    tenants: Vec<Share>,
    latency: Vec<Histogram<u64>>,
    offences: [Offences; 4],
    told: HashMap<(u32, u32), Us>, // Gateway and host: since when it is told of a drain or removal.
    starts: HashMap<(u32, u32), Us>, // The same of a start: which one it has been told of.
}

impl Share {
    fn new(name: &str) -> Self {
        Share { name: name.into(), ..Share::default() }
    }

    fn ask(&mut self, worth: f64) {
        self.messages += 1;
        self.asked += worth;
    }
}

impl Judge {
    /// A judge of a world whose hosts can do `capacity` standard core seconds a second. What begins before `start`
    /// counts for no service; `end` is when the last message begins.
    pub fn new(world: &World, capacity: f64, start: Us, end: Us) -> Self {
        let offences = |rule| Offences { rule, count: 0, first: Vec::new() };
        let histogram = || Histogram::new(3).map_err(|e| e.to_string());
        let latency = world.classes.iter().filter_map(|_| histogram().ok()).collect();
        Judge {
            world: world.clone(),
            start,
            end,
            bins: vec![Bin::default(); (end / BIN + 1) as usize],
            capacity,
            classes: world.classes.iter().map(|c| Share::new(&c.name)).collect(),
            tenants: world
                .tenants
                .iter()
                .map(|t| Share::new(&t.name))
                .chain([Share::new("others")])
                .collect(),
            latency,
            offences: [
                offences(Rule::Answered),
                offences(Rule::Effects),
                offences(Rule::Drains),
                offences(Rule::Cold),
            ],
            told: HashMap::new(),
            starts: HashMap::new(),
        }
    }

    /// The bin of a moment. What comes after the last message counts to the last one.
    pub fn bin(&mut self, now: Us) -> &mut Bin {
        let last = self.bins.len() - 1;
        &mut self.bins[((now / BIN) as usize).min(last)]
    }

    fn broken(&mut self, rule: Rule, now: Us, what: String) {
        let offences = &mut self.offences[rule as usize];
        offences.count += 1;
        if offences.first.len() < TOLD {
            offences.first.push(format!("{:.3} s: {what}", now as f64 / 1e6));
        }
    }

    // ---- what clients see ----

    /// A message begins.
    pub fn asked(&mut self, message: &Message) {
        let offered = message.work / 1e6;
        let bin = self.bin(message.at);
        bin.asked += message.worth;
        bin.messages += 1;
        bin.offered += offered;
        if message.at >= self.start {
            let named = message.tenant.min(self.tenants.len() - 1);
            self.classes[message.class].ask(message.worth);
            if message.within_quota {
                self.tenants[named].ask(message.worth);
            }
        }
    }

    /// A message has been served: its client has the answer.
    pub fn served(&mut self, now: Us, message: &Message) {
        let class = &self.world.classes[message.class];
        let latency = now.saturating_sub(message.at);
        let part = if latency <= us(class.aim_ms) {
            1.0
        } else if latency <= us(class.deadline_ms) {
            class.late_worth
        } else {
            0.0
        };
        let earned = part * message.worth;
        self.bin(message.at).earned += earned;
        if message.at >= self.start {
            let named = message.tenant.min(self.tenants.len() - 1);
            self.classes[message.class].earned += earned;
            if message.within_quota {
                self.tenants[named].earned += earned;
            }
            if let Some(histogram) = self.latency.get_mut(message.class) {
                // A histogram that resizes itself takes any value.
                let _ = histogram.record(latency);
            }
        }
    }

    /// A gateway has refused.
    pub fn refused(&mut self, now: Us, cause: RejectionReason) {
        self.bin(now).refused[cause as usize] += 1;
    }

    // ---- the rules ----

    /// A gateway gave no final answer by the end of its client's patience.
    pub fn unanswered(&mut self, now: Us, gateway: u32, message: u64) {
        self.broken(
            Rule::Answered,
            now,
            format!("gateway {gateway} left message {message} without an answer"),
        );
    }

    /// A gateway ended a message a second time, or acted for one that it had ended.
    pub fn after_end(&mut self, now: Us, gateway: u32, message: u64, what: &str) {
        self.broken(
            Rule::Answered,
            now,
            format!("gateway {gateway}: {what} of message {message} after its end"),
        );
    }

    /// A gateway refuses a message, which tells its client that trying again is harmless.
    pub fn refusal(&mut self, now: Us, gateway: u32, message: u64, class: usize, sent: &[Sent]) {
        let ran = sent.iter().any(|s| s.may_have_run);
        // Where all hosts drop repeats of a keyed message, trying again is harmless.
        if self.world.classes[class].effect == Effect::Unsafe && ran {
            let what = format!("gateway {gateway} refused message {message}, which may have run");
            self.broken(Rule::Effects, now, what);
        }
    }

    /// A gateway sends an attempt; `sent` holds the earlier ones of this try.
    #[allow(clippy::too_many_arguments)]
    pub fn attempt(
        &mut self, now: Us, gateway: u32, host: u32, message: u64, class: usize, sent: &[Sent],
        counts_as_told: Option<Us>,
    ) {
        self.bin(now).attempts += 1;
        if let Some(first) = sent.iter().find(|s| s.may_have_run) {
            let Class { effect, window_ms, .. } = self.world.classes[class];
            let fine = match effect {
                Effect::Safe => true,
                Effect::Keyed => now <= first.at + us(window_ms),
                Effect::Unsafe => false,
            };
            if !fine {
                let what = format!("gateway {gateway} repeated message {message}, which may have run");
                self.broken(Rule::Effects, now, what);
            }
        }
        let told = self.told.get(&(gateway, host)).copied();
        let told = told.into_iter().chain(counts_as_told).min();
        let grace = us(self.world.gateway.drain_grace_ms);
        if let Some(told) = told.filter(|told| now > told + grace) {
            let late = ms(now - told);
            let what = format!("gateway {gateway} sent to host {host} {late:.0} ms after its drain or end");
            self.broken(Rule::Drains, now, what);
        }
    }

    /// What an outcome proves is told to the attempt itself, in [`Sent`].
    pub fn may_have_run(outcome: Outcome) -> bool {
        !outcome.never_ran()
    }

    /// A gateway is told of a host; `leaving` is a drain or an end, `started` its last start.
    pub fn told(&mut self, now: Us, gateway: u32, host: u32, leaving: bool, started: Us) {
        if leaving {
            self.told.entry((gateway, host)).or_insert(now);
        } else {
            self.told.remove(&(gateway, host));
        }
        if started > 0 {
            self.starts.insert((gateway, host), started);
        }
    }

    /// A gateway has died: whoever follows it has been told of nothing.
    pub fn forget_gateway(&mut self, gateway: u32) {
        self.told.retain(|k, _| k.0 != gateway);
        self.starts.retain(|k, _| k.0 != gateway);
    }

    /// A cold host, started then, has been pushed over by this work of these gateways.
    pub fn pushed_over(&mut self, now: Us, host: u32, started: Us, sent: &[(u32, f64)]) {
        let all: f64 = sent.iter().map(|s| s.1).sum();
        let told = |s: &&(u32, f64)| self.starts.get(&(s.0, host)) == Some(&started);
        let by_told: f64 = sent.iter().filter(told).map(|s| s.1).sum();
        if by_told * 3.0 >= all * 2.0 {
            self.broken(Rule::Cold, now, format!("cold host {host} was pushed over"));
        }
    }

    // ---- the end ----

    fn service(bins: &[Bin]) -> f64 {
        let (asked, earned) = bins.iter().fold((0.0, 0.0), |sum, b| (sum.0 + b.asked, sum.1 + b.earned));
        if asked > 0.0 {
            earned / asked
        } else {
            1.0
        }
    }

    fn recovery(&self, trouble: &Trouble, first: usize) -> Recovery {
        let whole = (self.end / BIN) as usize;
        let bin = |s: f64| (((s * 1e6) as Us / BIN) as usize).min(whole);
        let (from, to) = (bin(trouble.at_s), bin(trouble.at_s + trouble.for_s));
        let before = Self::service(&self.bins[first.max(from.saturating_sub(WORST_BINS))..from.max(first)]);
        let windows = (to..whole.saturating_sub(RECOVERED_BINS - 1).max(to))
            .find(|n| Self::service(&self.bins[*n..(*n + RECOVERED_BINS).min(whole)]) >= RECOVERED * before);
        let over = trouble.end();
        Recovery {
            trouble: trouble.name().into(),
            at_s: trouble.at_s,
            end_s: trouble.at_s + trouble.for_s,
            before,
            seconds: windows.map(|n| (n as Us * BIN).saturating_sub(over) as f64 / 1e6),
        }
    }

    /// What the run showed.
    pub fn findings(mut self, troubles: &[Trouble]) -> Findings {
        let (first, whole) = ((self.start / BIN) as usize, (self.end / BIN) as usize);
        let counted = &self.bins[first.min(whole)..whole.max(1)];
        let service = Self::service(counted);
        let worst = counted.windows(WORST_BINS.min(counted.len().max(1))).map(Self::service);
        let worst_10_s = worst.fold(1.0, f64::min);
        let from = troubles.iter().map(|t| t.at_s).fold(f64::INFINITY, f64::min);
        let calm = ((from * 1e6).min(self.end as f64) as Us / BIN) as usize;
        let before = Self::service(&self.bins[first.min(calm)..calm.max(1)]);
        let last = Self::service(&counted[counted.len().saturating_sub(WORST_BINS)..]);
        let allowed = {
            let most = self.capacity * BIN as f64 / 1e6;
            let part = |b: &Bin| if b.offered > most { most / b.offered } else { 1.0 };
            let asked: f64 = counted.iter().map(|b| b.asked).sum();
            counted.iter().map(|b| part(b) * b.asked).sum::<f64>() / asked.max(1e-9)
        };
        let recovery = troubles
            .iter()
            .filter(|t| t.end() + RECOVERED_BINS as Us * BIN <= self.end)
            .map(|t| self.recovery(t, first))
            .collect();
        for share in self.classes.iter_mut().chain(&mut self.tenants) {
            share.service = if share.asked > 0.0 { share.earned / share.asked } else { 1.0 };
        }
        self.tenants.retain(|t| t.messages > 0);
        let sum = |value: &dyn Fn(&Bin) -> f64| self.bins.iter().map(value).sum::<f64>();
        let messages = sum(&|b| f64::from(b.messages));
        let tries = sum(&|b| f64::from(b.tries)).max(1.0);
        let work = sum(&|b| b.work);
        let services: Vec<f64> = self.tenants.iter().map(|t| t.service).collect();
        let squares: f64 = services.iter().map(|s| s * s).sum();
        let total: f64 = services.iter().sum();
        let fairness = if squares > 0.0 { total * total / (services.len() as f64 * squares) } else { 1.0 };
        let latency = self.latency.iter().zip(&self.classes).map(|(h, class)| {
            let at = |q: f64| ms(h.value_at_quantile(q));
            Latency {
                class: class.name.clone(),
                count: h.len(),
                p50: at(0.5),
                p90: at(0.9),
                p99: at(0.99),
                p999: at(0.999),
                max: ms(h.max()),
            }
        });
        Findings {
            service,
            worst_10_s,
            at_end: last / before.max(1e-9),
            allowed,
            fairness,
            messages: messages as u64,
            tries_per_message: tries / messages.max(1.0),
            attempts_per_message: sum(&|b| f64::from(b.attempts)) / messages.max(1.0),
            refused: [0, 1, 2, 3].map(|cause| sum(&|b| f64::from(b.refused[cause])) / tries),
            failed: sum(&|b| f64::from(b.failed)) / tries,
            timed_out: sum(&|b| f64::from(b.timed_out)) / tries,
            wasted: if work > 0.0 { sum(&|b| b.wasted) / work } else { 0.0 },
            latency: latency.collect(),
            recovery,
            broken: self.offences.iter().filter(|o| o.count > 0).cloned().collect(),
            classes: self.classes,
            tenants: self.tenants,
            bins: self.bins,
        }
    }
}
