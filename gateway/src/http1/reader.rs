//! Assembles complete messages from a connection's bytes.
use super::fields::Fields;
use super::head::{Head, RequestLine, StartLine};
use super::{Framing, ParseError, MAX_HEAD_BYTES};
use bytes::{Bytes, BytesMut};

/// The least free space in the buffer before a read.
const MIN_READ_BYTES: usize = 2048;
/// The most interim responses before the final one.
const MAX_INTERIM_COUNT: usize = 16;
/// How far back the end of a head can reach into bytes that were scanned before.
const HEAD_END_OVERLAP_BYTES: usize = 3;

/// A complete message.
#[derive(Clone, Debug, PartialEq)]
pub struct CompleteMessage<S> {
    /// Its start line.
    pub start_line: S,
    /// Its header fields.
    pub fields: Fields,
    /// Its body, without the framing.
    pub body: Bytes,
    /// Whether the connection can carry another message.
    pub keep_alive: bool,
}

impl CompleteMessage<RequestLine> {
    /// The method.
    pub fn method(&self) -> &[u8] {
        self.fields.span(&self.start_line.method)
    }

    /// The path and query.
    pub fn target(&self) -> &[u8] {
        self.fields.span(&self.start_line.target)
    }
}

/// A message whose head has been read and whose body is incomplete.
#[derive(Debug)]
struct PartialMessage<S> {
    message: CompleteMessage<S>,
    framing: Framing,
}

/// Assembles messages from a connection's bytes.
#[derive(Debug)]
pub struct Reader<S> {
    buffer: BytesMut,
    partial: Option<PartialMessage<S>>,
    /// An incomplete head is parsed again once the buffer has grown to this.
    parse_at_bytes: usize,
    /// The length of the part of the buffer that has been searched for the end of a head.
    scanned_bytes: usize,
    interim_count: usize,
    max_body_bytes: usize,
}

impl<S: StartLine> Reader<S> {
    /// A reader of messages with bodies of at most `max_body_bytes`.
    pub fn new(max_body_bytes: usize) -> Self {
        Reader {
            buffer: BytesMut::new(),
            partial: None,
            parse_at_bytes: 1,
            scanned_bytes: 0,
            interim_count: 0,
            max_body_bytes,
        }
    }

    /// The buffer to which the connection's next bytes are appended.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.buffer.reserve(MIN_READ_BYTES);
        &mut self.buffer
    }

    /// True once any byte of the next message has been received.
    pub fn has_begun(&self) -> bool {
        self.interim_count > 0 || !self.is_idle()
    }

    /// True between two messages, with no byte of the next.
    pub fn is_idle(&self) -> bool {
        self.partial.is_none() && self.buffer.is_empty()
    }

    /// The fields of a message of whose body nothing has been received since its head was parsed.
    pub fn awaiting_body(&self) -> Option<&Fields> {
        self.partial.as_ref().filter(|_| self.buffer.is_empty()).map(|partial| &partial.message.fields)
    }

    /// The next message once it is complete; `None` before. `is_closed` says that no more bytes will come.
    ///
    /// # Errors
    /// Fails on bytes that are not an acceptable message; the connection cannot be read any further.
    pub fn next(&mut self, is_closed: bool) -> Result<Option<CompleteMessage<S>>, ParseError> {
        loop {
            if self.partial.is_none() && !self.read_head()? {
                return Ok(None);
            }
            let Some(mut partial) = self.partial.take() else { return Ok(None) };
            let Some(body) = self.read_body(&mut partial.framing, is_closed)? else {
                self.partial = Some(partial);
                return Ok(None);
            };
            partial.message.body = body;
            if !partial.message.start_line.is_interim() {
                self.interim_count = 0;
                return Ok(Some(partial.message));
            }
            self.interim_count += 1;
            if self.interim_count > MAX_INTERIM_COUNT {
                return Err(ParseError::Head);
            }
        }
    }

    /// Takes a head off the buffer once it is complete.
    fn read_head(&mut self) -> Result<bool, ParseError> {
        if !self.may_parse_head() {
            return Ok(false);
        }
        let Some(Head { start_line, minor_version, spans, length_bytes }) = S::parse(&self.buffer)? else {
            self.parse_at_bytes = (2 * self.buffer.len()).min(MAX_HEAD_BYTES + 1);
            let is_too_large = self.buffer.len() > MAX_HEAD_BYTES;
            return if is_too_large { Err(ParseError::HeadTooLarge) } else { Ok(false) };
        };
        if length_bytes > MAX_HEAD_BYTES {
            return Err(ParseError::HeadTooLarge);
        }
        (self.parse_at_bytes, self.scanned_bytes) = (1, 0);
        let fields = Fields::new(self.buffer.split_to(length_bytes).freeze(), spans);
        let framing = match fields.framing()? {
            _ if start_line.has_no_body() => Framing::Length(0),
            Some(framing) => framing,
            None if S::BODY_UNTIL_CLOSE => Framing::UntilClose,
            None => Framing::Length(0),
        };
        let keep_alive = fields.keep_alive(minor_version) && !matches!(framing, Framing::UntilClose);
        let message = CompleteMessage { start_line, fields, body: Bytes::new(), keep_alive };
        self.partial = Some(PartialMessage { message, framing });
        Ok(true)
    }

    /// Whether parsing a head is worth its cost: the new bytes contain its end, or the buffer has doubled. Parsing at
    /// every read would cost quadratic time against a sender of single bytes.
    fn may_parse_head(&mut self) -> bool {
        let unscanned_at = self.scanned_bytes.saturating_sub(HEAD_END_OVERLAP_BYTES).min(self.buffer.len());
        let unscanned = &self.buffer[unscanned_at..];
        let has_end =
            unscanned.windows(2).any(|w| w == b"\n\n") || unscanned.windows(3).any(|w| w == b"\n\r\n");
        self.scanned_bytes = self.buffer.len();
        !self.buffer.is_empty() && (self.buffer.len() >= self.parse_at_bytes || has_end)
    }

    /// Takes what has been received of a body off the buffer; the decoded body once it is complete.
    fn read_body(&mut self, framing: &mut Framing, is_closed: bool) -> Result<Option<Bytes>, ParseError> {
        match framing {
            Framing::Length(length) if *length > self.max_body_bytes => Err(ParseError::BodyTooLarge),
            Framing::Length(length) => {
                let is_complete = self.buffer.len() >= *length;
                Ok(is_complete.then(|| self.buffer.split_to(*length).freeze()))
            }
            Framing::UntilClose if self.buffer.len() > self.max_body_bytes => Err(ParseError::BodyTooLarge),
            Framing::UntilClose => Ok(is_closed.then(|| self.buffer.split().freeze())),
            Framing::Chunked(body) => body.decode(&mut self.buffer, self.max_body_bytes),
        }
    }
}
