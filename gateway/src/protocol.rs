//! The platform's HTTP header names, paths and fixed request parts.
//!
//! No other module spells these out. Each constant is named after its meaning in this crate's terms, because
//! the names on the wire follow the platform's vocabulary (`X-Account`, for example, names a tenant).

/// The header whose value identifies a request from the client to the endpoint. No two open requests may
/// carry the same value.
pub const CORRELATION_ID: &str = "X-Correlation-Id";
/// The header that names the request's class in the settings.
pub const SERVICE_CLASS: &str = "X-Service-Class";
/// The header that names the request's tenant in the settings. A request without the header, or with an
/// unknown name, has no tenant.
pub const TENANT: &str = "X-Account";
/// The header that says how long the sender still waits for the response, in whole milliseconds.
pub const TIME_LEFT_MS: &str = "X-Time-Left-Ms";
/// The header with the key by which endpoints recognize and drop retries of a request that they have already
/// run.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The header of an endpoint's response that carries its load report. The gateway does not forward it to
/// clients.
pub const LOAD_REPORT: &str = "X-Backend-Load";
/// The header that marks a 503 or 504 response to a request that the endpoint has not run.
pub const UNPROCESSED: &str = "X-Unprocessed";
/// The only value of [`UNPROCESSED`] that marks a request as not run; any other value is ignored.
pub const UNPROCESSED_VALUE: &[u8] = b"1";

/// The path to which clients send requests.
pub const API_PATH: &[u8] = b"/api";
/// The path of the platform's readiness probe, which asks whether the gateway takes new connections.
pub const READINESS_PATH: &[u8] = b"/ready";
/// The path at which discovery serves the endpoint list.
pub const ENDPOINTS_PATH: &str = "/v1/endpoints";

/// The `Host` field line of a forwarded request if the client sent none, which HTTP/1.0 permits.
pub const DEFAULT_HOST_LINE: &[u8] = b"Host: backend.local\r\n";
/// The bytes of a health check before the value of [`TIME_LEFT_MS`].
pub const HEALTH_CHECK_HEAD: &[u8] = b"GET /status/load HTTP/1.1\r\nHost: backend.local\r\nX-Time-Left-Ms: ";
/// The bytes of a health check after the value of [`TIME_LEFT_MS`].
pub const HEALTH_CHECK_TAIL: &[u8] = b"\r\n\r\n";
/// The interim response that asks a client that sent `Expect: 100-continue` for the request's body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Returns the path and query of a poll for the endpoint list. With a `revision`, discovery returns the
/// changes after that revision and waits up to `wait_ms` milliseconds for one. Without a `revision`,
/// discovery returns the complete list at once.
pub fn endpoints_target(revision: Option<u64>, wait_ms: u64) -> String {
    match revision {
        Some(revision) => format!("{ENDPOINTS_PATH}?after={revision}&wait_ms={wait_ms}"),
        None => ENDPOINTS_PATH.to_string(),
    }
}
