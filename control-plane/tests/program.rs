//! The `ternstack-control` program: control servers as processes, and the admin commands that connect to
//! them. The tests wait for states, so that no result depends on the speed of the machine.
mod common;
use common::TEST_TIMEOUT;
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

/// Runs the program until it exits and returns the exit code, the standard output and the standard error.
async fn run(args: &[&str]) -> (Option<i32>, String, String) {
    let output = timeout(TEST_TIMEOUT, program(args).output())
        .await
        .expect("the program exits")
        .expect("the program can be started");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

fn start_server(role: &str, operator: &str, name: &str) -> Child {
    let mut command = program(&[role, "--operator", operator, "--name", name, "--log", "warn"]);
    command.stderr(Stdio::null()).spawn().expect("the program can be started")
}

/// Returns different ports that were free when the function was called.
fn free_ports<const N: usize>() -> [u16; N] {
    let listeners = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port is free"));
    listeners.map(|listener| listener.local_addr().expect("the listener has an address").port())
}

fn write(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("the file can be written");
    path.display().to_string()
}

/// Stops a server with SIGTERM and returns the exit code.
async fn stop(mut child: Child) -> Option<i32> {
    let id = child.id().expect("the server runs");
    let kill_status =
        Command::new("kill").args(["-TERM", &id.to_string()]).status().await.expect("kill is installed");
    assert!(kill_status.success());
    timeout(TEST_TIMEOUT, child.wait())
        .await
        .expect("the server exits")
        .expect("the server is a child process")
        .code()
}

#[tokio::test]
async fn servers_accept_proposals_report_their_status_and_stop_on_sigterm() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let [origin_port, distributor_port] = free_ports();
    let operator = format!(
        "[terms]\nlease_ms = 700.0\nbatch_ms = 20.0\n[[zone]]\nname = \"a\"\nnumber = 1\nregion = \"r\"\n\
         [[service]]\nname = \"desks\"\nnumber = 7\n\
         [[machine]]\nname = \"o\"\naddress = \"127.0.0.1:{origin_port}\"\nrole = \"origin\"\nzone = \"a\"\n\
         [[machine]]\nname = \"d\"\naddress = \"127.0.0.1:{distributor_port}\"\nrole = \"distributor\"\nzone = \"a\"\n"
    );
    let operator = write(folder.path(), "op.toml", &operator);
    let changes = write(folder.path(), "changes.toml", "[[quota]]\ntenant = \"acme\"\nper_s = 5\n");
    // No server listens yet.
    let (code, _, error) = run(&["propose", "--operator", &operator, &changes]).await;
    assert!(
        code == Some(1) && error.contains(&format!("127.0.0.1:{origin_port}")),
        "the proposal fails at the primary: {error}"
    );
    let (code, _, error) = run(&["status", "--operator", &operator]).await;
    assert!(
        code == Some(1) && error.contains("2 of 2 machines did not respond"),
        "the status requests fail: {error}"
    );

    let servers = [start_server("origin", &operator, "o"), start_server("distributor", &operator, "d")];
    let proposing = timeout(TEST_TIMEOUT, async {
        loop {
            // The proposal is repeated because the primary may not be listening yet.
            let (code, output, _) = run(&["propose", "--operator", &operator, &changes]).await;
            if code == Some(0) {
                return output;
            }
        }
    });
    assert_eq!(
        proposing.await.expect("the proposal is accepted"),
        "version 1 is agreed\nversion 1 is in force\n"
    );
    let statuses = timeout(TEST_TIMEOUT, async {
        loop {
            let (code, output, _) = run(&["status", "--operator", &operator, "--json"]).await;
            let lines: Vec<serde_json::Value> =
                output.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
            // The primary counts the replica as a follower once the replica holds a lease.
            let replica_has_lease = lines.first().is_some_and(|primary| primary["followers"] == 1);
            if code == Some(0) && replica_has_lease && lines.iter().all(|line| line["in_force"] == 1) {
                return lines;
            }
        }
    });
    let statuses = statuses.await.expect("revision 1 comes into force at both servers");
    assert_eq!(statuses.len(), 2);
    assert_eq!((&statuses[0]["name"], &statuses[1]["name"]), (&"o".into(), &"d".into()));
    assert_eq!(statuses[0]["state"], statuses[1]["state"]);
    assert!(
        statuses[0]["lease_ms"].is_null() && statuses[1]["lease_ms"].is_u64(),
        "only the replica has a lease: {statuses:?}"
    );
    assert!(
        statuses[1]["counts"]["written"]["asks"]["messages"].as_u64() > Some(0),
        "the replica has sent polls: {statuses:?}"
    );
    let (code, table, _) = run(&["status", "--operator", &operator]).await;
    assert!(code == Some(0) && table.lines().count() == 3, "the table has a head and two rows: {table}");
    for server in servers {
        assert_eq!(stop(server).await, Some(0));
    }
}

#[tokio::test]
async fn invalid_flag_or_file_is_named_in_the_error_and_gives_exit_code_2() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let example = include_str!("../../deploy/operator.example.toml");
    let operator = write(folder.path(), "op.toml", example);
    let invalid = write(folder.path(), "faulty.toml", &example.replace("drift = 0.01", "drifts = 0.01"));
    let changes = write(folder.path(), "changes.toml", "[[quota]]\ntenants = \"acme\"\n");
    let line =
        example.lines().position(|line| line.contains("drift = ")).expect("the example has a drift") + 1;
    for (args, expected_error) in [
        (
            &["origin", "--operator", &invalid, "--name", "origin-1"][..],
            format!("{invalid}:{line}: unknown field `drifts`"),
        ),
        (&["status", "--operator", &invalid], format!("{invalid}:{line}: unknown field `drifts`")),
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
        let (code, _, error) = run(args).await;
        assert_eq!(code, Some(2), "the arguments {args:?} are not valid: {error}");
        assert!(
            error.contains(&expected_error),
            "the error for {args:?} contains {expected_error:?}: {error}"
        );
    }
}
