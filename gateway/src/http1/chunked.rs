//! Decoding of chunked bodies.
use super::{ParseError, MAX_FIELD_COUNT};
use bytes::{Bytes, BytesMut};
use std::mem;

/// The longest chunk size line, extensions included, and the longest trailer field line.
const MAX_LINE_BYTES: usize = 256;

/// What the decoder reads next.
#[derive(Clone, Copy, Debug)]
enum Expected {
    SizeLine,
    Data { remaining_bytes: usize },
    DataEnd,
    Trailer { field_count: usize },
}

/// A chunked body, as far as it has been received.
#[derive(Debug)]
pub(super) struct ChunkedBody {
    expected: Expected,
    data: BytesMut,
}

impl ChunkedBody {
    pub(super) fn new() -> Self {
        ChunkedBody { expected: Expected::SizeLine, data: BytesMut::new() }
    }

    /// Takes what has been received of the body off `buffer`; the decoded body once it is complete.
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
                Expected::Trailer { field_count } if field_count < MAX_FIELD_COUNT => {
                    Expected::Trailer { field_count: field_count + 1 }
                }
                _ => return Err(ParseError::Length),
            };
        }
    }

    /// Takes a chunk's data as far as it has been received; true once the chunk is complete.
    fn take_data(&mut self, buffer: &mut BytesMut, remaining_bytes: usize) -> bool {
        let part = buffer.split_to(remaining_bytes.min(buffer.len()));
        self.data.extend_from_slice(&part);
        let is_complete = part.len() == remaining_bytes;
        self.expected = if is_complete {
            Expected::DataEnd
        } else {
            Expected::Data { remaining_bytes: remaining_bytes - part.len() }
        };
        is_complete
    }

    fn begin_chunk(&self, size_bytes: usize, max_body_bytes: usize) -> Result<Expected, ParseError> {
        if size_bytes == 0 {
            return Ok(Expected::Trailer { field_count: 0 });
        }
        if self.data.len().saturating_add(size_bytes) > max_body_bytes {
            return Err(ParseError::BodyTooLarge);
        }
        Ok(Expected::Data { remaining_bytes: size_bytes })
    }
}

/// Takes a line off the buffer, without its CRLF; `None` while it is incomplete.
fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, ParseError> {
    let Some(at) = buffer.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n') else {
        return if buffer.len() < MAX_LINE_BYTES { Ok(None) } else { Err(ParseError::Length) };
    };
    let mut line = buffer.split_to(at + 1);
    // Implementations differ on whether a lone LF ends a line, which would permit request smuggling.
    if !line.ends_with(b"\r\n") {
        return Err(ParseError::Length);
    }
    line.truncate(at - 1);
    Ok(Some(line))
}

/// The size of a chunk in bytes, from its size line.
fn parse_size(line: &[u8]) -> Result<usize, ParseError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::Length)?;
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(ParseError::Length);
    }
    Ok(usize::from_str_radix(text, 16).unwrap_or(usize::MAX))
}
