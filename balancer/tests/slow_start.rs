//! Slow start: what a new or restarted endpoint is sent.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn an_endpoint_in_slow_start_gets_no_more_than_its_age_allows() {
    let mut gateway = TestGateway::new(settings(), 3);
    // 100 a second each, but a tenth of that at the new one.
    let reports = |endpoint: EndpointId| report(if endpoint.0 == 7 { 5.0 } else { 50.0 }, 0.5);
    for _ in 0..200 {
        gateway.now_ms += 5.0;
        gateway.serve(&reports);
    }
    gateway.update(UpdateKind::Delta, vec![EndpointRecord { started_at_ms: gateway.now_ms, ..record(7) }]);
    let mut starting = 0;
    for _ in 0..1000 {
        gateway.now_ms += 1.0; // 1000 a second
        starting += u32::from(gateway.serve(&reports) == Some(EndpointId(7)));
    }
    // By its age a tenth of 100 a second, rising by less than 5; twice that once its reports say so.
    assert!((1..=30).contains(&starting), "{starting} in the first second");
}

#[test]
fn a_low_overload_multiple_slows_the_ramp_and_gateways_spread_first_requests() {
    let first = |tip: f64| {
        let (mut sent_by_all, mut at_once) = (0, 0);
        for gateway_index in 0..12 {
            let mut settings = settings();
            (settings.gateway_count, settings.gateway_index, settings.slow_start_overload_multiple) =
                (12, gateway_index, tip);
            let mut gateway = TestGateway::new(settings, 3);
            let reports = |_| report(50.0, 0.5); // 100 a second each
            for _ in 0..200 {
                gateway.now_ms += 5.0;
                gateway.serve(&reports);
            }
            gateway.update(
                UpdateKind::Delta,
                vec![EndpointRecord { started_at_ms: gateway.now_ms, ..record(7) }],
            );
            for n in 0..500 {
                gateway.now_ms += 2.0;
                let starting = u32::from(gateway.serve(&reports) == Some(EndpointId(7)));
                (sent_by_all, at_once) =
                    (sent_by_all + starting, at_once + if n < 50 { starting } else { 0 });
            }
        }
        (sent_by_all, at_once)
    };
    // Its age allows 10 to 15 a second, of which a multiple of 1.5 leaves 3/8, and one of 4 all.
    let ((careful, at_once), (bold, _)) = (first(1.5), first(4.0));
    assert!((1..=9).contains(&careful) && bold > careful, "{careful} with 1.5, {bold} with 4");
    assert!(at_once <= 4, "{at_once} of 12 gateways within 0.1 s");
}

/// How many requests reach an endpoint in each second from all gateways, each with a request every 100 ms.
fn requests_each_second(endpoint: u32, fleet: &mut [TestGateway], seconds: u32) -> Vec<u32> {
    let mut second = |gateway: &mut TestGateway| -> u32 {
        let mut serve = || {
            gateway.fire_timer_after(100.0);
            u32::from(gateway.serve(&|_| report(20.0, 0.5)) == Some(EndpointId(endpoint)))
        };
        (0..10).map(|_| serve()).sum()
    };
    (0..seconds).map(|_| fleet.iter_mut().map(&mut second).sum()).collect()
}

#[test]
fn the_first_endpoints_of_a_recovered_zone_are_divided_among_few_gateways() {
    // A zone had left the list; the first of its endpoints is back, and the only one that gateways see there.
    let back = |endpoints: u32, started_at: f64| -> Vec<EndpointRecord> {
        (0..endpoints)
            .map(|n| EndpointRecord { hash: u64::from(n) << 40, started_at_ms: started_at, ..record(n) })
            .collect()
    };
    for gateways in [2, 60, 300] {
        let mut fleet: Vec<TestGateway> = (0..gateways)
            .map(|gateway_index| {
                let mut settings = settings();
                (
                    settings.gateway_count,
                    settings.gateway_index,
                    settings.slow_start_min_ratio,
                    settings.slow_start_ms,
                    settings.slow_start_overload_multiple,
                ) = (gateways, gateway_index, 0.3, 9000.0, 3.0);
                let mut gateway = TestGateway::new(settings, 0);
                let far = (100..160).map(|n| EndpointRecord { zone: 1, ..record(n) }).collect();
                gateway.update(UpdateKind::Complete, far);
                for _ in 0..20 {
                    gateway.serve(&|_| report(20.0, 0.5));
                }
                gateway.update(UpdateKind::Delta, back(1, gateway.now_ms));
                gateway
            })
            .collect();
        // It serves 40 a second when warm, and from 12 up now: three times that is allowed.
        let sent = requests_each_second(0, &mut fleet, 3);
        assert!(sent.iter().all(|n| *n < 36), "{gateways} gateways: {sent:?}");
        assert!(sent.iter().sum::<u32>() > 5, "{gateways} gateways leave it idle: {sent:?}");
    }
}

