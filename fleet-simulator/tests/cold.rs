//! Hosts that return cold: no fleet of gateways may overload such a host until it goes down, whatever the
//! size and settings of the fleet, and none may leave the host without work.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ternstack_fleet_simulator::experiment::Experiment;
use ternstack_fleet_simulator::judge::Rule;
use ternstack_fleet_simulator::simulation::TraceTarget;

/// Start and duration of the zone loss, in seconds.
const ZONE_LOSS_S: (f64, f64) = (4.0, 5.0);

/// Draws an experiment from a seed, in which a zone is lost and returns cold; also returns the warm-up time
/// in seconds. With even seeds, the hosts become unreachable, so that discovery removes them late.
fn experiment_for_seed(seed: u64) -> (Experiment, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // The first seeds use sizes at which cold hosts were once overloaded, the others random sizes.
    let sizes = [(300, 120), (300, 60), (60, 40), (350, 150), (3, 12), (20, 30)];
    let random_size = (rng.random_range(2..200), rng.random_range(5..100));
    // With 20 to 30 gateways, each one's share matters, but not all learn of a start in time.
    let mid_sizes = [(20, 12), (24, 40), (30, 9), (30, 60)];
    let random_size =
        seed.checked_sub(14).and_then(|n| mid_sizes.get(n as usize)).copied().unwrap_or(random_size);
    let (gateways, hosts) = sizes.get(seed as usize).copied().unwrap_or(random_size);
    let silent = seed.is_multiple_of(2);
    let zones = ["[\"a\", \"b\"]", "[\"a\", \"b\"]", "[\"a\", \"b\", \"c\"]"][rng.random_range(0..3)];
    let unequal = if rng.random_bool(0.3) { "first_zone_hosts = 0.3" } else { "" };
    let (share, warm_up_s) = (rng.random_range(0.1..0.5), rng.random_range(4.0..10.0));
    let (overload_multiple, fastest) = (rng.random_range(2.0..4.0), rng.random_range(1.2..1.8));
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
cold = {{ share = {share}, warm_ms = {warm_ms}, by = "time", fall_multiple = {overload_multiple}, fall_ms = 3000.0 }}
report = {{ on = {reports} }}
[[trouble]]
at_s = {at}
for_s = {for_s}
what.zone_loss = {{ zone = 0, silent = {silent} }}
[[variant]]
name = "module"
policy = "module"
"#,
        length = ZONE_LOSS_S.0 + ZONE_LOSS_S.1 + warm_up_s + 2.0,
        warm_ms = warm_up_s * 1000.0,
        at = ZONE_LOSS_S.0,
        for_s = ZONE_LOSS_S.1,
    );
    (Experiment::read(&text).expect("the experiment is valid"), warm_up_s)
}

#[test]
fn zone_returning_cold_is_not_overloaded_by_any_fleet_and_receives_work() {
    let fleets: Vec<u64> = (0..18).collect();
    std::thread::scope(|scope| {
        for part in fleets.chunks(4) {
            scope.spawn(move || part.iter().for_each(|seed| check_fleet(*seed)));
        }
    });
}

fn check_fleet(seed: u64) {
    let (experiment, warm_up_s) = experiment_for_seed(seed);
    let case = experiment.cases().expect("the cases are valid").remove(0);
    // Host 0 is in the first zone, which is lost.
    let (outcome, _) =
        experiment.run_case(&case, 1, Some(TraceTarget::Host(0))).expect("the simulation completes");
    let cold = outcome.findings.broken.iter().find(|o| o.rule == Rule::Cold);
    assert!(
        cold.is_none(),
        "seed {seed}: {} gateways, {} hosts: {cold:?}",
        case.world.gateways,
        case.world.hosts
    );
    let time = |line: &String| line.split_whitespace().next().and_then(|ms| ms.parse().ok()).unwrap_or(0.0);
    let started = outcome.trace.iter().find(|line| line.contains("starts anew")).map_or(f64::INFINITY, time);
    let cold = started + 300.0 * warm_up_s..started + 1000.0 * warm_up_s;
    let sent =
        outcome.trace.iter().filter(|l| l.contains("sends attempt") && cold.contains(&time(l))).count();
    // One attempt per second is about 1/14 of what a warm host can serve, and more than probes alone would
    // send.
    assert!(
        sent as f64 > 0.7 * warm_up_s,
        "seed {seed}: expected at least one attempt per second of warming up, got {sent} in {:.1} s",
        0.7 * warm_up_s
    );
}
