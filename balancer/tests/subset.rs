//! Subsetting: which endpoints a gateway uses.

mod common;

use common::*;
use ternstack_balancer::*;

/// How many gateways of a fleet use each endpoint, when each of them serves 120 requests.
fn gateways_by_endpoint(gateways: u32, endpoints: u32) -> std::collections::BTreeMap<EndpointId, u32> {
    let mut users = std::collections::BTreeMap::new();
    for gateway_index in 0..gateways {
        let mut settings = settings();
        (settings.gateway_count, settings.gateway_index) = (gateways, gateway_index);
        let mut gateway = TestGateway::new(settings, endpoints);
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..120 {
            gateway.now_ms += 150.0;
            used.extend(gateway.serve(&|_| report(30.0, 0.6)));
        }
        used.into_iter().for_each(|id| *users.entry(id).or_default() += 1);
    }
    users
}

#[test]
fn many_gateways_use_few_endpoints_each_and_all_evenly() {
    let users = gateways_by_endpoint(400, 50);
    assert_eq!(users.len(), 50, "every endpoint is used");
    let (least, most) = (users.values().min().expect("some"), users.values().max().expect("some"));
    assert!(*least >= 11 && *most <= 22, "an endpoint has {least} to {most} gateways");
    assert!(gateways_by_endpoint(4, 12).values().all(|n| *n == 4), "few gateways use all endpoints");
    // So few that each hears of its own often, and one request in flight from each of them is no overload.
    let users = gateways_by_endpoint(100, 60);
    assert!(users.len() == 60 && users.values().all(|n| *n <= 8), "shared by too many: {users:?}");
}
