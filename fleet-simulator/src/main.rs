//! `ternstack-fleet-simulator`: plays experiments in the model and reports on them.
use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use ternstack_fault_tests::process::{run_gateway, Launch};
use ternstack_fleet_simulator::drive::Focus;
use ternstack_fleet_simulator::experiment::{Experiment, Results, Spent};
use ternstack_fleet_simulator::judge::Findings;
use ternstack_fleet_simulator::report;
use ternstack_fleet_simulator::statistics::{compare, Verdict};
use ternstack_scale_tests::run::LaunchCommands;

/// Where the shipped experiments are, from the repository's root.
const SHIPPED: &str = "fleet-simulator/experiments";

/// The laboratory: a model of a whole platform in virtual time round the gateways' real decisions.
#[derive(Parser)]
#[command(name = "ternstack-fleet-simulator", version, about)]
struct Cli {
    /// Tell more; twice for the module's own log lines.
    #[arg(short, long, global = true, action = clap::ArgAction::Count)]
    verbose: u8,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// List the experiments of a folder.
    List {
        /// The folder.
        #[arg(default_value = SHIPPED)]
        folder: PathBuf,
    },
    /// Check an experiment's file, and say what it would play.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Play an experiment. Exits with 1 if the module broke a rule.
    Run {
        /// The file.
        file: PathBuf,
        /// Seeds, in place of the file's.
        #[arg(long)]
        seeds: Option<u32>,
        /// Only variants whose names hold this.
        #[arg(long)]
        only: Option<String>,
        /// Runs at once; one for each core where absent.
        #[arg(long, default_value_t = 0)]
        jobs: usize,
        /// The folder for NAME.json, NAME.csv and NAME.html.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Print the results as JSON in place of the table.
        #[arg(long)]
        json: bool,
    },
    /// Tell whether B is better than A, worse, or noise: paired by seed, variant by variant.
    Compare {
        /// Results as JSON.
        a: PathBuf,
        /// Results as JSON.
        b: PathBuf,
        /// Print it as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show results as a table, and write the page where a folder is given.
    Show {
        /// Results as JSON.
        results: PathBuf,
        /// The folder for NAME.html.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Show real gateways under load: a burst, half of the hosts lost, one gateway killed, one cut off. Exits with 1 if a
    /// promise was broken.
    Demo {
        /// Plain lines, one a second; there is no other view yet.
        #[arg(long)]
        plain: bool,
        /// How long.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(10..=600))]
        seconds: u64,
    },
    /// Work out what each role needs at a size, from a file of sizes, budgets and measured slopes; or measure slopes.
    Capacity(ternstack_fleet_simulator::capacity::cli::Capacities),
    /// Play a fleet of hollow gateways before control machines, measure it by role, and judge it from outside. Exits with
    /// 1 if a promise was broken.
    Scale(Box<ternstack_scale_tests::options::Options>),
    /// Be a gateway: the demo starts itself so.
    #[command(hide = true)]
    Gateway {
        /// What the gateway reads itself.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        rest: Vec<std::ffi::OsString>,
    },
    /// Be a process of a fleet: the scale run starts itself so.
    #[command(hide = true)]
    Part,
    /// Print what happened to one message or host of a run, and what was decided about it.
    Trace {
        /// The experiment's file.
        file: PathBuf,
        /// `message:N` or `host:N`.
        #[arg(value_parser = focus)]
        what: Focus,
        /// The run's seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The variant; the first one where absent.
        #[arg(long)]
        variant: Option<String>,
    },
}

/// Shows real processes of the gateway through a burst, lost hosts, a kill and a cut.
fn demo(seconds: u64) -> Result<ExitCode, String> {
    let launch = Launch::current_program().map_err(|e| e.to_string())?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(|e| e.to_string())?;
    let kept = runtime
        .block_on(ternstack_fault_tests::demo::play(&launch, Duration::from_secs(seconds)))
        .map_err(|e| e.to_string())?;
    Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Plays fleets of hollow gateways.
fn scale(options: &ternstack_scale_tests::options::Options) -> Result<ExitCode, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let worker = Launch { program, args: vec!["part".into()], variables: Vec::new() };
    let gateway = Some(Launch::current_program().map_err(|e| e.to_string())?);
    let kept = ternstack_scale_tests::command::run(options, &LaunchCommands { worker, gateway })?;
    Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn focus(text: &str) -> Result<Focus, String> {
    let wanted = || "expected message:N or host:N".to_string();
    let (kind, number) = text.split_once(':').ok_or_else(wanted)?;
    match kind {
        "message" => number.parse().map(Focus::Message).map_err(|_| wanted()),
        "host" => number.parse().map(Focus::Host).map_err(|_| wanted()),
        _ => Err(wanted()),
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    // It has a log of its own.
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
    match work(cli.command) {
        Ok(code) => code,
        Err(problem) => {
            eprintln!("ternstack-fleet-simulator: {problem}");
            ExitCode::from(2)
        }
    }
}

fn work(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::List { folder } => list(&folder)?,
        Command::Check { file } => check(&file)?,
        Command::Run { file, seeds, only, jobs, out, json } => {
            return run(&file, seeds, only, jobs, out.as_deref(), json)
        }
        Command::Compare { a, b, json } => compare_files(&a, &b, json)?,
        Command::Show { results, out } => {
            let results = read(&results)?;
            print!("{}", report::table(&results));
            if let Some(out) = out {
                write(&out, &results, &[])?;
            }
        }
        Command::Demo { plain: _, seconds } => return demo(seconds),
        Command::Capacity(told) => return ternstack_fleet_simulator::capacity::cli::run(told),
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
    for trouble in &experiment.trouble {
        println!("  from {} s for {} s: {}", trouble.at_s, trouble.for_s, trouble.name());
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
    if only.is_some_and(|text| !experiment.only(&text)) {
        return Err("--only: no variant's name holds that".into());
    }
    let runs = experiment.cases().map_err(|(path, e)| format!("{path}: {e}"))?.len() as u64;
    let bar = ProgressBar::new(runs * u64::from(experiment.seeds));
    let style = ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} runs, {eta} to go");
    bar.set_style(style.map_err(|e| e.to_string())?);
    bar.set_message(experiment.name.clone());
    let (results, spent) = experiment.run(jobs, &|| bar.inc(1))?;
    bar.finish_and_clear();
    if let Some(out) = out {
        write(out, &results, &spent)?;
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
        let sum = |part: fn(&Spent) -> f64| spent.iter().map(part).sum::<f64>();
        let (whole, policy) = (sum(|s| s.whole.as_secs_f64()), sum(|s| s.policy.as_secs_f64()));
        println!("{whole:.1} s of one core, {policy:.1} s of it in the policies");
    }
    // The comparison policies are not held to the rules: they are here to be compared.
    let module = |v: &&ternstack_fleet_simulator::experiment::VariantResults| {
        v.policy == ternstack_fleet_simulator::policy::Which::Module
    };
    let broken: u64 = results.variants.iter().filter(module).map(|v| v.broken()).sum();
    Ok(if broken > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn read(file: &Path) -> Result<Results, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))
}

fn write(out: &Path, results: &Results, spent: &[Spent]) -> Result<(), String> {
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let file = |ending: &str, bytes: &[u8]| {
        let path = out.join(format!("{}.{ending}", results.experiment));
        std::fs::write(&path, bytes).map_err(|e| format!("{}: {e}", path.display()))
    };
    file("json", serde_json::to_string(results).map_err(|e| e.to_string())?.as_bytes())?;
    file("csv", &report::csv(results)?)?;
    file("html", report::html(results, spent)?.as_bytes())?;
    eprintln!("{} written", out.join(format!("{}.{{html,json,csv}}", results.experiment)).display());
    Ok(())
}

/// A figure that is compared: its name, and whether more of it is better.
type Figure = (&'static str, fn(&Findings) -> f64);

/// The figures that are compared: more is better of each.
const FIGURES: [Figure; 5] = [
    ("service", |f| f.service),
    ("worst 10 s", |f| f.worst_10_s),
    ("at end", |f| f.at_end),
    ("worst class", |f| f.classes.iter().map(|c| c.service).fold(1.0, f64::min)),
    ("less waste", |f| -f.wasted),
];

fn compare_files(a: &Path, b: &Path, json: bool) -> Result<(), String> {
    let (first, second) = (read(a)?, read(b)?);
    if first.experiment != second.experiment {
        return Err(format!("{} and {} are different experiments", first.experiment, second.experiment));
    }
    let mut all = Vec::new();
    for v in &first.variants {
        let Some(other) = second.variants.iter().find(|o| o.name == v.name) else { continue };
        for (name, value) in FIGURES {
            if let Some(paired) = compare(v, other, value) {
                all.push(serde_json::json!({"variant": v.name, "figure": name, "paired": paired}));
                let word = match paired.verdict {
                    Verdict::Better => "better",
                    Verdict::Worse => "worse",
                    Verdict::Noise => "noise",
                };
                if !json {
                    let (d, w, n) = (paired.difference, paired.half_width, paired.pairs);
                    println!("{:<28} {name:<12} {d:>+8.4} ± {w:.4}  {word} ({n} pairs)", v.name);
                }
            }
        }
    }
    if all.is_empty() {
        return Err("no variant has two seeds in both files: nothing can be told".into());
    }
    if json {
        println!("{}", serde_json::Value::Array(all));
    }
    Ok(())
}

fn trace(file: &Path, what: Focus, seed: u64, variant: Option<&str>) -> Result<(), String> {
    let experiment = Experiment::load(file)?;
    let cases = experiment.cases().map_err(|(path, e)| format!("{path}: {e}"))?;
    let case = cases.iter().find(|c| variant.is_none_or(|v| c.name == v));
    let case = case.ok_or_else(|| format!("{}: no variant has that name", file.display()))?;
    let (played, _) = experiment.play(case, seed, Some(what))?;
    if played.trace.is_empty() {
        return Err(format!("{what:?} did not occur in seed {seed} of {}", case.name));
    }
    played.trace.iter().for_each(|line| println!("{line}"));
    Ok(())
}
