//! Endpoint updates: which endpoints may get requests, and when an endpoint is forgotten.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn draining_and_removed_endpoints_get_no_new_requests() {
    for readiness in [Readiness::Draining, Readiness::Removed] {
        let mut gateway = TestGateway::new(settings(), 2);
        gateway.update(UpdateKind::Delta, vec![EndpointRecord { readiness, ..record(0) }]);
        for _ in 0..50 {
            gateway.now_ms += 10.0;
            assert_eq!(gateway.serve(&|_| LoadReport::default()), Some(EndpointId(1)));
        }
        gateway.update(UpdateKind::Delta, vec![EndpointRecord { readiness, ..record(1) }]);
        assert_eq!(sent_to(&gateway.request(0, None).1), None);
    }
}

#[test]
fn a_complete_list_replaces_the_previous_list() {
    let mut gateway = TestGateway::new(settings(), 4);
    gateway.update(UpdateKind::Complete, vec![record(9)]);
    for _ in 0..20 {
        gateway.now_ms += 10.0;
        assert_eq!(gateway.serve(&|_| LoadReport::default()), Some(EndpointId(9)));
    }
}

/// Returns how many of three endpoints from the cached list still get requests after an update that removes
/// or drains them.
fn endpoints_still_used(removal_is_advisory: bool, kind: UpdateKind, readiness: Readiness) -> usize {
    let mut settings = settings();
    settings.removal_is_advisory = removal_is_advisory;
    let mut gateway = TestGateway::new(settings, 4);
    gateway.update(UpdateKind::Delta, vec![EndpointRecord { readiness: Readiness::Draining, ..record(3) }]);
    let removed = (0..3).map(|id| EndpointRecord { readiness, ..record(id) }).collect();
    gateway.update(kind, if kind == UpdateKind::Complete { Vec::new() } else { removed });
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..100 {
        gateway.now_ms += 10.0;
        used.extend(gateway.serve(&|_| LoadReport::default()));
    }
    assert!(!used.contains(&EndpointId(3)), "a draining endpoint gets no requests");
    used.len()
}

#[test]
fn advisory_removal_of_running_endpoints_is_ignored() {
    assert_eq!(endpoints_still_used(true, UpdateKind::Delta, Readiness::Removed), 3);
    assert_eq!(endpoints_still_used(true, UpdateKind::Complete, Readiness::Removed), 3);
    assert_eq!(endpoints_still_used(false, UpdateKind::Delta, Readiness::Removed), 0);
    assert_eq!(endpoints_still_used(false, UpdateKind::Complete, Readiness::Removed), 0);
    assert_eq!(
        endpoints_still_used(true, UpdateKind::Delta, Readiness::Draining),
        0,
        "draining endpoints get no requests even where removal is advisory"
    );
}

#[test]
fn nonexistent_endpoints_are_forgotten_once_unlisted() {
    const ROUNDS: u32 = 20;
    let mut settings = settings();
    settings.removal_is_advisory = true;
    let mut gateway = TestGateway::new(settings, 4);
    let mut failed_attempts = 0;
    for round in 0..ROUNDS {
        let nonexistent = (0..200).map(|offset| record(100 + 200 * round + offset));
        gateway.update(UpdateKind::Complete, (0..4).map(record).chain(nonexistent).collect());
        for _ in 0..50 {
            gateway.now_ms += 5.0;
            let (request, actions) = gateway.request(0, None);
            let mut target = sent_to(&actions);
            let mut attempt = 0;
            while let Some(endpoint) = target {
                let is_nonexistent = endpoint.0 >= 100;
                failed_attempts += u32::from(is_nonexistent);
                let outcome = if is_nonexistent { Outcome::ConnectFailed } else { Outcome::Served };
                target = sent_to(&gateway.end_attempt(request, attempt, endpoint, outcome));
                attempt += 1;
            }
        }
        gateway.update(UpdateKind::Complete, (0..4).map(record).collect());
        let all_ids = 0..100 + 200 * ROUNDS;
        let kept = all_ids.filter(|id| gateway.balancer.knows(EndpointId(*id))).count();
        assert!(kept <= 4, "at most the 4 listed endpoints are known, not {kept}");
    }
    assert!(failed_attempts > 0, "some nonexistent endpoints get attempts");
}

#[test]
fn a_removed_endpoint_is_forgotten_after_its_last_attempt() {
    let mut gateway = TestGateway::new(settings(), 2);
    let removed = EndpointRecord { readiness: Readiness::Removed, ..record(0) };
    let (request, actions) = gateway.request(2, None);
    let busy = sent_to(&actions).expect("the request is sent");
    gateway.update(
        UpdateKind::Delta,
        vec![removed, EndpointRecord { readiness: Readiness::Removed, ..record(1) }],
    );
    assert!(gateway.balancer.knows(busy), "an endpoint with an attempt in flight is kept");
    gateway.end_attempt(request, 0, busy, Outcome::Served);
    gateway.update(UpdateKind::Delta, vec![record(2)]);
    assert!(!gateway.balancer.knows(EndpointId(0)) && !gateway.balancer.knows(EndpointId(1)));
}
