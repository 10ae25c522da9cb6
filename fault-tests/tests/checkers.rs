//! Each checker catches its planted offenders, and finds nothing in the same history without them.
use ternstack_fault_tests::checkers::{check, Effect, Promise, Terms};
use ternstack_fault_tests::history::{Event, What};

fn terms() -> Terms {
    Terms {
        classes: vec![
            ("look".into(), Effect::Safe),
            ("book".into(), Effect::Keyed(800)),
            ("sign".into(), Effect::Unsafe),
        ],
        max_attempts: 3,
        slack_ms: 100,
        grace_ms: 1000,
        leave_ms: Some(100),
        told_slack_ms: Some(150),
        cold: Some((2000, 4)),
        contradiction_ms: 2000,
        most_out: 2,
        limits: vec![("acme".into(), 1000, 5)],
    }
}

fn asked(id: &str, class: &str) -> What {
    What::Asked { id: id.into(), class: class.into(), gateway: 0, patience_ms: 500 }
}

fn arrived(id: &str, host: usize, first_ms: u64) -> What {
    What::Arrived { id: id.into(), host, gateway: 0, first_us: first_ms * 1000, ran: true }
}

fn made(id: &str, body: &str) -> What {
    What::Made { id: id.into(), host: 0, body: body.into() }
}

fn answered(id: &str, status: u16, body: &str) -> What {
    What::Answered { id: id.into(), status, body: body.into(), advice: true }
}

fn acts(gateway: usize, rule: &str) -> What {
    What::Acts { gateway, about: "acme's quota".into(), rule: Some(rule.into()) }
}

fn out(member: &str, out: bool) -> What {
    What::Out { member: member.into(), out }
}

fn told(serving: bool) -> What {
    What::Told { gateway: 0, host: 0, serving }
}

/// A history in which all is well, with times in ms.
fn sound() -> Vec<(u64, What)> {
    let mut all = vec![
        (0, What::Started { host: 1 }),
        (1, told(true)),
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
        (3000, told(false)),
    ];
    all.extend((0..15).map(|n| (3100 + n * 250, What::Admitted { tenant: "acme".into() })));
    all
}

/// The promises that are broken once this is planted.
fn broken(plant: impl FnOnce(&mut Vec<(u64, What)>)) -> Vec<Promise> {
    let mut history = sound();
    plant(&mut history);
    history.sort_by_key(|(at, _)| *at);
    let history: Vec<Event> =
        history.into_iter().map(|(at, what)| Event { at_us: at * 1000, what }).collect();
    let mut found: Vec<Promise> = check(&history, &terms()).iter().map(|o| o.promise).collect();
    found.sort();
    found.dedup();
    found
}

#[test]
fn a_sound_history_breaks_no_promise() {
    assert_eq!(broken(|_| {}), vec![]);
}

