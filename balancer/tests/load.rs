//! Load reports and weights: how large an endpoint is taken to be.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn endpoints_are_drawn_in_proportion_to_throughput_over_utilization() {
    let mut gateway = TestGateway::new(settings(), 2);
    let reports = |endpoint: EndpointId| if endpoint.0 == 0 { report(30.0, 0.5) } else { report(10.0, 0.5) };
    let mut counts = [0u32; 2];
    for n in 0..4000 {
        gateway.now_ms += 10.0;
        if let (Some(endpoint), true) = (gateway.serve(&reports), n > 100) {
            counts[endpoint.0 as usize] += 1;
        }
    }
    let part = f64::from(counts[0]) / f64::from(counts[0] + counts[1]);
    assert!((0.72..0.78).contains(&part), "60 against 20 gives 3/4, seen {part}");
}

#[test]
fn a_weight_is_at_least_a_quarter_of_the_mean() {
    let mut gateway = TestGateway::new(settings(), 2);
    let reports = |endpoint: EndpointId| if endpoint.0 == 0 { report(100.0, 1.0) } else { report(0.1, 1.0) };
    let mut counts = [0u32; 2];
    for n in 0..4000 {
        gateway.now_ms += 10.0;
        if let (Some(endpoint), true) = (gateway.serve(&reports), n > 100) {
            counts[endpoint.0 as usize] += 1;
        }
    }
    let part = f64::from(counts[1]) / f64::from(counts[0] + counts[1]);
    assert!((0.09..0.14).contains(&part), "12.5 against 100 gives 0.11, seen {part}");
}

#[test]
fn invalid_load_reports_are_ignored() {
    let mut gateway = TestGateway::new(settings(), 2);
    for (t, u) in [(f64::NAN, 0.5), (f64::INFINITY, 0.5), (-3.0, 0.5), (10.0, f64::NAN), (0.0, 0.0)] {
        gateway.now_ms += 10.0;
        assert!(gateway.serve(&|_| report(t, u)).is_some());
    }
}

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
fn an_endpoint_with_many_requests_by_its_live_weight_gets_fewer_but_some() {
    let mut settings = settings();
    settings.weights_reflect_load = true;
    let mut gateway = TestGateway::new(settings, 4);
    for in_flight in [0.0, 3.0, 3.0, 3.0, 3.0] {
        let weight = |n: u32| if n == 0 { 1.0 / (1.0 + in_flight) } else { 1.0 };
        let records = (0..4).map(|n| EndpointRecord { weight: weight(n), ..record(n) }).collect();
        gateway.update(UpdateKind::Delta, records);
    }
    let to = (0..800).filter(|_| gateway.serve(&|_| report(30.0, 0.6)) == Some(EndpointId(0))).count();
    assert!((30..110).contains(&to), "{to} of 800");
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
