//! Spillover: requests go to the gateway's own zone first, and the excess goes to other zones.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_saturated_local_zone_spills_over_and_an_idle_one_does_not() {
    let mut gateway = TestGateway::new(settings(), 0);
    gateway.update(UpdateKind::Delta, vec![record(0), EndpointRecord { zone: 1, ..record(1) }]);
    let mut endpoints = Vec::new();
    while let Some(endpoint) = sent_to(&gateway.request(2, None).1) {
        endpoints.push(endpoint.0);
    }
    assert_eq!(endpoints[0], 0, "the first request goes to the local zone");
    assert!(endpoints.contains(&1), "requests spill over to the other zone");
    assert_eq!(
        endpoints.iter().filter(|id| **id == 0).count(),
        8,
        "the local endpoint is filled up to its concurrency limit"
    );
}

#[test]
fn a_zone_busier_than_others_spills_over_some_requests() {
    let mut settings = settings();
    (settings.weights_reflect_load, settings.cross_zone_cost_ratio) = (true, 0.05);
    // Returns how many of the last 200 requests go to the other zone, by the requests in flight per core
    // that the listed weights show in the own and in the other zone.
    let remote_requests = |own_in_flight: f64, other_in_flight: f64| {
        let mut gateway = TestGateway::new(settings.clone(), 0);
        let records =
            |in_flight: f64, zone| (0..4).map(move |index| (index + 4 * zone, zone, 1.0 / (1.0 + in_flight)));
        let mut remote = 0;
        for index in 0..1600 {
            gateway.now_ms += 50.0;
            if index % 20 == 0 {
                let in_flight = if index == 0 { (0.0, 0.0) } else { (own_in_flight, other_in_flight) };
                let all = records(in_flight.0, 0).chain(records(in_flight.1, 1));
                let all =
                    all.map(|(id, zone, weight)| EndpointRecord { zone, weight, ..record(id) }).collect();
                gateway.update(UpdateKind::Delta, all);
            }
            let endpoint =
                gateway.serve(&|_| report(30.0, 0.6)).expect("a fleet with capacity serves the request");
            remote += u32::from(index >= 1400 && endpoint.0 >= 4);
        }
        remote
    };
    assert!(remote_requests(4.0, 0.5) > 100, "a zone busier than the other spills over");
    assert!(remote_requests(0.5, 0.5) < 10, "a zone as busy as the other does not spill over");
}
