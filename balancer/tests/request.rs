//! The life cycle of a request: client disconnects, and events of unknown requests.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_client_disconnect_cancels_the_attempt_in_flight() {
    let mut gateway = TestGateway::new(settings(), 1);
    let (request, _) = gateway.request(0, None);
    assert_eq!(
        gateway.handle(Event::ClientDisconnected { request }),
        [Action::Cancel { request, attempt: 0 }]
    );
    assert!(gateway.end_attempt(request, 0, EndpointId(0), Outcome::Cancelled).is_empty());
}

#[test]
fn events_of_unknown_requests_and_endpoints_lead_to_no_actions() {
    let mut gateway = TestGateway::new(settings(), 1);
    let unknown = RequestId(77);
    assert!(gateway.end_attempt(unknown, 3, EndpointId(99), Outcome::Served).is_empty());
    assert!(gateway.handle(Event::ClientDisconnected { request: unknown }).is_empty());
    assert!(gateway.handle(Event::Timer { token: 5 }).is_empty());
}
