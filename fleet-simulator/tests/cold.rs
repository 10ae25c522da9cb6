//! Hosts that come back cold: no fleet of gateways, whatever its size and settings, may push one over together,
//! and none may leave one without work.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ternstack_fleet_simulator::drive::Focus;
use ternstack_fleet_simulator::experiment::Experiment;
use ternstack_fleet_simulator::judge::Rule;

/// When the hosts of a zone are lost, and for how long, in seconds.
const LOST: (f64, f64) = (4.0, 5.0);

/// A fleet drawn from a seed: a zone is lost and comes back cold, with and without the list's word meanwhile.
fn fleet(seed: u64) -> (Experiment, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // The sizes at which it showed come first, then whatever is drawn.
    let sizes = [(300, 120), (300, 60), (60, 40), (350, 150), (3, 12), (20, 30)];
    let drawn = (rng.random_range(2..200), rng.random_range(5..100));
    // Twenty to thirty gateways: few enough for each to matter, too many for each to hear of a start in time.
    let middle = [(20, 12), (24, 40), (30, 9), (30, 60)];
    let drawn = seed.checked_sub(14).and_then(|n| middle.get(n as usize)).copied().unwrap_or(drawn);
    let (gateways, hosts) = sizes.get(seed as usize).copied().unwrap_or(drawn);
    let silent = seed.is_multiple_of(2);
    let zones = ["[\"a\", \"b\"]", "[\"a\", \"b\"]", "[\"a\", \"b\", \"c\"]"][rng.random_range(0..3)];
    let unequal = if rng.random_bool(0.3) { "first_zone_hosts = 0.3" } else { "" };
    let (share, warm) = (rng.random_range(0.1..0.5), rng.random_range(4.0..10.0));
    let (tip, fastest) = (rng.random_range(2.0..4.0), rng.random_range(1.2..1.8));
    let reports = seed % 5 != 3;
    let text = format!(
        r#"
name = "cold"
about = "A zone is lost and comes back cold."
length_s = {length}
[world]
gateways = {gateways}
hosts = {hosts}
zones = {zones}
{unequal}
load = 0.75
discovery = {{ capacity = 1, call_ms = 50.0, timeout_ms = 2000.0 }}
[[world.kinds]]
name = "host"
speed = [0.6, {fastest}]
cold = {{ share = {share}, warm_ms = {warm_ms}, by = "time", fall_multiple = {tip}, fall_ms = 3000.0 }}
report = {{ on = {reports} }}
[[trouble]]
at_s = {at}
for_s = {lasts}
what.zone_loss = {{ zone = 0, silent = {silent} }}
[[variant]]
name = "module"
policy = "module"
"#,
        length = LOST.0 + LOST.1 + warm + 2.0,
        warm_ms = warm * 1000.0,
        at = LOST.0,
        lasts = LOST.1,
    );
    (Experiment::read(&text).expect("a sound experiment"), warm)
}

#[test]
fn a_zone_that_comes_back_cold_is_pushed_over_by_no_fleet_and_gets_work() {
    let fleets: Vec<u64> = (0..18).collect();
    std::thread::scope(|scope| {
        for part in fleets.chunks(4) {
            scope.spawn(move || part.iter().for_each(|seed| play(*seed)));
        }
    });
}

fn play(seed: u64) {
    let (experiment, warm) = fleet(seed);
    let case = experiment.cases().expect("cases").remove(0);
    // Host 0 is in the first zone, which is the one that is lost.
    let (played, _) = experiment.play(&case, 1, Some(Focus::Host(0))).expect("it plays");
    let cold = played.findings.broken.iter().find(|o| o.rule == Rule::Cold);
    assert!(
        cold.is_none(),
        "seed {seed}: {} gateways, {} hosts: {cold:?}",
        case.world.gateways,
        case.world.hosts
    );
    let time = |line: &String| line.split_whitespace().next().and_then(|ms| ms.parse().ok()).unwrap_or(0.0);
    let started = played.trace.iter().find(|line| line.contains("starts anew")).map_or(f64::INFINITY, time);
    let cold = started + 300.0 * warm..started + 1000.0 * warm;
    let sent = played.trace.iter().filter(|l| l.contains("sends attempt") && cold.contains(&time(l))).count();
    // One a second is about a fourteenth of what it bears when warm, and more than trials alone bring.
    assert!(sent as f64 > 0.7 * warm, "seed {seed}: {sent} in {:.1} s is no work", 0.7 * warm);
}
