//! What users would pick instead of the module, for comparison in the laboratory only: uniform random, round
//! robin, least outstanding, power of two choices, and peak-EWMA as in Finagle and linkerd; each with or without
//! a retry budget. They keep the rules on repeats and drains, refuse nothing by themselves, and know no limits,
//! reports or slow start.
use super::{Policy, Which};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use ternstack_balancer::{
    Action, AttemptEnd, EndpointId, Event, Idempotency, Outcome, Readiness, RejectionReason, RequestId,
    Settings, UpdateKind,
};

/// Peak-EWMA forgets a latency to 1/e within this.
const DECAY_MS: f64 = 10_000.0;
/// What a host counts with that has not been measured, while attempts are out there.
const UNMEASURED_MS: f64 = 1000.0;
/// Repeats that a budget permits without any first attempts before.
const BUDGET_BURST: f64 = 10.0;
/// Pause before asking discovery anew.
const ASK_AGAIN_MS: f64 = 500.0;

#[derive(Clone, Copy, Debug, Default)]
struct Host {
    out: u32,
    cost: f64,
    at: f64,
}

impl Host {
    /// A latency enters: at once where it is a peak, else by the time that has passed.
    fn observe(&mut self, now: f64, latency: f64) {
        let kept = (-(now - self.at) / DECAY_MS).exp();
        self.cost = if latency > self.cost { latency } else { self.cost * kept + latency * (1.0 - kept) };
        self.at = now;
    }

    /// Expected latency times attempts out, the one to be sent included.
    fn load(&self, now: f64) -> f64 {
        let cost = self.cost * (-(now - self.at) / DECAY_MS).exp();
        let cost = if cost == 0.0 && self.out > 0 { UNMEASURED_MS } else { cost };
        cost * f64::from(self.out + 1)
    }
}

#[derive(Clone, Debug)]
struct Open {
    class: usize,
    end: f64,
    sent: Vec<(EndpointId, f64, bool)>, // Where, when, and whether it may have run.
    out: u32,
}

/// A comparison policy.
#[derive(Debug)]
pub struct Rival {
    which: Which,
    settings: Settings,
    rng: Pcg64Mcg,
    budget: Option<f64>,
    repeats: f64,
    listed: BTreeMap<EndpointId, Readiness>,
    active: Vec<EndpointId>,
    hosts: HashMap<EndpointId, Host>,
    open: HashMap<RequestId, Open>,
    turn: usize,
    ask_at: Option<f64>,
}

