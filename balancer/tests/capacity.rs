//! Capacity: the estimate of how many requests an endpoint can serve, from its load reports.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn an_idle_fleet_keeps_its_concurrency_limit() {
    // 2 requests per second at a utilization of 2% mean a capacity of 100; with the lower bound for weights
    // of 20% the capacity would seem to be 10.
    let mut gateway = TestGateway::new(settings(), 1);
    for _ in 0..100 {
        gateway.now_ms += 500.0;
        gateway.serve(&|_| report(2.0, 0.02));
    }
    let mut in_flight = 0;
    while sent_to(&gateway.request(2, None).1).is_some() {
        in_flight += 1;
    }
    // The limit has an upper bound too, because endpoints with too many requests in flight become slow and
    // stay slow.
    assert!((4..=5).contains(&in_flight), "{in_flight} requests are in flight");
}

#[test]
fn a_new_endpoint_with_low_utilization_gets_no_excess_of_requests() {
    let mut gateway = TestGateway::new(settings(), 3);
    for index in 0..200 {
        gateway.now_ms += 10.0;
        gateway.serve(&|_| report(160.0 + f64::from(index % 2), 0.8));
    }
    gateway.update(UpdateKind::Delta, vec![record(3)]);
    let reports =
        |endpoint: EndpointId| if endpoint.0 == 3 { report(20.0, 0.05) } else { report(160.0, 0.8) };
    while gateway.serve(&reports) != Some(EndpointId(3)) {
        gateway.now_ms += 10.0;
    }
    let mut in_flight = [0u32; 4];
    saturate(&mut gateway).iter().for_each(|(_, endpoint)| in_flight[endpoint.0 as usize] += 1);
    assert!(
        in_flight[3] > 0 && in_flight[3] <= in_flight[0] + 2,
        "the new endpoint gets about as many requests as the others: {in_flight:?}"
    );
}
