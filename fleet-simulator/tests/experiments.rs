//! Experiments: what a file may say, what stays the same whatever plays it, and what a run must leave behind.
use std::path::Path;
use ternstack_fleet_simulator::drive::Focus;
use ternstack_fleet_simulator::experiment::Experiment;
use ternstack_fleet_simulator::judge::Findings;
use ternstack_fleet_simulator::report;
use ternstack_fleet_simulator::statistics::{paired, Verdict};

const SMALL: &str = r#"
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

fn small() -> Experiment {
    Experiment::read(SMALL).expect("a sound experiment")
}

#[test]
fn results_are_the_same_whatever_the_number_of_jobs() {
    let json = |jobs| serde_json::to_string(&small().run(jobs, &|| ()).expect("it plays").0).expect("JSON");
    let one = json(1);
    assert!(one == json(4), "one job and four differ");
    let back: ternstack_fleet_simulator::experiment::Results =
        serde_json::from_str(&one).expect("it reads back");
    assert!(serde_json::to_string(&back).expect("JSON") == one, "it reads back as something else");
    assert!(report::html(&back, &[]).expect("a page").contains("<svg"));
    assert_eq!(report::table(&back).lines().count(), 2 + 3);
    let csv = String::from_utf8(report::csv(&back).expect("CSV")).expect("text");
    assert_eq!(csv.lines().count(), 1 + 3 * 3 * back.variants[0].runs[0].findings.bins.len());
}

#[test]
fn a_variant_changes_no_arrival_of_another_and_retries_belong_to_their_first_try() {
    let (results, _) = small().run(2, &|| ()).expect("it plays");
    for seed in 0..3 {
        let of = |v: usize| &results.variants[v].runs[seed].findings;
        for v in 1..3 {
            for (n, (a, b)) in of(0).bins.iter().zip(&of(v).bins).enumerate() {
                assert_eq!((a.messages, a.asked, a.offered), (b.messages, b.asked, b.offered), "bin {n}");
            }
        }
        for v in 0..3 {
            let f = of(v);
            assert!(f.bins.iter().all(|b| b.earned <= b.asked + 1e-9 && b.tries >= b.messages.min(1)));
            assert!(f.tries_per_message >= 1.0 && f.service > 0.0 && f.service <= 1.0);
        }
    }
    // One attempt at most, and far more with three of them in a fleet that fails many.
    assert!(
        results.variants[2].runs[0].findings.attempts_per_message
            <= results.variants[2].runs[0].findings.tries_per_message
    );
}

#[test]
fn overload_beyond_all_capacity_ends_and_leaves_nothing() {
    let mut experiment = small();
    experiment.world.load = 6.0;
    let mut most_at = |length_s: f64| {
        experiment.length_s = length_s;
        let case = experiment.cases().expect("cases").remove(1);
        let (played, _) = experiment.play(&case, 1, None).expect("it plays");
        assert_eq!(played.left[..2], [0, 0], "messages and tries that nobody ended");
        assert!(played.findings.service < 0.5);
        played.most
    };
    // In flight is bounded by the deadlines, not by the length of the overload.
    let (short, long) = (most_at(10.0), most_at(40.0));
    for (s, l) in short.iter().zip(long) {
        assert!(l < s * 2, "{short:?} {long:?}");
    }
}

#[test]
fn a_trace_tells_what_happened_to_a_message_and_at_a_host() {
    let experiment = small();
    let case = experiment.cases().expect("cases").remove(0);
    let trace = |focus| experiment.play(&case, 1, Some(focus)).expect("it plays").0.trace;
    let message = trace(Focus::Message(7));
    assert!(message[0].contains("try 1 to gateway"), "{message:?}");
    assert!(message.iter().any(|l| l.contains("its client")), "{message:?}");
    assert!(trace(Focus::Host(2)).iter().any(|l| l.contains("host 2 takes it")));
    assert_eq!(trace(Focus::Message(9_999_999)), Vec::<String>::new());
}

