//! Every key of the settings, read to the same values: the values in a fixed order, hanging on no name.

use serde_json::Value;
use std::fmt::Write as _;
use ternstack_balancer::{DeduplicationScope, Idempotency, LoadReportDelivery};
use ternstack_settings::{stable_hash, Deployment};

const ALL_KEYS: &str = include_str!("fixtures/all-keys.json");
const ALL_VALUES: &str = include_str!("fixtures/all-keys.txt");
const DEFAULT_VALUES: &str = include_str!("fixtures/defaults.txt");
const FAULTY: &str = include_str!("fixtures/faulty.txt");

/// The least that can be worked with.
const LEAST: &str = r#"{"classes":[{"deadline_ms":600}]}"#;

fn json(text: &str) -> Value {
    serde_json::from_str(text).expect("JSON")
}

/// All values of a deployment, each on a line of its own, with a word that says which.
fn values(deployment: &Deployment) -> String {
    let settings = &deployment.balancer;
    let mut lines: Vec<String> = Vec::new();
    for class in &settings.classes {
        let idempotency = match class.idempotency {
            Idempotency::Idempotent => 0,
            Idempotency::IdempotentWithKey => 1,
            Idempotency::NonIdempotent => 2,
        };
        let scope = match class.deduplication_scope {
            DeduplicationScope::All => 0,
            DeduplicationScope::Zone => 1,
            DeduplicationScope::Cell => 2,
        };
        lines.push(format!("class {}", class.name));
        lines.push(format!(" objective {} deadline {}", class.latency_objective_ms, class.deadline_ms));
        lines.push(format!(" late {} window {}", class.late_value_ratio, class.deduplication_window_ms));
        lines.push(format!(" idempotency {idempotency} scope {scope}"));
        lines.push(format!(" number {:?}", deployment.names.class_index(&class.name)));
    }
    for tenant in &settings.tenants {
        let number = deployment.names.tenant_index(&tenant.name);
        lines.push(format!("tenant {} quota {} number {number:?}", tenant.name, tenant.quota_per_s));
    }
    lines.push(format!(
        "gateways {} index {} zone {}",
        settings.gateway_count, settings.gateway_index, settings.zone
    ));
    lines.push(format!("tick {} live weights {}", settings.tick_ms, settings.weights_reflect_load));
    lines.push(format!(
        "cross zone {} idle {}",
        settings.cross_zone_cost_ratio, settings.connection_idle_timeout_ms
    ));
    let reports = match settings.load_report_delivery {
        LoadReportDelivery::Inline => 0,
        LoadReportDelivery::OnHealthCheck => 1,
        LoadReportDelivery::Off => 2,
    };
    lines.push(format!("reports {reports} polls {}", settings.poll_discovery));
    lines.push(format!("attempts {}", settings.max_attempts));
    lines.push(format!(
        "may probe {} may cancel {}",
        settings.health_checks_allowed, settings.cancellation_allowed
    ));
    lines.push(format!("retry after {}", settings.max_retry_after_ms));
    lines.push(format!("ask within {}", settings.max_discovery_age_ms));
    lines.push(format!("cold share {} time {}", settings.slow_start_min_ratio, settings.slow_start_ms));
    lines.push(format!("tips at {}", settings.slow_start_overload_multiple));
    lines.push(format!("removal not binding {}", settings.removal_is_advisory));
    lines
        .push(format!("nines {} top {:?}", settings.availability_weight, settings.availability_target_nines));
    lines.push(format!("dial {} open {}", deployment.connect_timeout_ms, deployment.max_open_requests));
    let mut names = deployment.names.clone();
    for zone in ["east", "west", "north", "new", "east", "newer"] {
        lines.push(format!("zone {zone} {}", names.zone_number(zone)));
    }
    lines.push(format!("unknown {:?} {:?}", names.class_index("unknown"), names.tenant_index("unknown")));
    lines.join("\n") + "\n"
}

