//! Unit tests of the parts of the simulated world.
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use ternstack_fleet_simulator::disturbance::{Disturbance, DisturbanceKind, Plan, WorldChange};
use ternstack_fleet_simulator::world::clients::{next_try_at, try_timeout, Message, TryOutcome};
use ternstack_fleet_simulator::world::discovery::{Discovery, Entry, State};
use ternstack_fleet_simulator::world::draw::{Shape, Span};
use ternstack_fleet_simulator::world::front::Front;
use ternstack_fleet_simulator::world::hosts::{Completion, Host, HostAttempt, HostStatus, OfferResult};
use ternstack_fleet_simulator::world::spec::{
    self, BackOff, Cold, Crowding, Effect, Kind, Memory, Report, WarmBy, World,
};
use ternstack_fleet_simulator::world::{us, Us};

const MS: Us = 1000;

fn kind() -> Kind {
    Kind { speed: Span::Fixed(1.0), slots: Span::Fixed(2.0), room: Span::Fixed(1.0), ..Kind::default() }
}

fn host(kind: &Kind) -> Host {
    Host::new(0, kind, 1, 0, (0, 0), 0)
}

fn attempt(id: u64, work_ms: f64, key: u32) -> HostAttempt {
    HostAttempt { id, work: work_ms * 1000.0, wait: 0, key, class: 0, sender: 0, handshake: false }
}

/// Advances a host until `end`; returns the completions with their times.
fn advance_until(host: &mut Host, end: Us) -> Vec<(Us, Completion)> {
    let (mut all, mut done) = (Vec::new(), Vec::new());
    while host.next() <= end {
        let now = host.next();
        host.advance(now, &mut done);
        all.extend(done.drain(..).map(|d| (now, d)));
    }
    all
}

#[test]
fn host_runs_attempts_in_slots_queues_more_and_rejects_the_rest() {
    let mut host = host(&kind());
    for id in 0..3 {
        assert_eq!(host.offer(0, attempt(id, 10.0, 0)), OfferResult::Accepted);
    }
    assert_eq!(host.offer(0, attempt(3, 10.0, 0)), OfferResult::Rejected);
    assert_eq!((host.in_flight_count(), host.queue_length()), (3, 2));
    // Two attempts share the core until 20 ms; the third then runs alone.
    let completions: Vec<(Us, u64)> =
        advance_until(&mut host, 50 * MS).iter().map(|(at, d)| (*at, d.id)).collect();
    assert_eq!(completions, [(20 * MS, 0), (20 * MS, 1), (30 * MS, 2)]);
}

#[test]
fn neighbour_slows_host_and_stopped_host_loses_its_attempts() {
    let mut host = host(&kind());
    host.set_neighbour(0, 0.5);
    assert_eq!(host.offer(0, attempt(0, 10.0, 0)), OfferResult::Accepted);
    assert_eq!(advance_until(&mut host, 30 * MS).iter().map(|e| e.0).collect::<Vec<_>>(), [20 * MS]);
    assert_eq!(host.offer(30 * MS, attempt(1, 10.0, 0)), OfferResult::Accepted);
    assert_eq!(host.stop(31 * MS, HostStatus::Silent), [1]);
    assert_eq!(host.offer(32 * MS, attempt(2, 10.0, 0)), OfferResult::NoResponse);
    host.start(40 * MS);
    assert_eq!(host.started, Some(40 * MS));
    assert!(host.warm_share(40 * MS) < 0.7 && host.warm_share(20_000 * MS) == 1.0);
}

#[test]
fn overloaded_host_slows_down_until_its_cores_have_been_idle_enough() {
    let crowding =
        Crowding { at: 3.0, over_ms: 1000.0, slower: 4.0, below: 0.3, rest_ms: 1000.0, most_ms: 1e6 };
    let kind = Kind { crowding: Some(crowding), slots: Span::Fixed(50.0), ..kind() };
    let mut host = host(&kind);
    (0..5).for_each(|id| assert_eq!(host.offer(0, attempt(id, 1000.0, 0)), OfferResult::Accepted));
    assert_eq!(advance_until(&mut host, 900 * MS), []);
    assert!(!host.is_slow());
    advance_until(&mut host, 1500 * MS);
    assert!(host.is_slow());
    // At a quarter of the speed, the rest of 5 s of work takes more than 14 s; the host recovers only after
    // that.
    advance_until(&mut host, 14_000 * MS);
    assert!(host.is_slow() && host.in_flight_count() > 0);
    advance_until(&mut host, 25_000 * MS);
    assert!(!host.is_slow() && host.in_flight_count() == 0);
}

