//! The subcommands of `ternstack-control`, and the exit codes of their errors.
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use ternstack_control_plane::admin_client::AdminError;
use ternstack_control_plane::operator_file::{InvalidFile, OperatorFileError, UnknownServer};
use ternstack_replication::scope::Revision;
use thiserror::Error;

mod propose;
mod serve;
mod status;

pub use propose::propose;
pub use serve::serve;
pub use status::status;

/// The exit code if a server could not be reached, rejected a proposal or did not respond in time.
const EXIT_FAILURE: u8 = 1;
/// The exit code if a flag or a file is not valid.
const EXIT_INVALID_INPUT: u8 = 2;
/// The smallest value of `--within`.
const MIN_TIME_LIMIT_S: f64 = 0.1;
/// The largest value of `--within`.
const MAX_TIME_LIMIT_S: f64 = 3600.0;

/// An error of a subcommand.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The operators' file could not be read, or is not valid.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The operators' file has no server with the given name and role.
    #[error(transparent)]
    UnknownServer(#[from] UnknownServer),
    /// The file of changes could not be read.
    #[error("could not read {file}: {cause}")]
    ReadChanges {
        /// The path of the file.
        file: String,
        /// The error of the file system.
        cause: io::Error,
    },
    /// The file of changes is not valid.
    #[error(transparent)]
    InvalidChanges(#[from] InvalidFile),
    /// A time limit is out of range.
    #[error("{flag} {value}: expected a number of seconds from {MIN_TIME_LIMIT_S} to {MAX_TIME_LIMIT_S}")]
    TimeLimit {
        /// The flag that sets the time limit.
        flag: &'static str,
        /// The value of the flag, in s.
        value: f64,
    },
    /// The server could not listen on its address, or could not install signal handlers.
    #[error("could not serve on {address}: {cause}")]
    Serve {
        /// The address on which the server was to listen.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The operators' file has no primary.
    #[error("the operators' file has no machine with the role origin")]
    NoPrimary,
    /// An admin request failed.
    #[error(transparent)]
    Admin(#[from] AdminError),
    /// An agreed revision did not come into force within the time limit.
    #[error("{server}: revision {revision} is agreed, but did not come into force in time")]
    NotInForce {
        /// The address of the primary.
        server: SocketAddr,
        /// The agreed revision.
        revision: Revision,
    },
    /// Some servers did not respond to status requests.
    #[error("{unresponsive} of {total} machines did not respond")]
    UnresponsiveServers {
        /// The number of servers that did not respond.
        unresponsive: usize,
        /// The number of servers in the operators' file.
        total: usize,
    },
}

impl CommandError {
    /// Returns the exit code of the program for the error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::OperatorFile(_)
            | CommandError::UnknownServer(_)
            | CommandError::ReadChanges { .. }
            | CommandError::InvalidChanges(_)
            | CommandError::TimeLimit { .. } => ExitCode::from(EXIT_INVALID_INPUT),
            CommandError::Serve { .. }
            | CommandError::NoPrimary
            | CommandError::Admin(_)
            | CommandError::NotInForce { .. }
            | CommandError::UnresponsiveServers { .. } => ExitCode::from(EXIT_FAILURE),
        }
    }
}

/// Returns the time limit for a value of `--within`.
///
/// # Errors
/// [`CommandError::TimeLimit`] if the value is out of range.
fn time_limit(within_s: f64) -> Result<Duration, CommandError> {
    if !(MIN_TIME_LIMIT_S..=MAX_TIME_LIMIT_S).contains(&within_s) {
        return Err(CommandError::TimeLimit { flag: "--within", value: within_s });
    }
    Ok(Duration::from_secs_f64(within_s))
}
