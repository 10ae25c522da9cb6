//! The values of keys that a deployment leaves out.

pub(crate) const GATEWAY_COUNT: f64 = 1.0;
pub(crate) const GATEWAY_INDEX: f64 = 0.0;
pub(crate) const TICK_MS: f64 = 5.0;
pub(crate) const CONNECTION_IDLE_TIMEOUT_MS: f64 = 60_000.0;
pub(crate) const MAX_ATTEMPTS_COUNT: f64 = 1.0;
pub(crate) const MAX_RETRY_AFTER_MS: f64 = 1000.0;
pub(crate) const MAX_DISCOVERY_AGE_MS: f64 = 10_000.0;
pub(crate) const SLOW_START_MIN_RATIO: f64 = 0.1;
pub(crate) const SLOW_START_MS: f64 = 20_000.0;
pub(crate) const SLOW_START_OVERLOAD_MULTIPLE: f64 = 3.0;
pub(crate) const CONNECT_TIMEOUT_MS: f64 = 250.0;
pub(crate) const MAX_OPEN_REQUEST_COUNT: f64 = 20_000.0;