#[test]
fn cold_host_goes_down_when_overloaded_and_warms_up_by_work() {
    let cold = Cold {
        share: Span::Fixed(0.3),
        warm_ms: Span::Fixed(10_000.0),
        by: WarmBy::Work,
        fall_multiple: 3.0,
        fall_ms: 3000.0,
    };
    let kind = Kind { cold, slots: Span::Fixed(1e3), ..kind() };
    let mut overloaded = host(&kind);
    overloaded.stop(0, HostStatus::Dead);
    overloaded.start(0);
    // The budget is three times 0.3 cores for three seconds: 2.7 s, plus a slack of 10% and one attempt.
    let mut offers = (0..40)
        .map(|id| overloaded.offer(0, HostAttempt { sender: (id % 2) as u32, ..attempt(id, 100.0, 0) }));
    let accepted = offers.by_ref().take_while(|o| *o == OfferResult::Accepted).count();
    assert_eq!(accepted, 30);
    let mut overloaded = host(&kind);
    overloaded.stop(0, HostStatus::Dead);
    overloaded.start(0);
    let last = (0..31)
        .map(|id| overloaded.offer(0, HostAttempt { sender: (id % 2) as u32, ..attempt(id, 100.0, 0) }))
        .last();
    let Some(OfferResult::ColdOverload { sent, lost }) = last else { panic!("{last:?}") };
    assert_eq!((sent.len(), lost.len(), overloaded.status), (2, 30, HostStatus::Fallen));
    assert_eq!(overloaded.offer(MS, attempt(99, 1.0, 0)), OfferResult::ConnectionRefused);

    let (mut idle, mut busy) = (host(&kind), host(&kind));
    for host in [&mut idle, &mut busy] {
        host.stop(0, HostStatus::Dead);
        host.start(0);
    }
    busy.offer(0, attempt(0, 1500.0, 0));
    advance_until(&mut busy, 4000 * MS);
    advance_until(&mut idle, 4000 * MS);
    assert!(busy.warm_share(4000 * MS) > idle.warm_share(4000 * MS));
}

#[test]
fn host_saves_work_on_cached_keys_and_delays_or_freezes_load_reports() {
    let memory = Memory { keys: 2, keep_ms: 1000.0, saves: 0.5 };
    let report = Report { period_ms: 100.0, delay_ms: 250.0, noise: 0.0, ..Report::default() };
    let kind = Kind { memory: Some(memory), report, ..kind() };
    let mut host = host(&kind);
    let work_ms = |host: &mut Host, at: Us, key| {
        assert_eq!(host.offer(at, attempt(at, 10.0, key)), OfferResult::Accepted);
        advance_until(host, at + 50 * MS)[0].1.work / 1000.0
    };
    assert_eq!(work_ms(&mut host, 0, 7), 10.0);
    assert_eq!(work_ms(&mut host, 60 * MS, 7), 5.0);
    assert_eq!((work_ms(&mut host, 120 * MS, 8), work_ms(&mut host, 180 * MS, 9)), (10.0, 10.0));
    assert_eq!(work_ms(&mut host, 240 * MS, 7), 10.0, "two other keys evict the first from the cache");
    assert_eq!(work_ms(&mut host, 1900 * MS, 7), 10.0, "the cached key has expired");
    advance_until(&mut host, 2600 * MS);
    let load = host.load_report(2600 * MS).expect("a report");
    assert_eq!((load.utilization, load.throughput), (0.0, 0.0), "the report shows an idle host");
    host.set_reports_frozen(true);
    host.offer(2600 * MS, attempt(9, 900.0, 1));
    advance_until(&mut host, 3400 * MS);
    assert_eq!(host.load_report(3400 * MS), Some(load), "a frozen report does not change under load");
    assert_eq!(Host::new(0, &kind, 1, 0, (0, 0), 0).load_report(0), None);
}

