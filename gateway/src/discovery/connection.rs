//! The connection to discovery, and the descriptor that is reserved for the connection.
use super::error::WatchError;
use super::silence::Silence;
use crate::http1::{CompleteMessage, Reader, StatusLine};
use crate::memory::{Memory, MemoryLease};
use crate::memory_budget::Work;
use crate::sockets::{self, has_no_route, is_local, socket, with_nodelay};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout_at, Instant};
use tracing::debug;

/// A list up to this size reserves nothing in the memory budget, so that it never waits for memory.
const SMALL_LIST_BYTES: usize = 256 * 1024;
/// The delay before a connection attempt is repeated that failed because of this machine.
const LOCAL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The connection to discovery. It always holds one descriptor, for the open connection or for the next one,
/// because clients could otherwise take all descriptors while discovery is down, and the gateway could not
/// reconnect.
pub(super) struct DiscoveryConnection {
    connect_timeout: Duration,
    stream: Option<TcpStream>,
    reserved: Option<TcpSocket>,
    /// The memory of a large response while it is received.
    lease: MemoryLease,
    silence: Silence,
}

impl DiscoveryConnection {
    pub(super) fn new(connect_timeout: Duration, memory: &Arc<Memory>) -> Self {
        let lease = memory.lease(Work::Accepted);
        DiscoveryConnection {
            connect_timeout,
            stream: None,
            reserved: None,
            lease,
            silence: Silence::default(),
        }
    }

    /// Returns the silence of discovery on this connection, which later changes as the connection is used.
    pub(super) fn silence(&self) -> Silence {
        self.silence.clone()
    }

    /// Closes the connection, releases its memory, and reserves its descriptor by opening an unconnected socket. No
    /// other task can take the descriptor, because none runs in between.
    pub(super) fn reserve(&mut self, address: SocketAddr) {
        self.stream = None;
        self.lease.set_bytes(0);
        self.reserved = self.reserved.take().or_else(|| socket(address).ok());
    }

    /// Opens a connection by `deadline`. While this machine lacks a route, a descriptor, a port or memory,
    /// connecting is repeated after [`LOCAL_RETRY_DELAY`] without the balancer's backoff, because such a
    /// failure puts no load on discovery.
    pub(super) async fn dial(&mut self, address: SocketAddr, deadline: Instant) -> Result<(), WatchError> {
        loop {
            self.reserve(address);
            self.silence.restart();
            match self.connect(address, deadline.min(Instant::now() + self.connect_timeout)).await {
                Ok(stream) => {
                    self.stream = Some(stream);
                    return Ok(());
                }
                Err(e)
                    if (is_local(&e) || has_no_route(&e))
                        && Instant::now() + LOCAL_RETRY_DELAY < deadline =>
                {
                    debug!(error = %e, "cannot connect to discovery; retrying");
                    self.silence.end();
                    sleep(LOCAL_RETRY_DELAY).await;
                }
                Err(e) => return Err(WatchError::Connect(e)),
            }
        }
    }

    /// Opens a connection by `deadline`, on the reserved socket if it has the family of `address`.
    async fn connect(&mut self, address: SocketAddr, deadline: Instant) -> io::Result<TcpStream> {
        let is_same_family =
            |socket: &TcpSocket| socket.local_addr().is_ok_and(|own| own.is_ipv4() == address.is_ipv4());
        let socket = match self.reserved.take().filter(is_same_family) {
            Some(reserved) => reserved,
            None => socket(address)?,
        };
        with_nodelay(timeout_at(deadline, socket.connect(address)).await?)
    }

    /// Sends a request and waits for the complete response.
    pub(super) async fn call(
        &mut self, reader: &mut Reader<StatusLine>, request: &str,
    ) -> Result<CompleteMessage<StatusLine>, WatchError> {
        let stream = self.stream.as_ref().ok_or(WatchError::Closed)?;
        sockets::write_all(stream, &mut request.as_bytes()).await.map_err(WatchError::Send)?;
        self.silence.begin();
        let mut is_closed = false;
        loop {
            match reader.next(is_closed)? {
                Some(response) => {
                    self.lease.set_bytes(0);
                    return Ok(response);
                }
                None if is_closed && reader.has_begun() => return Err(WatchError::Truncated),
                None if is_closed => return Err(WatchError::Closed),
                None => {}
            }
            if reader.memory_bytes() > SMALL_LIST_BYTES {
                self.lease.reserve(reader.memory_bytes().max(reader.max_memory_bytes())).await?;
            }
            let read = sockets::read(stream, reader.buffer()).await;
            let received =
                |e| if reader.has_begun() { WatchError::Truncated } else { WatchError::Receive(e) };
            is_closed = read.map_err(received)? == 0;
            if !is_closed {
                self.silence.end();
            }
        }
    }
}
