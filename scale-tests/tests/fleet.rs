//! The scale run's twin: a small fleet of real processes through changes and a killed distributor, judged by counts and
//! digests. What the judge says of times depends on the machine, so that is left to the run itself.
use clap::Parser;
use ternstack_fault_tests::process::Launch;
use ternstack_scale_tests::invariants::Promise;
use ternstack_scale_tests::options::Options;
use ternstack_scale_tests::run::{play, LaunchCommands};

#[derive(Parser)]
struct Cli {
    #[command(flatten)]
    options: Options,
}

const SMALL: &str =
    "scale --quick --gateways 24 --hosts 120 --services 6 --tenants 200 --seconds 1 --fault kill \
                     restart-tenth-kept";

#[test]
fn a_small_fleet_holds_the_same_state_through_a_kill() -> Result<(), String> {
    let options = Cli::try_parse_from(SMALL.split_whitespace()).map_err(|e| e.to_string())?.options;
    let plans = options.plans()?;
    let worker = Launch {
        program: env!("CARGO_BIN_EXE_ternstack-scale-worker").into(),
        args: Vec::new(),
        variables: Vec::new(),
    };
    let launches = LaunchCommands { worker, gateway: None };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let outcome = runtime.block_on(play(&launches, &plans[0], false, &|_| {}))?;
    let timed = [Promise::OneVersion, Promise::Drains];
    let broken: Vec<_> = outcome.offences.iter().filter(|o| !timed.contains(&o.promise)).collect();
    assert!(broken.is_empty(), "{broken:?}");
    assert_eq!((outcome.start.gateways, outcome.start.whole), (24, 24));
    assert_eq!(outcome.start.everything, (1, 1));
    assert!(outcome.accepted > 10, "{} proposals accepted", outcome.accepted);
    let names: Vec<_> = outcome.rows.iter().map(|r| r.phase.as_str()).collect();
    assert_eq!(names, ["start, all at once", "quiet", "changes", "kill", "restart-tenth-kept"]);
    assert!(outcome.rows.iter().all(|r| r.missing == 0));
    assert!(outcome.drains.iter().all(|d| d.asked > 0));
    Ok(())
}