#[test]
fn client_retries_only_as_class_and_settings_allow() {
    let message = || Message {
        number: 0,
        at: 0,
        class: 0,
        tenant: 0,
        key: 0,
        zone: 0,
        worth: 1.0,
        within_quota: true,
        work: 1.0,
        wait: 0,
        honours_retry_after: true,
        disconnects_at: Us::MAX,
        rng: Pcg64Mcg::seed_from_u64(3),
    };
    let idempotent = spec::Class { aim_ms: 400.0, deadline_ms: 1000.0, ..spec::Class::default() };
    let keyed = spec::Class { effect: Effect::Keyed, window_ms: 300.0, ..idempotent.clone() };
    let non_idempotent = spec::Class { effect: Effect::Unsafe, ..idempotent.clone() };
    let clients = spec::Clients {
        back_off: BackOff::Fixed,
        back_off_ms: 100.0,
        retries: 2,
        ..spec::Clients::default()
    };
    let rejected = TryOutcome::Rejected { retry_after: 700 * MS };
    let next_try = |class: &spec::Class, now: Us, tries, end| {
        next_try_at(&clients, class, &mut message(), now, tries, end)
    };
    assert_eq!(next_try(&idempotent, 200 * MS, 1, TryOutcome::TimedOut), Some(300 * MS));
    assert_eq!(next_try(&idempotent, 200 * MS, 1, TryOutcome::Served), None);
    assert_eq!(
        next_try(&idempotent, 200 * MS, 1, rejected),
        Some(900 * MS),
        "the client honours Retry-After"
    );
    assert_eq!(next_try(&idempotent, 400 * MS, 1, rejected), None, "no retry after the deadline");
    assert_eq!(next_try(&idempotent, 200 * MS, 3, TryOutcome::Failed), None, "no retry beyond the limit");
    assert_eq!(next_try(&keyed, 200 * MS, 1, TryOutcome::Failed), Some(300 * MS));
    assert_eq!(
        next_try(&keyed, 350 * MS, 1, TryOutcome::Failed),
        None,
        "no retry after the deduplication window"
    );
    assert_eq!(next_try(&keyed, 350 * MS, 1, TryOutcome::Unreachable), Some(450 * MS));
    assert_eq!(next_try(&non_idempotent, 200 * MS, 1, TryOutcome::Failed), None);
    assert_eq!(next_try(&non_idempotent, 100 * MS, 1, rejected), Some(800 * MS));
    assert_eq!(try_timeout(&clients, &idempotent, &message(), 100 * MS, 0), 500 * MS);
    assert_eq!(
        try_timeout(&clients, &idempotent, &message(), 600 * MS, 2),
        400 * MS,
        "the last try gets the rest of the deadline"
    );
}

fn entry(host: u32, state: State) -> Entry {
    Entry { host, zone: 0, cell: 0, weight: 1.0, state, started: 0 }
}

#[test]
fn discovery_notifies_subscribers_limits_history_and_drops_them_when_down() {
    let spec =
        spec::Discovery { capacity: 1, call_ms: 50.0, timeout_ms: 80.0, history: 2, ..Default::default() };
    let entries = vec![entry(0, State::Serving), entry(1, State::Serving)];
    let mut discovery = Discovery::new(spec, entries, 3, 1);
    discovery.observe(10, entry(1, State::Draining));
    let mut out = Vec::new();
    discovery.publish(20, &mut out);
    assert_eq!(out, [], "no gateway has subscribed");
    // Calls are handled one at a time; the third would queue for longer than the timeout.
    let calls: Vec<_> = (0..3).map(|g| discovery.call(100, g)).collect();
    assert_eq!(
        calls.iter().map(|c| (c.at, c.lost)).collect::<Vec<_>>(),
        [(100 + 50 * MS, false), (100 + 100 * MS, false), (100 + 80 * MS, true)]
    );
    let list = discovery.receive(&calls[0]);
    assert_eq!((list.complete, list.entries), (false, vec![entry(1, State::Draining)]));
    // Only a gateway without a subscription is presumed to know of the drain after a while.
    assert_eq!(discovery.presumed_notified_at(0, 1, 500), None);
    assert_eq!(discovery.presumed_notified_at(2, 1, 500), Some(100 + 4 * 500));
    // The history holds two changes; a gateway that has missed more receives the complete list.
    discovery.observe(200, entry(2, State::Serving));
    discovery.observe(210, entry(1, State::Gone));
    let list = discovery.receive(&calls[1]);
    assert!(list.complete && list.entries.len() == 2);
    discovery.set_stale(300, true);
    discovery.observe(310, entry(0, State::Gone));
    assert_eq!(
        discovery.receive(&calls[0]).entries.len(),
        2,
        "a stale discovery delivers only the changes observed before"
    );
    discovery.set_stale(320, false);
    assert_eq!(discovery.receive(&calls[0]).entries, [entry(0, State::Gone)]);
    discovery.set_down(400, true, &mut out);
    assert_eq!(out.iter().map(|d| (d.gateway, d.lost)).collect::<Vec<_>>(), [(0, true), (1, true)]);
    assert!(discovery.call(500, 0).lost);
    discovery.set_down(600, false, &mut out);
    assert!(!discovery.call(700 * MS, 0).lost);
}

