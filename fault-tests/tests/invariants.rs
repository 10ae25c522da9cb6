//! Each check finds its planted violations, and none in the same history without them.
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

fn asked(id: &str, class: &str) -> EventKind {
    EventKind::RequestSent { id: id.into(), class: class.into(), gateway: 0, client_timeout_ms: 500 }
}

fn arrived(id: &str, host: usize, first_ms: u64) -> EventKind {
    EventKind::RequestReceived {
        id: id.into(),
        host,
        gateway: 0,
        first_byte_at_us: first_ms * 1000,
        processed: true,
    }
}

fn made(id: &str, body: &str) -> EventKind {
    EventKind::ResponseCreated { id: id.into(), host: 0, body: body.into() }
}

fn answered(id: &str, status: u16, body: &str) -> EventKind {
    EventKind::ResponseReceived { id: id.into(), status, body: body.into(), has_retry_after: true }
}

fn acts(gateway: usize, rule: &str) -> EventKind {
    EventKind::RuleApplied { gateway, subject: "acme's quota".into(), rule: Some(rule.into()) }
}

fn out(member: &str, out: bool) -> EventKind {
    EventKind::AvailabilityChanged { member: member.into(), unavailable: out }
}

fn notified(serving: bool) -> EventKind {
    EventKind::EndpointStateSent { gateway: 0, host: 0, serving }
}

/// A history in which all is well, with times in ms.
fn sound() -> Vec<(u64, EventKind)> {
    let mut all = vec![
        (0, EventKind::ServerStarted { host: 1 }),
        (1, notified(true)),
        (10, asked("a", "look")),
        (12, arrived("a", 0, 12)),
        (20, made("a", "for a")),
        (25, answered("a", 200, "for a")),
        // A message that may be repeated is, in time; one that is refused says when to come back.
        (30, asked("b", "book")),
        (32, arrived("b", 0, 32)),
        (132, arrived("b", 1, 132)),
        (140, made("b", "for b")),
        (145, answered("b", 200, "for b")),
        (150, asked("c", "sign")),
        (160, answered("c", 503, "")),
        (170, asked("d", "sign")),
        (175, arrived("d", 0, 175)),
        (180, made("d", "for d")),
        (190, answered("d", 200, "for d")),
        // Rules change within the bound, and few are out at once.
        (200, acts(0, "100")),
        (201, acts(1, "100")),
        (1000, acts(0, "120")),
        (2500, acts(1, "120")),
        (2600, out("host 1", true)),
        (2700, out("host 2", true)),
        (2800, out("host 1", false)),
        (2900, out("host 3", true)),
        (3000, notified(false)),
    ];
    all.extend((0..15).map(|n| (3100 + n * 250, EventKind::RequestAdmitted { tenant: "acme".into() })));
    all
}

/// The invariants that are violated once this is planted.
fn violated(plant: impl FnOnce(&mut Vec<(u64, EventKind)>)) -> Vec<Invariant> {
    let mut history = sound();
    plant(&mut history);
    history.sort_by_key(|(at, _)| *at);
    let history: Vec<Event> =
        history.into_iter().map(|(at, kind)| Event { at_us: at * 1000, kind }).collect();
    let mut found: Vec<Invariant> = check(&history, &guarantees()).iter().map(|o| o.invariant).collect();
    found.sort();
    found.dedup();
    found
}

#[test]
fn a_sound_history_violates_no_invariant() {
    assert_eq!(violated(|_| {}), vec![]);
}

/// Removes the response to a request.
fn without(history: &mut Vec<(u64, EventKind)>, id: &str) {
    history.retain(|(_, kind)| !matches!(kind, EventKind::ResponseReceived { id: of, .. } if of == id));
}

#[test]
fn planted_violations_of_responses_are_found() {
    // No answer at all, late ones, two, and the one of another message.
    assert_eq!(violated(|h| without(h, "a")), [Invariant::Answered]);
    assert_eq!(
        violated(|h| {
            without(h, "a");
            h.push((
                40,
                EventKind::ResponseMissing { id: "a".into(), reason: "the connection ended".into() },
            ));
        }),
        [Invariant::Answered]
    );
    assert_eq!(
        violated(|h| {
            without(h, "a");
            h.push((700, answered("a", 200, "for a")));
        }),
        [Invariant::InTime]
    );
    assert_eq!(violated(|h| h.push((300, answered("a", 200, "for a")))), [Invariant::AnsweredOnce]);
    assert_eq!(
        violated(|h| {
            without(h, "d");
            h.push((190, answered("d", 200, "for a")));
        }),
        [Invariant::BodyUnchanged]
    );
    assert_eq!(
        violated(|h| {
            without(h, "d");
            h.push((190, answered("d", 200, "for ")));
        }),
        [Invariant::BodyUnchanged]
    );
    assert_eq!(
        violated(|h| h.retain(|(_, w)| !matches!(w, EventKind::ResponseCreated { id, .. } if id == "a"))),
        [Invariant::BodyUnchanged]
    );
}

