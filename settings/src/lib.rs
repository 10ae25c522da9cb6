//! The one place where a deployment's settings are read, checked and given their defaults.
//!
//! The adapter gets them with its start message, the gateway in its configuration file; names and units are
//! the same. An error names the faulty key by its path below the settings, such as `limits.max_open`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use serde_json::Value;
use ternstack_balancer::{
    DeduplicationScope, Idempotency, LoadReportDelivery, RequestClass, Settings, Tenant,
};

/// All that the settings tell: what the balancer needs, the names, and what only sockets need.
#[derive(Clone, Debug)]
pub struct Site {
    /// What the balancer needs, checked.
    pub balancer: Settings,
    /// The names behind its numbers.
    pub names: Names,
    /// A connection that is not up after this has failed, in ms.
    pub dial_timeout_ms: f64,
    /// How many requests may be open at once.
    pub max_open: usize,
}

/// Names from the settings, in their order; names met later are numbered after them.
#[derive(Clone, Debug)]
pub struct Names {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

fn number(names: &mut Vec<String>, name: &str) -> u32 {
    let at = place(names, name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    });
    at as u32
}

/// FNV-1a: the same number for a host's name at every gateway.
pub fn spread(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

impl Names {
    /// The number of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        place(&self.classes, name)
    }

    /// The number of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        place(&self.tenants, name)
    }

    /// The number of a zone, a new one if it has not been met.
    pub fn zone(&mut self, name: &str) -> u32 {
        number(&mut self.zones, name)
    }
}

/// A JSON object and the path that leads to it, for plain messages.
struct Part<'a> {
    value: &'a Value,
    path: &'a str,
}

impl Part<'_> {
    fn get(&self, name: &str) -> Option<&Value> {
        self.value.get(name).filter(|v| !v.is_null())
    }

    fn number(&self, name: &str, default: f64) -> Result<f64, String> {
        self.get(name).map_or(Ok(default), |v| v.as_f64().ok_or_else(|| self.bad(name, "a number")))
    }

    fn required(&self, name: &str) -> Result<f64, String> {
        let value = self.get(name).ok_or_else(|| format!("{}{name} is missing", self.path))?;
        value.as_f64().ok_or_else(|| self.bad(name, "a number"))
    }

    fn flag(&self, name: &str, default: bool) -> Result<bool, String> {
        self.get(name).map_or(Ok(default), |v| v.as_bool().ok_or_else(|| self.bad(name, "true or false")))
    }

    fn text(&self, name: &str, default: &str) -> Result<String, String> {
        let text = |v: &Value| v.as_str().map(str::to_string).ok_or_else(|| self.bad(name, "text"));
        self.get(name).map_or(Ok(default.to_string()), text)
    }

    fn list(&self, name: &str) -> Result<&[Value], String> {
        self.get(name)
            .map_or(Ok(&[][..]), |v| v.as_array().map(Vec::as_slice).ok_or_else(|| self.bad(name, "a list")))
    }

    fn names(&self, name: &str) -> Result<Vec<String>, String> {
        let text =
            |v: &Value| v.as_str().map(str::to_string).ok_or_else(|| self.bad(name, "a list of names"));
        self.list(name)?.iter().map(text).collect()
    }

    fn bad(&self, name: &str, wanted: &str) -> String {
        format!("{}{name} is not {wanted}", self.path)
    }
}

fn read_class(part: &Part) -> Result<RequestClass, String> {
    let effect = match part.text("effect", "unsafe")?.as_str() {
        "safe" => Idempotency::Idempotent,
        "keyed" => Idempotency::IdempotentWithKey,
        "unsafe" => Idempotency::NonIdempotent,
        other => return Err(format!("classes[].effect={other} is not known")),
    };
    let group = match part.text("group", "cell")?.as_str() {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        other => return Err(format!("classes[].group={other} is not known")),
    };
    let deadline_ms = part.required("deadline_ms")?;
    Ok(RequestClass {
        name: part.text("name", "")?,
        latency_objective_ms: part.number("aim_ms", deadline_ms)?,
        deadline_ms,
        late_value_ratio: part.number("late_value", 0.0)?,
        idempotency: effect,
        deduplication_scope: group,
        deduplication_window_ms: part.number("window_ms", 0.0)?,
    })
}

