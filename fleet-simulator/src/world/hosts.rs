//! Hosts: cores, concurrency slots and a bounded queue; slow start; degradation under overload; noisy
//! neighbours; pauses; a cache of keys; connections; load reports.
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

/// An attempt as the host sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostAttempt {
    /// Identifier that the simulation assigned to the attempt.
    pub id: u64,
    /// Work on a standard core, in microseconds, before savings by the host's cache.
    pub work: f64,
    /// Time that the attempt then waits on other systems, without using a core.
    pub wait: Us,
    /// Cache key.
    pub key: u32,
    /// Index of the class.
    pub class: usize,
    /// Index of the gateway that sent the attempt.
    pub sender: u32,
    /// Whether the attempt came on a new connection, whose handshake costs work.
    pub handshake: bool,
}

/// A completed attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completion {
    /// Identifier of the attempt.
    pub id: u64,
    /// Whether the attempt was served; `false` for a server error.
    pub served: bool,
    /// Work spent on the attempt, in standard microseconds.
    pub work: f64,
}

/// Response of a host to an arriving attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferResult {
    /// The attempt runs or is queued.
    Accepted,
    /// The queue is full; the attempt was not processed.
    Rejected,
    /// The process has ended; the connection is refused.
    ConnectionRefused,
    /// The host is unreachable and never responds.
    NoResponse,
    /// The attempt overloaded the cold host, which is down now.
    ColdOverload {
        /// Index of each gateway and the work that it sent within the overload window, in standard
        /// microseconds.
        sent: Vec<(u32, f64)>,
        /// Identifiers of the attempts that were lost with the host.
        lost: Vec<u64>,
    },
}

/// State of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// The process runs.
    Up,
    /// The process has ended; connections are refused.
    Dead,
    /// The machine is unreachable; nothing is answered.
    Silent,
    /// The host was overloaded while cold and stays down.
    Fallen,
}

/// Content of a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostLoad {
    /// Share of the cores in use, from 0 to 1.
    pub utilization: f64,
    /// Attempts served per second.
    pub throughput: f64,
    /// Number of queued attempts, if the host reports them.
    pub queue_length: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct Task {
    id: u64,
    class: usize,
    wait: Us,
    work: f64,
}

/// State of a host.
#[derive(Debug)]
pub struct Host {
    /// Number of the zone.
    pub zone: u32,
    /// Number of the cell.
    pub cell: u32,
    /// Index of the kind.
    pub kind: usize,
    /// State of the process.
    pub status: HostStatus,
    /// Start time of the process; `None` if it has run since before the start of the run.
    pub started: Option<Us>,
    /// Speed of a core of a warm host without neighbours; 1 is standard.
    pub speed: f64,
    /// Weight listed by discovery.
    pub listed_weight: f64,
    /// Number of open connections.
    pub connections: u32,
    cores: u32,
    slots: usize,
    queue_limit: usize,
    error_part: f64,
    initial_share: f64,
    warm_up: Us,
    warm_by: WarmBy,
    overload_multiple: f64,
    overload_window: Us,
    spec: Kind,
    rng: ChaCha8Rng,
    cpu: Cores<Task>,
    waiting: VecDeque<Task>,
    /// Attempts that wait on other systems: end of the wait, attempt, class, work done.
    external_waits: BinaryHeap<Reverse<(Us, u64, usize, u64)>>,
    running_count: usize,
    memory: Option<LruCache<u32, Us>>,
    /// Work received while cold: time, standard microseconds, gateway.
    cold_work: VecDeque<(Us, f64, u32)>,
    cold_work_sum: f64,
    neighbour: f64,
    /// Start and end of the current or next pause.
    pause: (Us, Us),
    paused: bool,
    overloaded_since: Option<Us>,
    slow_since: Option<Us>,
    /// Samples of the busy core time while slow.
    busy_samples: VecDeque<(Us, f64)>,
    tick_at: Us,
    served: u64,
    /// Time, busy core time and served attempts at the last load report.
    last_measurement: (Us, f64, u64),
    pending_reports: VecDeque<(Us, HostLoad)>,
    current_report: Option<HostLoad>,
    frozen: bool,
    work_done_at_start: f64,
    failing: Option<(usize, f64)>,
}

