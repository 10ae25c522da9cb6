//! The subcommand: plays the plans that the options ask for, one after another, and tells what came of it.
use crate::options::Options;
use crate::report;
use crate::run::{play, LaunchCommands, Outcome};

/// Plays all; whether the judge is content with every run. `launches` start this program as a part of a fleet
/// ([`crate::worker::run_worker`]) and as a gateway.
pub fn run(options: &Options, launches: &LaunchCommands) -> Result<bool, String> {
    let plans = options.plans()?;
    if let Some(out) = &options.out {
        std::fs::create_dir_all(out).map_err(|e| format!("--out {}: {e}", out.display()))?;
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let say = |line: String| eprintln!("{line}");
    let mut outcomes: Vec<Outcome> = Vec::new();
    for (n, plan) in plans.iter().enumerate() {
        // The largest one shows what it cost before.
        let with_before = !options.no_before && n + 1 == plans.len();
        let outcome = runtime.block_on(play(launches, plan, with_before, &say))?;
        if !options.json {
            println!("{}", report::text(&outcome));
        }
        outcomes.push(outcome);
    }
    let size: (&str, fn(&Outcome) -> f64) = match options.host_steps.is_empty() {
        true => ("gateways", |o| o.plan.size.gateways as f64),
        false => ("hosts", |o| o.plan.size.hosts as f64),
    };
    let json = || serde_json::to_string(&outcomes).map_err(|e| e.to_string());
    if options.json {
        println!("{}", json()?);
    } else {
        print!("{}", report::slopes(&outcomes, size));
    }
    if let Some(out) = &options.out {
        let write = |name: &str, text: String| {
            let path = out.join(name);
            std::fs::write(&path, text).map_err(|e| format!("--out {}: {e}", path.display()))
        };
        write("scale.json", json()?)?;
        write("scale.html", report::html(&outcomes, size)?)?;
        eprintln!("{} written", out.join("scale.{html,json}").display());
    }
    Ok(outcomes.iter().all(|o| o.offences.is_empty()))
}
