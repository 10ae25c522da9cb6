//! Hosts: cores, slots and a bounded waiting room; slow start; crowding; neighbours; pauses; memory of keys;
//! connections; load reports.
use super::cores::Cores;
use super::draw::{spread, stream, Purpose};
use super::spec::{Crowding, Kind, WarmBy};
use super::{us, Us};
use lru::LruCache;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::num::NonZeroUsize;

/// An attempt as a host sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Its number, as the driver gave it.
    pub id: u64,
    /// Work on a standard core, in microseconds, without what the host remembers.
    pub work: f64,
    /// For how long it then waits on others.
    pub wait: Us,
    /// What it concerns.
    pub key: u32,
    /// Its class.
    pub class: usize,
    /// The gateway that sent it.
    pub sender: u32,
    /// It came on a new connection, whose handshake costs work.
    pub handshake: bool,
}

/// An attempt that a host has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Done {
    /// The attempt.
    pub id: u64,
    /// False if it ends as an error.
    pub good: bool,
    /// Work that went into it, on a standard core, in microseconds.
    pub work: f64,
}

/// What becomes of an attempt at its arrival.
#[derive(Clone, Debug, PartialEq)]
pub enum Offer {
    /// It is worked on, or waits.
    Taken,
    /// Turned away unseen.
    TurnedAway,
    /// Nobody is there: the process has ended.
    Refused,
    /// Nothing is said, now or ever.
    Silent,
    /// It pushed the cold host over, which is down now: the work that each gateway sent in the last while, and
    /// the attempts that went down with it.
    PushedOver {
        /// Gateway and work, in standard microseconds.
        sent: Vec<(u32, f64)>,
        /// Attempts at hand.
        lost: Vec<u64>,
    },
}

/// Whether a host's process answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It runs.
    Up,
    /// Its process has ended: connections to it are refused.
    Dead,
    /// Its machine is cut off: nothing is said.
    Silent,
    /// Pushed over while cold: it stays down.
    Fallen,
}

/// What a host tells of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Part of its cores in use.
    pub utilization: f64,
    /// Attempts served a second.
    pub throughput: f64,
    /// Attempts that wait, where it tells.
    pub backlog: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct Work {
    id: u64,
    class: usize,
    wait: Us,
    work: f64,
}

/// A host.
#[derive(Debug)]
pub struct Host {
    /// The number of its zone.
    pub zone: u32,
    /// The number of its cell.
    pub cell: u32,
    /// Its kind, by number.
    pub kind: usize,
    /// Whether it answers.
    pub life: Life,
    /// When its process started; `None` for long ago.
    pub started: Option<Us>,
    /// Speed of a core, when warm and alone.
    pub speed: f64,
    /// What its size is told as.
    pub told_size: f64,
    /// Open connections.
    pub connections: u32,
    cores: u32,
    slots: usize,
    room: usize,
    error_part: f64,
    cold_share: f64,
    warm: Us,
    warm_by: WarmBy,
    fall_multiple: f64,
    fall: Us,
    spec: Kind,
    rng: ChaCha8Rng,
    cpu: Cores<Work>,
    waiting: VecDeque<Work>,
    away: BinaryHeap<Reverse<(Us, u64, usize, u64)>>, // Waits on others: until, attempt, class, work done.
    held: usize,
    memory: Option<LruCache<u32, Us>>,
    recent: VecDeque<(Us, f64, u32)>, // Work sent while cold.
    recent_sum: f64,
    neighbour: f64,
    pause: (Us, Us), // The next pause, or the present one: from, to.
    paused: bool,
    crowded_since: Option<Us>,
    slow_since: Option<Us>,
    rest: VecDeque<(Us, f64)>, // Busy core time, tick by tick, while slow.
    tick_at: Us,
    served: u64,
    taken: (Us, f64, u64), // When the last figures were taken, and what stood then.
    pending: VecDeque<(Us, Load)>,
    load: Option<Load>,
    frozen: bool,
    done_at_start: f64,
    fails: Option<(usize, f64)>,
}

