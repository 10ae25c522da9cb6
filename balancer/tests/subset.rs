//! Subsetting: which endpoints each gateway uses.

mod common;

use common::*;
use ternstack_balancer::*;

/// Returns how many gateways use each endpoint, where each gateway has 120 requests.
fn gateways_by_endpoint(gateway_count: u32, endpoints: u32) -> std::collections::BTreeMap<EndpointId, u32> {
    let mut gateways = std::collections::BTreeMap::new();
    for gateway_index in 0..gateway_count {
        let mut settings = settings();
        (settings.gateway_count, settings.gateway_index) = (gateway_count, gateway_index);
        let mut gateway = TestGateway::new(settings, endpoints);
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..120 {
            gateway.now_ms += 150.0;
            used.extend(gateway.serve(&|_| report(30.0, 0.6)));
        }
        used.into_iter().for_each(|id| *gateways.entry(id).or_default() += 1);
    }
    gateways
}

#[test]
fn gateways_of_a_large_fleet_use_small_subsets_that_cover_endpoints_evenly() {
    let gateways = gateways_by_endpoint(400, 50);
    assert_eq!(gateways.len(), 50, "every endpoint is used");
    let (least, most) = (
        gateways.values().min().expect("some endpoint is used"),
        gateways.values().max().expect("some endpoint is used"),
    );
    assert!(*least >= 11 && *most <= 22, "an endpoint has {least} to {most} gateways");
    assert!(
        gateways_by_endpoint(4, 12).values().all(|count| *count == 4),
        "in a small fleet every gateway uses all endpoints"
    );
    // With few gateways per endpoint, each gateway gets frequent reports from its endpoints, and one
    // request in flight from each gateway doesn't overload an endpoint.
    let gateways = gateways_by_endpoint(100, 60);
    assert!(
        gateways.len() == 60 && gateways.values().all(|count| *count <= 8),
        "every endpoint has at most 8 gateways: {gateways:?}"
    );
}
