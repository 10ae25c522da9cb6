//! Failure ratios: failures lower an endpoint's weight, unless they are due to the request's tenant.

mod common;

use common::*;
use ternstack_balancer::*;

/// Sends 2000 requests, 10 ms apart, of which those fail for which `fails(tenant, endpoint, index)` is true.
/// Returns the number of requests by endpoint.
fn requests_by_endpoint(endpoints: u32, fails: &dyn Fn(usize, u32, u64) -> bool) -> Vec<u32> {
    let mut settings = settings();
    settings.tenants = (0..4).map(|index| Tenant { name: index.to_string(), quota_per_s: 0.0 }).collect();
    settings.classes = vec![class(Idempotency::NonIdempotent)];
    let mut gateway = TestGateway::new(settings, endpoints);
    let mut counts = vec![0; endpoints as usize];
    for index in 0..2000 {
        gateway.now_ms += 10.0;
        let tenant = (index % 4) as usize;
        let (request, actions) = gateway.request(0, Some(tenant));
        let endpoint = sent_to(&actions).expect("a fleet with capacity admits the request");
        counts[endpoint.0 as usize] += 1;
        let is_error = fails(tenant, endpoint.0, index);
        gateway.end_attempt(
            request,
            0,
            endpoint,
            if is_error { Outcome::ServerError } else { Outcome::Served },
        );
    }
    counts
}

#[test]
fn an_endpoint_that_fails_a_third_of_its_requests_gets_fewer_requests() {
    let counts = requests_by_endpoint(4, &|_, endpoint, index| endpoint == 0 && index % 3 == 0);
    assert!((60..350).contains(&counts[0]), "an equal share is 500 requests: {counts:?}");
}

#[test]
fn among_failing_endpoints_the_healthiest_gets_most_requests() {
    let counts = requests_by_endpoint(6, &|_, endpoint, index| endpoint > 0 && index % 10 < 4);
    assert!(
        counts[0] > 700 && counts[1..].iter().all(|count| *count > 20),
        "the healthy endpoint gets most requests: {counts:?}"
    );
}

#[test]
fn failures_of_one_tenant_or_of_all_endpoints_eject_no_endpoint() {
    // All requests of one tenant fail, at every endpoint, which is not the fault of the endpoints.
    let counts = requests_by_endpoint(4, &|tenant, _, _| tenant == 0);
    assert!(
        counts.iter().all(|count| (380..620).contains(count)),
        "endpoints get equal shares if one tenant's requests fail: {counts:?}"
    );
    let counts = requests_by_endpoint(4, &|_, _, index| index % 3 == 0);
    assert!(
        counts.iter().all(|count| (350..650).contains(count)),
        "endpoints get equal shares if all of them fail: {counts:?}"
    );
}