impl Host {
    /// A host of a kind, which has run for long.
    pub fn new(kind: usize, spec: &Kind, seed: u64, number: u32, place: (u32, u32), now: Us) -> Self {
        let mut rng = stream(seed, Purpose::Host, u64::from(number));
        let speed = spec.speed.draw(&mut rng);
        let first_tick = now + (us(spec.report.period_ms) as f64 * rng.random::<f64>()) as Us;
        let memory = spec
            .memory
            .map(|m| LruCache::new(NonZeroUsize::new(m.keys as usize).unwrap_or(NonZeroUsize::MIN)));
        let mut host = Host {
            zone: place.0,
            cell: place.1,
            kind,
            life: Life::Up,
            started: None,
            speed,
            told_size: speed * f64::from(spec.cores),
            connections: 0,
            cores: spec.cores,
            slots: spec.slots.draw(&mut rng).round() as usize,
            room: spec.room.draw(&mut rng).round() as usize,
            error_part: spec.error_part.draw(&mut rng),
            cold_share: spec.cold.share.draw(&mut rng),
            warm: us(spec.cold.warm_ms.draw(&mut rng)),
            warm_by: spec.cold.by,
            fall_multiple: spec.cold.fall_multiple,
            fall: us(spec.cold.fall_ms),
            spec: spec.clone(),
            cpu: Cores::new(spec.cores, speed, now),
            waiting: VecDeque::new(),
            away: BinaryHeap::new(),
            held: 0,
            memory,
            recent: VecDeque::new(),
            recent_sum: 0.0,
            neighbour: 0.0,
            pause: (Us::MAX, Us::MAX),
            paused: false,
            crowded_since: None,
            slow_since: None,
            rest: VecDeque::new(),
            tick_at: first_tick,
            served: 0,
            taken: (now, 0.0, 0),
            pending: VecDeque::new(),
            load: None,
            frozen: false,
            done_at_start: 0.0,
            fails: None,
            rng,
        };
        host.plan_pause(now);
        host
    }

    fn plan_pause(&mut self, now: Us) {
        self.paused = false;
        if let Some(p) = self.spec.pause {
            let every: f64 = Exp1.sample(&mut self.rng);
            let length: f64 = Exp1.sample(&mut self.rng);
            let from = now + us(p.every_ms * every).max(1);
            self.pause = (from, from + us(p.length_ms * length));
        }
    }

