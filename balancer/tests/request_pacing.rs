//! Request pacing: pauses of the sends to an endpoint that is slow or full.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn sends_to_an_endpoint_that_rejects_are_paused() {
    let mut gateway = TestGateway::new(settings(), 2);
    let (request, actions) = gateway.request(2, None);
    let full = sent_to(&actions).expect("the request is sent");
    gateway.end_attempt(request, 0, full, Outcome::Rejected);
    for _ in 0..15 {
        gateway.now_ms += 3.0;
        assert_ne!(gateway.serve(&|_| LoadReport::default()), Some(full));
    }
}

#[test]
fn sends_to_a_busy_endpoint_slower_than_typical_are_paused() {
    // The gateway's share is a quarter of the 1.7 requests that the endpoint serves in a quarter of the
    // objective.
    let (busy_in_flight, _) = slow_first_endpoint(4, 0.97, 190.0, 40.0);
    assert!(busy_in_flight < 0.5, "{busy_in_flight} requests in flight on average at the busy endpoint");
    let (idle_in_flight, _) = slow_first_endpoint(4, 0.4, 190.0, 40.0);
    assert!(
        idle_in_flight > busy_in_flight + 0.1,
        "{idle_in_flight} requests in flight if the endpoint is not busy, {busy_in_flight} if it is"
    );
}
