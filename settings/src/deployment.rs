//! The validated settings of a deployment, read from the keys of their JSON object.

use crate::defaults;
use crate::error::DeploymentError;
use crate::json::Section;
use crate::names::NameTable;
use serde_json::Value;
use ternstack_balancer::{
    DeduplicationScope, Idempotency, LoadReportDelivery, RequestClass, Settings, Tenant,
};

/// The validated settings of a deployment, with defaults in place of absent keys.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The settings of the balancer, already validated.
    pub balancer: Settings,
    /// The names of the classes, tenants and zones that the balancer knows by number.
    pub names: NameTable,
    /// Maximum time to connect to an endpoint, in ms; a slower connection attempt fails.
    pub connect_timeout_ms: f64,
    /// Maximum number of requests open at the gateway at once.
    pub max_open_requests: usize,
}

impl Deployment {
    /// Reads and validates the settings. Unknown keys are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first key that is missing, of the wrong type or out of range.
    pub fn from_json(settings: &Value) -> Result<Self, DeploymentError> {
        if !settings.is_object() {
            return Err(DeploymentError::NotAnObject);
        }
        let root = Section::root(settings);
        let limits = root.section("limits", "limits.");
        let classes = read_classes(&root)?;
        let tenants = read_tenants(&root)?;
        let mut names = NameTable::new(
            classes.iter().map(|class| class.name.clone()).collect(),
            tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            root.strings("zones")?,
        );
        let balancer = read_balancer_settings(&root, classes, tenants, &mut names)?;
        balancer.check()?;
        if balancer.gateway_index >= balancer.gateway_count {
            return Err(DeploymentError::OutOfRange { key: "me", requirement: "below instances" });
        }
        let connect_timeout_ms = read_connect_timeout_ms(&limits)?;
        let max_open_requests = read_max_open_requests(&limits)?;
        Ok(Deployment { balancer, names, connect_timeout_ms, max_open_requests })
    }
}

fn read_classes(root: &Section) -> Result<Vec<RequestClass>, DeploymentError> {
    root.sections("classes", "classes[].")?.map(|class| read_class(&class)).collect()
}

fn read_class(class: &Section) -> Result<RequestClass, DeploymentError> {
    let idempotency = read_idempotency(class)?;
    let deduplication_scope = read_deduplication_scope(class)?;
    let deadline_ms = class.number("deadline_ms")?;
    Ok(RequestClass {
        name: class.string_or("name", "")?.to_string(),
        latency_objective_ms: class.number_or("aim_ms", deadline_ms)?,
        deadline_ms,
        late_value_ratio: class.number_or("late_value", defaults::LATE_VALUE)?,
        idempotency,
        deduplication_scope,
        deduplication_window_ms: class.number_or("window_ms", defaults::DEDUPLICATION_WINDOW_MS)?,
    })
}

fn read_idempotency(class: &Section) -> Result<Idempotency, DeploymentError> {
    match class.string_or("effect", "unsafe")? {
        "safe" => Ok(Idempotency::Idempotent),
        "keyed" => Ok(Idempotency::IdempotentWithKey),
        "unsafe" => Ok(Idempotency::NonIdempotent),
        other => Err(class.unknown_value("effect", other)),
    }
}

fn read_deduplication_scope(class: &Section) -> Result<DeduplicationScope, DeploymentError> {
    match class.string_or("group", "cell")? {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        other => Err(class.unknown_value("group", other)),
    }
}

fn read_tenants(root: &Section) -> Result<Vec<Tenant>, DeploymentError> {
    root.sections("tenants", "tenants[].")?.map(|tenant| read_tenant(&tenant)).collect()
}

fn read_tenant(tenant: &Section) -> Result<Tenant, DeploymentError> {
    Ok(Tenant {
        name: tenant.string_or("name", "")?.to_string(),
        quota_per_s: tenant.number_or("quota_per_s", defaults::QUOTA_PER_S)?,
    })
}

