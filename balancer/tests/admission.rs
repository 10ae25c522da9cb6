//! Admission: shedding of requests that cannot be served in time.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_retry_past_its_objective_is_served_only_where_there_is_capacity() {
    let mut gateway = TestGateway::new(settings(), 1);
    gateway.request(2, None); // shows the typical client timeout
    let late = |gateway: &mut TestGateway, id| {
        let arrival = Arrival { request: RequestId(id), class: 2, tenant: None, client_timeout_ms: 300.0 };
        gateway.handle(Event::Request(arrival))
    };
    assert!(sent_to(&late(&mut gateway, 900)).is_some(), "there is capacity");
    saturate(&mut gateway);
    assert!(rejected(&late(&mut gateway, 901)).is_some(), "there is none");
}

#[test]
fn a_tenant_that_stalls_on_all_endpoints_is_shed_and_admitted_again() {
    let mut settings = settings();
    settings.tenants = (0..4).map(|n| Tenant { name: n.to_string(), quota_per_s: 0.0 }).collect();
    settings.classes = vec![class(Idempotency::NonIdempotent)];
    let mut gateway = TestGateway::new(settings, 4);
    let (mut sent_while_stalling, mut sent_afterwards, mut others) = (0, 0, 0);
    for n in 0..4000 {
        gateway.now_ms += 10.0;
        let tenant = n % 4;
        let (id, actions) = gateway.request(0, Some(tenant));
        let Some(to) = sent_to(&actions) else { continue };
        let stalls = tenant == 0 && n < 2000;
        let (outcome, ms) = if stalls { (Outcome::ResponseTimeout, 190.0) } else { (Outcome::Served, 20.0) };
        gateway.end_attempt_with(id, 0, to, outcome, ms, LoadReport::default());
        sent_while_stalling += u32::from(tenant == 0 && (200..2000).contains(&n));
        sent_afterwards += u32::from(tenant == 0 && n >= 3000);
        others += u32::from(tenant != 0);
    }
    assert!((5..150).contains(&sent_while_stalling), "some of 450 as trials: {sent_while_stalling}");
    assert!(sent_afterwards > 240, "admitted once it no longer stalls: {sent_afterwards} of 250");
    assert_eq!(others, 3000, "the other tenants are all served");
}

#[test]
fn a_retry_past_its_objective_is_rejected_before_the_fleet_is_saturated() {
    let rejected_at = |utilization: f64| {
        let mut gateway = TestGateway::new(settings(), 4);
        for n in 0..60 {
            gateway.now_ms += 10.0; // Also shows the typical client timeout.
            gateway.serve(&|_| report(30.0 + f64::from(n % 2), utilization));
        }
        let arrival = Arrival { request: RequestId(900), class: 0, tenant: None, client_timeout_ms: 300.0 };
        rejected(&gateway.handle(Event::Request(arrival))).is_some()
    };
    assert!(rejected_at(0.75) && !rejected_at(0.4));
}

#[test]
fn a_saturated_fleet_rejects_requests_with_short_timeouts() {
    let ask = |gateway: &mut TestGateway, client_timeout_ms| {
        let arrival = Arrival { request: RequestId(9000), class: 0, tenant: None, client_timeout_ms };
        gateway.handle(Event::Request(arrival))
    };
    let mut gateway = TestGateway::new(settings(), 2);
    assert!(sent_to(&ask(&mut gateway, 90.0)).is_some(), "there is capacity");
    let mut gateway = TestGateway::new(settings(), 2);
    saturate(&mut gateway);
    assert!(
        rejected(&ask(&mut gateway, 90.0)).is_some(),
        "less than half the objective, and hardly more than the typical latency"
    );
    saturate(&mut gateway);
    assert!(rejected(&ask(&mut gateway, 190.0)).is_none(), "this one may wait in the pending queue");
}
