//! Cost of a decision: one balancer with the hosts of one list.
use crate::policy::single_gateway_settings;
use ternstack_balancer::{
    Action, Arrival, AttemptEnd, Balancer, DeduplicationScope, EndpointId, EndpointRecord, Event,
    Idempotency, LoadReport, Outcome, RequestClass, RequestId, Settings, Tenant, UpdateKind,
};

/// A balancer that has received a response from each of its hosts, with a virtual clock.
pub struct WarmBalancer {
    balancer: Balancer,
    now_ms: f64,
    /// Number of requests so far.
    pub requests: u64,
    gap_ms: f64,
    actions: Vec<Action>,
    timers: Vec<(f64, u64)>,
    /// Number of requests that were sent to a host.
    pub sent: u64,
}

impl WarmBalancer {
    /// Creates the balancer of one of `gateway_count` gateways, with `gap_ms` between two requests, and
    /// completes two requests per host.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid.
    pub fn new(hosts: u32, gateway_count: u32, gap_ms: f64) -> Result<Self, String> {
        let class = RequestClass {
            name: "read".into(),
            latency_objective_ms: 1200.0,
            deadline_ms: 5000.0,
            late_value_ratio: 0.2,
            idempotency: Idempotency::Idempotent,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window_ms: 0.0,
        };
        let tenant = Tenant { name: "one".into(), quota_per_s: 0.0 };
        let settings =
            Settings { max_attempts: 3, gateway_count, ..single_gateway_settings(vec![class], vec![tenant]) };
        let balancer = Balancer::new(settings, 7).map_err(|e| e.to_string())?;
        let mut warm = WarmBalancer {
            balancer,
            now_ms: 1000.0,
            requests: 0,
            gap_ms,
            actions: Vec::new(),
            timers: Vec::new(),
            sent: 0,
        };
        let record = |n| EndpointRecord {
            endpoint: EndpointId(n),
            weight: 1.0,
            hash: u64::from(n),
            ..EndpointRecord::default()
        };
        let records = (0..hosts).map(record).collect();
        warm.handle(Event::EndpointUpdate { kind: UpdateKind::Cached, endpoints: records });
        (0..2 * hosts).for_each(|_| warm.complete_request());
        Ok(warm)
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now_ms, event, &mut self.actions);
        let timers = self.actions.iter().filter_map(|a| match a {
            Action::Timer { at_ms: at, token } => Some((*at, *token)),
            _ => None,
        });
        self.timers.extend(timers);
    }

    /// Completes one request, after the timers that are due before it.
    pub fn complete_request(&mut self) {
        let until = self.now_ms + self.gap_ms;
        let is_due = |(at, _): &&(f64, u64)| *at <= until;
        let earlier = |a: &&(f64, u64), b: &&(f64, u64)| a.0.total_cmp(&b.0);
        while let Some(due_timer) = self.timers.iter().filter(is_due).min_by(earlier).copied() {
            self.timers.retain(|t| *t != due_timer);
            self.now_ms = self.now_ms.max(due_timer.0);
            self.handle(Event::Timer { token: due_timer.1 });
        }
        self.now_ms = until;
        self.requests += 1;
        let request = RequestId(self.requests);
        self.handle(Event::Request(Arrival {
            request,
            class: 0,
            tenant: Some(0),
            client_timeout_ms: 2500.0,
        }));
        let sent = self.actions.iter().find_map(|a| match a {
            Action::Send { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        let Some(endpoint) = sent else { return };
        self.sent += 1;
        // The values change from report to report, as those of real hosts do.
        let report = LoadReport {
            utilization: Some(0.4 + 0.001 * (self.requests % 97) as f64),
            throughput_per_s: Some(18.0 + 0.01 * (self.requests % 89) as f64),
            queue_length: None,
        };
        self.handle(Event::AttemptEnd(AttemptEnd {
            request,
            attempt: 0,
            endpoint,
            outcome: Outcome::Served,
            latency_ms: 150.0,
            request_complete: true,
            report,
        }));
    }
}
