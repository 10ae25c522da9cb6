//! Judges a run from the observed traffic between clients, gateways, hosts and discovery, independently of
//! the policies: checks the rules and measures the service that clients received.
use crate::disturbance::Disturbance;
use crate::world::clients::Message;
use crate::world::spec::{Class, Effect, World};
use crate::world::{ms, us, Us};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use ternstack_balancer::{Outcome, RejectionReason};

/// Length of a bin of the time series, in microseconds.
pub const BIN_US: Us = 500_000;
/// Number of bins over which service is averaged to detect recovery.
const RECOVERED_BINS: usize = 4;
/// Share of the previous service at which service counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Number of bins in the window of the worst service: 10 s.
const WORST_BINS: usize = 20;
/// Largest number of violations described per rule.
const MAX_DESCRIBED: usize = 10;

/// The rules that a policy must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Every try that reaches a gateway gets exactly one final response in time.
    Answered,
    /// No message is repeated beyond what its class allows.
    Effects,
    /// No new attempt is sent to a drained or removed host after the grace period.
    Drains,
    /// No cold host is overloaded until it goes down.
    Cold,
}

/// Violations against one rule.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RuleViolations {
    /// Rule that was broken.
    pub rule: Rule,
    /// Number of violations.
    pub count: u64,
    /// Descriptions of the first violations.
    pub first: Vec<String>,
}

/// Measurements of one bin of the time series.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Bin {
    /// Worth of the messages that began in the bin.
    pub asked: f64,
    /// Worth earned by these messages at any later time.
    pub earned: f64,
    /// Number of messages that began in the bin.
    pub messages: u32,
    /// Number of tries that began in the bin, first tries included.
    pub tries: u32,
    /// Number of attempts sent to hosts.
    pub attempts: u32,
    /// Number of rejections by reason: quota exceeded, no capacity, deadline too close, attempts failed.
    pub refused: [u32; 4],
    /// Number of tries that failed or found no gateway.
    pub failed: u32,
    /// Number of tries whose client timeout expired.
    pub timed_out: u32,
    /// Work that hosts completed, in standard core seconds.
    pub work: f64,
    /// Completed work whose response was not used, in standard core seconds.
    pub wasted: f64,
    /// Work offered by first tries, in standard core seconds.
    pub offered: f64,
    /// Number of attempts queued at hosts at the end of the bin.
    pub queue: u32,
    /// Number of hosts slowed by overload at the end of the bin.
    pub slow: u32,
    /// Number of hosts that respond at the end of the bin.
    pub up: u32,
    /// Utilization of the cores of all responding hosts.
    pub busy: f64,
}

/// Service of a class or tenant.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct GroupService {
    /// Name of the class or tenant.
    pub name: String,
    /// Number of messages.
    pub messages: u64,
    /// Worth of all messages.
    pub asked: f64,
    /// Worth earned.
    pub earned: f64,
    /// Earned worth as a share of the worth of all messages; 1 if there were no messages.
    pub service: f64,
}

/// Recovery of service after a disturbance.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Recovery {
    /// Kind of the disturbance.
    pub trouble: String,
    /// Start of the disturbance, in seconds.
    pub at_s: f64,
    /// End of the disturbance, in seconds.
    pub end_s: f64,
    /// Service in the 10 s before the disturbance.
    pub before: f64,
    /// Seconds from the end of the disturbance until service reached 95% of the service before; absent if it
    /// never did.
    pub seconds: Option<f64>,
}

/// Latencies of the served messages of a class from the first try on, in ms.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Latency {
    /// Name of the class.
    pub class: String,
    /// Number of served messages.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

