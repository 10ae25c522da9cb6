//! A fleet in virtual time: an origin whose consensus is an oracle (one order, one leader at a time, who learns of its
//! replacement only when it asks for confirmation), machines between, members, and everything that can befall them.
#![allow(dead_code)] // Each test file uses a part of it.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BinaryHeap};
use ternstack_peers::distributor::Distributor;
use ternstack_peers::follower::{Acting, Follower, News, Refused};
use ternstack_peers::lease::Terms;
use ternstack_peers::origin::{Happened, Origin, Proposer};
use ternstack_peers::scope::{Change, Entry, Key, Number, Scope, Version};
use ternstack_peers::store::{Keeps, Store};
use ternstack_peers::tables::Tables;
use ternstack_peers::wire::{Ask, Grant, Member};
use ternstack_rig::history::{Event, What};

/// What is planted: somebody who does wrong.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Planted {
    Nothing,
    /// A member acts on although its lease has run out.
    IgnoresLease,
    /// The leader skips the first step.
    SkipsFirstStep,
    /// A new leader does not wait for the leases of the one before.
    TakesOverAtOnce,
    /// The leader does not wait for who is still on the version before.
    Hurries,
    /// A leader that was replaced goes on granting.
    Unconfirmed,
    /// A machine between hands on leases that are longer than its own.
    HandsOnLonger,
    /// A machine between says what it knows itself, and not what its followers do.
    SpeaksForItself,
    /// A machine between goes on granting after its own lease is over.
    OutlivesLease,
    /// A follower takes the answer to an earlier ask for that to its last.
    TakesEarlier,
    /// Removed entries are left out of pieces.
    SkipsTombstones,
    /// Versions to come that were known before are left out for a scope that is whole only now.
    SkipsPending,
}

/// Who can do or suffer something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    Gateway(usize),
    Between(usize),
}

/// Which way a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Both,
    Asks,
    Answers,
}

/// A message on its way, or a moment of somebody.
#[derive(Clone, Debug)]
pub enum Moment {
    Asks(Who),
    Ask(usize, u64, Ask),        // To the leader of that reign.
    AskBetween(usize, u64, Ask), // To that life of a machine between.
    Grant(Who, u64, u64, Grant), // To that life; with the sender's life.
    Propose(Vec<Vec<Change>>),
    Reign,
    Pause(Who, f64),
    Restart(Who, f64), // Back after so long.
    Cut(Who, Way, f64),
    Move(usize),
    Want(usize, Scope, bool),
    Look,
}

struct Due(f64, u64, Moment);
impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// A process: its life, clock, and what befell it.
#[derive(Clone, Debug)]
pub struct Process {
    pub life: u64,
    pub rate: f64, // Of its clock.
    pub asleep_until: f64,
    pub down_until: f64,
    pub cut_asks_until: f64,
    pub cut_answers_until: f64,
    wakes_at: f64, // To ask.
}

impl Process {
    fn new(rate: f64) -> Self {
        let never = 0.0;
        Process {
            life: 0,
            rate,
            asleep_until: never,
            down_until: never,
            cut_asks_until: never,
            cut_answers_until: never,
            wakes_at: never,
        }
    }
}

pub struct Gateway {
    pub process: Process,
    pub follower: Follower<Tables>,
    pub order: Vec<usize>, // Of machines between; empty where there are none.
    pub at: usize,
    renewed: f64,
    shown: BTreeMap<String, String>,
    leased: bool,
    earlier: Option<Grant>,
}

pub struct Between {
    pub process: Process,
    pub machine: Distributor,
}

/// What was seen of a play.
#[derive(Debug, Default)]
pub struct Seen {
    pub versions: u64,
    pub neutral: u64,
    pub looks: u64,
    pub unknown_at_force: u64,
    pub went_back: u64,
    pub untrue: u64,
    pub anew: u64,
    pub behind: u64,
    pub past: u64,
    pub in_force_ms: f64,
    pub most_bytes_per_s: f64,
}

