//! Replicas between a primary and its gateways, in virtual time: random schedules of faults, and injected
//! faults that the checks have to detect.
use common::{tenant, CutDirection, Fault, Node, Observations, Setup, SimEvent, Simulation};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::lessor::Lessor;
use ternstack_replication::placement::{preference_order, ReplicaLocation};
use ternstack_replication::progress::Progress;
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Change, ChangeSet, Entry, Host, Key, Scope};
use ternstack_replication::store::Store;
use ternstack_replication::wire::{Member, PollRequest, Subscription};

mod common;

/// The number of hosts of each service.
const HOSTS: u32 = 30;
const SERVICES: u32 = 4;
const TENANTS: usize = 6;

fn host(service: u32, n: u32, draining: bool) -> Change {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, service as u8, n as u8), 80);
    let host = Host { address, zone: (n % 3) as u16, draining, weight_milli: 1000, started_s: 0 };
    let key = Key::of(&format!("s{service}-{n}"));
    Change { scope: Scope::Hosts(service), key, entry: Some(Entry::Host(host)) }
}

fn quota(n: usize, quota: u32) -> Change {
    let (scope, key) = tenant(&format!("tenant {n}"));
    Change { scope, key, entry: Some(Entry::Quota(quota)) }
}

/// Returns the initial state: all hosts, tenants, the retry policy of one class, and all zones.
fn initial_changes() -> Vec<Change> {
    let hosts = (0..SERVICES).flat_map(|s| (0..HOSTS).map(move |n| host(s, n, false)));
    let tenants = (0..TENANTS).map(|n| quota(n, 100));
    let book = Entry::RetryPolicy(RetryPolicy::Within(800));
    let fleet = Change { scope: Scope::Fleet, key: Key::of("book"), entry: Some(book) };
    let zones = (0..3).map(zone(true));
    hosts.chain(tenants).chain([fleet]).chain(zones).collect()
}

fn zone(in_service: bool) -> impl Fn(u32) -> Change {
    move |n| Change { scope: Scope::Zones, key: Key::from_number(n), entry: Some(Entry::Zone(in_service)) }
}

/// Returns a random proposal.
fn proposal(rng: &mut ChaCha8Rng) -> Vec<Change> {
    let (service, n) = (rng.random_range(0..SERVICES), rng.random_range(0..HOSTS / 6));
    let removal = |change: Change| Change { entry: None, ..change };
    match rng.random_range(0..7) {
        0 => vec![host(service, n, true)],
        1 => vec![host(service, n, false)],
        2 => vec![removal(host(service, n, false))],
        3 => vec![quota(rng.random_range(0..TENANTS), rng.random_range(1..1000))],
        4 => vec![zone(rng.random_bool(0.5))(rng.random_range(0..3))],
        5 => {
            let retry_policy =
                [RetryPolicy::Never, RetryPolicy::Within(300), RetryPolicy::Always][rng.random_range(0..3)];
            let entry = Some(Entry::RetryPolicy(retry_policy));
            vec![Change { scope: Scope::Fleet, key: Key::of("book"), entry }]
        }
        _ => (0..HOSTS).map(|n| host(service, n, n % 2 == 0)).collect(),
    }
}

/// Returns the scopes that a gateway may follow.
fn scopes() -> Vec<Scope> {
    let tenants = (0..TENANTS).map(|n| quota(n, 1).scope);
    (0..SERVICES).map(Scope::Hosts).chain(tenants).collect()
}

/// Creates a fleet in three zones of two regions, in which every gateway follows two thirds of the scopes.
fn fleet(setup: Setup) -> Simulation {
    let scopes = scopes();
    let subscriptions = |n: usize| {
        scopes
            .iter()
            .enumerate()
            .filter(|(index, _)| !(n + index).is_multiple_of(3))
            .map(|numbered| *numbered.1)
            .collect()
    };
    let replicas = setup.replicas;
    let mut simulation = Simulation::new(setup, initial_changes(), subscriptions);
    let zone = |n: usize| (format!("zone {}", n % 3), format!("region {}", n % 3 / 2));
    let replica_location =
        |n: usize| ReplicaLocation { name: format!("control {n}"), zone: zone(n).0, region: zone(n).1 };
    let locations: Vec<ReplicaLocation> = (0..replicas).map(replica_location).collect();
    for (n, gateway) in simulation.gateways.iter_mut().enumerate() {
        gateway.replica_order = preference_order(&format!("gateway {n}"), &zone(n).0, &zone(n).1, &locations);
    }
    for service in 0..SERVICES {
        for n in 0..3 {
            let change = host(service, n, false);
            simulation.watched.push((format!("host {n} of {service}"), change.scope, change.key));
        }
    }
    for n in 0..TENANTS {
        simulation.watched.push((format!("quota {n}"), quota(n, 1).scope, quota(n, 1).key));
    }
    simulation.watched.push(("class".into(), Scope::Fleet, Key::of("book")));
    simulation.watched.push(("zone 1".into(), Scope::Zones, Key::from_number(1)));
    simulation.start();
    simulation
}

