//! Outlier ejection: when an endpoint gets nothing but trials, and its return.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn an_endpoint_that_never_responds_is_ejected_and_returns_after_a_successful_trial() {
    let mut gateway = TestGateway::new(settings(), 4);
    let mut to_failing = 0;
    for _ in 0..400 {
        gateway.now_ms += 10.0;
        let (request, actions) = gateway.request(0, None);
        let Some(endpoint) = sent_to(&actions) else { continue };
        if endpoint == EndpointId(0) {
            to_failing += 1;
            let again = gateway.end_attempt_with(
                request,
                0,
                endpoint,
                Outcome::ResponseTimeout,
                300.0,
                LoadReport::default(),
            );
            if let Some(other) = sent_to(&again) {
                gateway.end_attempt(request, 1, other, Outcome::Served);
            }
        } else {
            gateway.end_attempt(request, 0, endpoint, Outcome::Served);
        }
    }
    // Three ejected it; since then trials only, 250 ms, then 500 ms, then 1 s apart, by the latency objective.
    assert!((5..=9).contains(&to_failing), "{to_failing} sends in 4 s");
    let mut back = 0;
    for _ in 0..800 {
        gateway.now_ms += 10.0;
        back += u32::from(gateway.serve(&|_| LoadReport::default()) == Some(EndpointId(0)));
    }
    assert!(back > 50, "returned after a successful trial: {back}");
}

#[test]
fn most_of_the_fleet_is_never_ejected() {
    let mut gateway = TestGateway::new(settings(), 4);
    for _ in 0..200 {
        gateway.now_ms += 50.0;
        let (request, actions) = gateway.request(2, None);
        let endpoint = sent_to(&actions).expect("an endpoint is always left to try");
        gateway.end_attempt_with(
            request,
            0,
            endpoint,
            Outcome::ResponseTimeout,
            300.0,
            LoadReport::default(),
        );
    }
}

#[test]
fn an_unresponsive_endpoint_gets_no_new_requests() {
    let mut gateway = TestGateway::new(settings(), 2);
    let hung = sent_to(&gateway.request(2, None).1).expect("sent");
    gateway.now_ms += 250.0; // three typical latencies of a third of the objective
    for _ in 0..50 {
        gateway.now_ms += 1.0;
        assert_ne!(gateway.serve(&|_| LoadReport::default()), Some(hung));
    }
}

#[test]
fn a_timeout_shorter_than_a_stall_does_not_count_as_a_failure() {
    let mut gateway = TestGateway::new(settings(), 2);
    let mut seen = [false; 2];
    for _ in 0..60 {
        gateway.now_ms += 10.0;
        let (request, actions) = gateway.request(2, None);
        let endpoint = sent_to(&actions).expect("no endpoint is ejected");
        seen[endpoint.0 as usize] = true;
        gateway.end_attempt_with(request, 0, endpoint, Outcome::ResponseTimeout, 30.0, LoadReport::default());
    }
    assert_eq!(seen, [true; 2]);
}

#[test]
fn an_endpoint_far_slower_than_its_peers_is_ejected() {
    let mut gateway = TestGateway::new(settings(), 4);
    let mut to_slow = 0;
    for _ in 0..400 {
        gateway.now_ms += 10.0;
        let (request, actions) = gateway.request(2, None);
        let endpoint = sent_to(&actions).expect("sent");
        let slow = endpoint == EndpointId(0);
        to_slow += u32::from(slow);
        gateway.end_attempt_with(
            request,
            0,
            endpoint,
            Outcome::Served,
            if slow { 400.0 } else { 40.0 },
            LoadReport::default(),
        );
    }
    assert!((3..=12).contains(&to_slow), "{to_slow} of 400");
}
