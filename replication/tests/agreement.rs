//! Members in virtual time with random faults, whose history is judged by the invariant checker; and the rules
//! for accepting responses, comparing rules and validating endpoint lists.
use common::{tenant, CutDirection, Fault, Node, Observations, Setup, SimEvent, Simulation};
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

/// The result of a run.
#[derive(Debug)]
struct Outcome {
    observations: Observations,
    longest_conflict_ms: u64,
    violations: usize,
}

/// Simulates a fleet that agrees on one tenant's quota, with random faults, for `duration_ms`.
fn run_schedule(
    seed: u64, members: usize, replicas: usize, duration_ms: f64, loss_probability: f64, fault: Fault,
) -> Outcome {
    let config = LeaseConfig::default();
    let (scope, key) = tenant("acme");
    let quota = |n: u32| vec![Change { scope, key, entry: Some(Entry::Quota(100 + n)) }];
    let setup = Setup {
        config,
        seed,
        members,
        replicas,
        duration_ms,
        loss_probability,
        duplicate_probability: 0.1,
        max_delay_ms: 120.0,
        faults_end_ms: duration_ms,
        max_old_leader_ms: 0.0,
        snapshots: false,
        fault,
        excluded_gateways: vec![],
    };
    let mut simulation = Simulation::new(setup, quota(1), |_| vec![scope]);
    simulation.watched.push(("acme's quota".into(), scope, key));
    simulation.start();
    let (mut at, mut proposed) = (0.0, 1);
    while at < duration_ms {
        at += simulation.rng.random_range(100.0..1500.0);
        let node = Node::Gateway(simulation.rng.random_range(0..members));
        let for_ms = simulation.rng.random_range(50.0..6000.0);
        let event = match simulation.rng.random_range(0..7) {
            0 => SimEvent::Pause(node, for_ms),
            1 => SimEvent::Restart(node, 0.0),
            2 => SimEvent::Cut(node, CutDirection::Both, for_ms),
            3 => SimEvent::NewLeader,
            _ => {
                proposed += 1;
                SimEvent::Propose(vec![quota(proposed)])
            }
        };
        simulation.schedule(at, event);
    }
    // The faults of replicas are drawn last, from a generator of their own, so that the schedule of all other
    // events is the same with and without replicas.
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut at = 0.0;
    while replicas > 0 && at < duration_ms {
        at += rng.random_range(1000.0..8000.0);
        let node = Node::Replica(rng.random_range(0..replicas));
        let for_ms = rng.random_range(50.0..4000.0);
        let event = match rng.random_range(0..5) {
            0 => SimEvent::Pause(node, for_ms),
            1 => SimEvent::Restart(node, for_ms),
            2 => SimEvent::Cut(node, CutDirection::Requests, for_ms),
            3 => SimEvent::Cut(node, CutDirection::Responses, for_ms),
            _ => SimEvent::Cut(node, CutDirection::Both, for_ms),
        };
        simulation.schedule(at, event);
    }
    simulation.run();
    let (violations, longest_conflict_ms) = simulation.check_history();
    Outcome { longest_conflict_ms, violations, observations: simulation.observations }
}

fn check_schedules(members: [usize; 4], replicas: [usize; 4]) {
    let (mut revisions, mut longest, mut conservative_checks, mut checks) = (0, 0, 0, 0);
    for seed in 0..300 {
        let at = seed as usize % 4;
        let loss_probability = [0.0, 0.2][seed as usize % 2];
        let outcome = run_schedule(seed, members[at], replicas[at], 20_000.0, loss_probability, Fault::None);
        let observations = &outcome.observations;
        assert_eq!(
            (outcome.violations, observations.unknown_at_activation),
            (0, 0),
            "seed {seed}: {outcome:?}"
        );
        assert_eq!(
            (
                observations.wrong_entries,
                observations.regressions,
                observations.restarted_scopes,
                observations.stale_leases
            ),
            (0, 0, 0, 0),
            "seed {seed}: {outcome:?}"
        );
        // With replicas more checks may find no lease, because replicas have faults of their own and messages
        // may be lost on both levels.
        assert!(
            observations.conservative_checks * 2 < observations.checks || replicas[at] > 0,
            "seed {seed}: {outcome:?}"
        );
        (conservative_checks, checks) =
            (conservative_checks + observations.conservative_checks, checks + observations.checks);
        revisions += observations.revisions;
        longest = longest.max(outcome.longest_conflict_ms);
    }
    assert!(conservative_checks * 3 < checks, "{conservative_checks} of {checks} checks found no lease");
    // The result is meaningful only if revisions came into force and some of them were in conflict for a while.
    assert!(revisions > 900 && longest > 500, "{revisions} revisions, longest conflict {longest} ms");
    println!("300 schedules, {replicas:?} replicas: {revisions} revisions in force, longest conflict {longest} ms, {}% of checks without a lease", conservative_checks * 100 / checks);
}

#[test]
fn conflicting_revisions_overlap_no_longer_than_the_bound() {
    check_schedules([3, 5, 7, 20], [0; 4]);
}

