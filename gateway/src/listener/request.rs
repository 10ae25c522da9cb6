//! Requests out of HTTP messages: what decisions need is parsed, the rest is forwarded as received.
use super::Frontend;
use crate::events::{RawRequest, Request, Response};
use crate::http1::{CompleteMessage, RequestLine};
use crate::protocol::{
    CORRELATION_ID, DEFAULT_HOST_LINE, IDEMPOTENCY_KEY, SERVICE_CLASS, TENANT, TIME_LEFT_MS,
};
use bytes::BytesMut;
use std::time::Duration;
use ternstack_balancer::Idempotency;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

/// The usual sizes of the two parts of a forwarded head.
const BEFORE_TIME_LEFT_CAPACITY_BYTES: usize = 128;
const AFTER_TIME_LEFT_CAPACITY_BYTES: usize = 512;

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InvalidRequest {
    CorrelationId,
    CorrelationIdInUse,
    ServiceClass,
    MissingIdempotencyKey,
    TimeLeft,
}

impl InvalidRequest {
    /// The reason as the client gets it.
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
    /// Makes a request of a message that arrived at `arrived_at`.
    pub(super) fn parse_request(
        &self, message: &CompleteMessage<RequestLine>, arrived_at: Instant,
        respond_to: oneshot::Sender<Response>,
    ) -> Result<Request, InvalidRequest> {
        let fields = &message.fields;
        let has_one_id = fields.all(CORRELATION_ID).count() == 1;
        if !has_one_id || fields.get(CORRELATION_ID).is_none_or(<[u8]>::is_empty) {
            return Err(InvalidRequest::CorrelationId);
        }
        let class = fields.text(SERVICE_CLASS).and_then(|name| self.deployment.names.class_index(name));
        let class = class.ok_or(InvalidRequest::ServiceClass)?;
        let settings = &self.deployment.balancer.classes[class];
        // Without its key no server could drop a duplicate.
        let has_no_key = fields.get(IDEMPOTENCY_KEY).is_none_or(<[u8]>::is_empty);
        if settings.idempotency == Idempotency::IdempotentWithKey && has_no_key {
            return Err(InvalidRequest::MissingIdempotencyKey);
        }
        let time_left_ms = parse_time_left_ms(message, settings.deadline_ms)?;
        let tenant = fields.text(TENANT).and_then(|name| self.deployment.names.tenant_index(name));
        let id = self.next_request_id();
        // Its time runs since it arrived, which is earlier for pipelined requests and after a stall.
        let now = Instant::now();
        let waited = now.saturating_duration_since(arrived_at);
        let time_left = Duration::from_secs_f64(time_left_ms / 1000.0).saturating_sub(waited);
        debug!(
            request_id = id.0,
            correlation_id = fields.text(CORRELATION_ID),
            time_left_ms,
            waited_ms = waited.as_millis() as u64,
            "request read"
        );
        let (deadline, raw) = (now + time_left, forwarded(message));
        Ok(Request { id, class, tenant, deadline, raw, respond_to })
    }
}

/// How long the client waits, in milliseconds: what it says, up to the class's deadline for all its attempts.
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

/// The bytes to forward: method, path, query, end-to-end fields and body as received.
fn forwarded(message: &CompleteMessage<RequestLine>) -> RawRequest {
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
    // Servers need the id and the key even if `Connection` names them.
    message.fields.write_end_to_end(&mut after, &[TIME_LEFT_MS], &[CORRELATION_ID, IDEMPOTENCY_KEY]);
    if !message.body.is_empty() || message.method() == b"POST" {
        after.extend_from_slice(format!("Content-Length: {}\r\n", message.body.len()).as_bytes());
    }
    after.extend_from_slice(b"\r\n");
    RawRequest {
        before_time_left: before.freeze(),
        after_time_left: after.freeze(),
        body: message.body.clone(),
    }
}
