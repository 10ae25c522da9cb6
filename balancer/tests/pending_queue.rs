//! The pending queue: requests that wait for capacity.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_pending_request_is_rejected_once_before_its_client_timeout() {
    let mut gateway = TestGateway::new(settings(), 0);
    let (_, actions) = gateway.request(2, None);
    assert!(sent_to(&actions).is_none() && rejected(&actions).is_none());
    let mut rejections = 0;
    for _ in 0..60 {
        rejections += rejected(&gateway.fire_timer_after(10.0)).iter().count();
    }
    assert_eq!(rejections, 1);
}

#[test]
fn a_request_with_too_little_time_to_wait_for_capacity_is_rejected_at_once() {
    let mut gateway = TestGateway::new(settings(), 0);
    let arrival = Arrival { request: RequestId(1), class: 2, tenant: None, client_timeout_ms: 2.0 };
    assert!(rejected(&gateway.handle(Event::Request(arrival))).is_some());
}

#[test]
fn attempts_continue_after_the_objective_only_if_late_responses_have_value() {
    for late_value_ratio in [0.0, 0.2] {
        let mut settings = settings();
        settings.classes[0].late_value_ratio = late_value_ratio;
        let mut gateway = TestGateway::new(settings, 2);
        let mut in_flight = saturate(&mut gateway);
        let mut pending = Vec::new();
        for index in 0..50 {
            let (request, mut actions) = gateway.request(0, None);
            if sent_to(&actions).is_none() && rejected(&actions).is_none() {
                pending.push(request);
            }
            if let Some((id, endpoint)) = in_flight.pop().filter(|_| index < 40) {
                actions.extend(gateway.end_attempt(id, 0, endpoint, Outcome::Served));
            }
            for action in actions {
                if let Action::Send { request, endpoint, give_up_at_ms } = action {
                    pending.retain(|id| *id != request);
                    in_flight.push((request, endpoint));
                    let (remaining_ms, has_late_value) =
                        (give_up_at_ms - gateway.now_ms, late_value_ratio > 0.0);
                    assert_eq!(
                        remaining_ms > 500.0,
                        has_late_value,
                        "attempt given up after {remaining_ms} ms, late value ratio {late_value_ratio}"
                    );
                }
            }
        }
        assert!(
            !pending.is_empty(),
            "requests are pending because the endpoints are at their concurrency limits"
        );
        // No further request is served: pending requests are rejected before their latency objective has
        // passed.
        let objective_at_ms = gateway.now_ms + 200.0;
        while gateway.now_ms < objective_at_ms {
            for action in gateway.fire_timer_after(5.0) {
                let Action::Reject { request, .. } = action else { continue };
                pending.retain(|id| *id != request);
            }
        }
        assert!(pending.is_empty(), "{pending:?} are still pending after their latency objective");
    }
}