/// Reads the settings from their JSON object.
pub fn read(conf: &Value) -> Result<Site, String> {
    if !conf.is_object() {
        return Err("settings are not a JSON object".into());
    }
    let empty = Value::Object(serde_json::Map::new());

    let limits = Part { value: conf.get("limits").unwrap_or(&empty), path: "limits." };
    let safety = Part { value: conf.get("safety").unwrap_or(&empty), path: "safety." };
    let report = Part { value: conf.get("report").unwrap_or(&empty), path: "report." };
    let deductions = Part { value: conf.get("deductions").unwrap_or(&empty), path: "deductions." };
    let mix = Part { value: conf.get("result_mix").unwrap_or(&empty), path: "result_mix." };
    let root = Part { value: conf, path: "" };
    let mut classes = Vec::new();
    for value in root.list("classes")? {
        classes.push(read_class(&Part { value, path: "classes[]." })?);
    }
    let mut tenants = Vec::new();
    for value in root.list("tenants")? {
        let part = Part { value, path: "tenants[]." };
        tenants.push(Tenant { name: part.text("name", "")?, quota_per_s: part.number("quota_per_s", 0.0)? });
    }
    let mut names = Names {
        classes: classes.iter().map(|c| c.name.clone()).collect(),
        tenants: tenants.iter().map(|t| t.name.clone()).collect(),
        zones: root.names("zones")?,
    };
    let reports = match report.text("how", "off")?.as_str() {
        "inline" => LoadReportDelivery::Inline,
        "on_probe" => LoadReportDelivery::OnHealthCheck,
        "off" => LoadReportDelivery::Off,
        _ => return Err(report.bad("how", "inline, on_probe or off")),
    };
    let ask_discovery = match root.text("discovery", "push")?.as_str() {
        "ask" => true,
        "push" => false,
        _ => return Err(root.bad("discovery", "ask or push")),
    };
    let takes_advice = limits.flag("retry_after", true)?;
    let settings = Settings {
        classes,
        tenants,
        gateway_count: root.number("instances", 1.0)? as u32,
        gateway_index: root.number("me", 0.0)? as u32,
        zone: names.zone(&root.text("zone", "")?),
        tick_ms: root.number("tick_ms", 5.0)?,
        weights_reflect_load: root.text("weights", "off")? == "live",
        cross_zone_cost_ratio: deductions.number("cross_zone", 0.0)?,
        connection_idle_timeout_ms: limits.number("conn_idle_ms", 60_000.0)?,
        load_report_delivery: reports,
        poll_discovery: ask_discovery,
        max_attempts: limits.number("max_attempts", 1.0)? as u32,
        health_checks_allowed: limits.flag("may_probe", false)?,
        cancellation_allowed: limits.flag("cancel", false)?,
        max_retry_after_ms: if takes_advice { limits.number("max_retry_after_ms", 1000.0)? } else { 0.0 },
        max_discovery_age_ms: safety.number("ask_within_ms", 10_000.0)?,
        slow_start_min_ratio: safety.number("cold_share", 0.1)?,
        slow_start_ms: safety.number("cold_ms", 20_000.0)?,
        slow_start_overload_multiple: safety.number("tip_multiple", 3.0)?,
        removal_is_advisory: safety.flag("removal_not_binding", false)?,
        availability_weight: mix.number("nines", 0.0)?,
        availability_target_nines: mix.get("top_nines").map(|_| mix.required("top_nines")).transpose()?,
    };
    settings.check().map_err(|e| e.to_string())?;
    if settings.gateway_index >= settings.gateway_count {
        return Err("me must be below instances".into());
    }
    let dial_timeout_ms = limits.number("dial_timeout_ms", 250.0)?;
    if !(dial_timeout_ms.is_finite() && dial_timeout_ms > 0.0) {
        return Err("limits.dial_timeout_ms must be above 0".into());
    }
    let max_open = limits.number("max_open", 20_000.0)?;
    if max_open < 1.0 {
        return Err("limits.max_open must be 1 or more".into());
    }
    Ok(Site { balancer: settings, names, dial_timeout_ms, max_open: max_open as usize })
}
