//! Members in virtual time, with everything that can befall them, outcome by the rig's checker of contradictions.
use common::{tenant, CutDirection, Node, Observations, PlantedFault, Setup, SimEvent, Simulation};
use quickcheck::{quickcheck, Arbitrary, Gen};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ternstack_replication::endpoint_list::{validate, EndpointList, Verdict};
use ternstack_replication::follower::{Follower, ResponseError, ScopeMode};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::rules::{conflicts, Conflict, Host, RetryPolicy, Rules};
use ternstack_replication::scope::{Change, ChangeSet, Entry, Key, Scope};
use ternstack_replication::tables::Tables;
use ternstack_replication::wire::{ChunkEntry, Member, PollResponse, ScopeChunk};

mod common;

/// What came of a play.
#[derive(Debug)]
struct Outcome {
    seen: Observations,
    longest_ms: u64,
    broken: usize,
}

/// Simulates `length_ms` of a fleet that agrees on one tenant's quota, with so many replicas.
fn play(
    seed: u64, members: usize, replicas: usize, length_ms: f64, loss: f64, planted: PlantedFault,
) -> Outcome {
    let config = LeaseConfig::default();
    let (scope, key) = tenant("acme");
    let quota = |n: u32| vec![Change { scope, key, entry: Some(Entry::Quota(100 + n)) }];
    let setup = Setup {
        config,
        seed,
        members,
        replicas,
        length_ms,
        loss,
        doubled: 0.1,
        delay_ms: 120.0,
        calm_from_ms: length_ms,
        late_ms: 0.0,
        snapshots: false,
        planted,
        excused: vec![],
    };
    let mut world = Simulation::new(setup, quota(1), |_| vec![scope]);
    world.about.push(("acme's quota".into(), scope, key));
    world.begin();
    let (mut at, mut proposed) = (0.0, 1);
    while at < length_ms {
        at += world.rng.random_range(100.0..1500.0);
        let who = Node::Gateway(world.rng.random_range(0..members));
        let for_ms = world.rng.random_range(50.0..6000.0);
        let moment = match world.rng.random_range(0..7) {
            0 => SimEvent::Pause(who, for_ms),
            1 => SimEvent::Restart(who, 0.0),
            2 => SimEvent::Cut(who, CutDirection::Both, for_ms),
            3 => SimEvent::NewLeader,
            _ => {
                proposed += 1;
                SimEvent::Propose(vec![quota(proposed)])
            }
        };
        world.add(at, moment);
    }
    // Faults of replicas are drawn last, so that the schedule is the same with them and without.
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut at = 0.0;
    while replicas > 0 && at < length_ms {
        at += rng.random_range(1000.0..8000.0);
        let who = Node::Replica(rng.random_range(0..replicas));
        let for_ms = rng.random_range(50.0..4000.0);
        let moment = match rng.random_range(0..5) {
            0 => SimEvent::Pause(who, for_ms),
            1 => SimEvent::Restart(who, for_ms),
            2 => SimEvent::Cut(who, CutDirection::Requests, for_ms),
            3 => SimEvent::Cut(who, CutDirection::Responses, for_ms),
            _ => SimEvent::Cut(who, CutDirection::Both, for_ms),
        };
        world.add(at, moment);
    }
    world.run();
    let (broken, longest_ms) = world.judge();
    Outcome { longest_ms, broken, seen: world.seen }
}

fn agrees(members: [usize; 4], replicas: [usize; 4]) {
    let (mut versions, mut longest, mut neutral, mut looks) = (0, 0, 0, 0);
    for seed in 0..300 {
        let at = seed as usize % 4;
        let loss = [0.0, 0.2][seed as usize % 2];
        let outcome = play(seed, members[at], replicas[at], 20_000.0, loss, PlantedFault::Nothing);
        let seen = &outcome.seen;
        assert_eq!((outcome.broken, seen.unknown_at_force), (0, 0), "seed {seed}: {outcome:?}");
        assert_eq!(
            (seen.untrue, seen.went_back, seen.restarted, seen.stale),
            (0, 0, 0, 0),
            "seed {seed}: {outcome:?}"
        );
        // Replicas have faults of their own in addition, and a fifth of all messages may be lost on either level.
        assert!(seen.neutral * 2 < seen.looks || replicas[at] > 0, "seed {seed}: {outcome:?}");
        (neutral, looks) = (neutral + seen.neutral, looks + seen.looks);
        versions += seen.versions;
        longest = longest.max(outcome.longest_ms);
    }
    assert!(neutral * 3 < looks, "without a lease {neutral} of {looks} times");
    // It says something only if versions came into force, and some contradicted each other for a while.
    assert!(versions > 900 && longest > 500, "{versions} versions, longest {longest} ms");
    println!("300 schedules, {replicas:?} replicas: {versions} versions in force, longest contradiction {longest} ms, {}% without a lease", neutral * 100 / looks);
}

#[test]
fn conflicting_revisions_overlap_no_longer_than_the_bound() {
    agrees([3, 5, 7, 20], [0; 4]);
}

