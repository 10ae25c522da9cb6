//! Checks the values read from every key of the settings, the defaults of absent keys and the error messages.
//!
//! The values are written in a fixed order under labels of this test, so that the fixtures do not depend on
//! the names of fields and types. `SETTINGS=print` in the environment prints the current values and errors.

use serde_json::Value;
use std::fmt::Write as _;
use ternstack_balancer::{DeduplicationScope, Idempotency, LoadReportDelivery};
use ternstack_settings::{stable_hash, Deployment};

const ALL_KEYS: &str = include_str!("fixtures/all-keys.json");
const ALL_KEYS_VALUES: &str = include_str!("fixtures/all-keys.txt");
const DEFAULT_VALUES: &str = include_str!("fixtures/defaults.txt");
const INVALID_SETTINGS: &str = include_str!("fixtures/faulty.txt");

/// Settings with the required keys only.
const MINIMAL_SETTINGS: &str = r#"{"classes":[{"deadline_ms":600}]}"#;

fn parse_json(text: &str) -> Value {
    serde_json::from_str(text).expect("the text is valid JSON")
}

/// Formats all values of a deployment, one to three on a line, each after a label.
fn format_values(deployment: &Deployment) -> String {
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
        let index = deployment.names.tenant_index(&tenant.name);
        lines.push(format!("tenant {} quota {} number {index:?}", tenant.name, tenant.quota_per_s));
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
    let load_reports = match settings.load_report_delivery {
        LoadReportDelivery::Inline => 0,
        LoadReportDelivery::OnHealthCheck => 1,
        LoadReportDelivery::Off => 2,
    };
    lines.push(format!("reports {load_reports} polls {}", settings.poll_discovery));
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

/// Returns the error of settings that are rejected, "taken" for settings that are accepted.
fn format_result(settings: &Value) -> String {
    match Deployment::from_json(settings) {
        Ok(_) => "taken".into(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn deployment_has_the_configured_value_of_every_key() {
    assert_eq!(
        format_values(&Deployment::from_json(&parse_json(ALL_KEYS)).expect("the settings are valid")),
        ALL_KEYS_VALUES
    );
}

#[test]
fn deployment_uses_defaults_for_absent_keys() {
    assert_eq!(
        format_values(&Deployment::from_json(&parse_json(MINIMAL_SETTINGS)).expect("the settings are valid")),
        DEFAULT_VALUES
    );
}

#[test]
fn deployment_changes_when_any_key_is_removed() {
    let all_keys = parse_json(ALL_KEYS);
    let unchanged = format_values(&Deployment::from_json(&all_keys).expect("the settings are valid"));
    let mut pointers = Vec::new();
    collect_pointers(&all_keys, "", &mut pointers);
    assert!(pointers.len() >= 40, "the fixture has 40 keys or more, found {}", pointers.len());
    for pointer in pointers {
        let mut settings = all_keys.clone();
        let (parent, key) = pointer.rsplit_once('/').expect("the pointer is below the root");
        let object =
            settings.pointer_mut(parent).and_then(Value::as_object_mut).expect("the key is in an object");
        let removed = object.remove(key);
        if removed == Some(Value::Bool(true)) {
            // A boolean key may be true by default, so that removing it would not change the deployment.
            object.insert(key.into(), Value::Bool(false));
        }
        let changed =
            Deployment::from_json(&settings).map(|deployment| format_values(&deployment)).unwrap_or_default();
        assert_ne!(changed, unchanged, "removing {pointer} changes the deployment");
    }
}

/// Collects the JSON pointers of all keys of `value` and of the objects and lists within.
fn collect_pointers(value: &Value, pointer: &str, pointers: &mut Vec<String>) {
    match value {
        Value::Object(entries) => entries.iter().for_each(|(key, value)| {
            let pointer = format!("{pointer}/{key}");
            collect_pointers(value, &pointer, pointers);
            pointers.push(pointer);
        }),
        Value::Array(values) => {
            let items = values.iter().enumerate();
            items.for_each(|(index, value)| collect_pointers(value, &format!("{pointer}/{index}"), pointers));
        }
        _ => {}
    }
}

#[test]
fn deployment_reads_each_allowed_word() {
    for (pointer, word, expected_line) in [
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
        let formatted = format_values(
            &Deployment::from_json(&changed_settings(&format!("{pointer} \"{word}\"")))
                .expect("the settings are valid"),
        );
        assert!(
            formatted.lines().any(|line| line == expected_line),
            "{pointer} {word}: expected {expected_line:?} in {formatted}"
        );
    }
    let formatted = format_values(
        &Deployment::from_json(&changed_settings("/limits/retry_after false"))
            .expect("the settings are valid"),
    );
    assert!(
        formatted.lines().any(|line| line == "retry after 0"),
        "expected \"retry after 0\" in {formatted}"
    );
}

#[test]
fn invalid_settings_are_rejected_with_the_recorded_errors() {
    let mut formatted = String::new();
    for change in INVALID_SETTINGS.lines().filter(|line| !line.starts_with("  ")) {
        let _ = writeln!(formatted, "{change}\n  {}", format_result(&changed_settings(change)));
    }
    if std::env::var("SETTINGS").is_ok_and(|value| value == "print") {
        println!(
            "{}\n{}\n{formatted}",
            format_values(&Deployment::from_json(&parse_json(ALL_KEYS)).unwrap()),
            format_values(&Deployment::from_json(&parse_json(MINIMAL_SETTINGS)).unwrap())
        );
    }
    assert_eq!(formatted, INVALID_SETTINGS);
}

/// Returns the settings that a line of the fixture describes: a whole JSON text, or a JSON pointer and
/// the value that replaces the one at the pointer in the fixture of all keys.
fn changed_settings(line: &str) -> Value {
    let Some((pointer, value)) = line.split_once(' ').filter(|(pointer, _)| pointer.starts_with('/')) else {
        return parse_json(line);
    };
    let mut settings = parse_json(ALL_KEYS);
    *settings.pointer_mut(pointer).expect("the pointer is in the fixture of all keys") = parse_json(value);
    settings
}

#[test]
fn stable_hash_returns_known_fnv_1a_values() {
    assert_eq!(stable_hash(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(stable_hash("10.0.0.1:80"), 0x529f_5a4b_643f_a605);
}

// Guards against a grace that is read nowhere, so that a cached list is used without a time limit.
#[test]
fn drain_grace_is_read_where_lists_are_pushed_and_2_s_by_default() {
    let cases = [
        (r#""discovery":"push","safety":{"drain_grace_ms":1500}"#, Some(1500.0)),
        (r#""safety":{"drain_grace_ms":1500}"#, Some(1500.0)),
        (r#""discovery":"push""#, Some(2000.0)),
        (r#""discovery":"ask","safety":{"drain_grace_ms":1500}"#, None),
    ];
    for (settings, expected) in cases {
        let settings = parse_json(&format!(r#"{{"classes":[{{"deadline_ms":600}}],{settings}}}"#));
        let deployment = Deployment::from_json(&settings).expect("the settings are valid");
        assert_eq!(deployment.balancer.drain_grace_ms, expected, "{settings}");
    }
    let invalid = [
        (
            r#"{"classes":[{"deadline_ms":600}],"safety":{"drain_grace_ms":-1}}"#,
            "drain_grace_ms: must be 0 or more",
        ),
        (r#"{"classes":[{"deadline_ms":600}],"safety":{"drain_grace_ms":"x"}}"#, "must be a number"),
    ];
    for (settings, expected) in invalid {
        let error = Deployment::from_json(&parse_json(settings)).expect_err("the grace is invalid");
        assert!(error.to_string().ends_with(expected), "{error}");
    }
}
