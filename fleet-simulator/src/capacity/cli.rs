//! Command-line arguments of the `capacity` subcommand, and its execution.
use super::{measure, page, tables, Capacity};
use clap::{Args, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Arguments of `ternstack-fleet-simulator capacity`.
#[derive(Args, Debug)]
#[command(args_conflicts_with_subcommands = true)]
pub struct CapacityArgs {
    /// File of sizes, budgets, slopes and assumptions
    #[arg(default_value = "docs/capacity.toml")]
    file: PathBuf,
    /// Page that contains the tables
    #[arg(long, default_value = "docs/CAPACITY.md")]
    page: PathBuf,
    /// Print nothing, and exit with 1 if the tables on the page are out of date
    #[arg(long)]
    check: bool,
    /// Update the tables on the page
    #[arg(long, conflicts_with = "check")]
    write: bool,
    /// Print the rows as JSON
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    measure: Option<Measure>,
}

#[derive(Subcommand, Debug)]
enum Measure {
    /// Measure the slopes of the current code, and print them in the format of the file. Takes some minutes
    /// in all.
    Measure {
        /// What to measure; everything if absent
        #[arg(value_enum)]
        what: Vec<measure::Measurement>,
        /// Commit to record with each value
        #[arg(long)]
        commit: String,
        /// Number of runs, of which the smallest value counts
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=50))]
        runs: u32,
    },
}

/// Executes the subcommand. The exit code is 1 if the tables on the page are out of date.
///
/// # Errors
///
/// Describes the problem for the user.
pub fn run(args: CapacityArgs) -> Result<ExitCode, String> {
    if let Some(Measure::Measure { what, commit, runs }) = args.measure {
        measure::run_measurements(&what, &commit, runs)?;
        return Ok(ExitCode::SUCCESS);
    }
    let capacity = Capacity::load(&args.file)?;
    if args.check || args.write {
        return check_or_write(&args.page, &capacity, args.write);
    }
    if args.json {
        let rows = capacity.compute_rows().map_err(|(_, problem)| problem)?;
        println!("{}", serde_json::to_string(&rows).map_err(|e| e.to_string())?);
        return Ok(ExitCode::SUCCESS);
    }
    for (name, text) in tables::all_tables(&capacity)? {
        println!("## {name}\n\n{text}");
    }
    Ok(ExitCode::SUCCESS)
}

fn check_or_write(file: &Path, capacity: &Capacity, write: bool) -> Result<ExitCode, String> {
    let with_path = |problem: String| format!("{}: {problem}", file.display());
    let page = std::fs::read_to_string(file).map_err(|e| with_path(e.to_string()))?;
    let expected = page::with_tables(&page, capacity).map_err(with_path)?;
    match page::first_difference(&page, &expected) {
        None => Ok(ExitCode::SUCCESS),
        Some(_) if write => {
            std::fs::write(file, expected).map_err(|e| with_path(e.to_string()))?;
            Ok(ExitCode::SUCCESS)
        }
        Some((line, expected_line)) => {
            eprintln!("{}:{line}: expected {expected_line}", file.display());
            Ok(ExitCode::FAILURE)
        }
    }
}
