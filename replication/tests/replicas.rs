//! Replicas between a primary and its gateways, in virtual time: drawn schedules of faults, and planted faults that have to be
//! detected.
use common::{tenant, CutDirection, Node, Observations, PlantedFault, Setup, SimEvent, Simulation};
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

const HOSTS: u32 = 30; // Of each service.
const SERVICES: u32 = 4;
const TENANTS: usize = 6;

fn host(service: u32, n: u32, drains: bool) -> Change {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, service as u8, n as u8), 80);
    let host = Host { address, zone: (n % 3) as u16, draining: drains, weight_milli: 1000, started_s: 0 };
    let key = Key::of(&format!("s{service}-{n}"));
    Change { scope: Scope::Hosts(service), key, entry: Some(Entry::Host(host)) }
}

fn quota(n: usize, quota: u32) -> Change {
    let (scope, key) = tenant(&format!("tenant {n}"));
    Change { scope, key, entry: Some(Entry::Quota(quota)) }
}

/// All that there is at first.
fn first() -> Vec<Change> {
    let hosts = (0..SERVICES).flat_map(|s| (0..HOSTS).map(move |n| host(s, n, false)));
    let tenants = (0..TENANTS).map(|n| quota(n, 100));
    let book = Entry::RetryPolicy(RetryPolicy::Within(800));
    let fleet = Change { scope: Scope::Fleet, key: Key::of("book"), entry: Some(book) };
    let zones = (0..3).map(zone(true));
    hosts.chain(tenants).chain([fleet]).chain(zones).collect()
}

fn zone(serves: bool) -> impl Fn(u32) -> Change {
    move |n| Change { scope: Scope::Zones, key: Key::from_number(n), entry: Some(Entry::Zone(serves)) }
}

/// One proposal.
fn proposal(rng: &mut ChaCha8Rng) -> Vec<Change> {
    let (service, n) = (rng.random_range(0..SERVICES), rng.random_range(0..HOSTS / 6));
    let gone = |change: Change| Change { entry: None, ..change };
    match rng.random_range(0..7) {
        0 => vec![host(service, n, true)],
        1 => vec![host(service, n, false)],
        2 => vec![gone(host(service, n, false))],
        3 => vec![quota(rng.random_range(0..TENANTS), rng.random_range(1..1000))],
        4 => vec![zone(rng.random_bool(0.5))(rng.random_range(0..3))],
        5 => {
            let repeat =
                [RetryPolicy::Never, RetryPolicy::Within(300), RetryPolicy::Always][rng.random_range(0..3)];
            let entry = Some(Entry::RetryPolicy(repeat));
            vec![Change { scope: Scope::Fleet, key: Key::of("book"), entry }]
        }
        _ => (0..HOSTS).map(|n| host(service, n, n % 2 == 0)).collect(),
    }
}

/// The scopes that a member may follow.
fn scopes() -> Vec<Scope> {
    let tenants = (0..TENANTS).map(|n| quota(n, 1).scope);
    (0..SERVICES).map(Scope::Hosts).chain(tenants).collect()
}

/// A fleet in three zones of two regions, of which every member follows its part.
fn fleet(setup: Setup) -> Simulation {
    let scopes = scopes();
    let wants = |n: usize| {
        scopes.iter().enumerate().filter(|(at, _)| !(n + at).is_multiple_of(3)).map(|s| *s.1).collect()
    };
    let replicas = setup.replicas;
    let mut world = Simulation::new(setup, first(), wants);
    let zone = |n: usize| (format!("zone {}", n % 3), format!("region {}", n % 3 / 2));
    let machine =
        |n: usize| ReplicaLocation { name: format!("control {n}"), zone: zone(n).0, region: zone(n).1 };
    let machines: Vec<ReplicaLocation> = (0..replicas).map(machine).collect();
    for (n, g) in world.gateways.iter_mut().enumerate() {
        g.order = preference_order(&format!("gateway {n}"), &zone(n).0, &zone(n).1, &machines);
    }
    for service in 0..SERVICES {
        for n in 0..3 {
            let change = host(service, n, false);
            world.about.push((format!("host {n} of {service}"), change.scope, change.key));
        }
    }
    for n in 0..TENANTS {
        world.about.push((format!("quota {n}"), quota(n, 1).scope, quota(n, 1).key));
    }
    world.about.push(("class".into(), Scope::Fleet, Key::of("book")));
    world.about.push(("zone 1".into(), Scope::Zones, Key::from_number(1)));
    world.begin();
    world
}

