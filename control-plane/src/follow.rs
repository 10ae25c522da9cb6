//! A gateway's end: one task that owns a [`Follower`], the same in real gateways and in hollow ones, hundreds of which share
//! a process.
use crate::asking::{lock, Line};
use crate::beside::{read, save};
use crate::choice::Choice;
use crate::clock::Clock;
use crate::frames::Counter;
use crate::serve::seed;
use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use ternstack_replication::follower::{Follower, FollowerEvent, ScopeMode};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::placement;
use ternstack_replication::scope::{Entry, Key, Revision, Scope};
use ternstack_replication::tables::Tables;
use ternstack_replication::wire::{Member, Traffic};
use tokio::sync::Notify;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, sleep_until};
use tracing::warn;

/// A control machine that a gateway may call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
}

/// The snapshot beside a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Beside {
    /// The file.
    pub path: PathBuf,
    /// It is written at most this often, and only if something has changed.
    pub every: Duration,
    /// Whether a thread of its own waits for the disk: yes beside traffic, no where hundreds of followers share a process.
    pub thread: bool,
}

/// What a gateway's end is told at its start.
#[derive(Clone, Debug)]
pub struct Follow {
    /// Who it is. Each start has another incarnation.
    pub member: Member,
    /// Its zone.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// The machines that it may call, in any order.
    pub machines: Vec<Machine>,
    /// The figures of the agreement, the same at all members.
    pub terms: LeaseConfig,
    /// Where its snapshot is, if it keeps one.
    pub beside: Option<Beside>,
    /// The scopes that it wants from the start on, with their heat: the hottest come first.
    pub wanted: Vec<(Scope, f64)>,
}

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The core's news, from an answer.
    News(FollowerEvent),
    /// It holds a lease, and held none.
    Leased,
    /// Its lease has run out: the neutral rules hold.
    LeaseLost,
}

/// A gateway's end. It runs for as long as the future of its `run` is polled.
pub struct Following {
    name: String,
    core: Mutex<Follower<Tables>>,
    clock: Clock,
    counter: Counter,
    wake: Notify,
    machines: Vec<SocketAddr>,
    order: Vec<usize>,
    terms: LeaseConfig,
    beside: Option<Beside>,
    connected: AtomicUsize, // The machine, or NONE.
    moves: AtomicU64,
}

const NONE: usize = usize::MAX;

impl Following {
    /// Reads the snapshot, if there is one to read: a broken one is logged, and left unused. It waits for the disk.
    pub fn new(follow: Follow) -> Arc<Self> {
        let Follow { member, zone, region, machines, terms, beside, wanted } = follow;
        let name = member.name.clone();
        let kept = beside.as_ref().and_then(|beside| match read(&beside.path) {
            Ok(kept) => kept,
            Err(why) => {
                let path = beside.path.display();
                warn!(name, %path, "the snapshot is not used, and all is fetched anew: {why}");
                None
            }
        });
        let mut core = match kept {
            Some(kept) => Follower::restore(terms, member, kept),
            None => Follower::new(terms, member, Tables::new()),
        };
        wanted.into_iter().for_each(|(scope, heat)| core.subscribe(scope, heat));
        let places: Vec<placement::ReplicaLocation> = machines
            .iter()
            .map(|m| placement::ReplicaLocation {
                name: m.name.clone(),
                zone: m.zone.clone(),
                region: m.region.clone(),
            })
            .collect();
        Arc::new(Following {
            order: placement::preference_order(&name, &zone, &region, &places),
            name,
            core: Mutex::new(core),
            clock: Clock::start(),
            counter: Counter::default(),
            wake: Notify::new(),
            machines: machines.iter().map(|m| m.address).collect(),
            terms,
            beside,
            connected: AtomicUsize::new(NONE),
            moves: AtomicU64::new(0),
        })
    }

