//! The values that the gateway reads from `LB_CONFIG` and the other environment variables, and the errors
//! about invalid values, compared with a fixture.

mod common;
use common::*;
use serde_json::{json, Value};
use ternstack_gateway::config::Config;

/// A configuration in which every key is present with a value that is not the default.
const EVERY_KEY: &str = r#"{
    "name": "n7", "listen": "127.0.0.3:8080", "discovery": "127.0.0.4:9090", "seed": "8c1f30d27a5be964",
    "limits": {"cores": 2.5, "memory_mb": 111, "sockets": 777},
    "known": {"rev": 12, "all": true, "targets": [
        {"uid": "s-1", "endpoint": "10.1.0.18:9000", "az": "b", "model": "m2", "pod_group": 3, "state": "SERVING",
         "capacity_hint": 2.5, "boot_ms": 1700000000123.5, "novel": 1},
        {"uid": "s-2", "endpoint": "[::1]:9001", "az": "c", "pod_group": 4, "state": "DRAINING"},
        {"uid": "s-3", "endpoint": null, "state": "DELETED"}]},
    "settings": {
        "classes": [
            {"name": "look", "aim_ms": 801.0, "deadline_ms": 2001.0, "effect": "safe", "late_value": 0.25},
            {"name": "book", "aim_ms": 802.0, "deadline_ms": 2002.0, "effect": "keyed", "group": "zone",
             "window_ms": 2003.0, "late_value": 0.5}],
        "tenants": [{"name": "acme", "quota_per_s": 51.0}, {"name": "zeta", "quota_per_s": 52.0}],
        "limits": {"cancel": true, "conn_idle_ms": 30001.0, "dial_timeout_ms": 501.0, "max_attempts": 4,
                   "max_open": 101, "max_retry_after_ms": 2004.0, "retry_after": true, "may_probe": true},
        "report": {"how": "on_probe"}, "discovery": "ask", "instances": 5, "me": 3, "zone": "c",
        "zones": ["a", "b", "c"], "tick_ms": 6.0}}"#;

/// A configuration with only the required keys.
const REQUIRED_KEYS: &str = r#"{"listen": "[::1]:1", "discovery": "127.0.0.1:2", "seed": 18446744073709551615,
    "settings": {"classes": [{"name": "a", "deadline_ms": 1000.0}], "limits": {"dial_timeout_ms": 1.0, "max_open": 1}}}"#;

/// Returns lines with the values of a configuration. Floating-point values are written as their bits.
fn config_lines(config: &Config) -> Vec<String> {
    let balancer = &config.deployment.balancer;
    let mut lines = vec![
        format!("name={} listen={} discovery={}", config.name, config.listen, config.discovery),
        format!("seed={:016x} sockets={} log={}", config.seed, config.max_sockets, config.log_level),
        format!("rev={} all={}", config.cached_list.revision, config.cached_list.is_complete),
        format!(
            "max_open={} dial_timeout={:016x}",
            config.deployment.max_open_requests,
            config.deployment.connect_timeout_ms.to_bits()
        ),
        format!("classes={} tenants={}", balancer.classes.len(), balancer.tenants.len()),
    ];
    let names = &mut config.deployment.names.clone();
    let classes = ["look", "book", "a", "other"].map(|name| names.class_index(name));
    let tenants = ["acme", "zeta", "other"].map(|name| names.tenant_index(name));
    let zones = ["a", "b", "c", "new", ""].map(|name| names.zone_number(name));
    lines.push(format!("classes={classes:?} tenants={tenants:?} zones={zones:?}"));
    for entry in &config.cached_list.endpoints {
        lines.push(format!(
            "uid={} endpoint={:?} az={} pod_group={} state={} capacity_hint={:016x} boot_ms={:016x}",
            entry.uid,
            entry.address,
            entry.zone,
            entry.cell,
            entry.state as u8,
            entry.capacity_weight.to_bits(),
            entry.started_at_ms.to_bits(),
        ));
    }
    lines
}

#[test]
fn configurations_are_read_to_the_recorded_values_and_errors() {
    let no_variables = |_: &str| None;
    let mut lines = config_lines(&Config::read(EVERY_KEY, no_variables).expect("the configuration is valid"));
    lines.extend(config_lines(
        &Config::read(REQUIRED_KEYS, no_variables).expect("the configuration is valid"),
    ));
    let variables = |name: &str| {
        let value = match name {
            "LB_NAME" => "n8",
            "LB_LISTEN" => "127.0.0.5:5",
            "LB_DISCOVERY" => "127.0.0.6:6",
            "LB_LOG" => "debug",
            _ => return None,
        };
        Some(value.to_string())
    };
    lines.extend(config_lines(&Config::read(EVERY_KEY, variables).expect("the configuration is valid")));
    lines.extend(config_lines(&Config::reread(EVERY_KEY, variables).expect("the configuration is valid")));
    let without_discovery = EVERY_KEY.replace(r#""discovery": "127.0.0.4:9090""#, r#""discovery": null"#);
    lines.extend(config_lines(
        &Config::reread(&without_discovery, variables).expect("the configuration is valid"),
    ));
    for name in ["LB_LISTEN", "LB_DISCOVERY", "LB_LOG"] {
        let invalid_variable = |variable_name: &str| (variable_name == name).then(|| "odd".to_string());
        lines.push(Config::read(EVERY_KEY, invalid_variable).expect_err(name).to_string());
    }
    lines.push(Config::read("{", no_variables).expect_err("the text is not JSON").to_string());
    lines.push(Config::reread("[1,", no_variables).expect_err("the text is not JSON").to_string());
    for (path, value) in [
        ("/name", json!(1)),
        ("/listen", json!("nowhere")),
        ("/listen", Value::Null),
        ("/discovery", json!(7)),
        ("/discovery", Value::Null),
        ("/seed", Value::Null),
        ("/seed", json!("xyz")),
        ("/seed", json!(-1)),
        ("/seed", json!([])),
        ("/limits/sockets", json!(63)),
        ("/limits/sockets", json!("many")),
        ("/known", json!(1)),
        ("/known/rev", json!(-1)),
        ("/known/targets/0/state", json!("NAPPING")),
        ("/known/targets/0/endpoint", Value::Null),
        ("/known/targets/1/endpoint", json!("here")),
        ("/settings", json!(1)),
        ("/settings/classes", json!([])),
        ("/settings/classes/0/deadline_ms", json!(-1)),
        ("/settings/limits/max_open", json!("many")),
        ("/settings/limits/dial_timeout_ms", json!(0)),
    ] {
        let mut config: Value = serde_json::from_str(EVERY_KEY).expect("the configuration is valid JSON");
        *config.pointer_mut(path).expect(path) = value.clone();
        let error = Config::read(&config.to_string(), no_variables).expect_err(path).to_string();
        lines.push(format!("{path}={value}\t{error}"));
    }
    let mut config: Value = serde_json::from_str(EVERY_KEY).expect("the configuration is valid JSON");
    config.as_object_mut().expect("the configuration is an object").remove("settings");
    lines.push(
        Config::read(&config.to_string(), no_variables).expect_err("the settings are missing").to_string(),
    );
    assert_fixture("config.txt", &lines);
}