fn setup(seed: u64, members: usize, replicas: usize, planted: PlantedFault) -> Setup {
    Setup {
        config: LeaseConfig::default(),
        seed,
        members,
        replicas,
        length_ms: 24_000.0,
        loss: 0.0,
        doubled: 0.0,
        delay_ms: 100.0,
        calm_from_ms: 12_000.0,
        late_ms: 4000.0,
        snapshots: true,
        planted,
        excused: vec![],
    }
}

#[derive(Debug)]
struct Outcome {
    seen: Observations,
    broken: usize,
    longest_ms: u64,
    unsettled: Vec<String>,
}

impl Outcome {
    fn sound(&self) -> bool {
        let seen = &self.seen;
        let faults = [seen.unknown_at_force, seen.went_back, seen.untrue, seen.stale, seen.restarted];
        self.broken == 0 && faults == [0; 5] && self.unsettled.is_empty()
    }
}

/// A schedule with all that can befall a fleet in its first half; nothing does in the second.
fn drawn(seed: u64, members: usize, replicas: usize, planted: PlantedFault) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut setup = setup(seed, members, replicas, planted);
    (setup.loss, setup.doubled) = ([0.0, 0.05, 0.15][seed as usize % 3], 0.1);
    // Every other fleet has too few bytes for what it missed, so that scopes fall behind.
    setup.config.bytes_per_s = [12_000.0, 1500.0][seed as usize / 3 % 2];
    let calm = setup.calm_from_ms;
    let mut world = fleet(setup);
    let scopes = scopes();
    let mut at = 0.0;
    while at < calm - 5000.0 {
        at += rng.random_range(20.0..300.0);
        let who = match rng.random_range(0..6) {
            0 => Node::Replica(rng.random_range(0..replicas)),
            _ => Node::Gateway(rng.random_range(0..members)),
        };
        let n = rng.random_range(0..members);
        let for_ms = rng.random_range(50.0..5000.0);
        let moment = match rng.random_range(0..20) {
            0 | 1 => SimEvent::Pause(who, for_ms),
            2 => SimEvent::Restart(who, rng.random_range(0.0..2000.0)),
            3 => SimEvent::Cut(who, CutDirection::Both, for_ms),
            4 => SimEvent::Cut(who, CutDirection::Requests, for_ms),
            5 => SimEvent::Cut(who, CutDirection::Responses, for_ms),
            6 => SimEvent::Reconnect(n),
            7 if rng.random_bool(0.5) => SimEvent::NewLeader,
            8 | 9 => SimEvent::Subscribe(n, scopes[rng.random_range(0..scopes.len())], rng.random_bool(0.6)),
            10 if rng.random_bool(0.2) => SimEvent::Propose((0..20).map(|_| proposal(&mut rng)).collect()),
            _ => SimEvent::Propose(vec![proposal(&mut rng)]),
        };
        world.add(at, moment);
    }
    world.run();
    let (broken, longest_ms) = world.judge();
    Outcome { broken, longest_ms, unsettled: world.unsettled(), seen: world.seen }
}

fn agree(seeds: std::ops::Range<u64>, replicas: usize) {
    let (mut versions, mut longest, mut behind, count) = (0, 0, 0, seeds.clone().count());
    for seed in seeds {
        let outcome = drawn(seed, 50 + seed as usize % 11, replicas, PlantedFault::Nothing);
        assert!(outcome.sound(), "seed {seed}: {outcome:?}");
        versions += outcome.seen.versions;
        behind += outcome.seen.fell_behind;
        longest = longest.max(outcome.longest_ms);
    }
    assert!(versions > 8 * count as u64 && longest > 500 && behind > 0, "{versions} {longest} {behind}");
    println!(
        "{count} schedules of 50 to 60 members, {replicas} replicas: {versions} versions in force, \
         longest contradiction {longest} ms, scopes fell behind {behind} times"
    );
}

