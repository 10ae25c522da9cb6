//! Formats the results of the fault matrix as a table.
use super::CaseResult;
use crate::invariants::Invariant;
use std::fmt::Write as _;

const HEADER: &str =
    "| fault | struck | messages | answers | served | unanswered | twice | late | swapped | repeated | after grace | \
     no advice | back |\n|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---|\n";

/// Invariants that have a column of violation counts, in the order of the columns.
const COLUMNS: [Invariant; 7] = [
    Invariant::Answered,
    Invariant::AnsweredOnce,
    Invariant::InTime,
    Invariant::BodyUnchanged,
    Invariant::Idempotency,
    Invariant::Draining,
    Invariant::RetryAfter,
];

/// Returns the results as a table in Markdown, a row for each case.
pub fn table(results: &[CaseResult]) -> String {
    let mut text = String::from(HEADER);
    for result in results {
        let hit_count = result.hit_count.map_or("-".into(), |count| count.to_string());
        let CaseResult { name, requests, responses, served, .. } = result;
        // Writing to a string cannot fail.
        let _ = write!(text, "| {name} | {hit_count} | {requests} | {responses} | {served} |");
        for invariant in COLUMNS {
            let _ = write!(text, " {} |", result.count(invariant));
        }
        text += if result.recovered { " yes |\n" } else { " no |\n" };
    }
    text
}
