//! Closing of clients' connections without a reset that would destroy a response on its way.
use crate::sockets;
use bytes::BytesMut;
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at, Instant};

/// How long a client is read from after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How many bytes are read, and discarded, at once.
pub(super) const DISCARD_READ_BYTES: usize = 64 * 1024;
/// A read of this many bytes is followed by [`LINGER_PAUSE`], so that a flooding client does not starve the others.
const LARGE_READ_BYTES: usize = DISCARD_READ_BYTES / 4;
/// The pause after a large read.
const LINGER_PAUSE: Duration = Duration::from_millis(5);

/// Ends the sending side, and discards what the client still sends until it closes: closing with unread bytes would reset
/// the connection, and the client would lose the response.
pub(super) async fn linger(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let linger_until = Instant::now() + LINGER_TIMEOUT;
    let mut bytes = BytesMut::new();
    // The loop looks at the time itself, as a timeout does not fire while there always are bytes to read.
    while Instant::now() < linger_until {
        bytes.clear();
        bytes.reserve(DISCARD_READ_BYTES);
        match timeout_at(linger_until, sockets::read(stream, &mut bytes)).await {
            Ok(Ok(read_bytes)) if read_bytes > 0 => {}
            _ => return Ok(()),
        }
        if bytes.len() >= LARGE_READ_BYTES {
            sleep(LINGER_PAUSE).await;
        }
    }
    Ok(())
}
