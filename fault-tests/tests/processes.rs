//! Real gateway processes connected by links with injected faults.
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;
use ternstack_fault_tests::fault_schedule::{self, Schedule};
use ternstack_fault_tests::matrix;
use ternstack_fault_tests::process::Launch;
use ternstack_fault_tests::site::{Site, SiteConfig};

const PROGRAM: &str = env!("CARGO_BIN_EXE_ternstack-fault-tests");

fn launch() -> Launch {
    Launch { program: PathBuf::from(PROGRAM), args: vec!["gateway".into()], variables: vec![] }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fault_matrix_passes_in_every_case() {
    let results = matrix::play_all(&launch(), false, 4).await.expect("every case can be played");
    assert!(results.len() >= 80, "{} cases", results.len());
    let failed: Vec<_> = results.into_iter().filter(|result| !result.passed()).collect();
    assert!(failed.is_empty(), "{}\n{failed:#?}", matrix::table(&failed));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn gateways_keep_invariants_under_drawn_fault_schedules() {
    for seed in [11, 12] {
        let schedule = Schedule::draw(seed, 5, 4, 6000, 20);
        assert!(schedule.steps.len() >= 4, "{schedule:?}");
        let config = SiteConfig { gateways: 5, hosts: 4, ..SiteConfig::default() };
        let mut site = Site::start(&launch(), config).await.expect("the site starts");
        let outcome =
            fault_schedule::play(&mut site, &schedule).await.expect("the schedule can be played to its end");
        assert!(
            outcome.violations.is_empty(),
            "seed {seed}: {:#?}\n{}",
            outcome.violations,
            schedule.print().expect("the schedule can be printed as TOML")
        );
        assert_eq!(outcome.recovered, 5, "seed {seed}");
        assert!(outcome.served > outcome.requests / 3, "seed {seed}: {outcome:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn demo_violates_no_invariant() {
    let result = ternstack_fault_tests::demo::play(&launch(), Duration::from_secs(10)).await;
    assert!(matches!(result, Ok(true)), "{result:?}");
}

#[test]
fn printed_schedules_parse_and_invalid_schedules_are_rejected_by_key() {
    for seed in 0..200 {
        let schedule = Schedule::draw(seed, 12, 6, 10_000, 40);
        let parsed = Schedule::read(&schedule.print().expect("the schedule can be printed as TOML"))
            .expect("a printed schedule can be parsed");
        assert_eq!(parsed, schedule);
    }
    let header = "gateways = 3\nhosts = 2\nlength_ms = 900\n";
    let step = |at: u64, deed: &str| format!("[[steps]]\nat_ms = {at}\nfor_ms = 10\ndeed = {deed}\n");
    for (text, expected) in [
        (format!("{header}speed = 1\nsteps = []\n"), "speed"),
        (
            header.to_string() + &step(0, "{ kill = { gateway = 3 } }"),
            "steps[0].deed: unknown gateway: the site has 3 gateways",
        ),
        (
            header.to_string() + &step(0, "{ drain = { host = 2 } }"),
            "steps[0].deed: unknown host: the site has 2 hosts",
        ),
        (
            header.to_string()
                + &step(5, "{ pause = { gateway = 0 } }")
                + &step(4, "{ term = { gateway = 1 } }"),
            "steps[1].at_ms",
        ),
        (header.to_string() + &step(0, "{ melt = { gateway = 1 } }"), "melt"),
    ] {
        let error = Schedule::read(&text).expect_err(expected);
        assert!(error.to_string().contains(expected), "{error}");
    }
}

#[test]
fn gateway_processes_exit_when_the_program_is_killed() {
    let folder = tempfile::tempdir().expect("a temporary directory can be created");
    let mut program = Command::new(PROGRAM)
        .args(["nemesis", "--gateways", "3", "--seconds", "60"])
        .env("TMPDIR", folder.path())
        .stdout(Stdio::null())
        .spawn()
        .expect("the program starts");
    let children = || {
        let of_main_thread =
            std::fs::read_to_string(format!("/proc/{0}/task/{0}/children", program.id())).unwrap_or_default();
        let threads =
            std::fs::read_dir(format!("/proc/{}/task", program.id())).into_iter().flatten().flatten();
        let of_threads = threads
            .filter_map(|thread| std::fs::read_to_string(thread.path().join("children")).ok())
            .collect::<String>();
        (of_main_thread + &of_threads)
            .split_whitespace()
            .map(str::to_string)
            .collect::<std::collections::BTreeSet<_>>()
    };
    let mut gateways = children();
    while gateways.len() < 3 {
        std::thread::sleep(Duration::from_millis(20));
        gateways = children();
    }
    program.kill().expect("the program can be killed");
    program.wait().expect("the program can be awaited");
    let is_running = |pid: &String| {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        status.contains("State:") && !status.contains("State:\tZ")
    };
    while gateways.iter().any(is_running) {
        std::thread::sleep(Duration::from_millis(20));
    }
}
