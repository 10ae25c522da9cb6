//! Staleness of the endpoint list: when attempts stop, what happens to requests meanwhile, and when attempts
//! begin again.

mod common;

use common::*;
use ternstack_balancer::*;

/// Lifetime of a list in these tests, in ms: the grace of 1,000 ms less the longest delay of a send.
const LIFETIME_MS: f64 = 850.0;

fn stale_settings() -> Settings {
    Settings { drain_grace_ms: Some(1000.0), ..settings() }
}

/// Returns a gateway with four endpoints that has had nothing but its cached list, at time 1000.
fn restarted_gateway() -> TestGateway {
    TestGateway::new(stale_settings(), 4)
}

fn confirmed(gateway: &TestGateway) -> Event {
    Event::Discovery(DiscoveryReport::Confirmed { as_of_ms: gateway.now_ms })
}

/// Returns a gateway whose list has just been confirmed by discovery.
fn confirmed_gateway() -> TestGateway {
    let mut gateway = restarted_gateway();
    let event = confirmed(&gateway);
    gateway.handle(event);
    gateway
}

fn can_send(gateway: &mut TestGateway) -> bool {
    gateway.serve(&|_| LoadReport::default()).is_some()
}

/// Returns the requests that the actions reject because the list is stale.
fn rejected_as_stale(actions: &[Action]) -> Vec<RequestId> {
    let rejected = |action: &Action| match action {
        Action::Reject { request, reason: RejectionReason::StaleEndpointList, .. } => Some(*request),
        _ => None,
    };
    actions.iter().filter_map(rejected).collect()
}

fn logs(actions: &[Action]) -> Vec<&str> {
    let mut lines = Vec::new();
    for action in actions {
        if let Action::Log(line) = action {
            lines.push(line.as_str());
        }
    }
    lines
}

// Guards against a cached list that is used without a time limit.
#[test]
fn a_cached_list_becomes_stale_one_lifetime_after_the_start_whatever_polls_fail() {
    let mut gateway = restarted_gateway();
    assert_eq!(gateway.balancer.list_stale_at_ms(), Some(1000.0 + LIFETIME_MS));
    for _ in 0..8 {
        gateway.now_ms += 100.0;
        let as_of_ms = gateway.now_ms;
        gateway.handle(Event::Discovery(DiscoveryReport::OutOfReach { as_of_ms }));
        gateway.update(UpdateKind::WatchLost, Vec::new());
        assert!(can_send(&mut gateway), "the list is fresh for one lifetime");
    }
    gateway.now_ms = 1000.0 + LIFETIME_MS;
    assert!(!can_send(&mut gateway), "failed polls prove nothing about changes before the start");
}

#[test]
fn a_confirmed_list_stays_fresh_while_each_poll_shows_that_discovery_is_out_of_reach() {
    let mut gateway = confirmed_gateway();
    for _ in 0..40 {
        gateway.now_ms += 500.0;
        assert!(can_send(&mut gateway));
        // The poll began 300 ms ago.
        let as_of_ms = gateway.now_ms - 300.0;
        gateway.handle(Event::Discovery(DiscoveryReport::OutOfReach { as_of_ms }));
    }
    gateway.now_ms += LIFETIME_MS - 300.0;
    assert!(!can_send(&mut gateway), "without a poll the list becomes stale");
}

#[test]
fn an_older_report_does_not_shorten_the_life_of_a_list() {
    let mut gateway = confirmed_gateway();
    for report in
        [DiscoveryReport::OutOfReach { as_of_ms: 500.0 }, DiscoveryReport::Confirmed { as_of_ms: 500.0 }]
    {
        gateway.handle(Event::Discovery(report));
        assert_eq!(gateway.balancer.list_stale_at_ms(), Some(1000.0 + LIFETIME_MS));
    }
}

// Guards against an update that counts as a confirmation by itself: only the gateway knows how old it is.
#[test]
fn an_update_without_a_report_does_not_make_a_list_fresh() {
    let mut gateway = restarted_gateway();
    gateway.now_ms += LIFETIME_MS;
    gateway.update(UpdateKind::Complete, vec![record(0)]);
    assert!(!can_send(&mut gateway));
    let event = confirmed(&gateway);
    gateway.handle(event);
    assert!(can_send(&mut gateway));
}

