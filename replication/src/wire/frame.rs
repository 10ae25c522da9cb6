//! The encoding of messages as frames of bytes.
//!
//! A frame consists of four bytes of length (big endian, of everything after these four bytes), one byte
//! [`FORMAT_VERSION`], four bytes CRC-32 (IEEE, big endian, of the rest), and a [`Message`] in postcard's
//! encoding.
use crate::wire::Message;

/// The version of the encoding. Frames of another version are rejected.
pub const FORMAT_VERSION: u8 = 1;
/// The number of bytes of length, version and checksum in front of a message.
pub const HEADER_BYTES: usize = 9;
/// The length of the longest frame that is read or written, in bytes, including the header.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// The number of bytes of the length field, which the length itself does not include.
const LENGTH_BYTES: usize = 4;

/// The reason why bytes are not a frame, or why a message cannot become one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame has this many bytes, fewer than a header or more than [`MAX_FRAME_BYTES`].
    #[error("frame has {0} bytes, expected {HEADER_BYTES} to {MAX_FRAME_BYTES}")]
    Length(usize),
    /// The frame has this format version instead of [`FORMAT_VERSION`].
    #[error("frame has format {0}, expected {FORMAT_VERSION}")]
    Format(u8),
    /// The checksum does not match the bytes.
    #[error("frame has a checksum that does not match its bytes")]
    Checksum,
    /// The bytes are not a message, or some are left over after the message.
    #[error("frame does not contain a valid message: {0}")]
    Content(String),
}

/// Appends a message as a frame. Nothing is appended on an error.
///
/// # Errors
/// Returns [`FrameError::Length`] if the frame would be longer than [`MAX_FRAME_BYTES`].
pub fn encode(message: &Message, buffer: &mut Vec<u8>) -> Result<(), FrameError> {
    let bytes = postcard::to_allocvec(message).map_err(|e| FrameError::Content(e.to_string()))?;
    if bytes.len() + HEADER_BYTES > MAX_FRAME_BYTES {
        return Err(FrameError::Length(bytes.len() + HEADER_BYTES));
    }
    buffer.extend_from_slice(&((bytes.len() + HEADER_BYTES - LENGTH_BYTES) as u32).to_be_bytes());
    buffer.push(FORMAT_VERSION);
    buffer.extend_from_slice(&crc32fast::hash(&bytes).to_be_bytes());
    buffer.extend_from_slice(&bytes);
    Ok(())
}

/// Decodes the first message of `input`, and returns the message with the length of its frame in bytes, or
/// `None` if more bytes are needed.
///
/// # Errors
/// Returns a [`FrameError`] if the bytes cannot become a frame, however many bytes follow.
pub fn decode(input: &[u8]) -> Result<Option<(Message, usize)>, FrameError> {
    let Some((length, rest)) = input.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length + LENGTH_BYTES < HEADER_BYTES || length + LENGTH_BYTES > MAX_FRAME_BYTES {
        return Err(FrameError::Length(length + LENGTH_BYTES));
    }
    // The format is checked before the rest has arrived, because a peer with another format may frame
    // differently.
    if let Some(format) = rest.first().filter(|format| **format != FORMAT_VERSION) {
        return Err(FrameError::Format(*format));
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let Some((checksum, bytes)) = frame[1..].split_first_chunk::<4>() else {
        return Err(FrameError::Length(length + LENGTH_BYTES));
    };
    if crc32fast::hash(bytes) != u32::from_be_bytes(*checksum) {
        return Err(FrameError::Checksum);
    }
    match postcard::take_from_bytes(bytes).map_err(|e| FrameError::Content(e.to_string()))? {
        (message, []) => Ok(Some((message, length + LENGTH_BYTES))),
        (_, trailing) => Err(FrameError::Content(format!("{} trailing bytes", trailing.len()))),
    }
}
