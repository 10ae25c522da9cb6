//! Saturation: when a fleet counts as full.

mod common;

use common::*;
use ternstack_balancer::*;

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