#[test]
fn a_moved_gateway_waits_for_the_new_discovery_and_polls_that_fail_there_prove_nothing() {
    let mut gateway = confirmed_gateway();
    let moved_at_ms = gateway.now_ms;
    let stale_at_ms = moved_at_ms + 4000.0 + LIFETIME_MS;
    // A second move before the first response does not give the list another life.
    for at_ms in [moved_at_ms, moved_at_ms + 3000.0] {
        gateway.handle(Event::Discovery(DiscoveryReport::Moved { at_ms }));
        gateway.handle(Event::Discovery(DiscoveryReport::OutOfReach { as_of_ms: at_ms + 1000.0 }));
        assert_eq!(gateway.balancer.list_stale_at_ms(), Some(stale_at_ms));
    }
    gateway.now_ms = moved_at_ms + 4000.0;
    let event = confirmed(&gateway);
    gateway.handle(event);
    assert_eq!(gateway.balancer.list_stale_at_ms(), Some(gateway.now_ms + LIFETIME_MS));
}

#[test]
fn lists_never_become_stale_where_only_drains_that_have_arrived_count() {
    let mut gateway = TestGateway::new(settings(), 4);
    assert_eq!(gateway.balancer.list_stale_at_ms(), None);
    gateway.now_ms += 1e9;
    assert!(can_send(&mut gateway));
}

#[test]
fn a_grace_shorter_than_the_delay_of_a_send_leaves_a_list_a_short_life() {
    for (grace_ms, lifetime_ms) in [(0.0, 100.0), (200.0, 100.0), (1e300, 86_400_000.0)] {
        let settings = Settings { drain_grace_ms: Some(grace_ms), ..settings() };
        assert_eq!(settings.list_lifetime_ms(), Some(lifetime_ms));
    }
    let settings = Settings { drain_grace_ms: Some(f64::NAN), ..settings() };
    assert_eq!(settings.check().expect_err("the grace is invalid").setting, "drain_grace_ms");
}

// Guards against requests that are lost, or rejected after half of their client's timeout, while the list is stale.
#[test]
fn requests_of_every_class_are_held_and_then_rejected_early_while_the_list_is_stale() {
    let mut gateway = restarted_gateway();
    gateway.now_ms += LIFETIME_MS;
    let arrived_at_ms = gateway.now_ms;
    let mut open: Vec<RequestId> = (0..3)
        .map(|class| {
            let (request, actions) = gateway.request(class, None);
            assert!(sent_to(&actions).is_none() && rejected(&actions).is_none(), "the request is held");
            request
        })
        .collect();
    while !open.is_empty() {
        let actions = gateway.fire_timer_after(10.0);
        assert!(!failed(&actions), "a request that was never sent may be retried");
        let rejected = rejected_as_stale(&actions);
        assert!(
            rejected.is_empty() || gateway.now_ms - arrived_at_ms > 100.0,
            "requests are held for a while"
        );
        open.retain(|request| !rejected.contains(request));
        // The clients' timeout is 600 ms.
        assert!(gateway.now_ms - arrived_at_ms < 300.0, "requests are rejected before half of their timeout");
    }
}

#[test]
fn the_number_of_held_requests_is_bounded_and_further_ones_are_rejected_at_once() {
    let mut gateway = restarted_gateway();
    gateway.now_ms += LIFETIME_MS;
    let rejected = (0..200).filter(|_| !rejected_as_stale(&gateway.request(0, None).1).is_empty()).count();
    assert_eq!(rejected, 200 - 64);
}

// Guards against rejections that name a limit or a quota while the list is the cause.
#[test]
fn rejections_on_a_stale_list_have_a_reason_of_their_own_in_the_log() {
    let mut gateway = restarted_gateway();
    gateway.now_ms += LIFETIME_MS;
    let mut lines = Vec::new();
    for _ in 0..1000 {
        let (_, mut actions) = gateway.request(0, Some(0));
        actions.extend(gateway.fire_timer_after(10.0));
        lines.extend(logs(&actions).into_iter().map(String::from));
    }
    let event = confirmed(&gateway);
    let actions = gateway.handle(event);
    assert!(logs(&actions)[0].starts_with("endpoint list fresh: confirmed by discovery"), "{actions:?}");
    assert!(lines[0].starts_with("endpoint list stale: not confirmed by discovery in time"), "{lines:?}");
    assert_eq!(lines.iter().filter(|line| line.starts_with("endpoint list")).count(), 1, "{lines:?}");
    let rejected =
        lines.iter().find(|line| line.contains("stale endpoint list")).expect("rejections are logged");
    let others = "rejected: 0 quota exceeded, 0 no capacity, 0 too late, 0 attempts failed";
    assert!(rejected.starts_with(others), "{rejected}");
}

