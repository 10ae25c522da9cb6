//! HTTP/1.1 messages out of bytes: parsing and framing only, no sockets and no clock.
//!
//! A reader is fed bytes as they come, cut anywhere, and gives whole messages. What it keeps of them are
//! slices of the bytes that came.
use bytes::{Bytes, BytesMut};
use std::mem;
use std::ops::Range;

/// The most bytes that a start line and its header fields may take.
pub const MAX_HEAD: usize = 16 * 1024;
/// The most bytes that the protocol lets a body hold.
pub const MAX_BODY: usize = 64 * 1024;
/// So many bytes are read at once, at least.
const READ_AT_ONCE: usize = 2048;
/// The most header fields of a message.
const MAX_FIELDS: usize = 64;
/// The most answers that may come before the real one.
const MAX_INTERIM: usize = 16;
/// The longest line that may stand before a chunk, its extensions included.
const MAX_CHUNK_LINE: usize = 256;

/// Why bytes are no message that can be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The start line or a header field cannot be read.
    Head,
    /// The length of the body is not told, told twice or badly told.
    Length,
    /// The head is over [`MAX_HEAD`] or has too many fields.
    HeadTooLarge,
    /// The body is over the limit.
    BodyTooLarge,
}

/// A stretch of a head's bytes.
type Place = Range<usize>;

/// Header fields, in the order they came, as places in the bytes that came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields {
    head: Bytes,
    places: Vec<(Place, Place)>,
}

impl Fields {
    /// All values of a field.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, value)| value)
    }

    /// The first value of a field.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, value)| value)
    }

    /// The first value of a field, if it is text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// The first value of a field as the bytes that came, on their own: it keeps no head in memory.
    pub fn bytes(&self, name: &str) -> Option<Bytes> {
        self.get(name).map(Bytes::copy_from_slice)
    }

    /// All fields as (name, value).
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.places.iter().map(|(name, value)| (&self.head[name.clone()], &self.head[value.clone()]))
    }

    /// The comma-separated words of a field.
    fn words<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.all(name).flat_map(|v| v.split(|b| *b == b',')).map(<[u8]>::trim_ascii).filter(|w| !w.is_empty())
    }

    /// Writes the fields that concern both ends, as they came, and leaves out those of one connection, the
    /// framing, and the fields in `without`. A field in `keep` stays even if `Connection` names it.
    pub fn write_end_to_end(&self, out: &mut BytesMut, without: &[&str], keep: &[&str]) {
        const HOP: [&str; 9] = [
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
        let any = |names: &[&str], name: &[u8]| names.iter().any(|n| name.eq_ignore_ascii_case(n.as_bytes()));
        let of_connection = |name: &[u8]| self.words("connection").any(|w| w.eq_ignore_ascii_case(name));
        for (name, value) in self.iter() {
            if any(keep, name) || !(any(&HOP, name) || any(without, name) || of_connection(name)) {
                for part in [name, b": ", value, b"\r\n"] {
                    out.extend_from_slice(part);
                }
            }
        }
    }

    fn keep_alive(&self, version: u8) -> bool {
        let says = |word: &str| self.words("connection").any(|w| w.eq_ignore_ascii_case(word.as_bytes()));
        !says("close") && (version == 1 || says("keep-alive"))
    }

    /// What the fields tell of the body; `None` if nothing. Guards against two ways to tell where a message
    /// ends: both at once, or lengths that differ, would let one message hide inside another.
    fn framing(&self) -> Result<Option<Framing>, Malformed> {
        let chunked = self.get("transfer-encoding").is_some();
        let mut length = None;
        for value in self.all("content-length") {
            let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(value).ok().filter(|_| digits).ok_or(Malformed::Length)?;
            // So many digits that they overflow are a body too large, not a bad length.
            let told = text.parse().unwrap_or(usize::MAX);
            if length.replace(told).is_some_and(|other| other != told) {
                return Err(Malformed::Length);
            }
        }
        if !chunked {
            return Ok(length.map(Framing::Length));
        }
        let mut codings = self.words("transfer-encoding");
        let only =
            codings.next().is_some_and(|w| w.eq_ignore_ascii_case(b"chunked")) && codings.next().is_none();
        if only && length.is_none() {
            Ok(Some(Framing::Chunked(Chunk::Line)))
        } else {
            Err(Malformed::Length)
        }
    }
}

/// How a body ends.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length(usize),
    Chunked(Chunk),
    ToEof,
}

/// What comes next in a chunked body.
#[derive(Clone, Copy, Debug)]
enum Chunk {
    Line,
    Data(usize),
    DataEnd,
    Trailer(usize),
}

/// A head as parsed, before its bytes are taken off the buffer.
#[derive(Debug)]
pub struct Head<S> {
    start: S,
    version: u8,
    places: Vec<(Place, Place)>,
    length: usize,
}

