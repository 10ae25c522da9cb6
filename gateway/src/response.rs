//! Encoding of responses to clients: a request's final [`Response`], and those that the listener gives by itself.
use crate::events::Response;
use crate::http1::ParseError;
use crate::protocol::LOAD_REPORT;
use bytes::{Bytes, BytesMut};
use std::fmt::Write;

/// The usual size of a response's head.
const HEAD_CAPACITY_BYTES: usize = 256;

/// A response that the listener gives without asking the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResponse {
    /// New connections are welcome.
    Ready,
    /// The gateway is shutting down.
    Stopping,
    /// The request is invalid, for the reason given.
    BadRequest(&'static str),
    /// The path is unknown.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The request took too long to arrive.
    RequestTimeout,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The head exceeds the limit.
    HeadTooLarge,
}

impl From<ParseError> for LocalResponse {
    fn from(error: ParseError) -> Self {
        match error {
            ParseError::Head => LocalResponse::BadRequest("malformed head"),
            ParseError::Length => LocalResponse::BadRequest("bad length"),
            ParseError::HeadTooLarge => LocalResponse::HeadTooLarge,
            ParseError::BodyTooLarge => LocalResponse::BodyTooLarge,
        }
    }
}

/// A response in HTTP, ready to be written.
#[derive(Debug)]
pub struct EncodedResponse {
    /// The status line and the header fields.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
}

impl EncodedResponse {
    fn new(status: &str, write_fields: impl FnOnce(&mut BytesMut), body: Bytes, keep_alive: bool) -> Self {
        let mut head = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
        // Writing to a growing buffer cannot fail.
        let _ = write!(head, "HTTP/1.1 {status}\r\n");
        write_fields(&mut head);
        let connection = if keep_alive { "" } else { "Connection: close\r\n" };
        let _ = write!(head, "Content-Length: {}\r\n{connection}\r\n", body.len());
        EncodedResponse { head: head.freeze(), body }
    }
}

impl Response {
    /// Encodes the response in HTTP. A server's body is forwarded as received.
    pub fn encode(self, keep_alive: bool) -> EncodedResponse {
        let text = |text: &'static str| Bytes::from_static(text.as_bytes());
        match self {
            Response::Served(served) => {
                let fields = |out: &mut BytesMut| served.fields.write_end_to_end(out, &[LOAD_REPORT], &[]);
                EncodedResponse::new("200 OK", fields, served.body, keep_alive)
            }
            Response::Rejected { retry_after_ms } => {
                let retry_after = |out: &mut BytesMut| {
                    if retry_after_ms > 0.0 {
                        // The platform's protocol allows decimal seconds, which its clients accept; RFC 9110 does not.
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
    /// Encodes the response in HTTP.
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
