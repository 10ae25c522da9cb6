//! Real processes of the gateway between links that fail.
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
async fn every_case_of_the_fault_matrix_passes() {
    let results = matrix::play_all(&launch(), false, 4).await.expect("a site");
    assert!(results.len() >= 80, "{} cases", results.len());
    let bad: Vec<_> = results.into_iter().filter(|result| !result.passed()).collect();
    assert!(bad.is_empty(), "{}\n{bad:#?}", matrix::table(&bad));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drawn_schedules_violate_no_invariant() {
    for seed in [11, 12] {
        let schedule = Schedule::draw(seed, 5, 4, 6000, 20);
        assert!(schedule.steps.len() >= 4, "{schedule:?}");
        let config = SiteConfig { gateways: 5, hosts: 4, ..SiteConfig::default() };
        let mut site = Site::start(&launch(), config).await.expect("a site");
        let outcome = fault_schedule::play(&mut site, &schedule).await.expect("played");
        assert!(
            outcome.violations.is_empty(),
            "seed {seed}: {:#?}\n{}",
            outcome.violations,
            schedule.print().expect("text")
        );
        assert_eq!(outcome.recovered, 5, "seed {seed}");
        assert!(outcome.served > outcome.requests / 3, "seed {seed}: {outcome:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_demo_violates_no_invariant() {
    let kept = ternstack_fault_tests::demo::play(&launch(), Duration::from_secs(10)).await;
    assert!(matches!(kept, Ok(true)), "{kept:?}");
}

#[test]
fn a_schedule_is_printed_and_read_and_an_invalid_one_names_its_key() {
    for seed in 0..200 {
        let schedule = Schedule::draw(seed, 12, 6, 10_000, 40);
        let read = Schedule::read(&schedule.print().expect("text")).expect("sound");
        assert_eq!(read, schedule);
    }
    let good = "gateways = 3\nhosts = 2\nlength_ms = 900\n";
    let step = |at: u64, deed: &str| format!("[[steps]]\nat_ms = {at}\nfor_ms = 10\ndeed = {deed}\n");
    for (text, expected) in [
        (format!("{good}speed = 1\nsteps = []\n"), "speed"),
        (
            good.to_string() + &step(0, "{ kill = { gateway = 3 } }"),
            "steps[0].deed: unknown gateway: the site has 3 gateways",
        ),
        (
            good.to_string() + &step(0, "{ drain = { host = 2 } }"),
            "steps[0].deed: unknown host: the site has 2 hosts",
        ),
        (
            good.to_string()
                + &step(5, "{ pause = { gateway = 0 } }")
                + &step(4, "{ term = { gateway = 1 } }"),
            "steps[1].at_ms",
        ),
        (good.to_string() + &step(0, "{ melt = { gateway = 1 } }"), "melt"),
    ] {
        let problem = Schedule::read(&text).expect_err(expected);
        assert!(problem.to_string().contains(expected), "{problem}");
    }
}

#[test]
fn no_process_is_left_behind_when_the_program_is_killed() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut program = Command::new(PROGRAM)
        .args(["nemesis", "--gateways", "3", "--seconds", "60"])
        .env("TMPDIR", folder.path())
        .stdout(Stdio::null())
        .spawn()
        .expect("it runs");
    let children = || {
        let list =
            std::fs::read_to_string(format!("/proc/{0}/task/{0}/children", program.id())).unwrap_or_default();
        let threads =
            std::fs::read_dir(format!("/proc/{}/task", program.id())).into_iter().flatten().flatten();
        let all = threads
            .filter_map(|t| std::fs::read_to_string(t.path().join("children")).ok())
            .collect::<String>();
        (list + &all).split_whitespace().map(str::to_string).collect::<std::collections::BTreeSet<_>>()
    };
    let mut born = children();
    while born.len() < 3 {
        std::thread::sleep(Duration::from_millis(20));
        born = children();
    }
    program.kill().expect("killed");
    program.wait().expect("its end");
    let lives = |pid: &String| {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        status.contains("State:") && !status.contains("State:\tZ")
    };
    while born.iter().any(lives) {
        std::thread::sleep(Duration::from_millis(20));
    }
}