/// A start line: that of a request or that of an answer.
pub trait Start: Sized {
    /// Whether a body without a told length runs to the end of the connection.
    const TO_EOF: bool;
    /// Parses a head; `None` while it is not whole.
    fn parse(bytes: &[u8]) -> Result<Option<Head<Self>>, Malformed>;
    /// True for an answer that comes before the real one.
    fn is_interim(&self) -> bool {
        false
    }
    /// True if no body follows, whatever the fields say.
    fn is_bare(&self) -> bool {
        false
    }
}

/// What a request asks.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    method: Place,
    target: Place,
}

/// The status of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status(pub u16);

/// Where `part`, a slice of `bytes`, stands in it.
fn place(bytes: &[u8], part: &[u8]) -> Place {
    let from = (part.as_ptr() as usize).saturating_sub(bytes.as_ptr() as usize);
    from..from + part.len()
}

fn places(bytes: &[u8], fields: &[httparse::Header]) -> Vec<(Place, Place)> {
    fields.iter().map(|f| (place(bytes, f.name.as_bytes()), place(bytes, f.value))).collect()
}

/// The length of a parsed head, if it is whole.
fn whole(parsed: httparse::Result<usize>) -> Result<Option<usize>, Malformed> {
    match parsed {
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Malformed::HeadTooLarge),
        Err(_) => Err(Malformed::Head),
    }
}

impl Start for Ask {
    const TO_EOF: bool = false;

    fn parse(bytes: &[u8]) -> Result<Option<Head<Self>>, Malformed> {
        let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Request::new(&mut slots);
        let Some(length) = whole(head.parse(bytes))? else { return Ok(None) };
        let (Some(method), Some(target), Some(version)) = (head.method, head.path, head.version) else {
            return Err(Malformed::Head);
        };
        let start = Ask { method: place(bytes, method.as_bytes()), target: place(bytes, target.as_bytes()) };
        Ok(Some(Head { start, version, places: places(bytes, head.headers), length }))
    }
}

impl Start for Status {
    const TO_EOF: bool = true;

    fn parse(bytes: &[u8]) -> Result<Option<Head<Self>>, Malformed> {
        let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Response::new(&mut slots);
        let Some(length) = whole(head.parse(bytes))? else { return Ok(None) };
        let (Some(code), Some(version)) = (head.code, head.version) else { return Err(Malformed::Head) };
        // A switch of protocols was never asked for: what follows would be no HTTP.
        if !(100..600).contains(&code) || code == 101 {
            return Err(Malformed::Head);
        }
        Ok(Some(Head { start: Status(code), version, places: places(bytes, head.headers), length }))
    }

    fn is_interim(&self) -> bool {
        self.0 < 200
    }

    fn is_bare(&self) -> bool {
        matches!(self.0, 100..=199 | 204 | 304)
    }
}

/// A whole message.
#[derive(Clone, Debug, PartialEq)]
pub struct Whole<S> {
    /// Its start line.
    pub start: S,
    /// Its header fields.
    pub fields: Fields,
    /// Its body, without the framing.
    pub body: Bytes,
    /// Whether the connection can carry another message.
    pub keep_alive: bool,
}

impl Whole<Ask> {
    /// The method.
    pub fn method(&self) -> &[u8] {
        &self.fields.head[self.start.method.clone()]
    }

    /// The path and query.
    pub fn target(&self) -> &[u8] {
        &self.fields.head[self.start.target.clone()]
    }
}

#[derive(Debug)]
struct Begun<S> {
    message: Whole<S>,
    framing: Framing,
    chunks: BytesMut,
}

/// Makes messages out of a connection's bytes.
#[derive(Debug)]
pub struct Reader<S> {
    buffer: BytesMut,
    begun: Option<Begun<S>>,
    parse_at: usize,
    seen: usize,
    interim: usize,
    max_body: usize,
}

impl<S: Start> Reader<S> {
    /// A reader of messages with bodies of at most `max_body` bytes.
    pub fn new(max_body: usize) -> Self {
        Reader { buffer: BytesMut::new(), begun: None, parse_at: 1, seen: 0, interim: 0, max_body }
    }

