//! Decoding of bodies with the chunked transfer coding.
use super::{ParseError, MAX_FIELDS};
use bytes::{Buf, Bytes, BytesMut};
use std::mem;

/// The maximum length of a chunk size line with its extensions, and likewise of a trailer field line.
const MAX_LINE_BYTES: usize = 256;

/// The part of a chunked body that the decoder expects next.
#[derive(Clone, Copy, Debug)]
enum Expected {
    SizeLine,
    Data { remaining_bytes: usize },
    DataEnd,
    Trailer { field_count: usize },
}

/// The decoder of a chunked body, with the data decoded so far.
#[derive(Debug)]
pub(super) struct ChunkedBody {
    expected: Expected,
    data: BytesMut,
    /// The length of the decoded data, including data that has been discarded.
    data_bytes: usize,
    discards_data: bool,
}

impl ChunkedBody {
    pub(super) fn new() -> Self {
        ChunkedBody {
            expected: Expected::SizeLine,
            data: BytesMut::new(),
            data_bytes: 0,
            discards_data: false,
        }
    }

    /// Discards the data decoded so far and all further data. The framing is still checked.
    pub(super) fn discard_data(&mut self) {
        self.discards_data = true;
        self.data = BytesMut::new();
    }

    /// Returns the memory of the decoded data once the next `encoded_bytes` have been decoded. The data's
    /// buffer at least doubles when it grows.
    pub(super) fn memory_bytes(&self, encoded_bytes: usize) -> usize {
        if self.discards_data {
            return 0;
        }
        let needed_bytes = self.data.len() + encoded_bytes;
        if needed_bytes <= self.data.capacity() {
            self.data.capacity()
        } else {
            needed_bytes.max(2 * self.data.capacity())
        }
    }

    /// Removes the received part of the body from `buffer`. Returns the decoded body once it is complete.
    pub(super) fn decode(
        &mut self, buffer: &mut BytesMut, max_body_bytes: usize,
    ) -> Result<Option<Bytes>, ParseError> {
        loop {
            if let Expected::Data { remaining_bytes } = self.expected {
                if !self.take_data(buffer, remaining_bytes) {
                    return Ok(None);
                }
                continue;
            }
            let Some(line) = take_line(buffer)? else { return Ok(None) };
            self.expected = match self.expected {
                Expected::DataEnd if line.is_empty() => Expected::SizeLine,
                Expected::SizeLine => self.begin_chunk(parse_size(&line)?, max_body_bytes)?,
                Expected::Trailer { .. } if line.is_empty() => {
                    return Ok(Some(mem::take(&mut self.data).freeze()));
                }
                Expected::Trailer { field_count } if field_count < MAX_FIELDS => {
                    Expected::Trailer { field_count: field_count + 1 }
                }
                _ => return Err(ParseError::InvalidLength),
            };
        }
    }

    /// Removes the received part of a chunk's data from `buffer`. Returns true once the chunk is complete.
    fn take_data(&mut self, buffer: &mut BytesMut, remaining_bytes: usize) -> bool {
        let part_bytes = remaining_bytes.min(buffer.len());
        if !self.discards_data {
            self.data.extend_from_slice(&buffer[..part_bytes]);
        }
        self.data_bytes += part_bytes;
        buffer.advance(part_bytes);
        let is_complete = part_bytes == remaining_bytes;
        self.expected = if is_complete {
            Expected::DataEnd
        } else {
            Expected::Data { remaining_bytes: remaining_bytes - part_bytes }
        };
        is_complete
    }

    fn begin_chunk(&self, size_bytes: usize, max_body_bytes: usize) -> Result<Expected, ParseError> {
        if size_bytes == 0 {
            return Ok(Expected::Trailer { field_count: 0 });
        }
        if self.data_bytes.saturating_add(size_bytes) > max_body_bytes {
            return Err(ParseError::BodyTooLarge);
        }
        Ok(Expected::Data { remaining_bytes: size_bytes })
    }
}

/// Removes a line from the buffer and returns the line without its CRLF. Returns `None` while the line is
/// incomplete.
fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, ParseError> {
    let Some(newline_at) = buffer.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n') else {
        return if buffer.len() < MAX_LINE_BYTES { Ok(None) } else { Err(ParseError::InvalidLength) };
    };
    let mut line = buffer.split_to(newline_at + 1);
    // A lone LF is rejected, because implementations differ on whether it ends a line, which permits request
    // smuggling.
    if !line.ends_with(b"\r\n") {
        return Err(ParseError::InvalidLength);
    }
    line.truncate(newline_at - 1);
    Ok(Some(line))
}

/// Parses a chunk's size in bytes from the size line. A size that does not fit in a `usize` counts as
/// `usize::MAX`.
fn parse_size(line: &[u8]) -> Result<usize, ParseError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::InvalidLength)?;
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(ParseError::InvalidLength);
    }
    Ok(usize::from_str_radix(text, 16).unwrap_or(usize::MAX))
}
