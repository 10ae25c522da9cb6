//! Cores that share themselves evenly among what runs on them: egalitarian processor sharing, by the service that
//! each job has attained. With no more jobs than cores each has one to itself, so the same structure serves
//! first-come first-served queues as well.
use super::Us;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// What is left of a job, for ordering: the attained service at which it is done.
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

/// Some cores and the jobs on them.
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
    /// Idle cores of the given speed, in standard microseconds of work a microsecond.
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

    /// Service that one job gets in a microsecond.
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

    /// Changes the speed from now on.
    pub fn set_speed(&mut self, now: Us, speed: f64) {
        self.advance(now);
        self.speed = speed;
    }

    /// Starts a job of so much work, in standard microseconds.
    pub fn start(&mut self, now: Us, work: f64, job: J) {
        self.advance(now);
        self.started += 1;
        let finish = self.attained + work.max(0.0);
        self.running.push(Reverse(Running { finish, order: self.started, job }));
    }

    /// When the next job is done, if nothing changes until then.
    pub fn next(&self) -> Option<Us> {
        let Reverse(first) = self.running.peek()?;
        let rate = self.rate();
        if rate <= 0.0 {
            return None;
        }
        let left = ((first.finish - self.attained).max(0.0) / rate).ceil();
        Some(self.at.saturating_add(left.min(1e15) as Us))
    }

    /// Takes a job that is done by now.
    pub fn finished(&mut self, now: Us) -> Option<J> {
        self.advance(now);
        // Attained service is a sum of many small parts: what is missing may be their rounding alone.
        let due = self.running.peek().is_some_and(|Reverse(first)| first.finish <= self.attained + 1e-3);
        if !due {
            return None;
        }
        self.running.pop().map(|Reverse(first)| first.job)
    }

    /// Jobs at hand.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// True if nothing runs.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Core microseconds that were in use until now.
    pub fn busy(&mut self, now: Us) -> f64 {
        self.advance(now);
        self.busy
    }

    /// Standard microseconds of work done until now.
    pub fn done(&mut self, now: Us) -> f64 {
        self.advance(now);
        self.done
    }

    /// Ends all jobs undone.
    pub fn clear(&mut self, now: Us) -> Vec<J> {
        self.advance(now);
        std::mem::take(&mut self.running).into_sorted_vec().into_iter().map(|Reverse(r)| r.job).collect()
    }
}
