//! The virtual clock and its queue of events, round many gateways that keep nothing in common.
//!
//! Events of one instant happen in the order of [`Event::rank`], and then in the order in which they were planned:
//! the world changes first, then hosts end attempts and take new ones, then gateways hear (answers before lists,
//! lists before messages, messages before timers), then clients.
use crate::judge::{Findings, Judge, Sent};
use crate::policy::Policy;
use crate::trouble::{Act, Plan, Trouble};
use crate::world::clients::{again, patience, Arrivals, Message, TryEnd};
use crate::world::discovery::{Delivery, Discovery, Entry, State};
use crate::world::draw::{spread, stream, Purpose};
use crate::world::front::Front;
use crate::world::hosts::{Done, Host, Job, Life, Load, Offer};
use crate::world::network::Network;
use crate::world::spec::{Effect, World};
use crate::world::{ms, us, Us};
use rand::RngExt;
use slotmap::{new_key_type, Key, KeyData, SlotMap};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use ternstack_balancer::{
    Action, Arrival, AttemptEnd, DeduplicationScope, EndpointId, EndpointRecord, Event as Heard, LoadReport,
    LoadReportDelivery, Outcome, Readiness, RequestId, Settings, Tenant, UpdateKind,
};

/// A gateway's clock shows this at the start, in ms: its times are never near 0.
const CLOCK: f64 = 3_600_000.0;
/// How often the series is sampled and idle connections are looked through.
const SAMPLE: Us = 250_000;

new_key_type! {
    /// A message whose client still waits, or of which a gateway still holds a try.
    struct MessageKey;
    /// One try of a message.
    struct TryKey;
    /// One attempt of a try.
    struct AttemptKey;
}

/// Makes the policy of a gateway from its settings and its seed.
pub type Make<'a> = dyn Fn(Settings, u64) -> Result<Box<dyn Policy>, String> + 'a;

/// What a run is.
pub struct Setup<'a> {
    /// The world.
    pub world: &'a World,
    /// What goes wrong.
    pub troubles: &'a [Trouble],
    /// All that is drawn depends on it.
    pub seed: u64,
    /// What begins before this counts for no service.
    pub warm_up: Us,
    /// When the last message begins.
    pub length: Us,
    /// Makes each gateway's policy.
    pub make: &'a Make<'a>,
    /// What to write a trace of.
    pub focus: Option<Focus>,
}

/// What a trace follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Focus {
    /// One message, by its number.
    Message(u64),
    /// One host, by its number.
    Host(u32),
}

/// What comes of a run.
#[derive(Debug)]
pub struct Played {
    /// What the judge found.
    pub findings: Findings,
    /// The trace asked for.
    pub trace: Vec<String>,
    /// Events played, and of these handed to policies.
    pub events: (u64, u64),
    /// Most messages, tries and attempts in flight at once.
    pub most: [usize; 3],
    /// What of these was left at the end.
    pub left: [usize; 3],
}

enum Event {
    Act(Act),
    /// A host looks after itself.
    HostDue(u32),
    /// Discovery learns what is true of a host now.
    Learn(u32),
    Round,
    Gone(u32), // A host has drained for long enough and goes.
    AtHost(AttemptKey),
    /// An outcome reaches the gateway.
    Outcome(AttemptKey, Outcome, Option<Load>),
    Told(Delivery, u32),
    /// A try reaches the gateway.
    Try(TryKey),
    /// The gateway learns that the client has left; `true` if that was at the end of its patience.
    Left(TryKey, bool),
    Timer(u32, u32, u64),
    /// An answer reaches the client.
    Answer(TryKey, TryEnd),
    /// The client stops waiting.
    GiveUp(TryKey),
    Begin(MessageKey),
    Arrive(Box<Message>),
    FrontNotices(u32, u32),
    Sample,
}

impl Event {
    fn rank(&self) -> u8 {
        match self {
            Event::Act(_) | Event::Gone(_) => 0,
            Event::HostDue(_) => 1,
            Event::AtHost(_) => 2,
            Event::Learn(_) | Event::Round => 3,
            Event::Outcome(..) => 4,
            Event::Told(..) => 5,
            Event::Try(_) => 6,
            Event::Left(..) => 7,
            Event::Timer(..) => 8,
            Event::Answer(..) => 9,
            Event::GiveUp(_) => 10,
            Event::FrontNotices(..) => 11,
            Event::Begin(_) => 12,
            Event::Arrive(_) => 13,
            Event::Sample => 14,
        }
    }
}

struct Planned {
    at: Us,
    rank: u8,
    order: u64,
    event: Event,
}

impl PartialEq for Planned {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Planned {}
impl PartialOrd for Planned {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Planned {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.rank, self.order).cmp(&(other.at, other.rank, other.order))
    }
}

/// A message in flight: its client still waits, or has tries that gateways hold.
struct Asked {
    message: Message,
    tries: u32,
    over: bool, // Nothing more comes of it for its client.
    held: u32,  // Tries of it that are not forgotten.
}

struct Try {
    message: MessageKey,
    gateway: u32,
    incarnation: u32,
    deadline: Us, // The end of its client's patience.
    over: bool,   // The client waits no more.
    taken: bool,  // It has reached the gateway.
    ended: bool,  // The gateway has ended it, or learnt that the client has left.
    sent: Vec<Sent>,
    attempts: Vec<AttemptKey>,
    out: u32,
}

struct Attempt {
    of: TryKey,
    number: u32,
    host: u32,
    gateway: u32,
    incarnation: u32,
    sent_at: Us,
    until: Us,
    waited_for: bool, // The gateway has not been told its outcome.
    at_host: bool,    // It is on its way, or at its host.
    used: bool,       // Its answer was the message's.
    connected: bool,  // It occupies a connection.
    new: bool,        // A new one.
    message: u64,
    class: usize,
    key: u32,
    work: f64,
    wait: Us,
}

