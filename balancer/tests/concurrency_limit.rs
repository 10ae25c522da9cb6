//! Concurrency limits: how much a gateway may have in flight at an endpoint.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn an_endpoint_that_rejects_is_paused() {
    let mut gateway = TestGateway::new(settings(), 2);
    let (request, actions) = gateway.request(2, None);
    let full = sent_to(&actions).expect("sent");
    gateway.end_attempt(request, 0, full, Outcome::Rejected);
    for _ in 0..15 {
        gateway.now_ms += 3.0;
        assert_ne!(gateway.serve(&|_| LoadReport::default()), Some(full));
    }
}

#[test]
fn a_fraction_of_a_request_is_rounded_up_only_among_few_gateways() {
    for (gateway_count, second) in [(2, true), (100, false)] {
        let mut gateway = TestGateway::new(Settings { gateway_count, ..settings() }, 1);
        for _ in 0..100 {
            gateway.now_ms += 100.0;
            gateway.serve(&|_| report(10.0, 0.3)).expect("there is capacity");
        }
        // It serves 33 a second, all for this gateway: 1.7 complete in a quarter of the objective of 200 ms.
        assert!(sent_to(&gateway.request(2, None).1).is_some());
        assert_eq!(sent_to(&gateway.request(2, None).1).is_some(), second, "{gateway_count} gateways");
    }
}

#[test]
fn gateways_divide_the_limit_of_an_endpoint_that_has_not_reported() {
    let mut settings = settings();
    settings.gateway_count = 4;
    let mut gateway = TestGateway::new(settings, 1);
    let mut in_flight = 0;
    while sent_to(&gateway.request(2, None).1).is_some() {
        in_flight += 1;
    }
    assert_eq!(in_flight, 2);
}

#[test]
fn one_request_in_flight_does_not_saturate_a_fleet_but_high_utilization_does() {
    let over = |utilization: f64| {
        let mut settings = settings();
        settings.gateway_count = 200;
        let mut gateway = TestGateway::new(settings, 4);
        for n in 0..40 {
            gateway.now_ms += 100.0; // A two-hundredth of what two endpoints complete in 80 ms is less than one request.
            gateway.serve(&|_| report(30.0 + f64::from(n % 2), utilization));
        }
        (0..40)
            .filter(|_| {
                gateway.now_ms += 10.0; // 100 a second against a two-hundredth of 20
                let (request, actions) = gateway.request(0, Some(0));
                let other = gateway.request(2, None);
                for (id, to) in [(request, sent_to(&actions)), (other.0, sent_to(&other.1))] {
                    to.map(|to| gateway.end_attempt(id, 0, to, Outcome::Served));
                }
                rejected(&actions).is_some()
            })
            .count()
    };
    assert_eq!(over(0.3), 0, "there is capacity");
    assert!(over(0.97) > 20, "there is none");
}

/// One of 200 gateways has requests for a few of 100 endpoints, one in `every` 10 ms, for 20 s. The first endpoint takes
/// `slow` ms, the others `latency`: its mean requests in flight over the last 10 s, and the rejections in them.
fn slow_first_endpoint(every: u32, utilization: f64, slow: f64, latency: f64) -> (f64, u32) {
    let mut gateway = TestGateway::new(Settings { gateway_count: 200, ..settings() }, 100);
    let (mut in_flight, mut area, mut rejections) = (Vec::<(f64, RequestId, EndpointId, f64)>::new(), 0.0, 0);
    let mut first = None;
    for n in 0..2000 {
        let mut actions = gateway.fire_timer_after(10.0);
        if n % every == 0 {
            actions.extend(gateway.request(2, None).1);
        }
        let (done, left) = in_flight.into_iter().partition(|(at, ..)| *at <= gateway.now_ms);
        in_flight = left;
        for (_, id, to, latency) in done {
            let report = report(30.0 + f64::from(n % 7), utilization);
            actions.extend(gateway.end_attempt_with(id, 0, to, Outcome::Served, latency, report));
        }
        for action in actions {
            match action {
                Action::Send { request, endpoint, .. } => {
                    let takes = if *first.get_or_insert(endpoint) == endpoint { slow } else { latency };
                    in_flight.push((gateway.now_ms + takes, request, endpoint, takes));
                }
                Action::Reject { .. } => rejections += u32::from(n >= 1000),
                _ => {}
            }
        }
        let there = in_flight.iter().filter(|o| Some(o.2) == first).count();
        area += if n >= 1000 { there as f64 / 1000.0 } else { 0.0 };
    }
    (area, rejections)
}

#[test]
fn late_responses_of_a_saturated_fleet_reduce_admission() {
    let rejected = slow_first_endpoint(7, 0.97, 190.0, 190.0).1;
    assert!(
        (70..140).contains(&rejected),
        "a concurrency factor of 0.4 admits 0.4 at most: {rejected} of 143"
    );
    assert_eq!(slow_first_endpoint(7, 0.97, 40.0, 40.0).1, 0, "busy, but in time");
    assert_eq!(slow_first_endpoint(20, 0.4, 190.0, 190.0).1, 0, "late, but not saturated");
}

#[test]
fn a_busy_endpoint_slower_than_usual_is_paused() {
    // Its part is a quarter of the 1.7 that complete in a quarter of the objective.
    let (in_flight, _) = slow_first_endpoint(4, 0.97, 190.0, 40.0);
    assert!(in_flight < 0.5, "{in_flight} are in flight on average");
    let (idle, _) = slow_first_endpoint(4, 0.4, 190.0, 40.0);
    assert!(idle > in_flight + 0.1, "{idle} are in flight where it is not busy, {in_flight} where it is");
}