impl Rival {
    /// A policy that knows nothing yet.
    pub fn new(which: Which, settings: Settings, seed: u64, budget: Option<f64>) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        Rival {
            which,
            settings,
            budget,
            repeats: BUDGET_BURST,
            listed: BTreeMap::new(),
            active: Vec::new(),
            hosts: HashMap::new(),
            open: HashMap::new(),
            turn: rng.random_range(0..1 << 20),
            rng,
            ask_at: None,
        }
    }

    fn load(&self, now: f64, id: EndpointId) -> f64 {
        let host = self.hosts.get(&id).copied().unwrap_or_default();
        if self.which == Which::PeakEwma {
            host.load(now)
        } else {
            f64::from(host.out)
        }
    }

    /// A host for a message, away from those it has tried while there are others.
    fn pick(&mut self, now: f64, tried: &[(EndpointId, f64, bool)]) -> Option<EndpointId> {
        let count = self.active.len();
        if count == 0 {
            return None;
        }
        let mut picked = self.active[0];
        for _ in 0..3 {
            picked = match self.which {
                Which::RoundRobin => {
                    self.turn += 1;
                    self.active[self.turn % count]
                }
                Which::LeastOutstanding => {
                    let least =
                        self.active.iter().map(|id| self.load(now, *id)).fold(f64::INFINITY, f64::min);
                    let from = self.rng.random_range(0..count);
                    let all = (0..count).map(|n| self.active[(from + n) % count]);
                    let fresh = |id: &EndpointId| !tried.iter().any(|t| t.0 == *id);
                    let mut best = all.filter(|id| self.load(now, *id) <= least);
                    let first = best.next();
                    first.filter(fresh).or_else(|| best.find(fresh)).or(first).unwrap_or(picked)
                }
                Which::TwoChoices | Which::PeakEwma => {
                    let one = self.active[self.rng.random_range(0..count)];
                    let other = self.active[self.rng.random_range(0..count)];
                    if self.load(now, other) < self.load(now, one) {
                        other
                    } else {
                        one
                    }
                }
                Which::Random | Which::Module => self.active[self.rng.random_range(0..count)],
            };
            if !tried.iter().any(|t| t.0 == picked) {
                break;
            }
        }
        Some(picked)
    }

    fn send(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(tried) = self.open.get(&id).map(|open| open.sent.clone()) else { return false };
        let Some(server) = self.pick(now, &tried) else { return false };
        let Some(open) = self.open.get_mut(&id) else { return false };
        // A try that may be repeated is given up at the aim: a silent host is worth another one then.
        let class = &self.settings.classes[open.class];
        let last = open.sent.len() as u32 + 1 >= self.settings.max_attempts;
        let safe = class.idempotency == Idempotency::Idempotent && !last;
        let until = if safe { open.end.min(now + class.latency_objective_ms) } else { open.end };
        open.sent.push((server, now, true));
        open.out += 1;
        self.hosts.entry(server).or_default().out += 1;
        actions.push(Action::Send { request: id, endpoint: server, give_up_at_ms: until });
        true
    }

    fn may_repeat(&self, now: f64, open: &Open) -> bool {
        let class = &self.settings.classes[open.class];
        match (class.idempotency, open.sent.iter().find(|s| s.2)) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            // All groups are the whole fleet in the laboratory.
            (Idempotency::IdempotentWithKey, Some(first)) => now < first.1 + class.deduplication_window_ms,
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    fn end(&mut self, id: RequestId, cause: RejectionReason, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else { return };
        let ran = open.sent.iter().any(|s| s.2);
        actions.push(if self.settings.classes[open.class].may_reject(ran) {
            Action::Reject { request: id, reason: cause, retry_after_ms: 0.0 }
        } else {
            Action::Fail { request: id }
        });
    }

    fn on_end(&mut self, now: f64, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let host = self.hosts.entry(end.endpoint).or_default();
        host.out = host.out.saturating_sub(1);
        if !matches!(end.outcome, Outcome::Cancelled | Outcome::NotSent) {
            // A failure counts as a latency of at least a second, lest the fastest to fail looks the best.
            let failed = if end.outcome == Outcome::Served { 0.0 } else { UNMEASURED_MS };
            host.observe(now, end.latency_ms.max(failed));
        }
        let Some(open) = self.open.get_mut(&end.request) else { return };
        open.out = open.out.saturating_sub(1);
        if let Some(sent) = open.sent.get_mut(end.attempt as usize) {
            sent.2 = !end.outcome.never_ran();
        }
        if end.request_complete {
            self.open.remove(&end.request);
            return;
        }
        if open.out > 0 {
            return;
        }
        let open = open.clone();
        let tries = (open.sent.len() as u32) < self.settings.max_attempts;
        let budget = self.budget.is_none() || self.repeats >= 1.0;
        if tries && budget && now + 2.0 * self.settings.tick_ms < open.end && self.may_repeat(now, &open) {
            self.repeats -= 1.0;
            if self.send(now, end.request, actions) {
                return;
            }
        }
        self.end(end.request, RejectionReason::AttemptsFailed, actions);
    }

    fn on_list(
        &mut self, now: f64, kind: UpdateKind, members: Vec<ternstack_balancer::EndpointRecord>,
        actions: &mut Vec<Action>,
    ) {
        match kind {
            UpdateKind::WatchLost => {
                let at = now + ASK_AGAIN_MS * (1.0 + self.rng.random::<f64>());
                self.ask_at = Some(at);
                actions.push(Action::Timer { at_ms: at, token: 0 });
                return;
            }
            UpdateKind::Cached if self.settings.poll_discovery => actions.push(Action::WatchEndpoints),
            _ => {}
        }
        if kind != UpdateKind::Delta {
            self.listed.clear();
        }
        for member in members {
            if member.readiness == Readiness::Removed {
                self.listed.remove(&member.endpoint);
                self.hosts.remove(&member.endpoint);
            } else {
                self.listed.insert(member.endpoint, member.readiness);
            }
        }
        let active = self.listed.iter().filter(|l| *l.1 == Readiness::Active);
        self.active = active.map(|l| *l.0).collect();
    }
}

impl Policy for Rival {
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate { kind, endpoints: members } => self.on_list(now, kind, members, actions),
            Event::Request(arrival) => {
                let end = now + arrival.client_timeout_ms - 1.5 * self.settings.tick_ms;
                let open = Open { class: arrival.class, end, sent: Vec::new(), out: 0 };
                self.open.insert(arrival.request, open);
                self.repeats = (self.repeats + self.budget.unwrap_or(0.0)).min(10.0 * BUDGET_BURST);
                if !self.send(now, arrival.request, actions) {
                    self.end(arrival.request, RejectionReason::NoCapacity, actions);
                }
            }
            Event::AttemptEnd(end) => self.on_end(now, &end, actions),
            Event::ClientDisconnected { request } => {
                self.open.remove(&request);
            }
            Event::Timer { .. } => {
                if self.ask_at.take_if(|at| *at <= now + 1.0).is_some() {
                    actions.push(Action::WatchEndpoints);
                }
            }
            Event::ResponseStarted { .. } | Event::HealthCheckEnd { .. } => {}
        }
    }
}
