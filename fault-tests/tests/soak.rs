//! The invariants of a soak against planted violations, and a small soak judged by counts.
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

fn asked(id: &str, class: &str) -> EventKind {
    EventKind::RequestSent { id: id.into(), class: class.into(), gateway: 0, client_timeout_ms: 1000 }
}

fn arrived(id: &str, first_ms: u64) -> EventKind {
    EventKind::RequestReceived {
        id: id.into(),
        host: 1,
        gateway: 0,
        first_byte_at_us: first_ms * 1000,
        processed: true,
    }
}

fn answered(id: &str, status: u16, body: &str) -> EventKind {
    EventKind::ResponseReceived { id: id.into(), status, body: body.into(), has_retry_after: true }
}

/// The invariants that a history violates; its events come with their time in ms.
fn violated(events: Vec<(u64, EventKind)>) -> Vec<Invariant> {
    let events: Vec<Event> = events.into_iter().map(|(ms, kind)| Event { at_us: ms * 1000, kind }).collect();
    check(&events, &guarantees()).into_iter().map(|violation| violation.invariant).collect()
}

/// An invariant, a history that violates it and no other, and one that violates none.
struct Planted {
    invariant: Invariant,
    violating: Vec<(u64, EventKind)>,
    sound: Vec<(u64, EventKind)>,
}

#[test]
fn each_planted_violation_is_found_by_its_own_invariant_and_its_sound_twin_by_none() {
    for planted in [planted_of_one_request(), planted_of_attempts(), planted_of_hosts()].into_iter().flatten()
    {
        let Planted { invariant, violating, sound } = planted;
        assert_eq!(violated(violating), [invariant]);
        assert_eq!(violated(sound), [], "the sound twin of {invariant:?}");
    }
}

fn planted_of_one_request() -> Vec<Planted> {
    let made = EventKind::ResponseCreated { id: "a".into(), host: 1, body: "b".into() };
    let told = |remaining_ms| EventKind::DeadlineForwarded {
        id: "a".into(),
        first_byte_at_us: 400_000,
        remaining_ms,
    };
    let left = EventKind::ClientDisconnected { id: "a".into() };
    let served = || answered("a", 200, "b");
    vec![
        Planted {
            invariant: Invariant::Answered,
            violating: vec![
                (0, asked("a", "look")),
                (900, EventKind::ResponseMissing { id: "a".into(), reason: "ended".into() }),
            ],
            sound: vec![(0, asked("a", "look")), (900, EventKind::RequestMoved { id: "a".into() })],
        },
        Planted {
            invariant: Invariant::NoAttemptAfterDisconnect,
            violating: vec![(0, asked("a", "look")), (100, left.clone()), (260, arrived("a", 251))],
            sound: vec![(0, asked("a", "look")), (100, left), (260, arrived("a", 249))],
        },
        Planted {
            invariant: Invariant::ForwardedDeadline,
            violating: vec![(0, asked("a", "look")), (400, told(801)), (500, made.clone()), (501, served())],
            sound: vec![(0, asked("a", "look")), (400, told(800)), (500, made.clone()), (501, served())],
        },
    ]
}

fn planted_of_attempts() -> Vec<Planted> {
    vec![
        Planted {
            invariant: Invariant::Idempotency,
            violating: vec![
                (0, asked("a", "sign")),
                (5, arrived("a", 5)),
                (9, arrived("a", 9)),
                (10, answered("a", 502, "")),
            ],
            sound: vec![
                (0, asked("a", "look")),
                (5, arrived("a", 5)),
                (9, arrived("a", 9)),
                (10, answered("a", 502, "")),
            ],
        },
        Planted {
            invariant: Invariant::Idempotency,
            violating: vec![
                (0, asked("a", "book")),
                (5, arrived("a", 5)),
                (900, arrived("a", 900)),
                (910, answered("a", 502, "")),
            ],
            sound: vec![
                (0, asked("a", "book")),
                (5, arrived("a", 5)),
                (800, arrived("a", 800)),
                (910, answered("a", 502, "")),
            ],
        },
    ]
}

fn planted_of_hosts() -> Vec<Planted> {
    let made = EventKind::ResponseCreated { id: "a".into(), host: 1, body: "b".into() };
    let drain = EventKind::EndpointStateSent { gateway: 0, host: 1, serving: false };
    let served = || answered("a", 200, "b");
    vec![
        Planted {
            invariant: Invariant::Draining,
            violating: vec![
                (0, drain.clone()),
                (3060, asked("a", "look")),
                (3061, arrived("a", 3061)),
                (3065, made.clone()),
                (3066, served()),
            ],
            sound: vec![
                (0, drain),
                (3040, asked("a", "look")),
                (3041, arrived("a", 3041)),
                (3065, made.clone()),
                (3066, served()),
            ],
        },
        Planted {
            invariant: Invariant::BodyUnchanged,
            violating: vec![(0, asked("a", "look")), (5, made.clone()), (6, answered("a", 200, "c"))],
            sound: vec![(0, asked("a", "look")), (5, made.clone()), (6, served())],
        },
        Planted {
            invariant: Invariant::InTime,
            violating: vec![(0, asked("a", "look")), (1551, answered("a", 502, ""))],
            sound: vec![(0, asked("a", "look")), (1549, answered("a", 502, ""))],
        },
    ]
}

#[test]
fn a_kind_with_no_injected_event_counts_as_not_run() {
    let kind = named("read_short").expect("a kind");
    let plan = Plan::draw(1, vec![kind], vec![Phase::Service], Duration::from_secs(1), false);
    let mut report = Report::default();
    report.add(&plan, &Outcome { injected: [(kind.name, 0)].into(), ..Outcome::default() });
    let cell = &report.alone[kind.name][&Phase::Service];
    assert_eq!((cell.runs, cell.without_event), (0, 1));
    assert!(
        report.table().lines().any(|l| l.starts_with("| `read_short` | not run | not run")),
        "{}",
        report.table()
    );
    report.add(&plan, &Outcome { injected: [(kind.name, 3)].into(), ..Outcome::default() });
    let cell = &report.alone[kind.name][&Phase::Service];
    assert_eq!((cell.runs, cell.without_event, cell.injected), (1, 1, 3));
}

/// Kinds whose calls come by the hundreds in any run, so that some are injected whatever the machine's pace is; of the rest
/// a short run may have none.
const OFTEN: [&str; 9] = [
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

/// Judged by counts: what comes often has been injected, requests were served through it, and none was lost, doubled or altered.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_small_soak_loses_doubles_and_alters_nothing() {
    let kinds =
        |names: &[&str]| -> Vec<Kind> { names.iter().map(|name| named(name).expect("a kind")).collect() };
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
        let outcome = play(&launch(), &plan).await.expect("a site");
        let often = |kind: &Kind| OFTEN.contains(&kind.name);
        for kind in plan.kinds.iter().filter(|kind| often(kind)) {
            assert!(outcome.injected[kind.name] > 0, "seed {seed}: {:?}", outcome.injected);
        }
        assert!(outcome.counts.served > 20, "seed {seed}: {:?}", outcome.counts);
        // Times are the soak's own matter: a busy machine is late here and there.
        let timed = [
            "InTime",
            "ForwardedDeadline",
            "NoAttemptAfterDisconnect",
            "Draining",
            "Exit: the gateways took",
            "g",
        ];
        let lost: Vec<_> =
            outcome.violations.iter().filter(|v| !timed.iter().any(|t| v.starts_with(t))).collect();
        assert!(lost.is_empty(), "seed {seed}: {lost:#?}");
    }
}