impl Host {
    /// Creates a host of a kind that has been running for a long time.
    pub fn new(kind: usize, spec: &Kind, seed: u64, number: u32, zone_and_cell: (u32, u32), now: Us) -> Self {
        let mut rng = stream(seed, Purpose::Host, u64::from(number));
        let speed = spec.speed.draw(&mut rng);
        let first_tick = now + (us(spec.report.period_ms) as f64 * rng.random::<f64>()) as Us;
        let memory = spec
            .memory
            .map(|m| LruCache::new(NonZeroUsize::new(m.keys as usize).unwrap_or(NonZeroUsize::MIN)));
        let mut host = Host {
            zone: zone_and_cell.0,
            cell: zone_and_cell.1,
            kind,
            status: HostStatus::Up,
            started: None,
            speed,
            listed_weight: speed * f64::from(spec.cores),
            connections: 0,
            cores: spec.cores,
            slots: spec.slots.draw(&mut rng).round() as usize,
            queue_limit: spec.room.draw(&mut rng).round() as usize,
            error_part: spec.error_part.draw(&mut rng),
            initial_share: spec.cold.share.draw(&mut rng),
            warm_up: us(spec.cold.warm_ms.draw(&mut rng)),
            warm_by: spec.cold.by,
            overload_multiple: spec.cold.fall_multiple,
            overload_window: us(spec.cold.fall_ms),
            spec: spec.clone(),
            cpu: Cores::new(spec.cores, speed, now),
            waiting: VecDeque::new(),
            external_waits: BinaryHeap::new(),
            running_count: 0,
            memory,
            cold_work: VecDeque::new(),
            cold_work_sum: 0.0,
            neighbour: 0.0,
            pause: (Us::MAX, Us::MAX),
            paused: false,
            overloaded_since: None,
            slow_since: None,
            busy_samples: VecDeque::new(),
            tick_at: first_tick,
            served: 0,
            last_measurement: (now, 0.0, 0),
            pending_reports: VecDeque::new(),
            current_report: None,
            frozen: false,
            work_done_at_start: 0.0,
            failing: None,
            rng,
        };
        host.schedule_pause(now);
        host
    }

    fn schedule_pause(&mut self, now: Us) {
        self.paused = false;
        if let Some(p) = self.spec.pause {
            let every: f64 = Exp1.sample(&mut self.rng);
            let length: f64 = Exp1.sample(&mut self.rng);
            let from = now + us(p.every_ms * every).max(1);
            self.pause = (from, from + us(p.length_ms * length));
        }
    }