    /// Follows, for as long as it is polled. `tell` hears what happens and when, in ms of the clock; it must not wait, nor
    /// ask this for anything: it may wake who does.
    pub async fn run(&self, tell: impl FnMut(f64, Told) + Send) -> Infallible {
        let teller = Mutex::new(Teller { tell, leased: false });
        let begins = Notify::new();
        let line = Line {
            name: &self.name,
            core: &self.core,
            clock: self.clock,
            machines: &self.machines,
            counter: &self.counter,
            wake: &self.wake,
            look_ms: f64::INFINITY,
            dial: Duration::from_secs_f64(self.terms.response_timeout_ms() / 2000.0),
        };
        let choice = Choice::new(self.order.clone(), self.terms.response_timeout_ms(), seed(&self.name));
        let called = |machine: Option<usize>| {
            self.connected.store(machine.unwrap_or(NONE), Relaxed);
            self.moves.fetch_add(u64::from(machine.is_some()), Relaxed);
        };
        let news = |now: f64, news: Vec<FollowerEvent>| {
            let leased = now < lock(&self.core).lease_until();
            let mut teller = lock(&teller);
            if teller.lease(now, leased) && leased {
                begins.notify_one();
            }
            news.into_iter().for_each(|news| (teller.tell)(now, Told::News(news)));
        };
        tokio::select! {
            never = line.run(choice, called, news) => never,
            never = self.watch_lease(&teller, &begins) => never,
            never = self.keep() => never,
        }
    }

    /// Tells that a lease has run out at the moment it does.
    async fn watch_lease<F: FnMut(f64, Told)>(
        &self, teller: &Mutex<Teller<F>>, leased: &Notify,
    ) -> Infallible {
        loop {
            let (now, until) = (self.clock.now(), lock(&self.core).lease_until());
            if now < until {
                sleep_until(self.clock.at(until)).await;
            } else {
                lock(teller).lease(now, false);
                leased.notified().await;
            }
        }
    }

    /// Writes the snapshot from time to time.
    async fn keep(&self) -> Infallible {
        let Some(beside) = &self.beside else { return pending().await };
        let mut saved = None;
        loop {
            sleep(beside.every).await;
            let now = self.with(|core, _| (core.in_force(), core.complete_scopes().count()));
            if saved == Some(now) || now.0 == 0 {
                continue;
            }
            match self.save().await {
                Ok(()) => saved = Some(now),
                Err(why) => warn!(name = self.name, "the snapshot could not be written: {why}"),
            }
        }
    }

    /// Writes the snapshot now, if it keeps one.
    pub async fn save(&self) -> Result<(), String> {
        let Some(beside) = &self.beside else { return Ok(()) };
        let kept = self.with(|core, _| core.snapshot());
        if !beside.thread {
            return save(&beside.path, &kept);
        }
        let path = beside.path.clone();
        let saving = spawn_blocking(move || save(&path, &kept));
        saving.await.unwrap_or_else(|e| Err(e.to_string()))
    }

    /// A request needs a scope, which is so hot.
    pub fn want(&self, scope: Scope, heat: f64) {
        lock(&self.core).subscribe(scope, heat);
        self.wake.notify_one();
    }

    /// A scope is needed no more.
    pub fn forget(&self, scope: Scope) {
        lock(&self.core).unsubscribe(scope);
    }

    /// The member's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What to act by in a scope, now.
    pub fn acting(&self, scope: Scope) -> ScopeMode {
        self.with(|core, now| core.scope_mode(now, scope))
    }

    /// What holds under a key, now.
    pub fn entry(&self, scope: Scope, key: Key) -> Option<Entry> {
        self.with(|core, now| core.entry(now, scope, key))
    }

    /// The version that came into force last here.
    pub fn in_force(&self) -> Revision {
        lock(&self.core).in_force()
    }

    /// Whether it holds a lease, now.
    pub fn is_leased(&self) -> bool {
        self.with(|core, now| now < core.lease_until())
    }

    /// Reads of the core, at now in ms of its clock. It must not wait in there.
    pub fn with<R>(&self, read: impl FnOnce(&Follower<Tables>, f64) -> R) -> R {
        read(&lock(&self.core), self.clock.now())
    }

    /// Its clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Messages and bytes so far, in both directions.
    pub fn counts(&self) -> Traffic {
        self.counter.counts()
    }

    /// The machine that it is connected to, as it stands in [`Follow::machines`].
    pub fn connected(&self) -> Option<usize> {
        Some(self.connected.load(Relaxed)).filter(|n| *n != NONE)
    }

    /// How many connections it has made to machines.
    pub fn moves(&self) -> u64 {
        self.moves.load(Relaxed)
    }
}

struct Teller<F> {
    tell: F,
    leased: bool,
}

impl<F: FnMut(f64, Told)> Teller<F> {
    /// Whether that is new.
    fn lease(&mut self, now: f64, leased: bool) -> bool {
        let new = std::mem::replace(&mut self.leased, leased) != leased;
        if new {
            (self.tell)(now, if leased { Told::Leased } else { Told::LeaseLost });
        }
        new
    }
}
