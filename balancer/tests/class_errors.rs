//! Errors by class: an endpoint that fails one class serves the others.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn an_endpoint_that_fails_one_class_is_excluded_for_that_class_only() {
    // Half the fleet responds to class 0 with errors and serves the rest: class 1 still uses all endpoints.
    let mut gateway = TestGateway::new(settings(), 4);
    let mut requests_by_class = [[0u32; 2]; 2]; // By class, by whether the endpoint fails class 0.
    for n in 0..800 {
        gateway.now_ms += 5.0;
        let class = n % 2;
        let (request, actions) = gateway.request(class, None);
        let Some(endpoint) = sent_to(&actions) else { continue };
        let fails = endpoint.0 < 2;
        requests_by_class[class][usize::from(fails)] += 1;
        let outcome = if fails && class == 0 { Outcome::ServerError } else { Outcome::Served };
        let again = gateway.end_attempt(request, 0, endpoint, outcome);
        if let Some(other) = sent_to(&again) {
            gateway.end_attempt(request, 1, other, Outcome::Served);
        }
    }
    assert!(requests_by_class[0][1] < 60, "{requests_by_class:?}");
    // The others are busy with class 0.
    assert!(requests_by_class[1][1] > 2 * requests_by_class[1][0], "{requests_by_class:?}");
}
