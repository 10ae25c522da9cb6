//! `ternstack-fleet-simulator`: runs experiments in the simulator and reports on them.
use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use ternstack_fault_tests::process::{run_gateway, Launch};
use ternstack_fleet_simulator::experiment::{Experiment, Results, WallTime};
use ternstack_fleet_simulator::judge::Findings;
use ternstack_fleet_simulator::report;
use ternstack_fleet_simulator::simulation::TraceTarget;
use ternstack_fleet_simulator::statistics::{compare_variants, Verdict};
use ternstack_scale_tests::run::LaunchCommands;

/// Directory of the shipped experiments, relative to the root of the repository.
const EXPERIMENTS_FOLDER: &str = "fleet-simulator/experiments";

/// Simulates a whole platform in virtual time around the gateways' real decisions.
#[derive(Parser)]
#[command(name = "ternstack-fleet-simulator", version, about)]
struct Cli {
    /// Log more; twice includes the balancer's own log lines
    #[arg(short, long, global = true, action = clap::ArgAction::Count)]
    verbose: u8,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// List the experiments of a folder
    List {
        /// Folder to list
        #[arg(default_value = EXPERIMENTS_FOLDER)]
        folder: PathBuf,
    },
    /// Check an experiment file, and print what it would run
    Check {
        /// Experiment file
        file: PathBuf,
    },
    /// Run an experiment. Exits with 1 if the balancer broke a rule.
    Run {
        /// Experiment file
        file: PathBuf,
        /// Number of seeds, instead of the file's
        #[arg(long)]
        seeds: Option<u32>,
        /// Only run variants whose names contain this text
        #[arg(long)]
        only: Option<String>,
        /// Number of concurrent runs; 0 for one per core
        #[arg(long, default_value_t = 0)]
        jobs: usize,
        /// Folder for NAME.json, NAME.csv and NAME.html
        #[arg(long)]
        out: Option<PathBuf>,
        /// Print the results as JSON instead of a table
        #[arg(long)]
        json: bool,
    },
    /// Compare two results, paired by seed and variant: B is better than A, worse, or the difference is noise
    Compare {
        /// Results as JSON
        a: PathBuf,
        /// Results as JSON
        b: PathBuf,
        /// Print the comparison as JSON
        #[arg(long)]
        json: bool,
    },
    /// Print results as a table, and write the HTML page if a folder is given
    Show {
        /// Results as JSON
        results: PathBuf,
        /// Folder for NAME.html
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Run gateway processes under load: a burst, loss of half of the hosts, a killed gateway, and one cut
    /// off. Exits with 1 if an invariant was violated.
    Demo {
        /// Print plain lines, one per second; currently the only output format
        #[arg(long)]
        plain: bool,
        /// Duration in seconds
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(10..=600))]
        seconds: u64,
    },
    /// Compute what each role needs at a size, from a file of sizes, budgets and measured slopes; or measure
    /// slopes
    Capacity(ternstack_fleet_simulator::capacity::cli::CapacityArgs),
    /// Run a fleet of simulated gateways against control servers, measure it by role, and check invariants
    /// from outside. Exits with 1 if an invariant was violated.
    Scale(Box<ternstack_scale_tests::options::Options>),
    /// Run as a gateway; the demo starts its gateways with this subcommand
    #[command(hide = true)]
    Gateway {
        /// Arguments of the gateway
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        rest: Vec<std::ffi::OsString>,
    },
    /// Run as a worker process of the scale test, which starts its workers with this subcommand
    #[command(hide = true)]
    Part,
    /// Print the events and decisions of one message or host in a run
    Trace {
        /// Experiment file
        file: PathBuf,
        /// `message:N` or `host:N`
        #[arg(value_parser = parse_trace_target)]
        what: TraceTarget,
        /// Seed of the run
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Name of the variant; the first if absent
        #[arg(long)]
        variant: Option<String>,
    },
}

