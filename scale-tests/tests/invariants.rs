//! The judge catches each planted offender, and holds nothing against a sound run.
use std::collections::BTreeMap;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::scope::{Digest, Entry, Key, Scope};
use ternstack_scale_tests::invariants::{judge, longest_contradiction, Drain, Evidence, Held, Promise};
use ternstack_scale_tests::timeline::{spans, Reached, Track};

/// Of these the judge takes the promise of 1,919 ms.
fn terms() -> LeaseConfig {
    LeaseConfig { lease_ms: 1900.0, clock_drift_ratio: 0.01, ..LeaseConfig::default() }
}

/// What befalls a follower, at which ms.
#[derive(Clone, Copy)]
enum Step {
    InForce(u64),
    Leased,
    Lost,
}
use Step::{InForce, Leased, Lost};

fn track(steps: &[(u64, Step)]) -> Track {
    let mut track = Track::begins(0);
    for (at_ms, step) in steps {
        match step {
            InForce(number) => track.in_force(at_ms * 1000, *number),
            Leased => track.leased(at_ms * 1000),
            Lost => track.lost(at_ms * 1000),
        }
    }
    track
}

fn sound() -> Evidence {
    let mut digest = Digest::default();
    digest.add(Scope::Zones, Key::from_number(1), &Entry::Zone(true));
    let tracks = [
        track(&[(0, Leased), (0, InForce(1)), (800, InForce(2))]),
        track(&[(100, Leased), (100, InForce(1)), (900, InForce(2))]),
    ];
    Evidence {
        agreed: BTreeMap::from([(Scope::Zones, digest)]),
        held: vec![Held { scope: Scope::Zones, digest, followers: 2 }],
        followers: (2, 2),
        spans: spans(tracks.iter().enumerate(), 1_000_000),
        went_back: 0,
        drains: vec![Drain { host: "host-0".into(), asked: 2, still: 0 }],
        origin_keeps_all: true,
        distributors_keep_all: true,
        ended: Vec::new(),
    }
}

fn broken(evidence: &Evidence) -> Vec<Promise> {
    judge(evidence, &terms()).into_iter().map(|o| o.promise).collect()
}

#[test]
fn a_sound_run_is_sound() {
    assert_eq!(judge(&sound(), &terms()), []);
}

#[test]
fn one_that_holds_another_state_is_caught() {
    let mut evidence = sound();
    let mut other = Digest::default();
    other.add(Scope::Zones, Key::from_number(1), &Entry::Zone(false));
    evidence.held.push(Held { scope: Scope::Zones, digest: other, followers: 1 });
    assert_eq!(broken(&evidence), [Promise::SameState]);
}

#[test]
fn one_that_holds_a_scope_that_is_gone_is_caught() {
    let mut evidence = sound();
    evidence.held.push(Held { scope: Scope::Hosts(7), digest: Digest(1), followers: 1 });
    assert_eq!(broken(&evidence), [Promise::SameState]);
}

#[test]
fn one_that_never_gets_there_is_caught() {
    let evidence = Evidence { followers: (2, 1), ..sound() };
    assert_eq!(broken(&evidence), [Promise::SameState]);
}

#[test]
fn one_that_goes_back_is_caught() {
    let back = track(&[(0, Leased), (0, InForce(1)), (400, InForce(2)), (800, InForce(1))]);
    assert_eq!(back.went_back(), 1);
    let evidence = Evidence { went_back: back.went_back(), ..sound() };
    assert_eq!(broken(&evidence), [Promise::NeverBack]);
}

#[test]
fn one_that_stays_behind_with_a_lease_is_caught() {
    // It keeps its lease on version 1 long after the other acts on 2.
    let tracks = [
        track(&[(0, Leased), (0, InForce(1)), (800, InForce(2))]),
        track(&[(0, Leased), (0, InForce(1)), (3900, Lost)]),
    ];
    let evidence = Evidence { spans: spans(tracks.iter().enumerate(), 4_000_000), ..sound() };
    assert_eq!(longest_contradiction(&evidence.spans), (1, 3_100_000));
    assert_eq!(evidence.spans[&1].last_by, 1);
    assert_eq!(broken(&evidence), [Promise::OneVersion]);
    // The same while it goes on.
    let tracks = [&tracks[0], &track(&[(0, Leased), (0, InForce(1))])];
    assert_eq!(longest_contradiction(&spans(tracks.into_iter().enumerate(), 4_000_000)), (1, 3_200_000));
}

#[test]
fn one_that_skips_versions_is_measured_against_the_first_later_one() {
    let tracks = [
        track(&[(0, Leased), (0, InForce(1)), (800, InForce(2)), (900, InForce(3))]),
        track(&[(0, Leased), (0, InForce(1)), (2500, InForce(3))]),
    ];
    assert_eq!(longest_contradiction(&spans(tracks.iter().enumerate(), 4_000_000)), (1, 1_700_000));
}

#[test]
fn a_lease_that_ends_by_itself_is_no_act() {
    // Cut off: its lease ends at 1900; at 9000 one answer brings a lease and version 2.
    let tracks = [
        track(&[(0, Leased), (0, InForce(1)), (800, InForce(2))]),
        track(&[(0, Leased), (0, InForce(1)), (1900, Lost), (9000, Leased), (9000, InForce(2))]),
    ];
    assert_eq!(longest_contradiction(&spans(tracks.iter().enumerate(), 10_000_000)), (1, 1_100_000));
    assert_eq!(tracks[1].number(), 2);
    // News without a lease is not acted on.
    let told = track(&[(0, Leased), (0, InForce(1)), (1900, Lost), (3000, InForce(2))]);
    assert_eq!((told.number(), spans([told].iter().enumerate(), 4_000_000).len()), (0, 1));
}

#[test]
fn what_a_life_acted_on_ends_with_it() {
    let mut over = track(&[(0, Leased), (0, InForce(1))]);
    over.ends(500_000);
    assert_eq!(spans([over].iter().enumerate(), 4_000_000)[&1].last_us, 500_000);
}

#[test]
fn a_drain_that_is_not_obeyed_is_caught() {
    let mut evidence = sound();
    evidence.drains[0].still = 1;
    assert_eq!(broken(&evidence), [Promise::Drains]);
}

#[test]
fn a_loss_is_caught_at_the_origin_and_behind_it() {
    assert_eq!(broken(&Evidence { origin_keeps_all: false, ..sound() }), [Promise::NothingLost]);
    assert_eq!(broken(&Evidence { distributors_keep_all: false, ..sound() }), [Promise::NothingLost]);
}

#[test]
fn a_process_that_ends_by_itself_is_caught() {
    assert_eq!(broken(&Evidence { ended: vec!["hollows-0".into()], ..sound() }), [Promise::Alive]);
}

#[test]
fn times_count_those_who_lived_through_it() {
    let mut late = Track::begins(700_000);
    late.leased(900_000);
    late.in_force(900_000, 2);
    let tracks = [
        track(&[(0, Leased), (0, InForce(1)), (800, InForce(2))]),
        track(&[(0, Leased), (0, InForce(1))]),
        late,
    ];
    let mut reached = Reached::default();
    tracks.iter().for_each(|track| reached.take(track, &[(2, 500_000)]));
    assert_eq!((reached.times.count(), reached.missing), (1, 1));
    assert!((reached.times.longest_ms() - 300.0).abs() < 1.0);
}
