//! The subcommands, and how their errors become exit codes.
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

/// The exit code for a server that could not be reached, rejected a proposal or was too late.
const EXIT_FAILED: u8 = 1;
/// The exit code for a wrong flag or file.
const EXIT_INVALID_INPUT: u8 = 2;
/// The shortest `--within`.
const MIN_TIME_LIMIT_S: f64 = 0.1;
/// The longest `--within`.
const MAX_TIME_LIMIT_S: f64 = 3600.0;

/// Why a subcommand failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The operators' file could not be read.
    #[error("{0}")]
    OperatorFile(#[from] OperatorFileError),
    /// The operators' file has no server of that name and role.
    #[error("{0}")]
    UnknownServer(#[from] UnknownServer),
    /// The file of changes could not be read.
    #[error("{file}: {cause}")]
    ReadChanges {
        /// The file.
        file: String,
        /// The cause.
        cause: io::Error,
    },
    /// The file of changes is not valid.
    #[error("{0}")]
    InvalidChanges(#[from] InvalidFile),
    /// A time limit is out of range.
    #[error("{flag} {value}: expected a number of seconds from {MIN_TIME_LIMIT_S} to {MAX_TIME_LIMIT_S}")]
    TimeLimit {
        /// The flag.
        flag: &'static str,
        /// Its value, in s.
        value: f64,
    },
    /// The server could not listen, or could not handle signals.
    #[error("{address}: {cause}")]
    Serve {
        /// The address to listen on.
        address: SocketAddr,
        /// The cause.
        cause: io::Error,
    },
    /// The operators' file has no primary.
    #[error("there is no origin")]
    NoPrimary,
    /// An admin request failed.
    #[error("{0}")]
    Admin(#[from] AdminError),
    /// An agreed version did not come into force in time.
    #[error("{server}: version {version} is not in force yet")]
    NotInForce {
        /// The primary.
        server: SocketAddr,
        /// The version.
        version: Revision,
    },
    /// Servers did not respond to status requests.
    #[error("{silent_count} of {server_count} machines did not answer")]
    SilentServers {
        /// How many did not respond.
        silent_count: usize,
        /// How many were asked.
        server_count: usize,
    },
}

impl CommandError {
    /// The exit code of the program.
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
            | CommandError::SilentServers { .. } => ExitCode::from(EXIT_FAILED),
        }
    }
}

/// The time limit that `--within` gives, in s.
fn time_limit(within_s: f64) -> Result<Duration, CommandError> {
    if !(MIN_TIME_LIMIT_S..=MAX_TIME_LIMIT_S).contains(&within_s) {
        return Err(CommandError::TimeLimit { flag: "--within", value: within_s });
    }
    Ok(Duration::from_secs_f64(within_s))
}
