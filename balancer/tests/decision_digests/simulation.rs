//! The simulation of one gateway: carries out the balancer's actions, and passes their results back as
//! events.

use crate::adapter::{AttemptResult, Input, ListEntry, Output, ReportedLoad, TestBalancer};
use crate::digest::Digest;
use crate::fleet::{Fault, Fleet};
use crate::random::Random;
use crate::scenario::{draw_scenario, Scenario};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The result of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamResult {
    pub events: usize,
    pub actions: usize,
    pub digest: u64,
}

/// An event of the simulation that will occur at a scheduled time.
#[derive(Clone, Debug)]
enum Scheduled {
    NextArrival,
    Retry { class: usize, tenant: Option<usize>, timeout_ms: f64 },
    AttemptEnd { request: u64, attempt: u32, result: AttemptResult },
    ResponseStarted { request: u64 },
    ClientDisconnect { request: u64 },
    Timer { token: u64 },
    HealthCheckEnd { endpoint: usize, result: AttemptResult },
    Disturbance,
    WatchResponse,
    EndpointChanges { endpoints: Vec<usize> },
    NextPhase,
    UnexpectedEvent,
}

struct Attempt {
    endpoint: usize,
    sent_at_ms: f64,
    ended: bool,
}

struct Request {
    class: usize,
    tenant: Option<usize>,
    deadline_at_ms: f64,
    /// Whether a client still waits for the response.
    is_open: bool,
    attempts: Vec<Attempt>,
}

/// The state of the simulation of one stream.
pub struct Simulation {
    scenario: Scenario,
    random: Random,
    balancer: TestBalancer,
    fleet: Fleet,
    now_ms: f64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    next_event: u64,
    requests: BTreeMap<u64, Request>,
    next_request: u64,
    phase: usize,
    digest: Digest,
    events: usize,
    actions: usize,
}

impl Simulation {
    /// Runs the simulation of a whole stream.
    pub fn run(stream: u64) -> StreamResult {
        let mut random = Random::new(stream.wrapping_mul(0x0005_deec_e66d) + 11);
        let scenario = draw_scenario(stream, &mut random);
        let now_ms = random.choose(&[0.0, 1000.0, 86_400_000.0]);
        let fleet = Fleet::new(&scenario, now_ms, &mut random);
        let mut simulation = Simulation {
            balancer: TestBalancer::new(&scenario.settings, random.bits()),
            scenario,
            random,
            fleet,
            now_ms,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            next_event: 0,
            requests: BTreeMap::new(),
            next_request: 0,
            phase: 0,
            digest: Digest::new(),
            events: 0,
            actions: 0,
        };
        simulation.start();
        while simulation.events < simulation.scenario.event_count {
            simulation.step();
        }
        StreamResult {
            events: simulation.events,
            actions: simulation.actions,
            digest: simulation.digest.value(),
        }
    }

    fn start(&mut self) {
        let mut entries = Vec::new();
        for endpoint in &self.fleet.endpoints {
            if self.random.chance(0.9) {
                entries.push(endpoint.entry);
            }
        }
        if let Some(first) = entries.first().copied().filter(|_| self.random.chance(0.2)) {
            // A cached list may contain an endpoint that no longer exists.
            entries.push(ListEntry { endpoint: 9000, ..first });
        }
        self.handle(Input::List { kind: 2, entries });
        let first_list_after_ms = self.random.range(0.0, 900.0);
        if !self.scenario.settings.poll_discovery {
            self.schedule(first_list_after_ms, Scheduled::WatchResponse);
        }
        self.schedule(1.0, Scheduled::NextArrival);
        self.schedule(self.scenario.fault_every_ms, Scheduled::Disturbance);
        self.schedule(self.scenario.phase_ms, Scheduled::NextPhase);
        self.schedule(400.0, Scheduled::UnexpectedEvent);
    }

