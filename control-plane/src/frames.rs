//! Reads and writes control messages on byte streams, with bounded buffers. The frames are those of [`wire`].
use bytes::{BufMut, BytesMut};
use std::io;
use ternstack_replication::wire::{self, decode, encode, Message, MAX_FRAME_BYTES};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The largest capacity that an empty buffer keeps. Larger buffers are freed because a server has thousands
/// of connections with a buffer each.
const IDLE_BUFFER_BYTES: usize = 2048;
/// The smallest amount by which the capacity of a full buffer grows.
const MIN_BUFFER_GROWTH_BYTES: usize = IDLE_BUFFER_BYTES / 4;
/// The largest amount by which the capacity of a full buffer grows. A peer cannot make the reader reserve a
/// whole frame by sending only the length field.
const MAX_BUFFER_GROWTH_BYTES: usize = 16 << 10;

/// An error of reading or writing a message on a connection.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// A frame is malformed. The connection has to be closed because the start of the next frame is unknown.
    #[error("malformed frame: {0}")]
    Malformed(wire::FrameError),
    /// The stream ended within a frame.
    #[error("the connection ended after {received_bytes} bytes of a frame, expected the whole frame")]
    Truncated {
        /// The number of bytes of the frame that were received.
        received_bytes: usize,
    },
    /// Reading or writing failed.
    #[error("the connection failed: {0}")]
    Io(io::Error),
}

/// A message that was read from a connection, and its size on the wire.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedMessage {
    /// The decoded message.
    pub message: Message,
    /// The length of the frame that held the message, header included.
    pub frame_bytes: usize,
}

/// A reader of messages from a stream. The reader buffers at most [`MAX_FRAME_BYTES`] bytes.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    buffer: BytesMut,
    received_bytes: u64,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader of `stream`, with an empty buffer.
    pub fn new(stream: R) -> Self {
        FrameReader { stream, buffer: BytesMut::new(), received_bytes: 0 }
    }

    /// Returns the next message, or `None` at the end of the stream. The method is cancel safe: dropping the
    /// future before it is ready loses no bytes.
    ///
    /// # Errors
    /// A [`ConnectionError`] if the stream fails, ends within a frame, or holds a malformed frame.
    pub async fn next(&mut self) -> Result<Option<ReceivedMessage>, ConnectionError> {
        loop {
            if let Some((message, frame_bytes)) = decode(&self.buffer).map_err(ConnectionError::Malformed)? {
                self.consume(frame_bytes);
                return Ok(Some(ReceivedMessage { message, frame_bytes }));
            }
            match self.fill().await.map_err(ConnectionError::Io)? {
                0 if self.buffer.is_empty() => return Ok(None),
                0 => return Err(ConnectionError::Truncated { received_bytes: self.buffer.len() }),
                received => self.received_bytes += received as u64,
            }
        }
    }

    /// Returns the number of bytes received so far, including those of an incomplete frame.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    fn consume(&mut self, frame_bytes: usize) {
        let _ = self.buffer.split_to(frame_bytes);
        if self.buffer.is_empty() && self.buffer.capacity() > IDLE_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
    }

    /// Reads once into the buffer and returns the number of bytes read, which is 0 at the end of the stream.
    async fn fill(&mut self) -> io::Result<usize> {
        let length = self.buffer.len();
        if self.buffer.capacity() == length {
            self.buffer.reserve(length.clamp(MIN_BUFFER_GROWTH_BYTES, MAX_BUFFER_GROWTH_BYTES));
        }
        // Never 0, which would look like the end of the stream: an incomplete frame is shorter than the
        // maximum.
        let remaining_bytes = MAX_FRAME_BYTES.saturating_sub(length);
        self.stream.read_buf(&mut (&mut self.buffer).limit(remaining_bytes)).await
    }
}

/// Writes one message and returns the length of its frame in bytes. `scratch` buffers the frame and is empty
/// afterwards; callers reuse the buffer to save allocations.
///
/// # Errors
/// [`ConnectionError::Malformed`] if the message is too long for a frame, [`ConnectionError::Io`] if the
/// stream cannot be written.
pub async fn write_message(
    stream: &mut (impl AsyncWrite + Unpin), message: &Message, scratch: &mut Vec<u8>,
) -> Result<usize, ConnectionError> {
    scratch.clear();
    encode(message, scratch).map_err(ConnectionError::Malformed)?;
    let written = stream.write_all(scratch).await.map_err(ConnectionError::Io);
    let frame_bytes = scratch.len();
    scratch.clear();
    scratch.shrink_to(IDLE_BUFFER_BYTES);
    written.map(|()| frame_bytes)
}
