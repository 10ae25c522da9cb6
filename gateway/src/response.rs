//! Encoding of responses to clients: the final [`Response`] to a request, and the [`LocalResponse`] of the
//! listener.
use crate::events::{Response, ServedResponse};
use crate::http1::ParseError;
use crate::protocol::LOAD_REPORT;
use bytes::{Bytes, BytesMut};
use std::fmt::Write;

/// The initial capacity of the buffer for a response's head, enough for most heads.
const HEAD_CAPACITY_BYTES: usize = 256;

/// A response that the listener gives without asking the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResponse {
    /// 200: the gateway takes new connections.
    Ready,
    /// 503: the gateway is shutting down.
    Stopping,
    /// 400: the request is invalid, for the reason in the response's body.
    BadRequest(&'static str),
    /// 404: the path is unknown.
    NotFound,
    /// 405: the path does not support the method.
    MethodNotAllowed,
    /// 408: the request did not arrive completely in time.
    RequestTimeout,
    /// 413: the body exceeds the size limit.
    BodyTooLarge,
    /// 431: the head exceeds the size limit.
    HeadTooLarge,
}

impl From<ParseError> for LocalResponse {
    fn from(error: ParseError) -> Self {
        match error {
            ParseError::MalformedHead => LocalResponse::BadRequest("malformed head"),
            ParseError::InvalidLength => LocalResponse::BadRequest("bad length"),
            ParseError::HeadTooLarge => LocalResponse::HeadTooLarge,
            ParseError::BodyTooLarge => LocalResponse::BodyTooLarge,
        }
    }
}

/// An encoded HTTP response, ready to be written.
#[derive(Debug)]
pub struct EncodedResponse {
    /// The status line and the header fields, with the empty line that ends them.
    pub head: Bytes,
    /// The body, whose length the head states.
    pub body: Bytes,
}

impl EncodedResponse {
    fn new(status: &str, write_fields: impl FnOnce(&mut BytesMut), body: Bytes, keep_alive: bool) -> Self {
        let mut head = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
        // `write!` to a `BytesMut` cannot fail, because the buffer grows as needed.
        let _ = write!(head, "HTTP/1.1 {status}\r\n");
        write_fields(&mut head);
        let connection = if keep_alive { "" } else { "Connection: close\r\n" };
        let _ = write!(head, "Content-Length: {}\r\n{connection}\r\n", body.len());
        EncodedResponse { head: head.freeze(), body }
    }
}

impl Response {
    /// Encodes the response for HTTP/1.1. The body of an endpoint's response is forwarded as received.
    pub fn encode(self, keep_alive: bool) -> EncodedResponse {
        let text = |text: &'static str| Bytes::from_static(text.as_bytes());
        match self {
            Response::Served(ServedResponse { message: served, .. }) => {
                let fields = |out: &mut BytesMut| served.fields.write_end_to_end(out, &[LOAD_REPORT], &[]);
                EncodedResponse::new("200 OK", fields, served.body, keep_alive)
            }
            Response::Rejected { retry_after_ms } => {
                let retry_after = |out: &mut BytesMut| {
                    if retry_after_ms > 0.0 {
                        // Clients of the platform accept decimal seconds, although RFC 9110 allows whole
                        // seconds only.
                        let _ = write!(out, "Retry-After: {:.3}\r\n", retry_after_ms / 1000.0);
                    }
                };
                let body = text("come back later\n");
                EncodedResponse::new("503 Service Unavailable", retry_after, body, keep_alive)
            }
            Response::Failed => EncodedResponse::new("502 Bad Gateway", |_| {}, text("failed\n"), keep_alive),
            Response::TimedOut => {
                EncodedResponse::new("504 Gateway Timeout", |_| {}, text("out of time\n"), keep_alive)
            }
        }
    }
}

impl LocalResponse {
    /// Encodes the response for HTTP/1.1.
    pub fn encode(self, keep_alive: bool) -> EncodedResponse {
        let (status, text) = match self {
            LocalResponse::Ready => ("200 OK", "ready"),
            LocalResponse::Stopping => ("503 Service Unavailable", "stopping"),
            LocalResponse::BadRequest(reason) => ("400 Bad Request", reason),
            LocalResponse::NotFound => ("404 Not Found", "no such path"),
            LocalResponse::MethodNotAllowed => ("405 Method Not Allowed", "no such method here"),
            LocalResponse::RequestTimeout => ("408 Request Timeout", "too slow"),
            LocalResponse::BodyTooLarge => ("413 Content Too Large", "the body is too large"),
            LocalResponse::HeadTooLarge => ("431 Request Header Fields Too Large", "the head is too large"),
        };
        let allow = |out: &mut BytesMut| {
            if self == LocalResponse::MethodNotAllowed {
                out.extend_from_slice(b"Allow: GET, POST\r\n");
            }
        };
        EncodedResponse::new(status, allow, Bytes::from(format!("{text}\n")), keep_alive)
    }
}
