//! Experiment files, reproducibility of runs, and service under the shipped experiments.
use std::path::Path;
use ternstack_fleet_simulator::experiment::Experiment;
use ternstack_fleet_simulator::judge::Findings;
use ternstack_fleet_simulator::report;
use ternstack_fleet_simulator::simulation::TraceTarget;
use ternstack_fleet_simulator::statistics::{compare_pairs, Verdict};

const SMALL_EXPERIMENT: &str = r#"
name = "small"
about = "Twelve seconds with a burst, for tests."
seeds = 3
length_s = 12.0

[world]
hosts = 6
load = 0.8

[[trouble]]
at_s = 4.0
for_s = 2.0
what.burst = { times = 2.0 }

[[variant]]
name = "module"

[[variant]]
name = "random"
policy = "random"

[[variant]]
name = "few tries"
policy = "two_choices"
budget = 0.2
set = { "world.gateway.max_attempts" = 1 }
"#;

fn small_experiment() -> Experiment {
    Experiment::read(SMALL_EXPERIMENT).expect("the experiment is valid")
}

#[test]
fn results_do_not_depend_on_the_number_of_jobs() {
    let json = |jobs| {
        serde_json::to_string(&small_experiment().run(jobs, &|| ()).expect("the simulation completes").0)
            .expect("the results serialize to JSON")
    };
    let one = json(1);
    assert!(one == json(4), "one job and four jobs give the same results");
    let parsed: ternstack_fleet_simulator::experiment::Results =
        serde_json::from_str(&one).expect("the results parse");
    assert!(
        serde_json::to_string(&parsed).expect("the results serialize to JSON") == one,
        "parsed results serialize to the same JSON"
    );
    assert!(report::html(&parsed, &[]).expect("the page is rendered").contains("<svg"));
    assert_eq!(report::table(&parsed).lines().count(), 2 + 3);
    let csv = String::from_utf8(report::csv(&parsed).expect("the CSV is written")).expect("the CSV is UTF-8");
    assert_eq!(csv.lines().count(), 1 + 3 * 3 * parsed.variants[0].runs[0].findings.bins.len());
}

#[test]
fn variants_see_the_same_arrivals_and_earn_at_most_the_offered_worth() {
    let (results, _) = small_experiment().run(2, &|| ()).expect("the simulation completes");
    for seed in 0..3 {
        let findings_of = |v: usize| &results.variants[v].runs[seed].findings;
        for v in 1..3 {
            for (n, (a, b)) in findings_of(0).bins.iter().zip(&findings_of(v).bins).enumerate() {
                assert_eq!((a.messages, a.asked, a.offered), (b.messages, b.asked, b.offered), "bin {n}");
            }
        }
        for v in 0..3 {
            let f = findings_of(v);
            assert!(f.bins.iter().all(|b| b.earned <= b.asked + 1e-9 && b.tries >= b.messages.min(1)));
            assert!(f.tries_per_message >= 1.0 && f.service > 0.0 && f.service <= 1.0);
        }
    }
    // The third variant permits one attempt per try.
    assert!(
        results.variants[2].runs[0].findings.attempts_per_message
            <= results.variants[2].runs[0].findings.tries_per_message
    );
}

#[test]
fn overload_beyond_capacity_leaves_no_message_or_try_in_flight() {
    let mut experiment = small_experiment();
    experiment.world.load = 6.0;
    let mut peak_with_length = |length_s: f64| {
        experiment.length_s = length_s;
        let case = experiment.cases().expect("the cases are valid").remove(1);
        let (outcome, _) = experiment.run_case(&case, 1, None).expect("the simulation completes");
        assert_eq!(outcome.remaining_in_flight[..2], [0, 0], "no message or try is left in flight");
        assert!(outcome.findings.service < 0.5);
        outcome.peak_in_flight
    };
    // The deadlines limit the number in flight, whatever the length of the overload.
    let (short, long) = (peak_with_length(10.0), peak_with_length(40.0));
    for (s, l) in short.iter().zip(long) {
        assert!(l < s * 2, "{short:?} {long:?}");
    }
}

#[test]
fn trace_shows_events_of_a_message_and_of_a_host() {
    let experiment = small_experiment();
    let case = experiment.cases().expect("the cases are valid").remove(0);
    let trace =
        |target| experiment.run_case(&case, 1, Some(target)).expect("the simulation completes").0.trace;
    let message = trace(TraceTarget::Message(7));
    assert!(message[0].contains("try 1 to gateway"), "{message:?}");
    assert!(message.iter().any(|l| l.contains("the client")), "{message:?}");
    assert!(trace(TraceTarget::Host(2)).iter().any(|l| l.contains("host 2 accepts the attempt")));
    assert_eq!(trace(TraceTarget::Message(9_999_999)), Vec::<String>::new());
}

