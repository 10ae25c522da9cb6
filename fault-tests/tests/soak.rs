//! The invariants of a soak are checked against planted violations, and a small soak is judged by counts.
use std::path::PathBuf;
use std::time::Duration;
use ternstack_fault_tests::history::{Event, EventKind};
use ternstack_fault_tests::invariants::{check, Guarantees, Idempotency, Invariant};
use ternstack_fault_tests::process::Launch;
use ternstack_fault_tests::soak::faults::{named, Kind, Phase};
use ternstack_fault_tests::soak::judge::Outcome;
use ternstack_fault_tests::soak::plan::Plan;
use ternstack_fault_tests::soak::report::Report;
use ternstack_fault_tests::soak::run::play;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ternstack-fault-tests");

fn launch() -> Launch {
    Launch { program: PathBuf::from(PROGRAM), args: vec!["gateway".into()], variables: vec![] }
}

fn guarantees() -> Guarantees {
    Guarantees {
        classes: vec![
            ("look".into(), Idempotency::Idempotent),
            ("book".into(), Idempotency::IdempotentWithKey { window_ms: 300 }),
            ("sign".into(), Idempotency::NonIdempotent),
        ],
        max_attempts: 3,
        response_slack_ms: 550,
        drain_grace_ms: 3000,
        disconnect_slack_ms: Some(150),
        deadline_slack_ms: Some(200),
        slow_start: None,
        contradiction_ms: 2000,
        max_unavailable: 3,
        rate_limits: vec![],
    }
}

fn request_sent(id: &str, class: &str) -> EventKind {
    EventKind::RequestSent { id: id.into(), class: class.into(), gateway: 0, client_timeout_ms: 1000 }
}

fn request_received(id: &str, first_byte_at_ms: u64) -> EventKind {
    EventKind::RequestReceived {
        id: id.into(),
        host: 1,
        gateway: 0,
        first_byte_at_us: first_byte_at_ms * 1000,
        processed: true,
    }
}

fn response_received(id: &str, status: u16, body: &str) -> EventKind {
    EventKind::ResponseReceived { id: id.into(), status, body: body.into(), has_retry_after: true }
}

/// Returns the invariants that the events, given with their times in ms, violate.
fn violated_invariants(events: Vec<(u64, EventKind)>) -> Vec<Invariant> {
    let events: Vec<Event> = events.into_iter().map(|(ms, kind)| Event { at_us: ms * 1000, kind }).collect();
    check(&events, &guarantees()).into_iter().map(|violation| violation.invariant).collect()
}

/// An invariant, a history that violates only this invariant, and a similar history that violates none.
struct ViolationCase {
    invariant: Invariant,
    violating: Vec<(u64, EventKind)>,
    valid: Vec<(u64, EventKind)>,
}

#[test]
fn check_reports_only_the_violated_invariant_and_none_for_the_valid_history() {
    for case in [response_and_deadline_cases(), retry_cases(), host_cases()].into_iter().flatten() {
        let ViolationCase { invariant, violating, valid } = case;
        assert_eq!(violated_invariants(violating), [invariant]);
        assert_eq!(
            violated_invariants(valid),
            [],
            "the valid history for {invariant:?} violates no invariant"
        );
    }
}

fn response_and_deadline_cases() -> Vec<ViolationCase> {
    let response_created = EventKind::ResponseCreated { id: "a".into(), host: 1, body: "b".into() };
    let deadline_forwarded = |remaining_ms| EventKind::DeadlineForwarded {
        id: "a".into(),
        first_byte_at_us: 400_000,
        remaining_ms,
    };
    let client_disconnected = EventKind::ClientDisconnected { id: "a".into() };
    let served = || response_received("a", 200, "b");
    vec![
        ViolationCase {
            invariant: Invariant::Answered,
            violating: vec![
                (0, request_sent("a", "look")),
                (900, EventKind::ResponseMissing { id: "a".into(), reason: "ended".into() }),
            ],
            valid: vec![(0, request_sent("a", "look")), (900, EventKind::RequestMoved { id: "a".into() })],
        },
        ViolationCase {
            invariant: Invariant::NoAttemptAfterDisconnect,
            violating: vec![
                (0, request_sent("a", "look")),
                (100, client_disconnected.clone()),
                (260, request_received("a", 251)),
            ],
            valid: vec![
                (0, request_sent("a", "look")),
                (100, client_disconnected),
                (260, request_received("a", 249)),
            ],
        },
        ViolationCase {
            invariant: Invariant::ForwardedDeadline,
            violating: vec![
                (0, request_sent("a", "look")),
                (400, deadline_forwarded(801)),
                (500, response_created.clone()),
                (501, served()),
            ],
            valid: vec![
                (0, request_sent("a", "look")),
                (400, deadline_forwarded(800)),
                (500, response_created.clone()),
                (501, served()),
            ],
        },
    ]
}

fn retry_cases() -> Vec<ViolationCase> {
    vec![
        ViolationCase {
            invariant: Invariant::Idempotency,
            violating: vec![
                (0, request_sent("a", "sign")),
                (5, request_received("a", 5)),
                (9, request_received("a", 9)),
                (10, response_received("a", 502, "")),
            ],
            valid: vec![
                (0, request_sent("a", "look")),
                (5, request_received("a", 5)),
                (9, request_received("a", 9)),
                (10, response_received("a", 502, "")),
            ],
        },
        ViolationCase {
            invariant: Invariant::Idempotency,
            violating: vec![
                (0, request_sent("a", "book")),
                (5, request_received("a", 5)),
                (900, request_received("a", 900)),
                (910, response_received("a", 502, "")),
            ],
            valid: vec![
                (0, request_sent("a", "book")),
                (5, request_received("a", 5)),
                (800, request_received("a", 800)),
                (910, response_received("a", 502, "")),
            ],
        },
    ]
}

