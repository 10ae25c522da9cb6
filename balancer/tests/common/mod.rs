//! A small deployment and short ways to speak to a balancer.
#![allow(dead_code)]

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

/// Classes 0, 1, 2 are safe, keyed by cell, and unsafe; one tenant with 20 requests a second.
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

pub fn member(n: u32) -> EndpointRecord {
    EndpointRecord { endpoint: EndpointId(n), cell: n / 2, ..EndpointRecord::default() }
}

pub fn report(throughput: f64, utilization: f64) -> LoadReport {
    LoadReport { throughput_per_s: Some(throughput), utilization: Some(utilization), queue_length: None }
}

/// A balancer with its clock.
pub struct Bench {
    pub balancer: Balancer,
    pub now: f64,
    next: u64,
}

impl Bench {
    pub fn new(settings: Settings, servers: u32) -> Self {
        let seed = 7 + u64::from(settings.gateway_index);
        let balancer = Balancer::new(settings, seed).expect("the settings are sound");
        let mut bench = Bench { balancer, now: 1000.0, next: 0 };
        bench.list(UpdateKind::Cached, (0..servers).map(member).collect());
        bench
    }

    pub fn take(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, kind: UpdateKind, members: Vec<EndpointRecord>) -> Vec<Action> {
        self.take(Event::EndpointUpdate { kind, endpoints: members })
    }

    pub fn request(&mut self, class: usize, tenant: Option<usize>) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next);
        self.next += 1;
        let arrival = Arrival { request, class, tenant, client_timeout_ms: 600.0 };
        (request, self.take(Event::Request(arrival)))
    }

    pub fn end(
        &mut self, request: RequestId, attempt: u32, server: EndpointId, outcome: Outcome,
    ) -> Vec<Action> {
        self.end_with(request, attempt, server, outcome, 20.0, LoadReport::default())
    }

    pub fn end_with(
        &mut self, request: RequestId, attempt: u32, server: EndpointId, outcome: Outcome, latency_ms: f64,
        report: LoadReport,
    ) -> Vec<Action> {
        let complete = outcome == Outcome::Served;
        self.take(Event::AttemptEnd(AttemptEnd {
            request,
            attempt,
            endpoint: server,
            outcome,
            latency_ms,
            request_complete: complete,
            report,
        }))
    }

    /// A request served at once wherever it goes, with a report for its server.
    pub fn serve(&mut self, reports: &dyn Fn(EndpointId) -> LoadReport) -> Option<EndpointId> {
        let (request, actions) = self.request(0, None);
        let server = sent(&actions)?;
        self.end_with(request, 0, server, Outcome::Served, 20.0, reports(server));
        Some(server)
    }

    /// How long it takes, from what was just done, until discovery is asked; that must be within `most_ms`.
    pub fn asked_after(&mut self, mut actions: Vec<Action>, most_ms: f64) -> f64 {
        let from = self.now;
        while !actions.contains(&Action::WatchEndpoints) {
            assert!(self.now - from < most_ms, "asked well within the time allowed");
            actions = self.wake(10.0);
        }
        self.now - from
    }

    pub fn wake(&mut self, after_ms: f64) -> Vec<Action> {
        self.now += after_ms;
        self.take(Event::Timer { token: 0 })
    }
}

pub fn sent(actions: &[Action]) -> Option<EndpointId> {
    actions
        .iter()
        .find_map(|a| if let Action::Send { endpoint: server, .. } = a { Some(*server) } else { None })
}

pub fn refused(actions: &[Action]) -> Option<f64> {
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
