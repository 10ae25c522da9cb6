//! Sockets on which an option cannot be set.

mod common;
use tokio::io::AsyncWriteExt;

#[tokio::test]
async fn a_connection_without_tcp_nodelay_is_usable() {
    // The test uses a Unix socket, because the kernel refuses TCP_NODELAY on every Unix socket.
    let (local, peer) = std::os::unix::net::UnixStream::pair().expect("a socket pair is created");
    local.set_nonblocking(true).expect("the socket can be made non-blocking");
    let socket = std::net::TcpStream::from(std::os::fd::OwnedFd::from(local));
    assert!(socket.set_nodelay(true).is_err(), "the socket refuses TCP_NODELAY, which the test requires");
    let socket = tokio::net::TcpStream::from_std(socket).expect("the socket becomes a tokio stream");
    let mut stream = ternstack_gateway::sockets::with_nodelay(Ok(socket))
        .expect("the connection is kept without TCP_NODELAY");
    stream.write_all(b"attempt").await.expect("the bytes are written");
    drop(stream);
    let mut received = String::new();
    std::io::Read::read_to_string(&mut &peer, &mut received).expect("the bytes are read");
    assert_eq!(received, "attempt");
}
