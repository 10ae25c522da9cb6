//! The table of runs with hostile clients, in Markdown.
use super::Outcome;
use std::fmt::Write;

/// Returns a table with a row for each outcome.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut text = String::from(
        "| kind | circumstance | memory MB | descriptors | clients | idle MiB | peak MiB | requests | lost | closed | rejected | failed | p99 ms | probes failed | within the limit |\n\
         | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- |\n",
    );
    for outcome in outcomes {
        let Outcome { plan, ordinary, .. } = outcome;
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "| {:?} | {:?} | {} | {} | {} | {:.1} | {:.1} | {} | {} | {} | {} | {} | {} | {} of {} | {} |",
            plan.kind,
            plan.circumstance,
            plan.memory_mb,
            plan.sockets,
            plan.kind.client_count(plan.clients),
            outcome.idle_kib as f64 / 1024.0,
            outcome.peak_kib as f64 / 1024.0,
            ordinary.requests(),
            ordinary.lost,
            ordinary.closed,
            ordinary.rejected,
            ordinary.failed,
            ordinary.p99().as_millis(),
            ordinary.failed_probes,
            ordinary.probes,
            if outcome.is_within_limit() { "yes" } else { "NO" },
        );
    }
    text
}