#[test]
fn conflicting_revisions_overlap_no_longer_than_the_bound_with_replicas() {
    agrees([3, 5, 7, 20], [2, 2, 3, 3]);
}

#[test]
fn three_hundred_and_fifty_members_stay_within_the_bound() {
    for replicas in [0, 3] {
        let outcome = play(77, 350, replicas, 8_000.0, 0.05, PlantedFault::Nothing);
        assert_eq!((outcome.broken, outcome.seen.unknown_at_force), (0, 0), "{outcome:?}");
        assert!(outcome.seen.versions > 1, "{outcome:?}");
    }
}

#[test]
fn planted_faults_are_detected() {
    let all = [
        PlantedFault::IgnoresLease,
        PlantedFault::SkipsFirstStep,
        PlantedFault::TakesOverAtOnce,
        PlantedFault::Hurries,
        PlantedFault::Unconfirmed,
    ];
    for planted in all {
        // With replicas in between, a replaced leader rarely reaches a gateway that knows less.
        for (replicas, schedules) in [(0, 120), (2, 400)] {
            let caught = (0..schedules).filter(|seed| {
                let outcome = play(*seed, 5, replicas, 20_000.0, 0.2, planted);
                outcome.broken > 0 || outcome.seen.unknown_at_force > 0
            });
            let caught = caught.count();
            println!("{planted:?} with {replicas} replicas: caught in {caught} of {schedules} schedules");
            assert!(
                caught > 0,
                "{planted:?} was not caught in {schedules} schedules with {replicas} replicas"
            );
        }
    }
}

#[test]
fn old_duplicate_and_foreign_responses_are_rejected() {
    let config = LeaseConfig { lease_ms: 100.0, clock_drift_ratio: 0.0, ..LeaseConfig::default() };
    let (scope, key) = (Scope::Fleet, Key::of("book"));
    let member = Member { name: "g0".into(), incarnation: 1 };
    let mut follower = Follower::new(config, member, Tables::new());
    let part = |number| {
        let entry = Entry::RetryPolicy(RetryPolicy::Within(number));
        let mut digest = ternstack_replication::scope::Digest::default();
        digest.add(scope, key, &entry);
        ScopeChunk {
            scope,
            restart: true,
            entries: vec![ChunkEntry { revision: number, key, entry: Some(entry) }],
            final_digest: Some(digest),
        }
    };
    let grant = |number, in_force, chunks: Vec<ScopeChunk>| PollResponse {
        sequence: number,
        generation: 1,
        lease_us: 100_000,
        in_force,
        through: in_force,
        chunks,
        stale: vec![],
        pending: vec![],
    };
    let first = follower.poll(0.0).expect("due");
    assert_eq!(
        follower.handle_response(0.0, grant(first.sequence + 9, 1, vec![part(1)])),
        Err(ResponseError::Unsolicited)
    );
    assert_eq!(follower.scope_mode(1.0, scope), ScopeMode::Unknown, "it never asked that");
    follower.handle_response(0.0, grant(first.sequence, 1, vec![part(1)])).expect("taken");
    assert_eq!(follower.scope_mode(99.0, scope), ScopeMode::InForce(1));
    assert_eq!(follower.scope_mode(100.0, scope), ScopeMode::Conservative, "it slept past its lease");
    let second = follower.poll(150.0).expect("due");
    let again = grant(first.sequence, 1, vec![]);
    assert_eq!(follower.handle_response(150.0, again), Err(ResponseError::Unsolicited));
    assert_eq!(follower.scope_mode(151.0, scope), ScopeMode::Conservative, "the same grant again");
    let unknown = PollResponse { through: 1, generation: 2, ..grant(second.sequence, 2, vec![]) };
    assert!(follower.handle_response(151.0, unknown).is_err());
    assert_eq!(
        follower.scope_mode(151.0, scope),
        ScopeMode::Conservative,
        "a lease for what it does not know"
    );
    let third = follower.poll(210.0).expect("due");
    let news = PollResponse { generation: 2, ..grant(third.sequence, 2, vec![part(2)]) };
    follower.handle_response(210.0, news).expect("taken");
    let fourth = follower.poll(240.0).expect("due");
    let old = PollResponse { generation: 2, ..grant(fourth.sequence, 1, vec![part(1)]) };
    assert_eq!(
        follower.handle_response(241.0, old),
        Err(ResponseError::Outdated { in_force: 1, through: 1 })
    );
    assert_eq!(follower.scope_mode(241.0, scope), ScopeMode::InForce(2), "what is in force went back");
    assert_eq!(follower.entry(241.0, scope, key), Some(Entry::RetryPolicy(RetryPolicy::Within(2))));
    // A version that is known is not in force, but binds who has no lease.
    let fifth = follower.poll(280.0).expect("due");
    let change = Change { scope, key, entry: Some(Entry::RetryPolicy(RetryPolicy::Never)) };
    let pending = vec![ChangeSet { revision: 3, changes: vec![change] }];
    let news = PollResponse { generation: 2, through: 3, pending, ..grant(fifth.sequence, 2, vec![]) };
    follower.handle_response(281.0, news).expect("taken");
    assert_eq!(follower.entry(379.0, scope, key), Some(Entry::RetryPolicy(RetryPolicy::Within(2))));
    assert_eq!(follower.entry(380.0, scope, key), Some(Entry::RetryPolicy(RetryPolicy::Never)));
}

