//! Parsing and framing of HTTP/1.1 messages, without sockets or a clock.
//!
//! A [`Reader`] takes the bytes of a connection in pieces of any size and yields complete messages. Header
//! fields and bodies are slices of the received bytes, except for chunked bodies, which are copied.
mod chunked;
mod fields;
mod head;
mod reader;

pub use fields::Fields;
pub use head::{Head, RequestLine, StartLine, StatusLine};
pub use reader::{CompleteMessage, Reader};

use thiserror::Error;

/// The maximum size of a head, which is the start line and the header fields.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum size of a body that the platform's protocol permits.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The maximum number of header fields, of trailer fields, and of options in `Connection`, in a message.
const MAX_FIELDS: usize = 64;

/// The reason why received bytes are not an acceptable message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The start line or a header field is malformed, or too many interim responses precede the final
    /// response.
    #[error("malformed head")]
    MalformedHead,
    /// The body's framing is malformed, or the fields that state the body's length contradict each other.
    #[error("malformed or ambiguous body length")]
    InvalidLength,
    /// The head exceeds [`MAX_HEAD_BYTES`], or has too many fields or options in `Connection`.
    #[error("head exceeds {MAX_HEAD_BYTES} bytes or {MAX_FIELDS} fields")]
    HeadTooLarge,
    /// The body exceeds the size limit of the [`Reader`].
    #[error("body exceeds the size limit")]
    BodyTooLarge,
}

/// The rule by which the end of a body is found.
#[derive(Debug)]
enum Framing {
    /// The body has a known length, in bytes.
    Length(usize),
    /// The body is chunked and ends with the last chunk and the trailer fields.
    Chunked(chunked::ChunkedBody),
    /// The body ends when the peer closes the connection.
    UntilClose,
}
