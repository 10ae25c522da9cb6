//! Slow start: how many requests a new or restarted endpoint gets.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn an_endpoint_in_slow_start_gets_at_most_the_rate_that_its_age_allows() {
    let mut gateway = TestGateway::new(settings(), 3);
    // Each endpoint reports a capacity of 100 requests per second, and the new one a tenth of that.
    let reports = |endpoint: EndpointId| report(if endpoint.0 == 7 { 5.0 } else { 50.0 }, 0.5);
    for _ in 0..200 {
        gateway.now_ms += 5.0;
        gateway.serve(&reports);
    }
    gateway.update(UpdateKind::Delta, vec![EndpointRecord { started_at_ms: gateway.now_ms, ..record(7) }]);
    let mut sent_to_new = 0;
    for _ in 0..1000 {
        gateway.now_ms += 1.0; // 1000 requests per second.
        sent_to_new += u32::from(gateway.serve(&reports) == Some(EndpointId(7)));
    }
    // The age allows a tenth of 100 per second, rising by less than 5; the reported capacity at most
    // doubles it.
    assert!((1..=30).contains(&sent_to_new), "{sent_to_new} requests in the first second");
}

#[test]
fn a_low_overload_multiple_lowers_the_rate_and_gateways_spread_first_requests() {
    let first_requests = |overload_multiple: f64| {
        let (mut sent_by_all, mut sent_early) = (0, 0);
        for gateway_index in 0..12 {
            let mut settings = settings();
            (settings.gateway_count, settings.gateway_index, settings.slow_start_overload_multiple) =
                (12, gateway_index, overload_multiple);
            let mut gateway = TestGateway::new(settings, 3);
            let reports = |_| report(50.0, 0.5); // A capacity of 100 requests per second each.
            for _ in 0..200 {
                gateway.now_ms += 5.0;
                gateway.serve(&reports);
            }
            gateway.update(
                UpdateKind::Delta,
                vec![EndpointRecord { started_at_ms: gateway.now_ms, ..record(7) }],
            );
            for index in 0..500 {
                gateway.now_ms += 2.0;
                let sent = u32::from(gateway.serve(&reports) == Some(EndpointId(7)));
                (sent_by_all, sent_early) =
                    (sent_by_all + sent, sent_early + if index < 50 { sent } else { 0 });
            }
        }
        (sent_by_all, sent_early)
    };
    // The age allows 10 to 15 requests per second, of which a multiple of 1.5 leaves 3/8 and one of 4 all.
    let ((sent_at_low, sent_early), (sent_at_high, _)) = (first_requests(1.5), first_requests(4.0));
    assert!(
        (1..=9).contains(&sent_at_low) && sent_at_high > sent_at_low,
        "{sent_at_low} requests with a multiple of 1.5, {sent_at_high} with 4"
    );
    assert!(sent_early <= 4, "{sent_early} requests from 12 gateways within 0.1 s");
}

/// Returns how many requests an endpoint gets from all gateways in each second, where each gateway has a
/// request every 100 ms.
fn requests_each_second(endpoint: u32, gateways: &mut [TestGateway], seconds: u32) -> Vec<u32> {
    let mut serve_for_1_s = |gateway: &mut TestGateway| -> u32 {
        let mut serve = || {
            gateway.fire_timer_after(100.0);
            u32::from(gateway.serve(&|_| report(20.0, 0.5)) == Some(EndpointId(endpoint)))
        };
        (0..10).map(|_| serve()).sum()
    };
    (0..seconds).map(|_| gateways.iter_mut().map(&mut serve_for_1_s).sum()).collect()
}

#[test]
fn the_first_endpoint_of_a_recovered_zone_is_shared_by_few_gateways() {
    // All endpoints of a zone were removed from the list, and the first one has started again.
    let recovered = |endpoints: u32, started_at_ms: f64| -> Vec<EndpointRecord> {
        (0..endpoints)
            .map(|id| EndpointRecord { hash: u64::from(id) << 40, started_at_ms, ..record(id) })
            .collect()
    };
    for gateway_count in [2, 60, 300] {
        let mut gateways: Vec<TestGateway> = (0..gateway_count)
            .map(|gateway_index| {
                let mut settings = settings();
                (
                    settings.gateway_count,
                    settings.gateway_index,
                    settings.slow_start_min_ratio,
                    settings.slow_start_ms,
                    settings.slow_start_overload_multiple,
                ) = (gateway_count, gateway_index, 0.3, 9000.0, 3.0);
                let mut gateway = TestGateway::new(settings, 0);
                let remote = (100..160).map(|id| EndpointRecord { zone: 1, ..record(id) }).collect();
                gateway.update(UpdateKind::Complete, remote);
                for _ in 0..20 {
                    gateway.serve(&|_| report(20.0, 0.5));
                }
                gateway.update(UpdateKind::Delta, recovered(1, gateway.now_ms));
                gateway
            })
            .collect();
        // The endpoint's capacity is 40 requests per second when warm and 12 at its start, and it fails at
        // three times its current capacity.
        let sent = requests_each_second(0, &mut gateways, 3);
        assert!(sent.iter().all(|count| *count < 36), "{gateway_count} gateways overload it: {sent:?}");
        assert!(sent.iter().sum::<u32>() > 5, "{gateway_count} gateways leave it idle: {sent:?}");
    }
}