/// Findings about a run.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Findings {
    /// Earned worth as a share of the worth of all messages.
    pub service: f64,
    /// Service in the worst 10 s.
    pub worst_10_s: f64,
    /// Service in the last 10 s relative to the service before the first disturbance; below 1 if service has
    /// not recovered.
    pub at_end: f64,
    /// Share of the worth that the capacity allowed, bin by bin, given the work offered by first tries.
    pub allowed: f64,
    /// Service by class.
    pub classes: Vec<GroupService>,
    /// Service of messages within the quota, by tenant: named tenants, and all others together.
    pub tenants: Vec<GroupService>,
    /// Jain's fairness index over the tenants' service; 1 if all tenants have the same.
    pub fairness: f64,
    /// Number of messages.
    pub messages: u64,
    /// Mean number of tries per message.
    pub tries_per_message: f64,
    /// Mean number of attempts per message.
    pub attempts_per_message: f64,
    /// Rejections per try, by reason: quota exceeded, no capacity, deadline too close, attempts failed.
    pub refused: [f64; 4],
    /// Share of the tries that failed or found no gateway.
    pub failed: f64,
    /// Share of the tries whose client timeout expired.
    pub timed_out: f64,
    /// Share of the hosts' work whose response was not used.
    pub wasted: f64,
    /// Latencies by class.
    pub latency: Vec<Latency>,
    /// Recovery from each disturbance that ended early enough to measure.
    pub recovery: Vec<Recovery>,
    /// Rules that were broken.
    pub broken: Vec<RuleViolations>,
    /// Time series in bins of half a second from the start of the run.
    pub bins: Vec<Bin>,
}

impl Findings {
    /// Returns the longest recovery in seconds; infinite if service did not recover.
    pub fn longest_recovery(&self) -> f64 {
        self.recovery.iter().map(|r| r.seconds.unwrap_or(f64::INFINITY)).fold(0.0, f64::max)
    }
}

/// A sent attempt of a try.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// Time of sending.
    pub at: Us,
    /// `false` once an outcome has proved that the attempt never ran.
    pub may_have_run: bool,
}

/// Judge of one run.
#[derive(Debug)]
pub struct Judge {
    world: World,
    start: Us,
    end: Us,
    bins: Vec<Bin>,
    capacity: f64,
    classes: Vec<GroupService>,
    tenants: Vec<GroupService>,
    latency: Vec<Histogram<u64>>,
    violations: [RuleViolations; 4],
    /// Time at which a gateway was notified of a host's drain or removal, by gateway and host.
    notified_leaving_at: HashMap<(u32, u32), Us>,
    /// Last start of a host of which a gateway was notified, by gateway and host.
    notified_starts: HashMap<(u32, u32), Us>,
}

impl GroupService {
    fn new(name: &str) -> Self {
        GroupService { name: name.into(), ..GroupService::default() }
    }

    fn add_message(&mut self, worth: f64) {
        self.messages += 1;
        self.asked += worth;
    }
}

impl Judge {
    /// Creates the judge of a world whose hosts have a total capacity of `capacity` standard cores. Messages
    /// that begin before `start` do not count for service; arrivals end at `end`.
    pub fn new(world: &World, capacity: f64, start: Us, end: Us) -> Self {
        let violations = |rule| RuleViolations { rule, count: 0, first: Vec::new() };
        let histogram = || Histogram::new(3).map_err(|e| e.to_string());
        let latency = world.classes.iter().filter_map(|_| histogram().ok()).collect();
        Judge {
            world: world.clone(),
            start,
            end,
            bins: vec![Bin::default(); (end / BIN_US + 1) as usize],
            capacity,
            classes: world.classes.iter().map(|c| GroupService::new(&c.name)).collect(),
            tenants: world
                .tenants
                .iter()
                .map(|t| GroupService::new(&t.name))
                .chain([GroupService::new("others")])
                .collect(),
            latency,
            violations: [
                violations(Rule::Answered),
                violations(Rule::Effects),
                violations(Rule::Drains),
                violations(Rule::Cold),
            ],
            notified_leaving_at: HashMap::new(),
            notified_starts: HashMap::new(),
        }
    }

    /// Returns the bin of a time; times after the last arrivals belong to the last bin.
    pub fn bin(&mut self, now: Us) -> &mut Bin {
        let last = self.bins.len() - 1;
        &mut self.bins[((now / BIN_US) as usize).min(last)]
    }

    fn record_violation(&mut self, rule: Rule, now: Us, description: String) {
        let violations = &mut self.violations[rule as usize];
        violations.count += 1;
        if violations.first.len() < MAX_DESCRIBED {
            violations.first.push(format!("{:.3} s: {description}", now as f64 / 1e6));
        }
    }

    // ---- client observations ----

    /// Records the first try of a message.
    pub fn message_began(&mut self, message: &Message) {
        let offered = message.work / 1e6;
        let bin = self.bin(message.at);
        bin.asked += message.worth;
        bin.messages += 1;
        bin.offered += offered;
        if message.at >= self.start {
            let tenant = message.tenant.min(self.tenants.len() - 1);
            self.classes[message.class].add_message(message.worth);
            if message.within_quota {
                self.tenants[tenant].add_message(message.worth);
            }
        }
    }