#[test]
fn a_start_time_that_goes_back_or_lies_ahead_leaves_the_warm_up_as_it_is() {
    let at = |started_at: f64| {
        vec![
            EndpointRecord { started_at_ms: started_at, ..record(0) },
            EndpointRecord { hash: 1 << 63, ..record(1) },
        ]
    };
    let paced = |lists: &[f64]| -> u32 {
        let mut settings = settings();
        (settings.slow_start_min_ratio, settings.slow_start_ms) = (0.1, 8000.0);
        let mut gateway = TestGateway::new(settings, 2);
        gateway.now_ms = 100_000.0;
        for _ in 0..40 {
            gateway.serve(&|_| report(100.0, 0.5));
        }
        for started_at in lists {
            gateway.update(UpdateKind::Complete, at(*started_at));
        }
        let mut served = 0;
        for _ in 0..100 {
            served += u32::from(gateway.serve(&|_| report(100.0, 0.5)) == Some(EndpointId(0)));
            gateway.fire_timer_after(10.0);
        }
        served
    };
    let (warm, starting) = (paced(&[0.0]), paced(&[99_900.0]));
    assert!(starting * 3 < warm, "{starting} in slow start, {warm} once warm");
    for older in [0.0, -5.0, 50_000.0] {
        assert_eq!(
            paced(&[99_900.0, older]),
            starting,
            "a list that goes back to {older} ends no slow start"
        );
    }
    for wrong in [-1.0, -1e300, f64::NAN] {
        assert_eq!(paced(&[wrong]), warm, "a start at {wrong} was long ago");
    }
    // One ahead of the clock counts as now: slow start begins, and ends once its time has passed.
    assert!(paced(&[1e15]) * 3 < warm);
    let mut gateway = TestGateway::new(settings(), 2);
    gateway.update(UpdateKind::Complete, at(1e15));
    gateway.now_ms += 30_000.0;
    let served = (0..100).filter(|_| gateway.serve(&|_| report(100.0, 0.5)) == Some(EndpointId(0))).count();
    assert!(served > 20, "{served} of 100: it is warm by now");
}

#[test]
fn a_restart_begins_slow_start_whatever_the_wall_clocks_say() {
    const HOUR_MS: f64 = 3_600_000.0;
    // How many of 100 requests an endpoint gets after its start was listed; `known` before or not.
    let sent_after = |known: bool, kind: UpdateKind, off_ms: f64, started: bool| -> usize {
        let mut settings = settings();
        (settings.slow_start_min_ratio, settings.slow_start_ms) = (0.1, 8000.0);
        let mut gateway = TestGateway::new(settings, if known { 2 } else { 1 });
        gateway.now_ms = 10.0 * HOUR_MS;
        gateway.update(UpdateKind::Delta, vec![]);
        for _ in 0..40 {
            gateway.serve(&|_| report(100.0, 0.5));
        }
        let started_at = if started { gateway.now_ms + off_ms } else { 0.0 };
        let records = vec![EndpointRecord { started_at_ms: started_at, ..record(1) }, record(0)];
        gateway.update(kind, records);
        let mut sent = 0;
        for _ in 0..100 {
            sent += usize::from(gateway.serve(&|_| report(100.0, 0.5)) == Some(EndpointId(1)));
            gateway.fire_timer_after(10.0);
        }
        sent
    };
    for kind in [UpdateKind::Delta, UpdateKind::Complete] {
        let warm = sent_after(true, kind, 0.0, false);
        for known in [true, false] {
            let starting = sent_after(known, kind, 0.0, true);
            assert!(
                starting * 3 < warm * 2,
                "{kind:?}, known {known}: {starting} in slow start, {warm} once warm"
            );
            for off_ms in [-5000.0, 5000.0, -HOUR_MS, HOUR_MS] {
                let off = sent_after(known, kind, off_ms, true);
                assert_eq!(off, starting, "{kind:?}, known {known}, off by {off_ms} ms; {warm} once warm");
            }
        }
    }
    // Two lists that alternate between two start times are no start after the first ones.
    let mut gateway = TestGateway::new(settings(), 2);
    gateway.now_ms = 10.0 * HOUR_MS;
    gateway.update(UpdateKind::Delta, vec![]);
    for started_at in [gateway.now_ms, gateway.now_ms - HOUR_MS].repeat(2) {
        gateway.update(UpdateKind::Delta, vec![EndpointRecord { started_at_ms: started_at, ..record(1) }]);
    }
    gateway.now_ms += 30_000.0;
    gateway.update(UpdateKind::Delta, vec![EndpointRecord { started_at_ms: 10.0 * HOUR_MS, ..record(1) }]);
    let sent = (0..100).filter(|_| gateway.serve(&|_| report(100.0, 0.5)) == Some(EndpointId(1))).count();
    assert!(sent > 20, "{sent} of 100: it is warm by now");
}

#[test]
fn without_load_reports_slow_start_follows_the_mean_send_rate() {
    let mut settings = settings();
    (
        settings.load_report_delivery,
        settings.slow_start_min_ratio,
        settings.slow_start_ms,
        settings.slow_start_overload_multiple,
    ) = (LoadReportDelivery::Off, 0.3, 8000.0, 3.0);
    let mut gateway = TestGateway::new(settings, 4);
    let served_in_4_s = |gateway: &mut TestGateway| -> u32 {
        let mut serve = || {
            gateway.fire_timer_after(5.0);
            u32::from(gateway.serve(&|_| LoadReport::default()) == Some(EndpointId(0)))
        };
        (0..800).map(|_| serve()).sum()
    };
    // 200 a second over four endpoints; in its first 4 s a new one has 0.3 to 0.65 of its capacity.
    let warm = served_in_4_s(&mut gateway);
    gateway.update(UpdateKind::Delta, vec![EndpointRecord { started_at_ms: gateway.now_ms, ..record(0) }]);
    let starting = served_in_4_s(&mut gateway);
    assert!(starting * 8 > warm && starting * 2 < warm, "{starting} in slow start, {warm} once warm");
}
