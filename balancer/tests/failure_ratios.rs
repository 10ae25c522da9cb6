//! Failure ratios: how failures lower an endpoint's weight, and what counts as the tenant's own.

mod common;

use common::*;
use ternstack_balancer::*;

/// Sends 2000 requests, 10 ms apart, of which `fails(tenant, endpoint, n)` fail at once; requests by endpoint.
fn requests_by_endpoint(endpoints: u32, fails: &dyn Fn(usize, u32, u64) -> bool) -> Vec<u32> {
    let mut settings = settings();
    settings.tenants = (0..4).map(|n| Tenant { name: n.to_string(), quota_per_s: 0.0 }).collect();
    settings.classes = vec![class(Idempotency::NonIdempotent)];
    let mut gateway = TestGateway::new(settings, endpoints);
    let mut to = vec![0; endpoints as usize];
    for n in 0..2000 {
        gateway.now_ms += 10.0;
        let tenant = (n % 4) as usize;
        let (id, actions) = gateway.request(0, Some(tenant));
        let endpoint = sent_to(&actions).expect("there is capacity");
        to[endpoint.0 as usize] += 1;
        let bad = fails(tenant, endpoint.0, n);
        gateway.end_attempt(id, 0, endpoint, if bad { Outcome::ServerError } else { Outcome::Served });
    }
    to
}

#[test]
fn an_endpoint_that_fails_a_third_of_its_requests_gets_fewer() {
    let to = requests_by_endpoint(4, &|_, endpoint, n| endpoint == 0 && n % 3 == 0);
    assert!((60..350).contains(&to[0]), "an even part is 500: {to:?}");
}

#[test]
fn among_failing_endpoints_the_healthiest_gets_most_requests() {
    let to = requests_by_endpoint(6, &|_, endpoint, n| endpoint > 0 && n % 10 < 4);
    assert!(to[0] > 700 && to[1..].iter().all(|n| *n > 20), "{to:?}");
}

#[test]
fn failures_of_one_tenant_or_of_all_endpoints_eject_none() {
    // Endpoint 0 gets the failing tenant's requests, which count as failures of none; no endpoint may be ejected.
    let to = requests_by_endpoint(4, &|tenant, _, _| tenant == 0);
    assert!(to.iter().all(|n| (380..620).contains(n)), "{to:?}");
    let to = requests_by_endpoint(4, &|_, _, n| n % 3 == 0);
    assert!(to.iter().all(|n| (350..650).contains(n)), "nor where all endpoints fail: {to:?}");
}