    /// Where the next bytes of the connection go.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.buffer.reserve(READ_AT_ONCE);
        &mut self.buffer
    }

    /// True once any byte of the next message has come.
    pub fn has_begun(&self) -> bool {
        self.interim > 0 || !self.is_idle()
    }

    /// True between two messages, with no byte of the next.
    pub fn is_idle(&self) -> bool {
        self.begun.is_none() && self.buffer.is_empty()
    }

    /// The fields of a message whose body is still to come.
    pub fn awaiting_body(&self) -> Option<&Fields> {
        self.begun.as_ref().filter(|_| self.buffer.is_empty()).map(|b| &b.message.fields)
    }

    /// The next message, once it is whole; `ended` tells that no more bytes will come.
    pub fn next(&mut self, ended: bool) -> Result<Option<Whole<S>>, Malformed> {
        loop {
            if self.begun.is_none() && !self.head()? {
                return Ok(None);
            }
            let Some(mut begun) = self.begun.take() else { return Ok(None) };
            let Some(body) = self.body(&mut begun, ended)? else {
                self.begun = Some(begun);
                return Ok(None);
            };
            begun.message.body = body;
            if !begun.message.start.is_interim() {
                self.interim = 0;
                return Ok(Some(begun.message));
            }
            // Guards against a sender of nothing but answers before the real one.
            self.interim += 1;
            if self.interim > MAX_INTERIM {
                return Err(Malformed::Head);
            }
        }
    }

    /// Takes the head off the buffer once it is whole.
    fn head(&mut self) -> Result<bool, Malformed> {
        // Guards against a sender of single bytes: a head is parsed when its end is there, wherever the new
        // bytes have it (a body may follow at once), or when its length has doubled.
        let fresh = &self.buffer[self.seen.saturating_sub(3).min(self.buffer.len())..];
        let ends = fresh.windows(2).any(|w| w == b"\n\n") || fresh.windows(3).any(|w| w == b"\n\r\n");
        self.seen = self.buffer.len();
        if self.buffer.is_empty() || (self.buffer.len() < self.parse_at && !ends) {
            return Ok(false);
        }
        let Some(Head { start, version, places, length }) = S::parse(&self.buffer)? else {
            self.parse_at = (2 * self.buffer.len()).min(MAX_HEAD + 1);
            return if self.buffer.len() > MAX_HEAD { Err(Malformed::HeadTooLarge) } else { Ok(false) };
        };
        if length > MAX_HEAD {
            return Err(Malformed::HeadTooLarge);
        }
        (self.parse_at, self.seen) = (1, 0);
        let fields = Fields { head: self.buffer.split_to(length).freeze(), places };
        let framing = match fields.framing()? {
            _ if start.is_bare() => Framing::Length(0),
            Some(framing) => framing,
            None if S::TO_EOF => Framing::ToEof,
            None => Framing::Length(0),
        };
        let keep_alive = fields.keep_alive(version) && !matches!(framing, Framing::ToEof);
        let message = Whole { start, fields, body: Bytes::new(), keep_alive };
        self.begun = Some(Begun { message, framing, chunks: BytesMut::new() });
        Ok(true)
    }

    /// Takes the body off the buffer as it comes; the whole of it once it has ended.
    fn body(&mut self, begun: &mut Begun<S>, ended: bool) -> Result<Option<Bytes>, Malformed> {
        loop {
            match begun.framing {
                Framing::Length(length) if length > self.max_body => return Err(Malformed::BodyTooLarge),
                Framing::Length(length) => {
                    return Ok((self.buffer.len() >= length).then(|| self.buffer.split_to(length).freeze()));
                }
                Framing::ToEof => {
                    if self.buffer.len() > self.max_body {
                        return Err(Malformed::BodyTooLarge);
                    }
                    return Ok(ended.then(|| self.buffer.split().freeze()));
                }
                Framing::Chunked(Chunk::Data(left)) => {
                    let part = self.buffer.split_to(left.min(self.buffer.len()));
                    begun.chunks.extend_from_slice(&part);
                    if part.len() < left {
                        begun.framing = Framing::Chunked(Chunk::Data(left - part.len()));
                        return Ok(None);
                    }
                    begun.framing = Framing::Chunked(Chunk::DataEnd);
                }
                Framing::Chunked(expected) => {
                    let Some(line) = self.line()? else { return Ok(None) };
                    begun.framing = Framing::Chunked(match expected {
                        Chunk::DataEnd if line.is_empty() => Chunk::Line,
                        Chunk::Line => match chunk_size(&line)? {
                            0 => Chunk::Trailer(0),
                            size if begun.chunks.len().saturating_add(size) > self.max_body => {
                                return Err(Malformed::BodyTooLarge);
                            }
                            size => Chunk::Data(size),
                        },
                        Chunk::Trailer(_) if line.is_empty() => {
                            return Ok(Some(mem::take(&mut begun.chunks).freeze()));
                        }
                        Chunk::Trailer(count) if count < MAX_FIELDS => Chunk::Trailer(count + 1),
                        _ => return Err(Malformed::Length),
                    });
                }
            }
        }
    }

    /// The next line of a chunked body, without its end.
    fn line(&mut self) -> Result<Option<BytesMut>, Malformed> {
        let Some(at) = self.buffer.iter().take(MAX_CHUNK_LINE).position(|b| *b == b'\n') else {
            return if self.buffer.len() < MAX_CHUNK_LINE { Ok(None) } else { Err(Malformed::Length) };
        };
        let mut line = self.buffer.split_to(at + 1);
        // A lone line feed is no line end here: others read it differently.
        if !line.ends_with(b"\r\n") {
            return Err(Malformed::Length);
        }
        line.truncate(at - 1);
        Ok(Some(line))
    }
}

fn chunk_size(line: &[u8]) -> Result<usize, Malformed> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    let text = std::str::from_utf8(digits).map_err(|_| Malformed::Length)?;
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Malformed::Length);
    }
    Ok(usize::from_str_radix(text, 16).unwrap_or(usize::MAX))
}
