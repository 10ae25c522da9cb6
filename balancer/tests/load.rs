//! Load reports and weights: the fraction of the requests for which an endpoint is picked.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn endpoints_are_picked_in_proportion_to_throughput_over_utilization() {
    let mut gateway = TestGateway::new(settings(), 2);
    let reports = |endpoint: EndpointId| if endpoint.0 == 0 { report(30.0, 0.5) } else { report(10.0, 0.5) };
    let mut counts = [0u32; 2];
    for index in 0..4000 {
        gateway.now_ms += 10.0;
        if let (Some(endpoint), true) = (gateway.serve(&reports), index > 100) {
            counts[endpoint.0 as usize] += 1;
        }
    }
    let fraction = f64::from(counts[0]) / f64::from(counts[0] + counts[1]);
    assert!((0.72..0.78).contains(&fraction), "weights of 60 and 20 give a fraction of 3/4, got {fraction}");
}

#[test]
fn a_weight_is_at_least_a_quarter_of_the_mean() {
    let mut gateway = TestGateway::new(settings(), 2);
    let reports = |endpoint: EndpointId| if endpoint.0 == 0 { report(100.0, 1.0) } else { report(0.1, 1.0) };
    let mut counts = [0u32; 2];
    for index in 0..4000 {
        gateway.now_ms += 10.0;
        if let (Some(endpoint), true) = (gateway.serve(&reports), index > 100) {
            counts[endpoint.0 as usize] += 1;
        }
    }
    let fraction = f64::from(counts[1]) / f64::from(counts[0] + counts[1]);
    assert!(
        (0.09..0.14).contains(&fraction),
        "weights of 12.5 and 100 give a fraction of 0.11, got {fraction}"
    );
}

#[test]
fn invalid_load_reports_are_ignored() {
    let mut gateway = TestGateway::new(settings(), 2);
    for (throughput_per_s, utilization) in
        [(f64::NAN, 0.5), (f64::INFINITY, 0.5), (-3.0, 0.5), (10.0, f64::NAN), (0.0, 0.0)]
    {
        gateway.now_ms += 10.0;
        assert!(gateway.serve(&|_| report(throughput_per_s, utilization)).is_some());
    }
}

#[test]
fn an_endpoint_whose_weight_shows_high_load_gets_fewer_requests_but_not_none() {
    let mut settings = settings();
    settings.weights_reflect_load = true;
    let mut gateway = TestGateway::new(settings, 4);
    for in_flight in [0.0, 3.0, 3.0, 3.0, 3.0] {
        let weight = |index: u32| if index == 0 { 1.0 / (1.0 + in_flight) } else { 1.0 };
        let records = (0..4).map(|index| EndpointRecord { weight: weight(index), ..record(index) }).collect();
        gateway.update(UpdateKind::Delta, records);
    }
    let count = (0..800).filter(|_| gateway.serve(&|_| report(30.0, 0.6)) == Some(EndpointId(0))).count();
    assert!((30..110).contains(&count), "the loaded endpoint gets {count} of 800 requests");
}
