//! Load reports and weights: how many requests an endpoint is drawn for.

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
