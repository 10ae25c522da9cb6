//! Each violation planted in the evidence is found, and evidence without violations passes.
use std::collections::BTreeMap;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::scope::{Digest, Entry, Key, Scope};
use ternstack_scale_tests::invariants::{
    check_invariants, longest_conflict, DrainEvidence, Evidence, HeldScope, Invariant,
};
use ternstack_scale_tests::timeline::{revision_spans, PropagationTimes, Timeline};

/// Returns a lease configuration whose bound on conflicts is 1,919 ms: the lease plus 1 % clock drift.
fn lease_config() -> LeaseConfig {
    LeaseConfig { lease_ms: 1900.0, clock_drift_ratio: 0.01, ..LeaseConfig::default() }
}

/// An event in the timeline of a follower.
#[derive(Clone, Copy)]
enum TimelineEvent {
    InForce(u64),
    LeaseAcquired,
    LeaseExpired,
}
use TimelineEvent::{InForce, LeaseAcquired, LeaseExpired};

/// Returns the timeline of a follower that starts at 0, with each event at a time in ms.
fn timeline(events: &[(u64, TimelineEvent)]) -> Timeline {
    let mut timeline = Timeline::starting_at(0);
    for (at_ms, event) in events {
        match event {
            InForce(revision) => timeline.record_in_force(at_ms * 1000, *revision),
            LeaseAcquired => timeline.record_lease_acquired(at_ms * 1000),
            LeaseExpired => timeline.record_lease_expired(at_ms * 1000),
        }
    }
    timeline
}

/// Returns evidence of two followers without any violation.
fn evidence_without_violations() -> Evidence {
    let mut digest = Digest::default();
    digest.add(Scope::Zones, Key::from_number(1), &Entry::Zone(true));
    let timelines = [
        timeline(&[(0, LeaseAcquired), (0, InForce(1)), (800, InForce(2))]),
        timeline(&[(100, LeaseAcquired), (100, InForce(1)), (900, InForce(2))]),
    ];
    Evidence {
        expected_digests: BTreeMap::from([(Scope::Zones, digest)]),
        held: vec![HeldScope { scope: Scope::Zones, digest, followers: 2 }],
        followers: (2, 2),
        spans: revision_spans(timelines.iter().enumerate(), 1_000_000),
        rollbacks: 0,
        drains: vec![DrainEvidence { host: "host-0".into(), probed: 2, still_sending: 0 }],
        origin_has_all_changes: true,
        distributors_have_all_changes: true,
        exited_processes: Vec::new(),
    }
}

fn violated(evidence: &Evidence) -> Vec<Invariant> {
    check_invariants(evidence, &lease_config()).into_iter().map(|v| v.invariant).collect()
}

#[test]
fn evidence_without_violations_passes() {
    assert_eq!(check_invariants(&evidence_without_violations(), &lease_config()), []);
}

#[test]
fn follower_with_different_state_violates_same_state() {
    let mut evidence = evidence_without_violations();
    let mut other_digest = Digest::default();
    other_digest.add(Scope::Zones, Key::from_number(1), &Entry::Zone(false));
    evidence.held.push(HeldScope { scope: Scope::Zones, digest: other_digest, followers: 1 });
    assert_eq!(violated(&evidence), [Invariant::SameState]);
}

#[test]
fn follower_with_entries_in_an_empty_scope_violates_same_state() {
    let mut evidence = evidence_without_violations();
    evidence.held.push(HeldScope { scope: Scope::Hosts(7), digest: Digest(1), followers: 1 });
    assert_eq!(violated(&evidence), [Invariant::SameState]);
}

#[test]
fn follower_that_stays_incomplete_violates_same_state() {
    let evidence = Evidence { followers: (2, 1), ..evidence_without_violations() };
    assert_eq!(violated(&evidence), [Invariant::SameState]);
}

#[test]
fn follower_that_returns_to_an_older_revision_violates_never_back() {
    let rolled_back = timeline(&[(0, LeaseAcquired), (0, InForce(1)), (400, InForce(2)), (800, InForce(1))]);
    assert_eq!(rolled_back.rollbacks(), 1);
    let evidence = Evidence { rollbacks: rolled_back.rollbacks(), ..evidence_without_violations() };
    assert_eq!(violated(&evidence), [Invariant::NeverBack]);
}

