//! Baseline policies, for comparison in the simulator only: uniform random, round robin, least outstanding,
//! power of two choices, and peak EWMA as in Finagle and linkerd; each with or without a retry budget. They
//! keep the rules on repeats and drains, reject a request only if no host is available or its attempts
//! failed, and ignore quotas, load reports and slow start.
use super::{Policy, PolicyKind};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use ternstack_balancer::{
    Action, AttemptEnd, EndpointId, Event, Idempotency, Outcome, Readiness, RejectionReason, RequestId,
    Settings, UpdateKind,
};

/// Time constant of the peak EWMA, in ms.
const EWMA_DECAY_MS: f64 = 10_000.0;
/// Latency assumed for a host without measurements that has outstanding attempts, and minimum latency
/// recorded for a failure, in ms.
const UNMEASURED_LATENCY_MS: f64 = 1000.0;
/// Retries that a new budget permits before the first attempts add to it.
const INITIAL_RETRY_BUDGET: f64 = 10.0;
/// Shortest pause before a lost watch is established again, in ms.
const REWATCH_DELAY_MS: f64 = 500.0;

#[derive(Clone, Copy, Debug, Default)]
struct HostStats {
    outstanding: u32,
    latency_ms: f64,
    updated_at_ms: f64,
}

impl HostStats {
    /// Adds a latency: a peak replaces the average at once, a lower value decays into it.
    fn observe(&mut self, now_ms: f64, latency: f64) {
        let kept = (-(now_ms - self.updated_at_ms) / EWMA_DECAY_MS).exp();
        self.latency_ms =
            if latency > self.latency_ms { latency } else { self.latency_ms * kept + latency * (1.0 - kept) };
        self.updated_at_ms = now_ms;
    }

    /// Returns the expected latency times the outstanding attempts, including the one to be sent.
    fn load(&self, now_ms: f64) -> f64 {
        let latency_ms = self.latency_ms * (-(now_ms - self.updated_at_ms) / EWMA_DECAY_MS).exp();
        let latency_ms =
            if latency_ms == 0.0 && self.outstanding > 0 { UNMEASURED_LATENCY_MS } else { latency_ms };
        latency_ms * f64::from(self.outstanding + 1)
    }
}

#[derive(Clone, Debug)]
struct OpenRequest {
    class: usize,
    deadline_ms: f64,
    /// Endpoint, time and whether the attempt may have run.
    attempts: Vec<(EndpointId, f64, bool)>,
    outstanding: u32,
}

/// State of a baseline policy at one gateway.
#[derive(Debug)]
pub struct Baseline {
    kind: PolicyKind,
    settings: Settings,
    rng: Pcg64Mcg,
    budget: Option<f64>,
    retry_tokens: f64,
    listed: BTreeMap<EndpointId, Readiness>,
    active: Vec<EndpointId>,
    hosts: HashMap<EndpointId, HostStats>,
    open_requests: HashMap<RequestId, OpenRequest>,
    next_turn: usize,
    rewatch_at_ms: Option<f64>,
}

