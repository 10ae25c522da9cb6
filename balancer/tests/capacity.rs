//! Capacity: what an endpoint can serve, by its load reports.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn an_idle_fleet_keeps_its_concurrency_limit() {
    // 2 a second at 2% busy is an endpoint of 100 a second; the lower bound of utilization alone would say 10.
    let mut gateway = TestGateway::new(settings(), 1);
    for _ in 0..100 {
        gateway.now_ms += 500.0;
        gateway.serve(&|_| report(2.0, 0.02));
    }
    let mut in_flight = 0;
    while sent_to(&gateway.request(2, None).1).is_some() {
        in_flight += 1;
    }
    // No more than that either: endpoints with too many requests in flight slow down, and stay slow.
    assert!((4..=5).contains(&in_flight), "{in_flight} sent at once");
}

#[test]
fn a_new_endpoint_with_low_utilization_is_not_taken_for_a_large_one() {
    let mut gateway = TestGateway::new(settings(), 3);
    for n in 0..200 {
        gateway.now_ms += 10.0;
        gateway.serve(&|_| report(160.0 + f64::from(n % 2), 0.8));
    }
    gateway.update(UpdateKind::Delta, vec![record(3)]);
    let new = |endpoint: EndpointId| if endpoint.0 == 3 { report(20.0, 0.05) } else { report(160.0, 0.8) };
    while gateway.serve(&new) != Some(EndpointId(3)) {
        gateway.now_ms += 10.0;
    }
    let mut in_flight = [0u32; 4];
    saturate(&mut gateway).iter().for_each(|(_, to)| in_flight[to.0 as usize] += 1);
    assert!(in_flight[3] > 0 && in_flight[3] <= in_flight[0] + 2, "{in_flight:?}");
}
