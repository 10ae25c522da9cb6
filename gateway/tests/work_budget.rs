//! The work budget: bursts are free, heavy connections share a fixed part of the processor.
use ternstack_gateway::work_budget::{WorkBudget, WorkMeter, READ_COST_US, REQUEST_COST_US};

/// Floods a budget from `connections` connections for `duration_ms`: each does its next request as soon as it
/// may. Returns the number of requests of each connection.
fn flood(cores: f64, connections: u64, duration_ms: f64) -> Vec<usize> {
    let mut budget = WorkBudget::new(cores);
    let mut next: Vec<(f64, WorkMeter, usize)> = vec![(0.0, WorkMeter::default(), 0); connections as usize];
    loop {
        let (id, earliest) = next
            .iter()
            .enumerate()
            .map(|(id, (at_ms, ..))| (id, *at_ms))
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .expect("there are connections");
        if earliest >= duration_ms {
            return next.into_iter().map(|(_, _, count)| count).collect();
        }
        let (at_ms, meter, count) = &mut next[id];
        // The request itself takes a little time as well, so that the loop ends.
        *at_ms += 0.02 + budget.charge(id as u64, meter, REQUEST_COST_US, *at_ms);
        *count += 1;
    }
}

#[test]
fn a_connection_with_one_request_at_a_time_never_pauses() {
    let mut budget = WorkBudget::new(1.0);
    let mut meter = WorkMeter::default();
    for number in 0..10_000 {
        let now_ms = f64::from(number) * 5.0;
        assert_eq!(budget.charge(1, &mut meter, REQUEST_COST_US + READ_COST_US, now_ms), 0.0, "{number}");
    }
    assert_eq!(budget.heavy_count(), 0);
}

#[test]
fn a_pipeline_of_a_hundred_requests_is_a_burst_without_a_pause() {
    let mut budget = WorkBudget::new(0.1);
    let mut meter = WorkMeter::default();
    let pauses = (0..100).map(|_| budget.charge(1, &mut meter, REQUEST_COST_US, 0.0)).sum::<f64>();
    assert_eq!(pauses, 0.0);
}

#[test]
fn flooding_connections_take_at_most_their_share_together() {
    const BURST_REQUESTS: f64 = 6_400.0 / REQUEST_COST_US;
    for cores in [1.0, 0.1] {
        for connections in [1, 10, 100] {
            let counts = flood(cores, connections, 10_000.0);
            let work_ms = counts.iter().sum::<usize>() as f64 * REQUEST_COST_US / 1000.0;
            let burst_ms = connections as f64 * (BURST_REQUESTS + 2.0) * REQUEST_COST_US / 1000.0;
            let max_ms = 10_000.0 * cores * 0.05 + burst_ms;
            assert!(work_ms <= 1.1 * max_ms, "{cores} cores, {connections}: {work_ms} ms, at most {max_ms}");
            let (least, most) = (counts.iter().min(), counts.iter().max());
            let is_even = most.expect("not empty") <= &(3 * least.expect("not empty"));
            assert!(is_even, "the share is divided evenly: {counts:?}");
        }
    }
}

#[test]
fn a_heavy_connection_that_rests_may_do_a_burst_again() {
    let mut budget = WorkBudget::new(1.0);
    let mut meter = WorkMeter::default();
    while budget.charge(1, &mut meter, REQUEST_COST_US, 0.0) == 0.0 {}
    assert_eq!(budget.heavy_count(), 1);
    assert_eq!(budget.charge(1, &mut meter, REQUEST_COST_US, 1000.0), 0.0);
    assert_eq!(budget.heavy_count(), 0);
    assert!(budget.charge(2, &mut WorkMeter::default(), 10_000.0, 0.0) > 0.0, "more than a burst");
    budget.remove(2);
    assert_eq!(budget.heavy_count(), 0, "a connection that has ended is not heavy");
}

/// Makes `count` connections heavy, with more work than they can pay for in the test.
fn heavy_connections(budget: &mut WorkBudget, count: u64) {
    for id in 0..count {
        assert!(budget.charge(id, &mut WorkMeter::default(), 1e9, 0.0) > 0.0, "more than a burst");
    }
}

// Guards against ordinary clients that pause because many others flood (review case 9).
#[test]
fn a_connection_with_one_request_at_a_time_never_pauses_beside_any_number_of_heavy_ones() {
    // A request with a body of 12 KB, in five reads, and the next one 30 ms after the response.
    const COST_US: f64 = REQUEST_COST_US + 5.0 * READ_COST_US;
    for cores in [1.0, 0.1] {
        for heavy_count in [0, 1, 330, 900] {
            let mut budget = WorkBudget::new(cores);
            heavy_connections(&mut budget, heavy_count);
            let mut meter = WorkMeter::default();
            for number in 0..10_000 {
                let now_ms = f64::from(number) * 35.0;
                let pause_ms = budget.charge(1000, &mut meter, COST_US, now_ms);
                assert_eq!(pause_ms, 0.0, "{cores} cores, {heavy_count} heavy: request {number}");
            }
        }
    }
}

// Guards against a connection that floods once and then waits behind all others for good.
#[test]
fn a_heavy_connection_that_becomes_ordinary_pauses_no_more_beside_any_number_of_heavy_ones() {
    let mut budget = WorkBudget::new(1.0);
    heavy_connections(&mut budget, 900);
    let mut meter = WorkMeter::default();
    let mut now_ms = 0.0;
    while now_ms < 1000.0 {
        now_ms += budget.charge_backlog(1000, &mut meter, 100.0, now_ms);
    }
    let mut pause_count = 0;
    for _ in 0..100 {
        let pause_ms = budget.charge(1000, &mut meter, REQUEST_COST_US + READ_COST_US, now_ms);
        pause_count += usize::from(pause_ms > 0.0);
        now_ms += pause_ms + 35.0;
    }
    assert!(pause_count <= 3, "the rest between requests pays the debt: {pause_count} pauses");
}

// Guards against floods that earn work by the time for which their bytes wait for a busy processor.
#[test]
fn the_bytes_that_wait_for_a_busy_gateway_earn_no_work() {
    let mut budget = WorkBudget::new(1.0);
    let mut connections: Vec<(f64, WorkMeter, u32)> = vec![(0.0, WorkMeter::default(), 0); 900];
    // In each round, each connection waits for 20 ms until the others have done their requests.
    for round in 0..500 {
        let now_ms = f64::from(round) * 20.0;
        for (id, (resume_at_ms, meter, count)) in connections.iter_mut().enumerate() {
            if *resume_at_ms <= now_ms {
                *resume_at_ms = now_ms + budget.charge_backlog(id as u64, meter, REQUEST_COST_US, now_ms);
                *count += 1;
            }
        }
    }
    let work_ms =
        f64::from(connections.iter().map(|(_, _, count)| *count).sum::<u32>()) * REQUEST_COST_US / 1000.0;
    // The bursts, 5% of 10 s, and one request for each of the longest pauses.
    let max_ms = 900.0 * 6.4 + 500.0 + 900.0 * 20.0 * REQUEST_COST_US / 1000.0;
    assert!(work_ms <= max_ms, "{work_ms} ms of work in 10 s, at most {max_ms}");
}
