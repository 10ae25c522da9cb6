//! Wake-ups: the timer that pending requests are looked after by.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_timer_that_fires_a_rounding_error_early_is_rearmed() {
    let mut gateway = TestGateway::new(settings(), 0);
    let (_, mut actions) = gateway.request(2, None);
    let mut answers = 0;
    for _ in 0..60 {
        let at =
            actions
                .iter()
                .find_map(|a| if let Action::Timer { at_ms: at, .. } = a { Some(*at) } else { None });
        gateway.now_ms = at.unwrap_or(gateway.now_ms) - 0.0004; // The gateway counts in whole microseconds.
        actions = if at.is_some() { gateway.handle(Event::Timer { token: 0 }) } else { Vec::new() };
        answers += rejected(&actions).iter().count();
    }
    assert_eq!(answers, 1, "the pending request gets its response");
}
