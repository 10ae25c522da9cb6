//! The virtual clock and the event queue of a run with many independent gateways.
//!
//! Events of the same instant are handled in the order of `Event::rank`, then in the order in which they
//! were scheduled: first changes of the world, then hosts complete and accept attempts, then gateways receive
//! their events (outcomes before endpoint updates, endpoint updates before requests, requests before timers),
//! then clients.
use crate::disturbance::{Disturbance, Plan, WorldChange};
use crate::judge::{Findings, Judge, SentAttempt};
use crate::policy::Policy;
use crate::world::clients::{next_try_at, try_timeout, Arrivals, Message, TryOutcome};
use crate::world::discovery::{Delivery, Discovery, Entry, State};
use crate::world::draw::{spread, stream, Purpose};
use crate::world::front::Front;
use crate::world::hosts::{Completion, Host, HostAttempt, HostLoad, HostStatus, OfferResult};
use crate::world::network::Network;
use crate::world::spec::{Effect, World};
use crate::world::{ms, us, Us};
use rand::RngExt;
use slotmap::{new_key_type, Key, KeyData, SlotMap};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use ternstack_balancer::{
    Action, Arrival, AttemptEnd, DeduplicationScope, EndpointId, EndpointRecord, Event as PolicyEvent,
    LoadReport, LoadReportDelivery, Outcome, Readiness, RequestId, Settings, Tenant, UpdateKind,
};

/// Reading of every gateway's clock at the start of a run, in ms. Far from 0 so that no gateway sees a time
/// near 0.
const GATEWAY_CLOCK_START_MS: f64 = 3_600_000.0;
/// Interval, in microseconds, at which the time series is sampled and expired idle connections are closed.
const SAMPLE_INTERVAL_US: Us = 250_000;

new_key_type! {
    /// A message whose client still waits, or of which a gateway still holds a try.
    struct MessageKey;
    /// One try of a message.
    struct TryKey;
    /// One attempt of a try.
    struct AttemptKey;
}

/// Creates the policy of a gateway from the gateway's settings and seed.
pub type PolicyFactory<'a> = dyn Fn(Settings, u64) -> Result<Box<dyn Policy>, String> + 'a;

/// Parameters of a run.
pub struct Setup<'a> {
    /// World to simulate.
    pub world: &'a World,
    /// Disturbances during the run.
    pub disturbances: &'a [Disturbance],
    /// Seed of every random stream of the run.
    pub seed: u64,
    /// Length of the warm-up; messages that begin earlier are left out of the service figures.
    pub warm_up: Us,
    /// Time at which arrivals end.
    pub length: Us,
    /// Creates the policy of each gateway.
    pub make_policy: &'a PolicyFactory<'a>,
    /// Message or host to trace, if any.
    pub trace_target: Option<TraceTarget>,
}

/// Subject of a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceTarget {
    /// A message, by number.
    Message(u64),
    /// A host, by number.
    Host(u32),
}

/// Outcome of a run.
#[derive(Debug)]
pub struct RunOutcome {
    /// Findings of the judge.
    pub findings: Findings,
    /// Lines of the requested trace.
    pub trace: Vec<String>,
    /// Number of events handled, and number of those passed to policies.
    pub events: (u64, u64),
    /// Highest numbers of messages, tries and attempts in flight at a sample.
    pub peak_in_flight: [usize; 3],
    /// Messages, tries and attempts still in flight at the end of the run.
    pub remaining_in_flight: [usize; 3],
}

enum Event {
    WorldChange(WorldChange),
    /// A host has internal work due, such as a completion or a load report.
    HostDue(u32),
    /// Discovery observes the current state of a host.
    DiscoveryObserves(u32),
    DiscoveryPublishes,
    /// The drain period of a host has ended.
    DrainEnded(u32),
    AttemptAtHost(AttemptKey),
    /// An outcome reaches the gateway.
    AttemptOutcome(AttemptKey, Outcome, Option<HostLoad>),
    DiscoveryDelivery(Delivery, u32),
    /// A try reaches the gateway.
    TryAtGateway(TryKey),
    /// The gateway learns that the client has disconnected; `true` if the client's timeout expired.
    ClientDisconnected(TryKey, bool),
    GatewayTimer(u32, u32, u64),
    /// A response reaches the client.
    ResponseAtClient(TryKey, TryOutcome),
    /// The client stops waiting.
    ClientTimeout(TryKey),
    TryBegins(MessageKey),
    MessageArrives(Box<Message>),
    FrontEndNotices(u32, u32),
    Sample,
}

impl Event {
    fn rank(&self) -> u8 {
        match self {
            Event::WorldChange(_) | Event::DrainEnded(_) => 0,
            Event::HostDue(_) => 1,
            Event::AttemptAtHost(_) => 2,
            Event::DiscoveryObserves(_) | Event::DiscoveryPublishes => 3,
            Event::AttemptOutcome(..) => 4,
            Event::DiscoveryDelivery(..) => 5,
            Event::TryAtGateway(_) => 6,
            Event::ClientDisconnected(..) => 7,
            Event::GatewayTimer(..) => 8,
            Event::ResponseAtClient(..) => 9,
            Event::ClientTimeout(_) => 10,
            Event::FrontEndNotices(..) => 11,
            Event::TryBegins(_) => 12,
            Event::MessageArrives(_) => 13,
            Event::Sample => 14,
        }
    }
}

struct ScheduledEvent {
    at: Us,
    rank: u8,
    order: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.rank, self.order).cmp(&(other.at, other.rank, other.order))
    }
}

/// State of a message in flight: the client still waits, or gateways still hold tries of the message.
struct MessageState {
    message: Message,
    tries: u32,
    /// The client has its final result or sends no further try.
    finished: bool,
    /// Tries of the message that have not been removed yet.
    open_tries: u32,
}

struct Try {
    message: MessageKey,
    gateway: u32,
    incarnation: u32,
    /// End of the client's timeout.
    deadline: Us,
    /// The client no longer waits for the try.
    client_done: bool,
    /// The try has reached the gateway.
    reached_gateway: bool,
    /// The gateway has ended the try, or has learned that the client disconnected.
    ended: bool,
    sent: Vec<SentAttempt>,
    attempts: Vec<AttemptKey>,
    outstanding: u32,
}

struct Attempt {
    try_key: TryKey,
    number: u32,
    host: u32,
    gateway: u32,
    incarnation: u32,
    sent_at: Us,
    give_up_at: Us,
    /// The gateway has not yet received the outcome.
    awaited: bool,
    /// The attempt is on its way to the host, or at the host.
    at_host: bool,
    /// The response of the attempt was sent to the client.
    used: bool,
    /// The attempt occupies a connection.
    connected: bool,
    /// The connection was opened for the attempt.
    new_connection: bool,
    message: u64,
    class: usize,
    key: u32,
    work: f64,
    wait: Us,
}

