//! The `propose` subcommand, which proposes the changes of a file and waits until they are in force.
use super::{time_limit, CommandError};
use crate::cli::ProposeArguments;
use std::net::SocketAddr;
use std::time::Duration;
use ternstack_control_plane::admin_client;
use ternstack_control_plane::operator_file::{parse_changes, OperatorFile};
use ternstack_replication::scope::Revision;
use tokio::time::{sleep, Instant};

/// The interval of the status requests by which the command waits for a revision to come into force.
const STATUS_INTERVAL: Duration = Duration::from_millis(50);

/// Proposes the changes to one primary after another until one accepts, within the time limit.
pub async fn propose(arguments: ProposeArguments) -> Result<(), CommandError> {
    let time_limit = time_limit(arguments.within)?;
    let operator = OperatorFile::from_file(&arguments.operator)?;
    let file = arguments.changes.display().to_string();
    let read = std::fs::read_to_string(&arguments.changes);
    let text = read.map_err(|cause| CommandError::ReadChanges { file: file.clone(), cause })?;
    let changes = parse_changes(&operator, &file, &text)?;
    let deadline = Instant::now() + time_limit;
    let mut failure = CommandError::NoPrimary;
    for primary in operator.primary_addresses() {
        match admin_client::propose(primary, changes.clone(), remaining(deadline)).await {
            Ok(revision) => {
                // Operators' tools read the printed word "version".
                println!("version {revision} is agreed");
                if arguments.agreed {
                    return Ok(());
                }
                return wait_until_in_force(primary, revision, deadline).await;
            }
            Err(error) => failure = error.into(),
        }
    }
    Err(failure)
}

async fn wait_until_in_force(
    primary: SocketAddr, revision: Revision, deadline: Instant,
) -> Result<(), CommandError> {
    loop {
        let remaining = remaining(deadline);
        if remaining.is_zero() {
            return Err(CommandError::NotInForce { server: primary, revision });
        }
        if admin_client::status(primary, remaining).await?.in_force >= revision {
            // Operators' tools read the printed word "version".
            println!("version {revision} is in force");
            return Ok(());
        }
        sleep(STATUS_INTERVAL).await;
    }
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
