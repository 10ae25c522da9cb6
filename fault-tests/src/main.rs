//! `ternstack-fault-tests`: starts real processes of the gateway, breaks what is between them, and judges from outside.
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use ternstack_fault_tests::matrix;
use ternstack_fault_tests::nemesis::{self, Schedule};
use ternstack_fault_tests::process::{be_a_gateway, Launch};
use ternstack_fault_tests::site::{Site, Size};
use ternstack_fault_tests::soak;

/// The rig: many processes of the gateway, with links between them that fail by script.
#[derive(Parser)]
#[command(name = "ternstack-fault-tests", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Try one fault after another on each path. Exits with 1 if a promise was broken.
    Matrix {
        /// Cut requests and replies at each byte.
        #[arg(long)]
        long: bool,
        /// Sites at once.
        #[arg(long, default_value_t = 4)]
        jobs: usize,
    },
    /// Play drawn schedules. Exits with 1 if a promise was broken.
    Nemesis {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many.
        #[arg(long, default_value_t = 1)]
        count: u64,
        /// Processes of the gateway.
        #[arg(long, default_value_t = 5)]
        gateways: usize,
        /// Hosts.
        #[arg(long, default_value_t = 5)]
        hosts: usize,
        /// How long clients send, in seconds.
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        /// Print the schedules and play none.
        #[arg(long)]
        print: bool,
    },
    /// Play a schedule from a file.
    Play {
        /// The file, as `nemesis --print` writes it.
        file: PathBuf,
    },
    /// Let system calls fail, clocks step and processes stand still. Prints JSON; exits with 1 if a rule was broken.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many runs: first each kind alone in each phase, then mixed ones.
        #[arg(long, default_value_t = 160)]
        count: usize,
        /// Leave out so many of these runs, from the first on: a single one is played again so.
        #[arg(long, default_value_t = 0)]
        skip: usize,
        /// How long a site is in service, in seconds, beside its start, reload and end.
        #[arg(long, default_value_t = 3)]
        seconds: u64,
        /// Runs at once.
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// Of each kind alone, only kinds whose name has this in it.
        #[arg(long)]
        only: Option<String>,
        /// Print the table as Markdown instead of JSON.
        #[arg(long)]
        table: bool,
    },
    /// Be a gateway: the rig starts itself so.
    #[command(hide = true)]
    Gateway,
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    if matches!(command, Command::Gateway) {
        return be_a_gateway();
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let kept = runtime.map_err(|e| e.to_string()).and_then(|runtime| runtime.block_on(work(command)));
    match kept {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("ternstack-fault-tests: {problem}");
            ExitCode::from(2)
        }
    }
}

async fn work(command: Command) -> Result<bool, String> {
    match command {
        Command::Matrix { long, jobs } => {
            let rows = matrix::play_all(&Launch::myself().map_err(|e| e.to_string())?, long, jobs).await?;
            print!("{}", matrix::table(&rows));
            for row in rows.iter().filter(|row| !row.kept()) {
                row.offences.iter().for_each(|o| println!("{}: {:?}: {}", row.name, o.promise, o.words));
            }
            let kept = rows.iter().filter(|row| row.kept()).count();
            println!("{} lines, {kept} kept all promises", rows.len());
            Ok(kept == rows.len())
        }
        Command::Nemesis { seed, count, gateways, hosts, seconds, print } => {
            let mut kept = true;
            for seed in seed..seed + count {
                let schedule = Schedule::draw(seed, gateways, hosts, seconds * 1000, 4 * gateways);
                if print {
                    println!("{}", schedule.print()?);
                } else {
                    kept &= played(&schedule, &format!("seed {seed}")).await?;
                }
            }
            Ok(kept)
        }
        Command::Play { file } => {
            let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let schedule = Schedule::read(&text).map_err(|e| format!("{}: {e}", file.display()))?;
            played(&schedule, &file.display().to_string()).await
        }
        Command::Soak { seed, count, skip, seconds, jobs, only, table } => {
            let launch = Launch::myself().map_err(|e| e.to_string())?;
            let mut plans = soak::plans(seed, count, Duration::from_secs(seconds)).split_off(skip.min(count));
            if let Some(only) = only {
                plans.retain(|plan| plan.kinds.iter().any(|kind| kind.name.contains(&only)));
            }
            let report = soak::play(&launch, plans, jobs).await?;
            if table {
                print!("{}", report.table());
            } else {
                println!("{}", serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?);
            }
            Ok(report.violations == 0)
        }
        Command::Gateway => Ok(true),
    }
}

async fn played(schedule: &Schedule, name: &str) -> Result<bool, String> {
    let launch = Launch::myself().map_err(|e| e.to_string())?;
    let size = Size { gateways: schedule.gateways, hosts: schedule.hosts, ..Size::default() };
    let mut site = Site::start(&launch, size).await?;
    let played = nemesis::play(&mut site, schedule).await?;
    let kept = played.offences.is_empty() && played.back == schedule.gateways;
    println!(
        "{name}: {} steps, {} messages, {} answers, {} served, {} of {} back, {} promises broken",
        schedule.steps.len(),
        played.messages,
        played.answers,
        played.served,
        played.back,
        schedule.gateways,
        played.offences.len()
    );
    played.offences.iter().for_each(|o| println!("  {} ms: {:?}: {}", o.at_us / 1000, o.promise, o.words));
    Ok(kept)
}
