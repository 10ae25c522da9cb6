//! The parts of the world, each by itself.
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use ternstack_fleet_simulator::trouble::{Act, Plan, Trouble, What};
use ternstack_fleet_simulator::world::clients::{again, patience, Message, TryEnd};
use ternstack_fleet_simulator::world::discovery::{Discovery, Entry, State};
use ternstack_fleet_simulator::world::draw::{Shape, Span};
use ternstack_fleet_simulator::world::front::Front;
use ternstack_fleet_simulator::world::hosts::{Done, Host, Job, Life, Offer};
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

fn job(id: u64, work_ms: f64, key: u32) -> Job {
    Job { id, work: work_ms * 1000.0, wait: 0, key, class: 0, sender: 0, handshake: false }
}

/// Plays a host until a moment; what has ended, and when.
fn until(host: &mut Host, end: Us) -> Vec<(Us, Done)> {
    let (mut all, mut done) = (Vec::new(), Vec::new());
    while host.next() <= end {
        let now = host.next();
        host.advance(now, &mut done);
        all.extend(done.drain(..).map(|d| (now, d)));
    }
    all
}

#[test]
fn a_host_works_in_its_slots_waits_in_its_room_and_turns_the_rest_away() {
    let mut host = host(&kind());
    for id in 0..3 {
        assert_eq!(host.offer(0, job(id, 10.0, 0)), Offer::Taken);
    }
    assert_eq!(host.offer(0, job(3, 10.0, 0)), Offer::TurnedAway);
    assert_eq!((host.at_hand(), host.queue()), (3, 2));
    // Two share the core until 20 ms; the third then has it alone.
    let ends: Vec<(Us, u64)> = until(&mut host, 50 * MS).iter().map(|(at, d)| (*at, d.id)).collect();
    assert_eq!(ends, [(20 * MS, 0), (20 * MS, 1), (30 * MS, 2)]);
}

#[test]
fn a_neighbour_takes_its_part_and_a_stopped_host_loses_what_it_held() {
    let mut host = host(&kind());
    host.set_neighbour(0, 0.5);
    assert_eq!(host.offer(0, job(0, 10.0, 0)), Offer::Taken);
    assert_eq!(until(&mut host, 30 * MS).iter().map(|e| e.0).collect::<Vec<_>>(), [20 * MS]);
    assert_eq!(host.offer(30 * MS, job(1, 10.0, 0)), Offer::Taken);
    assert_eq!(host.stop(31 * MS, Life::Silent), [1]);
    assert_eq!(host.offer(32 * MS, job(2, 10.0, 0)), Offer::Silent);
    host.start(40 * MS);
    assert_eq!(host.started, Some(40 * MS));
    assert!(host.warmth(40 * MS) < 0.7 && host.warmth(20_000 * MS) == 1.0);
}

#[test]
fn a_crowded_host_turns_slow_until_it_has_rested() {
    let crowding =
        Crowding { at: 3.0, over_ms: 1000.0, slower: 4.0, below: 0.3, rest_ms: 1000.0, most_ms: 1e6 };
    let kind = Kind { crowding: Some(crowding), slots: Span::Fixed(50.0), ..kind() };
    let mut host = host(&kind);
    (0..5).for_each(|id| assert_eq!(host.offer(0, job(id, 1000.0, 0)), Offer::Taken));
    assert_eq!(until(&mut host, 900 * MS), []);
    assert!(!host.is_slow());
    until(&mut host, 1500 * MS);
    assert!(host.is_slow());
    // At a quarter of its speed what is left of 5 s of work takes more than 14 s; it rests only after that.
    until(&mut host, 14_000 * MS);
    assert!(host.is_slow() && host.at_hand() > 0);
    until(&mut host, 25_000 * MS);
    assert!(!host.is_slow() && host.at_hand() == 0);
}

#[test]
fn a_cold_host_falls_over_when_sent_too_much_and_warms_by_work() {
    let cold = Cold {
        share: Span::Fixed(0.3),
        warm_ms: Span::Fixed(10_000.0),
        by: WarmBy::Work,
        fall_multiple: 3.0,
        fall_ms: 3000.0,
    };
    let kind = Kind { cold, slots: Span::Fixed(1e3), ..kind() };
    let mut fed = host(&kind);
    fed.stop(0, Life::Dead);
    fed.start(0);
    // Its budget is three times a third of a core for three seconds: 2.7 s, and a tenth and one job of slack.
    let mut outcome = (0..40).map(|id| fed.offer(0, Job { sender: (id % 2) as u32, ..job(id, 100.0, 0) }));
    let taken = outcome.by_ref().take_while(|o| *o == Offer::Taken).count();
    assert_eq!(taken, 30);
    let mut fed = host(&kind);
    fed.stop(0, Life::Dead);
    fed.start(0);
    let last = (0..31).map(|id| fed.offer(0, Job { sender: (id % 2) as u32, ..job(id, 100.0, 0) })).last();
    let Some(Offer::PushedOver { sent, lost }) = last else { panic!("{last:?}") };
    assert_eq!((sent.len(), lost.len(), fed.life), (2, 30, Life::Fallen));
    assert_eq!(fed.offer(MS, job(99, 1.0, 0)), Offer::Refused);

    let (mut idle, mut busy) = (host(&kind), host(&kind));
    for host in [&mut idle, &mut busy] {
        host.stop(0, Life::Dead);
        host.start(0);
    }
    busy.offer(0, job(0, 1500.0, 0));
    until(&mut busy, 4000 * MS);
    until(&mut idle, 4000 * MS);
    assert!(busy.warmth(4000 * MS) > idle.warmth(4000 * MS));
}