#[test]
fn planted_violations_of_attempts_and_drains_are_found() {
    // Sent again: what may not be, what hosts no longer drop, and once too often.
    assert_eq!(violated(|h| h.push((185, arrived("d", 1, 185)))), [Invariant::Idempotency]);
    assert_eq!(violated(|h| h.push((950, arrived("b", 0, 950)))), [Invariant::Idempotency]);
    assert_eq!(
        violated(|h| h.extend((0..3).map(|n| (30 + n, arrived("a", 0, 30 + n))))),
        [Invariant::Idempotency]
    );
    // To a host past the grace; only that of a drain that this gateway was told of.
    assert_eq!(violated(|h| h.push((4100, arrived("e", 0, 4060)))), [Invariant::Draining]);
    assert_eq!(violated(|h| h.push((4100, arrived("e", 0, 3900)))), []);
    // One that stood still is told when it goes on, and no later.
    let slept = |until: u64| {
        violated(move |h| {
            h.extend([
                (2990, EventKind::DiscoveryCut { gateway: 0 }),
                (until, EventKind::DiscoveryRestored { gateway: 0 }),
            ]);
            h.push((4100, arrived("e", 0, 4060)));
        })
    };
    assert_eq!((slept(3500), slept(3005)), (vec![], vec![Invariant::Draining]));
    assert_eq!(
        violated(|h| {
            h.push((4000, notified(true)));
            h.push((4100, arrived("e", 0, 4060)));
        }),
        []
    );
    assert_eq!(
        violated(|h| {
            without(h, "c");
            h.push((
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
fn planted_violations_of_limits_and_agreement_are_found() {
    assert_eq!(
        violated(|h| h.extend((0..5).map(|n| (300 + n, arrived(&format!("f{n}"), 1, 300 + n))))),
        [Invariant::SlowStart]
    );
    // Rules that contradict for too long: one that never follows, one that goes back, one until the end.
    assert_eq!(violated(|h| h.retain(|(at, _)| *at != 2500)), [Invariant::Agreement]);
    assert_eq!(violated(|h| h.push((2600, acts(1, "100")))), [Invariant::Agreement]);
    assert_eq!(
        violated(|h| h.push((
            3500,
            EventKind::RuleApplied { gateway: 2, subject: "acme's quota".into(), rule: Some("7".into()) }
        ))),
        [Invariant::Agreement]
    );
    assert_eq!(violated(|h| h.push((2750, out("host 4", true)))), [Invariant::MaxUnavailable]);
    assert_eq!(violated(|h| h.push((2750, out("host 2", true)))), []);
    assert_eq!(
        violated(
            |h| h.extend((0..3).map(|n| (3200 + n, EventKind::RequestAdmitted { tenant: "acme".into() })))
        ),
        [Invariant::RateLimit]
    );
}

#[test]
fn injected_faults_of_a_gateway_are_excused_and_nothing_else() {
    let broke = |from: u64, to: u64| {
        violated(move |h| {
            h.retain(|(_, w)| !matches!(w, EventKind::ResponseReceived { id, .. } if id == "a"));
            h.push((from, EventKind::GatewayFaulted { gateway: 0, description: "killed".into() }));
            h.push((to, EventKind::GatewayRecovered { gateway: 0 }));
        })
    };
    assert_eq!(broke(15, 3000), []);
    assert_eq!(broke(5, 11), []);
    assert_eq!(broke(1, 5), [Invariant::Answered]);
    assert_eq!(broke(700, 800), [Invariant::Answered]);
    // What a client sends again over a broken way may run again; over a sound one it may not.
    let again = |from: u64| {
        violated(move |h| {
            h.push((from, EventKind::GatewayFaulted { gateway: 0, description: "cut".into() }));
            h.push((from + 5, EventKind::GatewayRecovered { gateway: 0 }));
            h.push((177, EventKind::RequestResent { id: "d".into(), gateway: 0 }));
            h.push((185, arrived("d", 1, 185)));
        })
    };
    assert_eq!(again(175), []);
    assert_eq!(again(900), [Invariant::Idempotency]);
    assert_eq!(
        violated(|h| {
            h.push((15, EventKind::GatewayFaulted { gateway: 0, description: "killed".into() }));
            h.push((300, answered("a", 200, "for a")));
            h.push((310, arrived("d", 1, 310)));
        }),
        [Invariant::AnsweredOnce, Invariant::Idempotency]
    );
}