/// What a play is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    pub terms: Terms,
    pub seed: u64,
    pub members: usize,
    pub between: usize,
    pub length_ms: f64,
    pub loss: f64,
    pub doubled: f64,
    pub delay_ms: f64,
    pub planted: Planted,
    /// Gateways whose time to bring versions into force does not count.
    pub excused: Vec<usize>,
}

pub struct World {
    pub setup: Setup,
    pub rng: ChaCha8Rng,
    pub gateways: Vec<Gateway>,
    pub between: Vec<Between>,
    pub reigns: Vec<(Origin, f64)>,
    pub history: Vec<Event>,
    pub seen: Seen,
    pub about: Vec<(String, Scope, Key)>,
    queue: BinaryHeap<Due>,
    serial: u64,
    truth: BTreeMap<(Scope, Key), Vec<(Number, Option<Entry>)>>,
    proposed: Vec<(f64, u64)>,   // When, and its number in this reign.
    open: BTreeMap<Number, f64>, // Versions not yet in force everywhere, and their first proposal.
}

pub fn tenant(name: &str) -> (Scope, Key) {
    let key = Key::of(name);
    (Scope::of_tenant(key), key)
}

fn member(who: Who, life: u64) -> Member {
    let name = match who {
        Who::Gateway(n) => format!("g{n}"),
        Who::Between(n) => format!("b{n}"),
    };
    Member { name, incarnation: life }
}

impl World {
    /// A fleet with the first version in force; its rng has drawn the clocks of members, in their order.
    pub fn new(setup: Setup, first: Vec<Change>, wants: impl Fn(usize) -> Vec<Scope>) -> World {
        let terms = setup.terms;
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut store = Store::new();
        store.pending(Version { number: 1, changes: first.clone() });
        store.in_force(1);
        let gateways = (0..setup.members).map(|n| {
            let mut follower = Follower::new(terms, member(Who::Gateway(n), 0), Tables::new());
            wants(n).into_iter().for_each(|scope| follower.want(scope, 1.0));
            Gateway {
                process: Process::new(1.0 + rng.random_range(-terms.drift..=terms.drift)),
                follower,
                order: (0..setup.between).map(|m| (n + m) % setup.between).collect(),
                at: 0,
                renewed: 0.0,
                shown: BTreeMap::new(),
                leased: false,
                earlier: None,
            }
        });
        let gateways: Vec<Gateway> = gateways.collect();
        let between = (0..setup.between).map(|n| Between {
            process: Process::new(1.0 + rng.random_range(-terms.drift..=terms.drift)),
            machine: Distributor::new(terms, member(Who::Between(n), 0), 0.0),
        });
        let between = between.collect();
        let mut world = World {
            gateways,
            between,
            reigns: vec![(Origin::new(terms, 0.0, 1, store), 1.0)],
            history: Vec::new(),
            seen: Seen::default(),
            about: Vec::new(),
            queue: BinaryHeap::new(),
            serial: 0,
            truth: BTreeMap::new(),
            proposed: Vec::new(),
            open: BTreeMap::new(),
            rng,
            setup,
        };
        world.note(1, &first);
        world
    }

    pub fn add(&mut self, at: f64, moment: Moment) {
        self.serial += 1;
        self.queue.push(Due(at, self.serial, moment));
    }

    /// Somebody looks whether its ask is due, at that time and no other.
    fn wakes(&mut self, who: Who, at: f64) {
        self.process(who).wakes_at = at;
        self.add(at, Moment::Asks(who));
    }

    /// The first asks of all.
    pub fn begin(&mut self) {
        for n in 0..self.gateways.len() {
            let at = self.rng.random_range(0.0..400.0);
            self.wakes(Who::Gateway(n), at);
        }
        for n in 0..self.between.len() {
            self.wakes(Who::Between(n), 0.0);
        }
        for n in 0..(self.setup.length_ms / 25.0) as u32 {
            self.add(f64::from(n) * 25.0, Moment::Look);
        }
    }

    pub fn process(&mut self, who: Who) -> &mut Process {
        match who {
            Who::Gateway(n) => &mut self.gateways[n].process,
            Who::Between(n) => &mut self.between[n].process,
        }
    }

