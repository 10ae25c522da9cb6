//! Opening, reading and writing of TCP connections on Linux, and classification of their I/O errors.
//!
//! Tokio's own reads and writes take a short transfer as proof that the socket is drained or full, and then
//! wait for the kernel's next readiness edge, which may never come. They also return an interrupted call as
//! an error. The functions here repeat the call until the kernel reports that it would block.
use bytes::{Buf, BytesMut};
use rustix::io::Errno;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::coop::consume_budget;
use tokio::time::sleep;
use tracing::debug;

/// The delay before a read or write is retried that failed because the kernel lacked memory.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// The maximum number of bytes that one read discards.
pub const DISCARD_READ_BYTES: usize = 16 * 1024;
/// The maximum number of slices in one vectored write. A forwarded request has four parts.
const MAX_SLICES: usize = 8;

/// Sets `TCP_NODELAY` on a new connection. A socket that rejects the option is used without it, because the
/// option affects latency only.
///
/// # Errors
/// Returns the error of `connection` if connecting or accepting has failed.
pub fn with_nodelay(connection: io::Result<TcpStream>) -> io::Result<TcpStream> {
    let stream = connection?;
    if let Err(e) = stream.set_nodelay(true) {
        debug!(error = %e, "cannot set TCP_NODELAY; continuing without it");
    }
    Ok(stream)
}

/// Opens a TCP socket of the family of `address`.
///
/// # Errors
/// Fails if the operating system cannot open a socket, for example because no descriptor is left.
pub fn socket(address: SocketAddr) -> io::Result<TcpSocket> {
    if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
}

/// Waits for bytes from the peer and appends them to `buffer`. Returns the number of bytes, which is 0 once
/// the peer has ended its sending side. Cancel safe.
///
/// # Errors
/// Fails if the connection is broken.
pub async fn read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        // Lets other tasks run even if the peer sends without a pause.
        consume_budget().await;
        stream.readable().await?;
        match stream.try_read_buf(buffer) {
            Err(e) if is_repeatable(&e) => {}
            Err(e) if lacks_kernel_memory(&e) => sleep(RETRY_DELAY).await,
            read => return read,
        }
    }
}

/// Waits for bytes from the peer and discards up to [`DISCARD_READ_BYTES`] of them. Returns the number of
/// bytes, which is 0 once the peer has ended its sending side. Cancel safe.
///
/// # Errors
/// Fails if the connection is broken.
pub async fn discard(stream: &TcpStream) -> io::Result<usize> {
    loop {
        consume_budget().await;
        stream.readable().await?;
        match try_discard(stream) {
            Err(e) if is_repeatable(&e) => {}
            Err(e) if lacks_kernel_memory(&e) => sleep(RETRY_DELAY).await,
            read => return read,
        }
    }
}

/// Discards bytes that have been received. The buffer is on the stack, so that a connection that waits for
/// bytes to discard holds no buffer.
fn try_discard(stream: &TcpStream) -> io::Result<usize> {
    stream.try_read(&mut [0; DISCARD_READ_BYTES])
}

/// The result of a read that does not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceivedNow {
    /// Bytes had been received.
    Bytes(usize),
    /// The connection is open, and nothing had been received.
    Nothing,
    /// The peer has ended its sending side, or the connection is broken.
    Ended,
}

fn received_now(mut read: impl FnMut() -> io::Result<usize>) -> ReceivedNow {
    loop {
        match read() {
            Ok(0) => return ReceivedNow::Ended,
            Ok(bytes) => return ReceivedNow::Bytes(bytes),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock || lacks_kernel_memory(&e) => {
                return ReceivedNow::Nothing;
            }
            Err(_) => return ReceivedNow::Ended,
        }
    }
}

/// Appends bytes that have been received to `buffer`, without waiting.
pub fn read_now(stream: &TcpStream, buffer: &mut BytesMut) -> ReceivedNow {
    received_now(|| stream.try_read_buf(buffer))
}

/// Discards up to [`DISCARD_READ_BYTES`] that have been received, without waiting.
pub fn discard_now(stream: &TcpStream) -> ReceivedNow {
    received_now(|| try_discard(stream))
}

/// Writes all of `bytes`. If the write is cancelled or fails, `bytes` is advanced past the part that has been
/// written.
///
/// # Errors
/// Fails if the connection is broken.
pub async fn write_all(stream: &TcpStream, bytes: &mut impl Buf) -> io::Result<()> {
    write_all_while(stream, bytes, || true).await
}

/// Writes all of `bytes` as [`write_all`] does, but checks `may_continue` before each system call except the
/// first.
///
/// # Errors
/// Fails if the connection is broken, and with [`ErrorKind::TimedOut`] once `may_continue` returns false.
pub async fn write_all_while(
    stream: &TcpStream, bytes: &mut impl Buf, may_continue: impl Fn() -> bool,
) -> io::Result<()> {
    let mut has_begun = false;
    while bytes.has_remaining() {
        consume_budget().await;
        stream.writable().await?;
        if std::mem::replace(&mut has_begun, true) && !may_continue() {
            return Err(ErrorKind::TimedOut.into());
        }
        let mut slices = [IoSlice::new(&[]); MAX_SLICES];
        let count = bytes.chunks_vectored(&mut slices);
        match stream.try_write_vectored(&slices[..count]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => bytes.advance(written),
            Err(e) if is_repeatable(&e) => {}
            Err(e) if lacks_kernel_memory(&e) => sleep(RETRY_DELAY).await,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Returns whether a read or write has not failed and only has to be repeated once the socket is ready.
fn is_repeatable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Returns whether the kernel lacked memory for a read or write, in which case the connection is still
/// intact.
fn lacks_kernel_memory(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM))
}

/// Returns whether an error is caused by this machine, which lacks descriptors, ports or memory, and not by
/// the peer.
pub fn is_local(error: &io::Error) -> bool {
    const LOCAL_ERRORS: [Errno; 7] = [
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
        Errno::INTR,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
    ];
    Errno::from_io_error(error).is_some_and(|errno| LOCAL_ERRORS.contains(&errno))
}

/// Returns whether a connection failed because this machine has no route to the peer's network.
pub fn has_no_route(error: &io::Error) -> bool {
    Errno::from_io_error(error) == Some(Errno::NETUNREACH)
}

/// Returns whether a call failed because this process or this machine has no descriptor left.
pub fn lacks_descriptors(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE))
}

/// Returns whether an accept failed because of a signal or of the one connection that it would have returned,
/// so that the next accept may succeed. Linux reports an error that is pending on a new connection as the
/// error of the accept.
pub fn is_connection_error(error: &io::Error) -> bool {
    const CONNECTION_ERRORS: [Errno; 11] = [
        Errno::CONNABORTED,
        Errno::HOSTDOWN,
        Errno::HOSTUNREACH,
        Errno::INTR,
        Errno::NETDOWN,
        Errno::NETUNREACH,
        Errno::NONET,
        Errno::NOPROTOOPT,
        Errno::PERM,
        Errno::PROTO,
        Errno::TIMEDOUT,
    ];
    Errno::from_io_error(error).is_some_and(|errno| CONNECTION_ERRORS.contains(&errno))
}
