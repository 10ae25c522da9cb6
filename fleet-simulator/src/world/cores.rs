//! Cores under egalitarian processor sharing, tracked by the service that each job has attained. With no more
//! jobs than cores, each job has a core to itself, so the same structure models first-come first-served
//! queues as well.
use super::Us;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A running job, ordered by the attained service at which the job completes.
#[derive(Debug)]
struct Running<J> {
    finish: f64,
    order: u64,
    job: J,
}

impl<J> PartialEq for Running<J> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl<J> Eq for Running<J> {}
impl<J> PartialOrd for Running<J> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<J> Ord for Running<J> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.finish.total_cmp(&other.finish).then(self.order.cmp(&other.order))
    }
}

/// A set of cores and the jobs that run on them.
#[derive(Debug)]
pub struct Cores<J> {
    cores: f64,
    speed: f64,
    attained: f64,
    at: Us,
    busy: f64,
    done: f64,
    started: u64,
    running: BinaryHeap<Reverse<Running<J>>>,
}

impl<J> Cores<J> {
    /// Creates idle cores with a speed in standard microseconds of work per microsecond.
    pub fn new(cores: u32, speed: f64, now: Us) -> Self {
        Cores {
            cores: f64::from(cores),
            speed,
            attained: 0.0,
            at: now,
            busy: 0.0,
            done: 0.0,
            started: 0,
            running: BinaryHeap::new(),
        }
    }

    /// Returns the service that one job attains per microsecond.
    fn rate(&self) -> f64 {
        let jobs = self.running.len() as f64;
        self.speed * if jobs > self.cores { self.cores / jobs } else { 1.0 }
    }

    fn advance(&mut self, now: Us) {
        let passed = now.saturating_sub(self.at) as f64;
        if passed > 0.0 && !self.running.is_empty() {
            let jobs = self.running.len() as f64;
            self.attained += passed * self.rate();
            self.busy += passed * jobs.min(self.cores);
            self.done += passed * self.rate() * jobs;
        }
        self.at = self.at.max(now);
    }

    /// Changes the speed from `now` on.
    pub fn set_speed(&mut self, now: Us, speed: f64) {
        self.advance(now);
        self.speed = speed;
    }

    /// Starts a job with the given work in standard microseconds.
    pub fn start(&mut self, now: Us, work: f64, job: J) {
        self.advance(now);
        self.started += 1;
        let finish = self.attained + work.max(0.0);
        self.running.push(Reverse(Running { finish, order: self.started, job }));
    }

    /// Returns the time at which the next job completes if nothing changes before; `None` if no job makes
    /// progress.
    pub fn next(&self) -> Option<Us> {
        let Reverse(first) = self.running.peek()?;
        let rate = self.rate();
        if rate <= 0.0 {
            return None;
        }
        let left = ((first.finish - self.attained).max(0.0) / rate).ceil();
        Some(self.at.saturating_add(left.min(1e15) as Us))
    }

    /// Removes and returns a job that has completed by `now`.
    pub fn pop_finished(&mut self, now: Us) -> Option<J> {
        self.advance(now);
        // Attained service is a sum of many small steps; the tolerance covers the rounding error.
        let due = self.running.peek().is_some_and(|Reverse(first)| first.finish <= self.attained + 1e-3);
        if !due {
            return None;
        }
        self.running.pop().map(|Reverse(first)| first.job)
    }

    /// Returns the number of running jobs.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns whether no job is running.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the busy time of all cores until `now`, in core microseconds.
    pub fn busy_time(&mut self, now: Us) -> f64 {
        self.advance(now);
        self.busy
    }

    /// Returns the work done until `now`, in standard microseconds.
    pub fn work_done(&mut self, now: Us) -> f64 {
        self.advance(now);
        self.done
    }

    /// Removes all jobs without completing them.
    pub fn clear(&mut self, now: Us) -> Vec<J> {
        self.advance(now);
        std::mem::take(&mut self.running).into_sorted_vec().into_iter().map(|Reverse(r)| r.job).collect()
    }
}