#[test]
fn follower_that_keeps_its_lease_on_an_old_revision_violates_one_version() {
    // Follower 1 keeps its lease on revision 1 long after follower 0 acts on revision 2.
    let timelines = [
        timeline(&[(0, LeaseAcquired), (0, InForce(1)), (800, InForce(2))]),
        timeline(&[(0, LeaseAcquired), (0, InForce(1)), (3900, LeaseExpired)]),
    ];
    let evidence = Evidence {
        spans: revision_spans(timelines.iter().enumerate(), 4_000_000),
        ..evidence_without_violations()
    };
    assert_eq!(longest_conflict(&evidence.spans), (1, 3_100_000));
    assert_eq!(evidence.spans[&1].last_gateway, 1);
    assert_eq!(violated(&evidence), [Invariant::OneVersion]);
    // A period that still lasts counts up to now.
    let timelines = [&timelines[0], &timeline(&[(0, LeaseAcquired), (0, InForce(1))])];
    assert_eq!(
        longest_conflict(&revision_spans(timelines.into_iter().enumerate(), 4_000_000)),
        (1, 3_200_000)
    );
}

#[test]
fn conflict_is_measured_from_the_first_later_revision_even_if_skipped() {
    let timelines = [
        timeline(&[(0, LeaseAcquired), (0, InForce(1)), (800, InForce(2)), (900, InForce(3))]),
        timeline(&[(0, LeaseAcquired), (0, InForce(1)), (2500, InForce(3))]),
    ];
    assert_eq!(longest_conflict(&revision_spans(timelines.iter().enumerate(), 4_000_000)), (1, 1_700_000));
}

#[test]
fn follower_does_not_act_on_a_revision_without_a_lease() {
    // Follower 1 is cut off: its lease expires at 1900 ms, and at 9000 ms one response brings a lease and
    // revision 2.
    let timelines = [
        timeline(&[(0, LeaseAcquired), (0, InForce(1)), (800, InForce(2))]),
        timeline(&[
            (0, LeaseAcquired),
            (0, InForce(1)),
            (1900, LeaseExpired),
            (9000, LeaseAcquired),
            (9000, InForce(2)),
        ]),
    ];
    assert_eq!(longest_conflict(&revision_spans(timelines.iter().enumerate(), 10_000_000)), (1, 1_100_000));
    assert_eq!(timelines[1].active_revision(), 2);
    // A revision that comes into force without a lease is not acted on.
    let without_lease =
        timeline(&[(0, LeaseAcquired), (0, InForce(1)), (1900, LeaseExpired), (3000, InForce(2))]);
    assert_eq!(
        (
            without_lease.active_revision(),
            revision_spans([without_lease].iter().enumerate(), 4_000_000).len()
        ),
        (0, 1)
    );
}

#[test]
fn active_period_ends_when_the_follower_stops() {
    let mut stopped = timeline(&[(0, LeaseAcquired), (0, InForce(1))]);
    stopped.record_stopped(500_000);
    assert_eq!(revision_spans([stopped].iter().enumerate(), 4_000_000)[&1].last_us, 500_000);
}

#[test]
fn follower_that_sends_to_a_drained_host_violates_drains() {
    let mut evidence = evidence_without_violations();
    evidence.drains[0].still_sending = 1;
    assert_eq!(violated(&evidence), [Invariant::Drains]);
}

#[test]
fn lost_change_at_the_origin_or_a_distributor_violates_nothing_lost() {
    assert_eq!(
        violated(&Evidence { origin_has_all_changes: false, ..evidence_without_violations() }),
        [Invariant::NothingLost]
    );
    assert_eq!(
        violated(&Evidence { distributors_have_all_changes: false, ..evidence_without_violations() }),
        [Invariant::NothingLost]
    );
}

#[test]
fn process_that_exits_early_violates_alive() {
    assert_eq!(
        violated(&Evidence { exited_processes: vec!["hollows-0".into()], ..evidence_without_violations() }),
        [Invariant::Alive]
    );
}

#[test]
fn propagation_times_count_only_followers_running_at_the_proposal() {
    let mut late = Timeline::starting_at(700_000);
    late.record_lease_acquired(900_000);
    late.record_in_force(900_000, 2);
    let timelines = [
        timeline(&[(0, LeaseAcquired), (0, InForce(1)), (800, InForce(2))]),
        timeline(&[(0, LeaseAcquired), (0, InForce(1))]),
        late,
    ];
    let mut propagation = PropagationTimes::default();
    timelines.iter().for_each(|timeline| propagation.record(timeline, &[(2, 500_000)]));
    assert_eq!((propagation.times.count(), propagation.missing), (1, 1));
    assert!((propagation.times.max_ms() - 300.0).abs() < 1.0);
}
