//! Frames of [`wire`](ternstack_replication::wire) on a stream: read within bounds, written one at a time, and counted by cause.
use bytes::{BufMut, BytesMut};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use ternstack_replication::wire::{
    decode, encode, FrameError, Message, PollRequest, PollResponse, Traffic, TrafficByCause, TrafficCount,
    MAX_FRAME_BYTES,
};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// What an empty buffer may keep, in bytes: more is given back, as thousands of connections have one each.
const KEPT: usize = 2048;
/// The most that a buffer grows by before the bytes are there, so that a length alone reserves nothing.
const GROWTH: usize = 16 << 10;

/// Why a connection has no next message.
#[derive(Debug)]
pub enum Broken {
    /// The other end speaks something else. The connection cannot go on: nothing tells where the next frame begins.
    Malformed(FrameError),
    /// It ended after so many bytes of a frame.
    Cut(usize),
    /// It failed.
    Failed(io::Error),
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Broken::Malformed(what) => write!(f, "{what}"),
            Broken::Cut(n) => {
                write!(f, "the connection ended after {n} bytes of a frame, expected all of it")
            }
            Broken::Failed(e) => write!(f, "the connection failed: {e}"),
        }
    }
}

impl std::error::Error for Broken {}

/// Messages that come on a stream. It holds at most [`MAX_FRAME_BYTES`] bytes.
#[derive(Debug)]
pub struct Frames<R> {
    stream: R,
    buffer: BytesMut,
    received: u64,
}

impl<R: AsyncRead + Unpin> Frames<R> {
    /// Reads from there.
    pub fn new(stream: R) -> Self {
        Frames { stream, buffer: BytesMut::new(), received: 0 }
    }

    /// The next message and the bytes of its frame; `None` at the end of the stream. Dropped before it is ready, it loses
    /// nothing.
    pub async fn next(&mut self) -> Result<Option<(Message, usize)>, Broken> {
        loop {
            if let Some((message, used)) = decode(&self.buffer).map_err(Broken::Malformed)? {
                let _ = self.buffer.split_to(used);
                if self.buffer.is_empty() && self.buffer.capacity() > KEPT {
                    self.buffer = BytesMut::new();
                }
                return Ok(Some((message, used)));
            }
            if self.buffer.capacity() == self.buffer.len() {
                self.buffer.reserve(self.buffer.len().clamp(KEPT / 4, GROWTH));
            }
            // A frame that is not whole is shorter than this: there is always room for a byte.
            let room = MAX_FRAME_BYTES.saturating_sub(self.buffer.len());
            let read = self.stream.read_buf(&mut (&mut self.buffer).limit(room)).await;
            match read.map_err(Broken::Failed)? {
                0 if self.buffer.is_empty() => return Ok(None),
                0 => return Err(Broken::Cut(self.buffer.len())),
                n => self.received += n as u64,
            }
        }
    }

    /// The bytes that have come so far, whole frames or not.
    pub fn received(&self) -> u64 {
        self.received
    }
}

/// Writes one message, by way of `scratch`, which is empty before and after. The bytes of its frame.
pub async fn write(
    stream: &mut (impl AsyncWrite + Unpin), message: &Message, scratch: &mut Vec<u8>,
) -> Result<usize, Broken> {
    scratch.clear();
    encode(message, scratch).map_err(Broken::Malformed)?;
    let written = stream.write_all(scratch).await.map_err(Broken::Failed);
    let bytes = scratch.len();
    scratch.clear();
    scratch.shrink_to(KEPT);
    written.map(|()| bytes)
}

/// Counts messages and bytes by cause, for any number of connections; others may read it at any time.
#[derive(Debug, Default)]
pub struct Counter {
    read: Side,
    written: Side,
}

/// Messages and bytes, in the order of the fields of [`TrafficByCause`].
#[derive(Debug, Default)]
struct Side([(AtomicU64, AtomicU64); 5]);

const ASKS: usize = 0;
const LEASES: usize = 1;
const CHANGES: usize = 2;
const STARTS: usize = 3;
const STAFF: usize = 4;

impl Side {
    fn add(&self, cause: usize, messages: u64, bytes: usize) {
        self.0[cause].0.fetch_add(messages, Relaxed);
        self.0[cause].1.fetch_add(bytes as u64, Relaxed);
    }

    fn take(&self, message: &Message, bytes: usize, asked: Option<&PollRequest>) {
        match message {
            Message::PollRequest(_) => self.add(ASKS, 1, bytes),
            Message::PollResponse(grant) => {
                let (changes, starts) = parted(grant, asked);
                let cause = match (starts > 0, changes > 0) {
                    (true, _) => STARTS,
                    (false, true) => CHANGES,
                    (false, false) => LEASES,
                };
                self.add(cause, 1, 0);
                self.add(CHANGES, 0, changes);
                self.add(STARTS, 0, starts);
                self.add(LEASES, 0, bytes.saturating_sub(changes + starts));
            }
            _ => self.add(STAFF, 1, bytes),
        }
    }

    fn causes(&self) -> TrafficByCause {
        let tally = |cause: usize| TrafficCount {
            messages: self.0[cause].0.load(Relaxed),
            bytes: self.0[cause].1.load(Relaxed),
        };
        TrafficByCause {
            polls: tally(ASKS),
            leases: tally(LEASES),
            changes: tally(CHANGES),
            fetches: tally(STARTS),
            admin: tally(STAFF),
        }
    }
}

impl Counter {
    /// A message was read; where it answers an ask, this one.
    pub fn read(&self, message: &Message, bytes: usize, asked: Option<&PollRequest>) {
        self.read.take(message, bytes, asked);
    }

    /// A message was written; where it answers an ask, this one.
    pub fn written(&self, message: &Message, bytes: usize, asked: Option<&PollRequest>) {
        self.written.take(message, bytes, asked);
    }

    /// All so far.
    pub fn counts(&self) -> Traffic {
        Traffic { read: self.read.causes(), written: self.written.causes() }
    }
}

/// The bytes of an answer that are changes, and those that are pieces of what was fetched: also all that a machine between
/// is sent which has nothing yet.
fn parted(grant: &PollResponse, asked: Option<&PollRequest>) -> (usize, usize) {
    let starts_all = asked.is_some_and(|ask| ask.known == 0);
    let is_fetched = |scope| asked.is_some_and(|ask| ask.fetch.iter().any(|(fetched, _)| *fetched == scope));
    let (mut changes, mut starts) = (0, 0);
    changes += grant.pending.iter().map(size).sum::<usize>();
    changes += grant.stale.iter().map(size).sum::<usize>();
    for part in &grant.chunks {
        match starts_all || is_fetched(part.scope) {
            true => starts += size(part),
            false => changes += size(part),
        }
    }
    (changes, starts)
}

fn size(value: &impl serde::Serialize) -> usize {
    // Nothing of these types can fail to be measured.
    postcard::serialize_with_flavor(value, postcard::ser_flavors::Size::default()).unwrap_or_default()
}
