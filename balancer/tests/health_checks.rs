//! Active health checks: the interval between checks, and their budget.

mod common;

use common::*;
use ternstack_balancer::*;

fn with_health_checks() -> Settings {
    Settings {
        load_report_delivery: LoadReportDelivery::OnHealthCheck,
        health_checks_allowed: true,
        ..settings()
    }
}

/// Returns the number of health checks that each endpoint gets in 15 s, with a timer every 10 ms and a
/// request at every `request_every`-th timer.
fn health_checks(settings: Settings, endpoints: u32, request_every: Option<u32>) -> Vec<u32> {
    let mut gateway = TestGateway::new(settings, endpoints);
    let mut checks = vec![0; endpoints as usize];
    for tick in 0..1500 {
        if request_every.is_some_and(|every| tick % every == 0) {
            gateway.serve(&|_| LoadReport::default());
        }
        for action in gateway.fire_timer_after(10.0) {
            let Action::HealthCheck { endpoint } = action else { continue };
            checks[endpoint.0 as usize] += 1;
        }
    }
    checks
}

#[test]
fn each_endpoint_in_use_is_checked_every_one_and_a_half_seconds() {
    let checks = health_checks(with_health_checks(), 4, Some(1));
    assert!(
        checks.iter().all(|count| (9..=10).contains(count)),
        "each endpoint gets 9 or 10 checks in 15 s: {checks:?}"
    );
}

#[test]
fn requests_replenish_the_health_check_budget() {
    let without_requests: u32 = health_checks(with_health_checks(), 40, None).iter().sum();
    assert_eq!(without_requests, 10, "the initial budget allows a burst of 10 checks");
    // Each of 150 requests adds 0.15 to the budget.
    let with_requests: u32 = health_checks(with_health_checks(), 40, Some(10)).iter().sum();
    assert!((31..=32).contains(&with_requests), "{with_requests} checks with 150 requests");
}

#[test]
fn no_health_checks_are_sent_if_reports_come_with_responses_or_checks_are_not_allowed() {
    let inline = Settings { health_checks_allowed: true, ..settings() };
    assert!(health_checks(inline, 4, Some(1)).iter().all(|count| *count == 0));
    let not_allowed = Settings { health_checks_allowed: false, ..with_health_checks() };
    assert!(health_checks(not_allowed, 4, Some(1)).iter().all(|count| *count == 0));
}
