//! Settings: validation errors.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn errors_name_the_invalid_setting() {
    let mut invalid = settings();
    invalid.gateway_count = 0;
    assert_eq!(Balancer::new(invalid, 1).expect_err("the settings are invalid").setting, "instances");
    let mut invalid = settings();
    invalid.classes.clear();
    assert_eq!(Balancer::new(invalid, 1).expect_err("the settings are invalid").setting, "classes");
    let mut invalid = settings();
    invalid.classes[0].latency_objective_ms = f64::NAN;
    assert!(Balancer::new(invalid, 1)
        .expect_err("the settings are invalid")
        .to_string()
        .contains("classes.aim_ms"));
    for (weight, target_nines, setting) in [(-1.0, None, "nines"), (0.3, Some(0.0), "top_nines")] {
        let mut invalid = settings();
        (invalid.availability_weight, invalid.availability_target_nines) = (weight, target_nines);
        assert_eq!(Balancer::new(invalid, 1).expect_err("the settings are invalid").setting, setting);
    }
}
