//! Error ratios by class: an endpoint that fails one class still serves the others.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn an_endpoint_that_fails_one_class_is_excluded_for_that_class_only() {
    // Half of the endpoints respond to class 0 with errors and serve class 1, which still uses all endpoints.
    let mut gateway = TestGateway::new(settings(), 4);
    // Indexed by class, then by whether the endpoint fails class 0.
    let mut requests_by_class = [[0u32; 2]; 2];
    for index in 0..800 {
        gateway.now_ms += 5.0;
        let class = index % 2;
        let (request, actions) = gateway.request(class, None);
        let Some(endpoint) = sent_to(&actions) else { continue };
        let fails = endpoint.0 < 2;
        requests_by_class[class][usize::from(fails)] += 1;
        let outcome = if fails && class == 0 { Outcome::ServerError } else { Outcome::Served };
        let retry = gateway.end_attempt(request, 0, endpoint, outcome);
        if let Some(retry_endpoint) = sent_to(&retry) {
            gateway.end_attempt(request, 1, retry_endpoint, Outcome::Served);
        }
    }
    assert!(
        requests_by_class[0][1] < 60,
        "class 0 gets only trials at failing endpoints: {requests_by_class:?}"
    );
    // The endpoints that serve class 0 are busy with it, so that class 1 mostly uses the failing ones.
    assert!(
        requests_by_class[1][1] > 2 * requests_by_class[1][0],
        "class 1 mostly uses endpoints that fail class 0: {requests_by_class:?}"
    );
}