#[test]
fn held_requests_are_sent_when_the_list_is_confirmed_and_removed_when_their_client_disconnects() {
    let mut gateway = restarted_gateway();
    gateway.now_ms += LIFETIME_MS;
    let requests: Vec<RequestId> = (0..2).map(|_| gateway.request(2, None).0).collect();
    gateway.handle(Event::ClientDisconnected { request: requests[0] });
    gateway.now_ms += 50.0;
    let drained = EndpointRecord { readiness: Readiness::Draining, ..record(0) };
    assert!(sent_to(&gateway.update(UpdateKind::Delta, vec![drained])).is_none(), "the list is still stale");
    let event = confirmed(&gateway);
    let sent: Vec<_> = gateway
        .handle(event)
        .into_iter()
        .filter_map(|action| match action {
            Action::Send { request, endpoint, .. } => Some((request, endpoint)),
            _ => None,
        })
        .collect();
    assert_eq!(sent.len(), 1, "{sent:?}");
    assert!(sent[0].0 == requests[1] && sent[0].1 != EndpointId(0), "{sent:?}");
}

#[test]
fn a_failed_attempt_is_not_retried_on_a_stale_list_and_ends_by_the_rules_of_its_class() {
    // An attempt that may have run: idempotent requests are rejected, others fail.
    for (class, expect_rejection) in [(0, true), (1, false), (2, false)] {
        let mut gateway = restarted_gateway();
        gateway.now_ms += LIFETIME_MS - 300.0;
        let (request, actions) = gateway.request(class, None);
        let endpoint = sent_to(&actions).expect("the list is fresh");
        gateway.now_ms += 300.0;
        let mut actions = gateway.end_attempt(request, 0, endpoint, Outcome::ConnectionLost);
        for _ in 0..10 {
            actions.extend(gateway.fire_timer_after(10.0));
        }
        assert_eq!(sent_to(&actions), None, "class {class}");
        assert_eq!((rejected(&actions).is_some(), failed(&actions)), (expect_rejection, !expect_rejection));
    }
}

#[test]
fn health_checks_pause_while_the_list_is_stale() {
    let settings = Settings {
        load_report_delivery: LoadReportDelivery::OnHealthCheck,
        health_checks_allowed: true,
        ..stale_settings()
    };
    let mut gateway = TestGateway::new(settings, 4);
    let is_check = |action: &Action| matches!(action, Action::HealthCheck { .. });
    gateway.now_ms += LIFETIME_MS;
    let mut count = 0;
    for _ in 0..30 {
        count += gateway.fire_timer_after(100.0).iter().filter(|action| is_check(action)).count();
    }
    assert_eq!(count, 0);
    let event = confirmed(&gateway);
    gateway.handle(event);
    let actions = gateway.fire_timer_after(100.0);
    assert!(actions.iter().any(is_check), "health checks go on");
}

#[test]
fn the_balancer_wakes_when_the_list_becomes_stale() {
    let mut gateway = confirmed_gateway();
    let event = confirmed(&gateway);
    gateway.now_ms += 1.0;
    let timers = |actions: &[Action]| {
        let at = |action: &Action| if let Action::Timer { at_ms, .. } = action { Some(*at_ms) } else { None };
        actions.iter().filter_map(at).collect::<Vec<f64>>()
    };
    // The timer for the cached list was requested at the start.
    assert_eq!(timers(&gateway.handle(event)), Vec::<f64>::new());
    let as_of_ms = 1500.0;
    gateway.now_ms = as_of_ms;
    gateway.handle(Event::Discovery(DiscoveryReport::Confirmed { as_of_ms }));
    gateway.now_ms = 1000.0 + LIFETIME_MS;
    let actions = gateway.handle(Event::Timer { token: 0 });
    assert_eq!(timers(&actions), [as_of_ms + LIFETIME_MS]);
    gateway.now_ms = as_of_ms + LIFETIME_MS;
    let actions = gateway.handle(Event::Timer { token: 0 });
    assert!(logs(&actions)[0].starts_with("endpoint list stale"), "{actions:?}");
}
