//! Sockets that lack an option.

mod common;
use tokio::io::AsyncWriteExt;

#[tokio::test]
async fn a_connection_without_tcp_nodelay_is_usable() {
    // Such a socket refuses TCP_NODELAY as one of another family does.
    let (ours, theirs) = std::os::unix::net::UnixStream::pair().expect("a pair");
    ours.set_nonblocking(true).expect("non-blocking");
    let odd = std::net::TcpStream::from(std::os::fd::OwnedFd::from(ours));
    assert!(odd.set_nodelay(true).is_err(), "the option is taken: this test shows nothing");
    let odd = tokio::net::TcpStream::from_std(odd).expect("a stream");
    let mut stream = ternstack_gateway::sockets::with_nodelay(Ok(odd)).expect("a connection that goes on");
    stream.write_all(b"attempt").await.expect("written");
    drop(stream);
    let mut read = String::new();
    std::io::Read::read_to_string(&mut &theirs, &mut read).expect("read");
    assert_eq!(read, "attempt");
}
