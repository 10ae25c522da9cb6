//! Outlier ejection: when an endpoint gets only trial requests, and when the ejection ends.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn an_endpoint_that_never_responds_is_ejected_and_returns_after_a_successful_trial() {
    let mut gateway = TestGateway::new(settings(), 4);
    let mut sent_to_failing = 0;
    for _ in 0..400 {
        gateway.now_ms += 10.0;
        let (request, actions) = gateway.request(0, None);
        let Some(endpoint) = sent_to(&actions) else { continue };
        if endpoint == EndpointId(0) {
            sent_to_failing += 1;
            let retry = gateway.end_attempt_with(
                request,
                0,
                endpoint,
                Outcome::ResponseTimeout,
                300.0,
                LoadReport::default(),
            );
            if let Some(retry_endpoint) = sent_to(&retry) {
                gateway.end_attempt(request, 1, retry_endpoint, Outcome::Served);
            }
        } else {
            gateway.end_attempt(request, 0, endpoint, Outcome::Served);
        }
    }
    // Three timeouts eject the endpoint; then it gets only trials, 250 ms, 500 ms and 1 s apart.
    assert!((5..=9).contains(&sent_to_failing), "{sent_to_failing} attempts sent in 4 s");
    let mut served_after_trial = 0;
    for _ in 0..800 {
        gateway.now_ms += 10.0;
        served_after_trial += u32::from(gateway.serve(&|_| LoadReport::default()) == Some(EndpointId(0)));
    }
    assert!(
        served_after_trial > 50,
        "the endpoint served {served_after_trial} requests after a successful trial"
    );
}

#[test]
fn a_fleet_in_which_all_endpoints_time_out_keeps_some_endpoints() {
    let mut gateway = TestGateway::new(settings(), 4);
    for _ in 0..200 {
        gateway.now_ms += 50.0;
        let (request, actions) = gateway.request(2, None);
        let endpoint = sent_to(&actions).expect("at least one endpoint is not ejected");
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
    let unresponsive = sent_to(&gateway.request(2, None).1).expect("the request is sent");
    // The typical latency is a third of the objective of 200 ms; three typical latencies have passed.
    gateway.now_ms += 250.0;
    for _ in 0..50 {
        gateway.now_ms += 1.0;
        assert_ne!(gateway.serve(&|_| LoadReport::default()), Some(unresponsive));
    }
}

#[test]
fn a_timeout_shorter_than_a_stall_does_not_count_as_a_failure() {
    let mut gateway = TestGateway::new(settings(), 2);
    let mut used = [false; 2];
    for _ in 0..60 {
        gateway.now_ms += 10.0;
        let (request, actions) = gateway.request(2, None);
        let endpoint = sent_to(&actions).expect("no endpoint is ejected");
        used[endpoint.0 as usize] = true;
        gateway.end_attempt_with(request, 0, endpoint, Outcome::ResponseTimeout, 30.0, LoadReport::default());
    }
    assert_eq!(used, [true; 2]);
}

#[test]
fn an_endpoint_far_slower_than_its_peers_is_ejected() {
    let mut gateway = TestGateway::new(settings(), 4);
    let mut sent_to_slow = 0;
    for _ in 0..400 {
        gateway.now_ms += 10.0;
        let (request, actions) = gateway.request(2, None);
        let endpoint = sent_to(&actions).expect("the request is sent");
        let is_slow = endpoint == EndpointId(0);
        sent_to_slow += u32::from(is_slow);
        gateway.end_attempt_with(
            request,
            0,
            endpoint,
            Outcome::Served,
            if is_slow { 400.0 } else { 40.0 },
            LoadReport::default(),
        );
    }
    assert!((3..=12).contains(&sent_to_slow), "the slow endpoint got {sent_to_slow} of 400 requests");
}
