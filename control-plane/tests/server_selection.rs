//! Whom a member calls, and when it leaves.
use ternstack_control_plane::server_selection::{FailbackCandidate, ServerSelection};

const LEASE_TIMEOUT_MS: f64 = 950.0;

fn selection(seed: u64) -> ServerSelection {
    ServerSelection::new(vec![4, 2, 7], LEASE_TIMEOUT_MS, seed)
}

#[test]
fn machines_are_called_in_order_and_pauses_do_not_grow() {
    let mut selection = selection(1);
    let mut called = Vec::new();
    let mut pauses = Vec::new();
    for _ in 0..300 {
        called.push(selection.current_server());
        pauses.push(selection.on_failure());
    }
    assert_eq!(&called[..7], [4, 2, 7, 4, 2, 7, 4]);
    assert!(pauses[..2].iter().all(|p| (0.0..40.0).contains(p)), "{:?}", &pauses[..2]);
    assert!(pauses.iter().all(|p| (0.0..500.0).contains(p)));
    let mean = |pauses: &[f64]| pauses.iter().sum::<f64>() / pauses.len() as f64;
    assert!((mean(&pauses[2..150]) - mean(&pauses[150..])).abs() < 60.0);
}

#[test]
fn a_machine_is_left_after_half_a_lease_without_one_or_without_a_word() {
    let mut selection = selection(2);
    selection.on_connected(100.0);
    assert_eq!(selection.deadline_ms(), 100.0 + LEASE_TIMEOUT_MS);
    selection.on_lease_renewed(400.0);
    assert_eq!(selection.deadline_ms(), 400.0 + LEASE_TIMEOUT_MS);
    // Answers without a lease keep it no longer.
    selection.on_received(1000.0);
    assert_eq!(selection.deadline_ms(), 400.0 + LEASE_TIMEOUT_MS);
}

#[test]
fn where_no_machine_gives_a_lease_one_that_answers_is_kept_and_a_silent_one_is_not() {
    let mut selection = selection(3);
    for _ in 0..3 {
        selection.on_connected(0.0);
        assert_eq!(selection.deadline_ms(), LEASE_TIMEOUT_MS);
        selection.on_failure();
    }
    selection.on_connected(0.0);
    assert_eq!(selection.deadline_ms(), LEASE_TIMEOUT_MS, "a silent one");
    selection.on_received(20_000.0);
    let leave = selection.deadline_ms();
    assert!((15_000.0..=20_000.0 + LEASE_TIMEOUT_MS).contains(&leave), "{leave}");
    // A lease ends that: from then on half a lease counts again.
    selection.on_lease_renewed(30_000.0);
    assert_eq!(selection.deadline_ms(), 30_000.0 + LEASE_TIMEOUT_MS);
}

#[test]
fn better_machines_are_tried_in_turn_with_patience_at_moments_of_ones_own() {
    let mut all = Vec::new();
    for seed in 0..200 {
        let mut selection = selection(seed);
        selection.on_connected(0.0);
        assert_eq!(selection.next_failback_at_ms(), f64::INFINITY, "it is at the best");
        selection.on_failure();
        selection.on_failure();
        selection.on_connected(0.0);
        assert_eq!(selection.current_server(), 7);
        let at = selection.next_failback_at_ms();
        assert!((20_000.0..40_000.0).contains(&at), "{at}");
        all.push(at);
        assert_eq!(selection.next_failback_candidate(at), Some(FailbackCandidate { rank: 0, server: 4 }));
        let next = selection.next_failback_at_ms();
        assert!(next >= at + 20_000.0);
        assert_eq!(selection.next_failback_candidate(next), Some(FailbackCandidate { rank: 1, server: 2 }));
        assert_eq!(selection.next_failback_candidate(next), Some(FailbackCandidate { rank: 0, server: 4 }));
        selection.on_failback(0);
        selection.on_connected(next);
        assert_eq!((selection.current_server(), selection.next_failback_at_ms()), (4, f64::INFINITY));
    }
    // No herd: of 200 members no tenth comes within a fiftieth of the time.
    let most = (0..50).map(|n| 20_000.0 + f64::from(n) * 400.0);
    let most = most.map(|from| all.iter().filter(|at| (from..from + 400.0).contains(*at)).count()).max();
    assert!(most < Some(20), "{most:?}");
}