    fn note(&mut self, number: Number, changes: &[Change]) {
        for c in changes {
            self.truth.entry((c.scope, c.key)).or_default().push((number, c.entry));
        }
    }

    /// What a version says of a key.
    pub fn truth(&self, number: Number, scope: Scope, key: Key) -> Option<Entry> {
        let all = self.truth.get(&(scope, key))?;
        all.iter().rev().find(|(n, _)| *n <= number).and_then(|(_, entry)| *entry)
    }

    /// Plays to the end of its length.
    pub fn run(&mut self) {
        while let Some(Due(now, _, moment)) = self.queue.pop() {
            if now > self.setup.length_ms {
                break;
            }
            let touched = self.happens(now, moment);
            self.second_step(now);
            self.watch(now, touched);
        }
        self.seen.versions = self.reigns[self.reigns.len() - 1].0.store().number();
    }

    /// One moment; the gateway that it touched.
    fn happens(&mut self, now: f64, moment: Moment) -> Option<usize> {
        let terms = self.setup.terms;
        match moment {
            Moment::Asks(who) => self.asks(now, who),
            Moment::Ask(to, _, ask) => {
                let newest = to + 1 == self.reigns.len();
                let planted = self.setup.planted;
                let (origin, rate) = &mut self.reigns[to];
                let local = now * *rate;
                // A majority confirms only the leader of today.
                if newest || planted == Planted::Unconfirmed {
                    origin.confirmed(local);
                }
                if let Some(grant) = origin.asked(local, &ask) {
                    self.answer(now, &ask, 0, grant);
                }
            }
            Moment::AskBetween(to, life, ask) => {
                let b = &mut self.between[to];
                if now < b.process.asleep_until {
                    let wakes = b.process.asleep_until;
                    self.add(wakes, Moment::AskBetween(to, life, ask));
                } else if life == b.process.life && now >= b.process.down_until {
                    let local = now * b.process.rate;
                    if let Some(mut grant) = b.machine.asked(local, &ask) {
                        let lease_us = (terms.lease_ms * 1000.0) as u64;
                        match self.setup.planted {
                            Planted::HandsOnLonger if grant.lease_us > 0 => grant.lease_us = lease_us,
                            Planted::OutlivesLease if grant.lease_us == 0 => grant.lease_us = lease_us,
                            _ => {}
                        }
                        let due = b.machine.next_ask(local) / b.process.rate;
                        self.wakes(Who::Between(to), due.max(now) + 0.001);
                        self.answer(now, &ask, life, grant);
                    }
                }
            }
            Moment::Grant(who, life, from, grant) => return self.granted(now, who, life, from, grant),
            Moment::Propose(all) => {
                let reign = self.reigns.len() - 1;
                for changes in all {
                    let proposer = Proposer { name: "staff".into(), proposed_ms: 0 };
                    let number = self.reigns[reign].0.propose(proposer, changes).expect("it fits");
                    self.proposed.push((now, number));
                }
                let due = self.reigns[reign].0.next_tick().unwrap_or(now) / self.reigns[reign].1;
                self.add(due.max(now) + 0.001, Moment::Look);
            }
            Moment::Reign => {
                let rate = 1.0 + self.rng.random_range(-terms.drift..=terms.drift);
                let begins = if self.setup.planted == Planted::TakesOverAtOnce { -1e9 } else { now * rate };
                let epoch = self.reigns.len() as u64 + 1;
                let store = self.reigns[self.reigns.len() - 1].0.store().clone();
                self.reigns.push((Origin::new(terms, begins, epoch, store), rate));
                self.proposed.clear();
            }
            Moment::Pause(who, for_ms) => self.process(who).asleep_until = now + for_ms,
            Moment::Restart(who, for_ms) => {
                let process = self.process(who);
                process.life += 1;
                process.asleep_until = 0.0;
                process.down_until = now + for_ms;
                let (life, rate) = (process.life, process.rate);
                match who {
                    Who::Gateway(n) => {
                        let g = &mut self.gateways[n];
                        let wanted: Vec<Scope> =
                            g.follower.whole().map(|w| w.0).chain(g.follower.fetching()).collect();
                        g.follower = Follower::new(terms, member(who, life), Tables::new());
                        wanted.into_iter().for_each(|scope| g.follower.want(scope, 1.0));
                        g.earlier = None;
                    }
                    Who::Between(n) => {
                        let back = (now + for_ms) * rate;
                        self.between[n].machine = Distributor::new(terms, member(who, life), back);
                    }
                }
                self.wakes(who, now + for_ms);
                return gateway(who);
            }
            Moment::Cut(who, way, for_ms) => {
                let process = self.process(who);
                if way != Way::Answers {
                    process.cut_asks_until = now + for_ms;
                }
                if way != Way::Asks {
                    process.cut_answers_until = now + for_ms;
                }
            }
            Moment::Move(n) => {
                let g = &mut self.gateways[n];
                g.at = (g.at + 1) % g.order.len().max(1);
                g.follower.moved();
                self.wakes(Who::Gateway(n), now);
            }
            Moment::Want(n, scope, want) => {
                let g = &mut self.gateways[n];
                if want {
                    g.follower.want(scope, 1.0);
                } else {
                    g.follower.forget(scope);
                }
                return Some(n);
            }
            Moment::Look => {}
        }
        None
    }

