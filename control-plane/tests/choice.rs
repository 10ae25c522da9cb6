//! Whom a member calls, and when it leaves.
use ternstack_control_plane::choice::Choice;

const PATIENCE: f64 = 950.0;

fn choice(seed: u64) -> Choice {
    Choice::new(vec![4, 2, 7], PATIENCE, seed)
}

#[test]
fn machines_are_called_in_order_and_pauses_do_not_grow() {
    let mut choice = choice(1);
    let mut called = Vec::new();
    let mut pauses = Vec::new();
    for _ in 0..300 {
        called.push(choice.machine());
        pauses.push(choice.failed());
    }
    assert_eq!(&called[..7], [4, 2, 7, 4, 2, 7, 4]);
    assert!(pauses[..2].iter().all(|p| (0.0..40.0).contains(p)), "{:?}", &pauses[..2]);
    assert!(pauses.iter().all(|p| (0.0..500.0).contains(p)));
    let mean = |pauses: &[f64]| pauses.iter().sum::<f64>() / pauses.len() as f64;
    assert!((mean(&pauses[2..150]) - mean(&pauses[150..])).abs() < 60.0);
}

#[test]
fn a_machine_is_left_after_half_a_lease_without_one_or_without_a_word() {
    let mut choice = choice(2);
    choice.connected(100.0);
    assert_eq!(choice.leave_at(), 100.0 + PATIENCE);
    choice.renewed(400.0);
    assert_eq!(choice.leave_at(), 400.0 + PATIENCE);
    // Answers without a lease keep it no longer.
    choice.heard(1000.0);
    assert_eq!(choice.leave_at(), 400.0 + PATIENCE);
}

#[test]
fn where_no_machine_gives_a_lease_one_that_answers_is_kept_and_a_silent_one_is_not() {
    let mut choice = choice(3);
    for _ in 0..3 {
        choice.connected(0.0);
        assert_eq!(choice.leave_at(), PATIENCE);
        choice.failed();
    }
    choice.connected(0.0);
    assert_eq!(choice.leave_at(), PATIENCE, "a silent one");
    choice.heard(20_000.0);
    let leave = choice.leave_at();
    assert!((15_000.0..=20_000.0 + PATIENCE).contains(&leave), "{leave}");
    // A lease ends that: from then on half a lease counts again.
    choice.renewed(30_000.0);
    assert_eq!(choice.leave_at(), 30_000.0 + PATIENCE);
}

#[test]
fn better_machines_are_tried_in_turn_with_patience_at_moments_of_ones_own() {
    let mut all = Vec::new();
    for seed in 0..200 {
        let mut choice = choice(seed);
        choice.connected(0.0);
        assert_eq!(choice.better_at(), f64::INFINITY, "it is at the best");
        choice.failed();
        choice.failed();
        choice.connected(0.0);
        assert_eq!(choice.machine(), 7);
        let at = choice.better_at();
        assert!((20_000.0..40_000.0).contains(&at), "{at}");
        all.push(at);
        assert_eq!(choice.better(at), Some((0, 4)));
        let next = choice.better_at();
        assert!(next >= at + 20_000.0);
        assert_eq!(choice.better(next), Some((1, 2)));
        assert_eq!(choice.better(next), Some((0, 4)));
        choice.taken(0);
        choice.connected(next);
        assert_eq!((choice.machine(), choice.better_at()), (4, f64::INFINITY));
    }
    // No herd: of 200 members no tenth comes within a fiftieth of the time.
    let most = (0..50).map(|n| 20_000.0 + f64::from(n) * 400.0);
    let most = most.map(|from| all.iter().filter(|at| (from..from + 400.0).contains(*at)).count()).max();
    assert!(most < Some(20), "{most:?}");
}
