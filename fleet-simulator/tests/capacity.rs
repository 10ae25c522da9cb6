//! Capacity planning: computed rows, errors in the file, tables, and the simulation that confirms the bound
//! on a tenant's limit.
use std::path::PathBuf;
use std::process::Command;
use ternstack_fleet_simulator::capacity::limits::{simulate_tenant, LimitTerms, Sizes};
use ternstack_fleet_simulator::capacity::page::{first_difference, with_tables};
use ternstack_fleet_simulator::capacity::{tables, Capacity, Moment, Slope};

/// A small capacity file with a platform of another size.
const SMALL_FILE: &str = r#"
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
    Slope::from_points(points)
}

#[test]
fn row_multiplies_slope_by_sizes_and_compares_with_budget() {
    let capacity = Capacity::read(SMALL_FILE).expect("the capacity file is valid");
    let rows = capacity.compute_rows().expect("the capacity file is valid");
    let changes = &rows[0];
    // 200 bytes at 2,000 hosts grow linearly to 400 bytes at 4,000 hosts, needed twice a second.
    assert!((changes.product.expect("the slope is measured") - 800.0).abs() < 1e-6, "{changes:?}");
    assert!((changes.share.expect("the row has a budget") - 1.6).abs() < 1e-9, "{changes:?}");
    assert_eq!((changes.moment, changes.is_unmet()), (Moment::Ordinary, true));
    assert!(changes.verdict().contains("1.6 times over"), "{}", changes.verdict());
    let unmeasured = &rows[1];
    assert_eq!(
        (unmeasured.product, unmeasured.verdict().as_str(), unmeasured.is_unmet()),
        (None, "not measured yet", true)
    );
}

#[test]
fn growth_is_named_from_the_first_and_the_last_point() {
    let word = |f: fn(f64) -> f64| {
        let points: Vec<[f64; 2]> = [100.0, 1e3, 1e4, 1e5].iter().map(|n| [*n, f(*n)]).collect();
        slope(&points).growth().expect("the slope has points").word
    };
    assert_eq!(word(|_| 7.0), "flat");
    assert_eq!(word(|n| n.sqrt()), "less than n");
    assert_eq!(word(|n| 3.0 * n), "n");
    assert_eq!(word(|n| n * n.ln()), "n log n");
    assert_eq!(word(|n| n.powf(1.5)), "faster");
    assert_eq!(slope(&[]).growth(), None);
}

#[test]
fn slope_is_interpolated_and_extrapolated_conservatively() {
    let steepening = slope(&[[10.0, 1.0], [100.0, 2.0], [1000.0, 20.0]]);
    let at = |n| steepening.at(n).expect("the slope is measured");
    assert!((at(100.0) - 2.0).abs() < 1e-9);
    assert!(
        (at(10_000.0) - 200.0).abs() < 1e-6,
        "extrapolation uses the steeper of the last two points and the whole range: {}",
        at(1e4)
    );
    assert!((at(1.0) - 1.0).abs() < 1e-9, "a smaller size gives the first measured value");
    let levelling = slope(&[[10.0, 1.0], [100.0, 10.0], [1000.0, 10.0]]);
    let beyond = levelling.at(100_000.0).expect("the slope is measured");
    assert!((beyond - 100.0).abs() < 1e-6, "a single flat stretch is not extrapolated: {beyond}");
    assert_eq!(slope(&[]).at(10.0), None);
}

#[test]
fn invalid_capacity_file_is_rejected_with_its_line() {
    let line_of =
        |word: &str| 1 + SMALL_FILE.lines().position(|l| l.contains(word)).expect("the text is in the file");
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
    for (right, wrong, error) in cases {
        let problem = Capacity::read(&SMALL_FILE.replacen(right, wrong, 1)).expect_err(wrong);
        assert!(problem.starts_with(&format!("{}:", line_of(right))), "{wrong}: {problem}");
        assert!(problem.contains(error), "{wrong}: {problem}");
    }
    let unordered = SMALL_FILE.replace("[[500, 50], [1000, 100], [2000, 200]]", "[[500, 50], [400, 100]]");
    assert!(Capacity::read(&unordered)
        .expect_err("points out of order are rejected")
        .contains("in the order of their sizes"));
    let without_command = SMALL_FILE.replace("command = \"measured\"", "");
    assert!(Capacity::read(&without_command)
        .expect_err("a slope without a command is rejected")
        .contains("expected the source of the values"));
    let limits = SMALL_FILE.replace("over_part = 0.001", "over_part = 2");
    assert!(Capacity::read(&limits)
        .expect_err("a share above 1 is rejected")
        .contains("over_part: expected at most 1"));
}

