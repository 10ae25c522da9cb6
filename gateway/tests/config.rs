//! The configuration: the keys that errors name, and the precedence of the file over environment variables.

mod common;
use common::*;
use serde_json::{json, Value};
use ternstack_gateway::config::Config;

#[test]
fn an_error_about_an_invalid_configuration_names_the_key() {
    let valid = gateway_config(
        vec![endpoint_entry(1, "127.0.0.1:9".parse().expect("the address is well-formed"), "SERVING")],
        ([127, 0, 0, 1], 9).into(),
    );
    let read = |config: &Value, name: &str, value: &str| {
        Config::read(&config.to_string(), |variable_name| (variable_name == name).then(|| value.to_string()))
    };
    let overridden = read(&valid, "LB_LISTEN", "127.0.0.1:4000").expect("the configuration is valid");
    assert_eq!(
        (overridden.listen.port(), overridden.seed, overridden.max_sockets),
        (4000, 0x8c1f_30d2_7a5b_e964, 256)
    );
    assert!(read(&valid, "LB_LISTEN", "here").unwrap_err().to_string().starts_with("LB_LISTEN"));
    assert!(read(&valid, "LB_LOG", "loud").unwrap_err().to_string().starts_with("LB_LOG"));
    for (path, value, key) in [
        ("/listen", json!("nowhere"), "listen"),
        ("/discovery", json!(7), "discovery"),
        ("/seed", json!("xyz"), "seed"),
        ("/limits/sockets", json!(3), "limits.sockets"),
        ("/limits/memory_mb", json!(0), "limits.memory_mb"),
        ("/limits/memory_mb", json!(-32), "limits.memory_mb"),
        ("/limits/memory_mb", json!("32"), "limits.memory_mb"),
        ("/limits/cores", json!(0), "limits.cores"),
        ("/limits/cores", json!("all"), "limits.cores"),
        ("/known/targets/0/state", json!("NAPPING"), "known"),
        ("/known/targets/0/endpoint", Value::Null, "endpoint"),
        ("/settings/classes", json!([]), "classes"),
        ("/settings/classes/0/deadline_ms", json!(-1), "classes.deadline_ms"),
        ("/settings/classes/0/effect", json!("odd"), "classes[].effect"),
        ("/settings/limits/dial_timeout_ms", json!(0), "limits.dial_timeout_ms"),
        ("/settings/limits/max_open", json!("many"), "limits.max_open"),
        ("/settings", json!(1), "settings"),
        ("/settings/discovery", json!("pull"), "discovery"),
        ("/settings/discovery", json!(true), "discovery"),
        ("/settings/report/how", json!("sometimes"), "report.how"),
        ("/settings/instances", json!(-3), "instances"),
        ("/settings/instances", json!("two"), "instances"),
        ("/settings/tick_ms", json!(0), "tick_ms"),
        ("/settings/tick_ms", json!(-5), "tick_ms"),
        ("/settings/limits/max_attempts", json!(0), "max_attempts"),
        ("/settings/limits/max_open", json!(-1), "limits.max_open"),
        ("/settings/limits/conn_idle_ms", json!(-1), "idle_ms"),
        ("/settings/limits/cancel", json!("yes"), "limits.cancel"),
        ("/settings/classes/0/aim_ms", json!(-8), "classes.aim_ms"),
        ("/settings/classes/0/late_value", json!(7), "classes.late_value"),
        ("/settings/classes/1/window_ms", json!(-1), "classes.window_ms"),
        ("/settings/tenants", json!({}), "tenants"),
    ] {
        let mut invalid = valid.clone();
        *invalid.pointer_mut(path).expect("the path exists in the valid configuration") = value;
        let error = read(&invalid, "", "").expect_err(path).to_string();
        assert!(error.contains(key) && error.starts_with("LB_CONFIG"), "{path}: {error}");
    }
    let mut single_gateway = valid.clone();
    single_gateway["settings"]["me"] = json!(1);
    assert!(read(&single_gateway, "", "")
        .expect_err("the number of the only gateway must be 0")
        .to_string()
        .contains("me must be below instances"));
}

#[test]
fn a_missing_memory_limit_is_the_least_of_the_platform_and_an_absurdly_large_one_is_bounded() {
    let memory_bytes = |memory_mb: Value| {
        let mut config = gateway_config(vec![], ([127, 0, 0, 1], 9).into());
        config["limits"]["memory_mb"] = memory_mb;
        Config::read(&config.to_string(), |_| None).expect("the configuration is valid").max_memory_bytes
    };
    assert_eq!(memory_bytes(json!(192)), 192_000_000);
    assert_eq!(memory_bytes(json!(32.5)), 32_500_000);
    assert_eq!(memory_bytes(Value::Null), 32_000_000);
    assert_eq!(memory_bytes(json!(u64::MAX)), 1_000_000_000_000);
}

#[test]
fn a_reread_configuration_file_takes_precedence_over_the_environment_variable() {
    let text = gateway_config(vec![], ([127, 0, 0, 1], 9).into()).to_string();
    let variable = |name: &str| (name == "LB_DISCOVERY").then(|| "127.0.0.1:8".to_string());
    assert_eq!(Config::read(&text, variable).expect("the configuration is valid").discovery.port(), 8);
    assert_eq!(Config::reread(&text, variable).expect("the configuration is valid").discovery.port(), 9);
    let text = text.replace("\"discovery\":\"127", "\"elsewhere\":\"127");
    assert_eq!(Config::reread(&text, variable).expect("the configuration is valid").discovery.port(), 8);
}
