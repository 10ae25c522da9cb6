//! The page of sizes: its arithmetic, its file's faults, its tables, and the play that its bound on tenants' limits rests on.
use std::path::PathBuf;
use std::process::Command;
use ternstack_fleet_simulator::capacity::limits::{play, Sizes, Terms};
use ternstack_fleet_simulator::capacity::page::{first_difference, with_tables};
use ternstack_fleet_simulator::capacity::{tables, Capacity, Moment, Slope};

/// A small file, in which staff have put a platform of their own.
const OWN: &str = r#"
size = [
    { name = "gateways", value = 100, unit = "" },
    { name = "tenants", value = 1_000, unit = "" },
    { name = "requests_per_s", value = 10_000, unit = "requests/s" },
    { name = "hosts", value = 4_000, unit = "" },
]
budget = [{ name = "gateway_bytes_per_s", value = 500, unit = "B/s" }]
assumed = [{ name = "changes_per_s", value = 2, unit = "changes/s" }]
derived = [{ name = "requests_at_gateway", times = ["requests_per_s"], over = ["gateways"], unit = "requests/s" }]

[[slope]]
name = "change"
what = "a change's bytes"
unit = "B"
per = "hosts"
points = [[500, 50], [1000, 100], [2000, 200]]
command = "measured"
commit = "here"

[[slope]]
name = "later"
what = "not known"
unit = "B"

[[row]]
role = "Gateway"
moment = "ordinary"
need = "changes"
slope = "change"
at = "hosts"
times = ["changes_per_s"]
unit = "B/s"
budget = "gateway_bytes_per_s"
mechanism = "here.rs"
adds = true

[[row]]
role = "Gateway"
moment = "ordinary"
need = "more"
slope = "later"
unit = "B/s"
budget = "gateway_bytes_per_s"
mechanism = "missing"
adds = true

[limits]
quota_by_mean = 2.0
window_s = 30.0
samples = 400.0
step_s = 0.38
way_s = 0.1
over_part = 0.001
hold_s = 10.0
key_bytes = 8.0
count_bytes = 2.0
message_bytes = 52.0
deviations = 3.0
seed = 37
"#;

fn root(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..").join(name)
}

fn slope(points: &[[f64; 2]]) -> Slope {
    Slope::of(points)
}

#[test]
fn a_row_is_its_slope_times_its_sizes_beside_its_budget() {
    let own = Capacity::read(OWN).expect("sound");
    let rows = own.work().expect("sound");
    let changes = &rows[0];
    // 200 bytes at 2,000 hosts, growing as n: 400 at 4,000, twice a second.
    assert!((changes.product.expect("measured") - 800.0).abs() < 1e-6, "{changes:?}");
    assert!((changes.share.expect("a budget") - 1.6).abs() < 1e-9, "{changes:?}");
    assert_eq!((changes.moment, changes.lacks()), (Moment::Ordinary, true));
    assert!(changes.verdict().contains("1.6 times over"), "{}", changes.verdict());
    let later = &rows[1];
    assert_eq!((later.product, later.verdict().as_str(), later.lacks()), (None, "not measured yet", true));
}

#[test]
fn growth_is_told_from_the_first_and_the_last_point() {
    let word = |f: fn(f64) -> f64| {
        let points: Vec<[f64; 2]> = [100.0, 1e3, 1e4, 1e5].iter().map(|n| [*n, f(*n)]).collect();
        slope(&points).growth().expect("points").word
    };
    assert_eq!(word(|_| 7.0), "flat");
    assert_eq!(word(|n| n.sqrt()), "less than n");
    assert_eq!(word(|n| 3.0 * n), "n");
    assert_eq!(word(|n| n * n.ln()), "n log n");
    assert_eq!(word(|n| n.powf(1.5)), "faster");
    assert_eq!(slope(&[]).growth(), None);
}