    /// Records that a client has received a served response.
    pub fn message_served(&mut self, now: Us, message: &Message) {
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
            let tenant = message.tenant.min(self.tenants.len() - 1);
            self.classes[message.class].earned += earned;
            if message.within_quota {
                self.tenants[tenant].earned += earned;
            }
            if let Some(histogram) = self.latency.get_mut(message.class) {
                // Recording cannot fail, because the histogram resizes itself.
                let _ = histogram.record(latency);
            }
        }
    }

    /// Records a rejection by a gateway.
    pub fn rejected(&mut self, now: Us, reason: RejectionReason) {
        self.bin(now).refused[reason as usize] += 1;
    }

    // ---- rules ----

    /// Records that a gateway gave no final response within the client's timeout.
    pub fn unanswered(&mut self, now: Us, gateway: u32, message: u64) {
        self.record_violation(
            Rule::Answered,
            now,
            format!("gateway {gateway} gave message {message} no final response"),
        );
    }

    /// Records that a gateway acted on a try that it had already ended.
    pub fn after_end(&mut self, now: Us, gateway: u32, message: u64, what: &str) {
        self.record_violation(
            Rule::Answered,
            now,
            format!("gateway {gateway}: {what} for message {message} after its end"),
        );
    }

    /// Checks a rejection, after which the client may safely retry the message.
    pub fn check_rejection(
        &mut self, now: Us, gateway: u32, message: u64, class: usize, sent: &[SentAttempt],
    ) {
        let ran = sent.iter().any(|s| s.may_have_run);
        // Keyed messages are not checked, because all hosts drop their repeats.
        if self.world.classes[class].effect == Effect::Unsafe && ran {
            let what = format!("gateway {gateway} rejected message {message}, which may have run");
            self.record_violation(Rule::Effects, now, what);
        }
    }

    /// Records and checks an attempt. `sent` holds the earlier attempts of the try; `presumed_notified_at` is
    /// the time by which a gateway without a subscription should know of the host's drain or removal.
    #[allow(clippy::too_many_arguments)]
    pub fn check_attempt(
        &mut self, now: Us, gateway: u32, host: u32, message: u64, class: usize, sent: &[SentAttempt],
        presumed_notified_at: Option<Us>,
    ) {
        self.bin(now).attempts += 1;
        if let Some(first) = sent.iter().find(|s| s.may_have_run) {
            let Class { effect, window_ms, .. } = self.world.classes[class];
            let allowed = match effect {
                Effect::Safe => true,
                Effect::Keyed => now <= first.at + us(window_ms),
                Effect::Unsafe => false,
            };
            if !allowed {
                let what = format!("gateway {gateway} sent message {message} again, which may have run");
                self.record_violation(Rule::Effects, now, what);
            }
        }
        let notified_at = self.notified_leaving_at.get(&(gateway, host)).copied();
        let notified_at = notified_at.into_iter().chain(presumed_notified_at).min();
        let grace = us(self.world.gateway.drain_grace_ms);
        if let Some(notified_at) = notified_at.filter(|at| now > at + grace) {
            let late_ms = ms(now - notified_at);
            let what = format!(
                "gateway {gateway} sent to host {host} {late_ms:.0} ms after the host's drain or removal"
            );
            self.record_violation(Rule::Drains, now, what);
        }
    }

    /// Returns whether an attempt with this outcome may have run.
    pub fn may_have_run(outcome: Outcome) -> bool {
        !outcome.never_ran()
    }

    /// Records that a gateway was notified of a host. `leaving` is true for a drain or removal; `started` is
    /// the time of the host's last start, 0 if unknown.
    pub fn record_notification(&mut self, now: Us, gateway: u32, host: u32, leaving: bool, started: Us) {
        if leaving {
            self.notified_leaving_at.entry((gateway, host)).or_insert(now);
        } else {
            self.notified_leaving_at.remove(&(gateway, host));
        }
        if started > 0 {
            self.notified_starts.insert((gateway, host), started);
        }
    }

    /// Removes the notifications of a stopped gateway, because its successor starts without an endpoint list.
    pub fn forget_gateway(&mut self, gateway: u32) {
        self.notified_leaving_at.retain(|k, _| k.0 != gateway);
        self.notified_starts.retain(|k, _| k.0 != gateway);
    }

    /// Records that a cold host, started at `started`, went down under the work in `sent`, given per gateway.
    /// The overload is a violation if gateways that were notified of the start sent two thirds of the work.
    pub fn record_cold_host_overload(&mut self, now: Us, host: u32, started: Us, sent: &[(u32, f64)]) {
        let all: f64 = sent.iter().map(|s| s.1).sum();
        let notified = |s: &&(u32, f64)| self.notified_starts.get(&(s.0, host)) == Some(&started);
        let from_notified_gateways: f64 = sent.iter().filter(notified).map(|s| s.1).sum();
        if from_notified_gateways * 3.0 >= all * 2.0 {
            self.record_violation(Rule::Cold, now, format!("cold host {host} went down under overload"));
        }
    }

    // ---- findings ----

    fn service(bins: &[Bin]) -> f64 {
        let (asked, earned) = bins.iter().fold((0.0, 0.0), |sum, b| (sum.0 + b.asked, sum.1 + b.earned));
        if asked > 0.0 {
            earned / asked
        } else {
            1.0
        }
    }

    fn recovery(&self, disturbance: &Disturbance, first: usize) -> Recovery {
        let bin_count = (self.end / BIN_US) as usize;
        let bin = |s: f64| (((s * 1e6) as Us / BIN_US) as usize).min(bin_count);
        let (from, to) = (bin(disturbance.at_s), bin(disturbance.at_s + disturbance.for_s));
        let before = Self::service(&self.bins[first.max(from.saturating_sub(WORST_BINS))..from.max(first)]);
        let recovered_bin = (to..bin_count.saturating_sub(RECOVERED_BINS - 1).max(to)).find(|n| {
            Self::service(&self.bins[*n..(*n + RECOVERED_BINS).min(bin_count)]) >= RECOVERED_SHARE * before
        });
        let end_us = disturbance.end();
        Recovery {
            trouble: disturbance.name().into(),
            at_s: disturbance.at_s,
            end_s: disturbance.at_s + disturbance.for_s,
            before,
            seconds: recovered_bin.map(|n| (n as Us * BIN_US).saturating_sub(end_us) as f64 / 1e6),
        }
    }

    /// Returns the findings of the run.
    pub fn findings(mut self, disturbances: &[Disturbance]) -> Findings {
        let (first, bin_count) = ((self.start / BIN_US) as usize, (self.end / BIN_US) as usize);
        let counted = &self.bins[first.min(bin_count)..bin_count.max(1)];
        let service = Self::service(counted);
        let worst = counted.windows(WORST_BINS.min(counted.len().max(1))).map(Self::service);
        let worst_10_s = worst.fold(1.0, f64::min);
        let from = disturbances.iter().map(|t| t.at_s).fold(f64::INFINITY, f64::min);
        let first_disturbance_bin = ((from * 1e6).min(self.end as f64) as Us / BIN_US) as usize;
        let before =
            Self::service(&self.bins[first.min(first_disturbance_bin)..first_disturbance_bin.max(1)]);
        let last = Self::service(&counted[counted.len().saturating_sub(WORST_BINS)..]);
        let allowed = {
            let max_offered = self.capacity * BIN_US as f64 / 1e6;
            let part = |b: &Bin| if b.offered > max_offered { max_offered / b.offered } else { 1.0 };
            let asked: f64 = counted.iter().map(|b| b.asked).sum();
            counted.iter().map(|b| part(b) * b.asked).sum::<f64>() / asked.max(1e-9)
        };
        let recovery = disturbances
            .iter()
            .filter(|t| t.end() + RECOVERED_BINS as Us * BIN_US <= self.end)
            .map(|t| self.recovery(t, first))
            .collect();
        for group in self.classes.iter_mut().chain(&mut self.tenants) {
            group.service = if group.asked > 0.0 { group.earned / group.asked } else { 1.0 };
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
            refused: [0, 1, 2, 3].map(|reason| sum(&|b| f64::from(b.refused[reason])) / tries),
            failed: sum(&|b| f64::from(b.failed)) / tries,
            timed_out: sum(&|b| f64::from(b.timed_out)) / tries,
            wasted: if work > 0.0 { sum(&|b| b.wasted) / work } else { 0.0 },
            latency: latency.collect(),
            recovery,
            broken: self.violations.iter().filter(|v| v.count > 0).cloned().collect(),
            classes: self.classes,
            tenants: self.tenants,
            bins: self.bins,
        }
    }
}
