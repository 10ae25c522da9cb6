//! Active health checks: their interval and their budget.

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

/// The health checks that each of `endpoints` gets in 15 s, with a timer every 10 ms and a request at every
/// `request_every`th.
fn health_checks(settings: Settings, endpoints: u32, request_every: Option<u32>) -> Vec<u32> {
    let mut gateway = TestGateway::new(settings, endpoints);
    let mut checks = vec![0; endpoints as usize];
    for n in 0..1500 {
        if request_every.is_some_and(|every| n % every == 0) {
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
    assert!(checks.iter().all(|count| (9..=10).contains(count)), "{checks:?}");
}

#[test]
fn requests_fill_the_budget_of_health_checks() {
    let without_requests: u32 = health_checks(with_health_checks(), 40, None).iter().sum();
    assert_eq!(without_requests, 10, "the burst");
    // 150 requests add 0.15 each.
    let with_requests: u32 = health_checks(with_health_checks(), 40, Some(10)).iter().sum();
    assert!((31..=32).contains(&with_requests), "{with_requests}");
}

#[test]
fn no_health_check_is_sent_where_reports_come_with_responses_or_none_is_allowed() {
    let inline = Settings { health_checks_allowed: true, ..settings() };
    assert!(health_checks(inline, 4, Some(1)).iter().all(|count| *count == 0));
    let forbidden = Settings { health_checks_allowed: false, ..with_health_checks() };
    assert!(health_checks(forbidden, 4, Some(1)).iter().all(|count| *count == 0));
}
