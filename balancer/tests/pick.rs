//! The weighted random pick.

mod common;

use common::*;

#[test]
fn an_endpoint_with_an_open_connection_is_preferred() {
    let mut settings = settings();
    settings.connection_idle_timeout_ms = 1000.0;
    let mut gateway = TestGateway::new(settings, 8);
    gateway.now_ms += 5000.0;
    let mut again = 0;
    let mut last = gateway.serve(&|_| report(30.0, 0.6));
    for _ in 0..400 {
        gateway.now_ms += 900.0; // Only the last endpoint's connection is open.
        let next = gateway.serve(&|_| report(30.0, 0.6));
        again += u32::from(next == last);
        last = next;
    }
    // 1 of 1 + 7 / 4 draws, where an even draw would give 50 of 400.
    assert!((115..180).contains(&again), "{again} of 400");
}
