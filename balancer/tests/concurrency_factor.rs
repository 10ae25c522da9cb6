//! The concurrency factor: late responses reduce what a gateway sends.

mod common;

use common::*;

#[test]
fn late_responses_of_a_saturated_fleet_reduce_admission() {
    let rejected = slow_first_endpoint(7, 0.97, 190.0, 190.0).1;
    assert!(
        (70..140).contains(&rejected),
        "a concurrency factor of 0.4 admits 0.4 at most: {rejected} of 143"
    );
    assert_eq!(slow_first_endpoint(7, 0.97, 40.0, 40.0).1, 0, "busy, but in time");
    assert_eq!(slow_first_endpoint(20, 0.4, 190.0, 190.0).1, 0, "late, but not saturated");
}
