//! A small deployment, and one gateway of it whose endpoints do as the test says.
#![allow(dead_code, reason = "each test file uses only some of these")]

use ternstack_balancer::*;

pub fn class(effect: Idempotency) -> RequestClass {
    RequestClass {
        name: format!("{effect:?}"),
        latency_objective_ms: 200.0,
        deadline_ms: 600.0,
        late_value_ratio: 0.0,
        idempotency: effect,
        deduplication_scope: DeduplicationScope::Cell,
        deduplication_window_ms: 300.0,
    }
}

/// Classes 0, 1, 2 are idempotent, idempotent with a key within a cell, and not idempotent; one tenant with a
/// quota of 20 requests a second.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::IdempotentWithKey),
            class(Idempotency::NonIdempotent),
        ],
        tenants: vec![Tenant { name: "one".into(), quota_per_s: 20.0 }],
        gateway_count: 1,
        gateway_index: 0,
        zone: 0,
        tick_ms: 5.0,
        weights_reflect_load: false,
        cross_zone_cost_ratio: 0.0,
        connection_idle_timeout_ms: 60_000.0,
        load_report_delivery: LoadReportDelivery::Inline,
        poll_discovery: false,
        max_attempts: 4,
        health_checks_allowed: false,
        cancellation_allowed: true,
        max_retry_after_ms: 1000.0,
        max_discovery_age_ms: 10_000.0,
        slow_start_min_ratio: 0.1,
        slow_start_ms: 20_000.0,
        slow_start_overload_multiple: 4.0,
        removal_is_advisory: false,
        availability_weight: 0.0,
        availability_target_nines: None,
    }
}

pub fn record(n: u32) -> EndpointRecord {
    EndpointRecord { endpoint: EndpointId(n), cell: n / 2, ..EndpointRecord::default() }
}

pub fn report(throughput: f64, utilization: f64) -> LoadReport {
    LoadReport { throughput_per_s: Some(throughput), utilization: Some(utilization), queue_length: None }
}

/// A gateway: a balancer with its clock.
pub struct TestGateway {
    pub balancer: Balancer,
    pub now_ms: f64,
    next: u64,
}

impl TestGateway {
    pub fn new(settings: Settings, endpoints: u32) -> Self {
        let seed = 7 + u64::from(settings.gateway_index);
        let balancer = Balancer::new(settings, seed).expect("the settings are sound");
        let mut gateway = TestGateway { balancer, now_ms: 1000.0, next: 0 };
        gateway.update(UpdateKind::Cached, (0..endpoints).map(record).collect());
        gateway
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now_ms, event, &mut actions);
        actions
    }

    pub fn update(&mut self, kind: UpdateKind, records: Vec<EndpointRecord>) -> Vec<Action> {
        self.handle(Event::EndpointUpdate { kind, endpoints: records })
    }

    pub fn request(&mut self, class: usize, tenant: Option<usize>) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next);
        self.next += 1;
        let arrival = Arrival { request, class, tenant, client_timeout_ms: 600.0 };
        (request, self.handle(Event::Request(arrival)))
    }

    pub fn end_attempt(
        &mut self, request: RequestId, attempt: u32, endpoint: EndpointId, outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_with(request, attempt, endpoint, outcome, 20.0, LoadReport::default())
    }

    pub fn end_attempt_with(
        &mut self, request: RequestId, attempt: u32, endpoint: EndpointId, outcome: Outcome, latency_ms: f64,
        report: LoadReport,
    ) -> Vec<Action> {
        let request_complete = outcome == Outcome::Served;
        self.handle(Event::AttemptEnd(AttemptEnd {
            request,
            attempt,
            endpoint,
            outcome,
            latency_ms,
            request_complete,
            report,
        }))
    }

    /// A request served at once wherever it goes, with a load report of its endpoint.
    pub fn serve(&mut self, reports: &dyn Fn(EndpointId) -> LoadReport) -> Option<EndpointId> {
        let (request, actions) = self.request(0, None);
        let endpoint = sent_to(&actions)?;
        self.end_attempt_with(request, 0, endpoint, Outcome::Served, 20.0, reports(endpoint));
        Some(endpoint)
    }

    /// How long it takes, from the last actions, until discovery is called; that must be within `most_ms`.
    pub fn time_until_watch(&mut self, mut actions: Vec<Action>, most_ms: f64) -> f64 {
        let from = self.now_ms;
        while !actions.contains(&Action::WatchEndpoints) {
            assert!(self.now_ms - from < most_ms, "asked well within the time allowed");
            actions = self.fire_timer_after(10.0);
        }
        self.now_ms - from
    }

    pub fn fire_timer_after(&mut self, after_ms: f64) -> Vec<Action> {
        self.now_ms += after_ms;
        self.handle(Event::Timer { token: 0 })
    }
}

pub fn sent_to(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|a| if let Action::Send { endpoint, .. } = a { Some(*endpoint) } else { None })
}

pub fn rejected(actions: &[Action]) -> Option<f64> {
    actions.iter().find_map(|a| {
        if let Action::Reject { retry_after_ms, .. } = a {
            Some(*retry_after_ms)
        } else {
            None
        }
    })
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Sends requests until every endpoint is at its concurrency limit.
pub fn saturate(gateway: &mut TestGateway) -> Vec<(RequestId, EndpointId)> {
    let mut out = Vec::new();
    loop {
        let (id, actions) = gateway.request(2, None);
        let Some(to) = sent_to(&actions) else { return out };
        out.push((id, to));
    }
}

/// One of 200 gateways has requests for a few of 100 endpoints, one in `every` 10 ms, for 20 s. The first endpoint takes
/// `slow` ms, the others `latency`: its mean requests in flight over the last 10 s, and the rejections in them.
pub fn slow_first_endpoint(every: u32, utilization: f64, slow: f64, latency: f64) -> (f64, u32) {
    let mut gateway = TestGateway::new(Settings { gateway_count: 200, ..settings() }, 100);
    let (mut in_flight, mut area, mut rejections) = (Vec::<(f64, RequestId, EndpointId, f64)>::new(), 0.0, 0);
    let mut first = None;
    for n in 0..2000 {
        let mut actions = gateway.fire_timer_after(10.0);
        if n % every == 0 {
            actions.extend(gateway.request(2, None).1);
        }
        let (done, left) = in_flight.into_iter().partition(|(at, ..)| *at <= gateway.now_ms);
        in_flight = left;
        for (_, id, to, latency) in done {
            let report = report(30.0 + f64::from(n % 7), utilization);
            actions.extend(gateway.end_attempt_with(id, 0, to, Outcome::Served, latency, report));
        }
        for action in actions {
            match action {
                Action::Send { request, endpoint, .. } => {
                    let takes = if *first.get_or_insert(endpoint) == endpoint { slow } else { latency };
                    in_flight.push((gateway.now_ms + takes, request, endpoint, takes));
                }
                Action::Reject { .. } => rejections += u32::from(n >= 1000),
                _ => {}
            }
        }
        let there = in_flight.iter().filter(|o| Some(o.2) == first).count();
        area += if n >= 1000 { there as f64 / 1000.0 } else { 0.0 };
    }
    (area, rejections)
}
