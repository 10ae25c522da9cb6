//! What every new connection is given, whoever opened it.
use std::io;
use tokio::net::TcpStream;
use tracing::debug;

/// Has a new connection send at once what is written to it. Guards against losing a connection that is up: the
/// option serves speed only, and where a socket does not take it the connection still carries all it is given.
pub fn opened(connection: io::Result<TcpStream>) -> io::Result<TcpStream> {
    let stream = connection?;
    if let Err(e) = stream.set_nodelay(true) {
        debug!("TCP_NODELAY: {e}; the connection goes on without");
    }
    Ok(stream)
}