struct GatewaySlot {
    /// `None` while the gateway is down.
    policy: Option<Box<dyn Policy>>,
    zone: u32,
    incarnation: u32,
    /// Per host, the times at which connections to the host became idle, the latest last.
    idle: Vec<VecDeque<Us>>,
}

/// A run in progress.
struct Run<'a> {
    setup: &'a Setup<'a>,
    world: &'a World,
    now: Us,
    event_queue: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled: u64,
    events_handled: (u64, u64),
    peak_in_flight: [usize; 3],
    hosts: Vec<Host>,
    /// Per host, the time of the scheduled [`Event::HostDue`]; `Us::MAX` for none.
    host_due_at: Vec<Us>,
    /// Per host, whether the host has been removed by a replacement.
    removed: Vec<bool>,
    draining: Vec<bool>,
    /// Number of the oldest host that has not been replaced.
    next_to_replace: usize,
    gateways: Vec<GatewaySlot>,
    front: Front,
    network: Network,
    discovery: Discovery,
    arrivals: Arrivals,
    clients: crate::world::spec::Clients,
    default_clients: crate::world::spec::Clients,
    messages: SlotMap<MessageKey, MessageState>,
    tries: SlotMap<TryKey, Try>,
    attempts: SlotMap<AttemptKey, Attempt>,
    judge: Judge,
    settings: Settings,
    trace: Vec<String>,
    busy_at_last_sample: Vec<f64>,
    completions: Vec<Completion>,
    actions: Vec<Action>,
}

/// Returns the zone of the `n`th of `count` hosts, which are distributed over the zones in turn; `first` is
/// the share of the first zone, if it differs.
fn zone_of(n: u32, count: u32, zones: u32, first: Option<f64>) -> u32 {
    match first {
        Some(share) if zones > 1 => {
            let in_first = (f64::from(count) * share).round() as u32;
            if n < in_first {
                0
            } else {
                1 + (n - in_first) % (zones - 1)
            }
        }
        _ => n % zones,
    }
}

/// Number of hosts in a cell.
const HOSTS_PER_CELL: u32 = 6;

fn new_host(world: &World, seed: u64, number: u32, now: Us) -> Host {
    // Kinds are assigned by a low-discrepancy sequence over their shares, so that the fleet's capacity varies
    // little between seeds.
    let sum: f64 = world.kinds.iter().map(|k| k.part).sum();
    let mut at = (f64::from(number) * 0.618_033_988_749_894_9).fract() * sum;
    let kind = world.kinds.iter().position(|k| {
        at -= k.part;
        at < 0.0
    });
    let kind = kind.unwrap_or(world.kinds.len() - 1);
    let zone = zone_of(number % world.hosts, world.hosts, world.zones.len() as u32, world.first_zone_hosts);
    let mut host = Host::new(kind, &world.kinds[kind], seed, number, (zone, number / HOSTS_PER_CELL), now);
    let noise = world.gateway.size_noise;
    host.listed_weight = if noise < 0.0 {
        1.0
    } else {
        host.listed_weight * spread(noise, &mut stream(seed, Purpose::Fleet, u64::from(number)))
    };
    host
}

/// Returns the mean work of a message on a standard core, in seconds, without the savings of warm host
/// caches.
fn mean_work(world: &World) -> f64 {
    let parts: f64 = world.classes.iter().map(|c| c.part).sum();
    world.classes.iter().map(|c| c.part * c.work_ms).sum::<f64>() / parts / 1000.0
}

fn settings(world: &World, quotas: &[f64]) -> Settings {
    let class = |c: &crate::world::spec::Class| ternstack_balancer::RequestClass {
        name: c.name.clone(),
        latency_objective_ms: c.aim_ms,
        deadline_ms: c.deadline_ms,
        late_value_ratio: c.late_worth,
        idempotency: match c.effect {
            Effect::Safe => ternstack_balancer::Idempotency::Idempotent,
            Effect::Keyed => ternstack_balancer::Idempotency::IdempotentWithKey,
            Effect::Unsafe => ternstack_balancer::Idempotency::NonIdempotent,
        },
        deduplication_scope: DeduplicationScope::All,
        deduplication_window_ms: c.window_ms,
    };
    let name = |n: usize| world.tenants.get(n).map_or_else(|| format!("tenant-{n}"), |t| t.name.clone());
    let tenants = quotas.iter().enumerate().map(|(n, q)| Tenant { name: name(n), quota_per_s: *q });
    let idle = world.kinds.iter().map(|k| k.connections.idle_ms).fold(f64::INFINITY, f64::min);
    let overload_multiples =
        world.kinds.iter().map(|k| k.cold.fall_multiple).filter(|message_number| *message_number > 0.0);
    Settings {
        classes: world.classes.iter().map(class).collect(),
        tenants: tenants.collect(),
        gateway_count: world.gateways,
        gateway_index: 0,
        zone: 0,
        tick_ms: world.gateway.tick_ms,
        weights_reflect_load: false,
        cross_zone_cost_ratio: 0.01,
        connection_idle_timeout_ms: idle,
        load_report_delivery: if world.kinds.iter().any(|k| k.report.on) {
            LoadReportDelivery::Inline
        } else {
            LoadReportDelivery::Off
        },
        poll_discovery: world.discovery.ask,
        max_attempts: world.gateway.max_attempts,
        health_checks_allowed: false,
        cancellation_allowed: world.gateway.may_cancel,
        max_retry_after_ms: world.clients.heed_most_ms,
        max_discovery_age_ms: world.gateway.ask_within_ms,
        // A drain counts from the event that reports it.
        drain_grace_ms: None,
        slow_start_min_ratio: world.kinds.iter().map(|k| k.cold.share.bounds().0).fold(1.0, f64::min),
        slow_start_ms: world.kinds.iter().map(|k| k.cold.warm_ms.bounds().1).fold(0.0, f64::max),
        slow_start_overload_multiple: overload_multiples.fold(f64::INFINITY, f64::min).min(1000.0),
        removal_is_advisory: false,
        availability_weight: 0.0,
        availability_target_nines: None,
    }
}

