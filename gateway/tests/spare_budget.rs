//! The spare connections: admission, and the order of eviction.
use ternstack_gateway::spare_budget::{SpareBudget, SpareGrant, SpareState};

#[test]
fn an_incomplete_request_gives_way_to_the_next_client_after_a_short_while() {
    let mut budget = SpareBudget::new(2);
    assert_eq!(budget.admit(0.0), SpareGrant::Admitted(1));
    assert_eq!(budget.admit(5.0), SpareGrant::Admitted(2));
    assert_eq!((budget.has_room(19.0), budget.admit(19.0)), (false, SpareGrant::Full));
    assert!(budget.has_room(20.0));
    assert_eq!(budget.admit(20.0), SpareGrant::Evicting { admitted: 3, evicted: 1 });
    assert_eq!(budget.admit(21.0), SpareGrant::Full, "the second connection may still get its request");
}

#[test]
fn a_connection_that_responds_is_not_evicted_and_a_lingering_one_is_evicted_last() {
    let mut budget = SpareBudget::new(2);
    let SpareGrant::Admitted(first) = budget.admit(0.0) else { panic!("there is room") };
    budget.set_state(first, SpareState::Responding, 1.0);
    let SpareGrant::Admitted(second) = budget.admit(2.0) else { panic!("there is room") };
    budget.set_state(second, SpareState::Responding, 3.0);
    assert_eq!(budget.admit(5000.0), SpareGrant::Full);
    budget.set_state(first, SpareState::Lingering, 5000.0);
    assert_eq!(budget.admit(5019.0), SpareGrant::Full, "the client may still read its rejection");
    assert_eq!(budget.admit(5020.0), SpareGrant::Evicting { admitted: 3, evicted: first });
    budget.set_state(second, SpareState::Lingering, 5050.0);
    assert_eq!(budget.admit(6000.0), SpareGrant::Evicting { admitted: 4, evicted: 3 });
    budget.remove(second);
    assert_eq!(budget.admit(6000.0), SpareGrant::Admitted(5));
}
