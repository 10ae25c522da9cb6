//! Header fields: lookup, the fields that describe the connection and the body, and forwarding.
use super::chunked::ChunkedBody;
use super::{Framing, ParseError};
use bytes::{Bytes, BytesMut};
use std::ops::Range;

/// A range of a head's bytes.
pub(super) type Span = Range<usize>;

/// Where a field's name and value stand in the head.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct FieldSpans {
    pub(super) name: Span,
    pub(super) value: Span,
}

/// Fields that concern one connection or its framing, and are never forwarded.
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

/// Header fields in the order received, as spans of the received head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields {
    head: Bytes,
    spans: Vec<FieldSpans>,
}

impl Fields {
    pub(super) fn new(head: Bytes, spans: Vec<FieldSpans>) -> Self {
        Fields { head, spans }
    }

    /// The bytes of a span of the head.
    pub(super) fn span(&self, span: &Span) -> &[u8] {
        &self.head[span.clone()]
    }

    /// All values of a field; names match regardless of case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, value)| value)
    }

    /// The first value of a field.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, value)| value)
    }

    /// The first value of a field, if it is UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// A copy of the first value of a field, which does not keep the head in memory.
    pub fn bytes(&self, name: &str) -> Option<Bytes> {
        self.get(name).map(Bytes::copy_from_slice)
    }

    /// All fields as (name, value).
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.spans.iter().map(|field| (self.span(&field.name), self.span(&field.value)))
    }

    /// The elements of a field whose value is a comma-separated list.
    fn list<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.all(name).flat_map(|v| v.split(|b| *b == b',')).map(<[u8]>::trim_ascii).filter(|w| !w.is_empty())
    }

    /// Appends the end-to-end fields as received. Left out are hop-by-hop fields, those that `Connection` names, the
    /// framing, and the fields in `without`. A field in `keep` is written even if `Connection` names it.
    pub fn write_end_to_end(&self, out: &mut BytesMut, without: &[&str], keep: &[&str]) {
        let any = |names: &[&str], name: &[u8]| names.iter().any(|n| name.eq_ignore_ascii_case(n.as_bytes()));
        let named_by_connection = |name: &[u8]| self.list("connection").any(|w| w.eq_ignore_ascii_case(name));
        for (name, value) in self.iter() {
            let is_dropped = any(&HOP_BY_HOP, name) || any(without, name) || named_by_connection(name);
            if any(keep, name) || !is_dropped {
                for part in [name, b": ", value, b"\r\n"] {
                    out.extend_from_slice(part);
                }
            }
        }
    }

    /// Whether the connection stays open after a message of HTTP/1.`minor_version` with these fields.
    pub(super) fn keep_alive(&self, minor_version: u8) -> bool {
        let says = |word: &str| self.list("connection").any(|w| w.eq_ignore_ascii_case(word.as_bytes()));
        !says("close") && (minor_version == 1 || says("keep-alive"))
    }

    /// What the fields say of the body's framing; `None` if nothing. Conflicting statements are an error, since they
    /// would let one message hide inside another (request smuggling).
    pub(super) fn framing(&self) -> Result<Option<Framing>, ParseError> {
        let content_length = self.content_length()?;
        if self.get("transfer-encoding").is_none() {
            return Ok(content_length.map(Framing::Length));
        }
        let mut codings = self.list("transfer-encoding");
        let is_chunked = codings.next().is_some_and(|w| w.eq_ignore_ascii_case(b"chunked"));
        if is_chunked && codings.next().is_none() && content_length.is_none() {
            Ok(Some(Framing::Chunked(ChunkedBody::new())))
        } else {
            Err(ParseError::Length)
        }
    }

    fn content_length(&self) -> Result<Option<usize>, ParseError> {
        let mut length = None;
        for value in self.all("content-length") {
            let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let digits = std::str::from_utf8(value).ok().filter(|_| is_number).ok_or(ParseError::Length)?;
            // A number too large to represent is a body too large, not a malformed length.
            let value = digits.parse().unwrap_or(usize::MAX);
            if length.replace(value).is_some_and(|earlier| earlier != value) {
                return Err(ParseError::Length);
            }
        }
        Ok(length)
    }
}
