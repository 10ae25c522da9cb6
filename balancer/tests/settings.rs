//! Settings: faulty ones are named.

mod common;

use common::*;
use ternstack_balancer::*;

#[test]
fn faulty_settings_are_named() {
    let mut faulty = settings();
    faulty.gateway_count = 0;
    assert_eq!(Balancer::new(faulty, 1).expect_err("rejected").setting, "instances");
    let mut faulty = settings();
    faulty.classes.clear();
    assert_eq!(Balancer::new(faulty, 1).expect_err("rejected").setting, "classes");
    let mut faulty = settings();
    faulty.classes[0].latency_objective_ms = f64::NAN;
    assert!(Balancer::new(faulty, 1).expect_err("rejected").to_string().contains("classes.aim_ms"));
    for (nines, top, setting) in [(-1.0, None, "nines"), (0.3, Some(0.0), "top_nines")] {
        let mut faulty = settings();
        (faulty.availability_weight, faulty.availability_target_nines) = (nines, top);
        assert_eq!(Balancer::new(faulty, 1).expect_err("rejected").setting, setting);
    }
}
