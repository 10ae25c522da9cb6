//! The platform's words on the wire, and what this crate calls them.
//!
//! Header names, paths and fixed request parts stand here and nowhere else; the values' meaning is given in the crate's
//! own terms.

/// Identifies a request from the client to the server. No two open requests may carry the same one.
pub const CORRELATION_ID: &str = "X-Correlation-Id";
/// Names the request's class in the settings.
pub const SERVICE_CLASS: &str = "X-Service-Class";
/// Names the request's tenant in the settings; unknown or absent means no tenant.
pub const TENANT: &str = "X-Account";
/// How long the sender still waits, in whole milliseconds.
pub const TIME_LEFT_MS: &str = "X-Time-Left-Ms";
/// Lets servers drop retries of an idempotent request that they have already run.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// A server's load report on its responses; not forwarded to clients.
pub const LOAD_REPORT: &str = "X-Backend-Load";
/// Marks a 503 or 504 response to a request that the server has not run.
pub const UNPROCESSED: &str = "X-Unprocessed";
/// The value of [`UNPROCESSED`] that counts.
pub const UNPROCESSED_VALUE: &[u8] = b"1";

/// Where clients send requests.
pub const API_PATH: &[u8] = b"/api";
/// Where the platform asks whether new connections are welcome.
pub const READINESS_PATH: &[u8] = b"/ready";
/// Where discovery serves the endpoint list.
pub const ENDPOINTS_PATH: &str = "/v1/endpoints";

/// The `Host` field line of a forwarded request that came without one, as HTTP/1.0 permits.
pub const DEFAULT_HOST_LINE: &[u8] = b"Host: backend.local\r\n";
/// A health check up to the value of [`TIME_LEFT_MS`].
pub const HEALTH_CHECK_HEAD: &[u8] = b"GET /status/load HTTP/1.1\r\nHost: backend.local\r\nX-Time-Left-Ms: ";
/// The end of a health check, behind the value of [`TIME_LEFT_MS`].
pub const HEALTH_CHECK_TAIL: &[u8] = b"\r\n\r\n";
/// Asks a client that sent `Expect: 100-continue` for its body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The path and query of a poll for the endpoint list: for changes after `revision`, waiting up to `wait_ms` for one,
/// or for the complete list at once where no revision is known.
pub fn endpoints_target(revision: Option<u64>, wait_ms: u64) -> String {
    match revision {
        Some(revision) => format!("{ENDPOINTS_PATH}?after={revision}&wait_ms={wait_ms}"),
        None => ENDPOINTS_PATH.to_string(),
    }
}
