//! Bit-exact digests of the balancer's decisions for random event streams, compared with a recorded
//! fixture.
//!
//! Each stream is a seeded simulation that carries out the balancer's actions. A stream's digest covers the
//! time and kind of each event and the numbers of each action, floats by their bits, and doesn't depend on
//! any name. To update the fixture after an intended change of a decision, run the test with
//! `DECISION_DIGESTS=print` and copy the printed lines that start with a number.

mod adapter;
mod digest;
mod fleet;
mod random;
mod scenario;
mod simulation;

use simulation::{Simulation, StreamResult};
use std::fmt::Write as _;

const STREAM_COUNT: u64 = scenario::FIRST_KEYED_STREAM + 30;
const FIXTURE: &str = include_str!("../fixtures/decision_digests.txt");

/// Returns the line of the fixture for a stream.
fn fixture_line(stream: u64, result: &StreamResult) -> String {
    format!("{stream} {} {} {:016x}", result.events, result.actions, result.digest)
}

#[test]
fn every_stream_leads_to_the_recorded_decisions() {
    let results: Vec<StreamResult> = (0..STREAM_COUNT).map(Simulation::run).collect();
    let lines: Vec<String> =
        (0..).zip(&results).map(|(stream, result)| fixture_line(stream, result)).collect();
    let events: usize = results.iter().map(|result| result.events).sum();
    let actions: usize = results.iter().map(|result| result.actions).sum();
    if std::env::var("DECISION_DIGESTS").is_ok_and(|value| value == "print") {
        println!("{}\n{events} events, {actions} actions", lines.join("\n"));
    }
    assert!(events >= 100_000, "at least 100000 events are handled, not {events}");
    let recorded: Vec<&str> = FIXTURE.lines().filter(|line| !line.starts_with('#')).collect();
    assert_eq!(recorded.len(), lines.len(), "the fixture has one line for each stream");
    let mut differing = String::new();
    for (expected, actual) in recorded.iter().zip(&lines) {
        if expected != actual {
            let _ = writeln!(differing, "expected {expected}, got {actual}");
        }
    }
    let count = differing.lines().count();
    assert!(differing.is_empty(), "{count} of {STREAM_COUNT} streams differ:\n{differing}");
}

#[test]
fn the_same_stream_leads_to_the_same_decisions() {
    assert_eq!(Simulation::run(3), Simulation::run(3));
}
