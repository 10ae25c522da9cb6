//! Saturation: when the fleet counts as full, so that tenant limits are enforced.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_fleet_is_full_at_high_utilization_but_not_because_of_one_request_in_flight() {
    let rejections = |utilization: f64| {
        let mut settings = settings();
        settings.gateway_count = 200;
        let mut gateway = TestGateway::new(settings, 4);
        for index in 0..40 {
            // One of 200 gateways has a concurrency limit below one request.
            gateway.now_ms += 100.0;
            gateway.serve(&|_| report(30.0 + f64::from(index % 2), utilization));
        }
        (0..40)
            .filter(|_| {
                gateway.now_ms += 10.0; // 100 per second, with a limit of 20 / 200 per second.
                let (request, actions) = gateway.request(0, Some(0));
                let other = gateway.request(2, None);
                for (id, target) in [(request, sent_to(&actions)), (other.0, sent_to(&other.1))] {
                    target.map(|endpoint| gateway.end_attempt(id, 0, endpoint, Outcome::Served));
                }
                rejected(&actions).is_some()
            })
            .count()
    };
    assert_eq!(rejections(0.3), 0, "a fleet with capacity rejects no request");
    assert!(rejections(0.97) > 20, "a full fleet rejects requests over the tenant's limit");
}
