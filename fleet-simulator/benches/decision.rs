//! Cost of one decision of the balancer by the size of the fleet: arrival and end of a request, with a load
//! report. One gateway uses all hosts. `cargo bench -p ternstack-fleet-simulator` prints microseconds per
//! request.
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use ternstack_balancer::{
    Action, Arrival, AttemptEnd, Balancer, DeduplicationScope, EndpointId, EndpointRecord, Event,
    Idempotency, Outcome, RequestClass, RequestId, Settings, Tenant, UpdateKind,
};
use ternstack_fleet_simulator::policy::single_gateway_settings;

fn settings() -> Settings {
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
    Settings { max_attempts: 3, ..single_gateway_settings(vec![class], vec![tenant]) }
}

/// A balancer that has received a response from each of its hosts, with a virtual clock.
struct WarmBalancer {
    balancer: Balancer,
    now_ms: f64,
    requests: u64,
    actions: Vec<Action>,
}

impl WarmBalancer {
    fn new(hosts: u32) -> Self {
        let balancer = Balancer::new(settings(), 7).expect("the settings are valid");
        let mut warm = WarmBalancer { balancer, now_ms: 1000.0, requests: 0, actions: Vec::new() };
        let record = |n| EndpointRecord {
            endpoint: EndpointId(n),
            weight: 1.0,
            hash: u64::from(n),
            ..EndpointRecord::default()
        };
        let records = (0..hosts).map(record).collect();
        warm.handle(Event::EndpointUpdate { kind: UpdateKind::Cached, endpoints: records });
        (0..2 * hosts).for_each(|_| warm.complete_request(hosts));
        warm
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now_ms, event, &mut self.actions);
    }

    /// Completes one request. The rate of requests per host does not depend on the number of hosts.
    fn complete_request(&mut self, hosts: u32) {
        self.now_ms += 50.0 / f64::from(hosts);
        self.requests += 1;
        let request = RequestId(self.requests);
        self.handle(Event::Request(Arrival {
            request,
            class: 0,
            tenant: Some(0),
            client_timeout_ms: 2500.0,
        }));
        let sent = self.actions.iter().find_map(|a| match a {
            Action::Send { endpoint: host, .. } => Some(*host),
            _ => None,
        });
        let Some(host) = sent else { return };
        // The values change from report to report, as those of real hosts do.
        let report = ternstack_balancer::LoadReport {
            utilization: Some(0.4 + 0.001 * (self.requests % 97) as f64),
            throughput_per_s: Some(18.0 + 0.01 * (self.requests % 89) as f64),
            queue_length: None,
        };
        self.handle(Event::AttemptEnd(AttemptEnd {
            request,
            attempt: 0,
            endpoint: host,
            outcome: Outcome::Served,
            latency_ms: 150.0,
            request_complete: true,
            report,
        }));
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    group.throughput(Throughput::Elements(1)).sample_size(10);
    for hosts in [10, 100, 1000, 5000] {
        let mut warm = WarmBalancer::new(hosts);
        group.bench_function(BenchmarkId::from_parameter(hosts), |b| b.iter(|| warm.complete_request(hosts)));
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