    fn asks(&mut self, now: f64, who: Who) {
        let (loss, delay_ms) = (self.setup.loss, self.setup.delay_ms);
        let process = self.process(who).clone();
        if now != process.wakes_at {
            return;
        }
        let up = process.asleep_until.max(process.down_until);
        if now < up {
            return self.wakes(who, up);
        }
        let local = now * process.rate;
        let half = self.setup.terms.answer_within_ms();
        let (ask, due) = match who {
            Who::Gateway(n) => {
                let g = &mut self.gateways[n];
                // Who answers without a lease, or not at all, is left for the next.
                if !g.order.is_empty() && local >= g.follower.next_ask() && local > g.renewed + half {
                    g.at = (g.at + 1) % g.order.len();
                    g.renewed = local;
                    g.follower.moved();
                }
                (g.follower.ask(local), g.follower.next_ask())
            }
            Who::Between(n) => {
                let b = &mut self.between[n];
                let mut ask = b.machine.ask(local);
                if let (Some(ask), Planted::SpeaksForItself) = (&mut ask, self.setup.planted) {
                    ask.known = b.machine.follower().known();
                    ask.in_force = b.machine.follower().in_force();
                }
                (ask, b.machine.next_ask(local))
            }
        };
        self.wakes(who, (due / process.rate).max(now) + 0.001);
        let Some(ask) = ask else { return };
        if now < process.cut_asks_until || self.rng.random_bool(loss) {
            return;
        }
        let arrives = now + self.rng.random_range(0.1..delay_ms);
        let to = match who {
            Who::Gateway(n) => self.gateways[n].order.get(self.gateways[n].at).copied(),
            Who::Between(_) => None,
        };
        if let Some(to) = to {
            let life = self.between[to].process.life;
            self.add(arrives, Moment::AskBetween(to, life, ask));
        } else {
            // Some still reach the leader before.
            let reign = self.reigns.len() - 1;
            let to = if reign > 0 && self.rng.random_bool(0.3) { reign - 1 } else { reign };
            self.add(arrives, Moment::Ask(to, 0, ask));
        }
    }