#[test]
fn what_a_host_remembers_costs_it_less_and_its_reports_come_late_or_not_at_all() {
    let memory = Memory { keys: 2, keep_ms: 1000.0, saves: 0.5 };
    let report = Report { period_ms: 100.0, delay_ms: 250.0, noise: 0.0, ..Report::default() };
    let kind = Kind { memory: Some(memory), report, ..kind() };
    let mut host = host(&kind);
    let cost = |host: &mut Host, at: Us, key| {
        assert_eq!(host.offer(at, job(at, 10.0, key)), Offer::Taken);
        until(host, at + 50 * MS)[0].1.work / 1000.0
    };
    assert_eq!(cost(&mut host, 0, 7), 10.0);
    assert_eq!(cost(&mut host, 60 * MS, 7), 5.0);
    assert_eq!((cost(&mut host, 120 * MS, 8), cost(&mut host, 180 * MS, 9)), (10.0, 10.0));
    assert_eq!(cost(&mut host, 240 * MS, 7), 10.0, "two other keys have pushed it out");
    assert_eq!(cost(&mut host, 1900 * MS, 7), 10.0, "it has been too long");
    until(&mut host, 2600 * MS);
    let load = host.load(2600 * MS).expect("a report");
    assert_eq!((load.utilization, load.throughput), (0.0, 0.0), "idle for long");
    host.freeze(true);
    host.offer(2600 * MS, job(9, 900.0, 1));
    until(&mut host, 3400 * MS);
    assert_eq!(host.load(3400 * MS), Some(load), "frozen, whatever it does");
    assert_eq!(Host::new(0, &kind, 1, 0, (0, 0), 0).load(0), None);
}

#[test]
fn clients_come_back_as_their_class_and_habits_allow() {
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
        heeds: true,
        leaves: Us::MAX,
        rng: Pcg64Mcg::seed_from_u64(3),
    };
    let safe = spec::Class { aim_ms: 400.0, deadline_ms: 1000.0, ..spec::Class::default() };
    let keyed = spec::Class { effect: Effect::Keyed, window_ms: 300.0, ..safe.clone() };
    let never = spec::Class { effect: Effect::Unsafe, ..safe.clone() };
    let habits = spec::Clients {
        back_off: BackOff::Fixed,
        back_off_ms: 100.0,
        retries: 2,
        ..spec::Clients::default()
    };
    let refused = TryEnd::Refused { retry_after: 700 * MS };
    let next =
        |class: &spec::Class, now: Us, tries, end| again(&habits, class, &mut message(), now, tries, end);
    assert_eq!(next(&safe, 200 * MS, 1, TryEnd::TimedOut), Some(300 * MS));
    assert_eq!(next(&safe, 200 * MS, 1, TryEnd::Served), None);
    assert_eq!(next(&safe, 200 * MS, 1, refused), Some(900 * MS), "it heeds advice");
    assert_eq!(next(&safe, 400 * MS, 1, refused), None, "it would come after its deadline");
    assert_eq!(next(&safe, 200 * MS, 3, TryEnd::Failed), None, "its tries are spent");
    assert_eq!(next(&keyed, 200 * MS, 1, TryEnd::Failed), Some(300 * MS));
    assert_eq!(next(&keyed, 350 * MS, 1, TryEnd::Failed), None, "repeats are not dropped any more");
    assert_eq!(next(&keyed, 350 * MS, 1, TryEnd::Unreachable), Some(450 * MS));
    assert_eq!(next(&never, 200 * MS, 1, TryEnd::Failed), None);
    assert_eq!(next(&never, 100 * MS, 1, refused), Some(800 * MS));
    assert_eq!(patience(&habits, &safe, &message(), 100 * MS, 0), 500 * MS);
    assert_eq!(
        patience(&habits, &safe, &message(), 600 * MS, 2),
        400 * MS,
        "the last try takes what is left"
    );
}

fn entry(host: u32, state: State) -> Entry {
    Entry { host, zone: 0, cell: 0, size: 1.0, state, started: 0 }
}

