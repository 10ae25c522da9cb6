//! Assembly of complete messages from the bytes of a connection.
use super::fields::Fields;
use super::head::{Head, RequestLine, StartLine};
use super::{Framing, ParseError, MAX_HEAD_BYTES};
use bytes::{Bytes, BytesMut};

/// The minimum free space in the buffer before each read.
const MIN_READ_BYTES: usize = 2048;
/// The maximum number of interim responses before a final response.
const MAX_INTERIM_RESPONSES: usize = 16;
/// The number of already scanned bytes that the end of a head, `\r\n\r\n`, can include.
const HEAD_END_OVERLAP_BYTES: usize = 3;

/// A complete HTTP/1.x message.
#[derive(Clone, Debug, PartialEq)]
pub struct CompleteMessage<S> {
    /// The start line, of type [`RequestLine`] or [`StatusLine`](super::StatusLine).
    pub start_line: S,
    /// The header fields, in the order received.
    pub fields: Fields,
    /// The body without the transfer framing.
    pub body: Bytes,
    /// Whether the connection can carry another message after this one.
    pub keep_alive: bool,
}

impl CompleteMessage<RequestLine> {
    /// Returns the request's method.
    pub fn method(&self) -> &[u8] {
        self.fields.span(&self.start_line.method)
    }

    /// Returns the request's target, which is the path and the query.
    pub fn target(&self) -> &[u8] {
        self.fields.span(&self.start_line.target)
    }
}

/// A message whose head has been read and whose body is still incomplete.
#[derive(Debug)]
struct PartialMessage<S> {
    message: CompleteMessage<S>,
    framing: Framing,
}

/// A reader that assembles messages from the bytes of a connection.
#[derive(Debug)]
pub struct Reader<S> {
    buffer: BytesMut,
    partial: Option<PartialMessage<S>>,
    /// The length of the buffer, in bytes, from which an incomplete head is parsed again.
    min_parse_bytes: usize,
    /// The number of bytes at the start of the buffer that have been searched for the end of a head.
    scanned_bytes: usize,
    interim_count: usize,
    max_body_bytes: usize,
}

impl<S: StartLine> Reader<S> {
    /// Returns a reader that accepts messages with bodies of at most `max_body_bytes`.
    pub fn new(max_body_bytes: usize) -> Self {
        Reader {
            buffer: BytesMut::new(),
            partial: None,
            min_parse_bytes: 1,
            scanned_bytes: 0,
            interim_count: 0,
            max_body_bytes,
        }
    }

    /// Returns the buffer to which the caller appends the next bytes of the connection.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.buffer.reserve(MIN_READ_BYTES);
        &mut self.buffer
    }

    /// Returns whether any byte of the next message, or an interim response before it, has been received.
    pub fn has_begun(&self) -> bool {
        self.interim_count > 0 || !self.is_idle()
    }

    /// Returns whether the reader is between two messages and has no byte of the next one.
    pub fn is_idle(&self) -> bool {
        self.partial.is_none() && self.buffer.is_empty()
    }

    /// Returns the fields of a message whose head has been parsed, if the buffer holds no bytes of the body.
    pub fn awaiting_body(&self) -> Option<&Fields> {
        self.partial.as_ref().filter(|_| self.buffer.is_empty()).map(|partial| &partial.message.fields)
    }

    /// Returns the next message once it is complete, and `None` before. `is_closed` says that the connection
    /// has ended, so that no further bytes will be appended.
    ///
    /// # Errors
    /// Fails on bytes that are not an acceptable message. The reader cannot be used after an error.
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
            if self.interim_count > MAX_INTERIM_RESPONSES {
                return Err(ParseError::MalformedHead);
            }
        }
    }

    /// Removes a head from the buffer once the head is complete. Returns whether a head was removed.
    fn read_head(&mut self) -> Result<bool, ParseError> {
        if !self.should_parse_head() {
            return Ok(false);
        }
        let Some(Head { start_line, minor_version, spans, length_bytes }) = S::parse(&self.buffer)? else {
            self.min_parse_bytes = (2 * self.buffer.len()).min(MAX_HEAD_BYTES + 1);
            let is_too_large = self.buffer.len() > MAX_HEAD_BYTES;
            return if is_too_large { Err(ParseError::HeadTooLarge) } else { Ok(false) };
        };
        if length_bytes > MAX_HEAD_BYTES {
            return Err(ParseError::HeadTooLarge);
        }
        (self.min_parse_bytes, self.scanned_bytes) = (1, 0);
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

    /// Returns whether a head should be parsed: the new bytes contain the end of a head, or the buffer has
    /// doubled since the last parsing. Parsing after every read would take quadratic time if a peer sends
    /// single bytes.
    fn should_parse_head(&mut self) -> bool {
        let unscanned_at = self.scanned_bytes.saturating_sub(HEAD_END_OVERLAP_BYTES).min(self.buffer.len());
        let unscanned = &self.buffer[unscanned_at..];
        let has_end =
            unscanned.windows(2).any(|w| w == b"\n\n") || unscanned.windows(3).any(|w| w == b"\n\r\n");
        self.scanned_bytes = self.buffer.len();
        !self.buffer.is_empty() && (self.buffer.len() >= self.min_parse_bytes || has_end)
    }

    /// Removes the received part of a chunked body, or another body once it is complete, from the buffer.
    /// Returns the decoded body once it is complete.
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
