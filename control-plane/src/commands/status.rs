//! The `status` subcommand, which prints the status of every control server as a table or as JSON lines.
use super::{time_limit, CommandError};
use crate::cli::StatusArguments;
use ternstack_control_plane::admin_client;
use ternstack_control_plane::operator_file::OperatorFile;
use ternstack_replication::wire::{Status, TrafficByCause};
use tracing::error;

/// Requests and prints the status of one server after another.
pub async fn status(arguments: StatusArguments) -> Result<(), CommandError> {
    let time_limit = time_limit(arguments.within)?;
    let operator = OperatorFile::from_file(&arguments.operator)?;
    if !arguments.json {
        print_table_head();
    }
    let mut unresponsive = 0;
    for server in &operator.servers {
        match admin_client::status(server.address, time_limit).await {
            Ok(status) if arguments.json => print_json_line(&status),
            Ok(status) => print_table_row(&status),
            Err(failure) => {
                unresponsive += 1;
                error!("status request failed: {failure}");
                println!("{:<20} {failure}", server.name);
            }
        }
    }
    if unresponsive > 0 {
        let total = operator.servers.len();
        return Err(CommandError::UnresponsiveServers { unresponsive, total });
    }
    Ok(())
}

fn print_json_line(status: &Status) {
    let line = serde_json::json!({
        "name": status.name, "in_force": status.in_force, "known": status.through,
        "followers": status.followers, "lease_ms": status.lease_ms,
        "state": format!("{:032x}", status.digest.0), "counts": status.traffic,
    });
    println!("{line}");
}

fn print_table_head() {
    println!(
        "{:<20} {:>9} {:>9} {:>9} {:>8} {:>12} {:>12}  state",
        "machine", "in force", "known", "followers", "lease ms", "bytes in", "bytes out"
    );
}

fn print_table_row(status: &Status) {
    println!(
        "{:<20} {:>9} {:>9} {:>9} {:>8} {:>12} {:>12}  {:032x}",
        status.name,
        status.in_force,
        status.through,
        status.followers,
        status.lease_ms.map_or("-".into(), |lease_ms| lease_ms.to_string()),
        total_bytes(&status.traffic.read),
        total_bytes(&status.traffic.written),
        status.digest.0
    );
}

fn total_bytes(causes: &TrafficByCause) -> u64 {
    let counts = [causes.polls, causes.leases, causes.changes, causes.fetches, causes.admin];
    counts.iter().map(|count| count.bytes).sum()
}
