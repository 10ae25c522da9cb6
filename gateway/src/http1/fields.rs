//! Header fields: lookup by name, interpretation of the connection and framing fields, and forwarding.
use super::chunked::ChunkedBody;
use super::{Framing, ParseError, MAX_FIELDS};
use bytes::{Bytes, BytesMut};
use std::ops::Range;

/// A range of bytes in a head.
pub(super) type Span = Range<usize>;

/// The positions of a field's name and value in the head.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct FieldSpans {
    pub(super) name: Span,
    pub(super) value: Span,
}

/// The names of fields that apply to one connection or to its framing and are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The header fields of a message in the order received, as spans of the received head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields {
    head: Bytes,
    spans: Vec<FieldSpans>,
}

impl Fields {
    pub(super) fn new(head: Bytes, spans: Vec<FieldSpans>) -> Self {
        Fields { head, spans }
    }

    /// Returns the memory that the head and the positions of its fields take.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.head.len() + self.spans.capacity() * size_of::<FieldSpans>()
    }

    /// Returns the bytes of a span of the head.
    pub(super) fn span(&self, span: &Span) -> &[u8] {
        &self.head[span.clone()]
    }

    /// Returns all values of the field `name`, which matches regardless of case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, value)| value)
    }

    /// Returns the first value of the field `name`, which matches regardless of case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, value)| value)
    }

    /// Returns the first value of a field if the value is UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Returns all fields as pairs of name and value, in the order received.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.spans.iter().map(|field| (self.span(&field.name), self.span(&field.value)))
    }

    /// Returns the non-empty elements of all values of a field whose values are comma-separated lists.
    fn elements<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.all(name).flat_map(|v| v.split(|b| *b == b',')).map(<[u8]>::trim_ascii).filter(|w| !w.is_empty())
    }

    /// Appends the end-to-end fields to `out` as received. Leaves out hop-by-hop and framing fields, the
    /// fields that `Connection` names, and the fields in `without`. A field in `keep` is always written.
    pub fn write_end_to_end(&self, out: &mut BytesMut, without: &[&str], keep: &[&str]) {
        let contains_name =
            |names: &[&str], name: &[u8]| names.iter().any(|n| name.eq_ignore_ascii_case(n.as_bytes()));
        let named_by_connection =
            |name: &[u8]| self.elements("connection").any(|w| w.eq_ignore_ascii_case(name));
        for (name, value) in self.iter() {
            let is_dropped =
                contains_name(&HOP_BY_HOP, name) || contains_name(without, name) || named_by_connection(name);
            if contains_name(keep, name) || !is_dropped {
                for part in [name, b": ", value, b"\r\n"] {
                    out.extend_from_slice(part);
                }
            }
        }
    }

    /// Checks that the `Connection` fields have no more options than a head has fields. Each field is compared
    /// with each option when the head is forwarded, so that thousands of short options would cost milliseconds.
    pub(super) fn check_connection_options(&self) -> Result<(), ParseError> {
        if self.elements("connection").nth(MAX_FIELDS).is_some() {
            return Err(ParseError::HeadTooLarge);
        }
        Ok(())
    }

    /// Returns whether the connection stays open after a message of HTTP/1.`minor_version` with these fields.
    pub(super) fn keep_alive(&self, minor_version: u8) -> bool {
        let has_option =
            |word: &str| self.elements("connection").any(|w| w.eq_ignore_ascii_case(word.as_bytes()));
        !has_option("close") && (minor_version == 1 || has_option("keep-alive"))
    }

    /// Returns the body's framing that the fields state, or `None` if they state none.
    ///
    /// # Errors
    /// Fails if the fields state no valid length or contradict each other, because a message could otherwise
    /// be hidden inside another one (request smuggling).
    pub(super) fn framing(&self) -> Result<Option<Framing>, ParseError> {
        let content_length = self.content_length()?;
        if self.get("transfer-encoding").is_none() {
            return Ok(content_length.map(Framing::Length));
        }
        let mut codings = self.elements("transfer-encoding");
        let is_chunked = codings.next().is_some_and(|w| w.eq_ignore_ascii_case(b"chunked"));
        if is_chunked && codings.next().is_none() && content_length.is_none() {
            Ok(Some(Framing::Chunked(ChunkedBody::new())))
        } else {
            Err(ParseError::InvalidLength)
        }
    }

    fn content_length(&self) -> Result<Option<usize>, ParseError> {
        let mut length = None;
        for value in self.all("content-length") {
            let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let digits =
                std::str::from_utf8(value).ok().filter(|_| is_number).ok_or(ParseError::InvalidLength)?;
            // A number that does not fit in a `usize` means a body that is too large, not a malformed length.
            let value = digits.parse().unwrap_or(usize::MAX);
            if length.replace(value).is_some_and(|earlier| earlier != value) {
                return Err(ParseError::InvalidLength);
            }
        }
        Ok(length)
    }
}
