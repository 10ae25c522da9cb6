//! Every shipped experiment parses to the recorded values: digests of the experiment and of all its worlds,
//! both serialized with the keys of the file format.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use ternstack_fleet_simulator::experiment::Experiment;

const DIGESTS: &str = include_str!("fixtures/shipped_experiments.txt");

fn fnv(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("the folder of experiments is readable");
    let mut files: Vec<PathBuf> =
        entries.map(|entry| entry.expect("the folder entry is readable").path()).collect();
    files.retain(|path| path.extension().is_some_and(|kind| kind == "toml"));
    files.sort();
    files
}

#[test]
fn shipped_experiments_parse_to_the_recorded_values() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let mut seen = String::new();
    for path in files(&root).into_iter().chain(files(&root.join("sizes"))) {
        let experiment = Experiment::load(&path).expect("the shipped experiment is valid");
        let whole = serde_json::to_string(&experiment).expect("the value serializes to JSON");
        let cases = experiment.cases().expect("the cases are valid");
        let mut worlds = String::new();
        for case in &cases {
            let world = serde_json::to_string(&case.world).expect("the value serializes to JSON");
            let disturbances =
                serde_json::to_string(&case.disturbances).expect("the value serializes to JSON");
            let _ = writeln!(worlds, "{} {:?} {world} {disturbances}", case.name, case.budget);
        }
        let name = path.file_stem().expect("the file has a name").to_string_lossy();
        let _ = writeln!(seen, "{name} {} {:016x} {:016x}", cases.len(), fnv(&whole), fnv(&worlds));
    }
    if std::env::var("EXPERIMENTS").is_ok_and(|wanted| wanted == "print") {
        println!("{seen}");
    }
    assert_eq!(seen, DIGESTS);
}