fn read_balancer_settings(
    root: &Section, classes: Vec<RequestClass>, tenants: Vec<Tenant>, names: &mut NameTable,
) -> Result<Settings, DeploymentError> {
    let limits = root.section("limits", "limits.");
    let safety = root.section("safety", "safety.");
    let result_mix = root.section("result_mix", "result_mix.");
    let load_report_delivery = read_load_report_delivery(&root.section("report", "report."))?;
    let poll_discovery = read_poll_discovery(root)?;
    let drain_grace_ms = safety.number_or("drain_grace_ms", defaults::DRAIN_GRACE_MS)?;
    let clients_honor_retry_after = limits.bool_or("retry_after", true)?;
    Ok(Settings {
        classes,
        tenants,
        gateway_count: root.number_or("instances", f64::from(defaults::GATEWAY_COUNT))? as u32,
        gateway_index: root.number_or("me", f64::from(defaults::GATEWAY_INDEX))? as u32,
        zone: names.zone_number(root.string_or("zone", "")?),
        tick_ms: root.number_or("tick_ms", defaults::TICK_MS)?,
        weights_reflect_load: root.string_or("weights", "off")? == "live",
        cross_zone_cost_ratio: root
            .section("deductions", "deductions.")
            .number_or("cross_zone", defaults::CROSS_ZONE_COST)?,
        connection_idle_timeout_ms: limits.number_or("conn_idle_ms", defaults::CONNECTION_IDLE_TIMEOUT_MS)?,
        load_report_delivery,
        poll_discovery,
        max_attempts: limits.number_or("max_attempts", f64::from(defaults::MAX_ATTEMPTS))? as u32,
        health_checks_allowed: limits.bool_or("may_probe", false)?,
        cancellation_allowed: limits.bool_or("cancel", false)?,
        max_retry_after_ms: if clients_honor_retry_after {
            limits.number_or("max_retry_after_ms", defaults::MAX_RETRY_AFTER_MS)?
        } else {
            0.0
        },
        max_discovery_age_ms: safety.number_or("ask_within_ms", defaults::MAX_DISCOVERY_AGE_MS)?,
        drain_grace_ms: (!poll_discovery).then_some(drain_grace_ms),
        slow_start_min_ratio: safety.number_or("cold_share", defaults::SLOW_START_MIN_RATIO)?,
        slow_start_ms: safety.number_or("cold_ms", defaults::SLOW_START_MS)?,
        slow_start_overload_multiple: safety
            .number_or("tip_multiple", defaults::SLOW_START_OVERLOAD_MULTIPLE)?,
        removal_is_advisory: safety.bool_or("removal_not_binding", false)?,
        availability_weight: result_mix.number_or("nines", defaults::AVAILABILITY_WEIGHT)?,
        availability_target_nines: read_optional_number(&result_mix, "top_nines")?,
    })
}

fn read_load_report_delivery(report: &Section) -> Result<LoadReportDelivery, DeploymentError> {
    match report.string_or("how", "off")? {
        "inline" => Ok(LoadReportDelivery::Inline),
        "on_probe" => Ok(LoadReportDelivery::OnHealthCheck),
        "off" => Ok(LoadReportDelivery::Off),
        _ => Err(report.invalid_value("how", "inline, on_probe or off")),
    }
}

fn read_poll_discovery(root: &Section) -> Result<bool, DeploymentError> {
    match root.string_or("discovery", "push")? {
        "ask" => Ok(true),
        "push" => Ok(false),
        _ => Err(root.invalid_value("discovery", "ask or push")),
    }
}

fn read_optional_number(section: &Section, name: &str) -> Result<Option<f64>, DeploymentError> {
    if section.has(name) {
        section.number(name).map(Some)
    } else {
        Ok(None)
    }
}

fn read_connect_timeout_ms(limits: &Section) -> Result<f64, DeploymentError> {
    let timeout_ms = limits.number_or("dial_timeout_ms", defaults::CONNECT_TIMEOUT_MS)?;
    if timeout_ms.is_finite() && timeout_ms > 0.0 {
        Ok(timeout_ms)
    } else {
        Err(DeploymentError::OutOfRange { key: "limits.dial_timeout_ms", requirement: "above 0" })
    }
}

fn read_max_open_requests(limits: &Section) -> Result<usize, DeploymentError> {
    let max_open_requests = limits.number_or("max_open", f64::from(defaults::MAX_OPEN_REQUESTS))?;
    if max_open_requests < 1.0 {
        return Err(DeploymentError::OutOfRange { key: "limits.max_open", requirement: "1 or more" });
    }
    Ok(max_open_requests as usize)
}
