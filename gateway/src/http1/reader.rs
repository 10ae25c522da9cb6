//! Assembly of complete messages from the bytes of a connection.
use super::fields::Fields;
use super::head::{Head, RequestLine, StartLine};
use super::{Framing, ParseError, MAX_HEAD_BYTES};
use bytes::{Buf, Bytes, BytesMut};

/// The initial size of the buffer, enough for most messages.
const INITIAL_BUFFER_BYTES: usize = 2048;
/// The minimum free space in the buffer before each read, unless less is missing in the message.
const MIN_READ_BYTES: usize = 512;
/// A body without a stated length counts as short up to this memory.
const SHORT_BODY_BYTES: usize = 16 * 1024;
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

impl<S> CompleteMessage<S> {
    /// Returns the memory of the message. The buffer of a body without a stated length may be twice as large
    /// as the body.
    pub fn memory_bytes(&self) -> usize {
        self.fields.memory_bytes() + 2 * self.body.len()
    }
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

impl<S> PartialMessage<S> {
    /// Returns the memory of the message once the next `unparsed_bytes` have been parsed, beside the reader's
    /// buffer.
    fn memory_bytes(&self, unparsed_bytes: usize) -> usize {
        let body_bytes = match &self.framing {
            Framing::Chunked(body) => body.memory_bytes(unparsed_bytes),
            Framing::Length(_) | Framing::UntilClose => 0,
        };
        self.message.fields.memory_bytes() + body_bytes
    }
}

/// A reader that assembles messages from the bytes of a connection.
#[derive(Debug)]
pub struct Reader<S> {
    buffer: BytesMut,
    /// The size of the allocation that `buffer` is a part of.
    allocated_bytes: usize,
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
            allocated_bytes: 0,
            partial: None,
            min_parse_bytes: 1,
            scanned_bytes: 0,
            interim_count: 0,
            max_body_bytes,
        }
    }

    /// Returns the buffer, with free space, to which the caller appends the next bytes of the connection.
    pub fn buffer(&mut self) -> &mut BytesMut {
        if let Some(size_bytes) = self.next_allocation_bytes() {
            // A new buffer of this size, because `BytesMut` chooses sizes of its own when it grows.
            let mut buffer = BytesMut::with_capacity(size_bytes);
            buffer.extend_from_slice(&self.buffer);
            (self.buffer, self.allocated_bytes) = (buffer, size_bytes);
        }
        &mut self.buffer
    }

    /// Returns whether the next bytes can be appended without another allocation.
    pub fn has_room(&self) -> bool {
        self.next_allocation_bytes().is_none()
    }

    /// Returns the size of the buffer that the next call of [`Reader::buffer`] allocates: at least twice the
    /// received bytes, but no larger than the message needs. Returns `None` while the buffer has free space.
    fn next_allocation_bytes(&self) -> Option<usize> {
        let received_bytes = self.buffer.len();
        let missing_bytes = match self.partial.as_ref().map(|partial| &partial.framing) {
            Some(Framing::Length(length)) => length.saturating_sub(received_bytes).max(1),
            _ => usize::MAX,
        };
        let free_bytes = self.buffer.capacity() - received_bytes;
        if free_bytes >= missing_bytes.min(MIN_READ_BYTES) {
            return None;
        }
        let grown_bytes = (2 * received_bytes).max(received_bytes + MIN_READ_BYTES);
        Some(grown_bytes.max(INITIAL_BUFFER_BYTES).min(received_bytes.saturating_add(missing_bytes)))
    }

    /// Returns the memory that the reader holds once the next bytes have been read and parsed.
    pub fn memory_bytes(&self) -> usize {
        let buffer_bytes = self.next_allocation_bytes().unwrap_or(self.allocated_bytes);
        buffer_bytes + self.partial.as_ref().map_or(0, |partial| partial.memory_bytes(buffer_bytes))
    }

    /// Returns the memory that the message which is being received can take until it is complete. A body
    /// without a stated length counts as short until it is not.
    pub fn max_memory_bytes(&self) -> usize {
        let Some(partial) = &self.partial else { return MAX_HEAD_BYTES };
        let body_bytes = match &partial.framing {
            Framing::Length(length) => *length,
            // Most bodies without a stated length are short.
            Framing::Chunked(_) | Framing::UntilClose if self.memory_bytes() <= SHORT_BODY_BYTES => {
                SHORT_BODY_BYTES
            }
            // The buffer doubles when it grows.
            Framing::Chunked(_) | Framing::UntilClose => 2 * self.max_body_bytes,
        };
        partial.message.fields.memory_bytes() + body_bytes.min(2 * self.max_body_bytes)
    }

    /// Returns whether any byte of the next message, or an interim response before it, has been received.
    pub fn has_begun(&self) -> bool {
        self.interim_count > 0 || !self.is_idle()
    }

    /// Returns whether the reader is between two messages and has no byte of the next one.
    pub fn is_idle(&self) -> bool {
        self.partial.is_none() && self.buffer.is_empty()
    }

    /// Returns whether the head of the next message has been parsed.
    pub fn is_in_body(&self) -> bool {
        self.partial.is_some()
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

    /// Discards the body of the message that is being received, so that the message takes no memory beyond its
    /// head. The framing is still checked. Returns whether the connection can carry another message after this
    /// one, once the message is complete, and `None` before.
    ///
    /// # Errors
    /// Fails on bytes that are not an acceptable message. The reader cannot be used after an error.
    pub fn skip(&mut self) -> Result<Option<bool>, ParseError> {
        if self.partial.is_none() && !self.read_head()? {
            return Ok(None);
        }
        let Some(mut partial) = self.partial.take() else { return Ok(None) };
        if self.skip_body(&mut partial.framing)? {
            return Ok(Some(partial.message.keep_alive));
        }
        self.partial = Some(partial);
        Ok(None)
    }

    /// Discards the received part of a body. Returns whether the body is complete.
    fn skip_body(&mut self, framing: &mut Framing) -> Result<bool, ParseError> {
        match framing {
            Framing::Length(length) if *length > self.max_body_bytes => Err(ParseError::BodyTooLarge),
            Framing::Length(remaining_bytes) => {
                let received_bytes = self.buffer.len().min(*remaining_bytes);
                self.buffer.advance(received_bytes);
                *remaining_bytes -= received_bytes;
                Ok(*remaining_bytes == 0)
            }
            // The body ends with the connection.
            Framing::UntilClose => {
                self.buffer.clear();
                Ok(false)
            }
            Framing::Chunked(body) => {
                body.discard_data();
                Ok(body.decode(&mut self.buffer, self.max_body_bytes)?.is_some())
            }
        }
    }

    /// Releases the part of the buffer's allocation that the received bytes do not need.
    pub fn shrink(&mut self) {
        if self.allocated_bytes > INITIAL_BUFFER_BYTES.max(2 * self.buffer.len()) {
            self.buffer = BytesMut::from(&self.buffer[..]);
            self.allocated_bytes = self.buffer.capacity();
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
        // A copy, so that the head does not keep the whole buffer in memory.
        let fields = Fields::new(Bytes::copy_from_slice(&self.buffer[..length_bytes]), spans);
        self.buffer.advance(length_bytes);
        fields.check_connection_options()?;
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
        if self.buffer.len() >= self.min_parse_bytes {
            self.scanned_bytes = self.buffer.len();
            return true;
        }
        let unscanned_at = self.scanned_bytes.saturating_sub(HEAD_END_OVERLAP_BYTES).min(self.buffer.len());
        let unscanned = &self.buffer[unscanned_at..];
        self.scanned_bytes = self.buffer.len();
        unscanned.windows(2).any(|w| w == b"\n\n") || unscanned.windows(3).any(|w| w == b"\n\r\n")
    }

    /// Removes the received part of a chunked body, or another body once it is complete, from the buffer.
    /// Returns the decoded body once it is complete.
    fn read_body(&mut self, framing: &mut Framing, is_closed: bool) -> Result<Option<Bytes>, ParseError> {
        match framing {
            Framing::Length(length) if *length > self.max_body_bytes => Err(ParseError::BodyTooLarge),
            Framing::Length(length) => {
                let is_complete = self.buffer.len() >= *length;
                Ok(is_complete.then(|| self.take_from_buffer(*length)))
            }
            Framing::UntilClose if self.buffer.len() > self.max_body_bytes => Err(ParseError::BodyTooLarge),
            Framing::UntilClose => Ok(is_closed.then(|| self.take_from_buffer(self.buffer.len()))),
            Framing::Chunked(body) => body.decode(&mut self.buffer, self.max_body_bytes),
        }
    }

    /// Removes a body from the buffer. The body and the rest of the buffer share no allocation, and the shorter
    /// one of them is copied.
    fn take_from_buffer(&mut self, length_bytes: usize) -> Bytes {
        if length_bytes == 0 {
            return Bytes::new();
        }
        if length_bytes < self.buffer.len() - length_bytes {
            let body = Bytes::copy_from_slice(&self.buffer[..length_bytes]);
            self.buffer.advance(length_bytes);
            return body;
        }
        let rest = BytesMut::from(&self.buffer[length_bytes..]);
        self.allocated_bytes = rest.capacity();
        let mut body = std::mem::replace(&mut self.buffer, rest);
        body.truncate(length_bytes);
        body.freeze()
    }
}
