//! HTTP/1.1 messages: parsing and framing of bytes, without sockets or a clock.
//!
//! A [`Reader`] is fed a connection's bytes, cut anywhere, and yields complete messages. Header fields and bodies are
//! slices of the received bytes.
mod chunked;
mod fields;
mod head;
mod reader;

pub use fields::Fields;
pub use head::{Head, RequestLine, StartLine, StatusLine};
pub use reader::{CompleteMessage, Reader};

use thiserror::Error;

/// The largest start line with its header fields.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The largest body that the platform's protocol permits.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The most header fields, and the most trailer fields, in a message.
const MAX_FIELD_COUNT: usize = 64;

/// Why bytes are not an acceptable message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The start line or a header field is malformed.
    #[error("malformed head")]
    Head,
    /// The body's length is ambiguous or malformed.
    #[error("bad length")]
    Length,
    /// The head exceeds [`MAX_HEAD_BYTES`] or has too many fields.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body exceeds the reader's limit.
    #[error("the body is too large")]
    BodyTooLarge,
}

/// How the end of a body is found.
#[derive(Debug)]
enum Framing {
    /// After so many bytes.
    Length(usize),
    /// By its chunks.
    Chunked(chunked::ChunkedBody),
    /// At the end of the connection.
    UntilClose,
}