#[test]
fn conflicting_revisions_overlap_no_longer_than_the_bound_with_replicas() {
    check_schedules([3, 5, 7, 20], [2, 2, 3, 3]);
}

#[test]
fn fleet_of_350_members_stays_within_the_bound() {
    for replicas in [0, 3] {
        let outcome = run_schedule(77, 350, replicas, 8_000.0, 0.05, Fault::None);
        assert_eq!((outcome.violations, outcome.observations.unknown_at_activation), (0, 0), "{outcome:?}");
        assert!(outcome.observations.revisions > 1, "{outcome:?}");
    }
}

#[test]
fn injected_faults_are_detected() {
    let faults = [
        Fault::IgnoresLease,
        Fault::SkipsFirstStep,
        Fault::LeadsEarly,
        Fault::ActivatesEarly,
        Fault::GrantsUnconfirmed,
    ];
    for fault in faults {
        // Replicas need more schedules, because a replaced leader then rarely reaches a gateway that knows
        // fewer revisions.
        for (replicas, schedules) in [(0, 120), (2, 400)] {
            let detected = (0..schedules).filter(|seed| {
                let outcome = run_schedule(*seed, 5, replicas, 20_000.0, 0.2, fault);
                outcome.violations > 0 || outcome.observations.unknown_at_activation > 0
            });
            let detected = detected.count();
            println!("{fault:?} with {replicas} replicas: detected in {detected} of {schedules} schedules");
            assert!(
                detected > 0,
                "{fault:?} was not detected in {schedules} schedules with {replicas} replicas"
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
    let chunk = |revision| {
        let entry = Entry::RetryPolicy(RetryPolicy::Within(revision));
        let mut digest = ternstack_replication::scope::Digest::default();
        digest.add(scope, key, &entry);
        ScopeChunk {
            scope,
            restart: true,
            entries: vec![ChunkEntry { revision, key, entry: Some(entry) }],
            final_digest: Some(digest),
        }
    };
    let response = |sequence, in_force, chunks: Vec<ScopeChunk>| PollResponse {
        sequence,
        generation: 1,
        lease_us: 100_000,
        in_force,
        through: in_force,
        chunks,
        stale: vec![],
        pending: vec![],
    };
    let first = follower.poll(0.0).expect("a poll is due");
    assert_eq!(
        follower.handle_response(0.0, response(first.sequence + 9, 1, vec![chunk(1)])),
        Err(ResponseError::Unsolicited)
    );
    assert_eq!(
        follower.scope_mode(1.0, scope),
        ScopeMode::Unknown,
        "an unsolicited response changes nothing"
    );
    follower
        .handle_response(0.0, response(first.sequence, 1, vec![chunk(1)]))
        .expect("the response is accepted");
    assert_eq!(follower.scope_mode(99.0, scope), ScopeMode::InForce(1));
    assert_eq!(follower.scope_mode(100.0, scope), ScopeMode::Conservative, "the lease has expired");
    let second = follower.poll(150.0).expect("a poll is due");
    let duplicate = response(first.sequence, 1, vec![]);
    assert_eq!(follower.handle_response(150.0, duplicate), Err(ResponseError::Unsolicited));
    assert_eq!(
        follower.scope_mode(151.0, scope),
        ScopeMode::Conservative,
        "a duplicate response grants no lease"
    );
    let mismatched = PollResponse { through: 1, generation: 2, ..response(second.sequence, 2, vec![]) };
    assert!(follower.handle_response(151.0, mismatched).is_err());
    assert_eq!(
        follower.scope_mode(151.0, scope),
        ScopeMode::Conservative,
        "a rejected response grants no lease"
    );
    let third = follower.poll(210.0).expect("a poll is due");
    let newer = PollResponse { generation: 2, ..response(third.sequence, 2, vec![chunk(2)]) };
    follower.handle_response(210.0, newer).expect("the response is accepted");
    let fourth = follower.poll(240.0).expect("a poll is due");
    let outdated = PollResponse { generation: 2, ..response(fourth.sequence, 1, vec![chunk(1)]) };
    assert_eq!(
        follower.handle_response(241.0, outdated),
        Err(ResponseError::Outdated { in_force: 1, through: 1 })
    );
    assert_eq!(
        follower.scope_mode(241.0, scope),
        ScopeMode::InForce(2),
        "an outdated response changes nothing"
    );
    assert_eq!(follower.entry(241.0, scope, key), Some(Entry::RetryPolicy(RetryPolicy::Within(2))));
    // A pending revision is not in force, but applies to a follower without a lease.
    let fifth = follower.poll(280.0).expect("a poll is due");
    let change = Change { scope, key, entry: Some(Entry::RetryPolicy(RetryPolicy::Never)) };
    let pending = vec![ChangeSet { revision: 3, changes: vec![change] }];
    let newer = PollResponse { generation: 2, through: 3, pending, ..response(fifth.sequence, 2, vec![]) };
    follower.handle_response(281.0, newer).expect("the response is accepted");
    assert_eq!(follower.entry(379.0, scope, key), Some(Entry::RetryPolicy(RetryPolicy::Within(2))));
    assert_eq!(follower.entry(380.0, scope, key), Some(Entry::RetryPolicy(RetryPolicy::Never)));
}

impl Arbitrary for SmallRules {
    fn arbitrary(g: &mut Gen) -> Self {
        let names = ["a", "b", "c"];
        let some_names = |g: &mut Gen| {
            names.iter().filter(|_| bool::arbitrary(g)).map(|name| name.to_string()).collect::<Vec<_>>()
        };
        let retry_policy = |g: &mut Gen| {
            *g.choose(&[
                RetryPolicy::Never,
                RetryPolicy::Within(5),
                RetryPolicy::Within(9),
                RetryPolicy::Always,
            ])
            .expect("there are retry policies")
        };
        let quotas = some_names(g).into_iter().map(|name| (name, u32::arbitrary(g) % 3)).collect();
        let classes = some_names(g).into_iter().map(|name| (name, retry_policy(g))).collect();
        let host = |g: &mut Gen| Host {
            address: g.choose(&names).expect("there are names").to_string(),
            draining: bool::arbitrary(g),
        };
        let hosts = some_names(g).into_iter().map(|name| (name, host(g))).collect();
        SmallRules(Rules { quotas, classes, hosts, list_rev: u64::from(u8::arbitrary(g)) })
    }
}

/// Random rules over few names, so that two documents often contain the same names.
#[derive(Clone, Debug)]
struct SmallRules(Rules);

quickcheck! {
    fn stricter_rules_are_within_both_documents(a: SmallRules, b: SmallRules) -> bool {
        let stricter = a.0.stricter(&b.0);
        stricter.is_within(&a.0) && stricter.is_within(&b.0)
    }

    fn conflicts_are_symmetric_and_equal_rules_have_none(a: SmallRules, b: SmallRules) -> bool {
        conflicts(&a.0, &b.0) == conflicts(&b.0, &a.0) && conflicts(&a.0, &a.0).is_empty()
    }

    fn rules_without_conflicts_are_within_each_other(a: SmallRules, b: SmallRules) -> bool {
        !conflicts(&a.0, &b.0).is_empty() || (a.0.is_within(&b.0) && b.0.is_within(&a.0))
    }
}

#[test]
fn each_kind_of_conflict_is_reported() {
    let host = |address: &str, draining| Host { address: address.into(), draining };
    let rules = |quota, retry_policy, hosts: Vec<(&str, Host)>| Rules {
        quotas: [("acme".into(), quota)].into(),
        classes: [("book".into(), retry_policy)].into(),
        hosts: hosts.into_iter().map(|(uid, host)| (uid.to_string(), host)).collect(),
        list_rev: 1,
    };
    let a =
        rules(5, RetryPolicy::Within(800), vec![("s-1", host("1:1", false)), ("s-2", host("1:2", false))]);
    let b = rules(6, RetryPolicy::Never, vec![("s-1", host("9:9", false)), ("s-2", host("1:2", true))]);
    let name = |text: &str| text.to_string();
    assert_eq!(
        conflicts(&a, &b),
        [
            Conflict::Quota(name("acme")),
            Conflict::RetryPolicy(name("book")),
            Conflict::Host(name("s-2")),
            Conflict::Address(name("s-1")),
        ]
    );
    assert_ne!(a.digest(), b.digest());
    assert_eq!(a.digest(), a.clone().digest());
}

#[test]
fn outdated_and_mostly_empty_endpoint_lists_are_not_proposed() {
    let host = |draining| Host { address: "1:1".into(), draining };
    let hosts = (0..1200).map(|n| (format!("s-{n}"), host(false))).collect();
    let in_force = Rules { hosts, list_rev: 41, ..Rules::default() };
    let list = |revision, complete, hosts: Vec<(usize, Option<Host>)>| EndpointList {
        revision,
        complete,
        hosts: hosts.into_iter().map(|(n, h)| (format!("s-{n}"), h)).collect(),
    };
    assert_eq!(validate(&in_force, &list(41, true, vec![]), false), Verdict::Outdated);
    assert_eq!(validate(&in_force, &list(7, true, vec![]), true), Verdict::Outdated);
    // A list without most hosts may be a mistake, so it has to be confirmed, but its explicit changes are
    // proposed at once.
    let drained = list(50, true, vec![(3, Some(host(true))), (4, None)]);
    let Verdict::NeedsConfirmation { explicit_changes, all_changes } = validate(&in_force, &drained, false)
    else {
        panic!("the list needs a confirmation")
    };
    assert!(explicit_changes.hosts["s-3"].draining && !explicit_changes.hosts.contains_key("s-4"));
    assert_eq!(
        (explicit_changes.hosts.len(), explicit_changes.list_rev, all_changes.hosts.len()),
        (1199, 41, 1)
    );
    assert_eq!(validate(&in_force, &drained, true), Verdict::Propose(all_changes));
    // Any number of explicit removals is proposed without confirmation.
    let removed = list(51, false, (0..1200).map(|n| (n, None)).collect());
    let Verdict::Propose(rules) = validate(&in_force, &removed, false) else {
        panic!("explicit removals need no confirmation")
    };
    assert_eq!((rules.hosts.len(), rules.list_rev), (0, 51));
}