#[test]
fn earlier_start_times_do_not_end_slow_start_and_future_ones_count_as_now() {
    let list_with_start = |started_at_ms: f64| {
        vec![EndpointRecord { started_at_ms, ..record(0) }, EndpointRecord { hash: 1 << 63, ..record(1) }]
    };
    let requests_after = |start_times_ms: &[f64]| -> u32 {
        let mut settings = settings();
        (settings.slow_start_min_ratio, settings.slow_start_ms) = (0.1, 8000.0);
        let mut gateway = TestGateway::new(settings, 2);
        gateway.now_ms = 100_000.0;
        for _ in 0..40 {
            gateway.serve(&|_| report(100.0, 0.5));
        }
        for started_at_ms in start_times_ms {
            gateway.update(UpdateKind::Complete, list_with_start(*started_at_ms));
        }
        let mut served = 0;
        for _ in 0..100 {
            served += u32::from(gateway.serve(&|_| report(100.0, 0.5)) == Some(EndpointId(0)));
            gateway.fire_timer_after(10.0);
        }
        served
    };
    let (warm, in_slow_start) = (requests_after(&[0.0]), requests_after(&[99_900.0]));
    assert!(in_slow_start * 3 < warm, "{in_slow_start} requests in slow start, {warm} when warm");
    for earlier_ms in [0.0, -5.0, 50_000.0] {
        assert_eq!(
            requests_after(&[99_900.0, earlier_ms]),
            in_slow_start,
            "an earlier start time of {earlier_ms} ms does not end slow start"
        );
    }
    for invalid_ms in [-1.0, -1e300, f64::NAN] {
        assert_eq!(requests_after(&[invalid_ms]), warm, "a start at {invalid_ms} ms was long ago");
    }
    // A start time in the future counts as now: slow start begins, and ends after its duration.
    assert!(requests_after(&[1e15]) * 3 < warm);
    let mut gateway = TestGateway::new(settings(), 2);
    gateway.update(UpdateKind::Complete, list_with_start(1e15));
    gateway.now_ms += 30_000.0;
    let served = (0..100).filter(|_| gateway.serve(&|_| report(100.0, 0.5)) == Some(EndpointId(0))).count();
    assert!(served > 20, "after the slow start the endpoint serves {served} of 100 requests");
}

#[test]
fn a_restart_begins_slow_start_even_if_wall_clocks_were_stepped() {
    const HOUR_MS: f64 = 3_600_000.0;
    // Returns how many of 100 requests an endpoint gets after an update, which reports a process start if
    // `has_started`; `is_known` says whether the endpoint was listed before, and `clock_offset_ms` how far
    // its wall clock is ahead.
    let sent_after = |is_known: bool, kind: UpdateKind, clock_offset_ms: f64, has_started: bool| -> usize {
        let mut settings = settings();
        (settings.slow_start_min_ratio, settings.slow_start_ms) = (0.1, 8000.0);
        let mut gateway = TestGateway::new(settings, if is_known { 2 } else { 1 });
        gateway.now_ms = 10.0 * HOUR_MS;
        gateway.update(UpdateKind::Delta, vec![]);
        for _ in 0..40 {
            gateway.serve(&|_| report(100.0, 0.5));
        }
        let started_at_ms = if has_started { gateway.now_ms + clock_offset_ms } else { 0.0 };
        let records = vec![EndpointRecord { started_at_ms, ..record(1) }, record(0)];
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
        for is_known in [true, false] {
            let in_slow_start = sent_after(is_known, kind, 0.0, true);
            assert!(
                in_slow_start * 3 < warm * 2,
                "{kind:?}, listed before {is_known}: {in_slow_start} in slow start, {warm} when warm"
            );
            for clock_offset_ms in [-5000.0, 5000.0, -HOUR_MS, HOUR_MS] {
                let sent = sent_after(is_known, kind, clock_offset_ms, true);
                assert_eq!(
                    sent, in_slow_start,
                    "{kind:?}, listed before {is_known}, clock offset {clock_offset_ms} ms; {warm} when warm"
                );
            }
        }
    }
    // Updates that alternate between two start times begin no further slow start after the first two.
    let mut gateway = TestGateway::new(settings(), 2);
    gateway.now_ms = 10.0 * HOUR_MS;
    gateway.update(UpdateKind::Delta, vec![]);
    for started_at_ms in [gateway.now_ms, gateway.now_ms - HOUR_MS].repeat(2) {
        gateway.update(UpdateKind::Delta, vec![EndpointRecord { started_at_ms, ..record(1) }]);
    }
    gateway.now_ms += 30_000.0;
    gateway.update(UpdateKind::Delta, vec![EndpointRecord { started_at_ms: 10.0 * HOUR_MS, ..record(1) }]);
    let sent = (0..100).filter(|_| gateway.serve(&|_| report(100.0, 0.5)) == Some(EndpointId(1))).count();
    assert!(sent > 20, "after the slow start the endpoint serves {sent} of 100 requests");
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
    // Four endpoints share 200 requests per second; in its first 4 s a new endpoint has 0.3 to 0.65 of its
    // capacity.
    let warm = served_in_4_s(&mut gateway);
    gateway.update(UpdateKind::Delta, vec![EndpointRecord { started_at_ms: gateway.now_ms, ..record(0) }]);
    let in_slow_start = served_in_4_s(&mut gateway);
    assert!(
        in_slow_start * 8 > warm && in_slow_start * 2 < warm,
        "{in_slow_start} requests in slow start, {warm} when warm"
    );
}
