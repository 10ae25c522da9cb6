//! Each invariant check finds the violations that are planted into a valid history, and finds none in the
//! history without them.
use ternstack_fault_tests::history::{Event, EventKind};
use ternstack_fault_tests::invariants::{
    check, Guarantees, Idempotency, Invariant, TenantLimit, WindowLimit,
};

fn guarantees() -> Guarantees {
    Guarantees {
        classes: vec![
            ("look".into(), Idempotency::Idempotent),
            ("book".into(), Idempotency::IdempotentWithKey { window_ms: 800 }),
            ("sign".into(), Idempotency::NonIdempotent),
        ],
        max_attempts: 3,
        response_slack_ms: 100,
        drain_grace_ms: 1000,
        disconnect_slack_ms: Some(100),
        deadline_slack_ms: Some(150),
        slow_start: Some(WindowLimit { window_ms: 2000, max_requests: 4 }),
        contradiction_ms: 2000,
        max_unavailable: 2,
        rate_limits: vec![TenantLimit {
            tenant: "acme".into(),
            limit: WindowLimit { window_ms: 1000, max_requests: 5 },
        }],
    }
}

fn request_sent(id: &str, class: &str) -> EventKind {
    EventKind::RequestSent { id: id.into(), class: class.into(), gateway: 0, client_timeout_ms: 500 }
}

fn request_received(id: &str, host: usize, first_byte_at_ms: u64) -> EventKind {
    EventKind::RequestReceived {
        id: id.into(),
        host,
        gateway: 0,
        first_byte_at_us: first_byte_at_ms * 1000,
        processed: true,
    }
}

fn response_created(id: &str, body: &str) -> EventKind {
    EventKind::ResponseCreated { id: id.into(), host: 0, body: body.into() }
}

fn response_received(id: &str, status: u16, body: &str) -> EventKind {
    EventKind::ResponseReceived { id: id.into(), status, body: body.into(), has_retry_after: true }
}

fn rule_applied(gateway: usize, rule: &str) -> EventKind {
    EventKind::RuleApplied { gateway, subject: "acme's quota".into(), rule: Some(rule.into()) }
}

fn availability_changed(member: &str, unavailable: bool) -> EventKind {
    EventKind::AvailabilityChanged { member: member.into(), unavailable }
}

fn host_state_sent(serving: bool) -> EventKind {
    EventKind::EndpointStateSent { gateway: 0, host: 0, serving }
}

/// Returns a history that violates no invariant, with times in ms.
fn valid_history() -> Vec<(u64, EventKind)> {
    let mut events = vec![
        (0, EventKind::ServerStarted { host: 1 }),
        (1, host_state_sent(true)),
        (10, request_sent("a", "look")),
        (12, request_received("a", 0, 12)),
        (20, response_created("a", "for a")),
        (25, response_received("a", 200, "for a")),
        // A request with an idempotency key is retried within its window, and a rejection has a Retry-After.
        (30, request_sent("b", "book")),
        (32, request_received("b", 0, 32)),
        (132, request_received("b", 1, 132)),
        (140, response_created("b", "for b")),
        (145, response_received("b", 200, "for b")),
        (150, request_sent("c", "sign")),
        (160, response_received("c", 503, "")),
        (170, request_sent("d", "sign")),
        (175, request_received("d", 0, 175)),
        (180, response_created("d", "for d")),
        (190, response_received("d", 200, "for d")),
        // Gateways contradict each other for less than the permitted time, and at most two members are
        // unavailable.
        (200, rule_applied(0, "100")),
        (201, rule_applied(1, "100")),
        (1000, rule_applied(0, "120")),
        (2500, rule_applied(1, "120")),
        (2600, availability_changed("host 1", true)),
        (2700, availability_changed("host 2", true)),
        (2800, availability_changed("host 1", false)),
        (2900, availability_changed("host 3", true)),
        (3000, host_state_sent(false)),
    ];
    events.extend(
        (0..15).map(|index| (3100 + index * 250, EventKind::RequestAdmitted { tenant: "acme".into() })),
    );
    events
}