#[test]
fn discovery_tells_who_asks_forgets_and_goes_down() {
    let spec =
        spec::Discovery { capacity: 1, call_ms: 50.0, timeout_ms: 80.0, history: 2, ..Default::default() };
    let entries = vec![entry(0, State::Serving), entry(1, State::Serving)];
    let mut discovery = Discovery::new(spec, entries, 3, 1);
    discovery.learn(10, entry(1, State::Draining));
    let mut out = Vec::new();
    discovery.round(20, &mut out);
    assert_eq!(out, [], "nobody has asked");
    // One call at a time: the third would wait for longer than it may.
    let calls: Vec<_> = (0..3).map(|g| discovery.call(100, g)).collect();
    assert_eq!(
        calls.iter().map(|c| (c.at, c.lost)).collect::<Vec<_>>(),
        [(100 + 50 * MS, false), (100 + 100 * MS, false), (100 + 80 * MS, true)]
    );
    let list = discovery.take(&calls[0]);
    assert_eq!((list.whole, list.entries), (false, vec![entry(1, State::Draining)]));
    // The drain counts as told to one that neither listens nor asks; to one that listens it is told.
    assert_eq!(discovery.counts_as_told(0, 1, 500), None);
    assert_eq!(discovery.counts_as_told(2, 1, 500), Some(100 + 4 * 500));
    // It remembers two changes: who has missed more gets the whole list.
    discovery.learn(200, entry(2, State::Serving));
    discovery.learn(210, entry(1, State::Gone));
    let list = discovery.take(&calls[1]);
    assert!(list.whole && list.entries.len() == 2);
    discovery.set_stale(300, true);
    discovery.learn(310, entry(0, State::Gone));
    assert_eq!(discovery.take(&calls[0]).entries.len(), 2, "the changes before it went stale");
    discovery.set_stale(320, false);
    assert_eq!(discovery.take(&calls[0]).entries, [entry(0, State::Gone)]);
    discovery.set_down(400, true, &mut out);
    assert_eq!(out.iter().map(|d| (d.gateway, d.lost)).collect::<Vec<_>>(), [(0, true), (1, true)]);
    assert!(discovery.call(500, 0).lost);
    discovery.set_down(600, false, &mut out);
    assert!(!discovery.call(700 * MS, 0).lost);
}

#[test]
fn the_front_sends_to_its_zone_until_it_notices() {
    let mut front = Front::new(vec![0, 1, 0]);
    assert_eq!((front.pick(0, 0.0), front.pick(0, 0.99), front.pick(1, 0.5)), (Some(0), Some(2), Some(1)));
    front.notice(1, false);
    assert_eq!(front.pick(1, 0.99), Some(2), "another zone's, where its own has none");
    front.notice(0, false);
    front.notice(2, false);
    assert_eq!(front.pick(0, 0.5), None);
}

#[test]
fn troubles_are_laid_out_alike_for_a_seed_and_end_what_they_begin() {
    let world = World::default();
    let zones: Vec<u32> = (0..12).map(|n| n % 2).collect();
    let trouble = |what| Trouble { at_s: 5.0, for_s: 10.0, what };
    let all = [
        trouble(What::ZoneLoss { zone: 1, silent: true, gateways: true }),
        trouble(What::Neighbour { part: 0.5, takes: Span::Range([0.3, 0.6]), on_off_s: 1.0 }),
        trouble(What::FailingClass { part: 0.1, class: 1, errors: 0.9 }),
    ];
    let plan = Plan::new(&all, &world, &zones, 4);
    assert_eq!(plan, Plan::new(&all, &world, &zones, 4));
    assert_ne!(plan, Plan::new(&all, &world, &zones, 5));
    assert!(plan.acts.windows(2).all(|pair| pair[0].0 <= pair[1].0));
    let count = |wanted: &dyn Fn(&Act) -> bool| plan.acts.iter().filter(|a| wanted(&a.1)).count();
    assert_eq!(count(&|a| matches!(a, Act::Stop(h, Life::Silent) if h % 2 == 1)), 6);
    assert_eq!(count(&|a| matches!(a, Act::Start(_))), 6);
    assert_eq!((count(&|a| *a == Act::Gateway(1, false)), count(&|a| *a == Act::Gateway(1, true))), (1, 1));
    assert_eq!(count(&|a| matches!(a, Act::Fail(_, Some((1, _))))), 1);
    // The neighbours' last word, at the end, is that they take nothing.
    let last = |host| {
        plan.acts.iter().rev().find_map(|(at, a)| match a {
            Act::Neighbour(h, takes) if *h == host => Some((*at, *takes)),
            _ => None,
        })
    };
    let struck: Vec<_> = (0..12).filter_map(last).collect();
    assert_eq!(struck, vec![(us(15_000.0), 0.0); 6]);
    for bad in [
        Trouble { at_s: 0.0, ..all[0].clone() },
        trouble(What::ZoneLoss { zone: 2, silent: false, gateways: false }),
        trouble(What::FailingClass { part: 0.1, class: 2, errors: 0.9 }),
        trouble(What::TenantFlood { tenant: 3, times: 2.0, rise_s: 1.0 }),
        trouble(What::Crowding { part: 0.0, times: 2.0 }),
    ] {
        assert!(bad.check(&world).is_err(), "{bad:?}");
    }
    assert_eq!(Shape::Pareto { tail: 1.0 }.problem(), Some("tail must be above 1"));
}
