//! Fault schedules keep their values and their format: drawn schedules are compared by digest, and a stored
//! schedule with every key is compared byte by byte.

use std::fmt::Write as _;
use ternstack_fault_tests::fault_schedule::Schedule;

const DIGESTS: &str = include_str!("fixtures/schedules.txt");
const EVERY_KEY: &str = include_str!("fixtures/every-key.toml");

fn fnv1a_hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

#[test]
fn drawn_schedules_match_recorded_digests() {
    let mut digests = String::new();
    for seed in 0..60 {
        let (gateways, hosts) = (1 + seed as usize % 5, 1 + seed as usize % 4);
        let schedule = Schedule::draw(seed, gateways, hosts, 4000 + 500 * seed, 12);
        let text = schedule.print().expect("the schedule can be printed as TOML");
        let reprinted = Schedule::read(&text)
            .expect("a printed schedule can be parsed")
            .print()
            .expect("the schedule can be printed as TOML");
        assert_eq!(reprinted, text, "seed {seed}");
        let _ = writeln!(digests, "{seed} {} {:016x}", schedule.steps.len(), fnv1a_hash(&text));
    }
    if std::env::var("SCHEDULES").is_ok_and(|value| value == "print") {
        println!("{digests}");
    }
    assert_eq!(digests, DIGESTS);
}

#[test]
fn schedule_with_every_key_is_unchanged_by_parsing_and_printing() {
    let schedule = Schedule::read(EVERY_KEY).expect("the stored schedule is valid");
    assert_eq!(schedule.print().expect("the schedule can be printed as TOML"), EVERY_KEY);
}

#[test]
fn parsing_reports_unknown_gateways_unknown_hosts_and_unordered_steps() {
    let step = |at: u64, deed: &str| format!("[[steps]]\nat_ms = {at}\nfor_ms = 1\n{deed}\n");
    let head = "gateways = 2\nhosts = 1\nlength_ms = 9\n";
    for (steps, expected) in [
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
            "steps[1].at_ms: 4 ms is before the previous 5 ms, expected ascending times",
        ),
    ] {
        let error = Schedule::read(&format!("{head}{steps}")).expect_err("an invalid schedule is rejected");
        assert_eq!(error.to_string(), expected);
    }
}
