//! Reads and writes control messages, framed by [`wire`](ternstack_replication::wire), on byte streams with bounded buffers.
use bytes::{BufMut, BytesMut};
use std::io;
use ternstack_replication::wire::{self, decode, encode, Message, MAX_FRAME_BYTES};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Capacity that an empty buffer keeps; more is freed, since thousands of connections have a buffer each.
const IDLE_BUFFER_BYTES: usize = 2048;
/// The least capacity that a full buffer grows by.
const MIN_BUFFER_GROWTH_BYTES: usize = IDLE_BUFFER_BYTES / 4;
/// The most capacity that a full buffer grows by, so that a length field alone reserves nothing.
const MAX_BUFFER_GROWTH_BYTES: usize = 16 << 10;

/// Why no message could be read from or written to a connection.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// A frame is malformed. The connection cannot continue, since the start of the next frame is unknown.
    #[error("{0}")]
    Malformed(wire::FrameError),
    /// The stream ended within a frame.
    #[error("the connection ended after {received_bytes} bytes of a frame, expected all of it")]
    Truncated {
        /// The bytes of the frame that have come.
        received_bytes: usize,
    },
    /// Reading or writing failed.
    #[error("the connection failed: {0}")]
    Io(io::Error),
}

/// A message and its size on the wire.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedMessage {
    /// The message.
    pub message: Message,
    /// The length of its frame, header included.
    pub frame_bytes: usize,
}

/// Reads messages from a stream. Buffers at most [`MAX_FRAME_BYTES`] bytes.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    buffer: BytesMut,
    received_bytes: u64,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from `stream`.
    pub fn new(stream: R) -> Self {
        FrameReader { stream, buffer: BytesMut::new(), received_bytes: 0 }
    }

    /// The next message; `None` at the end of the stream. Cancel safe: a future dropped before it is ready loses no bytes.
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

    /// The bytes received so far, including those of an incomplete frame.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    fn consume(&mut self, frame_bytes: usize) {
        let _ = self.buffer.split_to(frame_bytes);
        if self.buffer.is_empty() && self.buffer.capacity() > IDLE_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
    }

    /// Reads once into the buffer; 0 at the end of the stream.
    async fn fill(&mut self) -> io::Result<usize> {
        let length = self.buffer.len();
        if self.buffer.capacity() == length {
            self.buffer.reserve(length.clamp(MIN_BUFFER_GROWTH_BYTES, MAX_BUFFER_GROWTH_BYTES));
        }
        // An incomplete frame is shorter than `MAX_FRAME_BYTES`, so there is always room for a byte.
        let room = MAX_FRAME_BYTES.saturating_sub(length);
        self.stream.read_buf(&mut (&mut self.buffer).limit(room)).await
    }
}

/// Writes one message and returns the length of its frame in bytes. `scratch` is empty before and after, and reused to save
/// allocations.
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
