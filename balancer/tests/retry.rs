//! Retries: which requests may be retried, and at which endpoints.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn idempotent_requests_are_retried_at_another_endpoint_and_others_only_if_they_never_ran() {
    for (class, outcome, is_retried) in [
        (0, Outcome::ResponseTimeout, true),
        (0, Outcome::ServerError, true),
        (2, Outcome::ResponseTimeout, false),
        (2, Outcome::ConnectionLost, false),
        (2, Outcome::Rejected, true),
        (2, Outcome::ConnectFailed, true),
    ] {
        let mut gateway = TestGateway::new(settings(), 4);
        let (request, actions) = gateway.request(class, None);
        let first = sent_to(&actions).expect("the request is sent");
        gateway.now_ms += 20.0;
        let actions = gateway.end_attempt(request, 0, first, outcome);
        assert_eq!(sent_to(&actions).is_some(), is_retried, "class {class}, {outcome:?}");
        assert_ne!(sent_to(&actions), Some(first));
        assert_eq!(
            failed(&actions),
            !is_retried,
            "a request that may have run fails instead of being rejected"
        );
    }
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_within_its_cell_and_window() {
    for _ in 0..20 {
        let mut gateway = TestGateway::new(settings(), 8);
        let (request, actions) = gateway.request(1, None);
        let first = sent_to(&actions).expect("the request is sent");
        gateway.now_ms += 20.0;
        let actions = gateway.end_attempt(request, 0, first, Outcome::ConnectionLost);
        assert_eq!(sent_to(&actions).expect("the request is retried").0 / 2, first.0 / 2);
    }
    let mut settings = settings();
    settings.classes[1].deduplication_window_ms = 50.0;
    let mut gateway = TestGateway::new(settings, 8);
    let (request, actions) = gateway.request(1, None);
    let first = sent_to(&actions).expect("the request is sent");
    gateway.now_ms += 51.0;
    let actions = gateway.end_attempt(request, 0, first, Outcome::ConnectionLost);
    assert!(sent_to(&actions).is_none() && failed(&actions) && rejected(&actions).is_none());
}
