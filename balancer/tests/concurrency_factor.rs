//! The concurrency factor: slow responses reduce the number of admitted requests.

mod common;

use common::*;

#[test]
fn late_responses_of_a_saturated_fleet_reduce_admission() {
    let rejected = slow_first_endpoint(7, 0.97, 190.0, 190.0).1;
    assert!(
        (70..140).contains(&rejected),
        "a concurrency factor of 0.4 admits at most a fraction of 0.4: {rejected} of 143 requests rejected"
    );
    assert_eq!(
        slow_first_endpoint(7, 0.97, 40.0, 40.0).1,
        0,
        "a busy fleet with fast responses rejects no request"
    );
    assert_eq!(
        slow_first_endpoint(20, 0.4, 190.0, 190.0).1,
        0,
        "a fleet with slow responses and low utilization rejects no request"
    );
}