fn setup(seed: u64, members: usize, replicas: usize, fault: Fault) -> Setup {
    Setup {
        config: LeaseConfig::default(),
        seed,
        members,
        replicas,
        duration_ms: 24_000.0,
        loss_probability: 0.0,
        duplicate_probability: 0.0,
        max_delay_ms: 100.0,
        faults_end_ms: 12_000.0,
        max_old_leader_ms: 4000.0,
        snapshots: true,
        fault,
        excluded_gateways: vec![],
    }
}

#[derive(Debug)]
struct Outcome {
    observations: Observations,
    violations: usize,
    longest_conflict_ms: u64,
    differences: Vec<String>,
}

impl Outcome {
    fn has_no_violations(&self) -> bool {
        let observations = &self.observations;
        let faults = [
            observations.unknown_at_activation,
            observations.regressions,
            observations.wrong_entries,
            observations.stale_leases,
            observations.restarted_scopes,
        ];
        self.violations == 0 && faults == [0; 5] && self.differences.is_empty()
    }
}

/// Runs a schedule with random faults in its first half and without faults in its second half.
fn run_random_schedule(seed: u64, members: usize, replicas: usize, fault: Fault) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut setup = setup(seed, members, replicas, fault);
    (setup.loss_probability, setup.duplicate_probability) = ([0.0, 0.05, 0.15][seed as usize % 3], 0.1);
    // Every other group of three seeds has too few bytes for the changes that a gateway has missed, so that
    // scopes become stale.
    setup.config.bytes_per_s = [12_000.0, 1500.0][seed as usize / 3 % 2];
    let faults_end_ms = setup.faults_end_ms;
    let mut simulation = fleet(setup);
    let scopes = scopes();
    let mut at = 0.0;
    while at < faults_end_ms - 5000.0 {
        at += rng.random_range(20.0..300.0);
        let node = match rng.random_range(0..6) {
            0 => Node::Replica(rng.random_range(0..replicas)),
            _ => Node::Gateway(rng.random_range(0..members)),
        };
        let n = rng.random_range(0..members);
        let for_ms = rng.random_range(50.0..5000.0);
        let event = match rng.random_range(0..20) {
            0 | 1 => SimEvent::Pause(node, for_ms),
            2 => SimEvent::Restart(node, rng.random_range(0.0..2000.0)),
            3 => SimEvent::Cut(node, CutDirection::Both, for_ms),
            4 => SimEvent::Cut(node, CutDirection::Requests, for_ms),
            5 => SimEvent::Cut(node, CutDirection::Responses, for_ms),
            6 => SimEvent::Reconnect(n),
            7 if rng.random_bool(0.5) => SimEvent::NewLeader,
            8 | 9 => SimEvent::Subscribe(n, scopes[rng.random_range(0..scopes.len())], rng.random_bool(0.6)),
            10 if rng.random_bool(0.2) => SimEvent::Propose((0..20).map(|_| proposal(&mut rng)).collect()),
            _ => SimEvent::Propose(vec![proposal(&mut rng)]),
        };
        simulation.schedule(at, event);
    }
    simulation.run();
    let (violations, longest_conflict_ms) = simulation.check_history();
    Outcome {
        violations,
        longest_conflict_ms,
        differences: simulation.differences(),
        observations: simulation.observations,
    }
}

fn check_schedules(seeds: std::ops::Range<u64>, replicas: usize) {
    let (mut revisions, mut longest, mut stale_scopes, schedules) = (0, 0, 0, seeds.clone().count());
    for seed in seeds {
        let outcome = run_random_schedule(seed, 50 + seed as usize % 11, replicas, Fault::None);
        assert!(outcome.has_no_violations(), "seed {seed}: {outcome:?}");
        revisions += outcome.observations.revisions;
        stale_scopes += outcome.observations.stale_scopes;
        longest = longest.max(outcome.longest_conflict_ms);
    }
    assert!(
        revisions > 8 * schedules as u64 && longest > 500 && stale_scopes > 0,
        "{revisions} revisions in force, longest conflict {longest} ms, {stale_scopes} stale scopes"
    );
    println!(
        "{schedules} schedules of 50 to 60 members, {replicas} replicas: {revisions} revisions in force, \
         longest conflict {longest} ms, {stale_scopes} stale scopes"
    );
}