fn outcome_text(conf: &Value) -> String {
    match Deployment::from_json(conf) {
        Ok(_) => "taken".into(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn every_key_is_read_to_its_value() {
    assert_eq!(values(&Deployment::from_json(&json(ALL_KEYS)).expect("sound settings")), ALL_VALUES);
}

#[test]
fn what_is_left_out_gets_its_default() {
    assert_eq!(values(&Deployment::from_json(&json(LEAST)).expect("sound settings")), DEFAULT_VALUES);
}

#[test]
fn every_key_of_the_fixture_counts() {
    let all = json(ALL_KEYS);
    let unchanged = values(&Deployment::from_json(&all).expect("sound settings"));
    let mut paths = Vec::new();
    walk(&all, "", &mut paths);
    assert!(paths.len() >= 40, "{} keys", paths.len());
    for path in paths {
        let mut without = all.clone();
        let (parent, key) = path.rsplit_once('/').expect("below the root");
        let keys = without.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object");
        let was = keys.remove(key);
        if was == Some(Value::Bool(true)) {
            keys.insert(key.into(), Value::Bool(false)); // Where true is the default.
        }
        let seen = Deployment::from_json(&without).map(|deployment| values(&deployment)).unwrap_or_default();
        assert_ne!(seen, unchanged, "{path} changes nothing");
    }
}

/// The pointers of all keys below objects, lists of objects included.
fn walk(value: &Value, path: &str, paths: &mut Vec<String>) {
    match value {
        Value::Object(keys) => keys.iter().for_each(|(key, value)| {
            let path = format!("{path}/{key}");
            walk(value, &path, paths);
            paths.push(path);
        }),
        Value::Array(values) => {
            let below = values.iter().enumerate();
            below.for_each(|(number, value)| walk(value, &format!("{path}/{number}"), paths));
        }
        _ => {}
    }
}

#[test]
fn every_word_is_read_to_its_value() {
    for (pointer, word, wanted) in [
        ("/classes/1/effect", "safe", " idempotency 0 scope 0"),
        ("/classes/1/effect", "keyed", " idempotency 1 scope 0"),
        ("/classes/1/effect", "unsafe", " idempotency 2 scope 0"),
        ("/classes/1/group", "all", " idempotency 1 scope 0"),
        ("/classes/1/group", "zone", " idempotency 1 scope 1"),
        ("/classes/1/group", "cell", " idempotency 1 scope 2"),
        ("/report/how", "inline", "reports 0 polls true"),
        ("/report/how", "on_probe", "reports 1 polls true"),
        ("/report/how", "off", "reports 2 polls true"),
        ("/discovery", "push", "reports 1 polls false"),
        ("/discovery", "ask", "reports 1 polls true"),
        ("/weights", "live", "tick 2.5 live weights true"),
        ("/weights", "rough", "tick 2.5 live weights false"),
    ] {
        let seen = values(
            &Deployment::from_json(&changed_settings(&format!("{pointer} \"{word}\"")))
                .expect("sound settings"),
        );
        assert!(seen.lines().any(|line| line == wanted), "{pointer} {word}: {seen}");
    }
    let seen = values(
        &Deployment::from_json(&changed_settings("/limits/retry_after false")).expect("sound settings"),
    );
    assert!(seen.lines().any(|line| line == "retry after 0"), "{seen}");
}

#[test]
fn faulty_settings_keep_the_texts_of_their_errors() {
    let mut seen = String::new();
    for faulty in FAULTY.lines().filter(|line| !line.starts_with("  ")) {
        let _ = writeln!(seen, "{faulty}\n  {}", outcome_text(&changed_settings(faulty)));
    }
    if std::env::var("SETTINGS").is_ok_and(|wanted| wanted == "print") {
        println!(
            "{}\n{}\n{seen}",
            values(&Deployment::from_json(&json(ALL_KEYS)).unwrap()),
            values(&Deployment::from_json(&json(LEAST)).unwrap())
        );
    }
    assert_eq!(seen, FAULTY);
}

/// A line is a whole JSON text, or a pointer and the value that takes its place in the fixture of all keys.
fn changed_settings(line: &str) -> Value {
    let Some((pointer, value)) = line.split_once(' ').filter(|(pointer, _)| pointer.starts_with('/')) else {
        return json(line);
    };
    let mut settings = json(ALL_KEYS);
    *settings.pointer_mut(pointer).expect("a key of the fixture") = json(value);
    settings
}

#[test]
fn a_host_name_has_the_same_number_everywhere() {
    assert_eq!(stable_hash(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(stable_hash("10.0.0.1:80"), 0x529f_5a4b_643f_a605);
}