    fn schedule(&mut self, after_ms: f64, event: Scheduled) {
        // The bits of positive floats have the same order as the floats.
        let at_bits = (self.now_ms + after_ms.max(0.0)).to_bits();
        self.queue.push(Reverse((at_bits, self.next_event)));
        self.scheduled.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn step(&mut self) {
        let Reverse((at_bits, number)) = self.queue.pop().expect("the next arrival is always scheduled");
        self.now_ms = f64::from_bits(at_bits);
        let event = self.scheduled.remove(&number).expect("each scheduled event occurs once");
        match event {
            Scheduled::NextArrival => self.next_arrival(),
            Scheduled::Retry { class, tenant, timeout_ms } => self.start_request(class, tenant, timeout_ms),
            Scheduled::AttemptEnd { request, attempt, result } => self.end_attempt(request, attempt, result),
            Scheduled::ResponseStarted { request } => self.handle(Input::ResponseStarted { request }),
            Scheduled::ClientDisconnect { request } => self.disconnect(request),
            Scheduled::Timer { token } => self.handle(Input::Timer { token }),
            Scheduled::HealthCheckEnd { endpoint, result } => self.end_health_check(endpoint, result),
            Scheduled::Disturbance => self.inject_disturbance(),
            Scheduled::WatchResponse => self.send_watch_response(),
            Scheduled::EndpointChanges { endpoints } => self.send_changes(&endpoints),
            Scheduled::NextPhase => self.next_phase(),
            Scheduled::UnexpectedEvent => self.unexpected_event(),
        }
    }

    /// Passes an event to the balancer, adds the event and the resulting actions to the digest, and
    /// executes the actions.
    fn handle(&mut self, input: Input) {
        let outputs = self.balancer.handle(self.now_ms, &input);
        self.events += 1;
        self.actions += outputs.len();
        self.digest.event(self.now_ms, &input);
        for output in &outputs {
            self.digest.output(output);
        }
        if self.events.is_multiple_of(16) {
            for number in 0..self.fleet.endpoints.len() as u32 {
                self.digest.number(u64::from(self.balancer.knows(number)));
            }
        }
        for output in outputs {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Send { request, endpoint, give_up_at_ms } => {
                self.send(request, endpoint as usize, give_up_at_ms);
            }
            Output::Cancel { request, attempt } => {
                self.schedule(
                    0.5,
                    Scheduled::AttemptEnd { request, attempt, result: AttemptResult::Cancelled },
                );
            }
            Output::Reject { request, retry_after_ms, .. } => self.end_request(request, retry_after_ms),
            Output::Fail { request } => self.end_request(request, 0.0),
            Output::Timer { at_ms, token } => {
                let tick_ms = self.scenario.settings.tick_ms;
                let error_ms = if self.random.chance(0.3) { self.random.range(-0.9, 1.5) } else { 0.0 };
                self.schedule(at_ms - self.now_ms + error_ms * tick_ms, Scheduled::Timer { token });
            }
            Output::HealthCheck { endpoint } => self.check_health(endpoint as usize),
            Output::Watch => {
                let after_ms = self.random.range(2.0, 700.0);
                self.schedule(after_ms, Scheduled::WatchResponse);
            }
            Output::Log => {}
        }
    }

    // Requests.

    fn next_arrival(&mut self) {
        let settings = &self.scenario.settings;
        let fleet_per_s = self.scenario.capacity_per_s * self.fleet.endpoints.len() as f64;
        let own_per_s = fleet_per_s * self.fleet.load / f64::from(settings.gateway_count);
        let (class_count, tenant_count) = (settings.classes.len(), settings.tenant_quotas_per_s.len());
        let class = self.random.below(class_count);
        let known_tenant = tenant_count > 0 && !self.random.chance(0.1);
        let first_tenant = self.random.chance(0.5);
        let tenant = known_tenant.then(|| if first_tenant { 0 } else { self.random.below(tenant_count) });
        let deadline_ms = self.scenario.settings.classes[class].deadline_ms;
        let timeout_ms = if self.random.chance(self.scenario.unusual_timeout_ratio) {
            deadline_ms * self.random.range(0.02, 1.0)
        } else {
            deadline_ms * 0.5
        };
        let after_ms = self.random.exponential(1000.0 / own_per_s);
        self.schedule(after_ms, Scheduled::NextArrival);
        self.start_request(class, tenant, timeout_ms);
    }

    fn start_request(&mut self, class: usize, tenant: Option<usize>, timeout_ms: f64) {
        let request = self.next_request;
        self.next_request += 1;
        let deadline_at_ms = self.now_ms + timeout_ms;
        let record = Request { class, tenant, deadline_at_ms, is_open: true, attempts: Vec::new() };
        self.requests.insert(request, record);
        let disconnect_ratio = if self.random.chance(0.05) { self.random.unit() } else { 1.0 };
        self.schedule(timeout_ms * disconnect_ratio, Scheduled::ClientDisconnect { request });
        self.handle(Input::Arrival { request, class, tenant, timeout_ms });
    }

    fn end_request(&mut self, request: u64, retry_after_ms: f64) {
        let Some(record) = self.requests.get_mut(&request) else { return };
        record.is_open = false;
        let (class, tenant) = (record.class, record.tenant);
        let deadline_ms = self.scenario.settings.classes[class].deadline_ms;
        if self.scenario.clients_retry && self.random.chance(0.6) {
            let after_ms = retry_after_ms + self.random.range(10.0, 300.0);
            let left_ms = deadline_ms * self.random.range(0.05, 0.7);
            let timeout_ms = if self.random.chance(0.5) { left_ms } else { deadline_ms * 0.5 };
            self.schedule(after_ms, Scheduled::Retry { class, tenant, timeout_ms });
        }
    }

    fn disconnect(&mut self, request: u64) {
        let Some(record) = self.requests.get_mut(&request) else { return };
        if record.is_open {
            record.is_open = false;
            self.handle(Input::ClientDisconnected { request });
        }
    }

    fn send(&mut self, request: u64, endpoint: usize, give_up_at_ms: f64) {
        let record =
            self.requests.get_mut(&request).expect("attempts are sent only for requests that have arrived");
        let attempt = record.attempts.len() as u32;
        record.attempts.push(Attempt { endpoint, sent_at_ms: self.now_ms, ended: false });
        let (class, tenant) = (record.class, record.tenant);
        let time_left_ms = (give_up_at_ms - self.now_ms).max(0.0);
        let (result, mut after_ms) = self.draw_result(endpoint, class, tenant);
        let result = if after_ms > time_left_ms { AttemptResult::ResponseTimeout } else { result };
        after_ms = after_ms.min(time_left_ms);
        if let Some(endpoint) = self.fleet.endpoints.get_mut(endpoint) {
            endpoint.in_flight += 1;
        }
        if self.scenario.streamed && result == AttemptResult::Served {
            self.schedule(after_ms * 0.5, Scheduled::ResponseStarted { request });
        }
        self.schedule(after_ms, Scheduled::AttemptEnd { request, attempt, result });
    }

    /// Draws the result of an attempt and the time until its end, in ms, if the gateway doesn't give the
    /// attempt up before.
    fn draw_result(&mut self, endpoint: usize, class: usize, tenant: Option<usize>) -> (AttemptResult, f64) {
        if endpoint >= self.fleet.endpoints.len() {
            return (AttemptResult::ConnectFailed, 40.0);
        }
        if self.random.chance(0.002) {
            return (AttemptResult::NotSent, 0.1);
        }
        let latency_ms = self.fleet.latency_ms(&self.scenario, endpoint, &mut self.random);
        let sample = self.random.unit();
        match self.fleet.endpoints[endpoint].fault {
            Fault::Silent => (AttemptResult::ResponseTimeout, f64::INFINITY),
            Fault::Unreachable => (AttemptResult::ConnectFailed, 2.0 + 60.0 * sample),
            Fault::Errors(rate) if sample < rate => (AttemptResult::ServerError, latency_ms * 0.5),
            Fault::FailsClass(failed) if failed == class => (AttemptResult::ServerError, latency_ms * 0.3),
            Fault::FailsTenant(failed) if Some(failed) == tenant => (AttemptResult::ServerError, latency_ms),
            Fault::Rejects(rate) if sample < rate => (AttemptResult::Rejected, 1.0),
            Fault::Disconnects(rate) if sample < rate => (AttemptResult::ConnectionLost, latency_ms * 0.7),
            _ => (AttemptResult::Served, latency_ms),
        }
    }

    fn end_attempt(&mut self, request: u64, attempt: u32, result: AttemptResult) {
        let Some(record) = self.requests.get_mut(&request) else { return };
        let is_open = record.is_open;
        let Some(sent) = record.attempts.get_mut(attempt as usize).filter(|sent| !sent.ended) else { return };
        sent.ended = true;
        let (endpoint, latency_ms) = (sent.endpoint, self.now_ms - sent.sent_at_ms);
        let request_complete =
            result == AttemptResult::Served || !is_open || self.now_ms >= record.deadline_at_ms;
        if request_complete {
            record.is_open = false;
        }
        let has_responded =
            matches!(result, AttemptResult::Served | AttemptResult::ServerError | AttemptResult::Rejected);
        let mut load = ReportedLoad::default();
        if let Some(known) = self.fleet.endpoints.get_mut(endpoint) {
            known.in_flight -= 1;
            if has_responded && self.scenario.settings.load_report_delivery == 0 {
                load = self.fleet.report(&self.scenario, endpoint, &mut self.random);
            }
        }
        let endpoint = endpoint as u32;
        self.handle(Input::AttemptEnd {
            request,
            attempt,
            endpoint,
            result,
            latency_ms,
            request_complete,
            load,
        });
    }

    // Health checks, endpoint lists and faults.

    fn check_health(&mut self, endpoint: usize) {
        let fault = self.fleet.endpoints.get(endpoint).map_or(Fault::Unreachable, |known| known.fault);
        let (result, after_ms) = match fault {
            Fault::Silent => (AttemptResult::ResponseTimeout, 500.0),
            Fault::Unreachable => (AttemptResult::ConnectFailed, 30.0),
            _ => (AttemptResult::Served, self.random.range(1.0, 20.0)),
        };
        self.schedule(after_ms, Scheduled::HealthCheckEnd { endpoint, result });
    }

    fn end_health_check(&mut self, endpoint: usize, result: AttemptResult) {
        let load = if result == AttemptResult::Served {
            self.fleet.report(&self.scenario, endpoint, &mut self.random)
        } else {
            ReportedLoad::default()
        };
        self.handle(Input::HealthCheckEnd { endpoint: endpoint as u32, result, load });
    }

    fn inject_disturbance(&mut self) {
        self.fleet.recover(self.now_ms);
        let endpoints = self.fleet.inject_disturbance(&self.scenario, self.now_ms, &mut self.random);
        let notice_ms = self.random.range(100.0, 4000.0);
        self.schedule(notice_ms, Scheduled::EndpointChanges { endpoints });
        let next_ms = self.random.exponential(self.scenario.fault_every_ms);
        self.schedule(next_ms, Scheduled::Disturbance);
    }

    fn send_changes(&mut self, endpoints: &[usize]) {
        self.fleet.refresh_weights(&self.scenario, &mut self.random);
        if self.random.chance(0.1) {
            return self.send_watch_response();
        }
        let mut entries = Vec::new();
        for &number in endpoints {
            let endpoint = &self.fleet.endpoints[number];
            let readiness = if endpoint.listed { endpoint.entry.readiness } else { 2 };
            entries.push(ListEntry { readiness, ..endpoint.entry });
        }
        if self.scenario.settings.weights_reflect_load {
            let others = self.fleet.endpoints.iter().filter(|endpoint| endpoint.entry.readiness == 0);
            entries.extend(others.filter(|endpoint| endpoint.listed).map(|endpoint| endpoint.entry));
        }
        self.handle(Input::List { kind: 0, entries });
    }

    fn send_watch_response(&mut self) {
        if self.random.chance(0.15) {
            return self.handle(Input::List { kind: 3, entries: Vec::new() });
        }
        self.fleet.refresh_weights(&self.scenario, &mut self.random);
        let listed =
            self.fleet.endpoints.iter().filter(|endpoint| endpoint.listed && endpoint.entry.readiness < 2);
        let entries: Vec<ListEntry> = listed.map(|endpoint| endpoint.entry).collect();
        self.handle(Input::List { kind: 1, entries });
        if self.scenario.settings.poll_discovery {
            let next_ms = self.random.range(300.0, 1500.0);
            self.schedule(next_ms, Scheduled::EndpointChanges { endpoints: Vec::new() });
        }
    }

    fn next_phase(&mut self) {
        self.phase = (self.phase + 1) % self.scenario.loads.len();
        self.fleet.load = self.scenario.loads[self.phase];
        self.schedule(self.scenario.phase_ms, Scheduled::NextPhase);
    }

    /// Passes an unexpected event to the balancer: a timer that was not requested, or an event of an
    /// unknown request or endpoint.
    fn unexpected_event(&mut self) {
        let next_ms = self.random.exponential(1500.0);
        self.schedule(next_ms, Scheduled::UnexpectedEvent);
        let unknown = 1 << 40;
        let input = match self.random.below(5) {
            0 | 1 => Input::Timer { token: 0 },
            2 => Input::ClientDisconnected { request: unknown },
            3 => Input::HealthCheckEnd {
                endpoint: 8000,
                result: AttemptResult::ResponseTimeout,
                load: ReportedLoad::default(),
            },
            _ => Input::AttemptEnd {
                request: unknown,
                attempt: 3,
                endpoint: self.random.below(self.fleet.endpoints.len()) as u32,
                result: self.random.choose(&[
                    AttemptResult::Served,
                    AttemptResult::ResponseTimeout,
                    AttemptResult::ServerError,
                ]),
                latency_ms: self.random.range(0.0, 900.0),
                request_complete: true,
                load: ReportedLoad::default(),
            },
        };
        self.handle(input);
    }
}