    /// Returns the capacity of the host when warm and without neighbours, in standard microseconds of work
    /// per microsecond.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed
    }

    /// Returns the share of its full capacity that the host has reached while it warms up after a start. The
    /// share grows with the time since the start or, for [`WarmBy::Work`], with the work done if that is
    /// further advanced.
    pub fn warm_share(&mut self, now: Us) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let by_time = now.saturating_sub(started) as f64 / self.warm_up.max(1) as f64;
        let by_work = match self.warm_by {
            WarmBy::Time => 0.0,
            // The host is fully warm after the work of a quarter of its capacity over the warm-up time, so
            // that a busy host warms up sooner.
            WarmBy::Work => {
                let done = self.cpu.work_done(now) - self.work_done_at_start;
                done / (0.25 * self.capacity() * self.warm_up.max(1) as f64)
            }
        };
        self.initial_share + (1.0 - self.initial_share) * by_time.max(by_work).min(1.0)
    }

    /// Returns whether overload has slowed the host down.
    pub fn is_slow(&self) -> bool {
        self.slow_since.is_some()
    }

    /// Returns the number of attempts that wait for a slot or a core.
    pub fn queue_length(&self) -> usize {
        self.waiting.len() + self.cpu.len().saturating_sub(self.cores as usize)
    }

    /// Returns the number of attempts at the host, including those that wait on other systems.
    pub fn in_flight_count(&self) -> usize {
        self.waiting.len() + self.running_count
    }

    /// Returns the busy core time until `now`, in microseconds.
    pub fn busy_time(&mut self, now: Us) -> f64 {
        self.cpu.busy_time(now)
    }

    /// Returns the number of cores.
    pub fn cores(&self) -> u32 {
        self.cores
    }

    fn set_speed(&mut self, now: Us) {
        let slowdown = match (self.slow_since, self.spec.crowding) {
            (Some(_), Some(crowding)) => 1.0 / crowding.slower,
            _ => 1.0,
        };
        let warm_share = self.warm_share(now);
        let speed =
            if self.paused { 0.0 } else { self.speed * warm_share * (1.0 - self.neighbour) * slowdown };
        self.cpu.set_speed(now, speed);
    }

    /// Sets the share of the machine that another program takes from now on.
    pub fn set_neighbour(&mut self, now: Us, part: f64) {
        self.neighbour = part;
        self.set_speed(now);
    }

    /// Stops or resumes the updates of load reports.
    pub fn set_reports_frozen(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    /// Sets the class, and the share of its attempts, that fail from now on.
    pub fn set_failing(&mut self, failing: Option<(usize, f64)>) {
        self.failing = failing;
    }

    /// Stops the process or cuts off the machine. Returns the identifiers of the lost attempts.
    pub fn stop(&mut self, now: Us, status: HostStatus) -> Vec<u64> {
        let mut lost: Vec<u64> = self.cpu.clear(now).into_iter().map(|w| w.id).collect();
        lost.extend(self.waiting.drain(..).map(|w| w.id));
        lost.extend(
            std::mem::take(&mut self.external_waits)
                .into_sorted_vec()
                .into_iter()
                .map(|Reverse((_, id, ..))| id),
        );
        self.running_count = 0;
        self.status = status;
        self.connections = 0;
        self.current_report = None;
        self.pending_reports.clear();
        lost
    }

    /// Restarts the process, cold and with an empty cache.
    pub fn start(&mut self, now: Us) {
        self.status = HostStatus::Up;
        self.started = Some(now);
        self.work_done_at_start = self.cpu.work_done(now);
        self.cold_work.clear();
        self.cold_work_sum = 0.0;
        (self.slow_since, self.overloaded_since) = (None, None);
        if let Some(memory) = &mut self.memory {
            memory.clear();
        }
        self.last_measurement = (now, self.cpu.busy_time(now), self.served);
        self.tick_at = now + us(self.spec.report.period_ms);
        self.schedule_pause(now);
        self.set_speed(now);
    }

    /// Makes a cut-off machine reachable again, with the same process.
    pub fn resume(&mut self, now: Us) {
        self.status = HostStatus::Up;
        self.tick_at = now + us(self.spec.report.period_ms);
        self.set_speed(now);
    }

    /// Returns the work that an attempt costs, by the cached keys, and adds the key to the cache.
    fn effective_work(&mut self, now: Us, attempt: &HostAttempt) -> f64 {
        let mut work = attempt.work;
        if let (Some(memory), Some(spec)) = (&mut self.memory, self.spec.memory) {
            let known =
                memory.get(&attempt.key).is_some_and(|at| now.saturating_sub(*at) <= us(spec.keep_ms));
            if known {
                work *= 1.0 - spec.saves;
            }
            memory.put(attempt.key, now);
        }
        work + if attempt.handshake { self.spec.connections.handshake_ms * 1000.0 } else { 0.0 }
    }

    /// Records work sent to a cold host; returns whether the work exceeds what the host can bear.
    fn overloads_cold_host(&mut self, now: Us, work: f64, sender: u32) -> bool {
        if self.overload_multiple <= 0.0 {
            return false;
        }
        let warm_share = self.warm_share(now);
        if warm_share >= 1.0 {
            self.cold_work.clear();
            self.cold_work_sum = 0.0;
            return false;
        }
        self.cold_work.push_back((now, work, sender));
        self.cold_work_sum += work;
        while let Some(&(at, old, _)) = self.cold_work.front() {
            if at + self.overload_window > now {
                break;
            }
            self.cold_work_sum -= old;
            self.cold_work.pop_front();
        }
        // A slack of 10% and of the largest job keeps random variation alone from bringing a host down.
        let longest = self.cold_work.iter().map(|r| r.1).fold(0.0, f64::max);
        let budget = self.overload_multiple * self.capacity() * warm_share * self.overload_window as f64;
        self.cold_work_sum > 1.1 * budget + longest
    }

    /// Handles the arrival of an attempt's last byte.
    pub fn offer(&mut self, now: Us, attempt: HostAttempt) -> OfferResult {
        match self.status {
            HostStatus::Up => {}
            HostStatus::Dead | HostStatus::Fallen => return OfferResult::ConnectionRefused,
            HostStatus::Silent => return OfferResult::NoResponse,
        }
        self.set_speed(now);
        if self.overloads_cold_host(now, attempt.work, attempt.sender) {
            let mut sent: Vec<(u32, f64)> = Vec::new();
            for &(_, work, sender) in &self.cold_work {
                match sent.iter_mut().find(|s| s.0 == sender) {
                    Some(s) => s.1 += work,
                    None => sent.push((sender, work)),
                }
            }
            let lost = self.stop(now, HostStatus::Fallen);
            return OfferResult::ColdOverload { sent, lost };
        }
        if self.running_count >= self.slots && self.waiting.len() >= self.queue_limit {
            return OfferResult::Rejected;
        }
        let work = self.effective_work(now, &attempt);
        let task = Task { id: attempt.id, class: attempt.class, wait: attempt.wait, work };
        if self.running_count < self.slots {
            self.running_count += 1;
            self.start_task(now, task);
        } else {
            self.waiting.push_back(task);
        }
        OfferResult::Accepted
    }

    fn start_task(&mut self, now: Us, task: Task) {
        self.cpu.start(now, task.work, task);
    }

    /// Drops an attempt that is still queued, if the host supports cancellation. Returns whether it was
    /// dropped.
    pub fn cancel(&mut self, id: u64) -> bool {
        if !self.spec.cancel_stops_waiting {
            return false;
        }
        let before = self.waiting.len();
        self.waiting.retain(|w| w.id != id);
        self.waiting.len() < before
    }

    /// Returns the time at which [`advance`](Self::advance) is due; `Us::MAX` for never.
    pub fn next(&self) -> Us {
        if self.status != HostStatus::Up {
            return Us::MAX;
        }
        let external_waits = self.external_waits.peek().map_or(Us::MAX, |Reverse(a)| a.0);
        let pause = if self.paused { self.pause.1 } else { self.pause.0 };
        self.cpu.next().unwrap_or(Us::MAX).min(external_waits).min(self.tick_at).min(pause)
    }

    /// Processes everything that is due by `now` and appends the completed attempts.
    pub fn advance(&mut self, now: Us, done: &mut Vec<Completion>) {
        if self.status != HostStatus::Up {
            return;
        }
        while let Some(task) = self.cpu.pop_finished(now) {
            if task.wait > 0 {
                self.external_waits.push(Reverse((now + task.wait, task.id, task.class, task.work as u64)));
            } else {
                self.complete(now, task.id, task.class, task.work, done);
            }
        }
        while self.external_waits.peek().is_some_and(|Reverse(a)| a.0 <= now) {
            if let Some(Reverse((_, id, class, work))) = self.external_waits.pop() {
                self.complete(now, id, class, work as f64, done);
            }
        }
        if self.paused && self.pause.1 <= now {
            self.schedule_pause(now);
            self.set_speed(now);
        } else if !self.paused && self.pause.0 <= now {
            self.paused = true;
            self.set_speed(now);
        }
        if self.tick_at <= now {
            self.on_tick(now);
        }
    }

    /// Updates load reports, overload state and warm-up.
    fn on_tick(&mut self, now: Us) {
        self.tick_at = now + us(self.spec.report.period_ms);
        let busy = self.cpu.busy_time(now);
        if let Some(crowding) = self.spec.crowding {
            self.update_overload(now, busy, &crowding);
        }
        self.set_speed(now);
        self.publish_due_reports(now);
        let spec = self.spec.report;
        let passed = now.saturating_sub(self.last_measurement.0) as f64;
        if spec.on && !self.frozen && passed > 0.0 {
            let used = (busy - self.last_measurement.1) / (passed * f64::from(self.cores));
            let served = (self.served - self.last_measurement.2) as f64 * 1e6 / passed;
            let queue_length = spec.backlog.then_some(self.queue_length() as f64);
            let utilization = (used * spread(spec.noise, &mut self.rng)).min(1.0);
            let throughput = served * spread(spec.noise, &mut self.rng);
            self.pending_reports
                .push_back((now + us(spec.delay_ms), HostLoad { utilization, throughput, queue_length }));
        }
        self.last_measurement = (now, busy, self.served);
    }

    fn update_overload(&mut self, now: Us, busy: f64, crowding: &Crowding) {
        if let Some(since) = self.slow_since {
            self.busy_samples.push_back((now, busy));
            // The window begins with the last sample that is at least the window's length old.
            while self.busy_samples.get(1).is_some_and(|(at, _)| at + us(crowding.rest_ms) <= now) {
                self.busy_samples.pop_front();
            }
            let rested = self.busy_samples.front().is_some_and(|&(at, then)| {
                let length = now.saturating_sub(at);
                let part = (busy - then) / (length.max(1) as f64 * f64::from(self.cores));
                length >= us(crowding.rest_ms) && part < crowding.below
            });
            if rested || now.saturating_sub(since) >= us(crowding.most_ms) {
                (self.slow_since, self.overloaded_since) = (None, None);
                self.busy_samples.clear();
            }
            return;
        }
        let local_attempts = (self.waiting.len() + self.cpu.len()) as f64;
        if local_attempts <= crowding.at * f64::from(self.cores) {
            self.overloaded_since = None;
        } else if now.saturating_sub(*self.overloaded_since.get_or_insert(now)) >= us(crowding.over_ms) {
            self.slow_since = Some(now);
            self.busy_samples = VecDeque::from([(now, busy)]);
        }
    }

    fn publish_due_reports(&mut self, now: Us) {
        while let Some((_, load)) = self.pending_reports.pop_front_if(|(at, _)| *at <= now) {
            self.current_report = Some(load);
        }
    }

    /// Returns the load report attached to a response at `now`.
    pub fn load_report(&mut self, now: Us) -> Option<HostLoad> {
        self.publish_due_reports(now);
        self.current_report
    }

    /// Accepts and counts one more connection, unless the limit is reached. Returns whether it was accepted.
    pub fn try_connect(&mut self) -> bool {
        let accepted = self.connections < self.spec.connections.most;
        self.connections += u32::from(accepted);
        accepted
    }

    fn complete(&mut self, now: Us, id: u64, class: usize, work: f64, done: &mut Vec<Completion>) {
        self.running_count -= 1;
        if let Some(next) = self.waiting.pop_front() {
            self.running_count += 1;
            self.start_task(now, next);
        }
        let failing = self.failing.filter(|f| f.0 == class).map_or(self.error_part, |f| f.1);
        let served = failing <= 0.0 || self.rng.random::<f64>() >= failing;
        self.served += u64::from(served);
        done.push(Completion { id, served, work });
    }
}
