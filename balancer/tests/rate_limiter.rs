//! Tenant quotas: who is rejected over its quota, and when.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_tenant_over_its_quota_is_rejected_with_a_retry_after_when_the_fleet_is_saturated() {
    let mut gateway = TestGateway::new(settings(), 2);
    saturate(&mut gateway);
    let mut advice = Vec::new();
    for _ in 0..200 {
        gateway.now_ms += 10.0; // 100 a second against a quota of 20
        let (_, actions) = gateway.request(0, Some(0));
        advice.extend(rejected(&actions));
    }
    // The estimate of a steady 100/s rises as 100 * (1 - 2^(-t / 2 s)): it passes 20 after 0.64 s.
    // Of what arrives then, 1 - 20 / rate is rejected: about 52 in all, give or take 6.
    assert!((35..70).contains(&advice.len()), "rejected {}", advice.len());
    assert!(advice.iter().all(|ms| (0.0..=1000.0).contains(ms)));
    assert!(advice.windows(2).any(|w| w[0] != w[1]), "Retry-After is jittered");
}

#[test]
fn no_quota_is_enforced_while_there_is_capacity() {
    let mut gateway = TestGateway::new(settings(), 4);
    for _ in 0..200 {
        gateway.now_ms += 5.0;
        let (request, actions) = gateway.request(0, Some(0));
        let endpoint = sent_to(&actions).expect("there is capacity");
        gateway.end_attempt(request, 0, endpoint, Outcome::Served);
    }
}

#[test]
fn a_tenant_within_its_quota_is_admitted_by_a_saturated_fleet() {
    let mut gateway = TestGateway::new(settings(), 2);
    saturate(&mut gateway);
    for _ in 0..40 {
        gateway.now_ms += 100.0; // 10 a second against a quota of 20
        assert_eq!(rejected(&gateway.request(2, Some(0)).1), None);
    }
}

#[test]
fn a_bursting_tenant_is_admitted_up_to_about_its_quota() {
    let mut gateway = TestGateway::new(settings(), 2);
    saturate(&mut gateway);
    let mut admitted = 0;
    for n in 0..2000 {
        gateway.now_ms += 10.0; // 100 a second, a fifth of it within the quota
        let rejected = rejected(&gateway.request(0, Some(0)).1).is_some();
        gateway.fire_timer_after(0.0);
        admitted += u32::from(n >= 1000 && !rejected);
    }
    assert!((140..270).contains(&admitted), "admitted {admitted} of 1000");
}
