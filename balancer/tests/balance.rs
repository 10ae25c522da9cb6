//! The module's decisions, one failure a test, without the bench.

mod common;
use common::*;
use ternstack_balancer::*;

/// A fleet in which everything is out: limits bind.
fn fill(bench: &mut Bench) -> Vec<(RequestId, ServerId)> {
    let mut out = Vec::new();
    loop {
        let (id, actions) = bench.request(2, None);
        let Some(to) = sent(&actions) else { return out };
        out.push((id, to));
    }
}

#[test]
fn a_tenant_over_its_limit_is_refused_when_the_fleet_is_full_and_told_when_to_return() {
    let mut bench = Bench::new(settings(), 2);
    fill(&mut bench);
    let mut advice = Vec::new();
    for _ in 0..200 {
        bench.now += 10.0; // 100 a second against a quota of 20
        let (_, actions) = bench.request(0, Some(0));
        advice.extend(refused(&actions));
    }
    // The estimate of a steady 100/s rises as 100 * (1 - 2^(-t / 2 s)): it passes 20 after 0.64 s.
    // Of what comes then, 1 - 20 / rate is refused: about 52 in all, give or take 6.
    assert!((35..70).contains(&advice.len()), "refused {}", advice.len());
    assert!(advice.iter().all(|ms| (0.0..=1000.0).contains(ms)));
    assert!(advice.windows(2).any(|w| w[0] != w[1]), "retry-afters are jittered");
}

#[test]
fn nobody_is_refused_over_a_limit_while_there_is_room() {
    let mut bench = Bench::new(settings(), 4);
    for _ in 0..200 {
        bench.now += 5.0;
        let (request, actions) = bench.request(0, Some(0));
        let server = sent(&actions).expect("there is room");
        bench.end(request, 0, server, Outcome::Served);
    }
}

#[test]
fn a_tenant_within_its_quota_is_not_refused_in_a_full_fleet() {
    let mut bench = Bench::new(settings(), 2);
    fill(&mut bench);
    for _ in 0..40 {
        bench.now += 100.0; // 10 a second against a quota of 20
        assert_eq!(refused(&bench.request(2, Some(0)).1), None);
    }
}

#[test]
fn a_bursting_tenant_keeps_about_its_share() {
    let mut bench = Bench::new(settings(), 2);
    fill(&mut bench);
    let mut let_in = 0;
    for n in 0..2000 {
        bench.now += 10.0; // 100 a second, a fifth of it within the quota
        let refused = refused(&bench.request(0, Some(0)).1).is_some();
        bench.wake(0.0);
        let_in += u32::from(n >= 1000 && !refused);
    }
    assert!((140..270).contains(&let_in), "let in {let_in} of 1000");
}

#[test]
fn servers_are_drawn_in_proportion_to_throughput_over_utilisation() {
    let mut bench = Bench::new(settings(), 2);
    let reports = |s: ServerId| if s.0 == 0 { report(30.0, 0.5) } else { report(10.0, 0.5) };
    let mut counts = [0u32; 2];
    for n in 0..4000 {
        bench.now += 10.0;
        if let (Some(server), true) = (bench.serve(&reports), n > 100) {
            counts[server.0 as usize] += 1;
        }
    }
    let part = f64::from(counts[0]) / f64::from(counts[0] + counts[1]);
    assert!((0.72..0.78).contains(&part), "60 against 20 gives 3/4, seen {part}");
}

#[test]
fn a_weight_is_at_least_a_quarter_of_the_mean() {
    let mut bench = Bench::new(settings(), 2);
    let reports = |s: ServerId| if s.0 == 0 { report(100.0, 1.0) } else { report(0.1, 1.0) };
    let mut counts = [0u32; 2];
    for n in 0..4000 {
        bench.now += 10.0;
        if let (Some(server), true) = (bench.serve(&reports), n > 100) {
            counts[server.0 as usize] += 1;
        }
    }
    let part = f64::from(counts[1]) / f64::from(counts[0] + counts[1]);
    assert!((0.09..0.14).contains(&part), "12.5 against 100 gives 0.11, seen {part}");
}

#[test]
fn absurd_reports_change_nothing() {
    let mut bench = Bench::new(settings(), 2);
    for (t, u) in [(f64::NAN, 0.5), (f64::INFINITY, 0.5), (-3.0, 0.5), (10.0, f64::NAN), (0.0, 0.0)] {
        bench.now += 10.0;
        assert!(bench.serve(&|_| report(t, u)).is_some());
    }
}

