//! Concurrency limits: how many requests a gateway may have in flight at an endpoint.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_fractional_limit_is_rounded_up_only_in_fleets_with_few_gateways() {
    for (gateway_count, sends_second) in [(2, true), (100, false)] {
        let mut gateway = TestGateway::new(Settings { gateway_count, ..settings() }, 1);
        for _ in 0..100 {
            gateway.now_ms += 100.0;
            gateway.serve(&|_| report(10.0, 0.3)).expect("an endpoint below its limit takes the request");
        }
        // The endpoint serves 33 requests per second, all for this gateway: 1.7 within a quarter of the
        // objective of 200 ms.
        assert!(sent_to(&gateway.request(2, None).1).is_some());
        assert_eq!(sent_to(&gateway.request(2, None).1).is_some(), sends_second, "{gateway_count} gateways");
    }
}

#[test]
fn gateways_share_the_limit_of_an_endpoint_without_load_reports() {
    let mut settings = settings();
    settings.gateway_count = 4;
    let mut gateway = TestGateway::new(settings, 1);
    let mut in_flight = 0;
    while sent_to(&gateway.request(2, None).1).is_some() {
        in_flight += 1;
    }
    assert_eq!(in_flight, 2);
}