#[test]
fn capacity_command_names_an_invalid_file_and_exits_with_2() {
    let folder = std::env::temp_dir().join(format!("ternstack-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let file = folder.join("own.toml");
    std::fs::write(&file, SMALL_FILE.replacen("slope = \"change\"", "slope = \"chnge\"", 1))
        .expect("the file is written");
    let ran =
        Command::new(env!("CARGO_BIN_EXE_ternstack-fleet-simulator")).arg("capacity").arg(&file).output();
    let ran = ran.expect("the program runs");
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    let error = String::from_utf8_lossy(&ran.stderr).into_owned();
    assert_eq!(ran.status.code(), Some(2), "{error}");
    assert!(error.contains("own.toml:") && error.contains("chnge: expected the name of a slope"), "{error}");
}

#[test]
fn capacity_page_contains_the_computed_tables() {
    let capacity = Capacity::load(&root("docs/capacity.toml")).expect("the capacity file is valid");
    let page = std::fs::read_to_string(root("docs/CAPACITY.md")).expect("the page is readable");
    let expected = with_tables(&page, &capacity).expect("the page has all markers");
    assert_eq!(
        first_difference(&page, &expected),
        None,
        "update the tables with: ternstack-fleet-simulator capacity --write"
    );
    let changed = page.replacen("| gateways | 8,900 |", "| gateways | 8,901 |", 1);
    assert!(first_difference(&changed, &expected).is_some(), "a changed value is detected");
    let without_marker = page.replace("<!-- end needs -->", "");
    assert!(with_tables(&without_marker, &capacity)
        .expect_err("a missing marker is rejected")
        .contains("<!-- end needs -->"));
}

#[test]
fn mechanisms_of_rows_are_existing_files() {
    let capacity = Capacity::load(&root("docs/capacity.toml")).expect("the capacity file is valid");
    for row in &capacity.row {
        let file = &row.mechanism;
        assert!(file == "missing" || root(file).exists(), "{}: expected the file {file}", row.need);
    }
}

#[test]
fn tables_show_every_row_and_mark_unmeasured_slopes() {
    let capacity = Capacity::read(SMALL_FILE).expect("the capacity file is valid");
    let tables = tables::all_tables(&capacity).expect("the tables are computed");
    let table = |name: &str| tables.iter().find(|(n, _)| *n == name).map_or("", |(_, text)| text);
    assert!(
        table("needs").contains("| 800 B/s | 500 | 160% | **1.6 times over** | `here.rs` |"),
        "{tables:?}"
    );
    assert!(table("needs").contains("| ? | 500 |  | not measured yet | **missing** |"), "{tables:?}");
    assert!(table("sums").contains("| 800 B/s | 160% | more |"), "{tables:?}");
    assert!(
        table("missing").lines().nth(2).is_some_and(|l| l.contains("changes")),
        "the row furthest over its budget comes first"
    );
}

/// Compares the analytical bounds on a tenant's throughput with simulations, at several sizes of tenants.
#[test]
fn simulated_tenants_stay_within_the_bounds_of_their_limit() {
    let capacity = Capacity::read(SMALL_FILE).expect("the capacity file is valid");
    let terms: LimitTerms = capacity.limits;
    for quota in [5.0, 20.0, 1_000.0] {
        for multiple in [1.0, 2.0, 10.0] {
            let outcome = simulate_tenant(&terms, quota, multiple * quota, 300, false, 11)
                .expect("the simulation is valid");
            let bound = terms.max_steady_throughput(quota).expect("the error is below 1");
            assert!(outcome.mean <= bound, "quota {quota}, {multiple} times: {outcome:?}, {bound}");
            // One-sided, three deviations allow 0.13% of independent samples, but steps of one window are
            // correlated.
            assert!(outcome.beyond <= 0.006, "quota {quota}, {multiple} times: {outcome:?}");
            let first: f64 = (0..40)
                .map(|seed| {
                    simulate_tenant(&terms, quota, multiple * quota, 1, true, seed)
                        .expect("the simulation is valid")
                        .mean
                })
                .sum::<f64>()
                / 40.0;
            let promised = terms.first_window_throughput(quota, multiple * quota);
            assert!(first <= 1.05 * promised, "quota {quota}, {multiple} times: {first}, {promised}");
        }
        let below_quota =
            simulate_tenant(&terms, quota, 0.7 * quota, 300, false, 11).expect("the simulation is valid");
        assert!(below_quota.refused < 0.02, "a tenant below its quota is rarely rejected: {below_quota:?}");
    }
}

/// With fewer samples, the bound is wider, and the simulated throughput varies more.
#[test]
fn fewer_samples_give_a_larger_error() {
    let capacity = Capacity::read(SMALL_FILE).expect("the capacity file is valid");
    let few_samples = LimitTerms { samples: 20.0, ..capacity.limits };
    assert!(few_samples.relative_error(50.0) > 2.0 * capacity.limits.relative_error(50.0));
    let worst_sum = |terms: &LimitTerms| {
        let worst = |seed| {
            simulate_tenant(terms, 50.0, 100.0, 100, false, seed).expect("the simulation is valid").worst
        };
        (0..10).map(worst).sum::<f64>()
    };
    assert!(
        worst_sum(&few_samples) > 1.1 * worst_sum(&capacity.limits),
        "{} {}",
        worst_sum(&few_samples),
        worst_sum(&capacity.limits)
    );
}

#[test]
fn tenant_simulation_is_reproducible() {
    let capacity = Capacity::read(SMALL_FILE).expect("the capacity file is valid");
    let first = simulate_tenant(&capacity.limits, 9.0, 20.0, 20, false, 5).expect("the simulation is valid");
    assert_eq!(
        first,
        simulate_tenant(&capacity.limits, 9.0, 20.0, 20, false, 5).expect("the simulation is valid")
    );
    assert!(simulate_tenant(&capacity.limits, 9.0, f64::NAN, 20, false, 5).is_err());
    let sizes = Sizes::of(&capacity).expect("the file has all sizes");
    assert!((sizes.mean_requests_per_s() - 10.0).abs() < 1e-9);
}