#[test]
fn each_planted_offender_is_caught() {
    let without = |h: &mut Vec<(u64, What)>, id: &str| {
        h.retain(|(_, w)| !matches!(w, What::Answered { id: of, .. } if of == id));
    };
    // No answer at all, late ones, two, and the one of another message.
    assert_eq!(broken(|h| without(h, "a")), [Promise::Answered]);
    assert_eq!(
        broken(|h| {
            without(h, "a");
            h.push((40, What::Unanswered { id: "a".into(), how: "the connection ended".into() }));
        }),
        [Promise::Answered]
    );
    assert_eq!(
        broken(|h| {
            without(h, "a");
            h.push((700, answered("a", 200, "for a")));
        }),
        [Promise::InTime]
    );
    assert_eq!(broken(|h| h.push((300, answered("a", 200, "for a")))), [Promise::Once]);
    assert_eq!(
        broken(|h| {
            without(h, "d");
            h.push((190, answered("d", 200, "for a")));
        }),
        [Promise::Unchanged]
    );
    assert_eq!(
        broken(|h| {
            without(h, "d");
            h.push((190, answered("d", 200, "for ")));
        }),
        [Promise::Unchanged]
    );
    assert_eq!(
        broken(|h| h.retain(|(_, w)| !matches!(w, What::Made { id, .. } if id == "a"))),
        [Promise::Unchanged]
    );
    // Sent again: what may not be, what hosts no longer drop, and once too often.
    assert_eq!(broken(|h| h.push((185, arrived("d", 1, 185)))), [Promise::Effects]);
    assert_eq!(broken(|h| h.push((950, arrived("b", 0, 950)))), [Promise::Effects]);
    assert_eq!(broken(|h| h.extend((0..3).map(|n| (30 + n, arrived("a", 0, 30 + n))))), [Promise::Effects]);
    // To a host past the grace; only that of a drain that this gateway was told of.
    assert_eq!(broken(|h| h.push((4100, arrived("e", 0, 4060)))), [Promise::Drains]);
    assert_eq!(broken(|h| h.push((4100, arrived("e", 0, 3900)))), []);
    // One that stood still is told when it goes on, and no later.
    let slept = |until: u64| {
        broken(move |h| {
            h.extend([(2990, What::Deaf { gateway: 0 }), (until, What::Hears { gateway: 0 })]);
            h.push((4100, arrived("e", 0, 4060)));
        })
    };
    assert_eq!((slept(3500), slept(3005)), (vec![], vec![Promise::Drains]));
    assert_eq!(
        broken(|h| {
            h.push((4000, told(true)));
            h.push((4100, arrived("e", 0, 4060)));
        }),
        []
    );
    assert_eq!(
        broken(|h| {
            without(h, "c");
            h.push((160, What::Answered { id: "c".into(), status: 503, body: String::new(), advice: false }));
        }),
        [Promise::Advice]
    );
    assert_eq!(
        broken(|h| h.extend((0..5).map(|n| (300 + n, arrived(&format!("f{n}"), 1, 300 + n))))),
        [Promise::Cold]
    );
    // Rules that contradict for too long: one that never follows, one that goes back, one until the end.
    assert_eq!(broken(|h| h.retain(|(at, _)| *at != 2500)), [Promise::Agreement]);
    assert_eq!(broken(|h| h.push((2600, acts(1, "100")))), [Promise::Agreement]);
    assert_eq!(
        broken(|h| h
            .push((3500, What::Acts { gateway: 2, about: "acme's quota".into(), rule: Some("7".into()) }))),
        [Promise::Agreement]
    );
    assert_eq!(broken(|h| h.push((2750, out("host 4", true)))), [Promise::Out]);
    assert_eq!(broken(|h| h.push((2750, out("host 2", true)))), []);
    assert_eq!(
        broken(|h| h.extend((0..3).map(|n| (3200 + n, What::Admitted { tenant: "acme".into() })))),
        [Promise::Limits]
    );
}

#[test]
fn what_the_rig_broke_is_excused_and_nothing_else() {
    let broke = |from: u64, to: u64| {
        broken(move |h| {
            h.retain(|(_, w)| !matches!(w, What::Answered { id, .. } if id == "a"));
            h.push((from, What::Broken { gateway: 0, words: "killed".into() }));
            h.push((to, What::Healed { gateway: 0 }));
        })
    };
    assert_eq!(broke(15, 3000), []);
    assert_eq!(broke(5, 11), []);
    assert_eq!(broke(1, 5), [Promise::Answered]);
    assert_eq!(broke(700, 800), [Promise::Answered]);
    // What a client sends again over a broken way may run again; over a sound one it may not.
    let again = |from: u64| {
        broken(move |h| {
            h.push((from, What::Broken { gateway: 0, words: "cut".into() }));
            h.push((from + 5, What::Healed { gateway: 0 }));
            h.push((177, What::Again { id: "d".into(), gateway: 0 }));
            h.push((185, arrived("d", 1, 185)));
        })
    };
    assert_eq!(again(175), []);
    assert_eq!(again(900), [Promise::Effects]);
    assert_eq!(
        broken(|h| {
            h.push((15, What::Broken { gateway: 0, words: "killed".into() }));
            h.push((300, answered("a", 200, "for a")));
            h.push((310, arrived("d", 1, 310)));
        }),
        [Promise::Once, Promise::Effects]
    );
}
