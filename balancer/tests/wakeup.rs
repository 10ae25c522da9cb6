//! Wake-ups: the timer that lets the balancer send or reject pending requests.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_timer_that_fires_early_by_a_rounding_error_is_requested_again() {
    let mut gateway = TestGateway::new(settings(), 0);
    let (_, mut actions) = gateway.request(2, None);
    let mut rejections = 0;
    for _ in 0..60 {
        let at_ms =
            actions
                .iter()
                .find_map(|a| if let Action::Timer { at_ms, .. } = a { Some(*at_ms) } else { None });
        // The gateway's clock has a resolution of 1 us, so that a timer may fire a fraction of it early.
        gateway.now_ms = at_ms.unwrap_or(gateway.now_ms) - 0.0004;
        actions = if at_ms.is_some() { gateway.handle(Event::Timer { token: 0 }) } else { Vec::new() };
        rejections += rejected(&actions).iter().count();
    }
    assert_eq!(rejections, 1, "the pending request is rejected once");
}
