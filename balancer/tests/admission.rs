//! Admission control: rejection of requests that cannot be served in time.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_client_retry_after_the_objective_is_forwarded_only_if_the_fleet_has_capacity() {
    let mut gateway = TestGateway::new(settings(), 1);
    gateway.request(2, None); // Establishes the typical client timeout.
    let send_late_retry = |gateway: &mut TestGateway, id| {
        let arrival = Arrival { request: RequestId(id), class: 2, tenant: None, client_timeout_ms: 300.0 };
        gateway.handle(Event::Request(arrival))
    };
    assert!(
        sent_to(&send_late_retry(&mut gateway, 900)).is_some(),
        "a fleet with capacity forwards the retry"
    );
    saturate(&mut gateway);
    assert!(rejected(&send_late_retry(&mut gateway, 901)).is_some(), "a full fleet rejects the retry");
}

#[test]
fn a_tenant_that_stalls_at_all_endpoints_is_shed_until_its_requests_succeed() {
    let mut settings = settings();
    settings.tenants = (0..4).map(|index| Tenant { name: index.to_string(), quota_per_s: 0.0 }).collect();
    settings.classes = vec![class(Idempotency::NonIdempotent)];
    let mut gateway = TestGateway::new(settings, 4);
    let (mut sent_during_stalls, mut sent_after_recovery, mut sent_of_other_tenants) = (0, 0, 0);
    for index in 0..4000 {
        gateway.now_ms += 10.0;
        let tenant = index % 4;
        let (request, actions) = gateway.request(0, Some(tenant));
        let Some(endpoint) = sent_to(&actions) else { continue };
        let stalls = tenant == 0 && index < 2000;
        let (outcome, latency_ms) =
            if stalls { (Outcome::ResponseTimeout, 190.0) } else { (Outcome::Served, 20.0) };
        gateway.end_attempt_with(request, 0, endpoint, outcome, latency_ms, LoadReport::default());
        sent_during_stalls += u32::from(tenant == 0 && (200..2000).contains(&index));
        sent_after_recovery += u32::from(tenant == 0 && index >= 3000);
        sent_of_other_tenants += u32::from(tenant != 0);
    }
    assert!(
        (5..150).contains(&sent_during_stalls),
        "{sent_during_stalls} of 450 requests are sent as trials during the stalls"
    );
    assert!(sent_after_recovery > 240, "{sent_after_recovery} of 250 requests are sent after the stalls");
    assert_eq!(sent_of_other_tenants, 3000, "all requests of the other tenants are sent");
}

#[test]
fn a_client_retry_after_the_objective_is_rejected_by_a_busy_fleet_that_is_not_full() {
    let rejected_at = |utilization: f64| {
        let mut gateway = TestGateway::new(settings(), 4);
        for index in 0..60 {
            gateway.now_ms += 10.0; // Also establishes the typical client timeout.
            gateway.serve(&|_| report(30.0 + f64::from(index % 2), utilization));
        }
        let arrival = Arrival { request: RequestId(900), class: 0, tenant: None, client_timeout_ms: 300.0 };
        rejected(&gateway.handle(Event::Request(arrival))).is_some()
    };
    assert!(rejected_at(0.75) && !rejected_at(0.4));
}

#[test]
fn a_full_fleet_rejects_requests_with_short_client_timeouts() {
    let send_request = |gateway: &mut TestGateway, client_timeout_ms| {
        let arrival = Arrival { request: RequestId(9000), class: 0, tenant: None, client_timeout_ms };
        gateway.handle(Event::Request(arrival))
    };
    let mut gateway = TestGateway::new(settings(), 2);
    assert!(
        sent_to(&send_request(&mut gateway, 90.0)).is_some(),
        "a fleet with capacity forwards a request with a short timeout"
    );
    let mut gateway = TestGateway::new(settings(), 2);
    saturate(&mut gateway);
    assert!(
        rejected(&send_request(&mut gateway, 90.0)).is_some(),
        "a timeout below half the objective and below two typical latencies is too short for a full fleet"
    );
    saturate(&mut gateway);
    assert!(
        rejected(&send_request(&mut gateway, 190.0)).is_none(),
        "a request with a longer timeout becomes pending"
    );
}
