//! The command line.
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use tracing::level_filters::LevelFilter;

/// The control servers, which replicate the configuration to gateways, and their admin commands.
#[derive(Parser)]
#[command(version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// A subcommand.
#[derive(Subcommand)]
pub enum Command {
    /// Runs the primary: puts proposals together into versions and brings them into force.
    Origin(ServeArguments),
    /// Runs a replica: stands between the origin and gateways.
    Distributor(ServeArguments),
    /// Proposes a file's changes to the origin.
    Propose(ProposeArguments),
    /// Requests the status of every control machine.
    Status(StatusArguments),
}

/// The arguments of `origin` and `distributor`.
#[derive(Args)]
pub struct ServeArguments {
    /// The operators' file.
    #[arg(long)]
    pub operator: PathBuf,
    /// This machine's name in it.
    #[arg(long)]
    pub name: String,
    /// Least severe log lines: off, error, warn, info, debug or trace.
    #[arg(long, default_value = "info")]
    pub log: LevelFilter,
}

/// The arguments of `propose`.
#[derive(Args)]
pub struct ProposeArguments {
    /// The operators' file.
    #[arg(long)]
    pub operator: PathBuf,
    /// How long to wait, in s.
    #[arg(long, default_value_t = 15.0)]
    pub within: f64,
    /// Ends once the changes are agreed, and does not wait until they are in force.
    #[arg(long)]
    pub agreed: bool,
    /// The changes.
    pub changes: PathBuf,
}

/// The arguments of `status`.
#[derive(Args)]
pub struct StatusArguments {
    /// The operators' file.
    #[arg(long)]
    pub operator: PathBuf,
    /// How long to wait for each, in s.
    #[arg(long, default_value_t = 2.0)]
    pub within: f64,
    /// A line of JSON for each machine.
    #[arg(long)]
    pub json: bool,
}
