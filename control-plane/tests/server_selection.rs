//! The order in which a client tries control servers, and the time at which the client leaves a server.
use ternstack_control_plane::server_selection::{FailbackCandidate, ServerSelection};

const LEASE_TIMEOUT_MS: f64 = 950.0;

fn selection(seed: u64) -> ServerSelection {
    ServerSelection::new(vec![4, 2, 7], LEASE_TIMEOUT_MS, seed)
}

#[test]
fn servers_are_tried_in_ranking_order_with_bounded_backoff() {
    let mut selection = selection(1);
    let mut tried_servers = Vec::new();
    let mut backoffs_ms = Vec::new();
    for _ in 0..300 {
        tried_servers.push(selection.current_server());
        backoffs_ms.push(selection.on_failure());
    }
    assert_eq!(&tried_servers[..7], [4, 2, 7, 4, 2, 7, 4]);
    assert!(
        backoffs_ms[..2].iter().all(|backoff_ms| (0.0..40.0).contains(backoff_ms)),
        "the first backoffs are short: {:?}",
        &backoffs_ms[..2]
    );
    assert!(backoffs_ms.iter().all(|backoff_ms| (0.0..500.0).contains(backoff_ms)));
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    assert!((mean(&backoffs_ms[2..150]) - mean(&backoffs_ms[150..])).abs() < 60.0);
}

#[test]
fn server_is_left_when_no_lease_or_no_byte_arrives_for_half_a_lease() {
    let mut selection = selection(2);
    selection.on_connected(100.0);
    assert_eq!(selection.deadline_ms(), 100.0 + LEASE_TIMEOUT_MS);
    selection.on_lease_renewed(400.0);
    assert_eq!(selection.deadline_ms(), 400.0 + LEASE_TIMEOUT_MS);
    // Responses without a lease do not extend the deadline.
    selection.on_received(1000.0);
    assert_eq!(selection.deadline_ms(), 400.0 + LEASE_TIMEOUT_MS);
}

#[test]
fn responsive_server_is_kept_longer_than_a_silent_one_when_no_server_grants_a_lease() {
    let mut selection = selection(3);
    for _ in 0..3 {
        selection.on_connected(0.0);
        assert_eq!(selection.deadline_ms(), LEASE_TIMEOUT_MS);
        selection.on_failure();
    }
    selection.on_connected(0.0);
    assert_eq!(selection.deadline_ms(), LEASE_TIMEOUT_MS, "a silent server is left after the normal timeout");
    selection.on_received(20_000.0);
    let deadline_ms = selection.deadline_ms();
    assert!(
        (15_000.0..=20_000.0 + LEASE_TIMEOUT_MS).contains(&deadline_ms),
        "a responsive server has the extended timeout, not a deadline of {deadline_ms} ms"
    );
    // Once the server grants a lease, the normal timeout of half a lease applies again.
    selection.on_lease_renewed(30_000.0);
    assert_eq!(selection.deadline_ms(), 30_000.0 + LEASE_TIMEOUT_MS);
}

#[test]
fn failback_tries_higher_ranked_servers_in_turn_at_times_spread_over_clients() {
    let mut first_failback_times_ms = Vec::new();
    for seed in 0..200 {
        let mut selection = selection(seed);
        selection.on_connected(0.0);
        assert_eq!(
            selection.next_failback_at_ms(),
            f64::INFINITY,
            "no failback is scheduled at the preferred server"
        );
        selection.on_failure();
        selection.on_failure();
        selection.on_connected(0.0);
        assert_eq!(selection.current_server(), 7);
        let first_ms = selection.next_failback_at_ms();
        assert!(
            (20_000.0..40_000.0).contains(&first_ms),
            "the first failback is due within the interval, not at {first_ms} ms"
        );
        first_failback_times_ms.push(first_ms);
        assert_eq!(
            selection.next_failback_candidate(first_ms),
            Some(FailbackCandidate { rank: 0, server: 4 })
        );
        let second_ms = selection.next_failback_at_ms();
        assert!(second_ms >= first_ms + 20_000.0);
        assert_eq!(
            selection.next_failback_candidate(second_ms),
            Some(FailbackCandidate { rank: 1, server: 2 })
        );
        assert_eq!(
            selection.next_failback_candidate(second_ms),
            Some(FailbackCandidate { rank: 0, server: 4 })
        );
        selection.on_failback(0);
        selection.on_connected(second_ms);
        assert_eq!((selection.current_server(), selection.next_failback_at_ms()), (4, f64::INFINITY));
    }
    // All clients must not connect to a recovered server at once: of 200 clients, fewer than a tenth try to
    // connect within the same fiftieth of the interval.
    let slot_starts_ms = (0..50).map(|slot| 20_000.0 + f64::from(slot) * 400.0);
    let busiest_slot = slot_starts_ms
        .map(|start_ms| {
            first_failback_times_ms
                .iter()
                .filter(|time_ms| (start_ms..start_ms + 400.0).contains(*time_ms))
                .count()
        })
        .max();
    assert!(busiest_slot < Some(20), "{busiest_slot:?} of 200 clients try to fail back in the same slot");
}
