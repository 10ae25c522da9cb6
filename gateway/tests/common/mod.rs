//! What the gateway's tests share: stub servers, a stub discovery, clients, and the gateway between them.
#![allow(dead_code, reason = "no test file uses all of these")]

mod discovery;
mod fixtures;
mod gateway;
mod servers;

#[allow(unused_imports, reason = "no test file uses all of these")]
pub use {discovery::*, fixtures::*, gateway::*, servers::*};

use std::net::SocketAddr;
use std::time::Duration;
use ternstack_gateway::http1::{CompleteMessage, Reader, StartLine};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Far longer than anything here takes: a test that hangs ends, and none depends on speed.
pub const LONG: Duration = Duration::from_secs(60);

/// Keeps a paused clock from moving by itself: it would, whenever nobody has work, and bytes on their way are no work.
/// It moves on by a millisecond after each pause for the sockets, or where the test moves it.
pub fn hold_clock(moves: bool) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            for _ in 0..20 {
                tokio::task::yield_now().await;
            }
            std::thread::sleep(Duration::from_micros(200));
            if moves {
                tokio::time::advance(Duration::from_millis(1)).await;
            }
        }
    })
}

/// The next whole request of a connection; `None` if it ends first.
pub async fn next<S: StartLine>(
    stream: &mut TcpStream, reader: &mut Reader<S>,
) -> Option<CompleteMessage<S>> {
    let mut ended = false;
    loop {
        match reader.next(ended) {
            Ok(Some(request)) => return Some(request),
            Ok(None) if !ended => {}
            _ => return None,
        }
        ended = stream.read_buf(reader.buffer()).await.unwrap_or(0) == 0;
    }
}

pub fn field<S>(request: &CompleteMessage<S>, name: &str) -> String {
    request.fields.text(name).unwrap_or("").to_string()
}

/// Reads a connection to its end, by a close or a reset; the bytes that came.
pub async fn ends(stream: &mut TcpStream) -> usize {
    let mut bytes = Vec::new();
    let _ = timeout(LONG, stream.read_to_end(&mut bytes)).await.expect("it ends");
    bytes.len()
}

/// A port that is bound and does not listen: connections to it are refused, and no other process is given it meanwhile.
pub struct ReservedPort {
    pub at: SocketAddr,
    socket: TcpSocket,
}

impl ReservedPort {
    pub fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("a free port");
        ReservedPort { at: socket.local_addr().expect("an address"), socket }
    }

    /// Listens at the port from now on.
    pub fn listen(self) -> TcpListener {
        self.socket.listen(1024).expect("the port is reserved")
    }
}

/// An address at which nobody answers, as long as the test's process runs.
pub async fn nobody() -> SocketAddr {
    let port = ReservedPort::new();
    let at = port.at;
    // The socket stays open, so that the port is given to nobody else.
    std::mem::forget(port);
    at
}