#[test]
fn safe_requests_are_sent_again_elsewhere_and_unsafe_ones_only_if_they_never_ran() {
    for (class, outcome, again) in [
        (0, Outcome::NoAnswer, true),
        (0, Outcome::ServerError, true),
        (2, Outcome::NoAnswer, false),
        (2, Outcome::ConnectionLost, false),
        (2, Outcome::TurnedAway, true),
        (2, Outcome::NoConnection, true),
    ] {
        let mut bench = Bench::new(settings(), 4);
        let (request, actions) = bench.request(class, None);
        let first = sent(&actions).expect("sent");
        bench.now += 20.0;
        let actions = bench.end(request, 0, first, outcome);
        assert_eq!(sent(&actions).is_some(), again, "class {class}, {outcome:?}");
        assert_ne!(sent(&actions), Some(first));
        assert_eq!(failed(&actions), !again, "an effect is possible: failed, never refused");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell_and_window() {
    for _ in 0..20 {
        let mut bench = Bench::new(settings(), 8);
        let (request, actions) = bench.request(1, None);
        let first = sent(&actions).expect("sent");
        bench.now += 20.0;
        let actions = bench.end(request, 0, first, Outcome::ConnectionLost);
        assert_eq!(sent(&actions).expect("sent again").0 / 2, first.0 / 2);
    }
    let mut s = settings();
    s.classes[1].window_ms = 50.0;
    let mut bench = Bench::new(s, 8);
    let (request, actions) = bench.request(1, None);
    let first = sent(&actions).expect("sent");
    bench.now += 51.0;
    let actions = bench.end(request, 0, first, Outcome::ConnectionLost);
    assert!(sent(&actions).is_none() && failed(&actions) && refused(&actions).is_none());
}

#[test]
fn a_held_request_is_answered_before_its_client_gives_up() {
    let mut bench = Bench::new(settings(), 0);
    let (_, actions) = bench.request(2, None);
    assert!(sent(&actions).is_none() && refused(&actions).is_none());
    let mut answers = 0;
    for _ in 0..60 {
        answers += refused(&bench.wake(10.0)).iter().count();
    }
    assert_eq!(answers, 1);
}

#[test]
fn a_request_that_cannot_wait_for_room_gets_its_answer_at_once() {
    let mut bench = Bench::new(settings(), 0);
    let arrival = Arrival { request: RequestId(1), class: 2, tenant: None, patience_ms: 2.0 };
    assert!(refused(&bench.take(Event::Request(arrival))).is_some());
}

#[test]
fn a_timer_that_fires_a_rounding_early_does_not_stop_the_clock() {
    let mut bench = Bench::new(settings(), 0);
    let (_, mut actions) = bench.request(2, None);
    let mut answers = 0;
    for _ in 0..60 {
        let at = actions.iter().find_map(|a| if let Action::Timer { at, .. } = a { Some(*at) } else { None });
        bench.now = at.unwrap_or(bench.now) - 0.0004; // The gateway counts in whole microseconds.
        actions = if at.is_some() { bench.take(Event::Timer { token: 0 }) } else { Vec::new() };
        answers += refused(&actions).iter().count();
    }
    assert_eq!(answers, 1, "the held request gets its answer");
}

#[test]
fn what_drains_or_is_gone_gets_nothing_new() {
    for readiness in [Readiness::Leaving, Readiness::Left] {
        let mut bench = Bench::new(settings(), 2);
        bench.list(ListKind::Changes, vec![Member { readiness, ..member(0) }]);
        for _ in 0..50 {
            bench.now += 10.0;
            assert_eq!(bench.serve(&|_| Report::default()), Some(ServerId(1)));
        }
        bench.list(ListKind::Changes, vec![Member { readiness, ..member(1) }]);
        assert_eq!(sent(&bench.request(0, None).1), None);
    }
}

#[test]
fn a_whole_list_replaces_the_old_one() {
    let mut bench = Bench::new(settings(), 4);
    bench.list(ListKind::Whole, vec![member(9)]);
    for _ in 0..20 {
        bench.now += 10.0;
        assert_eq!(bench.serve(&|_| Report::default()), Some(ServerId(9)));
    }
}

#[test]
fn a_cold_server_gets_no_more_than_its_age_can_carry() {
    let mut bench = Bench::new(settings(), 3);
    // 100 a second each, but a tenth of that at the cold one.
    let reports = |s: ServerId| report(if s.0 == 7 { 5.0 } else { 50.0 }, 0.5);
    for _ in 0..200 {
        bench.now += 5.0;
        bench.serve(&reports);
    }
    bench.list(ListKind::Changes, vec![Member { started_at: bench.now, ..member(7) }]);
    let mut cold = 0;
    for _ in 0..1000 {
        bench.now += 1.0; // 1000 a second
        cold += u32::from(bench.serve(&reports) == Some(ServerId(7)));
    }
    // By its age a tenth of 100 a second, rising by less than 5; as much again once its reports say so.
    assert!((1..=30).contains(&cold), "{cold} in the first second");
}

#[test]
fn a_server_that_never_answers_is_ejected_then_tried_with_one_request_and_taken_back() {
    let mut bench = Bench::new(settings(), 4);
    let mut to_sick = 0;
    for _ in 0..400 {
        bench.now += 10.0;
        let (request, actions) = bench.request(0, None);
        let Some(server) = sent(&actions) else { continue };
        if server == ServerId(0) {
            to_sick += 1;
            let again = bench.end_with(request, 0, server, Outcome::NoAnswer, 300.0, Report::default());
            if let Some(other) = sent(&again) {
                bench.end(request, 1, other, Outcome::Served);
            }
        } else {
            bench.end(request, 0, server, Outcome::Served);
        }
    }
    // Three ejected it; since then trials only, 250 ms, then 500 ms, then 1 s apart, as the aim has it.
    assert!((5..=9).contains(&to_sick), "{to_sick} sends in 4 s");
    let mut back = 0;
    for _ in 0..800 {
        bench.now += 10.0;
        back += u32::from(bench.serve(&|_| Report::default()) == Some(ServerId(0)));
    }
    assert!(back > 50, "taken back after a good trial: {back}");
}

#[test]
fn most_of_the_fleet_is_never_ejected() {
    let mut bench = Bench::new(settings(), 4);
    for _ in 0..200 {
        bench.now += 50.0;
        let (request, actions) = bench.request(2, None);
        let server = sent(&actions).expect("someone is always left to try");
        bench.end_with(request, 0, server, Outcome::NoAnswer, 300.0, Report::default());
    }
}

#[test]
fn a_silent_server_gets_nothing_new_while_its_work_hangs() {
    let mut bench = Bench::new(settings(), 2);
    let hung = sent(&bench.request(2, None).1).expect("sent");
    bench.now += 250.0; // three typical latencies of a third of the aim
    for _ in 0..50 {
        bench.now += 1.0;
        assert_ne!(bench.serve(&|_| Report::default()), Some(hung));
    }
}

#[test]
fn a_full_server_is_left_alone_for_a_while() {
    let mut bench = Bench::new(settings(), 2);
    let (request, actions) = bench.request(2, None);
    let full = sent(&actions).expect("sent");
    bench.end(request, 0, full, Outcome::TurnedAway);
    for _ in 0..15 {
        bench.now += 3.0;
        assert_ne!(bench.serve(&|_| Report::default()), Some(full));
    }
}

#[test]
fn a_late_sent_attempt_that_times_out_is_not_blamed_on_its_server() {
    let mut bench = Bench::new(settings(), 2);
    let mut seen = [false; 2];
    for _ in 0..60 {
        bench.now += 10.0;
        let (request, actions) = bench.request(2, None);
        let server = sent(&actions).expect("no server is ejected");
        seen[server.0 as usize] = true;
        bench.end_with(request, 0, server, Outcome::NoAnswer, 30.0, Report::default());
    }
    assert_eq!(seen, [true; 2]);
}

#[test]
fn an_idle_fleet_keeps_its_bound() {
    // 2 a second at 2% busy is a server for 100 a second; the design's floor alone would say 10.
    let mut bench = Bench::new(settings(), 1);
    for _ in 0..100 {
        bench.now += 500.0;
        bench.serve(&|_| report(2.0, 0.02));
    }
    let mut out = 0;
    while sent(&bench.request(2, None).1).is_some() {
        out += 1;
    }
    // No more than that either: servers that hold too much for long slow down, and stay slow.
    assert!((4..=5).contains(&out), "{out} let out at once");
}

#[test]
fn a_crowded_own_zone_spills_and_an_empty_one_does_not() {
    let mut bench = Bench::new(settings(), 0);
    bench.list(ListKind::Changes, vec![member(0), Member { zone: 1, ..member(1) }]);
    let mut order = Vec::new();
    while let Some(server) = sent(&bench.request(2, None).1) {
        order.push(server.0);
    }
    assert_eq!(order[0], 0, "the own zone comes first");
    assert!(order.contains(&1), "then the other one");
    assert_eq!(order.iter().filter(|s| **s == 0).count(), 8, "then what is left at home");
}

#[test]
fn a_try_too_late_to_earn_anything_is_served_only_where_there_is_room() {
    let mut bench = Bench::new(settings(), 1);
    bench.request(2, None); // shows the usual patience
    let late = |bench: &mut Bench, id| {
        let arrival = Arrival { request: RequestId(id), class: 2, tenant: None, patience_ms: 300.0 };
        bench.take(Event::Request(arrival))
    };
    assert!(sent(&late(&mut bench, 900)).is_some(), "there is room");
    fill(&mut bench);
    assert!(refused(&late(&mut bench, 901)).is_some(), "there is none");
}

#[test]
fn discovery_is_subscribed_at_once_and_again_after_a_pause_when_lost() {
    let mut s = settings();
    s.ask_discovery = true;
    let mut bench = Bench::new(s, 0);
    assert!(bench.list(ListKind::WarmCopy, vec![member(0)]).contains(&Action::Watch));
    for _ in 0..40 {
        let actions = bench.list(ListKind::Lost, Vec::new());
        assert!(!actions.contains(&Action::Watch));
        let wait = bench.asked_after(actions, 4000.0);
        assert!((100.0..=210.0).contains(&wait), "{wait}");
    }
    assert_eq!(sent(&bench.request(0, None).1), Some(ServerId(0)), "the old list stands");
}

/// When each gateway of a fleet calls discovery first, and after a failed call.
fn calls(instances: u32, ask_within_ms: f64) -> [Vec<f64>; 2] {
    let mut calls = [Vec::new(), Vec::new()];
    for me in 0..instances {
        let s = Settings { me, instances, ask_discovery: true, ask_within_ms, ..settings() };
        let mut bench = Bench::new(s, 0);
        for (kind, calls) in [ListKind::WarmCopy, ListKind::Lost].into_iter().zip(&mut calls) {
            let actions = bench.list(kind, Vec::new());
            calls.push(bench.asked_after(actions, 10_000.0));
        }
    }
    calls
}

#[test]
fn every_gateway_calls_discovery_again_well_before_what_it_missed_counts_as_told() {
    // 50 ms for each other gateway, two seconds at most, and no more than half of what the settings allow.
    for (instances, ask_within_ms) in
        [(1, 10_000.0), (2, 10_000.0), (30, 10_000.0), (350, 10_000.0), (30, 600.0), (350, 1500.0)]
    {
        let spread = (50.0 * f64::from(instances - 1)).min(2000.0).min(ask_within_ms / 2.0);
        let [first, again] = calls(instances, ask_within_ms);
        let latest = |calls: &[f64]| calls.iter().copied().fold(0.0, f64::max);
        // A timer may be a tick late.
        assert!(latest(&first) <= spread + 10.0, "{instances}: first {}", latest(&first));
        assert!(latest(&again) <= spread.max(200.0) + 10.0, "{instances}: again {}", latest(&again));
    }
}

#[test]
fn a_large_fleet_spreads_its_calls_to_discovery_from_the_start_on_and_after_failures() {
    for instances in [100, 350] {
        for (calls, over_ms) in calls(instances, 10_000.0).iter().zip([2000.0, 1000.0]) {
            let mut counts = [0; 12];
            calls.iter().for_each(|at| counts[(at / 250.0) as usize] += 1);
            // Half as many again as an even spread has, and what chance adds.
            let even = f64::from(instances) * 250.0 / over_ms;
            let most = 1.5 * even + 2.0 * even.sqrt();
            assert!(
                counts.iter().all(|n| f64::from(*n) <= most),
                "{instances} calls: {counts:?}, most {most}"
            );
        }
    }
}

#[test]
fn of_a_part_of_a_request_many_gateways_make_none_and_a_few_a_whole_one() {
    for (instances, second) in [(2, true), (100, false)] {
        let mut bench = Bench::new(Settings { instances, ..settings() }, 1);
        for _ in 0..100 {
            bench.now += 100.0;
            bench.serve(&|_| report(10.0, 0.3)).expect("there is room");
        }
        // It does 33 a second, all of it for this gateway: 1.7 drain in a quarter of the aim of 200 ms.
        assert!(sent(&bench.request(2, None).1).is_some());
        assert_eq!(sent(&bench.request(2, None).1).is_some(), second, "{instances} gateways");
    }
}

#[test]
fn a_client_that_went_away_frees_its_attempt() {
    let mut bench = Bench::new(settings(), 1);
    let (request, _) = bench.request(0, None);
    assert_eq!(bench.take(Event::Gone { request }), [Action::Cancel { request, attempt: 0 }]);
    assert!(bench.end(request, 0, ServerId(0), Outcome::CalledOff).is_empty());
}

#[test]
fn news_of_unknown_requests_and_servers_do_nothing() {
    let mut bench = Bench::new(settings(), 1);
    let stranger = RequestId(77);
    assert!(bench.end(stranger, 3, ServerId(99), Outcome::Served).is_empty());
    assert!(bench.take(Event::Gone { request: stranger }).is_empty());
    assert!(bench.take(Event::Timer { token: 5 }).is_empty());
}

#[test]
fn a_server_far_slower_than_its_peers_is_ejected_though_it_answers() {
    let mut bench = Bench::new(settings(), 4);
    let mut to_slow = 0;
    for _ in 0..400 {
        bench.now += 10.0;
        let (request, actions) = bench.request(2, None);
        let server = sent(&actions).expect("sent");
        let slow = server == ServerId(0);
        to_slow += u32::from(slow);
        bench.end_with(
            request,
            0,
            server,
            Outcome::Served,
            if slow { 400.0 } else { 40.0 },
            Report::default(),
        );
    }
    assert!((3..=12).contains(&to_slow), "{to_slow} of 400");
}

#[test]
fn gateways_share_what_may_be_out_at_an_unknown_server() {
    let mut s = settings();
    s.instances = 4;
    let mut bench = Bench::new(s, 1);
    let mut out = 0;
    while sent(&bench.request(2, None).1).is_some() {
        out += 1;
    }
    assert_eq!(out, 2);
}

#[test]
fn unworkable_settings_are_named() {
    let mut s = settings();
    s.instances = 0;
    assert_eq!(Balancer::new(s, 1).expect_err("refused").setting, "instances");
    let mut s = settings();
    s.classes.clear();
    assert_eq!(Balancer::new(s, 1).expect_err("refused").setting, "classes");
    let mut s = settings();
    s.classes[0].aim_ms = f64::NAN;
    assert!(Balancer::new(s, 1).expect_err("refused").to_string().contains("classes.aim_ms"));
    for (nines, top, setting) in [(-1.0, None, "nines"), (0.3, Some(0.0), "top_nines")] {
        let mut s = settings();
        (s.nines, s.top_nines) = (nines, top);
        assert_eq!(Balancer::new(s, 1).expect_err("refused").setting, setting);
    }
}

#[test]
fn the_module_keeps_its_size() {
    let text = include_str!("../src/balance.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 740, "{lines} lines");
    assert!(text.lines().all(|line| line.chars().count() <= 110), "a line is too long");
    assert!(text.lines().take(3).any(|line| line.contains("src/interface.rs")));
}

/// A fleet of gateways, each with its own balancer, and the servers that each sends 120 served requests to.
fn used_by_all(gateways: u32, servers: u32) -> std::collections::BTreeMap<ServerId, u32> {
    let mut users = std::collections::BTreeMap::new();
    for me in 0..gateways {
        let mut s = settings();
        (s.instances, s.me) = (gateways, me);
        let mut bench = Bench::new(s, servers);
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..120 {
            bench.now += 150.0;
            used.extend(bench.serve(&|_| report(30.0, 0.6)));
        }
        used.into_iter().for_each(|id| *users.entry(id).or_default() += 1);
    }
    users
}

#[test]
fn many_gateways_use_few_servers_each_and_all_servers_evenly() {
    let users = used_by_all(400, 50);
    assert_eq!(users.len(), 50, "every server is used");
    let (least, most) = (users.values().min().expect("some"), users.values().max().expect("some"));
    assert!(*least >= 11 && *most <= 22, "a server has {least} to {most} gateways");
    assert!(used_by_all(4, 12).values().all(|n| *n == 4), "few gateways use all servers");
    // So few that each hears of its own often, and that one request out from each of them is no crowd.
    let users = used_by_all(100, 60);
    assert!(users.len() == 60 && users.values().all(|n| *n <= 8), "shared by too many: {users:?}");
}

#[test]
fn a_server_that_holds_much_by_its_live_weight_gets_less_but_is_not_cut_off() {
    let mut s = settings();
    s.live_weights = true;
    let mut bench = Bench::new(s, 4);
    for held in [0.0, 3.0, 3.0, 3.0, 3.0] {
        let weight = |n: u32| if n == 0 { 1.0 / (1.0 + held) } else { 1.0 };
        let members = (0..4).map(|n| Member { weight: weight(n), ..member(n) }).collect();
        bench.list(ListKind::Changes, members);
    }
    let to = (0..800).filter(|_| bench.serve(&|_| report(30.0, 0.6)) == Some(ServerId(0))).count();
    assert!((30..110).contains(&to), "{to} of 800");
}

#[test]
fn a_zone_busier_than_others_spills_a_part_of_its_requests() {
    let mut s = settings();
    (s.live_weights, s.cross_price) = (true, 0.05);
    let far = |own: f64, other: f64| {
        let mut bench = Bench::new(s.clone(), 0);
        let members = |held: f64, zone| (0..4).map(move |n| (n + 4 * zone, zone, 1.0 / (1.0 + held)));
        let mut far = 0;
        for n in 0..1600 {
            bench.now += 50.0;
            if n % 20 == 0 {
                let held = if n == 0 { (0.0, 0.0) } else { (own, other) };
                let all = members(held.0, 0).chain(members(held.1, 1));
                let all = all.map(|(n, zone, weight)| Member { zone, weight, ..member(n) }).collect();
                bench.list(ListKind::Changes, all);
            }
            let to = bench.serve(&|_| report(30.0, 0.6)).expect("there is room");
            far += u32::from(n >= 1400 && to.0 >= 4);
        }
        far
    };
    assert!(far(4.0, 0.5) > 100, "a crowded zone spills");
    assert!(far(0.5, 0.5) < 10, "an equally busy one does not");
}

#[test]
fn a_server_whose_connection_is_still_open_is_preferred() {
    let mut s = settings();
    s.idle_ms = 1000.0;
    let mut bench = Bench::new(s, 8);
    bench.now += 5000.0;
    let mut again = 0;
    let mut last = bench.serve(&|_| report(30.0, 0.6));
    for _ in 0..400 {
        bench.now += 900.0; // Only the last server's connection is open.
        let next = bench.serve(&|_| report(30.0, 0.6));
        again += u32::from(next == last);
        last = next;
    }
    // 1 of 1 + 7 / 4 draws, where an even draw would give 50 of 400.
    assert!((115..180).contains(&again), "{again} of 400");
}

#[test]
fn a_cold_server_that_falls_over_easily_gets_less_and_not_at_once() {
    let first = |tip: f64| {
        let (mut sent_by_all, mut at_once) = (0, 0);
        for me in 0..12 {
            let mut s = settings();
            (s.instances, s.me, s.tip_multiple) = (12, me, tip);
            let mut bench = Bench::new(s, 3);
            let reports = |_| report(50.0, 0.5); // 100 a second each
            for _ in 0..200 {
                bench.now += 5.0;
                bench.serve(&reports);
            }
            bench.list(ListKind::Changes, vec![Member { started_at: bench.now, ..member(7) }]);
            for n in 0..500 {
                bench.now += 2.0;
                let cold = u32::from(bench.serve(&reports) == Some(ServerId(7)));
                (sent_by_all, at_once) = (sent_by_all + cold, at_once + if n < 50 { cold } else { 0 });
            }
        }
        (sent_by_all, at_once)
    };
    // 10 to 15 a second is what its age carries, of which 1.5 leaves 3/8, and 4 all of it.
    let ((careful, at_once), (bold, _)) = (first(1.5), first(4.0));
    assert!((1..=9).contains(&careful) && bold > careful, "{careful} with 1.5, {bold} with 4");
    assert!(at_once <= 4, "{at_once} of 12 gateways within 0.1 s");
}

#[test]
fn one_request_out_does_not_fill_a_fleet_but_busy_servers_do() {
    let over = |utilization: f64| {
        let mut s = settings();
        s.instances = 200;
        let mut bench = Bench::new(s, 4);
        for n in 0..40 {
            bench.now += 100.0; // A two-hundredth of what two servers used drain in 80 ms is under a request.
            bench.serve(&|_| report(30.0 + f64::from(n % 2), utilization));
        }
        (0..40)
            .filter(|_| {
                bench.now += 10.0; // 100 a second against a two-hundredth of 20
                let (request, actions) = bench.request(0, Some(0));
                let other = bench.request(2, None);
                for (id, to) in [(request, sent(&actions)), (other.0, sent(&other.1))] {
                    to.map(|to| bench.end(id, 0, to, Outcome::Served));
                }
                refused(&actions).is_some()
            })
            .count()
    };
    assert_eq!(over(0.3), 0, "there is room");
    assert!(over(0.97) > 20, "there is none");
}

#[test]
fn what_is_sent_runs_on_where_late_answers_earn_and_what_waits_goes_at_its_aim() {
    for late_value in [0.0, 0.2] {
        let mut s = settings();
        s.classes[0].late_value = late_value;
        let mut bench = Bench::new(s, 2);
        let mut out = fill(&mut bench);
        let mut waits = Vec::new();
        for n in 0..50 {
            let (request, mut actions) = bench.request(0, None);
            if sent(&actions).is_none() && refused(&actions).is_none() {
                waits.push(request);
            }
            if let Some((id, to)) = out.pop().filter(|_| n < 40) {
                actions.extend(bench.end(id, 0, to, Outcome::Served));
            }
            for action in actions {
                if let Action::Send { request, server, until } = action {
                    waits.retain(|w| *w != request);
                    out.push((request, server));
                    let (given, to_the_end) = (until - bench.now, late_value > 0.0);
                    assert_eq!(given > 500.0, to_the_end, "given up after {given} ms, late {late_value}");
                }
            }
        }
        assert!(!waits.is_empty(), "the servers are full");
        // Nothing is answered any more: what waits is answered while that can still earn something.
        let aim = bench.now + 200.0;
        while bench.now < aim {
            for action in bench.wake(5.0) {
                let Action::Refuse { request, .. } = action else { continue };
                waits.retain(|w| *w != request);
            }
        }
        assert!(waits.is_empty(), "{waits:?} still wait past their aim");
    }
}

/// One of 200 gateways has requests for a few of 100 servers, one in `every` 10 ms, for 20 s. The first of them takes
/// `slow` ms, the others `latency`: how much it had out there on the mean of the last 10 s, and what it refused in them.
fn thin(every: u32, utilization: f64, slow: f64, latency: f64) -> (f64, u32) {
    let mut bench = Bench::new(Settings { instances: 200, ..settings() }, 100);
    let (mut out, mut area, mut refusals) = (Vec::<(f64, RequestId, ServerId, f64)>::new(), 0.0, 0);
    let mut first = None;
    for n in 0..2000 {
        let mut actions = bench.wake(10.0);
        if n % every == 0 {
            actions.extend(bench.request(2, None).1);
        }
        let (done, left) = out.into_iter().partition(|(at, ..)| *at <= bench.now);
        out = left;
        for (_, id, to, latency) in done {
            let report = report(30.0 + f64::from(n % 7), utilization);
            actions.extend(bench.end_with(id, 0, to, Outcome::Served, latency, report));
        }
        for action in actions {
            match action {
                Action::Send { request, server, .. } => {
                    let takes = if *first.get_or_insert(server) == server { slow } else { latency };
                    out.push((bench.now + takes, request, server, takes));
                }
                Action::Refuse { .. } => refusals += u32::from(n >= 1000),
                _ => {}
            }
        }
        let there = out.iter().filter(|o| Some(o.2) == first).count();
        area += if n >= 1000 { there as f64 / 1000.0 } else { 0.0 };
    }
    (area, refusals)
}

#[test]
fn late_answers_of_a_busy_fleet_thin_what_gets_in() {
    let refused = thin(7, 0.97, 190.0, 190.0).1;
    assert!((70..140).contains(&refused), "a squeeze of 0.4 lets in 0.4 at most: {refused} of 143");
    assert_eq!(thin(7, 0.97, 40.0, 40.0).1, 0, "busy, but in time");
    assert_eq!(thin(20, 0.4, 190.0, 190.0).1, 0, "late, but not full");
}

#[test]
fn a_busy_server_that_takes_longer_than_usual_rests() {
    // A quarter of the 1.7 that drain in a quarter of the aim is its part.
    let (out, _) = thin(4, 0.97, 190.0, 40.0);
    assert!(out < 0.5, "{out} are out there on the mean");
    let (idle, _) = thin(4, 0.4, 190.0, 40.0);
    assert!(idle > out + 0.1, "{idle} are out where it is not busy, {out} where it is");
}

/// Sends 2000 requests, 10 ms apart, of which `fails(tenant, server, n)` fail at once; sends to each server.
fn with_failures(servers: u32, fails: &dyn Fn(usize, u32, u64) -> bool) -> Vec<u32> {
    let mut s = settings();
    s.tenants = (0..4).map(|n| Tenant { name: n.to_string(), quota_per_s: 0.0 }).collect();
    s.classes = vec![class(Effect::Unsafe)];
    let mut bench = Bench::new(s, servers);
    let mut to = vec![0; servers as usize];
    for n in 0..2000 {
        bench.now += 10.0;
        let tenant = (n % 4) as usize;
        let (id, actions) = bench.request(0, Some(tenant));
        let server = sent(&actions).expect("there is room");
        to[server.0 as usize] += 1;
        let bad = fails(tenant, server.0, n);
        bench.end(id, 0, server, if bad { Outcome::ServerError } else { Outcome::Served });
    }
    to
}

#[test]
fn a_server_that_loses_a_third_gets_less_by_degree() {
    let to = with_failures(4, &|_, server, n| server == 0 && n % 3 == 0);
    assert!((60..350).contains(&to[0]), "an even part is 500: {to:?}");
}

#[test]
fn of_servers_that_nearly_all_fail_the_better_one_gets_most() {
    let to = with_failures(6, &|_, server, n| server > 0 && n % 10 < 4);
    assert!(to[0] > 700 && to[1..].iter().all(|n| *n > 20), "{to:?}");
}

#[test]
fn a_tenant_that_fails_everywhere_starves_no_server() {
    // Server 0 gets the failing tenant's requests and is blamed for none; no one may be ejected for it.
    let to = with_failures(4, &|tenant, _, _| tenant == 0);
    assert!(to.iter().all(|n| (380..620).contains(n)), "{to:?}");
    let to = with_failures(4, &|_, _, n| n % 3 == 0);
    assert!(to.iter().all(|n| (350..650).contains(n)), "nor for what fails everywhere: {to:?}");
}

/// Proven servers that the list calls gone, where removal binds or not; who of them is still used.
fn still_used(not_binding: bool, kind: ListKind, readiness: Readiness) -> usize {
    let mut s = settings();
    s.removal_not_binding = not_binding;
    let mut bench = Bench::new(s, 4);
    bench.list(ListKind::Changes, vec![Member { readiness: Readiness::Leaving, ..member(3) }]);
    let gone = (0..3).map(|n| Member { readiness, ..member(n) }).collect();
    bench.list(kind, if kind == ListKind::Whole { Vec::new() } else { gone });
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..100 {
        bench.now += 10.0;
        used.extend(bench.serve(&|_| Report::default()));
    }
    assert!(!used.contains(&ServerId(3)), "what drained is never used");
    used.len()
}

#[test]
fn a_list_that_calls_running_servers_gone_is_not_believed_where_only_drains_bind() {
    assert_eq!(still_used(true, ListKind::Changes, Readiness::Left), 3);
    assert_eq!(still_used(true, ListKind::Whole, Readiness::Left), 3);
    assert_eq!(still_used(false, ListKind::Changes, Readiness::Left), 0);
    assert_eq!(still_used(false, ListKind::Whole, Readiness::Left), 0);
    assert_eq!(still_used(true, ListKind::Changes, Readiness::Leaving), 0, "drains bind");
}

#[test]
fn servers_that_do_not_exist_are_tried_once_and_forgotten_when_the_list_is_right_again() {
    let mut s = settings();
    s.removal_not_binding = true;
    let mut bench = Bench::new(s, 4);
    let mut failed = 0;
    for round in 0..20 {
        let ghosts = (0..200).map(|n| member(100 + 200 * round + n));
        bench.list(ListKind::Whole, (0..4).map(member).chain(ghosts).collect());
        for _ in 0..50 {
            bench.now += 5.0;
            let (id, actions) = bench.request(0, None);
            let mut to = sent(&actions);
            let mut attempt = 0;
            while let Some(server) = to {
                let ghost = server.0 >= 100;
                failed += u32::from(ghost);
                let outcome = if ghost { Outcome::NoConnection } else { Outcome::Served };
                to = sent(&bench.end(id, attempt, server, outcome));
                attempt += 1;
            }
        }
        bench.list(ListKind::Whole, (0..4).map(member).collect());
        let kept = format!("{:?}", bench.balancer).matches("listed: Member").count();
        assert!(kept <= 4, "{kept} servers are remembered");
    }
    assert!(failed > 0, "some were tried");
}

#[test]
fn a_tenant_that_stalls_everywhere_is_mostly_refused_and_let_in_again() {
    let mut s = settings();
    s.tenants = (0..4).map(|n| Tenant { name: n.to_string(), quota_per_s: 0.0 }).collect();
    s.classes = vec![class(Effect::Unsafe)];
    let mut bench = Bench::new(s, 4);
    let (mut sent_early, mut sent_late, mut others) = (0, 0, 0);
    for n in 0..4000 {
        bench.now += 10.0;
        let tenant = n % 4;
        let (id, actions) = bench.request(0, Some(tenant));
        let Some(to) = sent(&actions) else { continue };
        let stalls = tenant == 0 && n < 2000;
        let (outcome, ms) = if stalls { (Outcome::NoAnswer, 190.0) } else { (Outcome::Served, 20.0) };
        bench.end_with(id, 0, to, outcome, ms, Report::default());
        sent_early += u32::from(tenant == 0 && (200..2000).contains(&n));
        sent_late += u32::from(tenant == 0 && n >= 3000);
        others += u32::from(tenant != 0);
    }
    assert!((5..150).contains(&sent_early), "a trial of 450: {sent_early}");
    assert!(sent_late > 240, "back when it no longer stalls: {sent_late} of 250");
    assert_eq!(others, 3000, "the other tenants do not suffer");
}

#[test]
fn a_try_too_late_to_earn_anything_is_refused_before_the_fleet_is_full() {
    let refused_at = |utilization: f64| {
        let mut bench = Bench::new(settings(), 4);
        for n in 0..60 {
            bench.now += 10.0; // Also shows the usual patience.
            bench.serve(&|_| report(30.0 + f64::from(n % 2), utilization));
        }
        let arrival = Arrival { request: RequestId(900), class: 0, tenant: None, patience_ms: 300.0 };
        refused(&bench.take(Event::Request(arrival))).is_some()
    };
    assert!(refused_at(0.75) && !refused_at(0.4));
}

#[test]
fn a_last_try_with_all_its_time_left_makes_no_first_try_late() {
    // Clients whose tries are refused at once wait for all that is left with their last one.
    let mut bench = Bench::new(settings(), 4);
    let ask = |bench: &mut Bench, id, patience_ms| {
        bench.now += 10.0;
        let arrival = Arrival { request: RequestId(id), class: 0, tenant: None, patience_ms };
        let actions = bench.take(Event::Request(arrival));
        let server = sent(&actions)?;
        let report = report(30.0 + id as f64 % 2.0, 0.75);
        bench.end_with(RequestId(id), 0, server, Outcome::Served, 20.0, report).is_empty().then_some(server)
    };
    let usual = |n: u64| if n % 4 == 3 { 599.0 } else { 280.0 };
    let served = (0..200).filter(|n| ask(&mut bench, *n, usual(*n)).is_some()).count();
    assert_eq!(served, 200);
    // What is left after a try that was waited for is less than usual: that one is late.
    assert_eq!(ask(&mut bench, 900, 200.0), None);
}

#[test]
fn a_server_that_fails_one_class_is_left_out_for_that_class_only() {
    // Half the fleet answers class 0 with errors and serves the rest: all of class 1 still has all servers.
    let mut bench = Bench::new(settings(), 4);
    let mut sent_to = [[0u32; 2]; 2]; // By class, by whether the server fails class 0.
    for n in 0..800 {
        bench.now += 5.0;
        let class = n % 2;
        let (request, actions) = bench.request(class, None);
        let Some(server) = sent(&actions) else { continue };
        let fails = server.0 < 2;
        sent_to[class][usize::from(fails)] += 1;
        let outcome = if fails && class == 0 { Outcome::ServerError } else { Outcome::Served };
        let again = bench.end(request, 0, server, outcome);
        if let Some(other) = sent(&again) {
            bench.end(request, 1, other, Outcome::Served);
        }
    }
    assert!(sent_to[0][1] < 60, "{sent_to:?}");
    // The others have more than enough to do with class 0.
    assert!(sent_to[1][1] > 2 * sent_to[1][0], "{sent_to:?}");
}

#[test]
fn a_new_server_is_not_taken_for_a_large_one_while_hardly_used() {
    let mut bench = Bench::new(settings(), 3);
    for n in 0..200 {
        bench.now += 10.0;
        bench.serve(&|_| report(160.0 + f64::from(n % 2), 0.8));
    }
    bench.list(ListKind::Changes, vec![member(3)]);
    let new = |s: ServerId| if s.0 == 3 { report(20.0, 0.05) } else { report(160.0, 0.8) };
    while bench.serve(&new) != Some(ServerId(3)) {
        bench.now += 10.0;
    }
    let mut out = [0u32; 4];
    fill(&mut bench).iter().for_each(|(_, to)| out[to.0 as usize] += 1);
    assert!(out[3] > 0 && out[3] <= out[0] + 2, "{out:?}");
}

#[test]
fn a_server_that_is_gone_is_not_remembered() {
    let mut bench = Bench::new(settings(), 2);
    let left = Member { readiness: Readiness::Left, ..member(0) };
    let (request, actions) = bench.request(2, None);
    let busy = sent(&actions).expect("sent");
    bench.list(ListKind::Changes, vec![left, Member { readiness: Readiness::Left, ..member(1) }]);
    assert!(bench.balancer.knows(busy), "something of ours is still out there");
    bench.end(request, 0, busy, Outcome::Served);
    bench.list(ListKind::Changes, vec![member(2)]);
    assert!(!bench.balancer.knows(ServerId(0)) && !bench.balancer.knows(ServerId(1)));
}

/// Whether a busy fleet sends a try of class 0, of a client of this tenant that still waits for so long.
fn goes_on(bench: &mut Bench, id: u64, tenant: usize, patience_ms: f64) -> bool {
    bench.now += 10.0;
    let arrival = Arrival { request: RequestId(id), class: 0, tenant: Some(tenant), patience_ms };
    let actions = bench.take(Event::Request(arrival));
    let Some(server) = sent(&actions) else { return false };
    let report = report(30.0 + id as f64 % 2.0, 0.75);
    bench.end_with(RequestId(id), 0, server, Outcome::Served, 20.0, report);
    true
}

#[test]
fn impatient_clients_make_no_usual_try_a_late_one() {
    let mut s = settings();
    s.tenants.push(Tenant { name: "two".into(), quota_per_s: 20.0 });
    let mut bench = Bench::new(s, 4);
    // Of 600 ms, clients wait 150 in a try; after three of these 150 are left, and 280 after two and a bit.
    assert!((0..200).all(|id| goes_on(&mut bench, id, 0, 150.0)));
    assert!(!goes_on(&mut bench, 300, 0, 280.0), "late, as its tenant's clients go");
    assert!(goes_on(&mut bench, 301, 1, 280.0), "the other tenant's clients have told nothing");
    // Some give up after 90: no client of theirs has waited 320 in three tries.
    (400..600).for_each(|id| {
        goes_on(&mut bench, id, 1, 90.0);
    });
    assert!(goes_on(&mut bench, 700, 1, 280.0), "a usual try of a patient client");
}

#[test]
fn a_full_fleet_takes_no_work_that_its_client_hardly_waits_for() {
    let ask = |bench: &mut Bench, patience_ms| {
        let arrival = Arrival { request: RequestId(9000), class: 0, tenant: None, patience_ms };
        bench.take(Event::Request(arrival))
    };
    let mut bench = Bench::new(settings(), 2);
    assert!(sent(&ask(&mut bench, 90.0)).is_some(), "there is room");
    let mut bench = Bench::new(settings(), 2);
    fill(&mut bench);
    assert!(
        refused(&ask(&mut bench, 90.0)).is_some(),
        "less than half the aim, and hardly more than is usual"
    );
    fill(&mut bench);
    assert!(refused(&ask(&mut bench, 190.0)).is_none(), "this one may be held");
}

/// What reaches a server in each second, from all gateways, each with a request every 100 ms.
fn sent_to(server: u32, fleet: &mut [Bench], seconds: u32) -> Vec<u32> {
    let mut second = |bench: &mut Bench| -> u32 {
        let mut serve = || {
            bench.wake(100.0);
            u32::from(bench.serve(&|_| report(20.0, 0.5)) == Some(ServerId(server)))
        };
        (0..10).map(|_| serve()).sum()
    };
    (0..seconds).map(|_| fleet.iter_mut().map(&mut second).sum()).collect()
}

#[test]
fn the_first_servers_of_a_zone_that_is_back_are_shared_by_few() {
    // A zone was gone from the list; the first of its servers is back, and all gateways see but this one there.
    let back = |servers: u32, started_at: f64| -> Vec<Member> {
        (0..servers).map(|n| Member { place: u64::from(n) << 40, started_at, ..member(n) }).collect()
    };
    for gateways in [2, 60, 300] {
        let mut fleet: Vec<Bench> = (0..gateways)
            .map(|me| {
                let mut s = settings();
                (s.instances, s.me, s.cold_share, s.cold_ms, s.tip_multiple) =
                    (gateways, me, 0.3, 9000.0, 3.0);
                let mut bench = Bench::new(s, 0);
                let far = (100..160).map(|n| Member { zone: 1, ..member(n) }).collect();
                bench.list(ListKind::Whole, far);
                for _ in 0..20 {
                    bench.serve(&|_| report(20.0, 0.5));
                }
                bench.list(ListKind::Changes, back(1, bench.now));
                bench
            })
            .collect();
        // It carries 40 a second when warm, and from 12 up now: the rule allows three times that.
        let sent = sent_to(0, &mut fleet, 3);
        assert!(sent.iter().all(|n| *n < 36), "{gateways} gateways: {sent:?}");
        assert!(sent.iter().sum::<u32>() > 5, "{gateways} gateways leave it without work: {sent:?}");
    }
}

#[test]
fn a_start_told_backwards_or_ahead_of_the_clock_neither_warms_nor_chills() {
    let at =
        |started_at: f64| vec![Member { started_at, ..member(0) }, Member { place: 1 << 63, ..member(1) }];
    let paced = |lists: &[f64]| -> u32 {
        let mut s = settings();
        (s.cold_share, s.cold_ms) = (0.1, 8000.0);
        let mut bench = Bench::new(s, 2);
        bench.now = 100_000.0;
        for _ in 0..40 {
            bench.serve(&|_| report(100.0, 0.5));
        }
        for started_at in lists {
            bench.list(ListKind::Whole, at(*started_at));
        }
        let mut served = 0;
        for _ in 0..100 {
            served += u32::from(bench.serve(&|_| report(100.0, 0.5)) == Some(ServerId(0)));
            bench.wake(10.0);
        }
        served
    };
    let (warm, cold) = (paced(&[0.0]), paced(&[99_900.0]));
    assert!(cold * 3 < warm, "{cold} while cold, {warm} while warm");
    for older in [0.0, -5.0, 50_000.0] {
        assert_eq!(paced(&[99_900.0, older]), cold, "a list that goes back to {older} makes nothing warm");
    }
    for wrong in [-1.0, -1e300, f64::NAN] {
        assert_eq!(paced(&[wrong]), warm, "a start at {wrong} is long ago");
    }
    // One ahead of the clock counts as now: it is cold, and warm once its time has passed.
    assert!(paced(&[1e15]) * 3 < warm);
    let mut bench = Bench::new(settings(), 2);
    bench.list(ListKind::Whole, at(1e15));
    bench.now += 30_000.0;
    let served = (0..100).filter(|_| bench.serve(&|_| report(100.0, 0.5)) == Some(ServerId(0))).count();
    assert!(served > 20, "{served} of 100: it is warm by now");
}

#[test]
fn a_start_is_a_slow_one_whatever_the_wall_clocks_of_server_and_gateway_say() {
    const HOUR_MS: f64 = 3_600_000.0;
    // How many of 100 requests a server gets after its start was told; `known` before or not.
    let sent_after = |known: bool, kind: ListKind, off_ms: f64, started: bool| -> usize {
        let mut s = settings();
        (s.cold_share, s.cold_ms) = (0.1, 8000.0);
        let mut bench = Bench::new(s, if known { 2 } else { 1 });
        bench.now = 10.0 * HOUR_MS;
        bench.list(ListKind::Changes, vec![]);
        for _ in 0..40 {
            bench.serve(&|_| report(100.0, 0.5));
        }
        let started_at = if started { bench.now + off_ms } else { 0.0 };
        let members = vec![Member { started_at, ..member(1) }, member(0)];
        bench.list(kind, members);
        let mut sent = 0;
        for _ in 0..100 {
            sent += usize::from(bench.serve(&|_| report(100.0, 0.5)) == Some(ServerId(1)));
            bench.wake(10.0);
        }
        sent
    };
    for kind in [ListKind::Changes, ListKind::Whole] {
        let warm = sent_after(true, kind, 0.0, false);
        for known in [true, false] {
            let cold = sent_after(known, kind, 0.0, true);
            assert!(cold * 3 < warm * 2, "{kind:?}, known {known}: {cold} while cold, {warm} while warm");
            for off_ms in [-5000.0, 5000.0, -HOUR_MS, HOUR_MS] {
                let off = sent_after(known, kind, off_ms, true);
                assert_eq!(off, cold, "{kind:?}, known {known}, off by {off_ms} ms; {warm} while warm");
            }
        }
    }
    // Two answers of discovery that take turns are no start after the first ones.
    let mut bench = Bench::new(settings(), 2);
    bench.now = 10.0 * HOUR_MS;
    bench.list(ListKind::Changes, vec![]);
    for started_at in [bench.now, bench.now - HOUR_MS].repeat(2) {
        bench.list(ListKind::Changes, vec![Member { started_at, ..member(1) }]);
    }
    bench.now += 30_000.0;
    bench.list(ListKind::Changes, vec![Member { started_at: 10.0 * HOUR_MS, ..member(1) }]);
    let sent = (0..100).filter(|_| bench.serve(&|_| report(100.0, 0.5)) == Some(ServerId(1))).count();
    assert!(sent > 20, "{sent} of 100: it is warm by now");
}

#[test]
fn where_nothing_reports_a_cold_server_gets_work_by_what_the_others_are_sent() {
    let mut s = settings();
    (s.reports, s.cold_share, s.cold_ms, s.tip_multiple) = (Reports::Off, 0.3, 8000.0, 3.0);
    let mut bench = Bench::new(s, 4);
    let sent = |bench: &mut Bench| -> u32 {
        let mut serve = || {
            bench.wake(5.0);
            u32::from(bench.serve(&|_| Report::default()) == Some(ServerId(0)))
        };
        (0..800).map(|_| serve()).sum()
    };
    // 200 a second over four servers; in its first 4 s a cold one is warm by 0.3 to 0.65.
    let warm = sent(&mut bench);
    bench.list(ListKind::Changes, vec![Member { started_at: bench.now, ..member(0) }]);
    let cold = sent(&mut bench);
    assert!(cold * 8 > warm && cold * 2 < warm, "{cold} while cold, {warm} while warm");
}
