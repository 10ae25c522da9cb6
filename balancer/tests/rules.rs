//! Random legal days, by fixed seeds: the rules that show in the module's actions hold on each.

mod common;
use common::*;
use oorandom::Rand64;
use std::collections::BTreeMap;
use ternstack_balancer::*;

#[derive(Default)]
struct Seen {
    class: usize,
    deadline: f64,
    answers: u32,
    /// Server, time sent, outcome once known.
    attempts: Vec<(ServerId, f64, Option<Outcome>)>,
}

impl Seen {
    fn first_that_may_have_run(&self) -> Option<(ServerId, f64)> {
        let ran = |a: &&(ServerId, f64, Option<Outcome>)| a.2.is_none_or(|o| !o.never_ran());
        self.attempts.iter().find(ran).map(|a| (a.0, a.1))
    }
}

struct Day {
    rng: Rand64,
    bench: Bench,
    seen: BTreeMap<RequestId, Seen>,
    closed: BTreeMap<ServerId, bool>,
    timers: Vec<f64>,
    log: String,
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Served,
    Outcome::ServerError,
    Outcome::TurnedAway,
    Outcome::NoAnswer,
    Outcome::NoConnection,
    Outcome::ConnectionLost,
    Outcome::NotSent,
];

impl Day {
    fn check(&mut self, actions: Vec<Action>) {
        let now = self.bench.now;
        for action in actions {
            self.log.push_str(&format!("{now} {action:?}\n"));
            match action {
                Action::Send { request, server, .. } => {
                    assert_eq!(self.closed.get(&server), Some(&false), "sent to a closed or unknown server");
                    let seen = self.seen.get_mut(&request).expect("known");
                    assert_eq!(seen.answers, 0, "sent after the final answer");
                    assert!(seen.attempts.len() < 4, "too many attempts");
                    assert!(seen.attempts.iter().all(|a| a.2.is_some()), "two attempts at once");
                    match (seen.class, seen.first_that_may_have_run()) {
                        (1, Some((home, at))) => {
                            assert_eq!(home.0 / 2, server.0 / 2, "left its cell");
                            assert!(now <= at + 300.0, "left its window");
                        }
                        (2, ran) => assert!(ran.is_none(), "an effect could happen twice"),
                        _ => {}
                    }
                    seen.attempts.push((server, now, None));
                }
                Action::Refuse { request, .. } => {
                    let seen = self.seen.get_mut(&request).expect("known");
                    assert!(seen.class == 0 || seen.first_that_may_have_run().is_none(), "a false promise");
                    seen.answers += 1;
                    assert!(now <= seen.deadline + 20.0, "late");
                }
                Action::Fail { request } => {
                    let seen = self.seen.get_mut(&request).expect("known");
                    seen.answers += 1;
                    assert!(now <= seen.deadline + 20.0, "late");
                }
                Action::Timer { at, .. } => self.timers.push(at),
                _ => {}
            }
        }
        assert!(self.seen.values().all(|s| s.answers <= 1), "two final answers");
    }

    fn step(&mut self, arrivals: bool) {
        self.bench.now += 5.0;
        let now = self.bench.now;
        if arrivals {
            for _ in 0..self.rng.rand_range(0..4) {
                let class = self.rng.rand_range(0..3) as usize;
                let tenant = if self.rng.rand_range(0..2) == 0 { Some(0) } else { None };
                let actions = {
                    let id = RequestId(self.seen.len() as u64);
                    let patience_ms = 560.0 + 40.0 * self.rng.rand_float();
                    self.seen.insert(id, Seen { class, deadline: now + patience_ms, ..Seen::default() });
                    let arrival = Arrival { request: id, class, tenant, patience_ms };
                    self.bench.take(Event::Request(arrival))
                };
                self.check(actions);
            }
            if self.rng.rand_range(0..40) == 0 {
                let server = self.rng.rand_range(0..8) as u32;
                let closed = self.rng.rand_range(0..2) == 0;
                let readiness = if closed { Readiness::Leaving } else { Readiness::Active };
                self.closed.insert(ServerId(server), closed);
                let started_at = if self.rng.rand_range(0..2) == 0 { now } else { 0.0 };
                let changed = Member { readiness, started_at, ..member(server) };
                let actions = self.bench.list(ListKind::Changes, vec![changed]);
                self.check(actions);
            }
        }
        let mut ends = Vec::new();
        for (&id, seen) in &self.seen {
            for (n, &(server, at, outcome)) in seen.attempts.iter().enumerate() {
                if outcome.is_none() {
                    let over = now >= seen.deadline;
                    if over || self.rng.rand_range(0..10) == 0 {
                        let pick = self.rng.rand_range(0..OUTCOMES.len() as u64) as usize;
                        ends.push((id, n, server, at, if over { Outcome::NoAnswer } else { OUTCOMES[pick] }));
                    }
                }
            }
        }
        for (request, n, server, at, outcome) in ends {
            let seen = self.seen.get_mut(&request).expect("known");
            seen.attempts[n].2 = Some(outcome);
            seen.answers += u32::from(outcome == Outcome::Served && seen.answers == 0);
            let complete = seen.answers > 0;
            let report = report(200.0 * self.rng.rand_float(), self.rng.rand_float());
            let attempt = n as u32;
            let latency_ms = now - at;
            let end = AttemptEnd { request, attempt, server, outcome, latency_ms, complete, report };
            let actions = self.bench.take(Event::AttemptEnd(end));
            self.check(actions);
        }
        let due = self.timers.iter().filter(|at| **at <= now).count();
        self.timers.retain(|at| *at > now);
        for _ in 0..due {
            let actions = self.bench.take(Event::Timer { token: 0 });
            self.check(actions);
        }
    }
}

fn day(seed: u64) -> String {
    let closed = (0..8).map(|n| (ServerId(n), false)).collect();
    let (rng, bench) = (Rand64::new(u128::from(seed)), Bench::new(settings(), 8));
    let mut day = Day { rng, bench, seen: BTreeMap::new(), closed, timers: Vec::new(), log: String::new() };
    for _ in 0..600 {
        day.step(true);
    }
    for _ in 0..200 {
        day.step(false);
    }
    let open = day.seen.values().filter(|s| s.answers != 1).count();
    assert_eq!(open, 0, "requests without a final answer");
    assert!(day.seen.values().filter(|s| !s.attempts.is_empty()).count() > 300, "the day saw work");
    day.log
}

#[test]
fn the_rules_hold_on_random_days() {
    for seed in 0..40 {
        day(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(day(3), day(3));
}
