//! Calls to discovery: when the endpoint list is asked for.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn discovery_is_watched_at_once_and_again_after_a_pause_when_lost() {
    let mut settings = settings();
    settings.poll_discovery = true;
    let mut gateway = TestGateway::new(settings, 0);
    assert!(gateway.update(UpdateKind::Cached, vec![record(0)]).contains(&Action::WatchEndpoints));
    for _ in 0..40 {
        let actions = gateway.update(UpdateKind::WatchLost, Vec::new());
        assert!(!actions.contains(&Action::WatchEndpoints));
        let wait = gateway.time_until_watch(actions, 4000.0);
        assert!((100.0..=210.0).contains(&wait), "{wait}");
    }
    assert_eq!(sent_to(&gateway.request(0, None).1), Some(EndpointId(0)), "the old list stays in use");
}

/// When each gateway of a fleet calls discovery first, and again after a failed call.
fn call_times(gateway_count: u32, max_age_ms: f64) -> [Vec<f64>; 2] {
    let mut calls = [Vec::new(), Vec::new()];
    for gateway_index in 0..gateway_count {
        let settings = Settings {
            gateway_index,
            gateway_count,
            poll_discovery: true,
            max_discovery_age_ms: max_age_ms,
            ..settings()
        };
        let mut gateway = TestGateway::new(settings, 0);
        for (kind, calls) in [UpdateKind::Cached, UpdateKind::WatchLost].into_iter().zip(&mut calls) {
            let actions = gateway.update(kind, Vec::new());
            calls.push(gateway.time_until_watch(actions, 10_000.0));
        }
    }
    calls
}

#[test]
fn every_gateway_calls_discovery_within_the_allowed_age() {
    // 50 ms for each other gateway, two seconds at most, and no more than half of what the settings allow.
    for (gateway_count, max_age_ms) in
        [(1, 10_000.0), (2, 10_000.0), (30, 10_000.0), (350, 10_000.0), (30, 600.0), (350, 1500.0)]
    {
        let spread = (50.0 * f64::from(gateway_count - 1)).min(2000.0).min(max_age_ms / 2.0);
        let [first, again] = call_times(gateway_count, max_age_ms);
        let latest = |calls: &[f64]| calls.iter().copied().fold(0.0, f64::max);
        // A timer may be a tick late.
        assert!(latest(&first) <= spread + 10.0, "{gateway_count}: first {}", latest(&first));
        assert!(latest(&again) <= spread.max(200.0) + 10.0, "{gateway_count}: again {}", latest(&again));
    }
}

#[test]
fn a_large_fleet_spreads_its_first_and_repeated_calls_to_discovery() {
    for gateway_count in [100, 350] {
        for (calls, over_ms) in call_times(gateway_count, 10_000.0).iter().zip([2000.0, 1000.0]) {
            let mut counts = [0; 12];
            calls.iter().for_each(|at| counts[(at / 250.0) as usize] += 1);
            // Half as many again as an even spread has, and what chance adds.
            let even = f64::from(gateway_count) * 250.0 / over_ms;
            let most = 1.5 * even + 2.0 * even.sqrt();
            assert!(
                counts.iter().all(|n| f64::from(*n) <= most),
                "{gateway_count} calls: {counts:?}, most {most}"
            );
        }
    }
}