/// Simulates a run from the start until every message has ended.
///
/// # Errors
///
/// Fails if the arrivals or the policy of a gateway cannot be created.
pub fn simulate(setup: &Setup) -> Result<RunOutcome, String> {
    let mut run = Run::new(setup)?;
    run.start()?;
    let deadline = setup.world.classes.iter().map(|c| us(c.deadline_ms)).max().unwrap_or(0);
    let last = setup.length + deadline + us(1000.0);
    while let Some(Reverse(next)) = run.event_queue.pop() {
        if next.at > last {
            break;
        }
        run.now = next.at;
        run.events_handled.0 += 1;
        run.handle_event(next.event)?;
    }
    let remaining_in_flight = run.in_flight();
    let Run { judge, trace, events_handled, peak_in_flight, .. } = run;
    Ok(RunOutcome {
        findings: judge.findings(setup.disturbances),
        trace,
        events: events_handled,
        peak_in_flight,
        remaining_in_flight,
    })
}

impl<'a> Run<'a> {
    fn new(setup: &'a Setup<'a>) -> Result<Self, String> {
        let world = setup.world;
        let zones = world.zones.len() as u32;
        let hosts: Vec<Host> = (0..world.hosts).map(|n| new_host(world, setup.seed, n, 0)).collect();
        let capacity: f64 = hosts.iter().map(Host::capacity).sum();
        let capacity_per_s = capacity / mean_work(world);
        let per_s = world.rate_per_s.unwrap_or(world.load * capacity_per_s);
        let host_zones: Vec<u32> = hosts.iter().map(|h| h.zone).collect();
        let plan = Plan::new(setup.disturbances, world, &host_zones, setup.seed);
        let arrivals = Arrivals::new(world, per_s, capacity_per_s, plan.surges.clone(), setup.seed)?;
        let quotas = arrivals.quotas();
        let gateway_zones: Vec<u32> = (0..world.gateways).map(|n| n % zones).collect();
        let slot = |zone: &u32| GatewaySlot {
            policy: None,
            zone: *zone,
            incarnation: 0,
            idle: vec![VecDeque::new(); hosts.len()],
        };
        let mut run = Run {
            setup,
            world,
            now: 0,
            event_queue: BinaryHeap::new(),
            scheduled: 0,
            events_handled: (0, 0),
            peak_in_flight: [0; 3],
            host_due_at: vec![Us::MAX; hosts.len()],
            removed: vec![false; hosts.len()],
            draining: vec![false; hosts.len()],
            next_to_replace: 0,
            gateways: gateway_zones.iter().map(slot).collect(),
            front: Front::new(gateway_zones),
            network: Network::new(world.network, setup.seed),
            discovery: Discovery::new(world.discovery, Vec::new(), 0, setup.seed),
            arrivals,
            clients: world.clients,
            default_clients: world.clients,
            messages: SlotMap::with_key(),
            tries: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            judge: Judge::new(world, capacity, setup.warm_up, setup.length),
            settings: settings(world, &quotas),
            trace: Vec::new(),
            busy_at_last_sample: vec![0.0; hosts.len()],
            completions: Vec::new(),
            actions: Vec::new(),
            hosts,
        };
        let entries = (0..run.hosts.len() as u32).map(|n| run.discovery_entry(n)).collect();
        run.discovery = Discovery::new(world.discovery, entries, run.gateways.len(), setup.seed);
        for (at, change) in plan.changes {
            run.schedule(at, Event::WorldChange(change));
        }
        Ok(run)
    }

    fn schedule(&mut self, at: Us, event: Event) {
        self.scheduled += 1;
        let at = at.max(self.now);
        self.event_queue.push(Reverse(ScheduledEvent {
            at,
            rank: event.rank(),
            order: self.scheduled,
            event,
        }));
    }

    fn start(&mut self) -> Result<(), String> {
        for host in 0..self.hosts.len() as u32 {
            self.schedule_host(host);
        }
        for gateway in 0..self.gateways.len() as u32 {
            self.start_gateway(gateway)?;
        }
        self.schedule(us(self.world.discovery.period_ms), Event::DiscoveryPublishes);
        self.schedule(SAMPLE_INTERVAL_US, Event::Sample);
        self.next_arrival();
        Ok(())
    }

    fn next_arrival(&mut self) {
        if let Some(message) = self.arrivals.next(self.setup.length) {
            self.schedule(message.at, Event::MessageArrives(Box::new(message)));
        }
    }

    fn trace_if(&mut self, subject: TraceTarget, line: impl FnOnce() -> String) {
        if self.setup.trace_target == Some(subject) {
            let line = line();
            self.trace.push(format!("{:>12.3} ms  {line}", ms(self.now)));
        }
    }

    fn trace_attempt(&mut self, message: u64, host: u32, line: impl Fn() -> String) {
        self.trace_if(TraceTarget::Message(message), &line);
        self.trace_if(TraceTarget::Host(host), || format!("message {message}: {}", line()));
    }

