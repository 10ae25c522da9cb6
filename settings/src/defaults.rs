//! The values of keys that a deployment leaves out, each with its key and unit. Numbers are read as `f64`.

/// `instances`: number of gateways.
pub(crate) const GATEWAY_COUNT: u32 = 1;

/// `me`: index of this gateway, from 0.
pub(crate) const GATEWAY_INDEX: u32 = 0;

/// `tick_ms`: shortest time between two batches of events, in ms.
pub(crate) const TICK_MS: f64 = 5.0;

/// `limits.conn_idle_ms`: how long a connection may be idle before it is closed, in ms.
pub(crate) const CONNECTION_IDLE_TIMEOUT_MS: f64 = 60_000.0;

/// `limits.max_attempts`: number of attempts of a request, the first one included.
pub(crate) const MAX_ATTEMPTS_COUNT: u32 = 1;

/// `limits.max_retry_after_ms`: longest Retry-After that clients accept, in ms.
pub(crate) const MAX_RETRY_AFTER_MS: f64 = 1000.0;

/// `safety.ask_within_ms`: greatest age of a watch, or a poll, of discovery, in ms.
pub(crate) const MAX_DISCOVERY_AGE_MS: f64 = 10_000.0;

/// `safety.cold_share`: fraction of its capacity that an endpoint starts with, from 0 to 1.
pub(crate) const SLOW_START_MIN_RATIO: f64 = 0.1;

/// `safety.cold_ms`: time until an endpoint has its full capacity, in ms.
pub(crate) const SLOW_START_MS: f64 = 20_000.0;

/// `safety.tip_multiple`: multiple of its capacity at which an endpoint in slow start fails.
pub(crate) const SLOW_START_OVERLOAD_MULTIPLE: f64 = 3.0;

/// `limits.dial_timeout_ms`: longest time to connect to a server, in ms.
pub(crate) const CONNECT_TIMEOUT_MS: f64 = 250.0;

/// `limits.max_open`: number of requests that may be open at once.
pub(crate) const MAX_OPEN_REQUEST_COUNT: u32 = 20_000;

/// `classes[].late_value`: value of a response after its latency objective, as a fraction of the full value.
pub(crate) const LATE_VALUE_RATIO: f64 = 0.0;

/// `classes[].window_ms`: how long retries are deduplicated, in ms.
pub(crate) const DEDUPLICATION_WINDOW_MS: f64 = 0.0;

/// `tenants[].quota_per_s`: requests a second over all gateways; 0 or less for no limit.
pub(crate) const QUOTA_PER_S: f64 = 0.0;

/// `deductions.cross_zone`: cost of an attempt that crosses zones, as a fraction of a request's value.
pub(crate) const CROSS_ZONE_COST_RATIO: f64 = 0.0;

/// `result_mix.nines`: weight of availability in the deployment's result, without a unit.
pub(crate) const AVAILABILITY_WEIGHT: f64 = 0.0;
