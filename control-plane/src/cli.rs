//! The command line of `ternstack-control`. The doc comments of the arguments are the `--help` texts.
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use tracing::level_filters::LevelFilter;

/// Runs the control servers, which replicate configuration to gateways, and sends them admin requests.
#[derive(Parser)]
#[command(version)]
pub struct Cli {
    /// The subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// A subcommand of `ternstack-control`.
#[derive(Subcommand)]
pub enum Command {
    /// Runs the primary, which combines proposals into revisions and brings the revisions into force.
    Origin(ServeArguments),
    /// Runs a replica, which follows the origin and serves gateways.
    Distributor(ServeArguments),
    /// Proposes the changes of a file to the origin.
    Propose(ProposeArguments),
    /// Prints the status of every control server.
    Status(StatusArguments),
}

/// The arguments of `origin` and `distributor`.
#[derive(Args)]
pub struct ServeArguments {
    /// Path of the operators' file.
    #[arg(long)]
    pub operator: PathBuf,
    /// Name of this server's `[[machine]]` section in the operators' file.
    #[arg(long)]
    pub name: String,
    /// Lowest severity that is logged: off, error, warn, info, debug or trace.
    #[arg(long, default_value = "info")]
    pub log: LevelFilter,
}

/// The arguments of `propose`.
#[derive(Args)]
pub struct ProposeArguments {
    /// Path of the operators' file.
    #[arg(long)]
    pub operator: PathBuf,
    /// Time limit of the whole command, in seconds.
    #[arg(long, default_value_t = 15.0)]
    pub within: f64,
    /// Ends as soon as the changes are agreed, without waiting until they are in force.
    #[arg(long)]
    pub agreed: bool,
    /// Path of the file of changes.
    pub changes: PathBuf,
}

/// The arguments of `status`.
#[derive(Args)]
pub struct StatusArguments {
    /// Path of the operators' file.
    #[arg(long)]
    pub operator: PathBuf,
    /// Time limit of the request to each server, in seconds.
    #[arg(long, default_value_t = 2.0)]
    pub within: f64,
    /// Prints one line of JSON for each server instead of a table.
    #[arg(long)]
    pub json: bool,
}
