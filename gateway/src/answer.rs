//! Final answers, and how the platform's front words them.
use crate::http1::Malformed;
use crate::requests::{Answer, LOAD};
use bytes::{Bytes, BytesMut};
use std::fmt::Write;

/// What the platform's front answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plain {
    /// `GET /ready` while new connections are welcome.
    Ready,
    /// `GET /ready` while the gateway is about to stop.
    Stopping,
    /// A request that cannot be understood, and why.
    Bad(&'static str),
    /// An unknown path.
    NotFound,
    /// A method that the path does not take.
    Method,
    /// The request came too slowly.
    TooSlow,
    /// The body is over the limit.
    BodyTooLarge,
    /// The head is over the limit.
    HeadTooLarge,
}

impl From<Malformed> for Plain {
    fn from(malformed: Malformed) -> Self {
        match malformed {
            Malformed::Head => Plain::Bad("malformed head"),
            Malformed::Length => Plain::Bad("bad length"),
            Malformed::HeadTooLarge => Plain::HeadTooLarge,
            Malformed::BodyTooLarge => Plain::BodyTooLarge,
        }
    }
}

/// An answer's head and body, ready to be written.
pub type Wording = (Bytes, Bytes);

fn word(line: &str, more: impl FnOnce(&mut BytesMut), body: Bytes, keep_alive: bool) -> Wording {
    let mut head = BytesMut::with_capacity(256);
    // Writing to a growing buffer cannot fail.
    let _ = write!(head, "HTTP/1.1 {line}\r\n");
    more(&mut head);
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let _ = write!(head, "Content-Length: {}\r\n{close}\r\n", body.len());
    (head.freeze(), body)
}

impl Answer {
    /// Words the answer in HTTP. A server's body goes on as it came.
    pub fn word(self, keep_alive: bool) -> Wording {
        let text = |text: &'static str| Bytes::from_static(text.as_bytes());
        match self {
            Answer::Served(served) => {
                let fields = |out: &mut BytesMut| served.fields.write_end_to_end(out, &[LOAD], &[]);
                word("200 OK", fields, served.body, keep_alive)
            }
            Answer::Refused { retry_after_ms } => {
                let advice = |out: &mut BytesMut| {
                    if retry_after_ms > 0.0 {
                        let _ = write!(out, "Retry-After: {:.3}\r\n", retry_after_ms / 1000.0);
                    }
                };
                word("503 Service Unavailable", advice, text("come back later\n"), keep_alive)
            }
            Answer::Failed => word("502 Bad Gateway", |_| {}, text("failed\n"), keep_alive),
            Answer::Overdue => word("504 Gateway Timeout", |_| {}, text("out of time\n"), keep_alive),
        }
    }
}

impl Plain {
    /// Words the answer in HTTP.
    pub fn word(self, keep_alive: bool) -> Wording {
        let (line, text) = match self {
            Plain::Ready => ("200 OK", "ready"),
            Plain::Stopping => ("503 Service Unavailable", "stopping"),
            Plain::Bad(why) => ("400 Bad Request", why),
            Plain::NotFound => ("404 Not Found", "no such path"),
            Plain::Method => ("405 Method Not Allowed", "no such method here"),
            Plain::TooSlow => ("408 Request Timeout", "too slow"),
            Plain::BodyTooLarge => ("413 Content Too Large", "the body is too large"),
            Plain::HeadTooLarge => ("431 Request Header Fields Too Large", "the head is too large"),
        };
        let allow = |out: &mut BytesMut| {
            if self == Plain::Method {
                out.extend_from_slice(b"Allow: GET, POST\r\n");
            }
        };
        word(line, allow, Bytes::from(format!("{text}\n")), keep_alive)
    }
}
