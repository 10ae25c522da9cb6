//! The `scale` subcommand: executes the plans that the options describe, one after another, and writes the
//! results.
use crate::options::Options;
use crate::report;
use crate::run::{execute, LaunchCommands, Outcome};

/// Executes all plans. Returns whether every run kept all invariants.
///
/// # Errors
/// Invalid options, a run that fails, or an output file that can't be written.
pub fn run(options: &Options, launch_commands: &LaunchCommands) -> Result<bool, String> {
    let plans = options.plans()?;
    if let Some(folder) = &options.out {
        std::fs::create_dir_all(folder)
            .map_err(|e| format!("--out {}: cannot create the folder: {e}", folder.display()))?;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("cannot create the runtime: {e}"))?;
    let report_progress = |line: String| eprintln!("{line}");
    let mut outcomes: Vec<Outcome> = Vec::new();
    for (n, plan) in plans.iter().enumerate() {
        // Only the last plan, normally the largest one, measures the cost of a full state.
        let with_full_state_cost = !options.no_before && n + 1 == plans.len();
        let outcome =
            runtime.block_on(execute(launch_commands, plan, with_full_state_cost, &report_progress))?;
        if !options.json {
            println!("{}", report::markdown(&outcome));
        }
        outcomes.push(outcome);
    }
    let size: (&str, fn(&Outcome) -> f64) = match options.host_steps.is_empty() {
        true => ("gateways", |o| o.plan.size.gateways as f64),
        false => ("hosts", |o| o.plan.size.hosts as f64),
    };
    let json =
        || serde_json::to_string(&outcomes).map_err(|e| format!("cannot encode the results as JSON: {e}"));
    if options.json {
        println!("{}", json()?);
    } else {
        print!("{}", report::slope_table(&outcomes, size));
    }
    if let Some(folder) = &options.out {
        let write = |name: &str, text: String| {
            let path = folder.join(name);
            std::fs::write(&path, text)
                .map_err(|e| format!("--out {}: cannot write the file: {e}", path.display()))
        };
        write("scale.json", json()?)?;
        write("scale.html", report::html_page(&outcomes, size)?)?;
        eprintln!("wrote {}", folder.join("scale.{html,json}").display());
    }
    Ok(outcomes.iter().all(|o| o.violations.is_empty()))
}