    fn handle_event(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::WorldChange(change) => self.apply_change(change)?,
            Event::HostDue(host) => self.on_host_due(host),
            Event::DiscoveryObserves(host) => {
                let entry = self.discovery_entry(host);
                self.discovery.observe(self.now, entry);
            }
            Event::DiscoveryPublishes => {
                let mut out = Vec::new();
                self.discovery.publish(self.now, &mut out);
                self.schedule_deliveries(out);
                let next = self.now + us(self.world.discovery.period_ms);
                self.schedule(next, Event::DiscoveryPublishes);
            }
            Event::DrainEnded(host) => self.remove_host(host),
            Event::AttemptAtHost(attempt) => self.on_attempt_at_host(attempt),
            Event::AttemptOutcome(attempt, outcome, load) => self.on_attempt_outcome(attempt, outcome, load),
            Event::DiscoveryDelivery(delivery, incarnation) => {
                self.on_discovery_delivery(&delivery, incarnation)
            }
            Event::TryAtGateway(key) => self.on_try_at_gateway(key),
            Event::ClientDisconnected(key, timed_out) => self.on_client_disconnected(key, timed_out),
            Event::GatewayTimer(gateway, incarnation, token) => {
                if self.gateways[gateway as usize].incarnation == incarnation {
                    self.deliver_event(gateway, PolicyEvent::Timer { token });
                }
            }
            Event::ResponseAtClient(key, outcome) => self.on_response(key, outcome),
            Event::ClientTimeout(key) => self.on_client_timeout(key),
            Event::TryBegins(key) => self.begin_try(key),
            Event::MessageArrives(message) => {
                self.next_arrival();
                self.judge.message_began(&message);
                let state = MessageState { message: *message, tries: 0, finished: false, open_tries: 0 };
                let key = self.messages.insert(state);
                self.begin_try(key);
            }
            Event::FrontEndNotices(gateway, incarnation) => {
                let slot = &self.gateways[gateway as usize];
                if slot.incarnation == incarnation && slot.policy.is_none() {
                    self.front.set_alive(gateway as usize, false);
                }
            }
            Event::Sample => self.sample_series(),
        }
        Ok(())
    }

    // ---- clients ----

    /// Begins a try of a client.
    fn begin_try(&mut self, key: MessageKey) {
        let Some(state) = self.messages.get_mut(key) else { return };
        let class = &self.world.classes[state.message.class];
        let timeout = try_timeout(&self.clients, class, &state.message, self.now, state.tries);
        let deadline = self.now + timeout;
        let gives_up_at = deadline.min(state.message.disconnects_at.max(self.now));
        state.tries += 1;
        state.open_tries += 1;
        let draw: f64 = state.message.rng.random();
        let (zone, number, tries) = (state.message.zone, state.message.number, state.tries);
        self.judge.bin(self.now).tries += 1;
        let picked = self.front.pick(zone, draw);
        let gateway = picked.unwrap_or(0);
        let slot = &self.gateways[gateway];
        let (incarnation, alive) = (slot.incarnation, picked.is_some() && slot.policy.is_some());
        let new = Try {
            message: key,
            gateway: gateway as u32,
            incarnation,
            deadline,
            client_done: false,
            reached_gateway: false,
            ended: !alive,
            sent: Vec::new(),
            attempts: Vec::new(),
            outstanding: 0,
        };
        let try_key = self.tries.insert(new);
        let latency = self.network.to_client();
        if alive {
            self.trace_if(TraceTarget::Message(number), || {
                format!("try {tries} to gateway {gateway}, client timeout {:.0} ms", ms(timeout))
            });
            self.schedule(self.now + latency, Event::TryAtGateway(try_key));
        } else {
            self.trace_if(TraceTarget::Message(number), || format!("try {tries} found no gateway"));
            self.judge.bin(self.now).failed += 1;
            self.schedule(self.now + 2 * latency, Event::ResponseAtClient(try_key, TryOutcome::Unreachable));
        }
        self.schedule(gives_up_at, Event::ClientTimeout(try_key));
    }

    fn on_response(&mut self, key: TryKey, outcome: TryOutcome) {
        let Some(t) = self.tries.get_mut(key).filter(|t| !t.client_done) else { return };
        t.client_done = true;
        let message = t.message;
        if let Some(state) = self.messages.get_mut(message) {
            let number = state.message.number;
            if outcome == TryOutcome::Served && !state.finished {
                state.finished = true;
                let served = state.message.clone();
                self.judge.message_served(self.now, &served);
            }
            self.trace_if(TraceTarget::Message(number), || format!("the client receives {outcome:?}"));
        }
        self.retry_or_finish(message, outcome);
        self.remove_finished_try(key);
    }

    fn on_client_timeout(&mut self, key: TryKey) {
        let Some(t) = self.tries.get_mut(key).filter(|t| !t.client_done) else { return };
        t.client_done = true;
        let (message, deadline) = (t.message, t.deadline);
        let timed_out = self.now >= deadline;
        if !t.ended {
            let slack = us(self.world.gateway.slack_ms);
            let latency = self.network.to_client();
            let at = self.now + if timed_out { slack.max(latency) } else { latency };
            self.schedule(at, Event::ClientDisconnected(key, timed_out));
        }
        self.judge.bin(self.now).timed_out += 1;
        if let Some(state) = self.messages.get(message) {
            let number = state.message.number;
            self.trace_if(TraceTarget::Message(number), || "the client gives up the try".into());
        }
        self.retry_or_finish(message, TryOutcome::TimedOut);
        self.remove_finished_try(key);
    }

    fn retry_or_finish(&mut self, key: MessageKey, outcome: TryOutcome) {
        let Some(state) = self.messages.get_mut(key) else { return };
        if state.finished {
            return;
        }
        let class = &self.world.classes[state.message.class];
        let next = next_try_at(&self.clients, class, &mut state.message, self.now, state.tries, outcome);
        match next {
            Some(at) => self.schedule(at, Event::TryBegins(key)),
            None => state.finished = true,
        }
    }

    /// Removes a try once its client, its gateway and all hosts are done with it, and the message together
    /// with its last try.
    fn remove_finished_try(&mut self, key: TryKey) {
        let Some(t) = self.tries.get(key) else { return };
        if !t.client_done || !t.ended || t.outstanding > 0 {
            return;
        }
        let message = t.message;
        self.tries.remove(key);
        if let Some(state) = self.messages.get_mut(message) {
            state.open_tries -= 1;
            if state.finished && state.open_tries == 0 {
                self.messages.remove(message);
            }
        }
    }

    // ---- gateways ----

    fn gateway_clock_ms(now: Us) -> f64 {
        GATEWAY_CLOCK_START_MS + ms(now)
    }

    /// Converts a reading of a gateway's clock to the time of the run.
    fn run_time_of(&self, at: f64) -> Us {
        us((at - GATEWAY_CLOCK_START_MS).min(1e12))
    }

    fn request_id(key: TryKey) -> RequestId {
        RequestId(key.data().as_ffi())
    }

    fn start_gateway(&mut self, gateway: u32) -> Result<(), String> {
        let incarnation = self.gateways[gateway as usize].incarnation;
        let stream_part = u64::from(gateway) << 16 | u64::from(incarnation & 0xffff);
        let seed: u64 = stream(self.setup.seed, Purpose::Gateway, stream_part).random();
        let zone = self.gateways[gateway as usize].zone;
        let settings = Settings { gateway_index: gateway, zone, ..self.settings.clone() };
        self.gateways[gateway as usize].policy = Some((self.setup.make_policy)(settings, seed)?);
        self.front.set_alive(gateway as usize, true);
        let entries = self.discovery.cached_list(self.now, gateway as usize);
        self.send_endpoint_update(gateway, UpdateKind::Cached, &entries);
        Ok(())
    }

    fn kill_gateway(&mut self, gateway: u32) {
        let slot = &mut self.gateways[gateway as usize];
        if slot.policy.take().is_none() {
            return;
        }
        slot.incarnation += 1;
        for (host, idle) in slot.idle.iter_mut().enumerate() {
            self.hosts[host].connections = self.hosts[host].connections.saturating_sub(idle.len() as u32);
            idle.clear();
        }
        let incarnation = self.gateways[gateway as usize].incarnation;
        self.judge.forget_gateway(gateway);
        let unfinished: Vec<TryKey> =
            self.tries.iter().filter(|(_, t)| t.gateway == gateway && !t.ended).map(|(k, _)| k).collect();
        for key in unfinished {
            if let Some(t) = self.tries.get_mut(key) {
                t.ended = true;
            }
            let latency = self.network.to_client();
            self.judge.bin(self.now).failed += 1;
            self.schedule(self.now + latency, Event::ResponseAtClient(key, TryOutcome::Failed));
            self.remove_finished_try(key);
        }
        let awaited: Vec<AttemptKey> =
            self.attempts.iter().filter(|(_, a)| a.gateway == gateway && a.awaited).map(|(k, _)| k).collect();
        for key in awaited {
            self.release_from_gateway(key, false);
        }
        let notice = self.now + us(self.world.front.notice_ms);
        self.schedule(notice, Event::FrontEndNotices(gateway, incarnation));
    }

    /// Passes an event to the policy of a gateway and performs the resulting actions, including the events
    /// that these cause immediately.
    fn deliver_event(&mut self, gateway: u32, event: PolicyEvent) {
        let now = Self::gateway_clock_ms(self.now);
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let Some(policy) = &mut self.gateways[gateway as usize].policy else { return };
            self.events_handled.1 += 1;
            policy.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform_action(gateway, action, &mut events);
            }
            self.actions = actions;
        }
    }

    fn perform_action(&mut self, gateway: u32, action: Action, events: &mut VecDeque<PolicyEvent>) {
        let incarnation = self.gateways[gateway as usize].incarnation;
        match action {
            Action::Send { request, endpoint, give_up_at_ms: give_up_at } => {
                let give_up_at = self.run_time_of(give_up_at);
                if let Some(end) = self.send_attempt(gateway, request, endpoint, give_up_at) {
                    events.push_back(end);
                }
            }
            Action::Cancel { request, attempt } => {
                let key = TryKey::from(KeyData::from_ffi(request.0));
                let attempt = self.tries.get(key).and_then(|t| t.attempts.get(attempt as usize).copied());
                if let Some(attempt) = attempt.filter(|_| self.world.gateway.may_cancel) {
                    self.schedule(self.now, Event::AttemptOutcome(attempt, Outcome::Cancelled, None));
                }
            }
            Action::Reject { request, reason, retry_after_ms } => {
                let retry_after = us(retry_after_ms);
                self.end_try(gateway, request, TryOutcome::Rejected { retry_after }, Some(reason));
            }
            Action::Fail { request } => self.end_try(gateway, request, TryOutcome::Failed, None),
            Action::Timer { at_ms: at, token } => {
                let at = self.run_time_of(at).max(self.now + 1);
                self.schedule(at, Event::GatewayTimer(gateway, incarnation, token));
            }
            Action::WatchEndpoints => {
                let delivery = self.discovery.call(self.now, gateway as usize);
                self.schedule_deliveries(vec![delivery]);
            }
            Action::HealthCheck { .. } => {}
            Action::Log(line) => tracing::debug!(gateway, at_ms = ms(self.now), "{line}"),
        }
    }

    /// Passes a try that has reached its gateway to the policy.
    fn on_try_at_gateway(&mut self, key: TryKey) {
        let Some(t) = self.tries.get_mut(key) else { return };
        if t.ended {
            return;
        }
        t.reached_gateway = true;
        let (gateway, client_timeout) = (t.gateway, t.deadline.saturating_sub(self.now));
        let Some(state) = self.messages.get(t.message) else { return };
        let arrival = Arrival {
            request: Self::request_id(key),
            class: state.message.class,
            tenant: Some(state.message.tenant),
            client_timeout_ms: ms(client_timeout),
        };
        self.deliver_event(gateway, PolicyEvent::Request(arrival));
    }

    /// Ends a try that the gateway rejects or fails.
    fn end_try(
        &mut self, gateway: u32, request: RequestId, outcome: TryOutcome,
        reason: Option<ternstack_balancer::RejectionReason>,
    ) {
        let key = TryKey::from(KeyData::from_ffi(request.0));
        let Some(t) = self.tries.get(key).filter(|t| t.gateway == gateway) else {
            return;
        };
        let Some(state) = self.messages.get(t.message) else { return };
        let (number, class) = (state.message.number, state.message.class);
        if t.ended {
            // The try may have ended in the same instant; a second final response is a violation only while
            // the client has not received the first.
            if !t.client_done {
                self.judge.after_end(self.now, gateway, number, "a second final response");
            }
            return;
        }
        if reason.is_some() {
            let sent = t.sent.clone();
            self.judge.check_rejection(self.now, gateway, number, class, &sent);
        }
        match reason {
            Some(reason) => self.judge.rejected(self.now, reason),
            None => self.judge.bin(self.now).failed += 1,
        }
        self.trace_if(TraceTarget::Message(number), || match reason {
            Some(reason) => format!("gateway {gateway} rejects the try: {reason:?}, {outcome:?}"),
            None => format!("gateway {gateway} fails the try"),
        });
        if let Some(t) = self.tries.get_mut(key) {
            t.ended = true;
        }
        let latency = self.network.to_client();
        self.schedule(self.now + latency, Event::ResponseAtClient(key, outcome));
    }

    /// Notifies a gateway that the client of a try has disconnected.
    fn on_client_disconnected(&mut self, key: TryKey, timed_out: bool) {
        let Some(t) = self.tries.get_mut(key).filter(|t| !t.ended) else { return };
        t.ended = true;
        let (gateway, message, reached_gateway) = (t.gateway, t.message, t.reached_gateway);
        if reached_gateway {
            if timed_out {
                let number = self.messages.get(message).map_or(0, |state| state.message.number);
                self.judge.unanswered(self.now, gateway, number);
            }
            self.deliver_event(gateway, PolicyEvent::ClientDisconnected { request: Self::request_id(key) });
        }
        self.remove_finished_try(key);
    }

    /// Sends an attempt. Returns its end if the attempt cannot be sent at all.
    fn send_attempt(
        &mut self, gateway: u32, request: RequestId, endpoint: EndpointId, give_up_at: Us,
    ) -> Option<PolicyEvent> {
        let key = TryKey::from(KeyData::from_ffi(request.0));
        let host = endpoint.0;
        let not_sent = |attempt| {
            Some(PolicyEvent::AttemptEnd(AttemptEnd {
                request,
                attempt,
                endpoint,
                outcome: Outcome::NotSent,
                latency_ms: 0.0,
                request_complete: true,
                report: LoadReport::default(),
            }))
        };
        let Some(t) = self.tries.get(key).filter(|t| t.gateway == gateway) else { return not_sent(0) };
        let Some(state) = self.messages.get_mut(t.message) else { return not_sent(0) };
        let message = &mut state.message;
        let number = t.attempts.len() as u32;
        if t.ended {
            if !t.client_done {
                self.judge.after_end(self.now, gateway, message.number, "an attempt");
            }
            return not_sent(number);
        }
        let noise = spread(self.world.classes[message.class].attempt_noise, &mut message.rng);
        let attempt = Attempt {
            try_key: key,
            number,
            host,
            gateway,
            incarnation: t.incarnation,
            sent_at: self.now,
            give_up_at: give_up_at.min(t.deadline).max(self.now),
            awaited: true,
            at_host: true,
            used: false,
            connected: false,
            new_connection: false,
            message: message.number,
            class: message.class,
            key: message.key,
            work: message.work * noise,
            wait: message.wait,
        };
        let give_up_at = attempt.give_up_at;
        let (message_number, class) = (message.number, message.class);
        let notified_by =
            self.discovery.presumed_notified_at(gateway as usize, host, us(self.world.gateway.ask_within_ms));
        self.judge.check_attempt(self.now, gateway, host, message_number, class, &t.sent, notified_by);
        self.trace_attempt(message_number, host, || {
            format!(
                "gateway {gateway} sends attempt {number} to host {host}, gives up at {:.1} ms",
                ms(give_up_at)
            )
        });
        let attempt = self.attempts.insert(attempt);
        if let Some(t) = self.tries.get_mut(key) {
            t.attempts.push(attempt);
            t.sent.push(SentAttempt { at: self.now, may_have_run: true });
            t.outstanding += 1;
        }
        if number >= self.world.gateway.max_attempts {
            self.schedule(self.now, Event::AttemptOutcome(attempt, Outcome::NotSent, None));
            self.release_from_host(attempt);
        } else {
            self.schedule(give_up_at, Event::AttemptOutcome(attempt, Outcome::ResponseTimeout, None));
            self.dispatch_attempt(attempt);
        }
        None
    }

    /// Assigns a connection to an attempt and schedules the arrival at the host.
    fn dispatch_attempt(&mut self, key: AttemptKey) {
        let Some(a) = self.attempts.get_mut(key) else { return };
        let (gateway, host) = (a.gateway as usize, a.host as usize);
        let zone = self.gateways[gateway].zone;
        let idle_for = us(self.world.kinds[self.hosts[host].kind].connections.idle_ms);
        let idle = &mut self.gateways[gateway].idle[host];
        let latency = self.network.between(zone, self.hosts[host].zone);
        if idle.pop_back().is_some_and(|since| since + idle_for > self.now) {
            a.connected = true;
            self.schedule(self.now + latency, Event::AttemptAtHost(key));
            return;
        }
        let status = self.hosts[host].status;
        let failed_at = match status {
            HostStatus::Silent => Some(self.now + us(self.world.gateway.dial_timeout_ms)),
            HostStatus::Dead | HostStatus::Fallen => Some(self.now + 2 * latency),
            HostStatus::Up => (!self.hosts[host].try_connect()).then_some(self.now + 2 * latency),
        };
        match failed_at {
            Some(at) => {
                self.schedule(at, Event::AttemptOutcome(key, Outcome::ConnectFailed, None));
                self.release_from_host(key);
            }
            None => {
                (a.connected, a.new_connection) = (true, true);
                let round_trips = self.world.kinds[self.hosts[host].kind].connections.round_trips;
                self.schedule(
                    self.now + latency * (1 + 2 * Us::from(round_trips)),
                    Event::AttemptAtHost(key),
                );
            }
        }
    }

    /// Records that the host is done with an attempt.
    fn release_from_host(&mut self, key: AttemptKey) {
        if let Some(a) = self.attempts.get_mut(key) {
            a.at_host = false;
            if !a.awaited {
                self.attempts.remove(key);
            }
        }
    }

    /// Records that the gateway no longer waits for an attempt, and returns the connection to the idle pool
    /// or closes it.
    fn release_from_gateway(&mut self, key: AttemptKey, reusable: bool) {
        let Some(a) = self.attempts.get_mut(key) else { return };
        a.awaited = false;
        let (try_key, at_host, host, gateway) = (a.try_key, a.at_host, a.host as usize, a.gateway as usize);
        if std::mem::take(&mut a.connected) {
            if reusable && self.hosts[host].status == HostStatus::Up {
                self.gateways[gateway].idle[host].push_back(self.now);
            } else {
                self.hosts[host].connections = self.hosts[host].connections.saturating_sub(1);
            }
        }
        if let Some(t) = self.tries.get_mut(try_key) {
            t.outstanding -= 1;
        }
        if !at_host {
            self.attempts.remove(key);
        }
        self.remove_finished_try(try_key);
    }

    /// Handles an outcome that reaches the gateway.
    fn on_attempt_outcome(&mut self, key: AttemptKey, outcome: Outcome, load: Option<HostLoad>) {
        let Some(a) = self.attempts.get(key) else { return };
        if !a.awaited || self.gateways[a.gateway as usize].incarnation != a.incarnation {
            return;
        }
        let (try_key, gateway, host, number, sent_at) = (a.try_key, a.gateway, a.host, a.number, a.sent_at);
        let (message, given_up) =
            (a.message, matches!(outcome, Outcome::ResponseTimeout | Outcome::Cancelled));
        let served = outcome == Outcome::Served;
        let mut complete = true;
        if let Some(t) = self.tries.get_mut(try_key) {
            if let Some(sent) = t.sent.get_mut(number as usize) {
                sent.may_have_run = Judge::may_have_run(outcome);
            }
            if served && !t.ended {
                t.ended = true;
                if let Some(a) = self.attempts.get_mut(key) {
                    a.used = true;
                }
                let latency = self.network.to_client();
                self.schedule(self.now + latency, Event::ResponseAtClient(try_key, TryOutcome::Served));
            }
            complete = self.tries.get(try_key).is_none_or(|t| t.ended);
        }
        let latency_ms = ms(self.now - sent_at);
        self.trace_attempt(message, host, || {
            format!("gateway {gateway} receives attempt {number}: {outcome:?} after {latency_ms:.1} ms")
        });
        if let Some(a) = self.attempts.get(key) {
            // Work is wasted if the host served the attempt but another response was sent to the client.
            if served && !a.used {
                let work = a.work / 1e6;
                self.judge.bin(self.now).wasted += work;
            }
        }
        if given_up && self.hosts[host as usize].cancel(key.data().as_ffi()) {
            self.release_from_host(key);
        }
        let reusable = !given_up && !matches!(outcome, Outcome::ConnectionLost | Outcome::NotSent);
        let report = load.map_or_else(LoadReport::default, |l| LoadReport {
            utilization: Some(l.utilization),
            throughput_per_s: Some(l.throughput),
            queue_length: l.queue_length,
        });
        // The attempt is released first, because the policy may end the try and send other attempts in the
        // same instant.
        self.release_from_gateway(key, reusable);
        self.deliver_event(
            gateway,
            PolicyEvent::AttemptEnd(AttemptEnd {
                request: Self::request_id(try_key),
                attempt: number,
                endpoint: EndpointId(host),
                outcome,
                latency_ms,
                request_complete: complete,
                report,
            }),
        );
        self.remove_finished_try(try_key);
    }

    // ---- hosts ----

    fn schedule_host(&mut self, host: u32) {
        let next = self.hosts[host as usize].next();
        if next < self.host_due_at[host as usize] || self.host_due_at[host as usize] <= self.now {
            self.host_due_at[host as usize] = next;
            if next != Us::MAX {
                self.schedule(next.max(self.now), Event::HostDue(host));
            }
        }
    }

    fn on_host_due(&mut self, host: u32) {
        if self.host_due_at[host as usize] != self.now {
            return; // Stale event: an earlier time has been scheduled since.
        }
        self.advance_host(host);
        self.host_due_at[host as usize] = Us::MAX;
        self.schedule_host(host);
    }

    fn advance_host(&mut self, host: u32) {
        let mut completions = std::mem::take(&mut self.completions);
        self.hosts[host as usize].advance(self.now, &mut completions);
        for end in completions.drain(..) {
            let outcome = if end.served { Outcome::Served } else { Outcome::ServerError };
            let work = end.work / 1e6;
            let bin = self.judge.bin(self.now);
            bin.work += work;
            let key = AttemptKey::from(KeyData::from_ffi(end.id));
            let awaited = self.attempts.get(key).is_some_and(|a| a.awaited);
            if !awaited || !end.served {
                self.judge.bin(self.now).wasted += work;
            }
            self.send_outcome(key, outcome, true);
        }
        self.completions = completions;
    }

    /// Ends an attempt at its host and sends the outcome to the gateway.
    fn send_outcome(&mut self, key: AttemptKey, outcome: Outcome, with_load: bool) {
        let Some(a) = self.attempts.get(key) else { return };
        let (host, gateway, message) = (a.host, a.gateway as usize, a.message);
        let load = if with_load { self.hosts[host as usize].load_report(self.now) } else { None };
        self.trace_attempt(message, host, || format!("host {host} ends the attempt: {outcome:?}"));
        if self.attempts.get(key).is_some_and(|a| a.awaited) {
            let latency = self.network.between(self.gateways[gateway].zone, self.hosts[host as usize].zone);
            self.schedule(self.now + latency, Event::AttemptOutcome(key, outcome, load));
        }
        self.release_from_host(key);
    }

    fn on_attempt_at_host(&mut self, key: AttemptKey) {
        let Some(a) = self.attempts.get(key) else { return };
        let (host, message) = (a.host, a.message);
        let host_attempt = HostAttempt {
            id: key.data().as_ffi(),
            work: a.work,
            wait: a.wait,
            key: a.key,
            class: a.class,
            sender: a.gateway,
            handshake: a.new_connection,
        };
        self.advance_host(host);
        match self.hosts[host as usize].offer(self.now, host_attempt) {
            OfferResult::Accepted => {
                let attempts_at_host = self.hosts[host as usize].in_flight_count();
                self.trace_attempt(message, host, || {
                    format!("host {host} accepts the attempt, {attempts_at_host} in flight")
                });
            }
            OfferResult::Rejected => self.send_outcome(key, Outcome::Rejected, true),
            OfferResult::ConnectionRefused => self.send_outcome(key, Outcome::ConnectionLost, false),
            OfferResult::NoResponse => self.release_from_host(key),
            OfferResult::ColdOverload { sent, lost } => {
                let started = self.hosts[host as usize].started.unwrap_or(0);
                self.trace_if(TraceTarget::Host(host), || {
                    format!("goes down, overloaded while cold by {sent:?}")
                });
                self.judge.record_cold_host_overload(self.now, host, started, &sent);
                self.end_lost_attempts(host, lost, true);
                self.send_outcome(key, Outcome::ConnectionLost, false);
                let at = self.now + us(self.world.discovery.notice_ms);
                self.schedule(at, Event::DiscoveryObserves(host));
            }
        }
        self.schedule_host(host);
    }

    /// Ends the attempts that are lost with their host and drops the idle connections to the host. With
    /// `with_errors`, the gateways receive connection errors; otherwise they receive nothing.
    fn end_lost_attempts(&mut self, host: u32, lost: Vec<u64>, with_errors: bool) {
        for id in lost {
            let key = AttemptKey::from(KeyData::from_ffi(id));
            if with_errors {
                self.send_outcome(key, Outcome::ConnectionLost, false);
            } else {
                self.release_from_host(key);
            }
        }
        for slot in &mut self.gateways {
            slot.idle[host as usize].clear();
        }
        self.host_due_at[host as usize] = Us::MAX;
    }

    fn stop_host(&mut self, host: u32, status: HostStatus) {
        if self.removed[host as usize] || self.hosts[host as usize].status != HostStatus::Up {
            return;
        }
        self.trace_if(TraceTarget::Host(host), || format!("stops: {status:?}"));
        self.advance_host(host);
        let lost = self.hosts[host as usize].stop(self.now, status);
        self.end_lost_attempts(host, lost, status != HostStatus::Silent);
        let d = &self.world.discovery;
        let notice = if status == HostStatus::Silent { d.silent_notice_ms } else { d.notice_ms };
        self.schedule(self.now + us(notice), Event::DiscoveryObserves(host));
    }

    fn start_host(&mut self, host: u32, restarted: bool) {
        if self.removed[host as usize]
            || matches!(self.hosts[host as usize].status, HostStatus::Up | HostStatus::Fallen)
        {
            return;
        }
        self.trace_if(TraceTarget::Host(host), || {
            (if restarted { "starts anew" } else { "is reachable again" }).into()
        });
        if restarted {
            self.hosts[host as usize].start(self.now);
        } else {
            self.hosts[host as usize].resume(self.now);
        }
        self.schedule_host(host);
        let notice = us(self.world.discovery.notice_ms);
        self.schedule(self.now + notice, Event::DiscoveryObserves(host));
    }

    fn remove_host(&mut self, host: u32) {
        self.stop_host(host, HostStatus::Dead);
        self.removed[host as usize] = true;
    }

    fn add_host(&mut self) {
        let number = self.hosts.len() as u32;
        let mut host = new_host(self.world, self.setup.seed, number, self.now);
        host.start(self.now);
        self.hosts.push(host);
        self.host_due_at.push(Us::MAX);
        self.removed.push(false);
        self.draining.push(false);
        self.busy_at_last_sample.push(0.0);
        self.gateways.iter_mut().for_each(|slot| slot.idle.push(VecDeque::new()));
        self.schedule_host(number);
        self.schedule(self.now + us(self.world.discovery.notice_ms), Event::DiscoveryObserves(number));
    }

    // ---- discovery ----

    /// Returns the discovery entry for the current state of a host.
    fn discovery_entry(&self, host: u32) -> Entry {
        let h = &self.hosts[host as usize];
        let state = if h.status != HostStatus::Up || self.removed[host as usize] {
            State::Gone
        } else if self.draining[host as usize] {
            State::Draining
        } else {
            State::Serving
        };
        let started = h.started.unwrap_or(0);
        Entry { host, zone: h.zone, cell: h.cell, weight: h.listed_weight, state, started }
    }

    fn schedule_deliveries(&mut self, deliveries: Vec<Delivery>) {
        for delivery in deliveries {
            let incarnation = self.gateways[delivery.gateway].incarnation;
            self.schedule(delivery.at, Event::DiscoveryDelivery(delivery, incarnation));
        }
    }

    fn on_discovery_delivery(&mut self, delivery: &Delivery, incarnation: u32) {
        let gateway = delivery.gateway as u32;
        let slot = &self.gateways[delivery.gateway];
        if slot.incarnation != incarnation || slot.policy.is_none() {
            return;
        }
        if delivery.lost {
            self.deliver_event(
                gateway,
                PolicyEvent::EndpointUpdate { kind: UpdateKind::WatchLost, endpoints: Vec::new() },
            );
            return;
        }
        let update = self.discovery.receive(delivery);
        if update.complete {
            let listed: Vec<u32> = update.entries.iter().map(|e| e.host).collect();
            for host in (0..self.hosts.len() as u32).filter(|h| listed.binary_search(h).is_err()) {
                self.judge.record_notification(self.now, gateway, host, true, 0);
            }
        }
        let kind = if update.complete { UpdateKind::Complete } else { UpdateKind::Delta };
        self.send_endpoint_update(gateway, kind, &update.entries);
    }

    fn send_endpoint_update(&mut self, gateway: u32, kind: UpdateKind, entries: &[Entry]) {
        let mut records = Vec::with_capacity(entries.len());
        for e in entries {
            self.judge.record_notification(self.now, gateway, e.host, e.state != State::Serving, e.started);
            self.trace_if(TraceTarget::Host(e.host), || {
                format!("gateway {gateway} learns of state {:?}", e.state)
            });
            records.push(EndpointRecord {
                endpoint: EndpointId(e.host),
                zone: e.zone,
                cell: e.cell,
                // Multiples of the golden ratio give evenly spread hashes that are the same at every gateway.
                hash: u64::from(e.host).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                weight: e.weight,
                readiness: match e.state {
                    State::Serving => Readiness::Active,
                    State::Draining => Readiness::Draining,
                    State::Gone => Readiness::Removed,
                },
                started_at_ms: if e.started == 0 { 0.0 } else { Self::gateway_clock_ms(e.started) },
            });
        }
        self.deliver_event(gateway, PolicyEvent::EndpointUpdate { kind, endpoints: records });
    }

    // ---- disturbances ----

    fn apply_change(&mut self, change: WorldChange) -> Result<(), String> {
        match change {
            WorldChange::StopHost(host, status) => self.stop_host(host, status),
            WorldChange::StartHost(host) => self.start_host(host, true),
            WorldChange::ResumeHost(host) => self.start_host(host, false),
            WorldChange::Neighbour(host, share) => {
                self.advance_host(host);
                self.hosts[host as usize].set_neighbour(self.now, share);
                self.schedule_host(host);
            }
            WorldChange::FreezeReports(host, frozen) => self.hosts[host as usize].set_reports_frozen(frozen),
            WorldChange::FailClass(host, fails) => self.hosts[host as usize].set_failing(fails),
            WorldChange::Gateway(gateway, true) => {
                if self.gateways[gateway as usize].policy.is_none() {
                    self.start_gateway(gateway)?;
                }
            }
            WorldChange::Gateway(gateway, false) => self.kill_gateway(gateway),
            WorldChange::DiscoveryDown(down) => {
                let mut out = Vec::new();
                self.discovery.set_down(self.now, down, &mut out);
                self.schedule_deliveries(out);
            }
            WorldChange::DiscoveryStale(stale) => self.discovery.set_stale(self.now, stale),
            WorldChange::ReplaceHost { drain, abrupt } => {
                let remains = |h: &usize| !self.removed[*h] && !self.draining[*h];
                let Some(old) = (self.next_to_replace..self.hosts.len()).find(remains) else { return Ok(()) };
                self.next_to_replace = old + 1;
                if abrupt {
                    self.remove_host(old as u32);
                } else {
                    self.draining[old] = true;
                    self.schedule(
                        self.now + us(self.world.discovery.notice_ms),
                        Event::DiscoveryObserves(old as u32),
                    );
                    self.schedule(self.now + drain, Event::DrainEnded(old as u32));
                }
                self.add_host();
            }
            WorldChange::RetryStorm(Some(retries)) => {
                self.clients.retries = retries;
                self.clients.back_off = crate::world::spec::BackOff::None;
                self.clients.heed_most_ms = 0.0;
            }
            WorldChange::RetryStorm(None) => self.clients = self.default_clients,
        }
        Ok(())
    }

    fn in_flight(&self) -> [usize; 3] {
        [self.messages.len(), self.tries.len(), self.attempts.len()]
    }

    fn sample_series(&mut self) {
        let in_flight = self.in_flight();
        for (peak, now) in self.peak_in_flight.iter_mut().zip(in_flight) {
            *peak = now.max(*peak);
        }
        let (mut queue, mut slow, mut up, mut busy, mut cores) = (0, 0, 0, 0.0, 0.0);
        for (n, host) in self.hosts.iter_mut().enumerate() {
            let busy_time = host.busy_time(self.now);
            if host.status == HostStatus::Up {
                queue += host.queue_length() as u32;
                slow += u32::from(host.is_slow());
                up += 1;
                busy += busy_time - self.busy_at_last_sample[n];
                cores += f64::from(host.cores());
            }
            self.busy_at_last_sample[n] = busy_time;
        }
        let bin = self.judge.bin(self.now.saturating_sub(1));
        (bin.queue, bin.slow, bin.up) = (queue, slow, up);
        bin.busy = busy / (cores * SAMPLE_INTERVAL_US as f64).max(1.0);
        for slot in &mut self.gateways {
            for (host, idle) in slot.idle.iter_mut().enumerate() {
                let keep = us(self.world.kinds[self.hosts[host].kind].connections.idle_ms);
                while idle.front().is_some_and(|since| since + keep <= self.now) {
                    idle.pop_front();
                    self.hosts[host].connections = self.hosts[host].connections.saturating_sub(1);
                }
            }
        }
        self.schedule(self.now + SAMPLE_INTERVAL_US, Event::Sample);
    }
}
