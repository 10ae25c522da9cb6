//! `ternstack-fault-tests`: starts real gateway processes, injects faults into them and their links, and
//! checks invariants without access to the gateways' internal state.
#![deny(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use ternstack_fault_tests::error::Error;
use ternstack_fault_tests::fault_schedule::{self, Schedule};
use ternstack_fault_tests::hostile::{self, HostileOptions};
use ternstack_fault_tests::invariants::Violation;
use ternstack_fault_tests::matrix;
use ternstack_fault_tests::process::{run_gateway, Launch};
use ternstack_fault_tests::site::{Site, SiteConfig};
use ternstack_fault_tests::soak;

/// Starts many gateway processes, injects faults into them and their links, and checks invariants
#[derive(Parser)]
#[command(name = "ternstack-fault-tests", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Inject one fault after another on each path. Exits with 1 if an invariant was violated.
    Matrix {
        /// Cut requests and responses at each byte.
        #[arg(long)]
        long: bool,
        /// Number of sites that run at the same time.
        #[arg(long, default_value_t = 4)]
        jobs: usize,
    },
    /// Play random fault schedules. Exits with 1 if an invariant was violated.
    Nemesis {
        /// Seed of the first run; each further run uses the next number.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of schedules to play.
        #[arg(long, default_value_t = 1)]
        count: u64,
        /// Number of gateway processes.
        #[arg(long, default_value_t = 5)]
        gateways: usize,
        /// Number of stub hosts.
        #[arg(long, default_value_t = 5)]
        hosts: usize,
        /// Time during which clients send requests, in seconds.
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        /// Print the schedules instead of playing them.
        #[arg(long)]
        print: bool,
    },
    /// Play a fault schedule from a file. Exits with 1 if an invariant was violated.
    Play {
        /// TOML file as printed by `nemesis --print`.
        file: PathBuf,
    },
    /// Inject failing system calls, clock steps and process stops. Prints JSON; exits with 1 if an invariant
    /// was violated.
    Soak {
        /// Seed of the first run; each further run uses the next number.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of runs: first each fault kind alone in each phase, then mixed kinds.
        #[arg(long, default_value_t = 160)]
        count: usize,
        /// Number of runs to skip from the first on, so that a single run can be repeated.
        #[arg(long, default_value_t = 0)]
        skip: usize,
        /// Length of the service phase of a run, in seconds; start, reload and shutdown add to it.
        #[arg(long, default_value_t = 3)]
        seconds: u64,
        /// Number of runs that are played at the same time.
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// Play only the runs with a fault kind whose name contains this text.
        #[arg(long)]
        only: Option<String>,
        /// Print the table as Markdown instead of JSON.
        #[arg(long)]
        table: bool,
    },
    /// Attack a gateway with hostile clients, and print its peak memory. Exits with 1 if a run exceeded the
    /// memory limit or ended the gateway.
    Hostile(HostileOptions),
    /// Run as a gateway; the fault tests start their own program with this subcommand.
    #[command(hide = true)]
    Gateway,
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    if matches!(command, Command::Gateway) {
        return run_gateway();
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let passed = runtime.map_err(Error::from).and_then(|runtime| runtime.block_on(run(command)));
    match passed {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("ternstack-fault-tests: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs a command and returns whether no invariant was violated.
async fn run(command: Command) -> Result<bool, Error> {
    match command {
        Command::Matrix { long, jobs } => run_matrix(long, jobs).await,
        Command::Nemesis { seed, count, gateways, hosts, seconds, print } => {
            let mut passed = true;
            for seed in seed..seed + count {
                let schedule = Schedule::draw(seed, gateways, hosts, seconds * 1000, 4 * gateways);
                if print {
                    println!("{}", schedule.print()?);
                } else {
                    passed &= play_schedule(&schedule, &format!("seed {seed}")).await?;
                }
            }
            Ok(passed)
        }
        Command::Play { file } => {
            let text = std::fs::read_to_string(&file).map_err(|source| Error::file(&file, source))?;
            let schedule =
                Schedule::read(&text).map_err(|source| Error::ScheduleFile { path: file.clone(), source })?;
            play_schedule(&schedule, &file.display().to_string()).await
        }
        Command::Soak { seed, count, skip, seconds, jobs, only, table } => {
            let mut plans = soak::plans(seed, count, Duration::from_secs(seconds)).split_off(skip.min(count));
            if let Some(only) = only {
                plans.retain(|plan| plan.kinds.iter().any(|kind| kind.name.contains(&only)));
            }
            let report = soak::play(&Launch::current_program()?, plans, jobs).await?;
            if table {
                print!("{}", report.table());
            } else {
                println!("{}", serde_json::to_string_pretty(&report)?);
            }
            Ok(report.violations == 0)
        }
        Command::Hostile(options) => play_hostile(&options).await,
        Command::Gateway => Ok(true),
    }
}

async fn play_hostile(options: &HostileOptions) -> Result<bool, Error> {
    let launch = match options.program.clone() {
        Some(program) => Launch { program, args: Vec::new(), variables: Vec::new() },
        None => Launch::current_program()?,
    };
    let mut outcomes = Vec::new();
    for plan in options.plans() {
        outcomes.push(hostile::play(&launch, plan).await?);
    }
    print!("{}", hostile::table(&outcomes));
    Ok(outcomes.iter().all(hostile::Outcome::is_within_limit))
}

async fn run_matrix(long: bool, jobs: usize) -> Result<bool, Error> {
    let results = matrix::play_all(&Launch::current_program()?, long, jobs).await?;
    print!("{}", matrix::table(&results));
    for result in results.iter().filter(|result| !result.passed()) {
        for Violation { invariant, description, .. } in &result.violations {
            println!("{}: {invariant:?}: {description}", result.name);
        }
    }
    let passed = results.iter().filter(|result| result.passed()).count();
    println!("{} cases, {passed} passed", results.len());
    Ok(passed == results.len())
}

async fn play_schedule(schedule: &Schedule, name: &str) -> Result<bool, Error> {
    let config = SiteConfig { gateways: schedule.gateways, hosts: schedule.hosts, ..SiteConfig::default() };
    let mut site = Site::start(&Launch::current_program()?, config).await?;
    let outcome = fault_schedule::play(&mut site, schedule).await?;
    println!(
        "{name}: {} steps, {} requests, {} responses, {} served, {} of {} gateways recovered, {} violations",
        schedule.steps.len(),
        outcome.requests,
        outcome.responses,
        outcome.served,
        outcome.recovered,
        schedule.gateways,
        outcome.violations.len()
    );
    for Violation { invariant, at_us, description } in &outcome.violations {
        println!("  {} ms: {invariant:?}: {description}", at_us / 1000);
    }
    Ok(outcome.violations.is_empty() && outcome.recovered == schedule.gateways)
}
