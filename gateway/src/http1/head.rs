//! Parsing of heads: the start line of a request or a response, and the header fields.
use super::fields::{FieldSpans, Span};
use super::{ParseError, MAX_FIELDS};

/// A parsed message head, as spans of bytes that are still in the reader's buffer.
#[derive(Debug)]
pub struct Head<S> {
    pub(super) start_line: S,
    /// The minor version `x` of HTTP/1.x.
    pub(super) minor_version: u8,
    pub(super) spans: Vec<FieldSpans>,
    pub(super) length_bytes: usize,
}

/// The start line of a request or a response.
pub trait StartLine: Sized {
    /// Whether a body without a stated length extends to the end of the connection, as in responses.
    const BODY_UNTIL_CLOSE: bool;

    /// Parses the head at the start of `bytes`. Returns `None` while the head is incomplete.
    ///
    /// # Errors
    /// Fails on a malformed head and on a head with too many fields.
    fn parse(bytes: &[u8]) -> Result<Option<Head<Self>>, ParseError>;

    /// Returns whether the message is an interim response, which is followed by another response.
    fn is_interim(&self) -> bool {
        false
    }

    /// Returns whether the message has no body, even if the header fields state a length.
    fn has_no_body(&self) -> bool {
        false
    }
}

/// The start line of a request, as spans of the head.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLine {
    pub(super) method: Span,
    pub(super) target: Span,
}

/// The start line of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatusLine {
    /// The status code, from 100 to 599.
    pub code: u16,
}

impl StartLine for RequestLine {
    const BODY_UNTIL_CLOSE: bool = false;

    fn parse(bytes: &[u8]) -> Result<Option<Head<Self>>, ParseError> {
        let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Request::new(&mut slots);
        let Some(length_bytes) = complete_length(head.parse(bytes))? else { return Ok(None) };
        let (Some(method), Some(target), Some(minor_version)) = (head.method, head.path, head.version) else {
            return Err(ParseError::MalformedHead);
        };
        let start_line =
            RequestLine { method: span(bytes, method.as_bytes()), target: span(bytes, target.as_bytes()) };
        Ok(Some(Head { start_line, minor_version, spans: spans(bytes, head.headers), length_bytes }))
    }
}

impl StartLine for StatusLine {
    const BODY_UNTIL_CLOSE: bool = true;

    fn parse(bytes: &[u8]) -> Result<Option<Head<Self>>, ParseError> {
        let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Response::new(&mut slots);
        let Some(length_bytes) = complete_length(head.parse(bytes))? else { return Ok(None) };
        let (Some(code), Some(minor_version)) = (head.code, head.version) else {
            return Err(ParseError::MalformedHead);
        };
        // A 101 response is rejected, because the gateway requests no protocol switch and the bytes after it
        // are not HTTP.
        if !(100..600).contains(&code) || code == 101 {
            return Err(ParseError::MalformedHead);
        }
        let start_line = StatusLine { code };
        Ok(Some(Head { start_line, minor_version, spans: spans(bytes, head.headers), length_bytes }))
    }

    fn is_interim(&self) -> bool {
        self.code < 200
    }

    fn has_no_body(&self) -> bool {
        matches!(self.code, 100..=199 | 204 | 304)
    }
}

/// Returns the position of `part` in `bytes`. `part` must be a slice of `bytes`.
fn span(bytes: &[u8], part: &[u8]) -> Span {
    let start = (part.as_ptr() as usize).saturating_sub(bytes.as_ptr() as usize);
    start..start + part.len()
}

fn spans(bytes: &[u8], fields: &[httparse::Header]) -> Vec<FieldSpans> {
    let spans = |field: &httparse::Header| FieldSpans {
        name: span(bytes, field.name.as_bytes()),
        value: span(bytes, field.value),
    };
    fields.iter().map(spans).collect()
}

/// Returns the length of a parsed head in bytes, or `None` while the head is incomplete.
fn complete_length(parsed: httparse::Result<usize>) -> Result<Option<usize>, ParseError> {
    match parsed {
        Ok(httparse::Status::Complete(length_bytes)) => Ok(Some(length_bytes)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(ParseError::HeadTooLarge),
        Err(_) => Err(ParseError::MalformedHead),
    }
}