#[test]
fn fleets_with_one_replica_stay_within_the_bound() {
    agree(0..70, 1);
}

#[test]
fn fleets_with_three_replicas_stay_within_the_bound() {
    agree(1000..1070, 3);
}

#[test]
fn fleets_with_six_replicas_stay_within_the_bound() {
    agree(2000..2070, 6);
}

/// Somebody dies, or is cut off one way, at a time that is drawn.
fn one_dead(seed: u64, dead: Option<SimEvent>, config: LeaseConfig) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut setup = Setup { config, calm_from_ms: 0.0, ..setup(seed, 50, 3, PlantedFault::Nothing) };
    if let Some(SimEvent::Restart(Node::Gateway(n), _) | SimEvent::Cut(Node::Gateway(n), ..)) = dead {
        setup.excused = vec![n];
    }
    let length_ms = setup.length_ms;
    let mut world = fleet(setup);
    // Members come up in the first two seconds.
    let mut at = 3000.0;
    if let Some(dead) = dead {
        world.add(rng.random_range(at..at + 3000.0), dead);
    }
    while at < length_ms {
        at += rng.random_range(50.0..1500.0);
        world.add(at, SimEvent::Propose(vec![proposal(&mut rng)]));
    }
    world.run();
    assert_eq!(world.judge().0, 0, "seed {seed}");
    assert!(world.seen.versions > 5, "seed {seed}: {:?}", world.seen);
    world.seen.in_force_ms.max(world.on_its_way_ms())
}

#[test]
fn a_revision_is_in_force_everywhere_within_the_bound() {
    let config = LeaseConfig::default();
    assert!(config.max_activation_ms() <= 5000.0, "{}", config.max_activation_ms());
    let never = 1e9;
    let mut longest: BTreeMap<&str, f64> = BTreeMap::new();
    for seed in 0..10 {
        let who = Node::Gateway(seed as usize * 5);
        let all = [
            ("nobody is dead", None),
            ("a gateway is dead", Some(SimEvent::Restart(who, never))),
            ("a gateway's asks are lost", Some(SimEvent::Cut(who, CutDirection::Requests, never))),
            ("a gateway's answers are lost", Some(SimEvent::Cut(who, CutDirection::Responses, never))),
            ("a replica is dead", Some(SimEvent::Restart(Node::Replica(seed as usize % 3), never))),
        ];
        for (words, dead) in all {
            let took = one_dead(seed, dead, config);
            // That a replica dies is not in the promise, and told beside it.
            if words == "a replica is dead" {
                let longest = longest.entry(words).or_default();
                *longest = took.max(*longest);
                continue;
            }
            assert!(
                took <= config.max_activation_ms(),
                "seed {seed}, {words}: {took} of {} ms",
                config.max_activation_ms()
            );
            let longest = longest.entry(words).or_default();
            *longest = longest.max(took);
        }
    }
    println!("longest times to in force, of {:.0} ms: {longest:.0?}", config.max_activation_ms());
}

#[test]
fn a_link_cut_in_one_direction_delays_no_longer_than_a_failure() {
    let config = LeaseConfig::default();
    let mut store = Store::new();
    store.add_pending(ChangeSet { revision: 1, changes: first() });
    store.advance_to(1);
    let member = |name: &str| Member { name: name.into(), incarnation: 1 };
    let ask = |name: &str, number, heard| PollRequest {
        member: member(name),
        sequence: number,
        acknowledged: heard,
        known: 1,
        in_force: 1,
        subscription: Subscription::AllScopes { generation: 1 },
        fetch: vec![],
    };
    let lease = |lessor: &mut Lessor, now, ask: &PollRequest| {
        lessor.handle_poll(now, &store, f64::INFINITY, ask).lease_us
    };
    // A member that has received nothing never delays others.
    let mut lessor = Lessor::new(config, 0.0);
    for n in 1..40 {
        assert_eq!(lease(&mut lessor, n as f64 * 380.0, &ask("deaf", n, 0)), 0);
    }
    assert_eq!(lessor.min_progress(380.0), None);
    // A member that receives nothing from the third response on delays others for one lease from then on, however often it polls.
    let mut given = Vec::new();
    for n in 1..40 {
        given.push(lease(&mut lessor, n as f64 * 380.0, &ask("cut", n, n.min(3) - 1)));
    }
    assert_eq!(given[..3], [0, 1_900_000, 1_900_000]);
    assert!(given[3..].windows(2).all(|two| two[0] > two[1] || two[1] == 0), "{given:?}");
    assert_eq!(given[8..], [0; 31]);
    let (third, held) = (3.0 * 380.0, config.max_held_ms());
    assert_eq!(lessor.min_progress(third + held - 1.0), Some(Progress { known: 1, in_force: 1 }));
    assert_eq!(lessor.min_progress(third + held + 1.0), None);
    // Once it hears again it gets a lease again.
    assert_eq!(lease(&mut lessor, 15_200.0, &ask("cut", 40, 39)), 1_900_000);
}

