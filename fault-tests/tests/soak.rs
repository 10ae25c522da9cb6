//! The soak's judge against planted offenders, and a small soak judged by counts.
use std::path::PathBuf;
use std::time::Duration;
use ternstack_fault_tests::checkers::{check, Effect, Promise, Terms};
use ternstack_fault_tests::history::{Event, What};
use ternstack_fault_tests::process::Launch;
use ternstack_fault_tests::soak::faults::{named, Kind, Phase};
use ternstack_fault_tests::soak::report::Report;
use ternstack_fault_tests::soak::run::{play, Outcome, Plan};

const RIG: &str = env!("CARGO_BIN_EXE_ternstack-fault-tests");

fn launch() -> Launch {
    Launch { program: PathBuf::from(RIG), args: vec!["gateway".into()], variables: vec![] }
}

fn terms() -> Terms {
    Terms {
        classes: vec![
            ("look".into(), Effect::Safe),
            ("book".into(), Effect::Keyed(300)),
            ("sign".into(), Effect::Unsafe),
        ],
        max_attempts: 3,
        slack_ms: 550,
        grace_ms: 3000,
        leave_ms: Some(150),
        told_slack_ms: Some(200),
        cold: None,
        contradiction_ms: 2000,
        most_out: 3,
        limits: vec![],
    }
}

fn asked(id: &str, class: &str) -> What {
    What::Asked { id: id.into(), class: class.into(), gateway: 0, patience_ms: 1000 }
}

fn arrived(id: &str, first_ms: u64) -> What {
    What::Arrived { id: id.into(), host: 1, gateway: 0, first_us: first_ms * 1000, ran: true }
}

fn answered(id: &str, status: u16, body: &str) -> What {
    What::Answered { id: id.into(), status, body: body.into(), advice: true }
}

/// The promises that a history breaks; its events come by their ms.
fn broken(events: Vec<(u64, What)>) -> Vec<Promise> {
    let events: Vec<Event> = events.into_iter().map(|(ms, what)| Event { at_us: ms * 1000, what }).collect();
    check(&events, &terms()).into_iter().map(|offence| offence.promise).collect()
}

#[test]
fn each_planted_offender_is_caught_by_its_own_rule_and_its_sound_twin_by_none() {
    let made = What::Made { id: "a".into(), host: 1, body: "b".into() };
    let told = |left_ms| What::ToldTime { id: "a".into(), first_us: 400_000, left_ms };
    let left = What::Left { id: "a".into() };
    let drain = What::Told { gateway: 0, host: 1, serving: false };
    let served = || answered("a", 200, "b");
    for (promise, offender, sound) in [
        (
            Promise::Answered,
            vec![(0, asked("a", "look")), (900, What::Unanswered { id: "a".into(), how: "ended".into() })],
            vec![(0, asked("a", "look")), (900, What::Moved { id: "a".into() })],
        ),
        (
            Promise::Left,
            vec![(0, asked("a", "look")), (100, left.clone()), (260, arrived("a", 251))],
            vec![(0, asked("a", "look")), (100, left), (260, arrived("a", 249))],
        ),
        (
            Promise::ToldTime,
            vec![(0, asked("a", "look")), (400, told(801)), (500, made.clone()), (501, served())],
            vec![(0, asked("a", "look")), (400, told(800)), (500, made.clone()), (501, served())],
        ),
        (
            Promise::Effects,
            vec![
                (0, asked("a", "sign")),
                (5, arrived("a", 5)),
                (9, arrived("a", 9)),
                (10, answered("a", 502, "")),
            ],
            vec![
                (0, asked("a", "look")),
                (5, arrived("a", 5)),
                (9, arrived("a", 9)),
                (10, answered("a", 502, "")),
            ],
        ),
        (
            Promise::Effects,
            vec![
                (0, asked("a", "book")),
                (5, arrived("a", 5)),
                (900, arrived("a", 900)),
                (910, answered("a", 502, "")),
            ],
            vec![
                (0, asked("a", "book")),
                (5, arrived("a", 5)),
                (800, arrived("a", 800)),
                (910, answered("a", 502, "")),
            ],
        ),
        (
            Promise::Drains,
            vec![
                (0, drain.clone()),
                (3060, asked("a", "look")),
                (3061, arrived("a", 3061)),
                (3065, made.clone()),
                (3066, served()),
            ],
            vec![
                (0, drain),
                (3040, asked("a", "look")),
                (3041, arrived("a", 3041)),
                (3065, made.clone()),
                (3066, served()),
            ],
        ),
        (
            Promise::Unchanged,
            vec![(0, asked("a", "look")), (5, made.clone()), (6, answered("a", 200, "c"))],
            vec![(0, asked("a", "look")), (5, made.clone()), (6, served())],
        ),
        (
            Promise::InTime,
            vec![(0, asked("a", "look")), (1551, answered("a", 502, ""))],
            vec![(0, asked("a", "look")), (1549, answered("a", 502, ""))],
        ),
    ] {
        assert_eq!(broken(offender), [promise]);
        assert_eq!(broken(sound), [], "the sound twin of {promise:?}");
    }
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
        let outcome = play(&launch(), &plan).await.expect("a rig");
        let often = |kind: &Kind| OFTEN.contains(&kind.name);
        for kind in plan.kinds.iter().filter(|kind| often(kind)) {
            assert!(outcome.injected[kind.name] > 0, "seed {seed}: {:?}", outcome.injected);
        }
        assert!(outcome.counts.served > 20, "seed {seed}: {:?}", outcome.counts);
        // Times are the soak's own matter: a busy machine is late here and there.
        let timed = ["InTime", "ToldTime", "Left", "Drains", "Exit: it took", "g"];
        let lost: Vec<_> =
            outcome.violations.iter().filter(|v| !timed.iter().any(|t| v.starts_with(t))).collect();
        assert!(lost.is_empty(), "seed {seed}: {lost:#?}");
    }
}
