//! The pending queue: requests that wait for capacity.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_pending_request_is_answered_before_its_client_timeout() {
    let mut gateway = TestGateway::new(settings(), 0);
    let (_, actions) = gateway.request(2, None);
    assert!(sent_to(&actions).is_none() && rejected(&actions).is_none());
    let mut answers = 0;
    for _ in 0..60 {
        answers += rejected(&gateway.fire_timer_after(10.0)).iter().count();
    }
    assert_eq!(answers, 1);
}

#[test]
fn a_request_that_cannot_wait_for_capacity_is_rejected_at_once() {
    let mut gateway = TestGateway::new(settings(), 0);
    let arrival = Arrival { request: RequestId(1), class: 2, tenant: None, client_timeout_ms: 2.0 };
    assert!(rejected(&gateway.handle(Event::Request(arrival))).is_some());
}

#[test]
fn in_flight_requests_outlive_the_objective_only_where_late_responses_have_value() {
    for late_value in [0.0, 0.2] {
        let mut settings = settings();
        settings.classes[0].late_value_ratio = late_value;
        let mut gateway = TestGateway::new(settings, 2);
        let mut in_flight = saturate(&mut gateway);
        let mut waits = Vec::new();
        for n in 0..50 {
            let (request, mut actions) = gateway.request(0, None);
            if sent_to(&actions).is_none() && rejected(&actions).is_none() {
                waits.push(request);
            }
            if let Some((id, to)) = in_flight.pop().filter(|_| n < 40) {
                actions.extend(gateway.end_attempt(id, 0, to, Outcome::Served));
            }
            for action in actions {
                if let Action::Send { request, endpoint, give_up_at_ms: until } = action {
                    waits.retain(|w| *w != request);
                    in_flight.push((request, endpoint));
                    let (given, to_the_end) = (until - gateway.now_ms, late_value > 0.0);
                    assert_eq!(given > 500.0, to_the_end, "given up after {given} ms, late {late_value}");
                }
            }
        }
        assert!(!waits.is_empty(), "the endpoints are at their limits");
        // Nothing is served any more: what is pending is rejected before its latency objective has passed.
        let objective_at_ms = gateway.now_ms + 200.0;
        while gateway.now_ms < objective_at_ms {
            for action in gateway.fire_timer_after(5.0) {
                let Action::Reject { request, .. } = action else { continue };
                waits.retain(|w| *w != request);
            }
        }
        assert!(waits.is_empty(), "{waits:?} still wait past their objective");
    }
}
