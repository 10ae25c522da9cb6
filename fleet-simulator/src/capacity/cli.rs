//! The command's flags, and what it does.
use super::{measure, page, tables, Capacity};
use clap::{Args, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What `ternstack-fleet-simulator capacity` takes.
#[derive(Args, Debug)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Capacities {
    /// The file of sizes, budgets, slopes and assumptions.
    #[arg(default_value = "docs/capacity.toml")]
    file: PathBuf,
    /// The page that the tables stand on.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    page: PathBuf,
    /// Print nothing, and exit with 1 unless the tables stand on the page as worked out.
    #[arg(long)]
    check: bool,
    /// Put the tables on the page.
    #[arg(long, conflicts_with = "check")]
    write: bool,
    /// Print the rows as JSON.
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    measure: Option<Measure>,
}

#[derive(Subcommand, Debug)]
enum Measure {
    /// Measure slopes of what runs today, and print them as the file takes them. Some minutes in all.
    Measure {
        /// Which; all where absent.
        #[arg(value_enum)]
        what: Vec<measure::What>,
        /// The commit to note beside each figure.
        #[arg(long)]
        commit: String,
        /// Runs of which the least is taken.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=50))]
        runs: u32,
    },
}

/// Does it. The error is for a reader; the exit code is 1 where the page is not as worked out.
pub fn run(args: Capacities) -> Result<ExitCode, String> {
    if let Some(Measure::Measure { what, commit, runs }) = args.measure {
        measure::all(&what, &commit, runs)?;
        return Ok(ExitCode::SUCCESS);
    }
    let capacity = Capacity::load(&args.file)?;
    if args.check || args.write {
        return put(&args.page, &capacity, args.write);
    }
    if args.json {
        let rows = capacity.work().map_err(|(_, problem)| problem)?;
        println!("{}", serde_json::to_string(&rows).map_err(|e| e.to_string())?);
        return Ok(ExitCode::SUCCESS);
    }
    for (name, text) in tables::all(&capacity)? {
        println!("## {name}\n\n{text}");
    }
    Ok(ExitCode::SUCCESS)
}

fn put(file: &Path, capacity: &Capacity, write: bool) -> Result<ExitCode, String> {
    let at = |problem: String| format!("{}: {problem}", file.display());
    let page = std::fs::read_to_string(file).map_err(|e| at(e.to_string()))?;
    let wanted = page::with_tables(&page, capacity).map_err(at)?;
    match page::first_difference(&page, &wanted) {
        None => Ok(ExitCode::SUCCESS),
        Some(_) if write => {
            std::fs::write(file, wanted).map_err(|e| at(e.to_string()))?;
            Ok(ExitCode::SUCCESS)
        }
        Some((line, want)) => {
            eprintln!("{}:{line}: expected {want}", file.display());
            Ok(ExitCode::FAILURE)
        }
    }
}
