//! The connection to discovery, and the descriptor that is reserved for it.
use super::WatchError;
use crate::http1::{CompleteMessage, Reader, StatusLine};
use crate::sockets::{self, has_no_route, is_local, socket, with_nodelay};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout_at, Instant};
use tracing::debug;

/// The pause before a connection that failed on this machine is tried again.
const LOCAL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The connection to discovery. It always holds one descriptor, for the connection that is up or the next one: clients
/// that take all descriptors while discovery is down would otherwise keep its return from being noticed.
pub(super) struct DiscoveryConnection {
    connect_timeout: Duration,
    stream: Option<TcpStream>,
    reserved: Option<TcpSocket>,
}

impl DiscoveryConnection {
    pub(super) fn new(connect_timeout: Duration) -> Self {
        DiscoveryConnection { connect_timeout, stream: None, reserved: None }
    }

    /// Closes the connection and reserves its descriptor. No other task runs in between and could take it.
    pub(super) fn reserve(&mut self, address: SocketAddr) {
        self.stream = None;
        self.reserved = self.reserved.take().or_else(|| socket(address).ok());
    }

    /// Opens a connection by `deadline`. Until then it is tried again while this machine lacks something for it: such a
    /// failure has not reached discovery, so that the backoff that spares discovery does not apply.
    pub(super) async fn dial(&mut self, address: SocketAddr, deadline: Instant) -> Result<(), WatchError> {
        loop {
            self.reserve(address);
            match self.connect(address, deadline.min(Instant::now() + self.connect_timeout)).await {
                Ok(stream) => {
                    self.stream = Some(stream);
                    return Ok(());
                }
                Err(e)
                    if (is_local(&e) || has_no_route(&e))
                        && Instant::now() + LOCAL_RETRY_DELAY < deadline =>
                {
                    debug!("discovery: cannot connect: {e}; trying again");
                    sleep(LOCAL_RETRY_DELAY).await;
                }
                Err(e) => return Err(WatchError::Connect(e)),
            }
        }
    }

    /// Opens a connection by `deadline` on the reserved descriptor.
    async fn connect(&mut self, address: SocketAddr, deadline: Instant) -> io::Result<TcpStream> {
        let is_same_family =
            |socket: &TcpSocket| socket.local_addr().is_ok_and(|own| own.is_ipv4() == address.is_ipv4());
        let socket = match self.reserved.take().filter(is_same_family) {
            Some(reserved) => reserved,
            None => socket(address)?,
        };
        with_nodelay(timeout_at(deadline, socket.connect(address)).await?)
    }

    /// Sends a request and receives the response.
    pub(super) async fn call(
        &mut self, reader: &mut Reader<StatusLine>, request: &str,
    ) -> Result<CompleteMessage<StatusLine>, WatchError> {
        let stream = self.stream.as_ref().ok_or(WatchError::Closed)?;
        sockets::write_all(stream, &mut request.as_bytes()).await.map_err(WatchError::Send)?;
        let mut is_closed = false;
        loop {
            match reader.next(is_closed)? {
                Some(response) => return Ok(response),
                None if is_closed => return Err(WatchError::Closed),
                None => {}
            }
            let read_bytes = sockets::read(stream, reader.buffer()).await.map_err(WatchError::Receive)?;
            is_closed = read_bytes == 0;
        }
    }
}