#[test]
fn planted_faults_are_detected_with_replicas() {
    let all = [
        PlantedFault::IgnoresLease,
        PlantedFault::SkipsFirstStep,
        PlantedFault::TakesOverAtOnce,
        PlantedFault::Hurries,
        PlantedFault::Unconfirmed,
        PlantedFault::HandsOnLonger,
        PlantedFault::SpeaksForItself,
        PlantedFault::OutlivesLease,
        PlantedFault::TakesEarlier,
        PlantedFault::SkipsTombstones,
        PlantedFault::SkipsPending,
    ];
    for planted in all {
        let caught = (0..40).find_map(|seed| {
            let outcome = drawn(seed, 50, 3, planted);
            (!outcome.sound()).then_some((seed, outcome))
        });
        let Some((seed, outcome)) = caught else { panic!("{planted:?} was not caught in 40 schedules") };
        let (seen, unsettled) = (&outcome.seen, outcome.unsettled.len());
        println!(
            "{planted:?}: caught by schedule {seed}: broken {}, unknown {}, back {}, untrue {}, stale {}, anew {}, \
             unsettled {unsettled}",
            outcome.broken, seen.unknown_at_force, seen.went_back, seen.untrue, seen.stale, seen.restarted
        );
    }
}

#[test]
fn followers_of_a_failed_replica_spread_and_none_is_overloaded() {
    let names: [fn(usize) -> String; 4] = [
        |n| format!("gateway-{n}"),
        |n| format!("{n:08}"),
        |n| format!("g{}", n * 7919 % 8900),
        |n| "x".repeat(n % 50 + 1) + &n.to_string(),
    ];
    // Six regions with fifteen zones and two machines in each; three zones with ten; and one zone.
    for (zones, regions) in [(15, 6), (3, 1), (1, 1)] {
        let place = |n: usize| (format!("z{}", n % zones), format!("r{}", n % zones % regions));
        let machine =
            |n: usize| ReplicaLocation { name: format!("control-{n}"), zone: place(n).0, region: place(n).1 };
        let machines: Vec<ReplicaLocation> = (0..30).map(machine).collect();
        for name in names {
            let (mut full, mut heirs) = (vec![0usize; 30], BTreeMap::new());
            for n in 0..8900 {
                let (zone, region) = place(n);
                let order = preference_order(&name(n), &zone, &region, &machines);
                assert_eq!(order.iter().collect::<std::collections::BTreeSet<_>>().len(), 30);
                assert_eq!(machines[order[0]].zone, zone);
                full[order[0]] += 1;
                *heirs.entry(order[0]).or_insert_with(BTreeMap::new).entry(order[1]).or_insert(0usize) += 1;
            }
            let fullest = *full.iter().max().expect("some") as f64 / (8900.0 / 30.0);
            assert!(fullest < 1.35, "{zones} zones: the fullest has {fullest} times the mean");
            for (dead, heirs) in heirs {
                let most = *heirs.values().max().expect("some");
                assert!(heirs.len() >= 10, "{zones} zones: {dead} is spread over {heirs:?}");
                assert!(most * 3 < full[dead], "{zones} zones: {dead} is spread over {heirs:?}");
            }
        }
    }
    assert!(preference_order("g", "z", "r", &[]).is_empty());
}
