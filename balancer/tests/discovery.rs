//! Polls of discovery: when the gateway requests the endpoint list.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn discovery_is_polled_at_once_and_again_after_a_delay_when_a_poll_fails() {
    let mut settings = settings();
    settings.poll_discovery = true;
    let mut gateway = TestGateway::new(settings, 0);
    assert!(gateway.update(UpdateKind::Cached, vec![record(0)]).contains(&Action::WatchEndpoints));
    for _ in 0..40 {
        let actions = gateway.update(UpdateKind::WatchLost, Vec::new());
        assert!(!actions.contains(&Action::WatchEndpoints));
        let delay_ms = gateway.time_until_watch_ms(actions, 4000.0);
        assert!((100.0..=210.0).contains(&delay_ms), "discovery is polled again after {delay_ms} ms");
    }
    assert_eq!(sent_to(&gateway.request(0, None).1), Some(EndpointId(0)), "the previous list stays in use");
}

/// Returns the delays of all gateways, in ms, before the first poll of discovery and before the poll that
/// follows a failed one.
fn poll_delays_ms(gateway_count: u32, max_age_ms: f64) -> [Vec<f64>; 2] {
    let mut delays_ms = [Vec::new(), Vec::new()];
    for gateway_index in 0..gateway_count {
        let settings = Settings {
            gateway_index,
            gateway_count,
            poll_discovery: true,
            max_discovery_age_ms: max_age_ms,
            ..settings()
        };
        let mut gateway = TestGateway::new(settings, 0);
        for (kind, delays_ms) in [UpdateKind::Cached, UpdateKind::WatchLost].into_iter().zip(&mut delays_ms) {
            let actions = gateway.update(kind, Vec::new());
            delays_ms.push(gateway.time_until_watch_ms(actions, 10_000.0));
        }
    }
    delays_ms
}

#[test]
fn every_gateway_polls_discovery_within_the_allowed_age() {
    // The polls are spread over 50 ms per other gateway, at most 2 s, and at most half of the allowed age.
    for (gateway_count, max_age_ms) in
        [(1, 10_000.0), (2, 10_000.0), (30, 10_000.0), (350, 10_000.0), (30, 600.0), (350, 1500.0)]
    {
        let spread_ms = (50.0 * f64::from(gateway_count - 1)).min(2000.0).min(max_age_ms / 2.0);
        let [first, repeated] = poll_delays_ms(gateway_count, max_age_ms);
        let latest_ms = |delays_ms: &[f64]| delays_ms.iter().copied().fold(0.0, f64::max);
        // A timer may fire up to one tick late.
        assert!(
            latest_ms(&first) <= spread_ms + 10.0,
            "{gateway_count} gateways: last first poll after {} ms",
            latest_ms(&first)
        );
        assert!(
            latest_ms(&repeated) <= spread_ms.max(200.0) + 10.0,
            "{gateway_count} gateways: last repeated poll after {} ms",
            latest_ms(&repeated)
        );
    }
}

#[test]
fn a_large_fleet_spreads_its_first_and_repeated_polls_of_discovery() {
    for gateway_count in [100, 350] {
        for (delays_ms, spread_ms) in poll_delays_ms(gateway_count, 10_000.0).iter().zip([2000.0, 1000.0]) {
            let mut counts = [0; 12];
            delays_ms.iter().for_each(|delay_ms| counts[(delay_ms / 250.0) as usize] += 1);
            // 1.5 times the number of polls in an even spread, plus two standard deviations.
            let even_count = f64::from(gateway_count) * 250.0 / spread_ms;
            let max_count = 1.5 * even_count + 2.0 * even_count.sqrt();
            assert!(
                counts.iter().all(|count| f64::from(*count) <= max_count),
                "{gateway_count} polls: at most {max_count} in each 250 ms expected, got {counts:?}"
            );
        }
    }
}