struct Seat {
    policy: Option<Box<dyn Policy>>, // None while it is dead.
    zone: u32,
    incarnation: u32,
    idle: Vec<VecDeque<Us>>, // Idle connections to each host: since when, the latest last.
}

/// A run in progress.
struct Run<'a> {
    setup: &'a Setup<'a>,
    world: &'a World,
    now: Us,
    queue: BinaryHeap<Reverse<Planned>>,
    planned: u64,
    played: (u64, u64),
    most: [usize; 3],
    hosts: Vec<Host>,
    due: Vec<Us>,    // When each host is next due, as planned.
    gone: Vec<bool>, // Hosts that were replaced.
    draining: Vec<bool>,
    next_old: usize, // The oldest host that has not been replaced.
    seats: Vec<Seat>,
    front: Front,
    network: Network,
    discovery: Discovery,
    arrivals: Arrivals,
    clients: crate::world::spec::Clients,
    usual_clients: crate::world::spec::Clients,
    messages: SlotMap<MessageKey, Asked>,
    tries: SlotMap<TryKey, Try>,
    attempts: SlotMap<AttemptKey, Attempt>,
    judge: Judge,
    settings: Settings,
    trace: Vec<String>,
    busy_before: Vec<f64>,
    done: Vec<Done>,
    actions: Vec<Action>,
}

/// The zone of thing `n` of `count` that are dealt out over zones, with a given part in the first.
fn zone_of(n: u32, count: u32, zones: u32, first: Option<f64>) -> u32 {
    match first {
        Some(part) if zones > 1 => {
            let in_first = (f64::from(count) * part).round() as u32;
            if n < in_first {
                0
            } else {
                1 + (n - in_first) % (zones - 1)
            }
        }
        _ => n % zones,
    }
}

/// Hosts of one cell.
const CELL: u32 = 6;

fn new_host(world: &World, seed: u64, number: u32, now: Us) -> Host {
    // Kinds are dealt out by their parts, so that a fleet's capacity varies little from seed to seed.
    let sum: f64 = world.kinds.iter().map(|k| k.part).sum();
    let mut at = (f64::from(number) * 0.618_033_988_749_894_9).fract() * sum;
    let kind = world.kinds.iter().position(|k| {
        at -= k.part;
        at < 0.0
    });
    let kind = kind.unwrap_or(world.kinds.len() - 1);
    let zone = zone_of(number % world.hosts, world.hosts, world.zones.len() as u32, world.first_zone_hosts);
    let mut host = Host::new(kind, &world.kinds[kind], seed, number, (zone, number / CELL), now);
    let noise = world.gateway.size_noise;
    host.told_size = if noise < 0.0 {
        1.0
    } else {
        host.told_size * spread(noise, &mut stream(seed, Purpose::Fleet, u64::from(number)))
    };
    host
}

/// Mean work of a message on a standard core, in seconds, without what hosts remember.
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
    let falls = world.kinds.iter().map(|k| k.cold.fall_multiple).filter(|m| *m > 0.0);
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
        slow_start_min_ratio: world.kinds.iter().map(|k| k.cold.share.bounds().0).fold(1.0, f64::min),
        slow_start_ms: world.kinds.iter().map(|k| k.cold.warm_ms.bounds().1).fold(0.0, f64::max),
        slow_start_overload_multiple: falls.fold(f64::INFINITY, f64::min).min(1000.0),
        removal_is_advisory: false,
        availability_weight: 0.0,
        availability_target_nines: None,
    }
}

/// Plays a run from its start until all that began has ended.
pub fn play(setup: &Setup) -> Result<Played, String> {
    let mut run = Run::new(setup)?;
    run.start()?;
    let deadline = setup.world.classes.iter().map(|c| us(c.deadline_ms)).max().unwrap_or(0);
    let last = setup.length + deadline + us(1000.0);
    while let Some(Reverse(next)) = run.queue.pop() {
        if next.at > last {
            break;
        }
        run.now = next.at;
        run.played.0 += 1;
        run.step(next.event)?;
    }
    let left = run.in_flight();
    let Run { judge, trace, played, most, .. } = run;
    Ok(Played { findings: judge.findings(setup.troubles), trace, events: played, most, left })
}

impl<'a> Run<'a> {
    fn new(setup: &'a Setup<'a>) -> Result<Self, String> {
        let world = setup.world;
        let zones = world.zones.len() as u32;
        let hosts: Vec<Host> = (0..world.hosts).map(|n| new_host(world, setup.seed, n, 0)).collect();
        let capacity: f64 = hosts.iter().map(Host::capacity).sum();
        let can_per_s = capacity / mean_work(world);
        let per_s = world.rate_per_s.unwrap_or(world.load * can_per_s);
        let host_zones: Vec<u32> = hosts.iter().map(|h| h.zone).collect();
        let plan = Plan::new(setup.troubles, world, &host_zones, setup.seed);
        let arrivals = Arrivals::new(world, per_s, can_per_s, plan.surges.clone(), setup.seed)?;
        let quotas = arrivals.quotas();
        let seat_zones: Vec<u32> = (0..world.gateways).map(|n| n % zones).collect();
        let seat = |zone: &u32| Seat {
            policy: None,
            zone: *zone,
            incarnation: 0,
            idle: vec![VecDeque::new(); hosts.len()],
        };
        let mut run = Run {
            setup,
            world,
            now: 0,
            queue: BinaryHeap::new(),
            planned: 0,
            played: (0, 0),
            most: [0; 3],
            due: vec![Us::MAX; hosts.len()],
            gone: vec![false; hosts.len()],
            draining: vec![false; hosts.len()],
            next_old: 0,
            seats: seat_zones.iter().map(seat).collect(),
            front: Front::new(seat_zones),
            network: Network::new(world.network, setup.seed),
            discovery: Discovery::new(world.discovery, Vec::new(), 0, setup.seed),
            arrivals,
            clients: world.clients,
            usual_clients: world.clients,
            messages: SlotMap::with_key(),
            tries: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            judge: Judge::new(world, capacity, setup.warm_up, setup.length),
            settings: settings(world, &quotas),
            trace: Vec::new(),
            busy_before: vec![0.0; hosts.len()],
            done: Vec::new(),
            actions: Vec::new(),
            hosts,
        };
        let entries = (0..run.hosts.len() as u32).map(|n| run.entry(n)).collect();
        run.discovery = Discovery::new(world.discovery, entries, run.seats.len(), setup.seed);
        for (at, act) in plan.acts {
            run.plan(at, Event::Act(act));
        }
        Ok(run)
    }

