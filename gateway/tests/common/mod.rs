//! Helpers shared by the gateway's tests: stub endpoints, a stub discovery, clients, and a gateway between
//! them.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

mod discovery;
mod failing_discovery;
mod fixtures;
mod gateway;
mod servers;

#[allow(unused_imports, reason = "each test file uses only some of the helpers")]
pub use {discovery::*, failing_discovery::*, fixtures::*, gateway::*, servers::*};

use std::net::SocketAddr;
use std::time::Duration;
use ternstack_gateway::http1::{CompleteMessage, Reader, StartLine};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The time after which a test that waits for an event fails. The timeout is far longer than any event takes,
/// so that no test depends on the speed of the machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Keeps tokio's paused clock from advancing by itself. Tokio advances a paused clock whenever no task is
/// ready, even while bytes are in transit between sockets. If `auto_advance` is true, the clock advances by
/// 1 ms after each pause that gives the sockets time to become ready; otherwise only the test advances it.
pub fn start_clock_driver(auto_advance: bool) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            for _ in 0..20 {
                tokio::task::yield_now().await;
            }
            std::thread::sleep(Duration::from_micros(200));
            if auto_advance {
                tokio::time::advance(Duration::from_millis(1)).await;
            }
        }
    })
}

/// Reads the next complete message from a connection; returns `None` if the connection ends first or the
/// message is malformed.
pub async fn read_message<S: StartLine>(
    stream: &mut TcpStream, reader: &mut Reader<S>,
) -> Option<CompleteMessage<S>> {
    let mut is_closed = false;
    loop {
        match reader.next(is_closed) {
            Ok(Some(message)) => return Some(message),
            Ok(None) if !is_closed => {}
            _ => return None,
        }
        is_closed = stream.read_buf(reader.buffer()).await.unwrap_or(0) == 0;
    }
}

/// Returns the value of a message's header; empty if the message has no such header.
pub fn header_value<S>(message: &CompleteMessage<S>, name: &str) -> String {
    message.fields.text(name).unwrap_or("").to_string()
}

/// Reads from a connection until the peer closes or resets it; returns the number of bytes read.
pub async fn read_until_closed(stream: &mut TcpStream) -> usize {
    let mut bytes = Vec::new();
    let _ = timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await.expect("the connection is closed");
    bytes.len()
}

/// A port that is bound but not listening: connections to the port are refused, and no other process can be
/// given the port.
pub struct ReservedPort {
    pub address: SocketAddr,
    socket: TcpSocket,
}

impl ReservedPort {
    pub fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket is created");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("a free port is bound");
        ReservedPort { address: socket.local_addr().expect("a bound socket has an address"), socket }
    }

    /// Starts listening on the port.
    pub fn listen(self) -> TcpListener {
        self.socket.listen(1024).expect("the reserved port can be listened on")
    }
}

/// Returns an address that refuses connections until the test process ends.
pub async fn refusing_address() -> SocketAddr {
    let port = ReservedPort::new();
    let address = port.address;
    // The socket is never closed, so that the port is not given to another process.
    std::mem::forget(port);
    address
}