#[test]
fn invalid_experiment_is_rejected_with_line_and_key() {
    let error_after =
        |from: &str, to: &str| Experiment::read(&SMALL_EXPERIMENT.replacen(from, to, 1)).expect_err(to);
    for (from, to, line, expected_text) in [
        ("seeds = 3", "seeds = 0", 4, "seeds: expected 1 to 10000"),
        ("seeds = 3", "seed = 3", 4, "unknown field `seed`"),
        ("hosts = 6", "hosts = \"many\"", 8, "expected u32"),
        ("load = 0.8", "load = -0.8", 9, "world.load: expected a number above 0"),
        ("load = 0.8", "laod = 0.8", 9, "unknown field `laod`"),
        ("for_s = 2.0", "for_s = 0.0", 13, "trouble[0].for_s: expected a number above 0"),
        ("times = 2.0", "times = 0.5", 14, "trouble[0].what.burst.times: expected 1 or more"),
        ("what.burst", "what.blast", 14, "unknown variant `blast`"),
        ("policy = \"random\"", "policy = \"rendom\"", 21, "unknown variant `rendom`"),
        ("budget = 0.2", "budget = 2.0", 26, "variant[2].budget: expected 0 to 1"),
        ("\"random\"\npolicy", "\"module\"\npolicy", 20, "expected a name that no other variant has"),
        ("max_attempts\" = 1", "max_attempts\" = 0", 27, "gateway.max_attempts: expected 1 or more"),
        ("max_attempts\" = 1", "max_tries\" = 1", 27, "unknown field `max_tries`"),
        ("\"world.gateway", "\"world.gatweay", 27, "gatweay: no such key"),
    ] {
        let error = error_after(from, to);
        assert!(error.starts_with(&format!("{line}: ")), "expected line {line}, got: {error}");
        assert!(error.contains(expected_text), "{expected_text:?} expected in the error: {error}");
    }
}

#[test]
fn shipped_experiments_load_without_errors() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let mut names = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the folder of experiments is readable") {
        let path = entry.expect("the folder entry is readable").path();
        if path.is_file() {
            names.push(Experiment::load(&path).expect("the experiment file is valid").name);
        }
    }
    assert!(names.len() >= 9, "{names:?}");
}

/// Returns seed and findings of the balancer's first runs of a shipped experiment.
fn findings(name: &str, seeds: u32) -> Vec<(u64, Findings)> {
    findings_at(name, seeds, None)
}

/// Like [`findings`], with other numbers of gateways and hosts if `size` is set.
fn findings_at(name: &str, seeds: u32, size: Option<(u32, u32)>) -> Vec<(u64, Findings)> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("experiments/{name}.toml"));
    let mut experiment = Experiment::load(&path).expect("the experiment file is valid");
    if let Some(size) = size {
        (experiment.world.gateways, experiment.world.hosts) = size;
    }
    assert!(experiment.retain_variants("module"));
    experiment.seeds = seeds;
    let (results, _) = experiment.run(2, &|| ()).expect("the simulation completes");
    results.variants[0].runs.iter().map(|run| (run.seed, run.findings.clone())).collect()
}

#[test]
fn balancer_recovers_from_a_jam_once_its_cause_is_gone() {
    for (seed, f) in findings("jam", 3) {
        // When attempts were given up early and sent again, service stayed at 0.77 to 0.82 in these seeds,
        // and seven of 20 seeds never recovered.
        assert!(f.service > 0.85 && f.at_end > 0.95, "seed {seed}: {} {}", f.service, f.at_end);
        assert_eq!(f.broken, []);
    }
}

#[test]
fn large_fleets_of_gateways_keep_service_and_rules() {
    // With twelve gateways per host, a single outstanding attempt from each gateway already overloads the
    // host.
    for (name, seeds, min_service) in
        [("fleet-herd", 2, 0.9), ("fleet-zone", 1, 0.7), ("fleet-join", 2, 0.93)]
    {
        for (seed, f) in findings(name, seeds) {
            assert!(f.service > min_service, "{name}, seed {seed}: {}", f.service);
            assert_eq!(f.broken, [], "{name}, seed {seed}");
        }
    }
}

#[test]
fn balancer_does_not_repeat_slow_attempts_until_a_burst_becomes_a_jam() {
    // Attempts given up at the latency objective kept running at the host while the client retried, which
    // gave service of 0.46 to 0.66. Overloaded hosts that got new work before they had recovered gave 0.61
    // with 350 gateways, 0.74 with 90 and 0.75 with 40.
    for (size, min_service) in [((350, 100), 0.7), ((90, 60), 0.77), ((40, 20), 0.785)] {
        let runs = findings_at("mass-choke", 3, Some(size));
        let mean = runs.iter().map(|(_, f)| f.service).sum::<f64>() / runs.len() as f64;
        assert!(mean > min_service, "{size:?}: {mean}");
        assert!(runs.iter().all(|(_, f)| f.broken.is_empty()), "{size:?}");
    }
}

#[test]
fn paired_comparison_distinguishes_differences_from_noise() {
    let base: Vec<f64> = (0..20).map(|n| 0.8 + 0.01 * f64::from(n % 5)).collect();
    let shifted_by = |by: f64| -> Vec<f64> {
        base.iter().enumerate().map(|(n, b)| b + by + if n % 2 == 0 { 0.004 } else { -0.004 }).collect()
    };
    let verdict = |other: &[f64]| compare_pairs(&base, other).expect("twenty pairs can be compared").verdict;
    assert_eq!(verdict(&shifted_by(0.01)), Verdict::Better);
    assert_eq!(verdict(&shifted_by(-0.01)), Verdict::Worse);
    assert_eq!(verdict(&shifted_by(0.0)), Verdict::Noise);
    assert!(compare_pairs(&[0.5], &[0.9]).is_none());
}
