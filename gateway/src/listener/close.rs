//! Closing of client connections without a TCP reset, which could destroy a response before the client has
//! read it.
use crate::loop_lag::LoopLag;
use crate::sockets;
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// How long the gateway still reads from a client after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause after each read, so that a flooding client does not starve other clients.
const LINGER_PAUSE: Duration = Duration::from_millis(1);

/// Ends the sending side of a connection, and reads and discards bytes until the client closes the connection
/// or [`LINGER_TIMEOUT`] has passed. Closing a connection with unread bytes would reset it, and the client
/// would lose the response.
pub(super) async fn linger(lag: &LoopLag, stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let linger_until = Instant::now() + LINGER_TIMEOUT;
    let mut is_last_read = false;
    // The loop checks the time itself, because the timeout does not fire while bytes are always ready to be
    // read. It reads once more after the time, because bytes may have arrived while the process was stalled.
    while !is_last_read {
        is_last_read = Instant::now() >= linger_until;
        match lag.timeout_at(linger_until, sockets::discard(stream)).await {
            Some(Ok(read_bytes)) if read_bytes > 0 => sleep(LINGER_PAUSE).await,
            _ => return Ok(()),
        }
    }
    Ok(())
}
