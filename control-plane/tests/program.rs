//! The program itself: machines as processes, and the staff's commands against them. No outcome here depends on speed.
mod common;
use common::LONG;
use std::net::TcpListener;
use std::path::Path;
use std::process::Stdio;
use tokio::process::{Child, Command};
use tokio::time::timeout;

fn program(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ternstack-control"));
    command.args(args).stdin(Stdio::null()).kill_on_drop(true);
    command
}

/// Runs it to its end: the exit code, what it prints, and what it complains of.
async fn run(args: &[&str]) -> (Option<i32>, String, String) {
    let output = timeout(LONG, program(args).output()).await.expect("it ends").expect("it starts");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

fn start(role: &str, operator: &str, name: &str) -> Child {
    let mut command = program(&[role, "--operator", operator, "--name", name, "--log", "warn"]);
    command.stderr(Stdio::null()).spawn().expect("it starts")
}

/// Ports that were free a moment ago, all different.
fn ports<const N: usize>() -> [u16; N] {
    let all = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    all.map(|listener| listener.local_addr().expect("an address").port())
}

fn write(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(name);
    std::fs::write(&path, text).expect("it can be written");
    path.display().to_string()
}

/// Ends it as an operator would.
async fn stop(mut child: Child) -> Option<i32> {
    let id = child.id().expect("it runs");
    let told = Command::new("kill").args(["-TERM", &id.to_string()]).status().await.expect("kill is there");
    assert!(told.success());
    timeout(LONG, child.wait()).await.expect("it ends").expect("it was started here").code()
}

#[tokio::test]
async fn servers_start_take_proposals_report_their_status_and_stop() {
    let dir = tempfile::tempdir().expect("a directory");
    let [o, d] = ports();
    let operator = format!(
        "[terms]\nlease_ms = 700.0\nbatch_ms = 20.0\n[[zone]]\nname = \"a\"\nnumber = 1\nregion = \"r\"\n\
         [[service]]\nname = \"desks\"\nnumber = 7\n\
         [[machine]]\nname = \"o\"\naddress = \"127.0.0.1:{o}\"\nrole = \"origin\"\nzone = \"a\"\n\
         [[machine]]\nname = \"d\"\naddress = \"127.0.0.1:{d}\"\nrole = \"distributor\"\nzone = \"a\"\n"
    );
    let operator = write(dir.path(), "op.toml", &operator);
    let changes = write(dir.path(), "changes.toml", "[[quota]]\ntenant = \"acme\"\nper_s = 5\n");
    // Nobody is there yet.
    let (code, _, problem) = run(&["propose", "--operator", &operator, &changes]).await;
    assert!(code == Some(1) && problem.contains(&format!("127.0.0.1:{o}")), "{problem}");
    let (code, _, problem) = run(&["status", "--operator", &operator]).await;
    assert!(code == Some(1) && problem.contains("2 of 2 machines did not respond"), "{problem}");

    let machines = [start("origin", &operator, "o"), start("distributor", &operator, "d")];
    let proposed = timeout(LONG, async {
        loop {
            // The origin may not listen yet.
            let (code, said, _) = run(&["propose", "--operator", &operator, &changes]).await;
            if code == Some(0) {
                return said;
            }
        }
    });
    assert_eq!(proposed.await.expect("it is taken"), "revision 1 is agreed\nrevision 1 is in force\n");
    let states = timeout(LONG, async {
        loop {
            let (code, said, _) = run(&["status", "--operator", &operator, "--json"]).await;
            let lines: Vec<serde_json::Value> =
                said.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
            // The distributor has it in the end, and then a lease.
            let leased = lines.first().is_some_and(|origin| origin["followers"] == 1);
            if code == Some(0) && leased && lines.iter().all(|line| line["in_force"] == 1) {
                return lines;
            }
        }
    });
    let states = states.await.expect("both have it in the end");
    assert_eq!(states.len(), 2);
    assert_eq!((&states[0]["name"], &states[1]["name"]), (&"o".into(), &"d".into()));
    assert_eq!(states[0]["state"], states[1]["state"]);
    assert!(states[0]["lease_ms"].is_null() && states[1]["lease_ms"].is_u64(), "{states:?}");
    assert!(states[1]["counts"]["written"]["asks"]["messages"].as_u64() > Some(0), "{states:?}");
    let (code, table, _) = run(&["status", "--operator", &operator]).await;
    assert!(code == Some(0) && table.lines().count() == 3, "{table}");
    for machine in machines {
        assert_eq!(stop(machine).await, Some(0));
    }
}

#[tokio::test]
async fn what_is_wrong_with_a_flag_or_a_file_is_named_and_ends_with_2() {
    let dir = tempfile::tempdir().expect("a directory");
    let example = include_str!("../../deploy/operator.example.toml");
    let operator = write(dir.path(), "op.toml", example);
    let faulty = write(dir.path(), "faulty.toml", &example.replace("drift = 0.01", "drifts = 0.01"));
    let changes = write(dir.path(), "changes.toml", "[[quota]]\ntenants = \"acme\"\n");
    let line = example.lines().position(|line| line.contains("drift = ")).expect("it is there") + 1;
    for (args, told) in [
        (
            &["origin", "--operator", &faulty, "--name", "origin-1"][..],
            format!("{faulty}:{line}: unknown field `drifts`"),
        ),
        (&["status", "--operator", &faulty], format!("{faulty}:{line}: unknown field `drifts`")),
        (
            &["origin", "--operator", &operator, "--name", "north-1"],
            "--name north-1: expected one of origin-1".into(),
        ),
        (&["distributor", "--operator", "/nowhere.toml", "--name", "d"], "/nowhere.toml: ".into()),
        (&["propose", "--operator", &operator, &changes], format!("{changes}:2: unknown field `tenants`")),
        (
            &["status", "--operator", &operator, "--within", "0"],
            "--within 0: expected a number of seconds".into(),
        ),
        (&["status", "--operators", &operator], "--operators".into()),
        (&["origin", "--operator", &operator], "--name".into()),
    ] {
        let (code, _, problem) = run(args).await;
        assert_eq!(code, Some(2), "{args:?}: {problem}");
        assert!(problem.contains(&told), "{args:?}: {problem}");
    }
}
