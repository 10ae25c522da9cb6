//! Invariants of the balancer's actions, on drawn sequences of legal events with fixed seeds.

mod common;
use common::*;
use oorandom::Rand64;
use std::collections::BTreeMap;
use ternstack_balancer::*;

#[derive(Default)]
struct SeenRequest {
    class: usize,
    deadline_ms: f64,
    answers: u32,
    attempts: Vec<SentAttempt>,
}

#[derive(Clone, Copy)]
struct SentAttempt {
    endpoint: EndpointId,
    sent_at_ms: f64,
    /// Once known.
    outcome: Option<Outcome>,
}

impl SeenRequest {
    fn first_that_may_have_run(&self) -> Option<SentAttempt> {
        let may_have_run =
            |attempt: &&SentAttempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran());
        self.attempts.iter().find(may_have_run).copied()
    }
}

struct Run {
    rng: Rand64,
    gateway: TestGateway,
    seen: BTreeMap<RequestId, SeenRequest>,
    draining: BTreeMap<EndpointId, bool>,
    timers: Vec<f64>,
    log: String,
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Served,
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::ResponseTimeout,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::NotSent,
];

impl Run {
    fn check(&mut self, actions: Vec<Action>) {
        let now = self.gateway.now_ms;
        for action in actions {
            self.log.push_str(&format!("{now} {action:?}\n"));
            match action {
                Action::Send { request, endpoint, .. } => {
                    assert_eq!(
                        self.draining.get(&endpoint),
                        Some(&false),
                        "sent to a draining or unknown endpoint"
                    );
                    let seen = self.seen.get_mut(&request).expect("known");
                    assert_eq!(seen.answers, 0, "sent after the final answer");
                    assert!(seen.attempts.len() < 4, "too many attempts");
                    assert!(seen.attempts.iter().all(|a| a.outcome.is_some()), "two attempts at once");
                    match (seen.class, seen.first_that_may_have_run()) {
                        (1, Some(first)) => {
                            assert_eq!(first.endpoint.0 / 2, endpoint.0 / 2, "left its cell");
                            assert!(now <= first.sent_at_ms + 300.0, "left its window");
                        }
                        (2, ran) => {
                            assert!(ran.is_none(), "a request that is not idempotent could run twice")
                        }
                        _ => {}
                    }
                    seen.attempts.push(SentAttempt { endpoint, sent_at_ms: now, outcome: None });
                }
                Action::Reject { request, .. } => {
                    let seen = self.seen.get_mut(&request).expect("known");
                    assert!(
                        seen.class == 0 || seen.first_that_may_have_run().is_none(),
                        "rejected though a retry may do harm"
                    );
                    seen.answers += 1;
                    assert!(now <= seen.deadline_ms + 20.0, "late");
                }
                Action::Fail { request } => {
                    let seen = self.seen.get_mut(&request).expect("known");
                    seen.answers += 1;
                    assert!(now <= seen.deadline_ms + 20.0, "late");
                }
                Action::Timer { at_ms: at, .. } => self.timers.push(at),
                _ => {}
            }
        }
        assert!(self.seen.values().all(|s| s.answers <= 1), "two final answers");
    }

    fn step(&mut self, arrivals: bool) {
        self.gateway.now_ms += 5.0;
        let now = self.gateway.now_ms;
        if arrivals {
            for _ in 0..self.rng.rand_range(0..4) {
                let class = self.rng.rand_range(0..3) as usize;
                let tenant = if self.rng.rand_range(0..2) == 0 { Some(0) } else { None };
                let actions = {
                    let id = RequestId(self.seen.len() as u64);
                    let client_timeout_ms = 560.0 + 40.0 * self.rng.rand_float();
                    self.seen.insert(
                        id,
                        SeenRequest { class, deadline_ms: now + client_timeout_ms, ..SeenRequest::default() },
                    );
                    let arrival = Arrival { request: id, class, tenant, client_timeout_ms };
                    self.gateway.handle(Event::Request(arrival))
                };
                self.check(actions);
            }
            if self.rng.rand_range(0..40) == 0 {
                let endpoint = self.rng.rand_range(0..8) as u32;
                let draining = self.rng.rand_range(0..2) == 0;
                let readiness = if draining { Readiness::Draining } else { Readiness::Active };
                self.draining.insert(EndpointId(endpoint), draining);
                let started_at = if self.rng.rand_range(0..2) == 0 { now } else { 0.0 };
                let changed = EndpointRecord { readiness, started_at_ms: started_at, ..record(endpoint) };
                let actions = self.gateway.update(UpdateKind::Delta, vec![changed]);
                self.check(actions);
            }
        }
        let mut ends = Vec::new();
        for (&id, seen) in &self.seen {
            for (n, &SentAttempt { endpoint, sent_at_ms, outcome }) in seen.attempts.iter().enumerate() {
                if outcome.is_none() {
                    let over = now >= seen.deadline_ms;
                    if over || self.rng.rand_range(0..10) == 0 {
                        let pick = self.rng.rand_range(0..OUTCOMES.len() as u64) as usize;
                        ends.push((
                            id,
                            n,
                            endpoint,
                            sent_at_ms,
                            if over { Outcome::ResponseTimeout } else { OUTCOMES[pick] },
                        ));
                    }
                }
            }
        }
        for (request, n, endpoint, sent_at_ms, outcome) in ends {
            let seen = self.seen.get_mut(&request).expect("known");
            seen.attempts[n].outcome = Some(outcome);
            seen.answers += u32::from(outcome == Outcome::Served && seen.answers == 0);
            let complete = seen.answers > 0;
            let report = report(200.0 * self.rng.rand_float(), self.rng.rand_float());
            let attempt = n as u32;
            let latency_ms = now - sent_at_ms;
            let end = AttemptEnd {
                request,
                attempt,
                endpoint,
                outcome,
                latency_ms,
                request_complete: complete,
                report,
            };
            let actions = self.gateway.handle(Event::AttemptEnd(end));
            self.check(actions);
        }
        let due = self.timers.iter().filter(|at| **at <= now).count();
        self.timers.retain(|at| *at > now);
        for _ in 0..due {
            let actions = self.gateway.handle(Event::Timer { token: 0 });
            self.check(actions);
        }
    }
}

fn run(seed: u64) -> String {
    let draining = (0..8).map(|n| (EndpointId(n), false)).collect();
    let (rng, gateway) = (Rand64::new(u128::from(seed)), TestGateway::new(settings(), 8));
    let mut run =
        Run { rng, gateway, seen: BTreeMap::new(), draining, timers: Vec::new(), log: String::new() };
    for _ in 0..600 {
        run.step(true);
    }
    for _ in 0..200 {
        run.step(false);
    }
    let open = run.seen.values().filter(|s| s.answers != 1).count();
    assert_eq!(open, 0, "requests without a final answer");
    assert!(run.seen.values().filter(|s| !s.attempts.is_empty()).count() > 300, "requests were sent");
    run.log
}

#[test]
fn the_invariants_hold_on_drawn_events() {
    for seed in 0..40 {
        run(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run(3), run(3));
}
