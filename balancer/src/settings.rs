//! The settings of a [`Balancer`](crate::Balancer), and their validation.

use crate::list_staleness;
use std::fmt;

/// Whether a request of a class may be attempted again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request carries an idempotency key: the endpoints of one [`DeduplicationScope`] deduplicate its
    /// retries within the deduplication window.
    IdempotentWithKey,
    /// The request must never run twice.
    NonIdempotent,
}

/// The endpoints that deduplicate retries of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints in the zone of the endpoint that may have run the request.
    Zone,
    /// The endpoints in the cell of the endpoint that may have run the request.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Name of the class, used only in log lines.
    pub name: String,
    /// Latency objective, in ms: a response within this time has the full value of the request.
    pub latency_objective_ms: f64,
    /// Time that a client waits in total over all its attempts, in ms.
    pub deadline_ms: f64,
    /// Fraction of the value that a response after the latency objective still has, from 0 to 1.
    pub late_value_ratio: f64,
    /// Whether a request may be retried after an attempt that may have run.
    pub idempotency: Idempotency,
    /// Endpoints that deduplicate retries; used only with an idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// Time for which retries are deduplicated, in ms, from the time at which the first attempt that may
    /// have run was sent; used only with an idempotency key.
    pub deduplication_window_ms: f64,
}

impl RequestClass {
    /// Returns whether a request may be rejected, which tells the client that it may safely retry.
    /// `may_have_run` says whether an attempt of the request may have run.
    pub fn may_reject(&self, may_have_run: bool) -> bool {
        let deduplicated_everywhere = self.idempotency == Idempotency::IdempotentWithKey
            && self.deduplication_scope == DeduplicationScope::All;
        !may_have_run || self.idempotency == Idempotency::Idempotent || deduplicated_everywhere
    }
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant, used only in log lines.
    pub name: String,
    /// Quota in requests per second over all gateways; 0 or less means no limit.
    pub quota_per_s: f64,
}

/// How load reports reach the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportDelivery {
    /// With every response, including responses to health checks.
    Inline,
    /// With responses to health checks only.
    OnHealthCheck,
    /// Never.
    Off,
}

/// The settings of the deployment and of one gateway, for [`Balancer::new`](crate::Balancer::new).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes; at least one.
    pub classes: Vec<RequestClass>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of gateways in the deployment, including this one.
    pub gateway_count: u32,
    /// Index of this gateway among all gateways, from 0.
    pub gateway_index: u32,
    /// Zone of this gateway, in the gateway's own numbering.
    pub zone: u32,
    /// Shortest time between two batches of events, in ms.
    pub tick_ms: f64,
    /// Whether the weights of the endpoint list are endpoint sizes divided by 1 + requests in flight per
    /// core.
    pub weights_reflect_load: bool,
    /// Cost of an attempt that crosses zones, as a fraction of the value of a request.
    pub cross_zone_cost_ratio: f64,
    /// Time after which endpoints close an idle connection, in ms.
    pub connection_idle_timeout_ms: f64,
    /// How load reports reach the gateway.
    pub load_report_delivery: LoadReportDelivery,
    /// Whether the gateway has to poll for the endpoint list; otherwise discovery pushes updates.
    pub poll_discovery: bool,
    /// Largest number of attempts of a request.
    pub max_attempts: u32,
    /// Whether the deployment permits health checks.
    pub health_checks_allowed: bool,
    /// Whether the deployment permits cancelling attempts in flight.
    pub cancellation_allowed: bool,
    /// Longest Retry-After that clients accept, in ms; 0 if they accept none.
    pub max_retry_after_ms: f64,
    /// Longest age of a watch or poll of discovery before the endpoint list counts as stale, in ms.
    pub max_discovery_age_ms: f64,
    /// Time within which attempts at an endpoint must stop once discovery has its drain, in ms, where the
    /// drain counts whether or not it has reached this gateway. `None` where only drains that have reached
    /// this gateway count. Key `safety.drain_grace_ms`.
    pub drain_grace_ms: Option<f64>,
    /// Fraction of its full capacity that an endpoint has when its process starts, from 0 to 1. Key
    /// `safety.cold_share`.
    pub slow_start_min_ratio: f64,
    /// Time from a process start until the endpoint has its full capacity, in ms. Key `safety.cold_ms`.
    pub slow_start_ms: f64,
    /// Multiple of its current capacity at which an endpoint in slow start fails. Key
    /// `safety.tip_multiple`.
    pub slow_start_overload_multiple: f64,
    /// Whether an endpoint that is removed from the list may still be used, unless the list has shown it as
    /// draining.
    pub removal_is_advisory: bool,
    /// Weight of availability in the deployment's result, where availability is counted in nines of the
    /// served fraction. Validated, but not used by any rule.
    pub availability_weight: f64,
    /// Availability in nines that earns the full availability weight, if the deployment sets one.
    /// Validated, but not used by any rule.
    pub availability_target_nines: Option<f64>,
}

