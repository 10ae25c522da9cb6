//! Real processes of the gateway between links that fail.
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;
use ternstack_fault_tests::matrix;
use ternstack_fault_tests::nemesis::{self, Schedule};
use ternstack_fault_tests::process::Launch;
use ternstack_fault_tests::site::{Site, Size};

const RIG: &str = env!("CARGO_BIN_EXE_ternstack-fault-tests");

fn launch() -> Launch {
    Launch { program: PathBuf::from(RIG), args: vec!["gateway".into()], variables: vec![] }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_line_of_the_fault_matrix_keeps_all_promises() {
    let rows = matrix::play_all(&launch(), false, 4).await.expect("a rig");
    assert!(rows.len() >= 80, "{} lines", rows.len());
    let bad: Vec<_> = rows.into_iter().filter(|row| !row.kept()).collect();
    assert!(bad.is_empty(), "{}\n{bad:#?}", matrix::table(&bad));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drawn_schedules_break_no_promise() {
    for seed in [11, 12] {
        let schedule = Schedule::draw(seed, 5, 4, 6000, 20);
        assert!(schedule.steps.len() >= 4, "{schedule:?}");
        let size = Size { gateways: 5, hosts: 4, ..Size::default() };
        let mut site = Site::start(&launch(), size).await.expect("a rig");
        let played = nemesis::play(&mut site, &schedule).await.expect("played");
        assert!(
            played.offences.is_empty(),
            "seed {seed}: {:#?}\n{}",
            played.offences,
            schedule.print().expect("text")
        );
        assert_eq!(played.back, 5, "seed {seed}");
        assert!(played.served > played.messages / 3, "seed {seed}: {played:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_demo_keeps_every_promise() {
    assert_eq!(ternstack_fault_tests::demo::play(&launch(), Duration::from_secs(10)).await, Ok(true));
}

#[test]
fn a_schedule_is_printed_and_read_and_a_bad_one_names_its_key() {
    for seed in 0..200 {
        let schedule = Schedule::draw(seed, 12, 6, 10_000, 40);
        let read = Schedule::read(&schedule.print().expect("text")).expect("sound");
        assert_eq!(read, schedule);
    }
    let good = "gateways = 3\nhosts = 2\nlength_ms = 900\n";
    let step = |at: u64, deed: &str| format!("[[steps]]\nat_ms = {at}\nfor_ms = 10\ndeed = {deed}\n");
    for (text, expected) in [
        (format!("{good}speed = 1\nsteps = []\n"), "speed"),
        (good.to_string() + &step(0, "{ kill = { gateway = 3 } }"), "steps[0].deed: there are 3 gateways"),
        (good.to_string() + &step(0, "{ drain = { host = 2 } }"), "steps[0].deed: there are 2 hosts"),
        (
            good.to_string()
                + &step(5, "{ pause = { gateway = 0 } }")
                + &step(4, "{ term = { gateway = 1 } }"),
            "steps[1].at_ms",
        ),
        (good.to_string() + &step(0, "{ melt = { gateway = 1 } }"), "melt"),
    ] {
        let problem = Schedule::read(&text).expect_err(expected);
        assert!(problem.contains(expected), "{problem}");
    }
}

#[test]
fn a_rig_that_is_killed_leaves_no_process_behind() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut rig = Command::new(RIG)
        .args(["nemesis", "--gateways", "3", "--seconds", "60"])
        .env("TMPDIR", folder.path())
        .stdout(Stdio::null())
        .spawn()
        .expect("it runs");
    let children = || {
        let list =
            std::fs::read_to_string(format!("/proc/{0}/task/{0}/children", rig.id())).unwrap_or_default();
        let threads = std::fs::read_dir(format!("/proc/{}/task", rig.id())).into_iter().flatten().flatten();
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
    rig.kill().expect("killed");
    rig.wait().expect("its end");
    let lives = |pid: &String| {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        status.contains("State:") && !status.contains("State:\tZ")
    };
    while born.iter().any(lives) {
        std::thread::sleep(Duration::from_millis(20));
    }
}
