//! A small fleet of real processes keeps the invariants on state through changes, a killed distributor and
//! restarted gateways. The invariants on time are not checked here, because they depend on the load of the
//! machine.
use clap::Parser;
use ternstack_fault_tests::process::Launch;
use ternstack_scale_tests::invariants::Invariant;
use ternstack_scale_tests::options::Options;
use ternstack_scale_tests::run::{execute, LaunchCommands};

#[derive(Parser)]
struct Cli {
    #[command(flatten)]
    options: Options,
}

const SMALL_RUN: &str =
    "scale --quick --gateways 24 --hosts 120 --services 6 --tenants 200 --seconds 1 --fault kill \
                     restart-tenth-kept";

#[test]
fn small_fleet_keeps_its_state_when_a_distributor_is_killed_and_gateways_restart() -> Result<(), String> {
    let options = Cli::try_parse_from(SMALL_RUN.split_whitespace()).map_err(|e| e.to_string())?.options;
    let plans = options.plans()?;
    let worker = Launch {
        program: env!("CARGO_BIN_EXE_ternstack-scale-worker").into(),
        args: Vec::new(),
        variables: Vec::new(),
    };
    let launch_commands = LaunchCommands { worker, gateway: None };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let outcome = runtime.block_on(execute(&launch_commands, &plans[0], false, &|_| {}))?;
    let time_invariants = [Invariant::OneVersion, Invariant::Drains];
    let violations: Vec<_> =
        outcome.violations.iter().filter(|v| !time_invariants.contains(&v.invariant)).collect();
    assert!(violations.is_empty(), "expected no violation of the invariants on state: {violations:?}");
    assert_eq!((outcome.start.gateways, outcome.start.complete), (24, 24));
    assert_eq!(outcome.start.everything, (1, 1));
    assert!(outcome.accepted > 10, "expected more than 10 accepted proposals, got {}", outcome.accepted);
    let phases: Vec<_> = outcome.phases.iter().map(|r| r.phase.as_str()).collect();
    assert_eq!(phases, ["start, all at once", "quiet", "changes", "kill", "restart-tenth-kept"]);
    assert!(outcome.phases.iter().all(|p| p.missing == 0));
    assert!(outcome.drains.iter().all(|d| d.probed > 0));
    Ok(())
}