    fn plan(&mut self, at: Us, event: Event) {
        self.planned += 1;
        let at = at.max(self.now);
        self.queue.push(Reverse(Planned { at, rank: event.rank(), order: self.planned, event }));
    }

    fn start(&mut self) -> Result<(), String> {
        for host in 0..self.hosts.len() as u32 {
            self.plan_host(host);
        }
        for gateway in 0..self.seats.len() as u32 {
            self.start_gateway(gateway)?;
        }
        self.plan(us(self.world.discovery.period_ms), Event::Round);
        self.plan(SAMPLE, Event::Sample);
        self.next_arrival();
        Ok(())
    }

    fn next_arrival(&mut self) {
        if let Some(message) = self.arrivals.next(self.setup.length) {
            self.plan(message.at, Event::Arrive(Box::new(message)));
        }
    }

    fn note(&mut self, focus: Focus, line: impl FnOnce() -> String) {
        if self.setup.focus == Some(focus) {
            let line = line();
            self.trace.push(format!("{:>12.3} ms  {line}", ms(self.now)));
        }
    }

    fn note_both(&mut self, message: u64, host: u32, line: impl Fn() -> String) {
        self.note(Focus::Message(message), &line);
        self.note(Focus::Host(host), || format!("message {message}: {}", line()));
    }