/// Returns the invariants that are violated after `plant` has changed a valid history.
fn violations_after(plant: impl FnOnce(&mut Vec<(u64, EventKind)>)) -> Vec<Invariant> {
    let mut history = valid_history();
    plant(&mut history);
    history.sort_by_key(|(at_ms, _)| *at_ms);
    let history: Vec<Event> =
        history.into_iter().map(|(at_ms, kind)| Event { at_us: at_ms * 1000, kind }).collect();
    let mut found: Vec<Invariant> =
        check(&history, &guarantees()).iter().map(|violation| violation.invariant).collect();
    found.sort();
    found.dedup();
    found
}

#[test]
fn valid_history_violates_no_invariant() {
    assert_eq!(violations_after(|_| {}), vec![]);
}

/// Removes the response to a request from a history.
fn remove_response(history: &mut Vec<(u64, EventKind)>, id: &str) {
    history.retain(|(_, kind)| !matches!(kind, EventKind::ResponseReceived { id: other, .. } if other == id));
}

#[test]
fn check_finds_missing_late_duplicate_and_altered_responses() {
    // In order: no response, a recorded missing response, a late response, two responses, the response to
    // another request, a truncated response, a response that no host created.
    assert_eq!(violations_after(|history| remove_response(history, "a")), [Invariant::Answered]);
    assert_eq!(
        violations_after(|history| {
            remove_response(history, "a");
            history.push((
                40,
                EventKind::ResponseMissing { id: "a".into(), reason: "the connection ended".into() },
            ));
        }),
        [Invariant::Answered]
    );
    assert_eq!(
        violations_after(|history| {
            remove_response(history, "a");
            history.push((700, response_received("a", 200, "for a")));
        }),
        [Invariant::InTime]
    );
    assert_eq!(
        violations_after(|history| history.push((300, response_received("a", 200, "for a")))),
        [Invariant::AnsweredOnce]
    );
    assert_eq!(
        violations_after(|history| {
            remove_response(history, "d");
            history.push((190, response_received("d", 200, "for a")));
        }),
        [Invariant::BodyUnchanged]
    );
    assert_eq!(
        violations_after(|history| {
            remove_response(history, "d");
            history.push((190, response_received("d", 200, "for ")));
        }),
        [Invariant::BodyUnchanged]
    );
    assert_eq!(
        violations_after(|history| history
            .retain(|(_, kind)| !matches!(kind, EventKind::ResponseCreated { id, .. } if id == "a"))),
        [Invariant::BodyUnchanged]
    );
}

#[test]
fn check_finds_forbidden_retries_requests_to_draining_hosts_and_missing_retry_after() {
    // Forbidden retries: of a non-idempotent request, after the deduplication window, and beyond the maximum
    // number of attempts.
    assert_eq!(
        violations_after(|history| history.push((185, request_received("d", 1, 185)))),
        [Invariant::Idempotency]
    );
    assert_eq!(
        violations_after(|history| history.push((950, request_received("b", 0, 950)))),
        [Invariant::Idempotency]
    );
    assert_eq!(
        violations_after(
            |history| history.extend((0..3).map(|index| (30 + index, request_received("a", 0, 30 + index))))
        ),
        [Invariant::Idempotency]
    );
    // A request after the grace period violates the invariant if its first byte arrived after the period.
    assert_eq!(
        violations_after(|history| history.push((4100, request_received("e", 0, 4060)))),
        [Invariant::Draining]
    );
    assert_eq!(violations_after(|history| history.push((4100, request_received("e", 0, 3900)))), []);
    // A drain that is sent while the gateway is cut off from discovery counts as notified once the gateway is
    // connected again.
    let cut_off_until = |until_ms: u64| {
        violations_after(move |history| {
            history.extend([
                (2990, EventKind::DiscoveryCut { gateway: 0 }),
                (until_ms, EventKind::DiscoveryRestored { gateway: 0 }),
            ]);
            history.push((4100, request_received("e", 0, 4060)));
        })
    };
    assert_eq!((cut_off_until(3500), cut_off_until(3005)), (vec![], vec![Invariant::Draining]));
    assert_eq!(
        violations_after(|history| {
            history.push((4000, host_state_sent(true)));
            history.push((4100, request_received("e", 0, 4060)));
        }),
        []
    );
    assert_eq!(
        violations_after(|history| {
            remove_response(history, "c");
            history.push((
                160,
                EventKind::ResponseReceived {
                    id: "c".into(),
                    status: 503,
                    body: String::new(),
                    has_retry_after: false,
                },
            ));
        }),
        [Invariant::RetryAfter]
    );
}