#[test]
fn what_is_not_understood_is_refused_with_line_and_key() {
    let with = |from: &str, to: &str| Experiment::read(&SMALL.replacen(from, to, 1)).expect_err(to);
    for (from, to, line, words) in [
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
        ("\"world.gateway", "\"world.gatweay", 27, "there is no gatweay"),
    ] {
        let error = with(from, to);
        assert!(error.starts_with(&format!("{line}: ")), "line {line} expected: {error}");
        assert!(error.contains(words), "{words:?} expected: {error}");
    }
}

#[test]
fn the_shipped_experiments_can_be_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let mut names = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the folder") {
        let path = entry.expect("an entry").path();
        if path.is_file() {
            names.push(Experiment::load(&path).expect("a sound file").name);
        }
    }
    assert!(names.len() >= 9, "{names:?}");
}

/// What the module's first runs of a shipped experiment found, by seed.
fn findings(name: &str, seeds: u32) -> Vec<(u64, Findings)> {
    findings_at(name, seeds, None)
}

/// The same with other numbers of gateways and hosts.
fn findings_at(name: &str, seeds: u32, size: Option<(u32, u32)>) -> Vec<(u64, Findings)> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("experiments/{name}.toml"));
    let mut experiment = Experiment::load(&path).expect("a sound file");
    if let Some(size) = size {
        (experiment.world.gateways, experiment.world.hosts) = size;
    }
    assert!(experiment.only("module"));
    experiment.seeds = seeds;
    let (results, _) = experiment.run(2, &|| ()).expect("it plays");
    results.variants[0].runs.iter().map(|run| (run.seed, run.findings.clone())).collect()
}

#[test]
fn the_module_leaves_the_jam_behind_once_its_cause_is_gone() {
    for (seed, f) in findings("jam", 3) {
        // Attempts that are given up early and sent again kept these seeds at 0.77 to 0.82, and seven of 20 for good.
        assert!(f.service > 0.85 && f.at_end > 0.95, "seed {seed}: {} {}", f.service, f.at_end);
        assert_eq!(f.broken, []);
    }
}

#[test]
fn a_hundred_gateways_bear_what_a_few_do() {
    // Where twelve gateways share a host, one relay out from each is a crowd: see the note on large fleets.
    for (name, seeds, least) in [("fleet-herd", 2, 0.9), ("fleet-zone", 1, 0.7), ("fleet-join", 2, 0.93)] {
        for (seed, f) in findings(name, seeds) {
            assert!(f.service > least, "{name}, seed {seed}: {}", f.service);
            assert_eq!(f.broken, [], "{name}, seed {seed}");
        }
    }
}

#[test]
fn heavy_work_that_outlasts_its_aim_is_not_done_again_until_a_burst_becomes_a_jam() {
    // What was given up at its aim went on at its host and was sent anew by its client: 0.46 to 0.66. Crowded hosts
    // were not left alone for long enough to recover: 0.61 with 350 gateways, 0.74 and 0.75 with 90 and 40.
    for (size, least) in [((350, 100), 0.7), ((90, 60), 0.77), ((40, 20), 0.785)] {
        let found = findings_at("mass-choke", 3, Some(size));
        let mean = found.iter().map(|(_, f)| f.service).sum::<f64>() / found.len() as f64;
        assert!(mean > least, "{size:?}: {mean}");
        assert!(found.iter().all(|(_, f)| f.broken.is_empty()), "{size:?}");
    }
}

#[test]
fn a_comparison_calls_noise_noise() {
    let base: Vec<f64> = (0..20).map(|n| 0.8 + 0.01 * f64::from(n % 5)).collect();
    let shifted = |by: f64| -> Vec<f64> {
        base.iter().enumerate().map(|(n, b)| b + by + if n % 2 == 0 { 0.004 } else { -0.004 }).collect()
    };
    let verdict = |other: &[f64]| paired(&base, other).expect("twenty pairs").verdict;
    assert_eq!(verdict(&shifted(0.01)), Verdict::Better);
    assert_eq!(verdict(&shifted(-0.01)), Verdict::Worse);
    assert_eq!(verdict(&shifted(0.0)), Verdict::Noise);
    assert!(paired(&[0.5], &[0.9]).is_none());
}
