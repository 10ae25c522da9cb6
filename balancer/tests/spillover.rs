//! Spillover: the own zone first, and the excess to others.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_saturated_local_zone_spills_over_and_an_idle_one_does_not() {
    let mut gateway = TestGateway::new(settings(), 0);
    gateway.update(UpdateKind::Delta, vec![record(0), EndpointRecord { zone: 1, ..record(1) }]);
    let mut order = Vec::new();
    while let Some(endpoint) = sent_to(&gateway.request(2, None).1) {
        order.push(endpoint.0);
    }
    assert_eq!(order[0], 0, "the local zone comes first");
    assert!(order.contains(&1), "then the other one");
    assert_eq!(order.iter().filter(|s| **s == 0).count(), 8, "then what is left in the local zone");
}

#[test]
fn a_zone_busier_than_others_spills_over_some_requests() {
    let mut settings = settings();
    (settings.weights_reflect_load, settings.cross_zone_cost_ratio) = (true, 0.05);
    let remote = |own: f64, other: f64| {
        let mut gateway = TestGateway::new(settings.clone(), 0);
        let records =
            |in_flight: f64, zone| (0..4).map(move |n| (n + 4 * zone, zone, 1.0 / (1.0 + in_flight)));
        let mut remote = 0;
        for n in 0..1600 {
            gateway.now_ms += 50.0;
            if n % 20 == 0 {
                let in_flight = if n == 0 { (0.0, 0.0) } else { (own, other) };
                let all = records(in_flight.0, 0).chain(records(in_flight.1, 1));
                let all = all.map(|(n, zone, weight)| EndpointRecord { zone, weight, ..record(n) }).collect();
                gateway.update(UpdateKind::Delta, all);
            }
            let to = gateway.serve(&|_| report(30.0, 0.6)).expect("there is capacity");
            remote += u32::from(n >= 1400 && to.0 >= 4);
        }
        remote
    };
    assert!(remote(4.0, 0.5) > 100, "a crowded zone spills over");
    assert!(remote(0.5, 0.5) < 10, "an equally busy one does not");
}