#[test]
fn check_finds_exceeded_limits_and_contradictory_rules() {
    assert_eq!(
        violations_after(|history| history.extend(
            (0..5).map(|index| (300 + index, request_received(&format!("f{index}"), 1, 300 + index)))
        )),
        [Invariant::SlowStart]
    );
    // Rules that contradict each other for too long: a gateway that does not apply the new rule, one that
    // returns to the old rule, and a contradiction until the end of the history.
    assert_eq!(
        violations_after(|history| history.retain(|(at_ms, _)| *at_ms != 2500)),
        [Invariant::Agreement]
    );
    assert_eq!(
        violations_after(|history| history.push((2600, rule_applied(1, "100")))),
        [Invariant::Agreement]
    );
    assert_eq!(
        violations_after(|history| history.push((
            3500,
            EventKind::RuleApplied { gateway: 2, subject: "acme's quota".into(), rule: Some("7".into()) }
        ))),
        [Invariant::Agreement]
    );
    assert_eq!(
        violations_after(|history| history.push((2750, availability_changed("host 4", true)))),
        [Invariant::MaxUnavailable]
    );
    assert_eq!(violations_after(|history| history.push((2750, availability_changed("host 2", true)))), []);
    assert_eq!(
        violations_after(|history| history.extend(
            (0..3).map(|index| (3200 + index, EventKind::RequestAdmitted { tenant: "acme".into() }))
        )),
        [Invariant::RateLimit]
    );
}

#[test]
fn check_excuses_missing_responses_and_retries_only_during_faults_of_the_gateway() {
    let without_response_during_fault = |from_ms: u64, to_ms: u64| {
        violations_after(move |history| {
            history.retain(|(_, kind)| !matches!(kind, EventKind::ResponseReceived { id, .. } if id == "a"));
            history.push((from_ms, EventKind::GatewayFaulted { gateway: 0, description: "killed".into() }));
            history.push((to_ms, EventKind::GatewayRecovered { gateway: 0 }));
        })
    };
    assert_eq!(without_response_during_fault(15, 3000), []);
    assert_eq!(without_response_during_fault(5, 11), []);
    assert_eq!(without_response_during_fault(1, 5), [Invariant::Answered]);
    assert_eq!(without_response_during_fault(700, 800), [Invariant::Answered]);
    // A request that a client resends because of a faulty link may reach hosts twice. Without a fault of the
    // link it must not.
    let resent_after_fault = |from_ms: u64| {
        violations_after(move |history| {
            history.push((from_ms, EventKind::GatewayFaulted { gateway: 0, description: "cut".into() }));
            history.push((from_ms + 5, EventKind::GatewayRecovered { gateway: 0 }));
            history.push((177, EventKind::RequestResent { id: "d".into(), gateway: 0 }));
            history.push((185, request_received("d", 1, 185)));
        })
    };
    assert_eq!(resent_after_fault(175), []);
    assert_eq!(resent_after_fault(900), [Invariant::Idempotency]);
    assert_eq!(
        violations_after(|history| {
            history.push((15, EventKind::GatewayFaulted { gateway: 0, description: "killed".into() }));
            history.push((300, response_received("a", 200, "for a")));
            history.push((310, request_received("d", 1, 310)));
        }),
        [Invariant::AnsweredOnce, Invariant::Idempotency]
    );
}
