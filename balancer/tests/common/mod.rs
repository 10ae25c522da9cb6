//! Settings of a small deployment, and a gateway in it whose endpoints behave as the test specifies.
#![allow(dead_code, reason = "each test file uses only some of these helpers")]

use ternstack_balancer::*;

pub fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        name: format!("{idempotency:?}"),
        latency_objective_ms: 200.0,
        deadline_ms: 600.0,
        late_value_ratio: 0.0,
        idempotency,
        deduplication_scope: DeduplicationScope::Cell,
        deduplication_window_ms: 300.0,
    }
}

/// Returns settings with three classes (0 is idempotent, 1 is idempotent with a key within a cell, 2 is not
/// idempotent) and one tenant with a quota of 20 requests per second.
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
        drain_grace_ms: None,
        slow_start_min_ratio: 0.1,
        slow_start_ms: 20_000.0,
        slow_start_overload_multiple: 4.0,
        removal_is_advisory: false,
        availability_weight: 0.0,
        availability_target_nines: None,
    }
}

/// Returns the list entry of an active endpoint; each cell has two endpoints.
pub fn record(id: u32) -> EndpointRecord {
    EndpointRecord { endpoint: EndpointId(id), cell: id / 2, ..EndpointRecord::default() }
}

pub fn report(throughput_per_s: f64, utilization: f64) -> LoadReport {
    LoadReport {
        throughput_per_s: Some(throughput_per_s),
        utilization: Some(utilization),
        queue_length: None,
    }
}

/// A balancer with the clock of its gateway.
pub struct TestGateway {
    pub balancer: Balancer,
    pub now_ms: f64,
    next_request: u64,
}

impl TestGateway {
    pub fn new(settings: Settings, endpoints: u32) -> Self {
        let seed = 7 + u64::from(settings.gateway_index);
        let balancer = Balancer::new(settings, seed).expect("the settings are valid");
        let mut gateway = TestGateway { balancer, now_ms: 1000.0, next_request: 0 };
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
        let request = RequestId(self.next_request);
        self.next_request += 1;
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

    /// Sends a request of class 0 that any endpoint serves in 20 ms, with the load report that `reports`
    /// gives for the endpoint. Returns the endpoint, if the request was forwarded.
    pub fn serve(&mut self, reports: &dyn Fn(EndpointId) -> LoadReport) -> Option<EndpointId> {
        let (request, actions) = self.request(0, None);
        let endpoint = sent_to(&actions)?;
        self.end_attempt_with(request, 0, endpoint, Outcome::Served, 20.0, reports(endpoint));
        Some(endpoint)
    }

    /// Returns the time in ms until the balancer watches discovery, given its latest actions; asserts that
    /// the time is below `max_ms`.
    pub fn time_until_watch_ms(&mut self, mut actions: Vec<Action>, max_ms: f64) -> f64 {
        let start_ms = self.now_ms;
        while !actions.contains(&Action::WatchEndpoints) {
            assert!(self.now_ms - start_ms < max_ms, "the balancer watches discovery within {max_ms} ms");
            actions = self.fire_timer_after(10.0);
        }
        self.now_ms - start_ms
    }

    pub fn fire_timer_after(&mut self, after_ms: f64) -> Vec<Action> {
        self.now_ms += after_ms;
        self.handle(Event::Timer { token: 0 })
    }
}

/// Returns the endpoint that the actions send an attempt to.
pub fn sent_to(actions: &[Action]) -> Option<EndpointId> {
    actions
        .iter()
        .find_map(|action| if let Action::Send { endpoint, .. } = action { Some(*endpoint) } else { None })
}

/// Returns the Retry-After in ms if the actions reject a request.
pub fn rejected(actions: &[Action]) -> Option<f64> {
    actions.iter().find_map(|action| {
        if let Action::Reject { retry_after_ms, .. } = action {
            Some(*retry_after_ms)
        } else {
            None
        }
    })
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// Sends requests until every endpoint is at its concurrency limit, and returns those that are in flight.
pub fn saturate(gateway: &mut TestGateway) -> Vec<(RequestId, EndpointId)> {
    let mut in_flight = Vec::new();
    loop {
        let (request, actions) = gateway.request(2, None);
        let Some(endpoint) = sent_to(&actions) else { return in_flight };
        in_flight.push((request, endpoint));
    }
}

/// Simulates one of 200 gateways in front of 100 endpoints for 20 s, with a request every `request_every`
/// ticks of 10 ms. The first endpoint that gets a request responds after `first_latency_ms`, and the others
/// after `other_latency_ms`. Returns the mean number of requests in flight at the first endpoint and the
/// number of rejections, both over the last 10 s.
pub fn slow_first_endpoint(
    request_every: u32, utilization: f64, first_latency_ms: f64, other_latency_ms: f64,
) -> (f64, u32) {
    let mut gateway = TestGateway::new(Settings { gateway_count: 200, ..settings() }, 100);
    let (mut in_flight, mut mean_in_flight, mut rejections) =
        (Vec::<(f64, RequestId, EndpointId, f64)>::new(), 0.0, 0);
    let mut first_endpoint = None;
    for tick in 0..2000 {
        let mut actions = gateway.fire_timer_after(10.0);
        if tick % request_every == 0 {
            actions.extend(gateway.request(2, None).1);
        }
        let (ended, remaining) = in_flight.into_iter().partition(|(end_ms, ..)| *end_ms <= gateway.now_ms);
        in_flight = remaining;
        for (_, request, endpoint, latency_ms) in ended {
            let report = report(30.0 + f64::from(tick % 7), utilization);
            actions.extend(gateway.end_attempt_with(
                request,
                0,
                endpoint,
                Outcome::Served,
                latency_ms,
                report,
            ));
        }
        for action in actions {
            match action {
                Action::Send { request, endpoint, .. } => {
                    let latency_ms = if *first_endpoint.get_or_insert(endpoint) == endpoint {
                        first_latency_ms
                    } else {
                        other_latency_ms
                    };
                    in_flight.push((gateway.now_ms + latency_ms, request, endpoint, latency_ms));
                }
                Action::Reject { .. } => rejections += u32::from(tick >= 1000),
                _ => {}
            }
        }
        let at_first = in_flight.iter().filter(|attempt| Some(attempt.2) == first_endpoint).count();
        mean_in_flight += if tick >= 1000 { at_first as f64 / 1000.0 } else { 0.0 };
    }
    (mean_in_flight, rejections)
}