fn host_cases() -> Vec<ViolationCase> {
    let response_created = EventKind::ResponseCreated { id: "a".into(), host: 1, body: "b".into() };
    let drain_sent = EventKind::EndpointStateSent { gateway: 0, host: 1, serving: false };
    let served = || response_received("a", 200, "b");
    vec![
        ViolationCase {
            invariant: Invariant::Draining,
            violating: vec![
                (0, drain_sent.clone()),
                (3060, request_sent("a", "look")),
                (3061, request_received("a", 3061)),
                (3065, response_created.clone()),
                (3066, served()),
            ],
            valid: vec![
                (0, drain_sent),
                (3040, request_sent("a", "look")),
                (3041, request_received("a", 3041)),
                (3065, response_created.clone()),
                (3066, served()),
            ],
        },
        ViolationCase {
            invariant: Invariant::BodyUnchanged,
            violating: vec![
                (0, request_sent("a", "look")),
                (5, response_created.clone()),
                (6, response_received("a", 200, "c")),
            ],
            valid: vec![(0, request_sent("a", "look")), (5, response_created.clone()), (6, served())],
        },
        ViolationCase {
            invariant: Invariant::InTime,
            violating: vec![(0, request_sent("a", "look")), (1551, response_received("a", 502, ""))],
            valid: vec![(0, request_sent("a", "look")), (1549, response_received("a", 502, ""))],
        },
    ]
}

#[test]
fn report_counts_a_run_without_injected_faults_as_not_run() {
    let kind = named("read_short").expect("the kind exists");
    let plan = Plan::draw(1, vec![kind], vec![Phase::Service], Duration::from_secs(1), false);
    let mut report = Report::default();
    report.add(&plan, &Outcome { injected: [(kind.name, 0)].into(), ..Outcome::default() });
    let cell = &report.alone[kind.name][&Phase::Service];
    assert_eq!((cell.runs, cell.without_event), (0, 1));
    assert!(
        report.table().lines().any(|line| line.starts_with("| `read_short` | not run | not run")),
        "{}",
        report.table()
    );
    report.add(&plan, &Outcome { injected: [(kind.name, 3)].into(), ..Outcome::default() });
    let cell = &report.alone[kind.name][&Phase::Service];
    assert_eq!((cell.runs, cell.without_event, cell.injected), (1, 1, 3));
}

/// Kinds whose system calls occur hundreds of times in every run, so that some are injected even on a slow
/// machine. For other kinds a short run may inject none.
const FREQUENT_KINDS: [&str; 9] = [
    "accept_econnaborted",
    "clock_back_1h",
    "read_eintr",
    "read_short",
    "standstill_120ms",
    "wait_eintr",
    "write_eintr",
    "write_enobufs",
    "write_short",
];

/// Guards against lost, duplicated and altered responses under injected faults. Every frequent
/// kind must have been injected, and requests must have been served.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn small_soak_neither_loses_nor_duplicates_nor_alters_responses() {
    let kinds = |names: &[&str]| -> Vec<Kind> {
        names.iter().map(|name| named(name).expect("the kind exists")).collect()
    };
    let plans = [
        (kinds(&["socket_enobufs", "file_read_eio"]), vec![Phase::Start, Phase::Reload]),
        (kinds(&["read_short", "write_short"]), Phase::ALL.to_vec()),
        (kinds(&["read_eintr", "write_eintr", "wait_eintr"]), Phase::ALL.to_vec()),
        (kinds(&["accept_econnaborted", "connect_eaddrnotavail"]), vec![Phase::Service, Phase::Shutdown]),
        (kinds(&["read_etimedout", "clock_back_1h"]), vec![Phase::Service]),
        (kinds(&["standstill_120ms", "write_enobufs"]), vec![Phase::Service, Phase::Reload]),
    ];
    for (seed, (kinds, phases)) in (900..).zip(plans) {
        let plan = Plan::draw(seed, kinds, phases, Duration::from_secs(1), false);
        let outcome = play(&launch(), &plan).await.expect("the run can be played to its end");
        let is_frequent = |kind: &Kind| FREQUENT_KINDS.contains(&kind.name);
        for kind in plan.kinds.iter().filter(|kind| is_frequent(kind)) {
            assert!(outcome.injected[kind.name] > 0, "seed {seed}: {:?}", outcome.injected);
        }
        assert!(outcome.counts.served > 20, "seed {seed}: {:?}", outcome.counts);
        // Violations of time limits and log lines of gateways are left to the soak program, because a busy
        // machine exceeds some time limits.
        let ignored_prefixes = [
            "InTime",
            "ForwardedDeadline",
            "NoAttemptAfterDisconnect",
            "Draining",
            "Exit: the gateways took",
            "g",
        ];
        let other_violations: Vec<_> = outcome
            .violations
            .iter()
            .filter(|violation| !ignored_prefixes.iter().any(|prefix| violation.starts_with(prefix)))
            .collect();
        assert!(other_violations.is_empty(), "seed {seed}: {other_violations:#?}");
    }
}
