//! Conversion of HTTP messages to requests. The fields on which decisions depend are parsed; the other
//! end-to-end fields and the body are forwarded as received.
use super::client::ArrivedRequest;
use super::Frontend;
use crate::events::{RawRequest, Request, Response, UnreadInput};
use crate::http1::{CompleteMessage, RequestLine};
use crate::memory::MemoryLease;
use crate::memory_budget::Work;
use crate::protocol::{
    CORRELATION_ID, DEFAULT_HOST_LINE, IDEMPOTENCY_KEY, SERVICE_CLASS, TENANT, TIME_LEFT_MS,
};
use bytes::BytesMut;
use std::sync::Arc;
use std::time::Duration;
use ternstack_balancer::Idempotency;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

/// The initial capacity for the part of a forwarded head before the time left, enough for most requests.
const BEFORE_TIME_LEFT_CAPACITY_BYTES: usize = 128;
/// The initial capacity for the part of a forwarded head after the time left, enough for most requests.
const AFTER_TIME_LEFT_CAPACITY_BYTES: usize = 512;

/// The maximum length of a correlation id in a log line.
const MAX_LOGGED_ID_BYTES: usize = 64;

/// The reason why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InvalidRequest {
    CorrelationId,
    CorrelationIdInUse,
    ServiceClass,
    MissingIdempotencyKey,
    TimeLeft,
}

impl InvalidRequest {
    /// Returns the text that the client gets as the body of the response.
    pub(super) fn reason(self) -> &'static str {
        match self {
            InvalidRequest::CorrelationId => "X-Correlation-Id is missing or given twice",
            InvalidRequest::CorrelationIdInUse => "X-Correlation-Id is that of an open request",
            InvalidRequest::ServiceClass => "X-Service-Class is missing or not in the settings",
            InvalidRequest::MissingIdempotencyKey => "Idempotency-Key is missing",
            InvalidRequest::TimeLeft => "X-Time-Left-Ms is no time",
        }
    }
}

impl Frontend {
    /// Converts an arrived message to a request, and reserves its correlation id.
    pub(super) fn parse_request(
        &self, arrived: ArrivedRequest, unread_input: UnreadInput, respond_to: oneshot::Sender<Response>,
    ) -> Result<Request, InvalidRequest> {
        let ArrivedRequest { message, arrived_at, lease } = arrived;
        let fields = &message.fields;
        let has_one_id = fields.all(CORRELATION_ID).count() == 1;
        if !has_one_id || fields.get(CORRELATION_ID).is_none_or(<[u8]>::is_empty) {
            return Err(InvalidRequest::CorrelationId);
        }
        let class = fields.text(SERVICE_CLASS).and_then(|name| self.deployment.names.class_index(name));
        let class = class.ok_or(InvalidRequest::ServiceClass)?;
        let settings = &self.deployment.balancer.classes[class];
        // Without the key, endpoints could not drop a duplicate of the request.
        let has_no_key = fields.get(IDEMPOTENCY_KEY).is_none_or(<[u8]>::is_empty);
        if settings.idempotency == Idempotency::IdempotentWithKey && has_no_key {
            return Err(InvalidRequest::MissingIdempotencyKey);
        }
        let time_left_ms = parse_time_left_ms(&message, settings.deadline_ms)?;
        let tenant = fields.text(TENANT).and_then(|name| self.deployment.names.tenant_index(name));
        let correlation_id = fields.get(CORRELATION_ID).and_then(|id| self.correlation_ids.reserve(id));
        let correlation_id = correlation_id.ok_or(InvalidRequest::CorrelationIdInUse)?;
        let id = self.next_request_id();
        // The client's time left runs from the arrival, which is before now for a pipelined request and after
        // a stall.
        let now = Instant::now();
        let waited = now.saturating_duration_since(arrived_at);
        let time_left = Duration::from_secs_f64(time_left_ms / 1000.0).saturating_sub(waited);
        debug!(
            request_id = id.0,
            correlation_id =
                fields.text(CORRELATION_ID).map(|id| id.get(..MAX_LOGGED_ID_BYTES).unwrap_or(id)),
            time_left_ms,
            waited_ms = waited.as_millis() as u64,
            "request read"
        );
        let (deadline, raw) = (now + time_left, raw_request(&message, lease));
        Ok(Request { id, class, tenant, deadline, raw, correlation_id, respond_to, unread_input })
    }
}

/// Returns how long the client still waits, in milliseconds: the value of [`TIME_LEFT_MS`], but at most
/// `deadline_ms`, the deadline of the request's class. Returns `deadline_ms` for a request without the field.
fn parse_time_left_ms(
    message: &CompleteMessage<RequestLine>, deadline_ms: f64,
) -> Result<f64, InvalidRequest> {
    if message.fields.get(TIME_LEFT_MS).is_none() {
        return Ok(deadline_ms);
    }
    let digits = message.fields.text(TIME_LEFT_MS).filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
    let time_left_ms = digits.and_then(|digits| digits.parse::<f64>().ok());
    Ok(time_left_ms.ok_or(InvalidRequest::TimeLeft)?.min(deadline_ms))
}

/// Returns the bytes to forward: the method, path, query, end-to-end fields and body as received.
fn raw_request(message: &CompleteMessage<RequestLine>, lease: Option<MemoryLease>) -> RawRequest {
    let mut before = BytesMut::with_capacity(BEFORE_TIME_LEFT_CAPACITY_BYTES);
    let request_line = [message.method(), b" ", message.target(), b" HTTP/1.1\r\n"];
    for part in request_line.into_iter().chain([TIME_LEFT_MS.as_bytes(), b": "]) {
        before.extend_from_slice(part);
    }
    let mut after = BytesMut::with_capacity(AFTER_TIME_LEFT_CAPACITY_BYTES);
    after.extend_from_slice(b"\r\n");
    if message.fields.get("host").is_none() {
        after.extend_from_slice(DEFAULT_HOST_LINE);
    }
    // Endpoints need the correlation id and the idempotency key even if `Connection` names these fields.
    message.fields.write_end_to_end(&mut after, &[TIME_LEFT_MS], &[CORRELATION_ID, IDEMPOTENCY_KEY]);
    if !message.body.is_empty() || message.method() == b"POST" {
        after.extend_from_slice(format!("Content-Length: {}\r\n", message.body.len()).as_bytes());
    }
    after.extend_from_slice(b"\r\n");
    if let Some(lease) = &lease {
        lease.set_work(Work::Accepted);
        lease.set_bytes(before.capacity() + after.capacity() + message.body.len());
    }
    RawRequest {
        before_time_left: before.freeze(),
        after_time_left: after.freeze(),
        body: message.body.clone(),
        lease: lease.map(Arc::new),
    }
}
