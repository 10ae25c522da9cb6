//! The correlation ids in use: reservation, release, and retention after the request has ended.
use ternstack_gateway::correlation_ids::{CorrelationIds, MAX_RETAINED_IDS, RETENTION_MS};

#[test]
fn an_id_is_in_use_until_it_is_released() {
    let mut ids = CorrelationIds::default();
    let reserved = ids.reserve(b"a", 0.0).expect("the id is free");
    assert_eq!(ids.reserve(b"a", 1.0), None, "the request is open");
    assert!(ids.reserve(b"b", 1.0).is_some(), "another id is free");
    ids.release(reserved, false, 2.0);
    assert!(ids.reserve(b"a", 3.0).is_some(), "the request has ended");
}

#[test]
fn a_retained_id_is_in_use_until_its_retention_ends() {
    let mut ids = CorrelationIds::default();
    let reserved = ids.reserve(b"a", 0.0).expect("the id is free");
    ids.release(reserved, true, 100.0);
    assert_eq!(ids.reserve(b"a", 100.0 + RETENTION_MS - 1.0), None, "the request may have run");
    assert!(ids.reserve(b"a", 100.0 + RETENTION_MS).is_some());
}

#[test]
fn retained_ids_are_bounded_and_the_oldest_is_dropped_first() {
    let mut ids = CorrelationIds::default();
    for number in 0..3 * MAX_RETAINED_IDS {
        let reserved = ids.reserve(&number.to_be_bytes(), number as f64 / 1000.0).expect("the id is new");
        ids.release(reserved, true, number as f64 / 1000.0);
        assert!(ids.count() <= MAX_RETAINED_IDS);
    }
    let now_ms = 3.0 * MAX_RETAINED_IDS as f64 / 1000.0;
    let newest = 3 * MAX_RETAINED_IDS - 1;
    assert_eq!(ids.reserve(&newest.to_be_bytes(), now_ms), None, "the newest id is still in use");
    assert!(ids.reserve(&0_usize.to_be_bytes(), now_ms).is_some(), "the oldest id has been dropped");
}
