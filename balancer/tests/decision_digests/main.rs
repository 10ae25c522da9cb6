//! The balancer's decisions, bit by bit: drawn event streams whose actions must never change.
//!
//! Each stream is a seeded world that carries out the balancer's own actions. Its digest covers every event's
//! time and kind and every action's numbers, floats by their bits, and hangs on no name. To write the fixture
//! after a wanted change of a decision, run with `DECISION_DIGESTS=print` and keep the lines that start with
//! a number.

mod adapter;
mod digest;
mod fleet;
mod plan;
mod random;
mod world;

use std::fmt::Write as _;
use world::{Played, World};

const STREAM_COUNT: u64 = plan::FIRST_KEYED_STREAM + 30;
const FIXTURE: &str = include_str!("../fixtures/decision_digests.txt");

fn line(stream: u64, played: &Played) -> String {
    format!("{stream} {} {} {:016x}", played.events, played.actions, played.digest)
}

#[test]
fn every_stream_leads_to_the_decisions_on_record() {
    let played: Vec<Played> = (0..STREAM_COUNT).map(World::play).collect();
    let lines: Vec<String> = (0..).zip(&played).map(|(stream, played)| line(stream, played)).collect();
    let events: usize = played.iter().map(|played| played.events).sum();
    let actions: usize = played.iter().map(|played| played.actions).sum();
    if std::env::var("DECISION_DIGESTS").is_ok_and(|wanted| wanted == "print") {
        println!("{}\n{events} events, {actions} actions", lines.join("\n"));
    }
    assert!(events >= 100_000, "only {events} events");
    let recorded: Vec<&str> = FIXTURE.lines().filter(|line| !line.starts_with('#')).collect();
    assert_eq!(recorded.len(), lines.len(), "the fixture has a line for each stream");
    let mut differing = String::new();
    for (recorded, seen) in recorded.iter().zip(&lines) {
        if recorded != seen {
            let _ = writeln!(differing, "recorded {recorded}, seen {seen}");
        }
    }
    let count = differing.lines().count();
    assert!(differing.is_empty(), "{count} of {STREAM_COUNT} streams differ:\n{differing}");
}

#[test]
fn a_stream_repeats_itself() {
    assert_eq!(World::play(3), World::play(3));
}
