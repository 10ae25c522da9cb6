//! What a [`Balancer`](crate::Balancer) needs to know of its deployment, and the check of these values.

use std::fmt;

/// Whether a request of a class may be attempted again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Carries an idempotency key: the endpoints of one [`DeduplicationScope`] deduplicate retries for a
    /// while.
    IdempotentWithKey,
    /// Must never run twice.
    NonIdempotent,
}

/// Which endpoints deduplicate retries of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those in the zone of the endpoint that may have run it.
    Zone,
    /// Those in the cell of the endpoint that may have run it.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name, for log lines only.
    pub name: String,
    /// A response within this time, in ms, earns the full value of the request.
    pub latency_objective_ms: f64,
    /// How long a client waits over all its attempts, in ms.
    pub deadline_ms: f64,
    /// Fraction of the value, from 0 to 1, that a response after the latency objective still earns.
    pub late_value_ratio: f64,
    /// Whether it may be retried.
    pub idempotency: Idempotency,
    /// With an idempotency key: which endpoints deduplicate retries.
    pub deduplication_scope: DeduplicationScope,
    /// With an idempotency key: how long retries are deduplicated, in ms from sending the first attempt
    /// that may have run.
    pub deduplication_window_ms: f64,
}

impl RequestClass {
    /// Whether a client may be told that a retry of its own is harmless, given that an attempt may have
    /// run.
    pub fn may_reject(&self, may_have_run: bool) -> bool {
        let deduplicated_everywhere = self.idempotency == Idempotency::IdempotentWithKey
            && self.deduplication_scope == DeduplicationScope::All;
        !may_have_run || self.idempotency == Idempotency::Idempotent || deduplicated_everywhere
    }
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, for log lines only.
    pub name: String,
    /// Requests a second over all gateways; 0 or less means no limit.
    pub quota_per_s: f64,
}

/// How load reports reach the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportDelivery {
    /// With every response and health check result.
    Inline,
    /// With health check results only.
    OnHealthCheck,
    /// Not at all.
    Off,
}

/// What [`Balancer::new`](crate::Balancer::new) needs to know of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes of requests; at least one.
    pub classes: Vec<RequestClass>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of gateways, this one included.
    pub gateway_count: u32,
    /// Index of this gateway among them, from 0.
    pub gateway_index: u32,
    /// Zone of this gateway, in the gateway's own numbering.
    pub zone: u32,
    /// Shortest time between two batches of events, in ms.
    pub tick_ms: f64,
    /// The endpoint list's weights are sizes divided by 1 + requests in flight a core.
    pub weights_reflect_load: bool,
    /// Cost of an attempt that crosses zones, as a fraction of the value of a request.
    pub cross_zone_cost_ratio: f64,
    /// Endpoints close an idle connection after this time, in ms.
    pub connection_idle_timeout_ms: f64,
    /// How load reports reach the gateway.
    pub load_report_delivery: LoadReportDelivery,
    /// The endpoint list must be polled for; otherwise discovery pushes it.
    pub poll_discovery: bool,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Health checks are permitted.
    pub health_checks_allowed: bool,
    /// Cancelling an attempt is permitted.
    pub cancellation_allowed: bool,
    /// Longest Retry-After that clients accept, in ms; 0 where they accept none.
    pub max_retry_after_ms: f64,
    /// A watch, or a poll, of discovery must be at most this old, in ms.
    pub max_discovery_age_ms: f64,
    /// An endpoint starts with this fraction of its capacity or more, from 0 to 1. Key `safety.cold_share`.
    pub slow_start_min_ratio: f64,
    /// An endpoint has its full capacity after this time, in ms. Key `safety.cold_ms`.
    pub slow_start_ms: f64,
    /// An endpoint in slow start fails when sent more than this multiple of its capacity at that moment. Key
    /// `safety.tip_multiple`.
    pub slow_start_overload_multiple: f64,
    /// Only a drain that the endpoint list has shown binds: an endpoint that is removed without one may
    /// still be sent to.
    pub removal_is_advisory: bool,
    /// Weight of availability in the deployment's result, counted in nines of the served fraction. No rule
    /// reads it: the deployment's settings have it, and it is checked with them.
    pub availability_weight: f64,
    /// The nines that earn that weight in full, where the deployment gives them. Checked and not read, like
    /// the weight.
    pub availability_target_nines: Option<f64>,
}

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting, by its key in the deployment's settings.
    pub setting: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.setting, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// An error that names `setting` unless `valid`.
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
    /// Checks every value.
    ///
    /// # Errors
    ///
    /// The first setting that cannot be used, by its key in the deployment's settings.
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
        require(is_ratio(self.slow_start_min_ratio), "cold_share", "must be from 0 to 1")?;
        require(self.slow_start_ms >= 0.0, "cold_ms", "must be 0 or more")?;
        require(is_positive(self.slow_start_overload_multiple), "tip_multiple", "must be above 0")?;
        let weight = self.availability_weight;
        require(weight >= 0.0 && weight.is_finite(), "nines", "must be 0 or more")?;
        require(self.availability_target_nines.is_none_or(is_positive), "top_nines", "must be above 0")
    }
}