impl Baseline {
    /// Creates a policy that knows no endpoints.
    pub fn new(kind: PolicyKind, settings: Settings, seed: u64, budget: Option<f64>) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        Baseline {
            kind,
            settings,
            budget,
            retry_tokens: INITIAL_RETRY_BUDGET,
            listed: BTreeMap::new(),
            active: Vec::new(),
            hosts: HashMap::new(),
            open_requests: HashMap::new(),
            next_turn: rng.random_range(0..1 << 20),
            rng,
            rewatch_at_ms: None,
        }
    }

    fn load(&self, now_ms: f64, id: EndpointId) -> f64 {
        let stats = self.hosts.get(&id).copied().unwrap_or_default();
        if self.kind == PolicyKind::PeakEwma {
            stats.load(now_ms)
        } else {
            f64::from(stats.outstanding)
        }
    }

    /// Selects a host for a request, and avoids the hosts already tried while there are others.
    fn pick(&mut self, now_ms: f64, tried: &[(EndpointId, f64, bool)]) -> Option<EndpointId> {
        let count = self.active.len();
        if count == 0 {
            return None;
        }
        let mut picked = self.active[0];
        for _ in 0..3 {
            picked = match self.kind {
                PolicyKind::RoundRobin => {
                    self.next_turn += 1;
                    self.active[self.next_turn % count]
                }
                PolicyKind::LeastOutstanding => {
                    let least =
                        self.active.iter().map(|id| self.load(now_ms, *id)).fold(f64::INFINITY, f64::min);
                    let from = self.rng.random_range(0..count);
                    let all = (0..count).map(|n| self.active[(from + n) % count]);
                    let fresh = |id: &EndpointId| !tried.iter().any(|t| t.0 == *id);
                    let mut best = all.filter(|id| self.load(now_ms, *id) <= least);
                    let first = best.next();
                    first.filter(fresh).or_else(|| best.find(fresh)).or(first).unwrap_or(picked)
                }
                PolicyKind::TwoChoices | PolicyKind::PeakEwma => {
                    let one = self.active[self.rng.random_range(0..count)];
                    let other = self.active[self.rng.random_range(0..count)];
                    if self.load(now_ms, other) < self.load(now_ms, one) {
                        other
                    } else {
                        one
                    }
                }
                PolicyKind::Random | PolicyKind::Module => self.active[self.rng.random_range(0..count)],
            };
            if !tried.iter().any(|t| t.0 == picked) {
                break;
            }
        }
        Some(picked)
    }

    fn send(&mut self, now_ms: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(tried) = self.open_requests.get(&id).map(|request| request.attempts.clone()) else {
            return false;
        };
        let Some(endpoint) = self.pick(now_ms, &tried) else { return false };
        let Some(request) = self.open_requests.get_mut(&id) else { return false };
        // An idempotent attempt is given up at the latency objective, because another host may answer in time
        // if this one is unresponsive.
        let class = &self.settings.classes[request.class];
        let last = request.attempts.len() as u32 + 1 >= self.settings.max_attempts;
        let idempotent = class.idempotency == Idempotency::Idempotent && !last;
        let give_up_at_ms = if idempotent {
            request.deadline_ms.min(now_ms + class.latency_objective_ms)
        } else {
            request.deadline_ms
        };
        request.attempts.push((endpoint, now_ms, true));
        request.outstanding += 1;
        self.hosts.entry(endpoint).or_default().outstanding += 1;
        actions.push(Action::Send { request: id, endpoint, give_up_at_ms });
        true
    }

    fn may_retry(&self, now_ms: f64, request: &OpenRequest) -> bool {
        let class = &self.settings.classes[request.class];
        match (class.idempotency, request.attempts.iter().find(|s| s.2)) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            // Every deduplication scope covers the whole fleet in the simulator.
            (Idempotency::IdempotentWithKey, Some(first)) => now_ms < first.1 + class.deduplication_window_ms,
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    fn reject_or_fail(&mut self, id: RequestId, reason: RejectionReason, actions: &mut Vec<Action>) {
        let Some(request) = self.open_requests.remove(&id) else { return };
        let ran = request.attempts.iter().any(|s| s.2);
        actions.push(if self.settings.classes[request.class].may_reject(ran) {
            Action::Reject { request: id, reason, retry_after_ms: 0.0 }
        } else {
            Action::Fail { request: id }
        });
    }

    fn on_attempt_end(&mut self, now_ms: f64, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let stats = self.hosts.entry(end.endpoint).or_default();
        stats.outstanding = stats.outstanding.saturating_sub(1);
        if !matches!(end.outcome, Outcome::Cancelled | Outcome::NotSent) {
            // A failure counts as a latency of at least a second, so that a host that fails quickly does not
            // look best.
            let failed = if end.outcome == Outcome::Served { 0.0 } else { UNMEASURED_LATENCY_MS };
            stats.observe(now_ms, end.latency_ms.max(failed));
        }
        let Some(request) = self.open_requests.get_mut(&end.request) else { return };
        request.outstanding = request.outstanding.saturating_sub(1);
        if let Some(sent) = request.attempts.get_mut(end.attempt as usize) {
            sent.2 = !end.outcome.never_ran();
        }
        if end.request_complete {
            self.open_requests.remove(&end.request);
            return;
        }
        if request.outstanding > 0 {
            return;
        }
        let request = request.clone();
        let attempts_left = (request.attempts.len() as u32) < self.settings.max_attempts;
        let budget_left = self.budget.is_none() || self.retry_tokens >= 1.0;
        if attempts_left
            && budget_left
            && now_ms + 2.0 * self.settings.tick_ms < request.deadline_ms
            && self.may_retry(now_ms, &request)
        {
            self.retry_tokens -= 1.0;
            if self.send(now_ms, end.request, actions) {
                return;
            }
        }
        self.reject_or_fail(end.request, RejectionReason::AttemptsFailed, actions);
    }

    fn on_endpoint_update(
        &mut self, now_ms: f64, kind: UpdateKind, records: Vec<ternstack_balancer::EndpointRecord>,
        actions: &mut Vec<Action>,
    ) {
        match kind {
            UpdateKind::WatchLost => {
                let at = now_ms + REWATCH_DELAY_MS * (1.0 + self.rng.random::<f64>());
                self.rewatch_at_ms = Some(at);
                actions.push(Action::Timer { at_ms: at, token: 0 });
                return;
            }
            UpdateKind::Cached if self.settings.poll_discovery => actions.push(Action::WatchEndpoints),
            _ => {}
        }
        if kind != UpdateKind::Delta {
            self.listed.clear();
        }
        for record in records {
            if record.readiness == Readiness::Removed {
                self.listed.remove(&record.endpoint);
                self.hosts.remove(&record.endpoint);
            } else {
                self.listed.insert(record.endpoint, record.readiness);
            }
        }
        let active = self.listed.iter().filter(|l| *l.1 == Readiness::Active);
        self.active = active.map(|l| *l.0).collect();
    }
}

impl Policy for Baseline {
    fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate { kind, endpoints: records } => {
                self.on_endpoint_update(now_ms, kind, records, actions)
            }
            Event::Request(arrival) => {
                let deadline_ms = now_ms + arrival.client_timeout_ms - 1.5 * self.settings.tick_ms;
                let request =
                    OpenRequest { class: arrival.class, deadline_ms, attempts: Vec::new(), outstanding: 0 };
                self.open_requests.insert(arrival.request, request);
                self.retry_tokens =
                    (self.retry_tokens + self.budget.unwrap_or(0.0)).min(10.0 * INITIAL_RETRY_BUDGET);
                if !self.send(now_ms, arrival.request, actions) {
                    self.reject_or_fail(arrival.request, RejectionReason::NoCapacity, actions);
                }
            }
            Event::AttemptEnd(end) => self.on_attempt_end(now_ms, &end, actions),
            Event::ClientDisconnected { request } => {
                self.open_requests.remove(&request);
            }
            Event::Timer { .. } => {
                if self.rewatch_at_ms.take_if(|at| *at <= now_ms + 1.0).is_some() {
                    actions.push(Action::WatchEndpoints);
                }
            }
            Event::ResponseStarted { .. } | Event::HealthCheckEnd { .. } | Event::Discovery(_) => {}
        }
    }
}