    fn step(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Act(act) => self.act(act)?,
            Event::HostDue(host) => self.host_due(host),
            Event::Learn(host) => {
                let entry = self.entry(host);
                self.discovery.learn(self.now, entry);
            }
            Event::Round => {
                let mut out = Vec::new();
                self.discovery.round(self.now, &mut out);
                self.deliver(out);
                let next = self.now + us(self.world.discovery.period_ms);
                self.plan(next, Event::Round);
            }
            Event::Gone(host) => self.remove_host(host),
            Event::AtHost(attempt) => self.at_host(attempt),
            Event::Outcome(attempt, outcome, load) => self.outcome(attempt, outcome, load),
            Event::Told(delivery, incarnation) => self.told(&delivery, incarnation),
            Event::Try(key) => self.take(key),
            Event::Left(key, at_end) => self.left(key, at_end),
            Event::Timer(gateway, incarnation, token) => {
                if self.seats[gateway as usize].incarnation == incarnation {
                    self.feed(gateway, Heard::Timer { token });
                }
            }
            Event::Answer(key, end) => self.answered(key, end),
            Event::GiveUp(key) => self.give_up(key),
            Event::Begin(key) => self.begin(key),
            Event::Arrive(message) => {
                self.next_arrival();
                self.judge.asked(&message);
                let asked = Asked { message: *message, tries: 0, over: false, held: 0 };
                let key = self.messages.insert(asked);
                self.begin(key);
            }
            Event::FrontNotices(gateway, incarnation) => {
                let seat = &self.seats[gateway as usize];
                if seat.incarnation == incarnation && seat.policy.is_none() {
                    self.front.notice(gateway as usize, false);
                }
            }
            Event::Sample => self.sample(),
        }
        Ok(())
    }

    // ---- clients ----

    /// A client begins a try.
    fn begin(&mut self, key: MessageKey) {
        let Some(asked) = self.messages.get_mut(key) else { return };
        let class = &self.world.classes[asked.message.class];
        let wait = patience(&self.clients, class, &asked.message, self.now, asked.tries);
        let deadline = self.now + wait;
        let gives_up = deadline.min(asked.message.leaves.max(self.now));
        asked.tries += 1;
        asked.held += 1;
        let draw: f64 = asked.message.rng.random();
        let (zone, number, tries) = (asked.message.zone, asked.message.number, asked.tries);
        self.judge.bin(self.now).tries += 1;
        let picked = self.front.pick(zone, draw);
        let there = picked.unwrap_or(0);
        let seat = &self.seats[there];
        let (incarnation, alive) = (seat.incarnation, picked.is_some() && seat.policy.is_some());
        let new = Try {
            message: key,
            gateway: there as u32,
            incarnation,
            deadline,
            over: false,
            taken: false,
            ended: !alive,
            sent: Vec::new(),
            attempts: Vec::new(),
            out: 0,
        };
        let try_key = self.tries.insert(new);
        let way = self.network.to_client();
        if alive {
            self.note(Focus::Message(number), || {
                format!("try {tries} to gateway {there}, waits {:.0} ms", ms(wait))
            });
            self.plan(self.now + way, Event::Try(try_key));
        } else {
            self.note(Focus::Message(number), || format!("try {tries} meets no gateway"));
            self.judge.bin(self.now).failed += 1;
            self.plan(self.now + 2 * way, Event::Answer(try_key, TryEnd::Unreachable));
        }
        self.plan(gives_up, Event::GiveUp(try_key));
    }

    fn answered(&mut self, key: TryKey, end: TryEnd) {
        let Some(t) = self.tries.get_mut(key).filter(|t| !t.over) else { return };
        t.over = true;
        let message = t.message;
        if let Some(asked) = self.messages.get_mut(message) {
            let number = asked.message.number;
            if end == TryEnd::Served && !asked.over {
                asked.over = true;
                let served = asked.message.clone();
                self.judge.served(self.now, &served);
            }
            self.note(Focus::Message(number), || format!("its client has: {end:?}"));
        }
        self.client_goes_on(message, end);
        self.forget_try(key);
    }

    fn give_up(&mut self, key: TryKey) {
        let Some(t) = self.tries.get_mut(key).filter(|t| !t.over) else { return };
        t.over = true;
        let (message, deadline) = (t.message, t.deadline);
        let at_end = self.now >= deadline;
        if !t.ended {
            let slack = us(self.world.gateway.slack_ms);
            let way = self.network.to_client();
            let at = self.now + if at_end { slack.max(way) } else { way };
            self.plan(at, Event::Left(key, at_end));
        }
        self.judge.bin(self.now).timed_out += 1;
        if let Some(asked) = self.messages.get(message) {
            let number = asked.message.number;
            self.note(Focus::Message(number), || "its client gives the try up".into());
        }
        self.client_goes_on(message, TryEnd::TimedOut);
        self.forget_try(key);
    }

    fn client_goes_on(&mut self, key: MessageKey, end: TryEnd) {
        let Some(asked) = self.messages.get_mut(key) else { return };
        if asked.over {
            return;
        }
        let class = &self.world.classes[asked.message.class];
        let next = again(&self.clients, class, &mut asked.message, self.now, asked.tries, end);
        match next {
            Some(at) => self.plan(at, Event::Begin(key)),
            None => asked.over = true,
        }
    }

    /// Forgets a try once neither its client, its gateway nor a host has to do with it, and its message with the
    /// last of them.
    fn forget_try(&mut self, key: TryKey) {
        let Some(t) = self.tries.get(key) else { return };
        if !t.over || !t.ended || t.out > 0 {
            return;
        }
        let message = t.message;
        self.tries.remove(key);
        if let Some(asked) = self.messages.get_mut(message) {
            asked.held -= 1;
            if asked.over && asked.held == 0 {
                self.messages.remove(message);
            }
        }
    }

    // ---- gateways ----

    fn clock(now: Us) -> f64 {
        CLOCK + ms(now)
    }

    /// The run's time of a moment on a gateway's clock.
    fn time(&self, at: f64) -> Us {
        us((at - CLOCK).min(1e12))
    }

    fn request(key: TryKey) -> RequestId {
        RequestId(key.data().as_ffi())
    }

    fn start_gateway(&mut self, gateway: u32) -> Result<(), String> {
        let incarnation = self.seats[gateway as usize].incarnation;
        let part = u64::from(gateway) << 16 | u64::from(incarnation & 0xffff);
        let seed: u64 = stream(self.setup.seed, Purpose::Gateway, part).random();
        let zone = self.seats[gateway as usize].zone;
        let settings = Settings { gateway_index: gateway, zone, ..self.settings.clone() };
        self.seats[gateway as usize].policy = Some((self.setup.make)(settings, seed)?);
        self.front.notice(gateway as usize, true);
        let entries = self.discovery.warm_copy(self.now, gateway as usize);
        self.list(gateway, UpdateKind::Cached, &entries);
        Ok(())
    }

    fn kill_gateway(&mut self, gateway: u32) {
        let seat = &mut self.seats[gateway as usize];
        if seat.policy.take().is_none() {
            return;
        }
        seat.incarnation += 1;
        for (host, idle) in seat.idle.iter_mut().enumerate() {
            self.hosts[host].connections = self.hosts[host].connections.saturating_sub(idle.len() as u32);
            idle.clear();
        }
        let incarnation = self.seats[gateway as usize].incarnation;
        self.judge.forget_gateway(gateway);
        let held: Vec<TryKey> =
            self.tries.iter().filter(|(_, t)| t.gateway == gateway && !t.ended).map(|(k, _)| k).collect();
        for key in held {
            if let Some(t) = self.tries.get_mut(key) {
                t.ended = true;
            }
            let way = self.network.to_client();
            self.judge.bin(self.now).failed += 1;
            self.plan(self.now + way, Event::Answer(key, TryEnd::Failed));
            self.forget_try(key);
        }
        let out: Vec<AttemptKey> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.gateway == gateway && a.waited_for)
            .map(|(k, _)| k)
            .collect();
        for key in out {
            self.leave_attempt(key, false);
        }
        let notice = self.now + us(self.world.front.notice_ms);
        self.plan(notice, Event::FrontNotices(gateway, incarnation));
    }

    /// Hands a gateway what it has seen, and carries out what it wants, until nothing more follows at once.
    fn feed(&mut self, gateway: u32, heard: Heard) {
        let now = Self::clock(self.now);
        let mut events = VecDeque::from([heard]);
        while let Some(event) = events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let Some(policy) = &mut self.seats[gateway as usize].policy else { return };
            self.played.1 += 1;
            policy.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(gateway, action, &mut events);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, gateway: u32, action: Action, events: &mut VecDeque<Heard>) {
        let incarnation = self.seats[gateway as usize].incarnation;
        match action {
            Action::Send { request, endpoint: server, give_up_at_ms: until } => {
                let until = self.time(until);
                if let Some(end) = self.send(gateway, request, server, until) {
                    events.push_back(end);
                }
            }
            Action::Cancel { request, attempt } => {
                let key = TryKey::from(KeyData::from_ffi(request.0));
                let attempt = self.tries.get(key).and_then(|t| t.attempts.get(attempt as usize).copied());
                if let Some(attempt) = attempt.filter(|_| self.world.gateway.may_cancel) {
                    self.plan(self.now, Event::Outcome(attempt, Outcome::Cancelled, None));
                }
            }
            Action::Reject { request, reason: cause, retry_after_ms } => {
                let retry_after = us(retry_after_ms);
                self.final_answer(gateway, request, TryEnd::Refused { retry_after }, Some(cause));
            }
            Action::Fail { request } => self.final_answer(gateway, request, TryEnd::Failed, None),
            Action::Timer { at_ms: at, token } => {
                let at = self.time(at).max(self.now + 1);
                self.plan(at, Event::Timer(gateway, incarnation, token));
            }
            Action::WatchEndpoints => {
                let delivery = self.discovery.call(self.now, gateway as usize);
                self.deliver(vec![delivery]);
            }
            Action::HealthCheck { .. } => {}
            Action::Log(line) => tracing::debug!(gateway, at_ms = ms(self.now), "{line}"),
        }
    }

    /// A try reaches its gateway.
    fn take(&mut self, key: TryKey) {
        let Some(t) = self.tries.get_mut(key) else { return };
        if t.ended {
            return;
        }
        t.taken = true;
        let (gateway, patience) = (t.gateway, t.deadline.saturating_sub(self.now));
        let Some(asked) = self.messages.get(t.message) else { return };
        let arrival = Arrival {
            request: Self::request(key),
            class: asked.message.class,
            tenant: Some(asked.message.tenant),
            client_timeout_ms: ms(patience),
        };
        self.feed(gateway, Heard::Request(arrival));
    }

    /// A gateway refuses or fails a try.
    fn final_answer(
        &mut self, gateway: u32, request: RequestId, end: TryEnd,
        cause: Option<ternstack_balancer::RejectionReason>,
    ) {
        let key = TryKey::from(KeyData::from_ffi(request.0));
        let Some(t) = self.tries.get(key).filter(|t| t.gateway == gateway) else {
            return;
        };
        let Some(asked) = self.messages.get(t.message) else { return };
        let (number, class) = (asked.message.number, asked.message.class);
        if t.ended {
            // It may have ended in the same instant; a second answer to one that its client still awaits is none.
            if !t.over {
                self.judge.after_end(self.now, gateway, number, "a second answer");
            }
            return;
        }
        if cause.is_some() {
            let sent = t.sent.clone();
            self.judge.refusal(self.now, gateway, number, class, &sent);
        }
        match cause {
            Some(cause) => self.judge.refused(self.now, cause),
            None => self.judge.bin(self.now).failed += 1,
        }
        self.note(Focus::Message(number), || match cause {
            Some(cause) => format!("gateway {gateway} refuses it: {cause:?}, {end:?}"),
            None => format!("gateway {gateway} fails it"),
        });
        if let Some(t) = self.tries.get_mut(key) {
            t.ended = true;
        }
        let way = self.network.to_client();
        self.plan(self.now + way, Event::Answer(key, end));
    }

    /// A gateway learns that a client waits no more.
    fn left(&mut self, key: TryKey, at_end: bool) {
        let Some(t) = self.tries.get_mut(key).filter(|t| !t.ended) else { return };
        t.ended = true;
        let (gateway, message, taken) = (t.gateway, t.message, t.taken);
        if taken {
            if at_end {
                let number = self.messages.get(message).map_or(0, |m| m.message.number);
                self.judge.unanswered(self.now, gateway, number);
            }
            self.feed(gateway, Heard::ClientDisconnected { request: Self::request(key) });
        }
        self.forget_try(key);
    }

    /// Sends an attempt; what is known of its end at once.
    fn send(&mut self, gateway: u32, request: RequestId, server: EndpointId, until: Us) -> Option<Heard> {
        let key = TryKey::from(KeyData::from_ffi(request.0));
        let host = server.0;
        let not_sent = |attempt| {
            Some(Heard::AttemptEnd(AttemptEnd {
                request,
                attempt,
                endpoint: server,
                outcome: Outcome::NotSent,
                latency_ms: 0.0,
                request_complete: true,
                report: LoadReport::default(),
            }))
        };
        let Some(t) = self.tries.get(key).filter(|t| t.gateway == gateway) else { return not_sent(0) };
        let Some(asked) = self.messages.get_mut(t.message) else { return not_sent(0) };
        let message = &mut asked.message;
        let number = t.attempts.len() as u32;
        if t.ended {
            if !t.over {
                self.judge.after_end(self.now, gateway, message.number, "an attempt");
            }
            return not_sent(number);
        }
        let noise = spread(self.world.classes[message.class].attempt_noise, &mut message.rng);
        let attempt = Attempt {
            of: key,
            number,
            host,
            gateway,
            incarnation: t.incarnation,
            sent_at: self.now,
            until: until.min(t.deadline).max(self.now),
            waited_for: true,
            at_host: true,
            used: false,
            connected: false,
            new: false,
            message: message.number,
            class: message.class,
            key: message.key,
            work: message.work * noise,
            wait: message.wait,
        };
        let until = attempt.until;
        let (m, class) = (message.number, message.class);
        let counts =
            self.discovery.counts_as_told(gateway as usize, host, us(self.world.gateway.ask_within_ms));
        self.judge.attempt(self.now, gateway, host, m, class, &t.sent, counts);
        self.note_both(m, host, || {
            format!("gateway {gateway} sends attempt {number} to host {host}, until {:.1}", ms(until))
        });
        let attempt = self.attempts.insert(attempt);
        if let Some(t) = self.tries.get_mut(key) {
            t.attempts.push(attempt);
            t.sent.push(Sent { at: self.now, may_have_run: true });
            t.out += 1;
        }
        if number >= self.world.gateway.max_attempts {
            self.plan(self.now, Event::Outcome(attempt, Outcome::NotSent, None));
            self.gone_from_host(attempt);
        } else {
            self.plan(until, Event::Outcome(attempt, Outcome::ResponseTimeout, None));
            self.travel(attempt);
        }
        None
    }

    /// Gives an attempt a connection, and puts it on its way.
    fn travel(&mut self, key: AttemptKey) {
        let Some(a) = self.attempts.get_mut(key) else { return };
        let (gateway, host) = (a.gateway as usize, a.host as usize);
        let zone = self.seats[gateway].zone;
        let idle_for = us(self.world.kinds[self.hosts[host].kind].connections.idle_ms);
        let idle = &mut self.seats[gateway].idle[host];
        let way = self.network.between(zone, self.hosts[host].zone);
        if idle.pop_back().is_some_and(|since| since + idle_for > self.now) {
            a.connected = true;
            self.plan(self.now + way, Event::AtHost(key));
            return;
        }
        let life = self.hosts[host].life;
        let failed_at = match life {
            Life::Silent => Some(self.now + us(self.world.gateway.dial_timeout_ms)),
            Life::Dead | Life::Fallen => Some(self.now + 2 * way),
            Life::Up => (!self.hosts[host].connect()).then_some(self.now + 2 * way),
        };
        match failed_at {
            Some(at) => {
                self.plan(at, Event::Outcome(key, Outcome::ConnectFailed, None));
                self.gone_from_host(key);
            }
            None => {
                (a.connected, a.new) = (true, true);
                let trips = self.world.kinds[self.hosts[host].kind].connections.round_trips;
                self.plan(self.now + way * (1 + 2 * Us::from(trips)), Event::AtHost(key));
            }
        }
    }

    /// Its host has nothing to do with an attempt any more.
    fn gone_from_host(&mut self, key: AttemptKey) {
        if let Some(a) = self.attempts.get_mut(key) {
            a.at_host = false;
            if !a.waited_for {
                self.attempts.remove(key);
            }
        }
    }

    /// Its gateway waits for an attempt no more. Its connection is idle then, or closed.
    fn leave_attempt(&mut self, key: AttemptKey, reusable: bool) {
        let Some(a) = self.attempts.get_mut(key) else { return };
        a.waited_for = false;
        let (of, at_host, host, gateway) = (a.of, a.at_host, a.host as usize, a.gateway as usize);
        if std::mem::take(&mut a.connected) {
            if reusable && self.hosts[host].life == Life::Up {
                self.seats[gateway].idle[host].push_back(self.now);
            } else {
                self.hosts[host].connections = self.hosts[host].connections.saturating_sub(1);
            }
        }
        if let Some(t) = self.tries.get_mut(of) {
            t.out -= 1;
        }
        if !at_host {
            self.attempts.remove(key);
        }
        self.forget_try(of);
    }

    /// An outcome reaches the gateway.
    fn outcome(&mut self, key: AttemptKey, outcome: Outcome, load: Option<Load>) {
        let Some(a) = self.attempts.get(key) else { return };
        if !a.waited_for || self.seats[a.gateway as usize].incarnation != a.incarnation {
            return;
        }
        let (of, gateway, host, number, sent_at) = (a.of, a.gateway, a.host, a.number, a.sent_at);
        let (message, given_up) =
            (a.message, matches!(outcome, Outcome::ResponseTimeout | Outcome::Cancelled));
        let served = outcome == Outcome::Served;
        let mut complete = true;
        if let Some(t) = self.tries.get_mut(of) {
            if let Some(sent) = t.sent.get_mut(number as usize) {
                sent.may_have_run = Judge::may_have_run(outcome);
            }
            if served && !t.ended {
                t.ended = true;
                if let Some(a) = self.attempts.get_mut(key) {
                    a.used = true;
                }
                let way = self.network.to_client();
                self.plan(self.now + way, Event::Answer(of, TryEnd::Served));
            }
            complete = self.tries.get(of).is_none_or(|t| t.ended);
        }
        let latency_ms = ms(self.now - sent_at);
        self.note_both(message, host, || {
            format!("gateway {gateway} hears of attempt {number}: {outcome:?} after {latency_ms:.1} ms")
        });
        if let Some(a) = self.attempts.get(key) {
            // What a host has done for nothing, where its answer is not the message's.
            if served && !a.used {
                let work = a.work / 1e6;
                self.judge.bin(self.now).wasted += work;
            }
        }
        if given_up && self.hosts[host as usize].cancel(key.data().as_ffi()) {
            self.gone_from_host(key);
        }
        let reusable = !given_up && !matches!(outcome, Outcome::ConnectionLost | Outcome::NotSent);
        let report = load.map_or_else(LoadReport::default, |l| LoadReport {
            utilization: Some(l.utilization),
            throughput_per_s: Some(l.throughput),
            queue_length: l.backlog,
        });
        // The attempt goes first: the policy may end the try, and send others, in the same instant.
        self.leave_attempt(key, reusable);
        self.feed(
            gateway,
            Heard::AttemptEnd(AttemptEnd {
                request: Self::request(of),
                attempt: number,
                endpoint: EndpointId(host),
                outcome,
                latency_ms,
                request_complete: complete,
                report,
            }),
        );
        self.forget_try(of);
    }

    // ---- hosts ----

    fn plan_host(&mut self, host: u32) {
        let next = self.hosts[host as usize].next();
        if next < self.due[host as usize] || self.due[host as usize] <= self.now {
            self.due[host as usize] = next;
            if next != Us::MAX {
                self.plan(next.max(self.now), Event::HostDue(host));
            }
        }
    }

    fn host_due(&mut self, host: u32) {
        if self.due[host as usize] != self.now {
            return; // Planned before something else came first.
        }
        self.advance(host);
        self.due[host as usize] = Us::MAX;
        self.plan_host(host);
    }

    fn advance(&mut self, host: u32) {
        let mut done = std::mem::take(&mut self.done);
        self.hosts[host as usize].advance(self.now, &mut done);
        for end in done.drain(..) {
            let outcome = if end.good { Outcome::Served } else { Outcome::ServerError };
            let work = end.work / 1e6;
            let bin = self.judge.bin(self.now);
            bin.work += work;
            let key = AttemptKey::from(KeyData::from_ffi(end.id));
            let waited_for = self.attempts.get(key).is_some_and(|a| a.waited_for);
            if !waited_for || !end.good {
                self.judge.bin(self.now).wasted += work;
            }
            self.reply(key, outcome, true);
        }
        self.done = done;
    }

    /// A host is done with an attempt, and says so to the gateway.
    fn reply(&mut self, key: AttemptKey, outcome: Outcome, with_load: bool) {
        let Some(a) = self.attempts.get(key) else { return };
        let (host, gateway, message) = (a.host, a.gateway as usize, a.message);
        let load = if with_load { self.hosts[host as usize].load(self.now) } else { None };
        self.note_both(message, host, || format!("host {host} ends it: {outcome:?}"));
        if self.attempts.get(key).is_some_and(|a| a.waited_for) {
            let way = self.network.between(self.seats[gateway].zone, self.hosts[host as usize].zone);
            self.plan(self.now + way, Event::Outcome(key, outcome, load));
        }
        self.gone_from_host(key);
    }

    fn at_host(&mut self, key: AttemptKey) {
        let Some(a) = self.attempts.get(key) else { return };
        let (host, message) = (a.host, a.message);
        let job = Job {
            id: key.data().as_ffi(),
            work: a.work,
            wait: a.wait,
            key: a.key,
            class: a.class,
            sender: a.gateway,
            handshake: a.new,
        };
        self.advance(host);
        match self.hosts[host as usize].offer(self.now, job) {
            Offer::Taken => {
                let at_hand = self.hosts[host as usize].at_hand();
                self.note_both(message, host, || format!("host {host} takes it, {at_hand} at hand"));
            }
            Offer::TurnedAway => self.reply(key, Outcome::Rejected, true),
            Offer::Refused => self.reply(key, Outcome::ConnectionLost, false),
            Offer::Silent => self.gone_from_host(key),
            Offer::PushedOver { sent, lost } => {
                let started = self.hosts[host as usize].started.unwrap_or(0);
                self.note(Focus::Host(host), || format!("pushed over while cold by {sent:?}"));
                self.judge.pushed_over(self.now, host, started, &sent);
                self.lost(host, lost, true);
                self.reply(key, Outcome::ConnectionLost, false);
                let at = self.now + us(self.world.discovery.notice_ms);
                self.plan(at, Event::Learn(host));
            }
        }
        self.plan_host(host);
    }

    /// Attempts that go down with their host; connections to it are gone, unless nothing is said.
    fn lost(&mut self, host: u32, lost: Vec<u64>, told: bool) {
        for id in lost {
            let key = AttemptKey::from(KeyData::from_ffi(id));
            if told {
                self.reply(key, Outcome::ConnectionLost, false);
            } else {
                self.gone_from_host(key);
            }
        }
        for seat in &mut self.seats {
            seat.idle[host as usize].clear();
        }
        self.due[host as usize] = Us::MAX;
    }

    fn stop_host(&mut self, host: u32, life: Life) {
        if self.gone[host as usize] || self.hosts[host as usize].life != Life::Up {
            return;
        }
        self.note(Focus::Host(host), || format!("stops: {life:?}"));
        self.advance(host);
        let lost = self.hosts[host as usize].stop(self.now, life);
        self.lost(host, lost, life != Life::Silent);
        let d = &self.world.discovery;
        let notice = if life == Life::Silent { d.silent_notice_ms } else { d.notice_ms };
        self.plan(self.now + us(notice), Event::Learn(host));
    }

    fn start_host(&mut self, host: u32, anew: bool) {
        if self.gone[host as usize] || matches!(self.hosts[host as usize].life, Life::Up | Life::Fallen) {
            return;
        }
        self.note(Focus::Host(host), || (if anew { "starts anew" } else { "is reached again" }).into());
        if anew {
            self.hosts[host as usize].start(self.now);
        } else {
            self.hosts[host as usize].resume(self.now);
        }
        self.plan_host(host);
        let notice = us(self.world.discovery.notice_ms);
        self.plan(self.now + notice, Event::Learn(host));
    }

    fn remove_host(&mut self, host: u32) {
        self.stop_host(host, Life::Dead);
        self.gone[host as usize] = true;
    }

    fn add_host(&mut self) {
        let number = self.hosts.len() as u32;
        let mut host = new_host(self.world, self.setup.seed, number, self.now);
        host.start(self.now);
        self.hosts.push(host);
        self.due.push(Us::MAX);
        self.gone.push(false);
        self.draining.push(false);
        self.busy_before.push(0.0);
        self.seats.iter_mut().for_each(|seat| seat.idle.push(VecDeque::new()));
        self.plan_host(number);
        self.plan(self.now + us(self.world.discovery.notice_ms), Event::Learn(number));
    }

    // ---- discovery ----

    /// What is true of a host.
    fn entry(&self, host: u32) -> Entry {
        let h = &self.hosts[host as usize];
        let state = if h.life != Life::Up || self.gone[host as usize] {
            State::Gone
        } else if self.draining[host as usize] {
            State::Draining
        } else {
            State::Serving
        };
        let started = h.started.unwrap_or(0);
        Entry { host, zone: h.zone, cell: h.cell, size: h.told_size, state, started }
    }

    fn deliver(&mut self, deliveries: Vec<Delivery>) {
        for delivery in deliveries {
            let incarnation = self.seats[delivery.gateway].incarnation;
            self.plan(delivery.at, Event::Told(delivery, incarnation));
        }
    }

    fn told(&mut self, delivery: &Delivery, incarnation: u32) {
        let gateway = delivery.gateway as u32;
        let seat = &self.seats[delivery.gateway];
        if seat.incarnation != incarnation || seat.policy.is_none() {
            return;
        }
        if delivery.lost {
            self.feed(gateway, Heard::EndpointUpdate { kind: UpdateKind::WatchLost, endpoints: Vec::new() });
            return;
        }
        let list = self.discovery.take(delivery);
        if list.whole {
            let listed: Vec<u32> = list.entries.iter().map(|e| e.host).collect();
            for host in (0..self.hosts.len() as u32).filter(|h| listed.binary_search(h).is_err()) {
                self.judge.told(self.now, gateway, host, true, 0);
            }
        }
        let kind = if list.whole { UpdateKind::Complete } else { UpdateKind::Delta };
        self.list(gateway, kind, &list.entries);
    }

    fn list(&mut self, gateway: u32, kind: UpdateKind, entries: &[Entry]) {
        let mut members = Vec::with_capacity(entries.len());
        for e in entries {
            self.judge.told(self.now, gateway, e.host, e.state != State::Serving, e.started);
            self.note(Focus::Host(e.host), || format!("gateway {gateway} is told: {:?}", e.state));
            members.push(EndpointRecord {
                endpoint: EndpointId(e.host),
                zone: e.zone,
                cell: e.cell,
                // The same at every gateway, and spread evenly: the golden ratio's multiples.
                hash: u64::from(e.host).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                weight: e.size,
                readiness: match e.state {
                    State::Serving => Readiness::Active,
                    State::Draining => Readiness::Draining,
                    State::Gone => Readiness::Removed,
                },
                started_at_ms: if e.started == 0 { 0.0 } else { Self::clock(e.started) },
            });
        }
        self.feed(gateway, Heard::EndpointUpdate { kind, endpoints: members });
    }

    // ---- what goes wrong ----

    fn act(&mut self, act: Act) -> Result<(), String> {
        match act {
            Act::Stop(host, life) => self.stop_host(host, life),
            Act::Start(host) => self.start_host(host, true),
            Act::Resume(host) => self.start_host(host, false),
            Act::Neighbour(host, part) => {
                self.advance(host);
                self.hosts[host as usize].set_neighbour(self.now, part);
                self.plan_host(host);
            }
            Act::Freeze(host, frozen) => self.hosts[host as usize].freeze(frozen),
            Act::Fail(host, fails) => self.hosts[host as usize].set_failing(fails),
            Act::Gateway(gateway, true) => {
                if self.seats[gateway as usize].policy.is_none() {
                    self.start_gateway(gateway)?;
                }
            }
            Act::Gateway(gateway, false) => self.kill_gateway(gateway),
            Act::DiscoveryDown(down) => {
                let mut out = Vec::new();
                self.discovery.set_down(self.now, down, &mut out);
                self.deliver(out);
            }
            Act::Stale(stale) => self.discovery.set_stale(self.now, stale),
            Act::Replace { drain, abrupt } => {
                let there = |h: &usize| !self.gone[*h] && !self.draining[*h];
                let Some(old) = (self.next_old..self.hosts.len()).find(there) else { return Ok(()) };
                self.next_old = old + 1;
                if abrupt {
                    self.remove_host(old as u32);
                } else {
                    self.draining[old] = true;
                    self.plan(self.now + us(self.world.discovery.notice_ms), Event::Learn(old as u32));
                    self.plan(self.now + drain, Event::Gone(old as u32));
                }
                self.add_host();
            }
            Act::Storm(Some(retries)) => {
                self.clients.retries = retries;
                self.clients.back_off = crate::world::spec::BackOff::None;
                self.clients.heed_most_ms = 0.0;
            }
            Act::Storm(None) => self.clients = self.usual_clients,
        }
        Ok(())
    }

    fn in_flight(&self) -> [usize; 3] {
        [self.messages.len(), self.tries.len(), self.attempts.len()]
    }

    fn sample(&mut self) {
        let in_flight = self.in_flight();
        for (most, now) in self.most.iter_mut().zip(in_flight) {
            *most = now.max(*most);
        }
        let (mut queue, mut slow, mut up, mut busy, mut cores) = (0, 0, 0, 0.0, 0.0);
        for (n, host) in self.hosts.iter_mut().enumerate() {
            let used = host.busy(self.now);
            if host.life == Life::Up {
                queue += host.queue() as u32;
                slow += u32::from(host.is_slow());
                up += 1;
                busy += used - self.busy_before[n];
                cores += f64::from(host.cores());
            }
            self.busy_before[n] = used;
        }
        let bin = self.judge.bin(self.now.saturating_sub(1));
        (bin.queue, bin.slow, bin.up) = (queue, slow, up);
        bin.busy = busy / (cores * SAMPLE as f64).max(1.0);
        for seat in &mut self.seats {
            for (host, idle) in seat.idle.iter_mut().enumerate() {
                let keep = us(self.world.kinds[self.hosts[host].kind].connections.idle_ms);
                while idle.front().is_some_and(|since| since + keep <= self.now) {
                    idle.pop_front();
                    self.hosts[host].connections = self.hosts[host].connections.saturating_sub(1);
                }
            }
        }
        self.plan(self.now + SAMPLE, Event::Sample);
    }
}
