//! Request pacing: pauses at an endpoint that is slow or full.

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
fn a_busy_endpoint_slower_than_usual_is_paused() {
    // Its part is a quarter of the 1.7 that complete in a quarter of the objective.
    let (in_flight, _) = slow_first_endpoint(4, 0.97, 190.0, 40.0);
    assert!(in_flight < 0.5, "{in_flight} are in flight on average");
    let (idle, _) = slow_first_endpoint(4, 0.4, 190.0, 40.0);
    assert!(idle > in_flight + 0.1, "{idle} are in flight where it is not busy, {in_flight} where it is");
}