#[test]
fn front_end_prefers_live_gateways_of_the_client_zone() {
    let mut front = Front::new(vec![0, 1, 0]);
    assert_eq!((front.pick(0, 0.0), front.pick(0, 0.99), front.pick(1, 0.5)), (Some(0), Some(2), Some(1)));
    front.set_alive(1, false);
    assert_eq!(front.pick(1, 0.99), Some(2), "a gateway of another zone if the client's zone has none");
    front.set_alive(0, false);
    front.set_alive(2, false);
    assert_eq!(front.pick(0, 0.5), None);
}

#[test]
fn disturbance_plan_is_reproducible_and_reverts_every_change() {
    let world = World::default();
    let zones: Vec<u32> = (0..12).map(|n| n % 2).collect();
    let disturbance = |what| Disturbance { at_s: 5.0, for_s: 10.0, what };
    let all = [
        disturbance(DisturbanceKind::ZoneLoss { zone: 1, silent: true, gateways: true }),
        disturbance(DisturbanceKind::Neighbour { part: 0.5, takes: Span::Range([0.3, 0.6]), on_off_s: 1.0 }),
        disturbance(DisturbanceKind::FailingClass { part: 0.1, class: 1, errors: 0.9 }),
    ];
    let plan = Plan::new(&all, &world, &zones, 4);
    assert_eq!(plan, Plan::new(&all, &world, &zones, 4));
    assert_ne!(plan, Plan::new(&all, &world, &zones, 5));
    assert!(plan.changes.windows(2).all(|pair| pair[0].0 <= pair[1].0));
    let count =
        |predicate: &dyn Fn(&WorldChange) -> bool| plan.changes.iter().filter(|a| predicate(&a.1)).count();
    assert_eq!(count(&|a| matches!(a, WorldChange::StopHost(h, HostStatus::Silent) if h % 2 == 1)), 6);
    assert_eq!(count(&|a| matches!(a, WorldChange::StartHost(_))), 6);
    assert_eq!(
        (count(&|a| *a == WorldChange::Gateway(1, false)), count(&|a| *a == WorldChange::Gateway(1, true))),
        (1, 1)
    );
    assert_eq!(count(&|a| matches!(a, WorldChange::FailClass(_, Some((1, _))))), 1);
    // The last change of each neighbour, at the end of the disturbance, takes nothing from the host.
    let last = |host| {
        plan.changes.iter().rev().find_map(|(at, a)| match a {
            WorldChange::Neighbour(h, takes) if *h == host => Some((*at, *takes)),
            _ => None,
        })
    };
    let last_changes: Vec<_> = (0..12).filter_map(last).collect();
    assert_eq!(last_changes, vec![(us(15_000.0), 0.0); 6]);
    for invalid in [
        Disturbance { at_s: 0.0, ..all[0].clone() },
        disturbance(DisturbanceKind::ZoneLoss { zone: 2, silent: false, gateways: false }),
        disturbance(DisturbanceKind::FailingClass { part: 0.1, class: 2, errors: 0.9 }),
        disturbance(DisturbanceKind::TenantFlood { tenant: 3, times: 2.0, rise_s: 1.0 }),
        disturbance(DisturbanceKind::Crowding { part: 0.0, times: 2.0 }),
    ] {
        assert!(invalid.check(&world).is_err(), "{invalid:?}");
    }
    assert_eq!(Shape::Pareto { tail: 1.0 }.problem(), Some("tail must be above 1"));
}
