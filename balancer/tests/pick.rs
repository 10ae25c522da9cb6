//! The weighted random pick of an endpoint.

mod common;

use common::*;

#[test]
fn an_endpoint_with_an_open_connection_is_preferred() {
    let mut settings = settings();
    settings.connection_idle_timeout_ms = 1000.0;
    let mut gateway = TestGateway::new(settings, 8);
    gateway.now_ms += 5000.0;
    let mut picked_again = 0;
    let mut last = gateway.serve(&|_| report(30.0, 0.6));
    for _ in 0..400 {
        gateway.now_ms += 900.0; // Only the connection to the endpoint of the last request is open.
        let next = gateway.serve(&|_| report(30.0, 0.6));
        picked_again += u32::from(next == last);
        last = next;
    }
    // The expected fraction is 1 / (1 + 7 / 4), about 145 of 400; equal weights would give 50.
    assert!((115..180).contains(&picked_again), "{picked_again} of 400 picks repeat the last endpoint");
}