/// The error for a setting whose value is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Key of the invalid setting in the deployment's settings.
    pub setting: &'static str,
    /// Requirement that the value doesn't meet.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.setting, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// Returns an error that names `setting` and `problem` unless `valid`.
fn require(valid: bool, setting: &'static str, problem: &'static str) -> Result<(), SettingsError> {
    if valid {
        Ok(())
    } else {
        Err(SettingsError { setting, problem })
    }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn is_ratio(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

impl RequestClass {
    fn check(&self) -> Result<(), SettingsError> {
        require(is_positive(self.latency_objective_ms), "classes.aim_ms", "must be above 0")?;
        require(is_positive(self.deadline_ms), "classes.deadline_ms", "must be above 0")?;
        require(is_ratio(self.late_value_ratio), "classes.late_value", "must be from 0 to 1")?;
        require(self.deduplication_window_ms >= 0.0, "classes.window_ms", "must be 0 or more")
    }
}

impl Settings {
    /// Returns for how long the endpoint list may be acted on without word from discovery, in ms; `None` if
    /// the list does not become stale.
    pub fn list_lifetime_ms(&self) -> Option<f64> {
        list_staleness::lifetime_ms(self)
    }

    /// Validates all settings.
    ///
    /// # Errors
    ///
    /// Returns the first setting whose value is invalid, by its key in the deployment's settings.
    pub fn check(&self) -> Result<(), SettingsError> {
        require(!self.classes.is_empty(), "classes", "at least one is needed")?;
        for class in &self.classes {
            class.check()?;
        }
        let quotas_are_numbers = self.tenants.iter().all(|tenant| !tenant.quota_per_s.is_nan());
        require(quotas_are_numbers, "tenants.quota_per_s", "must be a number")?;
        require(self.gateway_count > 0, "instances", "must be 1 or more")?;
        require(self.cross_zone_cost_ratio >= 0.0, "cross_price", "must be 0 or more")?;
        require(self.connection_idle_timeout_ms >= 0.0, "idle_ms", "must be 0 or more")?;
        require(is_positive(self.tick_ms), "tick_ms", "must be above 0")?;
        require(self.max_attempts > 0, "max_attempts", "must be 1 or more")?;
        require(self.max_retry_after_ms >= 0.0, "max_retry_after_ms", "must be 0 or more")?;
        require(is_positive(self.max_discovery_age_ms), "ask_within_ms", "must be above 0")?;
        let grace_is_valid = self.drain_grace_ms.is_none_or(|grace_ms| grace_ms >= 0.0);
        require(grace_is_valid, "drain_grace_ms", "must be 0 or more")?;
        require(is_ratio(self.slow_start_min_ratio), "cold_share", "must be from 0 to 1")?;
        require(self.slow_start_ms >= 0.0, "cold_ms", "must be 0 or more")?;
        require(is_positive(self.slow_start_overload_multiple), "tip_multiple", "must be above 0")?;
        let weight = self.availability_weight;
        require(weight >= 0.0 && weight.is_finite(), "nines", "must be 0 or more")?;
        require(self.availability_target_nines.is_none_or(is_positive), "top_nines", "must be above 0")
    }
}
