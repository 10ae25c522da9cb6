//! Messages as frames of bytes.
//!
//! A frame is four bytes of length (big endian, of what follows), one byte [`FORMAT_VERSION`], four bytes CRC-32 (IEEE, big
//! endian, of the rest), and a [`Message`] in postcard's encoding.
use crate::wire::Message;

/// The version of the encoding. Frames of another version are rejected.
pub const FORMAT_VERSION: u8 = 1;
/// The bytes of length, version and checksum in front of a message.
pub const HEADER_BYTES: usize = 9;
/// The longest frame that is read or written, header included.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// The bytes of the length field, which does not count itself.
const LENGTH_BYTES: usize = 4;

/// Why bytes are not a frame, or a message cannot become one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is shorter than a header or longer than [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes, expected {HEADER_BYTES} to {MAX_FRAME_BYTES}")]
    Length(usize),
    /// The frame has another [`FORMAT_VERSION`].
    #[error("a frame of format {0}, expected {FORMAT_VERSION}")]
    Format(u8),
    /// The checksum does not match the bytes.
    #[error("a frame whose checksum is not that of its bytes")]
    Checksum,
    /// The bytes are not a message, or there are more than the message needs.
    #[error("a frame that holds no message: {0}")]
    Content(String),
}

/// Appends a message as a frame. Nothing is appended if it fails.
///
/// # Errors
/// [`FrameError::Length`] if the frame would be longer than [`MAX_FRAME_BYTES`].
pub fn encode(message: &Message, to: &mut Vec<u8>) -> Result<(), FrameError> {
    let bytes = postcard::to_allocvec(message).map_err(|e| FrameError::Content(e.to_string()))?;
    if bytes.len() + HEADER_BYTES > MAX_FRAME_BYTES {
        return Err(FrameError::Length(bytes.len() + HEADER_BYTES));
    }
    to.extend_from_slice(&((bytes.len() + HEADER_BYTES - LENGTH_BYTES) as u32).to_be_bytes());
    to.push(FORMAT_VERSION);
    to.extend_from_slice(&crc32fast::hash(&bytes).to_be_bytes());
    to.extend_from_slice(&bytes);
    Ok(())
}

/// Reads the first message of `from`, and how many bytes its frame has; `None` if more bytes are needed.
///
/// # Errors
/// A [`FrameError`] if the bytes cannot become a frame, however many follow.
pub fn decode(from: &[u8]) -> Result<Option<(Message, usize)>, FrameError> {
    let Some((length, rest)) = from.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length + LENGTH_BYTES < HEADER_BYTES || length + LENGTH_BYTES > MAX_FRAME_BYTES {
        return Err(FrameError::Length(length + LENGTH_BYTES));
    }
    // Checked before the rest has arrived: a peer with another format may frame differently.
    if let Some(format) = rest.first().filter(|f| **f != FORMAT_VERSION) {
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
        (_, more) => Err(FrameError::Content(format!("{} bytes too many", more.len()))),
    }
}