impl Arbitrary for Small {
    fn arbitrary(g: &mut Gen) -> Self {
        let names = ["a", "b", "c"];
        let some = |g: &mut Gen| {
            names.iter().filter(|_| bool::arbitrary(g)).map(|n| n.to_string()).collect::<Vec<_>>()
        };
        let repeat = |g: &mut Gen| {
            *g.choose(&[
                RetryPolicy::Never,
                RetryPolicy::Within(5),
                RetryPolicy::Within(9),
                RetryPolicy::Always,
            ])
            .expect("one")
        };
        let quotas = some(g).into_iter().map(|n| (n, u32::arbitrary(g) % 3)).collect();
        let classes = some(g).into_iter().map(|n| (n, repeat(g))).collect();
        let host = |g: &mut Gen| Host {
            address: g.choose(&names).expect("one").to_string(),
            draining: bool::arbitrary(g),
        };
        let hosts = some(g).into_iter().map(|n| (n, host(g))).collect();
        Small(Rules { quotas, classes, hosts, list_rev: u64::from(u8::arbitrary(g)) })
    }
}

/// Rules over few names, so that they meet.
#[derive(Clone, Debug)]
struct Small(Rules);

quickcheck! {
    fn the_stricter_of_two_is_within_both(a: Small, b: Small) -> bool {
        let strict = a.0.stricter(&b.0);
        strict.is_within(&a.0) && strict.is_within(&b.0)
    }

    fn rules_contradict_each_other_alike_from_both_sides_and_never_themselves(a: Small, b: Small) -> bool {
        conflicts(&a.0, &b.0) == conflicts(&b.0, &a.0) && conflicts(&a.0, &a.0).is_empty()
    }

    fn rules_without_contradiction_are_within_each_other(a: Small, b: Small) -> bool {
        !conflicts(&a.0, &b.0).is_empty() || (a.0.is_within(&b.0) && b.0.is_within(&a.0))
    }
}

#[test]
fn each_kind_of_conflict_is_reported() {
    let host = |address: &str, drains| Host { address: address.into(), draining: drains };
    let rules = |quota, repeat, hosts: Vec<(&str, Host)>| Rules {
        quotas: [("acme".into(), quota)].into(),
        classes: [("book".into(), repeat)].into(),
        hosts: hosts.into_iter().map(|(uid, h)| (uid.to_string(), h)).collect(),
        list_rev: 1,
    };
    let a =
        rules(5, RetryPolicy::Within(800), vec![("s-1", host("1:1", false)), ("s-2", host("1:2", false))]);
    let b = rules(6, RetryPolicy::Never, vec![("s-1", host("9:9", false)), ("s-2", host("1:2", true))]);
    let named = |s: &str| s.to_string();
    assert_eq!(
        conflicts(&a, &b),
        [
            Conflict::Quota(named("acme")),
            Conflict::RetryPolicy(named("book")),
            Conflict::Host(named("s-2")),
            Conflict::Address(named("s-1")),
        ]
    );
    assert_ne!(a.digest(), b.digest());
    assert_eq!(a.digest(), a.clone().digest());
}

#[test]
fn outdated_lists_and_lists_without_most_hosts_are_not_proposed() {
    let host = |drains| Host { address: "1:1".into(), draining: drains };
    let hosts = (0..1200).map(|n| (format!("s-{n}"), host(false))).collect();
    let in_force = Rules { hosts, list_rev: 41, ..Rules::default() };
    let seen = |rev, whole, hosts: Vec<(usize, Option<Host>)>| EndpointList {
        revision: rev,
        complete: whole,
        hosts: hosts.into_iter().map(|(n, h)| (format!("s-{n}"), h)).collect(),
    };
    assert_eq!(validate(&in_force, &seen(41, true, vec![]), false), Verdict::Outdated);
    assert_eq!(validate(&in_force, &seen(7, true, vec![]), true), Verdict::Outdated);
    // An empty list, by mistake or not: somebody has to confirm it. What it says of single hosts passes at once.
    let drained = seen(50, true, vec![(3, Some(host(true))), (4, None)]);
    let Verdict::NeedsConfirmation { explicit_changes, all_changes } = validate(&in_force, &drained, false)
    else {
        panic!("it passed")
    };
    assert!(explicit_changes.hosts["s-3"].draining && !explicit_changes.hosts.contains_key("s-4"));
    assert_eq!(
        (explicit_changes.hosts.len(), explicit_changes.list_rev, all_changes.hosts.len()),
        (1199, 41, 1)
    );
    assert_eq!(validate(&in_force, &drained, true), Verdict::Propose(all_changes));
    // Explicit removals pass, however many.
    let gone = seen(51, false, (0..1200).map(|n| (n, None)).collect());
    let Verdict::Propose(rules) = validate(&in_force, &gone, false) else { panic!("held up") };
    assert_eq!((rules.hosts.len(), rules.list_rev), (0, 51));
}
