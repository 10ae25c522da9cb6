//! Command-line options: defaults, steps, fault names, and rejected values.
use clap::Parser;
use ternstack_scale_tests::faults::Fault;
use ternstack_scale_tests::options::{Options, Plan};

#[derive(Parser)]
struct Cli {
    #[command(flatten)]
    options: Options,
}

fn parse_plans(arguments: &str) -> Result<Vec<Plan>, String> {
    let arguments = std::iter::once("scale").chain(arguments.split_whitespace());
    Cli::try_parse_from(arguments).map_err(|e| e.to_string())?.options.plans()
}

#[test]
fn plan_has_full_size_without_options() -> Result<(), String> {
    let plan = &parse_plans("")?[0];
    let size = plan.size;
    assert_eq!((size.gateways, size.hosts, size.services), (8900, 200_000, 3700));
    assert_eq!((size.routes, size.tenants, size.regions, size.zones), (41_000, 670_000, 6, 15));
    assert_eq!((plan.distributors, plan.hollow_workers()), (30, 10));
    assert!((plan.host_changes_per_s - 2.156).abs() < 0.01);
    Ok(())
}

#[test]
fn steps_scale_the_installation_and_keep_the_rates_of_changes() -> Result<(), String> {
    let plans = parse_plans("--steps 89,890,8900")?;
    let sizes: Vec<_> = plans.iter().map(|p| (p.size.gateways, p.size.hosts, p.size.services)).collect();
    assert_eq!(sizes, [(89, 2000, 37), (890, 20_000, 370), (8900, 200_000, 3700)]);
    assert!(plans
        .iter()
        .all(|p| p.changes_per_s == 0.7 && p.host_changes_per_s == plans[2].host_changes_per_s));
    assert_eq!(plans.iter().map(|p| p.distributors).collect::<Vec<_>>(), [2, 3, 30]);
    Ok(())
}

#[test]
fn faults_are_selected_by_name() -> Result<(), String> {
    assert_eq!(parse_plans("--fault all")?[0].faults, Fault::ALL);
    for fault in Fault::ALL {
        assert_eq!(parse_plans(&format!("--fault {}", fault.name()))?[0].faults, [fault]);
    }
    Ok(())
}

#[test]
fn invalid_options_are_rejected_with_the_flag_or_value_at_fault() {
    for (arguments, expected) in [
        ("--gateways many", "--gateways"),
        ("--gatways 9", "--gatways"),
        ("--gateways 0", "--gateways"),
        ("--hosts 10", "--hosts"),
        ("--fault earthquake", "earthquake"),
        ("--changes-per-s -1", "-1"),
        ("--changes-per-s 5000", "--changes-per-s"),
        ("--lease-ms 1", "--lease-ms"),
        ("--seconds 0", "--seconds"),
        ("--zipf 9", "--zipf"),
        ("--per-process 1", "--per-process"),
        ("--distributors 0", "--distributors"),
        ("--steps 1,2 --host-steps 3", "--host-steps"),
    ] {
        let error = parse_plans(arguments).err().unwrap_or_default();
        assert!(
            error.contains(expected),
            "{arguments}: expected an error that names {expected}, got {error:?}"
        );
    }
}
