//! Schedules of faults keep their values and their form: drawn ones by digest, and a stored one with every key.

use std::fmt::Write as _;
use ternstack_fault_tests::fault_schedule::Schedule;

const DIGESTS: &str = include_str!("fixtures/schedules.txt");
const EVERY_KEY: &str = include_str!("fixtures/every-key.toml");

fn fnv(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

#[test]
fn drawn_schedules_keep_their_values() {
    let mut seen = String::new();
    for seed in 0..60 {
        let (gateways, hosts) = (1 + seed as usize % 5, 1 + seed as usize % 4);
        let schedule = Schedule::draw(seed, gateways, hosts, 4000 + 500 * seed, 12);
        let text = schedule.print().expect("TOML");
        let again = Schedule::read(&text).expect("what was printed").print().expect("TOML");
        assert_eq!(again, text, "seed {seed}");
        let _ = writeln!(seen, "{seed} {} {:016x}", schedule.steps.len(), fnv(&text));
    }
    if std::env::var("SCHEDULES").is_ok_and(|wanted| wanted == "print") {
        println!("{seen}");
    }
    assert_eq!(seen, DIGESTS);
}

#[test]
fn a_schedule_with_every_key_reads_and_prints_to_the_same_bytes() {
    let schedule = Schedule::read(EVERY_KEY).expect("a sound schedule");
    assert_eq!(schedule.print().expect("TOML"), EVERY_KEY);
}

#[test]
fn faulty_schedules_keep_the_texts_of_their_errors() {
    let step = |at: u64, deed: &str| format!("[[steps]]\nat_ms = {at}\nfor_ms = 1\n{deed}\n");
    let head = "gateways = 2\nhosts = 1\nlength_ms = 9\n";
    for (steps, wanted) in [
        (
            step(1, "deed.kill.gateway = 2"),
            "steps[0].deed: unknown gateway: the site has 2 gateways, numbered from 0",
        ),
        (
            step(1, "deed.drain.host = 1"),
            "steps[0].deed: unknown host: the site has 1 hosts, numbered from 0",
        ),
        (
            step(5, "deed.pause.gateway = 1") + &step(4, "deed.term.gateway = 1"),
            "steps[1].at_ms: 4 ms is before the previous step (5 ms), expected ascending times",
        ),
    ] {
        let error = Schedule::read(&format!("{head}{steps}")).expect_err("a faulty schedule");
        assert_eq!(error.to_string(), wanted);
    }
}
