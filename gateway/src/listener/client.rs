//! Reading from a client connection: the next request, and a disconnect while a request is open.
use super::close::DISCARD_READ_BYTES;
use crate::http1::{CompleteMessage, Fields, ParseError, Reader, RequestLine};
use crate::loop_lag::LoopLag;
use crate::protocol::CONTINUE;
use crate::sockets;
use bytes::BytesMut;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// The maximum number of bytes that are buffered while a client's request is open. Further bytes are
/// discarded, so that a disconnect is still noticed, and the connection is closed after the response.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 4 * 1024;
/// The maximum number of bytes that are discarded while a request is open. A client that sends more counts as
/// disconnected.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// The pause after each read of discarded bytes, so that a flooding client does not starve other clients.
const DISCARD_PAUSE: Duration = Duration::from_millis(1);

/// The reason why no request could be read.
#[derive(Debug, Error)]
pub(super) enum ReadError {
    /// The client connection is broken.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The client's bytes are not an acceptable request.
    #[error(transparent)]
    Parse(#[from] ParseError),
}

/// A complete request with the time of its arrival.
pub(super) struct ArrivedRequest {
    pub(super) message: CompleteMessage<RequestLine>,
    /// The earliest time at which the complete request may have arrived.
    pub(super) arrived_at: Instant,
}

/// The reading side of a client's connection.
pub(super) struct ClientReader<'a> {
    pub(super) stream: &'a TcpStream,
    pub(super) reader: &'a mut Reader<RequestLine>,
    /// The time since which bytes after the last request may have been waiting; `None` if none have been
    /// received.
    pub(super) waiting_since: &'a mut Option<Instant>,
    pub(super) lag: &'a LoopLag,
}

impl ClientReader<'_> {
    /// Reads the next request. Returns `None` if the client closes the connection before the request is
    /// complete.
    pub(super) async fn next_request(&mut self) -> Result<Option<ArrivedRequest>, ReadError> {
        let mut has_continued = false;
        // The waiting time applies only if the request is complete without a further read.
        let mut arrived_at = self.waiting_since.take();
        loop {
            if let Some(message) = self.reader.next(false)? {
                let arrived_at = arrived_at.unwrap_or_else(|| self.lag.earliest_arrival());
                *self.waiting_since = (!self.reader.is_idle()).then_some(arrived_at);
                return Ok(Some(ArrivedRequest { message, arrived_at }));
            }
            if !has_continued && self.reader.awaiting_body().is_some_and(expects_continue) {
                has_continued = true;
                sockets::write_all(self.stream, &mut &CONTINUE[..]).await?;
            }
            if sockets::read(self.stream, self.reader.buffer()).await? == 0 {
                return Ok(None);
            }
            arrived_at = None;
        }
    }

    /// Waits until the client disconnects, which means that it closes the connection or its sending side, or
    /// sends more than [`MAX_DISCARDED_BYTES`] beyond [`MAX_READ_AHEAD_BYTES`].
    pub(super) async fn disconnected(&mut self) {
        while self.reader.buffer().len() < MAX_READ_AHEAD_BYTES {
            match sockets::read(self.stream, self.reader.buffer()).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {
                    self.waiting_since.get_or_insert_with(|| self.lag.earliest_arrival());
                }
            }
        }
        let (mut discarded_bytes, mut bytes) = (0, BytesMut::new());
        while discarded_bytes < MAX_DISCARDED_BYTES {
            bytes.clear();
            bytes.reserve(DISCARD_READ_BYTES);
            match sockets::read(self.stream, &mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(read_bytes) => discarded_bytes += read_bytes,
            }
            sleep(DISCARD_PAUSE).await;
        }
    }
}

fn expects_continue(fields: &Fields) -> bool {
    fields.get("expect").is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
}