    fn answer(&mut self, now: f64, ask: &Ask, life: u64, mut grant: Grant) {
        let n: usize = ask.member.name[1..].parse().expect("a number");
        let who = if ask.member.name.starts_with('g') { Who::Gateway(n) } else { Who::Between(n) };
        match self.setup.planted {
            Planted::SkipsTombstones => {
                grant.parts.iter_mut().for_each(|part| part.entries.retain(|(_, _, entry)| entry.is_some()));
            }
            Planted::SkipsPending => grant.pending.retain(|version| version.number > ask.known),
            _ => {}
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.setup.doubled));
        for _ in 0..copies {
            if now >= self.process(who).cut_answers_until && !self.rng.random_bool(self.setup.loss) {
                let arrives = now + self.rng.random_range(0.1..self.setup.delay_ms);
                self.add(arrives, Moment::Grant(who, ask.member.incarnation, life, grant.clone()));
            }
        }
    }

    fn granted(&mut self, now: f64, who: Who, life: u64, from: u64, mut grant: Grant) -> Option<usize> {
        let process = self.process(who).clone();
        // What comes while a process stands still waits for it.
        if now < process.asleep_until {
            self.add(process.asleep_until, Moment::Grant(who, life, from, grant));
            return None;
        }
        if life != process.life || now < process.down_until {
            return None;
        }
        let local = now * process.rate;
        let (taken, due) = match who {
            Who::Gateway(n) => {
                let g = &mut self.gateways[n];
                if self.setup.planted == Planted::TakesEarlier {
                    if let Some(earlier) =
                        g.earlier.replace(grant.clone()).filter(|_| self.rng.random_bool(0.5))
                    {
                        grant = Grant { number: grant.number, interest: grant.interest, ..earlier };
                    }
                }
                let leased = grant.lease_us > 0;
                let before = (g.follower.known(), g.follower.in_force());
                let taken = g.follower.granted(local, grant);
                if leased && taken.is_ok() {
                    g.renewed = local;
                }
                let after = (g.follower.known(), g.follower.in_force());
                self.seen.went_back += u64::from(after.0 < before.0 || after.1 < before.1);
                (taken, g.follower.next_ask())
            }
            Who::Between(n) => {
                let b = &mut self.between[n];
                let taken = b.machine.granted(local, grant);
                (taken, b.machine.next_ask(local))
            }
        };
        self.wakes(who, (due / process.rate).max(now) + 0.001);
        match taken {
            Ok(news) => {
                let count = |is: fn(&News) -> bool| news.iter().filter(|n| is(n)).count() as u64;
                self.seen.anew += count(|n| matches!(n, News::Anew(_)));
                self.seen.behind += count(|n| matches!(n, News::Behind(_)));
            }
            Err(Refused::Past { .. }) => self.seen.past += 1,
            Err(_) => {}
        }
        gateway(who)
    }

    /// The leader of today puts versions together and brings them into force.
    fn second_step(&mut self, now: f64) {
        let reign = self.reigns.len() - 1;
        let (origin, rate) = &mut self.reigns[reign];
        let local = now * *rate;
        let mut notes = Vec::new();
        while let Some(Happened::Agreed { version, proposals }) = origin.batch(local) {
            notes.extend(origin.store().pending_since(version - 1).cloned());
            let since = self.proposed.iter().filter(|p| proposals.contains(&p.1)).map(|p| p.0);
            self.open.insert(version, since.fold(f64::INFINITY, f64::min));
            self.proposed.retain(|p| !proposals.contains(&p.1));
        }
        let in_force = origin.store().number();
        let through = origin.store().through();
        let ready = match self.setup.planted {
            Planted::Hurries => {
                let next = in_force + 1;
                (origin.grantor().holders(local).all(|(_, known, _)| known >= next) && through >= next)
                    .then_some(next)
            }
            Planted::SkipsFirstStep => (through > in_force).then_some(in_force + 1),
            _ => origin.ready(local),
        };
        if let Some(next) = ready {
            // As the leader sees it, and as it is.
            let holders = origin.grantor().holders(local);
            let unknown = holders.filter(|(_, known, _)| *known < next).count();
            let truly = self.gateways.iter().filter(|g| {
                let holds = now * g.process.rate < g.follower.lease_until();
                holds && (g.follower.known() < next || g.follower.in_force() < in_force)
            });
            self.seen.unknown_at_force += (unknown + truly.count()) as u64;
            origin.in_force(next);
        }
        notes.into_iter().for_each(|v| self.note(v.number, &v.changes));
    }

    /// What everybody acts on, as it changes.
    fn watch(&mut self, now: f64, touched: Option<usize>) {
        for n in 0..self.gateways.len() {
            let g = &self.gateways[n];
            let up = now >= g.process.asleep_until.max(g.process.down_until);
            let local = now * g.process.rate;
            let leased = up && local < g.follower.lease_until();
            if up {
                self.seen.looks += 1;
                let neutral = self
                    .about
                    .first()
                    .is_some_and(|about| !matches!(g.follower.acting(local, about.1), Acting::Agreed(_)));
                self.seen.neutral += u64::from(neutral);
            }
            if leased == g.leased && touched != Some(n) && self.setup.planted != Planted::IgnoresLease {
                continue;
            }
            let shows = self.shows(n, local, up);
            let g = &mut self.gateways[n];
            g.leased = leased;
            let before = std::mem::replace(&mut g.shown, shows);
            let at_us = (now * 1000.0) as u64;
            let gone = before.keys().filter(|about| !g.shown.contains_key(*about)).map(|about| (about, None));
            let new = g.shown.iter().filter(|(about, rule)| before.get(*about) != Some(rule));
            for (about, rule) in gone.chain(new.map(|(about, rule)| (about, Some(rule.clone())))) {
                let what = What::Acts { gateway: n, about: about.clone(), rule };
                self.history.push(Event { at_us, what });
            }
        }
        let counted = self.gateways.iter().enumerate().filter(|(n, _)| !self.setup.excused.contains(n));
        let least = counted.map(|(_, g)| if g.leased { g.follower.in_force() } else { 0 }).min().unwrap_or(0);
        while let Some(first) = self.open.first_entry().filter(|first| *first.key() <= least) {
            self.seen.in_force_ms = self.seen.in_force_ms.max(now - first.remove());
        }
    }

    /// What a gateway acts on: the version itself, and each entry that is watched.
    fn shows(&mut self, n: usize, local: f64, up: bool) -> BTreeMap<String, String> {
        let mut shows = BTreeMap::new();
        if !up {
            return shows;
        }
        let ignores = self.setup.planted == Planted::IgnoresLease;
        for (name, scope, key) in &self.about {
            let follower = &self.gateways[n].follower;
            match follower.acting(local, *scope) {
                Acting::Agreed(number) => {
                    let entry = follower.entry(local, *scope, *key);
                    self.seen.untrue += u64::from(entry != self.truth(number, *scope, *key));
                    shows.insert(name.clone(), format!("{entry:?}"));
                    shows.insert("the version".into(), number.to_string());
                }
                Acting::Neutral if ignores && follower.in_force() > 0 => {
                    shows.insert("the version".into(), follower.in_force().to_string());
                }
                _ => {}
            }
        }
        shows
    }

    /// What is not as it has to be after a quiet time: all hold leases, act on the last version, and have what the origin has.
    pub fn unsettled(&self) -> Vec<String> {
        let origin = self.reigns[self.reigns.len() - 1].0.store();
        let mut faults = Vec::new();
        for (n, g) in self.gateways.iter().enumerate() {
            let f = &g.follower;
            if !g.leased || f.in_force() != origin.number() || !f.is_complete() {
                faults.push(format!(
                    "g{n}: leased {}, in force {} of {}, fetches {:?}",
                    g.leased,
                    f.in_force(),
                    origin.number(),
                    f.fetching().collect::<Vec<_>>()
                ));
            }
            for (scope, _) in f.whole().filter(|w| f.keeps().digest(w.0) != origin.digest(w.0)) {
                faults.push(format!("g{n}: another digest of {scope:?}"));
            }
        }
        for (n, b) in self.between.iter().enumerate() {
            if b.machine.store().sum() != origin.sum() {
                faults.push(format!("b{n}: another sum"));
            }
            if let Err(what) = b.machine.store().check() {
                faults.push(format!("b{n}: {what}"));
            }
        }
        faults
    }
}

fn gateway(who: Who) -> Option<usize> {
    match who {
        Who::Gateway(n) => Some(n),
        Who::Between(_) => None,
    }
}
