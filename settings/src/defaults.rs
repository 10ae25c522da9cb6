//! Default values of the keys that a deployment may omit, each with its key and unit. Numeric keys are read
//! as `f64`.

/// `instances`: number of gateways in the deployment.
pub(crate) const GATEWAY_COUNT: u32 = 1;

/// `me`: index of this gateway among the deployment's gateways, from 0.
pub(crate) const GATEWAY_INDEX: u32 = 0;

/// `tick_ms`: minimum time between two batches of events, in ms.
pub(crate) const TICK_MS: f64 = 5.0;

/// `limits.conn_idle_ms`: time after which endpoints close an idle connection, in ms.
pub(crate) const CONNECTION_IDLE_TIMEOUT_MS: f64 = 60_000.0;

/// `limits.max_attempts`: maximum number of attempts per request, including the first one.
pub(crate) const MAX_ATTEMPTS: u32 = 1;

/// `limits.max_retry_after_ms`: longest Retry-After that clients accept, in ms.
pub(crate) const MAX_RETRY_AFTER_MS: f64 = 1000.0;

/// `safety.ask_within_ms`: maximum age of the gateway's discovery watch or its last discovery poll, in ms.
pub(crate) const MAX_DISCOVERY_AGE_MS: f64 = 10_000.0;

/// `safety.drain_grace_ms`: time within which attempts at an endpoint must stop once its drain counts, in ms.
pub(crate) const DRAIN_GRACE_MS: f64 = 2000.0;

/// `safety.cold_share`: fraction of its capacity at which an endpoint begins slow start, from 0 to 1.
pub(crate) const SLOW_START_MIN_RATIO: f64 = 0.1;

/// `safety.cold_ms`: time from the start of an endpoint until it has its full capacity, in ms.
pub(crate) const SLOW_START_MS: f64 = 20_000.0;

/// `safety.tip_multiple`: load at which an endpoint in slow start fails, in multiples of its current
/// capacity.
pub(crate) const SLOW_START_OVERLOAD_MULTIPLE: f64 = 3.0;

/// `limits.dial_timeout_ms`: maximum time to connect to an endpoint, in ms.
pub(crate) const CONNECT_TIMEOUT_MS: f64 = 250.0;

/// `limits.max_open`: maximum number of requests open at the gateway at once.
pub(crate) const MAX_OPEN_REQUESTS: u32 = 20_000;

/// `classes[].late_value`: value of a response after its latency objective, as a fraction of the full value.
pub(crate) const LATE_VALUE: f64 = 0.0;

/// `classes[].window_ms`: deduplication window of retries with an idempotency key, in ms.
pub(crate) const DEDUPLICATION_WINDOW_MS: f64 = 0.0;

/// `tenants[].quota_per_s`: requests per second over all gateways; 0 or less means no limit.
pub(crate) const QUOTA_PER_S: f64 = 0.0;

/// `deductions.cross_zone`: cost of an attempt that crosses zones, as a fraction of a request's value.
pub(crate) const CROSS_ZONE_COST: f64 = 0.0;

/// `result_mix.nines`: weight of availability in the deployment's result, without a unit.
pub(crate) const AVAILABILITY_WEIGHT: f64 = 0.0;
