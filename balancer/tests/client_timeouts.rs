//! Client timeouts: which attempt of a client a request is.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_last_retry_with_the_remaining_deadline_does_not_make_first_attempts_late() {
    // Clients whose attempts are rejected at once wait for the rest of the deadline with their last one.
    let mut gateway = TestGateway::new(settings(), 4);
    let ask = |gateway: &mut TestGateway, id, client_timeout_ms| {
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
    let typical = |n: u64| if n % 4 == 3 { 599.0 } else { 280.0 };
    let served = (0..200).filter(|n| ask(&mut gateway, *n, typical(*n)).is_some()).count();
    assert_eq!(served, 200);
    // What is left after an attempt that was waited for is less than typical: that one is late.
    assert_eq!(ask(&mut gateway, 900, 200.0), None);
}

/// Whether a busy fleet forwards a request of class 0 from a client of this tenant with this timeout.
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
fn clients_with_short_timeouts_do_not_make_typical_attempts_late() {
    let mut settings = settings();
    settings.tenants.push(Tenant { name: "two".into(), quota_per_s: 20.0 });
    let mut gateway = TestGateway::new(settings, 4);
    // Of 600 ms, clients wait 150 for an attempt; after three of these 150 are left, and 280 after two and a bit.
    assert!((0..200).all(|id| is_forwarded(&mut gateway, id, 0, 150.0)));
    assert!(!is_forwarded(&mut gateway, 300, 0, 280.0), "late, by the timeouts of its tenant's clients");
    assert!(is_forwarded(&mut gateway, 301, 1, 280.0), "nothing is known of the other tenant's clients");
    // Some give up after 90: no client of theirs has waited 320 in three attempts.
    (400..600).for_each(|id| {
        is_forwarded(&mut gateway, id, 1, 90.0);
    });
    assert!(is_forwarded(&mut gateway, 700, 1, 280.0), "a typical attempt of a client with a longer timeout");
}
