//! `ternstack-control`: an origin, a distributor, and the staff's commands.
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use ternstack_control_plane::operator::{changes, member, Operator, Role};
use ternstack_control_plane::serve::Machine;
use ternstack_control_plane::staff;
use ternstack_replication::scope::Revision;
use ternstack_replication::store::Store;
use ternstack_replication::wire::TrafficByCause;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, Instant};
use tracing::level_filters::LevelFilter;
use tracing::{error, info};

/// The machines that carry agreed state to gateways, and what the staff tells them.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Args)]
struct Serve {
    /// The operators' file.
    #[arg(long)]
    operator: PathBuf,
    /// This machine's name in it.
    #[arg(long)]
    name: String,
    /// Least severe log lines: off, error, warn, info, debug or trace.
    #[arg(long, default_value = "info")]
    log: LevelFilter,
}

#[derive(Subcommand)]
enum Command {
    /// Puts proposals together into versions and brings them into force.
    Origin(Serve),
    /// Stands between the origin and gateways.
    Distributor(Serve),
    /// Proposes a file's changes to the origin.
    Propose {
        /// The operators' file.
        #[arg(long)]
        operator: PathBuf,
        /// How long to wait, in s.
        #[arg(long, default_value_t = 15.0)]
        within: f64,
        /// Ends once the changes are agreed, and does not wait until they are in force.
        #[arg(long)]
        agreed: bool,
        /// The changes.
        changes: PathBuf,
    },
    /// Asks every control machine how it is there.
    Status {
        /// The operators' file.
        #[arg(long)]
        operator: PathBuf,
        /// How long to wait for each, in s.
        #[arg(long, default_value_t = 2.0)]
        within: f64,
        /// A line of JSON for each machine.
        #[arg(long)]
        json: bool,
    },
}

/// What is wrong with what the program was told, or with the world.
enum Problem {
    Told(String),
    Met(String),
}

fn told(problem: String) -> Problem {
    Problem::Told(problem)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Origin(serve) => run(serve, Role::Origin).await,
        Command::Distributor(serve) => run(serve, Role::Distributor).await,
        Command::Propose { operator, within, agreed, changes } => {
            propose(&operator, within, agreed, &changes).await
        }
        Command::Status { operator, within, json } => status(&operator, within, json).await,
    };
    let (problem, code) = match done {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Problem::Told(problem)) => (problem, 2),
        Err(Problem::Met(problem)) => (problem, 1),
    };
    eprintln!("ternstack-control: {problem}");
    ExitCode::from(code)
}

async fn run(serve: Serve, role: Role) -> Result<(), Problem> {
    tracing_subscriber::fmt().with_max_level(serve.log).with_ansi(false).with_writer(std::io::stderr).init();
    let operator = Operator::from_file(&serve.operator).map_err(told)?;
    let at = operator.control(&serve.name, role).map_err(told)?.address;
    let met = |e: std::io::Error| Problem::Met(format!("{at}: {e}"));
    let mut term = signal(SignalKind::terminate()).map_err(met)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(met)?;
    let listener = TcpListener::bind(at).await.map_err(met)?;
    info!(name = serve.name, %at, ?role, "serving");
    let serving = async {
        match role {
            Role::Origin => Machine::origin(&serve.name, operator.terms, Store::new()).run(listener).await,
            Role::Distributor => {
                let machine = Machine::distributor(member(&serve.name), operator.terms);
                machine.run(listener, operator.origins(), operator.terms).await
            }
        }
    };
    tokio::select! {
        never = serving => match never {},
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(name = serve.name, "stopping");
    Ok(())
}

fn seconds(flag: &str, value: f64) -> Result<Duration, Problem> {
    let wrong = || Problem::Told(format!("{flag} {value}: expected a number of seconds from 0.1 to 3600"));
    (0.1..=3600.0).contains(&value).then(|| Duration::from_secs_f64(value)).ok_or_else(wrong)
}

async fn propose(operator: &Path, within: f64, agreed: bool, file: &Path) -> Result<(), Problem> {
    let within = seconds("--within", within)?;
    let operator = Operator::from_file(operator).map_err(told)?;
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Problem::Told(format!("{name}: {e}")))?;
    let changes = changes(&operator, &name, &text).map_err(told)?;
    let until = Instant::now() + within;
    let mut problem = String::from("there is no origin");
    for at in operator.origins() {
        match staff::propose(at, changes.clone(), until.saturating_duration_since(Instant::now())).await {
            Ok(version) => {
                println!("version {version} is agreed");
                if agreed {
                    return Ok(());
                }
                return in_force(at, version, until).await;
            }
            Err(why) => problem = why,
        }
    }
    Err(Problem::Met(problem))
}

async fn in_force(at: SocketAddr, version: Revision, until: Instant) -> Result<(), Problem> {
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Problem::Met(format!("{at}: version {version} is not in force yet")));
        }
        if staff::status(at, left).await.map_err(Problem::Met)?.in_force >= version {
            println!("version {version} is in force");
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
}

async fn status(operator: &Path, within: f64, json: bool) -> Result<(), Problem> {
    let within = seconds("--within", within)?;
    let operator = Operator::from_file(operator).map_err(told)?;
    let mut silent = 0;
    if !json {
        println!(
            "{:<20} {:>9} {:>9} {:>9} {:>8} {:>12} {:>12}  state",
            "machine", "in force", "known", "followers", "lease ms", "bytes in", "bytes out"
        );
    }
    for machine in &operator.machine {
        match staff::status(machine.address, within).await {
            Ok(status) if json => {
                let line = serde_json::json!({
                    "name": status.name, "in_force": status.in_force, "known": status.through,
                    "followers": status.followers, "lease_ms": status.lease_ms,
                    "state": format!("{:032x}", status.digest.0), "counts": status.traffic,
                });
                println!("{line}");
            }
            Ok(s) => println!(
                "{:<20} {:>9} {:>9} {:>9} {:>8} {:>12} {:>12}  {:032x}",
                s.name,
                s.in_force,
                s.through,
                s.followers,
                s.lease_ms.map_or("-".into(), |ms| ms.to_string()),
                bytes(&s.traffic.read),
                bytes(&s.traffic.written),
                s.digest.0
            ),
            Err(why) => {
                silent += 1;
                error!("{why}");
                println!("{:<20} {why}", machine.name);
            }
        }
    }
    if silent > 0 {
        return Err(Problem::Met(format!("{silent} of {} machines did not answer", operator.machine.len())));
    }
    Ok(())
}

fn bytes(causes: &TrafficByCause) -> u64 {
    [causes.polls, causes.leases, causes.changes, causes.fetches, causes.admin].iter().map(|t| t.bytes).sum()
}