/// Runs the demo: gateway processes through a burst, lost hosts, a kill and a cut.
fn demo(seconds: u64) -> Result<ExitCode, String> {
    let launch = Launch::current_program().map_err(|e| e.to_string())?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(|e| e.to_string())?;
    let invariants_held = runtime
        .block_on(ternstack_fault_tests::demo::play(&launch, Duration::from_secs(seconds)))
        .map_err(|e| e.to_string())?;
    Ok(if invariants_held { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs the scale test.
fn scale(options: &ternstack_scale_tests::options::Options) -> Result<ExitCode, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let worker = Launch { program, args: vec!["part".into()], variables: Vec::new() };
    let gateway = Some(Launch::current_program().map_err(|e| e.to_string())?);
    let invariants_held = ternstack_scale_tests::command::run(options, &LaunchCommands { worker, gateway })?;
    Ok(if invariants_held { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn parse_trace_target(text: &str) -> Result<TraceTarget, String> {
    let expected = || "expected message:N or host:N".to_string();
    let (kind, number) = text.split_once(':').ok_or_else(expected)?;
    match kind {
        "message" => number.parse().map(TraceTarget::Message).map_err(|_| expected()),
        "host" => number.parse().map(TraceTarget::Host).map_err(|_| expected()),
        _ => Err(expected()),
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    // A gateway initializes its own log.
    if matches!(cli.command, Command::Gateway { .. }) {
        return run_gateway();
    }
    if matches!(cli.command, Command::Part) {
        return ternstack_scale_tests::worker::run_worker();
    }
    let level = match cli.verbose {
        0 => tracing::Level::WARN,
        1 => tracing::Level::INFO,
        _ => tracing::Level::DEBUG,
    };
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).init();
    match execute(cli.command) {
        Ok(code) => code,
        Err(problem) => {
            eprintln!("ternstack-fleet-simulator: {problem}");
            ExitCode::from(2)
        }
    }
}

fn execute(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::List { folder } => list(&folder)?,
        Command::Check { file } => check(&file)?,
        Command::Run { file, seeds, only, jobs, out, json } => {
            return run(&file, seeds, only, jobs, out.as_deref(), json)
        }
        Command::Compare { a, b, json } => compare_files(&a, &b, json)?,
        Command::Show { results, out } => {
            let results = read_results(&results)?;
            print!("{}", report::table(&results));
            if let Some(out) = out {
                write_results(&out, &results, &[])?;
            }
        }
        Command::Demo { plain: _, seconds } => return demo(seconds),
        Command::Capacity(args) => return ternstack_fleet_simulator::capacity::cli::run(args),
        Command::Scale(options) => return scale(&options),
        Command::Gateway { .. } | Command::Part => {}
        Command::Trace { file, what, seed, variant } => trace(&file, what, seed, variant.as_deref())?,
    }
    Ok(ExitCode::SUCCESS)
}

fn list(folder: &Path) -> Result<(), String> {
    let entries = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
    files.retain(|f| f.extension().is_some_and(|e| e == "toml"));
    files.sort();
    for file in files {
        let e = Experiment::load(&file)?;
        println!("{:<14} {:>5} hosts {:>3} gateways  {}", e.name, e.world.hosts, e.world.gateways, e.about);
    }
    Ok(())
}

fn check(file: &Path) -> Result<(), String> {
    let experiment = Experiment::load(file)?;
    let cases = experiment.cases().map_err(|(path, e)| format!("{}: {path}: {e}", file.display()))?;
    println!("{}: {}", experiment.name, experiment.about);
    println!("{} seeds of {} s", experiment.seeds, experiment.length_s);
    for disturbance in &experiment.trouble {
        println!("  from {} s for {} s: {}", disturbance.at_s, disturbance.for_s, disturbance.name());
    }
    for case in cases {
        let budget = case.budget.map_or(String::new(), |b| format!(", retry budget {b}"));
        println!("  variant {}: {}{budget}", case.name, case.policy.name());
    }
    Ok(())
}

fn run(
    file: &Path, seeds: Option<u32>, only: Option<String>, jobs: usize, out: Option<&Path>, json: bool,
) -> Result<ExitCode, String> {
    let mut experiment = Experiment::load(file)?;
    experiment.seeds = seeds.unwrap_or(experiment.seeds).max(1);
    if only.is_some_and(|text| !experiment.retain_variants(&text)) {
        return Err("--only: expected part of a variant's name".into());
    }
    let runs = experiment.cases().map_err(|(path, e)| format!("{path}: {e}"))?.len() as u64;
    let bar = ProgressBar::new(runs * u64::from(experiment.seeds));
    let style = ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} runs, {eta} to go");
    bar.set_style(style.map_err(|e| e.to_string())?);
    bar.set_message(experiment.name.clone());
    let (results, wall_times) = experiment.run(jobs, &|| bar.inc(1))?;
    bar.finish_and_clear();
    if let Some(out) = out {
        write_results(out, &results, &wall_times)?;
    }
    if json {
        println!("{}", serde_json::to_string(&results).map_err(|e| e.to_string())?);
    } else {
        print!("{}", report::table(&results));
        for v in &results.variants {
            for run in &v.runs {
                for o in &run.findings.broken {
                    let first = o.first.first().map_or("", |f| f);
                    println!(
                        "{}, seed {}: {:?} broken {} times, first at {first}",
                        v.name, run.seed, o.rule, o.count
                    );
                }
            }
        }
        let sum = |part: fn(&WallTime) -> f64| wall_times.iter().map(part).sum::<f64>();
        let (total, policy) = (sum(|s| s.total.as_secs_f64()), sum(|s| s.policies.as_secs_f64()));
        println!("{total:.1} s of one core, {policy:.1} s of it in the policies");
    }
    // Only the balancer is held to the rules; the baselines serve for comparison.
    let module = |v: &&ternstack_fleet_simulator::experiment::VariantResults| {
        v.policy == ternstack_fleet_simulator::policy::PolicyKind::Module
    };
    let broken: u64 = results.variants.iter().filter(module).map(|v| v.violation_count()).sum();
    Ok(if broken > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn read_results(file: &Path) -> Result<Results, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))
}

fn write_results(out: &Path, results: &Results, wall_times: &[WallTime]) -> Result<(), String> {
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let file = |ending: &str, bytes: &[u8]| {
        let path = out.join(format!("{}.{ending}", results.experiment));
        std::fs::write(&path, bytes).map_err(|e| format!("{}: {e}", path.display()))
    };
    file("json", serde_json::to_string(results).map_err(|e| e.to_string())?.as_bytes())?;
    file("csv", &report::csv(results)?)?;
    file("html", report::html(results, wall_times)?.as_bytes())?;
    eprintln!("{} written", out.join(format!("{}.{{html,json,csv}}", results.experiment)).display());
    Ok(())
}

/// A compared value: the name and the function that computes it.
type ComparedValue = (&'static str, fn(&Findings) -> f64);

/// The compared values; a larger value is better for each.
const COMPARED_VALUES: [ComparedValue; 5] = [
    ("service", |f| f.service),
    ("worst 10 s", |f| f.worst_10_s),
    ("at end", |f| f.at_end),
    ("worst class", |f| f.classes.iter().map(|c| c.service).fold(1.0, f64::min)),
    ("less waste", |f| -f.wasted),
];

fn compare_files(a: &Path, b: &Path, json: bool) -> Result<(), String> {
    let (first, second) = (read_results(a)?, read_results(b)?);
    if first.experiment != second.experiment {
        return Err(format!("{} and {} are different experiments", first.experiment, second.experiment));
    }
    let mut all = Vec::new();
    for v in &first.variants {
        let Some(other) = second.variants.iter().find(|o| o.name == v.name) else { continue };
        for (name, value) in COMPARED_VALUES {
            if let Some(paired) = compare_variants(v, other, value) {
                all.push(serde_json::json!({"variant": v.name, "figure": name, "paired": paired}));
                let verdict = match paired.verdict {
                    Verdict::Better => "better",
                    Verdict::Worse => "worse",
                    Verdict::Noise => "noise",
                };
                if !json {
                    let (d, w, n) = (paired.difference, paired.half_width, paired.pairs);
                    println!("{:<28} {name:<12} {d:>+8.4} ± {w:.4}  {verdict} ({n} pairs)", v.name);
                }
            }
        }
    }
    if all.is_empty() {
        return Err("expected a variant with at least two seeds in both files, found none".into());
    }
    if json {
        println!("{}", serde_json::Value::Array(all));
    }
    Ok(())
}

fn trace(file: &Path, what: TraceTarget, seed: u64, variant: Option<&str>) -> Result<(), String> {
    let experiment = Experiment::load(file)?;
    let cases = experiment.cases().map_err(|(path, e)| format!("{path}: {e}"))?;
    let case = cases.iter().find(|c| variant.is_none_or(|v| c.name == v));
    let case = case.ok_or_else(|| format!("{}: expected the name of a variant", file.display()))?;
    let (outcome, _) = experiment.run_case(case, seed, Some(what))?;
    if outcome.trace.is_empty() {
        return Err(format!("{what:?} did not occur in seed {seed} of {}", case.name));
    }
    outcome.trace.iter().for_each(|line| println!("{line}"));
    Ok(())
}
