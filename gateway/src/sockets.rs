//! Opening, reading and writing of TCP connections on Linux, and the classification of the errors of these calls.
//!
//! The runtime's own reads and writes take a short transfer as proof that the socket is drained or full, and wait for the
//! kernel's next edge, which need not come; an interrupted call they return as an error. The functions here go on until the
//! kernel reports that the call would block.
use bytes::{Buf, BytesMut};
use rustix::io::Errno;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::coop::consume_budget;
use tokio::time::sleep;
use tracing::debug;

/// The pause before a call is retried that failed for lack of the kernel's memory.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// The most slices of one vectored write; a request has four parts.
const MAX_SLICE_COUNT: usize = 8;

/// Sets `TCP_NODELAY` on a new connection. A socket that does not support the option is used all the same, as it serves
/// latency only.
///
/// # Errors
/// Returns the error of `connection`.
pub fn with_nodelay(connection: io::Result<TcpStream>) -> io::Result<TcpStream> {
    let stream = connection?;
    if let Err(e) = stream.set_nodelay(true) {
        debug!("TCP_NODELAY: {e}; continuing without it");
    }
    Ok(stream)
}

/// A socket of an address's family.
///
/// # Errors
/// Fails if this machine has no descriptor for it.
pub fn socket(at: SocketAddr) -> io::Result<TcpSocket> {
    if at.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
}

/// Appends what has been received to `buffer`; the number of bytes, 0 once the peer has ended its side. Cancel safe.
///
/// # Errors
/// Fails if the connection does.
pub async fn read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        // Yields to other tasks even if the peer sends all the time.
        consume_budget().await;
        stream.readable().await?;
        match stream.try_read_buf(buffer) {
            Err(e) if is_repeatable(&e) => {}
            Err(e) if is_momentary(&e) => sleep(RETRY_DELAY).await,
            read => return read,
        }
    }
}

/// Writes all of `bytes`. If it is cancelled or fails, the buffer is advanced past what has been written.
///
/// # Errors
/// Fails if the connection does.
pub async fn write_all(stream: &TcpStream, bytes: &mut impl Buf) -> io::Result<()> {
    write_all_while(stream, bytes, || true).await
}

/// As [`write_all`], but checks `may_continue` before each write except the first.
///
/// # Errors
/// Fails if the connection does, and with [`ErrorKind::TimedOut`] once `may_continue` is false.
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
        let mut slices = [IoSlice::new(&[]); MAX_SLICE_COUNT];
        let count = bytes.chunks_vectored(&mut slices);
        match stream.try_write_vectored(&slices[..count]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => bytes.advance(written),
            Err(e) if is_repeatable(&e) => {}
            Err(e) if is_momentary(&e) => sleep(RETRY_DELAY).await,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Whether the call can be repeated once the socket is ready: nothing has failed.
fn is_repeatable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Whether the kernel lacked memory for the call, which leaves the connection as it was.
fn is_momentary(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM))
}

/// Whether an error is due to this machine, which lacks descriptors, ports or memory, and not to the peer.
pub fn is_local(error: &io::Error) -> bool {
    const LOCAL: [Errno; 7] = [
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
        Errno::INTR,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
    ];
    Errno::from_io_error(error).is_some_and(|errno| LOCAL.contains(&errno))
}

/// Whether this machine has no route to the peer's network.
pub fn has_no_route(error: &io::Error) -> bool {
    Errno::from_io_error(error) == Some(Errno::NETUNREACH)
}

/// Whether this process or this machine has no descriptor left.
pub fn lacks_descriptors(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE))
}

/// Whether an accept failed by a signal or by the one connection that it was to return, so that the next accept may succeed.
/// Linux returns a new connection's pending error as the error of its accept.
pub fn concerns_one_connection(error: &io::Error) -> bool {
    const PASSED_ON: [Errno; 11] = [
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
    Errno::from_io_error(error).is_some_and(|errno| PASSED_ON.contains(&errno))
}
