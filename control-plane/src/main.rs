//! The `ternstack-control` program, which runs control servers and sends them proposals and status requests.
#![forbid(unsafe_code)]
#![deny(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

use clap::Parser;
use cli::{Cli, Command};
use std::process::ExitCode;
use ternstack_control_plane::operator_file::ServerRole;

mod cli;
mod commands;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Origin(arguments) => commands::serve(arguments, ServerRole::Primary).await,
        Command::Distributor(arguments) => commands::serve(arguments, ServerRole::Replica).await,
        Command::Propose(arguments) => commands::propose(arguments).await,
        Command::Status(arguments) => commands::status(arguments).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ternstack-control: {error}");
            error.exit_code()
        }
    }
}
