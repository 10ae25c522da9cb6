//! Tenant rate limits: which tenants are rejected, and when.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn a_tenant_over_its_quota_is_rejected_with_a_retry_after_when_the_fleet_is_saturated() {
    let mut gateway = TestGateway::new(settings(), 2);
    saturate(&mut gateway);
    let mut retry_after_ms = Vec::new();
    for _ in 0..200 {
        gateway.now_ms += 10.0; // 100 per second, with a quota of 20.
        let (_, actions) = gateway.request(0, Some(0));
        retry_after_ms.extend(rejected(&actions));
    }
    // At a steady 100 per second the recent average rate is 100 * (1 - 2^(-t / 2 s)), and exceeds 20 after
    // 0.64 s. Of the requests after that time, a fraction of 1 - 20 / rate is rejected: about 52 in total,
    // plus or minus 6.
    assert!((35..70).contains(&retry_after_ms.len()), "{} requests are rejected", retry_after_ms.len());
    assert!(retry_after_ms.iter().all(|delay_ms| (0.0..=1000.0).contains(delay_ms)));
    assert!(retry_after_ms.windows(2).any(|pair| pair[0] != pair[1]), "Retry-After is jittered");
}

#[test]
fn quotas_are_not_enforced_while_the_fleet_has_capacity() {
    let mut gateway = TestGateway::new(settings(), 4);
    for _ in 0..200 {
        gateway.now_ms += 5.0;
        let (request, actions) = gateway.request(0, Some(0));
        let endpoint = sent_to(&actions).expect("a fleet with capacity admits the request");
        gateway.end_attempt(request, 0, endpoint, Outcome::Served);
    }
}

#[test]
fn a_tenant_within_its_quota_is_admitted_by_a_saturated_fleet() {
    let mut gateway = TestGateway::new(settings(), 2);
    saturate(&mut gateway);
    for _ in 0..40 {
        gateway.now_ms += 100.0; // 10 per second, with a quota of 20.
        assert_eq!(rejected(&gateway.request(2, Some(0)).1), None);
    }
}

#[test]
fn a_bursting_tenant_is_admitted_up_to_about_its_quota() {
    let mut gateway = TestGateway::new(settings(), 2);
    saturate(&mut gateway);
    let mut admitted = 0;
    for index in 0..2000 {
        gateway.now_ms += 10.0; // 100 per second, five times the quota.
        let rejected = rejected(&gateway.request(0, Some(0)).1).is_some();
        gateway.fire_timer_after(0.0);
        admitted += u32::from(index >= 1000 && !rejected);
    }
    assert!((140..270).contains(&admitted), "{admitted} of 1000 requests are admitted");
}