#[test]
fn a_slope_is_read_between_its_points_and_beyond_them_with_care() {
    let steepening = slope(&[[10.0, 1.0], [100.0, 2.0], [1000.0, 20.0]]);
    let at = |n| steepening.at(n).expect("measured");
    assert!((at(100.0) - 2.0).abs() < 1e-9);
    assert!((at(10_000.0) - 200.0).abs() < 1e-6, "by the steeper of the last two and the whole: {}", at(1e4));
    assert!((at(1.0) - 1.0).abs() < 1e-9, "never less than was measured");
    let levelling = slope(&[[10.0, 1.0], [100.0, 10.0], [1000.0, 10.0]]);
    let beyond = levelling.at(100_000.0).expect("measured");
    assert!((beyond - 100.0).abs() < 1e-6, "one level stretch is not believed: {beyond}");
    assert_eq!(slope(&[]).at(10.0), None);
}

#[test]
fn faults_of_the_file_are_named_with_their_line() {
    let line_of = |word: &str| 1 + OWN.lines().position(|l| l.contains(word)).expect("there");
    let cases = [
        (r#"slope = "change""#, r#"slope = "chnge""#, "chnge: expected the name of a slope"),
        (r#"at = "hosts""#, r#"at = "hots""#, "hots: expected the name of a size"),
        (r#"mechanism = "here.rs""#, r#"mechanisn = "here.rs""#, "unknown field `mechanisn`"),
        (
            r#"{ name = "hosts", value = 4_000"#,
            r#"{ name = "hosts", value = -4"#,
            "expected a number above 0",
        ),
        (r#"{ name = "hosts""#, r#"{ name = "tenants""#, "tenants: expected a name that no other figure has"),
    ];
    for (right, wrong, told) in cases {
        let problem = Capacity::read(&OWN.replacen(right, wrong, 1)).expect_err(wrong);
        assert!(problem.starts_with(&format!("{}:", line_of(right))), "{wrong}: {problem}");
        assert!(problem.contains(told), "{wrong}: {problem}");
    }
    let back = OWN.replace("[[500, 50], [1000, 100], [2000, 200]]", "[[500, 50], [400, 100]]");
    assert!(Capacity::read(&back).expect_err("out of order").contains("in the order of their sizes"));
    let unsaid = OWN.replace("command = \"measured\"", "");
    assert!(Capacity::read(&unsaid).expect_err("no command").contains("expected what gave the figure"));
    let limits = OWN.replace("over_part = 0.001", "over_part = 2");
    assert!(Capacity::read(&limits).expect_err("a part").contains("over_part: expected a part"));
}

#[test]
fn the_command_names_the_file_and_exits_with_2() {
    let folder = std::env::temp_dir().join(format!("ternstack-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("own.toml");
    std::fs::write(&file, OWN.replacen("slope = \"change\"", "slope = \"chnge\"", 1)).expect("written");
    let ran =
        Command::new(env!("CARGO_BIN_EXE_ternstack-fleet-simulator")).arg("capacity").arg(&file).output();
    let ran = ran.expect("runs");
    std::fs::remove_dir_all(&folder).expect("removed");
    let told = String::from_utf8_lossy(&ran.stderr).into_owned();
    assert_eq!(ran.status.code(), Some(2), "{told}");
    assert!(told.contains("own.toml:") && told.contains("chnge: expected the name of a slope"), "{told}");
}

#[test]
fn the_page_is_as_worked_out() {
    let capacity = Capacity::load(&root("docs/capacity.toml")).expect("sound");
    let page = std::fs::read_to_string(root("docs/CAPACITY.md")).expect("the page");
    let wanted = with_tables(&page, &capacity).expect("all markers");
    assert_eq!(
        first_difference(&page, &wanted),
        None,
        "put the tables there: ternstack-fleet-simulator capacity --write"
    );
    let changed = page.replacen("| gateways | 8,900 |", "| gateways | 8,901 |", 1);
    assert!(first_difference(&changed, &wanted).is_some(), "a changed figure is seen");
    let cut = page.replace("<!-- end needs -->", "");
    assert!(with_tables(&cut, &capacity).expect_err("no marker").contains("<!-- end needs -->"));
}

#[test]
fn mechanisms_that_are_named_are_files() {
    let capacity = Capacity::load(&root("docs/capacity.toml")).expect("sound");
    for row in &capacity.row {
        let file = &row.mechanism;
        assert!(file == "missing" || root(file).exists(), "{}: {file} is not there", row.need);
    }
}

#[test]
fn tables_hold_every_row_and_no_unmeasured_figure() {
    let own = Capacity::read(OWN).expect("sound");
    let blocks = tables::all(&own).expect("worked out");
    let block = |name: &str| blocks.iter().find(|(n, _)| *n == name).map_or("", |(_, text)| text);
    assert!(
        block("needs").contains("| 800 B/s | 500 | 160% | **1.6 times over** | `here.rs` |"),
        "{blocks:?}"
    );
    assert!(block("needs").contains("| ? | 500 |  | not measured yet | **missing** |"), "{blocks:?}");
    assert!(block("sums").contains("| 800 B/s | 160% | more |"), "{blocks:?}");
    assert!(block("missing").lines().nth(2).is_some_and(|l| l.contains("changes")), "most over first");
}

/// What a bound on a tenant's limit promises, against what its play shows, at several sizes of tenants.
#[test]
fn limits_hold_within_their_bound_in_the_play() {
    let own = Capacity::read(OWN).expect("sound");
    let terms: Terms = own.limits;
    for quota in [5.0, 20.0, 1_000.0] {
        for by in [1.0, 2.0, 10.0] {
            let seen = play(&terms, quota, by * quota, 300, false, 11).expect("drawn");
            let bound = terms.most_steadily(quota).expect("enough is counted");
            assert!(seen.mean <= bound, "quota {quota}, {by} times: {seen:?}, {bound}");
            // Three deviations, one side: 0.13% of independent looks; looks of one window follow each other.
            assert!(seen.beyond <= 0.006, "quota {quota}, {by} times: {seen:?}");
            let first: f64 = (0..40)
                .map(|seed| play(&terms, quota, by * quota, 1, true, seed).expect("drawn").mean)
                .sum::<f64>()
                / 40.0;
            let promised = terms.first_window(quota, by * quota);
            assert!(first <= 1.05 * promised, "quota {quota}, {by} times: {first}, {promised}");
        }
        let under = play(&terms, quota, 0.7 * quota, 300, false, 11).expect("drawn");
        assert!(under.refused < 0.02, "who stays under its quota is hardly refused: {under:?}");
    }
}

/// The play shows an owner that counts too little: its own bound then says less, and what is sampled down shows more.
#[test]
fn fewer_samples_misjudge_more() {
    let own = Capacity::read(OWN).expect("sound");
    let thin = Terms { samples: 20.0, ..own.limits };
    assert!(thin.error(50.0) > 2.0 * own.limits.error(50.0));
    let spread = |terms: &Terms| {
        let of = |seed| play(terms, 50.0, 100.0, 100, false, seed).expect("drawn").worst;
        (0..10).map(of).sum::<f64>()
    };
    assert!(spread(&thin) > 1.1 * spread(&own.limits), "{} {}", spread(&thin), spread(&own.limits));
}

#[test]
fn a_play_is_the_same_every_time() {
    let own = Capacity::read(OWN).expect("sound");
    let once = play(&own.limits, 9.0, 20.0, 20, false, 5).expect("drawn");
    assert_eq!(once, play(&own.limits, 9.0, 20.0, 20, false, 5).expect("drawn"));
    assert!(play(&own.limits, 9.0, f64::NAN, 20, false, 5).is_err());
    let sizes = Sizes::of(&own).expect("all there");
    assert!((sizes.mean() - 10.0).abs() < 1e-9);
}
