//! Invariants of the balancer's actions for random sequences of valid events, with fixed seeds.

mod common;
use common::*;
use oorandom::Rand64;
use std::collections::BTreeMap;
use ternstack_balancer::*;

/// A request that has arrived, with what the balancer and the endpoints did with it.
#[derive(Default)]
struct TrackedRequest {
    class: usize,
    deadline_ms: f64,
    /// Final responses to the client, including rejections and failures.
    responses: u32,
    attempts: Vec<SentAttempt>,
}

#[derive(Clone, Copy)]
struct SentAttempt {
    endpoint: EndpointId,
    sent_at_ms: f64,
    /// Outcome of the attempt; `None` while in flight.
    outcome: Option<Outcome>,
}

impl TrackedRequest {
    fn first_possible_run(&self) -> Option<SentAttempt> {
        let may_have_run =
            |attempt: &&SentAttempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran());
        self.attempts.iter().find(may_have_run).copied()
    }
}

/// A simulation of one gateway whose clients and endpoints behave at random.
struct Simulation {
    rng: Rand64,
    gateway: TestGateway,
    requests: BTreeMap<RequestId, TrackedRequest>,
    /// Whether each listed endpoint is draining.
    draining: BTreeMap<EndpointId, bool>,
    /// Times of the requested timers that have not fired yet, in ms.
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

impl Simulation {
    /// Checks the invariants for actions of the balancer, and records the actions.
    fn check(&mut self, actions: Vec<Action>) {
        let now_ms = self.gateway.now_ms;
        for action in actions {
            self.log.push_str(&format!("{now_ms} {action:?}\n"));
            match action {
                Action::Send { request, endpoint, .. } => {
                    assert_eq!(
                        self.draining.get(&endpoint),
                        Some(&false),
                        "an attempt is sent only to a listed endpoint that is not draining"
                    );
                    let tracked = self.requests.get_mut(&request).expect("the request has arrived");
                    assert_eq!(tracked.responses, 0, "no attempt is sent after the final response");
                    assert!(tracked.attempts.len() < 4, "at most 4 attempts are sent");
                    assert!(
                        tracked.attempts.iter().all(|attempt| attempt.outcome.is_some()),
                        "at most one attempt is in flight"
                    );
                    match (tracked.class, tracked.first_possible_run()) {
                        (1, Some(first)) => {
                            assert_eq!(first.endpoint.0 / 2, endpoint.0 / 2, "the retry stays in its cell");
                            assert!(
                                now_ms <= first.sent_at_ms + 300.0,
                                "the retry is sent within the deduplication window"
                            );
                        }
                        (2, possible_run) => {
                            assert!(possible_run.is_none(), "a non-idempotent request runs at most once")
                        }
                        _ => {}
                    }
                    tracked.attempts.push(SentAttempt { endpoint, sent_at_ms: now_ms, outcome: None });
                }
                Action::Reject { request, .. } => {
                    let tracked = self.requests.get_mut(&request).expect("the request has arrived");
                    assert!(
                        tracked.class == 0 || tracked.first_possible_run().is_none(),
                        "a request is rejected only if its client may safely retry"
                    );
                    tracked.responses += 1;
                    assert!(
                        now_ms <= tracked.deadline_ms + 20.0,
                        "a request is rejected at most 20 ms after its deadline"
                    );
                }
                Action::Fail { request } => {
                    let tracked = self.requests.get_mut(&request).expect("the request has arrived");
                    tracked.responses += 1;
                    assert!(
                        now_ms <= tracked.deadline_ms + 20.0,
                        "a request fails at most 20 ms after its deadline"
                    );
                }
                Action::Timer { at_ms, .. } => self.timers.push(at_ms),
                _ => {}
            }
        }
        assert!(
            self.requests.values().all(|tracked| tracked.responses <= 1),
            "each request has at most one final response"
        );
    }