#[test]
fn fleets_with_one_replica_stay_within_the_bound() {
    check_schedules(0..70, 1);
}

#[test]
fn fleets_with_three_replicas_stay_within_the_bound() {
    check_schedules(1000..1070, 3);
}

#[test]
fn fleets_with_six_replicas_stay_within_the_bound() {
    check_schedules(2000..2070, 6);
}

/// Returns the longest time until a revision is in force everywhere, in ms, while one node is dead or cut off
/// in one direction from a random time on.
fn longest_activation_with_fault_ms(seed: u64, injected: Option<SimEvent>, config: LeaseConfig) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut setup = Setup { config, faults_end_ms: 0.0, ..setup(seed, 50, 3, Fault::None) };
    if let Some(SimEvent::Restart(Node::Gateway(n), _) | SimEvent::Cut(Node::Gateway(n), ..)) = injected {
        setup.excluded_gateways = vec![n];
    }
    let duration_ms = setup.duration_ms;
    let mut simulation = fleet(setup);
    // All members have started after the first two seconds.
    let mut at = 3000.0;
    if let Some(injected) = injected {
        simulation.schedule(rng.random_range(at..at + 3000.0), injected);
    }
    while at < duration_ms {
        at += rng.random_range(50.0..1500.0);
        simulation.schedule(at, SimEvent::Propose(vec![proposal(&mut rng)]));
    }
    simulation.run();
    assert_eq!(simulation.check_history().0, 0, "seed {seed}");
    assert!(simulation.observations.revisions > 5, "seed {seed}: {:?}", simulation.observations);
    simulation.observations.longest_activation_ms.max(simulation.longest_pending_ms())
}

#[test]
fn revision_is_in_force_everywhere_within_the_bound() {
    let config = LeaseConfig::default();
    assert!(config.max_activation_ms() <= 5000.0, "the bound is {} ms", config.max_activation_ms());
    let never = 1e9;
    let mut longest: BTreeMap<&str, f64> = BTreeMap::new();
    for seed in 0..10 {
        let node = Node::Gateway(seed as usize * 5);
        let cases = [
            ("no member is dead", None),
            ("a gateway is dead", Some(SimEvent::Restart(node, never))),
            ("a gateway's requests are lost", Some(SimEvent::Cut(node, CutDirection::Requests, never))),
            ("a gateway's responses are lost", Some(SimEvent::Cut(node, CutDirection::Responses, never))),
            ("a replica is dead", Some(SimEvent::Restart(Node::Replica(seed as usize % 3), never))),
        ];
        for (description, injected) in cases {
            let took_ms = longest_activation_with_fault_ms(seed, injected, config);
            // The bound does not cover a dead replica, so that case is only printed.
            if description == "a replica is dead" {
                let longest = longest.entry(description).or_default();
                *longest = took_ms.max(*longest);
                continue;
            }
            assert!(
                took_ms <= config.max_activation_ms(),
                "seed {seed}, {description}: {took_ms} ms, expected at most {} ms",
                config.max_activation_ms()
            );
            let longest = longest.entry(description).or_default();
            *longest = longest.max(took_ms);
        }
    }
    println!(
        "longest times in ms until a revision is in force, bound {:.0} ms: {longest:.0?}",
        config.max_activation_ms()
    );
}

#[test]
fn link_cut_in_one_direction_delays_no_longer_than_a_failure() {
    let config = LeaseConfig::default();
    let mut store = Store::new();
    store.add_pending(ChangeSet { revision: 1, changes: initial_changes() });
    store.advance_to(1);
    let member = |name: &str| Member { name: name.into(), incarnation: 1 };
    let request = |name: &str, sequence, acknowledged| PollRequest {
        member: member(name),
        sequence,
        acknowledged,
        known: 1,
        in_force: 1,
        subscription: Subscription::AllScopes { generation: 1 },
        fetch: vec![],
    };
    let lease_us = |lessor: &mut Lessor, now, request: &PollRequest| {
        lessor.handle_poll(now, &store, f64::INFINITY, request).lease_us
    };
    // A member that has acknowledged no response never delays others.
    let mut lessor = Lessor::new(config, 0.0);
    for n in 1..40 {
        assert_eq!(lease_us(&mut lessor, n as f64 * 380.0, &request("silent", n, 0)), 0);
    }
    assert_eq!(lessor.min_progress(380.0), None);
    // A member that receives no response from the third on delays others for the duration of one lease, however
    // often the member polls.
    let mut granted_us = Vec::new();
    for n in 1..40 {
        granted_us.push(lease_us(&mut lessor, n as f64 * 380.0, &request("cut", n, n.min(3) - 1)));
    }
    assert_eq!(granted_us[..3], [0, 1_900_000, 1_900_000]);
    assert!(
        granted_us[3..].windows(2).all(|pair| pair[0] > pair[1] || pair[1] == 0),
        "leases do not shrink to 0: {granted_us:?}"
    );
    assert_eq!(granted_us[8..], [0; 31]);
    let (third_at, held_ms) = (3.0 * 380.0, config.max_held_ms());
    assert_eq!(lessor.min_progress(third_at + held_ms - 1.0), Some(Progress { known: 1, in_force: 1 }));
    assert_eq!(lessor.min_progress(third_at + held_ms + 1.0), None);
    // The member gets a lease again once it acknowledges responses again.
    assert_eq!(lease_us(&mut lessor, 15_200.0, &request("cut", 40, 39)), 1_900_000);
}

