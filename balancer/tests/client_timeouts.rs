//! Client timeouts: whether a request is a client's first attempt or a late retry.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_last_retry_with_the_rest_of_the_deadline_does_not_make_first_attempts_late() {
    // Clients whose attempts are rejected at once use the rest of the deadline as the timeout of the last
    // attempt.
    let mut gateway = TestGateway::new(settings(), 4);
    let send_request = |gateway: &mut TestGateway, id, client_timeout_ms| {
        gateway.now_ms += 10.0;
        let arrival = Arrival { request: RequestId(id), class: 0, tenant: None, client_timeout_ms };
        let actions = gateway.handle(Event::Request(arrival));
        let endpoint = sent_to(&actions)?;
        let report = report(30.0 + id as f64 % 2.0, 0.75);
        gateway
            .end_attempt_with(RequestId(id), 0, endpoint, Outcome::Served, 20.0, report)
            .is_empty()
            .then_some(endpoint)
    };
    let timeout_ms = |id: u64| if id % 4 == 3 { 599.0 } else { 280.0 };
    let served = (0..200).filter(|id| send_request(&mut gateway, *id, timeout_ms(*id)).is_some()).count();
    assert_eq!(served, 200);
    // A timeout shorter than the typical one is the rest of the deadline after an attempt that timed out.
    assert_eq!(send_request(&mut gateway, 900, 200.0), None);
}

/// Sends a request of class 0 to a busy fleet, and returns whether the request is forwarded.
fn is_forwarded(gateway: &mut TestGateway, id: u64, tenant: usize, client_timeout_ms: f64) -> bool {
    gateway.now_ms += 10.0;
    let arrival = Arrival { request: RequestId(id), class: 0, tenant: Some(tenant), client_timeout_ms };
    let actions = gateway.handle(Event::Request(arrival));
    let Some(endpoint) = sent_to(&actions) else { return false };
    let report = report(30.0 + id as f64 % 2.0, 0.75);
    gateway.end_attempt_with(RequestId(id), 0, endpoint, Outcome::Served, 20.0, report);
    true
}

#[test]
fn clients_with_short_timeouts_do_not_make_requests_of_other_clients_late() {
    let mut settings = settings();
    settings.tenants.push(Tenant { name: "two".into(), quota_per_s: 20.0 });
    let mut gateway = TestGateway::new(settings, 4);
    // With a deadline of 600 ms and a timeout of 150 ms, 280 ms are left after more than two timeouts, so
    // that the request is the last attempt of its client.
    assert!((0..200).all(|id| is_forwarded(&mut gateway, id, 0, 150.0)));
    assert!(
        !is_forwarded(&mut gateway, 300, 0, 280.0),
        "a request that is late by the typical timeout of its tenant is rejected"
    );
    assert!(
        is_forwarded(&mut gateway, 301, 1, 280.0),
        "a request of a tenant without a typical timeout is forwarded"
    );
    // With a typical timeout of 90 ms, no client has waited 320 ms in three attempts.
    (400..600).for_each(|id| {
        is_forwarded(&mut gateway, id, 1, 90.0);
    });
    assert!(
        is_forwarded(&mut gateway, 700, 1, 280.0),
        "a first attempt of a client with a longer timeout is forwarded"
    );
}