    /// What it can do when warm and alone, in standard microseconds of work a microsecond.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed
    }

    /// The part of that which it can do now, by its age and work.
    pub fn warmth(&mut self, now: Us) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let by_time = now.saturating_sub(started) as f64 / self.warm.max(1) as f64;
        let by_work = match self.warm_by {
            WarmBy::Time => 0.0,
            // As much as it does at a quarter of its capacity in that time: a busy host warms sooner.
            WarmBy::Work => {
                let done = self.cpu.done(now) - self.done_at_start;
                done / (0.25 * self.capacity() * self.warm.max(1) as f64)
            }
        };
        self.cold_share + (1.0 - self.cold_share) * by_time.max(by_work).min(1.0)
    }

    /// True while crowding has slowed it down.
    pub fn is_slow(&self) -> bool {
        self.slow_since.is_some()
    }

    /// Attempts that wait for a slot or a core.
    pub fn queue(&self) -> usize {
        self.waiting.len() + self.cpu.len().saturating_sub(self.cores as usize)
    }

    /// Attempts at hand, those that wait on others included.
    pub fn at_hand(&self) -> usize {
        self.waiting.len() + self.held
    }

    /// Core time in use until now, in microseconds.
    pub fn busy(&mut self, now: Us) -> f64 {
        self.cpu.busy(now)
    }

    /// Cores.
    pub fn cores(&self) -> u32 {
        self.cores
    }

    fn set_speed(&mut self, now: Us) {
        let crowd = match (self.slow_since, self.spec.crowding) {
            (Some(_), Some(c)) => 1.0 / c.slower,
            _ => 1.0,
        };
        let warmth = self.warmth(now);
        let speed = if self.paused { 0.0 } else { self.speed * warmth * (1.0 - self.neighbour) * crowd };
        self.cpu.set_speed(now, speed);
    }

    /// Another program takes this part of the machine from now on.
    pub fn set_neighbour(&mut self, now: Us, part: f64) {
        self.neighbour = part;
        self.set_speed(now);
    }

    /// Its reports stay as they are, or go on.
    pub fn freeze(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    /// It fails this part of a class from now on.
    pub fn set_failing(&mut self, fails: Option<(usize, f64)>) {
        self.fails = fails;
    }

    /// Its process ends, or its machine is cut off. Tells what was at hand.
    pub fn stop(&mut self, now: Us, life: Life) -> Vec<u64> {
        let mut lost: Vec<u64> = self.cpu.clear(now).into_iter().map(|w| w.id).collect();
        lost.extend(self.waiting.drain(..).map(|w| w.id));
        lost.extend(
            std::mem::take(&mut self.away).into_sorted_vec().into_iter().map(|Reverse((_, id, ..))| id),
        );
        self.held = 0;
        self.life = life;
        self.connections = 0;
        self.load = None;
        self.pending.clear();
        lost
    }

    /// Its process starts anew, cold and with nothing remembered.
    pub fn start(&mut self, now: Us) {
        self.life = Life::Up;
        self.started = Some(now);
        self.done_at_start = self.cpu.done(now);
        self.recent.clear();
        self.recent_sum = 0.0;
        (self.slow_since, self.crowded_since) = (None, None);
        if let Some(memory) = &mut self.memory {
            memory.clear();
        }
        self.taken = (now, self.cpu.busy(now), self.served);
        self.tick_at = now + us(self.spec.report.period_ms);
        self.plan_pause(now);
        self.set_speed(now);
    }

    /// The same process is reached again.
    pub fn resume(&mut self, now: Us) {
        self.life = Life::Up;
        self.tick_at = now + us(self.spec.report.period_ms);
        self.set_speed(now);
    }

    /// Work that this job costs, by what is remembered, and remembers it.
    fn work_of(&mut self, now: Us, job: &Job) -> f64 {
        let mut work = job.work;
        if let (Some(memory), Some(spec)) = (&mut self.memory, self.spec.memory) {
            let known = memory.get(&job.key).is_some_and(|at| now.saturating_sub(*at) <= us(spec.keep_ms));
            if known {
                work *= 1.0 - spec.saves;
            }
            memory.put(job.key, now);
        }
        work + if job.handshake { self.spec.connections.handshake_ms * 1000.0 } else { 0.0 }
    }

    /// Counts work against what a cold host can bear; true if that pushes it over.
    fn pushed_over(&mut self, now: Us, work: f64, sender: u32) -> bool {
        if self.fall_multiple <= 0.0 {
            return false;
        }
        let warmth = self.warmth(now);
        if warmth >= 1.0 {
            self.recent.clear();
            self.recent_sum = 0.0;
            return false;
        }
        self.recent.push_back((now, work, sender));
        self.recent_sum += work;
        while let Some(&(at, old, _)) = self.recent.front() {
            if at + self.fall > now {
                break;
            }
            self.recent_sum -= old;
            self.recent.pop_front();
        }
        // Chance alone must not push a host over: a tenth, and the longest job, are slack.
        let longest = self.recent.iter().map(|r| r.1).fold(0.0, f64::max);
        let budget = self.fall_multiple * self.capacity() * warmth * self.fall as f64;
        self.recent_sum > 1.1 * budget + longest
    }

    /// An attempt's last byte arrives.
    pub fn offer(&mut self, now: Us, job: Job) -> Offer {
        match self.life {
            Life::Up => {}
            Life::Dead | Life::Fallen => return Offer::Refused,
            Life::Silent => return Offer::Silent,
        }
        self.set_speed(now);
        if self.pushed_over(now, job.work, job.sender) {
            let mut sent: Vec<(u32, f64)> = Vec::new();
            for &(_, work, sender) in &self.recent {
                match sent.iter_mut().find(|s| s.0 == sender) {
                    Some(s) => s.1 += work,
                    None => sent.push((sender, work)),
                }
            }
            let lost = self.stop(now, Life::Fallen);
            return Offer::PushedOver { sent, lost };
        }
        if self.held >= self.slots && self.waiting.len() >= self.room {
            return Offer::TurnedAway;
        }
        let work = self.work_of(now, &job);
        let work = Work { id: job.id, class: job.class, wait: job.wait, work };
        if self.held < self.slots {
            self.held += 1;
            self.run(now, work);
        } else {
            self.waiting.push_back(work);
        }
        Offer::Taken
    }

    fn run(&mut self, now: Us, work: Work) {
        self.cpu.start(now, work.work, work);
    }

    /// An attempt that nobody waits for any more is dropped, if it still waits and the host does that.
    pub fn cancel(&mut self, id: u64) -> bool {
        if !self.spec.cancel_stops_waiting {
            return false;
        }
        let before = self.waiting.len();
        self.waiting.retain(|w| w.id != id);
        self.waiting.len() < before
    }

    /// When [`advance`](Self::advance) is due.
    pub fn next(&self) -> Us {
        if self.life != Life::Up {
            return Us::MAX;
        }
        let away = self.away.peek().map_or(Us::MAX, |Reverse(a)| a.0);
        let pause = if self.paused { self.pause.1 } else { self.pause.0 };
        self.cpu.next().unwrap_or(Us::MAX).min(away).min(self.tick_at).min(pause)
    }

    /// Plays what has become due by now; appends the attempts that have ended.
    pub fn advance(&mut self, now: Us, done: &mut Vec<Done>) {
        if self.life != Life::Up {
            return;
        }
        while let Some(work) = self.cpu.finished(now) {
            if work.wait > 0 {
                self.away.push(Reverse((now + work.wait, work.id, work.class, work.work as u64)));
            } else {
                self.end(now, work.id, work.class, work.work, done);
            }
        }
        while self.away.peek().is_some_and(|Reverse(a)| a.0 <= now) {
            if let Some(Reverse((_, id, class, work))) = self.away.pop() {
                self.end(now, id, class, work as f64, done);
            }
        }
        if self.paused && self.pause.1 <= now {
            self.plan_pause(now);
            self.set_speed(now);
        } else if !self.paused && self.pause.0 <= now {
            self.paused = true;
            self.set_speed(now);
        }
        if self.tick_at <= now {
            self.tick(now);
        }
    }

    /// Looks after reports, crowding and warmth.
    fn tick(&mut self, now: Us) {
        self.tick_at = now + us(self.spec.report.period_ms);
        let busy = self.cpu.busy(now);
        if let Some(c) = self.spec.crowding {
            self.look_at_crowding(now, busy, &c);
        }
        self.set_speed(now);
        self.show_pending(now);
        let spec = self.spec.report;
        let passed = now.saturating_sub(self.taken.0) as f64;
        if spec.on && !self.frozen && passed > 0.0 {
            let used = (busy - self.taken.1) / (passed * f64::from(self.cores));
            let served = (self.served - self.taken.2) as f64 * 1e6 / passed;
            let backlog = spec.backlog.then_some(self.queue() as f64);
            let utilization = (used * spread(spec.noise, &mut self.rng)).min(1.0);
            let throughput = served * spread(spec.noise, &mut self.rng);
            self.pending.push_back((now + us(spec.delay_ms), Load { utilization, throughput, backlog }));
        }
        self.taken = (now, busy, self.served);
    }

    fn look_at_crowding(&mut self, now: Us, busy: f64, c: &Crowding) {
        if let Some(since) = self.slow_since {
            self.rest.push_back((now, busy));
            // The window begins with the last sample that is no younger than its length.
            while self.rest.get(1).is_some_and(|(at, _)| at + us(c.rest_ms) <= now) {
                self.rest.pop_front();
            }
            let rested = self.rest.front().is_some_and(|&(at, then)| {
                let length = now.saturating_sub(at);
                let part = (busy - then) / (length.max(1) as f64 * f64::from(self.cores));
                length >= us(c.rest_ms) && part < c.below
            });
            if rested || now.saturating_sub(since) >= us(c.most_ms) {
                (self.slow_since, self.crowded_since) = (None, None);
                self.rest.clear();
            }
            return;
        }
        let at_hand = (self.waiting.len() + self.cpu.len()) as f64;
        if at_hand <= c.at * f64::from(self.cores) {
            self.crowded_since = None;
        } else if now.saturating_sub(*self.crowded_since.get_or_insert(now)) >= us(c.over_ms) {
            self.slow_since = Some(now);
            self.rest = VecDeque::from([(now, busy)]);
        }
    }

    fn show_pending(&mut self, now: Us) {
        while let Some((_, load)) = self.pending.pop_front_if(|(at, _)| *at <= now) {
            self.load = Some(load);
        }
    }

    /// What an answer of now tells of the load.
    pub fn load(&mut self, now: Us) -> Option<Load> {
        self.show_pending(now);
        self.load
    }

    /// Whether one more connection is accepted, and counts it.
    pub fn connect(&mut self) -> bool {
        let room = self.connections < self.spec.connections.most;
        self.connections += u32::from(room);
        room
    }

    fn end(&mut self, now: Us, id: u64, class: usize, work: f64, done: &mut Vec<Done>) {
        self.held -= 1;
        if let Some(next) = self.waiting.pop_front() {
            self.held += 1;
            self.run(now, next);
        }
        let fails = self.fails.filter(|f| f.0 == class).map_or(self.error_part, |f| f.1);
        let good = fails <= 0.0 || self.rng.random::<f64>() >= fails;
        self.served += u64::from(good);
        done.push(Done { id, good, work });
    }
}