#[test]
fn injected_faults_are_detected_with_replicas() {
    let faults = [
        Fault::IgnoresLease,
        Fault::SkipsFirstStep,
        Fault::LeadsEarly,
        Fault::ActivatesEarly,
        Fault::GrantsUnconfirmed,
        Fault::GrantsLongerLease,
        Fault::ReportsOwnProgress,
        Fault::GrantsUnleased,
        Fault::AcceptsEarlierResponse,
        Fault::SkipsTombstones,
        Fault::SkipsPending,
    ];
    for fault in faults {
        let detected = (0..40).find_map(|seed| {
            let outcome = run_random_schedule(seed, 50, 3, fault);
            (!outcome.has_no_violations()).then_some((seed, outcome))
        });
        let Some((seed, outcome)) = detected else { panic!("{fault:?} was not detected in 40 schedules") };
        let (observations, differences) = (&outcome.observations, outcome.differences.len());
        println!(
            "{fault:?}: detected by schedule {seed}: {} violations, {} unknown, {} regressions, {} wrong entries, \
             {} stale leases, {} restarted scopes, {differences} differences",
            outcome.violations,
            observations.unknown_at_activation,
            observations.regressions,
            observations.wrong_entries,
            observations.stale_leases,
            observations.restarted_scopes
        );
    }
}

#[test]
fn followers_of_a_failed_replica_spread_over_the_other_replicas() {
    let names: [fn(usize) -> String; 4] = [
        |n| format!("gateway-{n}"),
        |n| format!("{n:08}"),
        |n| format!("g{}", n * 7919 % 8900),
        |n| "x".repeat(n % 50 + 1) + &n.to_string(),
    ];
    // Each case divides 30 replicas among zones: 15 zones in six regions, three zones in one region, and a
    // single zone.
    for (zones, regions) in [(15, 6), (3, 1), (1, 1)] {
        let location = |n: usize| (format!("z{}", n % zones), format!("r{}", n % zones % regions));
        let replica_location = |n: usize| ReplicaLocation {
            name: format!("control-{n}"),
            zone: location(n).0,
            region: location(n).1,
        };
        let locations: Vec<ReplicaLocation> = (0..30).map(replica_location).collect();
        for name in names {
            let (mut follower_counts, mut successors) = (vec![0usize; 30], BTreeMap::new());
            for n in 0..8900 {
                let (zone, region) = location(n);
                let order = preference_order(&name(n), &zone, &region, &locations);
                assert_eq!(order.iter().collect::<std::collections::BTreeSet<_>>().len(), 30);
                assert_eq!(locations[order[0]].zone, zone);
                follower_counts[order[0]] += 1;
                *successors
                    .entry(order[0])
                    .or_insert_with(BTreeMap::new)
                    .entry(order[1])
                    .or_insert(0usize) += 1;
            }
            let max_load =
                *follower_counts.iter().max().expect("there are replicas") as f64 / (8900.0 / 30.0);
            assert!(
                max_load < 1.35,
                "{zones} zones: one replica has {max_load} times the mean number of followers"
            );
            for (failed, successors) in successors {
                let max_moved = *successors.values().max().expect("the failed replica had followers");
                assert!(
                    successors.len() >= 10,
                    "{zones} zones: the followers of replica {failed} move to {successors:?}"
                );
                assert!(
                    max_moved * 3 < follower_counts[failed],
                    "{zones} zones: the followers of replica {failed} move to {successors:?}"
                );
            }
        }
    }
    assert!(preference_order("g", "z", "r", &[]).is_empty());
}