    /// Advances the clock by 5 ms: requests arrive if `has_arrivals`, attempts end, and timers fire.
    fn step(&mut self, has_arrivals: bool) {
        self.gateway.now_ms += 5.0;
        let now_ms = self.gateway.now_ms;
        if has_arrivals {
            for _ in 0..self.rng.rand_range(0..4) {
                let class = self.rng.rand_range(0..3) as usize;
                let tenant = if self.rng.rand_range(0..2) == 0 { Some(0) } else { None };
                let actions = {
                    let id = RequestId(self.requests.len() as u64);
                    let client_timeout_ms = 560.0 + 40.0 * self.rng.rand_float();
                    self.requests.insert(
                        id,
                        TrackedRequest {
                            class,
                            deadline_ms: now_ms + client_timeout_ms,
                            ..TrackedRequest::default()
                        },
                    );
                    let arrival = Arrival { request: id, class, tenant, client_timeout_ms };
                    self.gateway.handle(Event::Request(arrival))
                };
                self.check(actions);
            }
            if self.rng.rand_range(0..40) == 0 {
                let id = self.rng.rand_range(0..8) as u32;
                let draining = self.rng.rand_range(0..2) == 0;
                let readiness = if draining { Readiness::Draining } else { Readiness::Active };
                self.draining.insert(EndpointId(id), draining);
                let started_at_ms = if self.rng.rand_range(0..2) == 0 { now_ms } else { 0.0 };
                let changed = EndpointRecord { readiness, started_at_ms, ..record(id) };
                let actions = self.gateway.update(UpdateKind::Delta, vec![changed]);
                self.check(actions);
            }
        }
        let mut ends = Vec::new();
        for (&id, tracked) in &self.requests {
            for (number, &SentAttempt { endpoint, sent_at_ms, outcome }) in
                tracked.attempts.iter().enumerate()
            {
                if outcome.is_none() {
                    let is_expired = now_ms >= tracked.deadline_ms;
                    if is_expired || self.rng.rand_range(0..10) == 0 {
                        let pick = self.rng.rand_range(0..OUTCOMES.len() as u64) as usize;
                        ends.push((
                            id,
                            number,
                            endpoint,
                            sent_at_ms,
                            if is_expired { Outcome::ResponseTimeout } else { OUTCOMES[pick] },
                        ));
                    }
                }
            }
        }
        for (request, number, endpoint, sent_at_ms, outcome) in ends {
            let tracked = self.requests.get_mut(&request).expect("the request has arrived");
            tracked.attempts[number].outcome = Some(outcome);
            tracked.responses += u32::from(outcome == Outcome::Served && tracked.responses == 0);
            let request_complete = tracked.responses > 0;
            let report = report(200.0 * self.rng.rand_float(), self.rng.rand_float());
            let attempt = number as u32;
            let latency_ms = now_ms - sent_at_ms;
            let end =
                AttemptEnd { request, attempt, endpoint, outcome, latency_ms, request_complete, report };
            let actions = self.gateway.handle(Event::AttemptEnd(end));
            self.check(actions);
        }
        let due = self.timers.iter().filter(|at_ms| **at_ms <= now_ms).count();
        self.timers.retain(|at_ms| *at_ms > now_ms);
        for _ in 0..due {
            let actions = self.gateway.handle(Event::Timer { token: 0 });
            self.check(actions);
        }
    }
}

/// Simulates 600 steps with arrivals and 200 without, and returns the log of all actions.
fn simulate(seed: u64) -> String {
    let draining = (0..8).map(|id| (EndpointId(id), false)).collect();
    let (rng, gateway) = (Rand64::new(u128::from(seed)), TestGateway::new(settings(), 8));
    let mut simulation = Simulation {
        rng,
        gateway,
        requests: BTreeMap::new(),
        draining,
        timers: Vec::new(),
        log: String::new(),
    };
    for _ in 0..600 {
        simulation.step(true);
    }
    for _ in 0..200 {
        simulation.step(false);
    }
    let open = simulation.requests.values().filter(|tracked| tracked.responses != 1).count();
    assert_eq!(open, 0, "each request has exactly one final response");
    assert!(
        simulation.requests.values().filter(|tracked| !tracked.attempts.is_empty()).count() > 300,
        "more than 300 requests are sent to endpoints"
    );
    simulation.log
}

#[test]
fn invariants_hold_for_random_events() {
    for seed in 0..40 {
        simulate(seed);
    }
}

#[test]
fn the_same_seed_and_events_lead_to_the_same_actions() {
    assert_eq!(simulate(3), simulate(3));
}
