//! Each fault of a link takes effect, and only in the direction that the fault is set for.
use std::net::SocketAddr;
use std::time::Duration;
use ternstack_fault_tests::links::{
    ConnectionHandling, CutAction, DirectionFaults, Link, LinkFaults, UdpLinkPair,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

/// Time limit for data that must arrive; no case takes nearly as long.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without data after which a link counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// Starts a server that sends back all data that it reads, and returns its address.
async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port can be bound");
    let address = listener.local_addr().expect("a bound socket has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

/// Sends `text` through a link to an echo server. Returns the received part of `text` and how the exchange
/// ended: `refused`, `silent`, `ended`, `reset`, or `whole` if all of `text` was received.
async fn exchange(link: &Link, text: &str) -> (String, &'static str) {
    let Ok(mut stream) = TcpStream::connect(link.address).await else { return (String::new(), "refused") };
    // A failed write is ignored, because the next read then fails as well.
    let _ = stream.write_all(text.as_bytes()).await;
    let mut received = Vec::new();
    loop {
        match timeout(SILENCE_TIMEOUT, stream.read_buf(&mut received)).await {
            Err(_) => return (String::from_utf8_lossy(&received).into_owned(), "silent"),
            Ok(Ok(0)) => return (String::from_utf8_lossy(&received).into_owned(), "ended"),
            Ok(Ok(_)) if received.len() < text.len() => {}
            Ok(Ok(_)) => return (String::from_utf8_lossy(&received).into_owned(), "whole"),
            Ok(Err(_)) => return (String::from_utf8_lossy(&received).into_owned(), "reset"),
        }
    }
}

#[tokio::test]
async fn link_applies_each_fault_only_in_its_direction() {
    let link = Link::to(start_echo_server().await).await.expect("the link's listener can be bound");
    let cut =
        |after, action| DirectionFaults { cut_after: Some((after, action)), ..DirectionFaults::default() };
    let stalled = DirectionFaults { stalled: true, ..DirectionFaults::default() };
    let forward = |faults| LinkFaults { forward: faults, ..LinkFaults::default() };
    let reverse = |faults| LinkFaults { reverse: faults, ..LinkFaults::default() };
    let handling = |connection_handling| LinkFaults { connection_handling, ..LinkFaults::default() };
    for (faults, expected_text, expected_end) in [
        (LinkFaults::default(), "message", "whole"),
        (handling(ConnectionHandling::Refused), "", "refused"),
        (handling(ConnectionHandling::Reset), "", "reset"),
        (handling(ConnectionHandling::BlackHole), "", "silent"),
        (forward(stalled), "", "silent"),
        (reverse(stalled), "", "silent"),
        (forward(cut(3, CutAction::Silence)), "mes", "silent"),
        (reverse(cut(3, CutAction::Silence)), "mes", "silent"),
        (reverse(cut(3, CutAction::End)), "mes", "ended"),
        (reverse(cut(3, CutAction::Reset)), "mes", "reset"),
        (forward(DirectionFaults { delay_ms: 20, ..DirectionFaults::default() }), "message", "whole"),
        (reverse(DirectionFaults { jitter_ms: 20, ..DirectionFaults::default() }), "message", "whole"),
        (
            reverse(DirectionFaults { bytes_per_s: Some(200), ..DirectionFaults::default() }),
            "message",
            "whole",
        ),
        (LinkFaults::default(), "message", "whole"),
    ] {
        link.take_hit_count();
        link.set(faults);
        // A link takes a moment to close its listener or to bind it again.
        let mut outcome = exchange(&link, "message").await;
        while faults.connection_handling != ConnectionHandling::Refused && outcome.1 == "refused"
            || faults.connection_handling == ConnectionHandling::Refused && outcome.1 != "refused"
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
            outcome = exchange(&link, "message").await;
        }
        assert_eq!((outcome.0.as_str(), outcome.1), (expected_text, expected_end), "{faults:?}");
        let was_hit = link.take_hit_count() > 0;
        assert_eq!(
            was_hit,
            faults != LinkFaults::default() && faults.connection_handling != ConnectionHandling::Refused,
            "{faults:?}"
        );
    }
}

#[tokio::test]
async fn link_delivers_stalled_data_after_a_partition_and_reset_ends_open_connections() {
    let link = Link::to(start_echo_server().await).await.expect("the link's listener can be bound");
    let mut stream = TcpStream::connect(link.address).await.expect("the link accepts connections");
    link.set(LinkFaults::partition());
    stream.write_all(b"held").await.expect("the link accepts data");
    let mut received = [0; 4];
    assert!(
        timeout(SILENCE_TIMEOUT, stream.read_exact(&mut received)).await.is_err(),
        "data crossed a partitioned link"
    );
    link.set(LinkFaults::default());
    timeout(ARRIVAL_TIMEOUT, stream.read_exact(&mut received))
        .await
        .expect("stalled data arrives in time")
        .expect("the connection stays open");
    assert_eq!(&received, b"held");
    link.reset();
    assert!(timeout(ARRIVAL_TIMEOUT, stream.read(&mut received))
        .await
        .expect("the reset arrives in time")
        .is_err());
}

#[tokio::test]
async fn udp_link_loses_duplicates_and_reorders_datagrams_only_in_the_faulty_direction() {
    let bind = || UdpSocket::bind("127.0.0.1:0");
    let (first, second) =
        (bind().await.expect("a UDP socket can be bound"), bind().await.expect("a UDP socket can be bound"));
    let address = |socket: &UdpSocket| socket.local_addr().expect("a bound socket has an address");
    let pair = UdpLinkPair::between(address(&first), address(&second), 7)
        .await
        .expect("the links' sockets can be bound");
    let no_faults = DirectionFaults::default();
    for (forward, expected) in [
        (no_faults, vec!["1", "2", "3"]),
        (DirectionFaults { loss_ratio: 1.0, ..no_faults }, vec![]),
        (DirectionFaults { stalled: true, ..no_faults }, vec![]),
        (DirectionFaults { duplicate_ratio: 1.0, ..no_faults }, vec!["1", "1", "2", "2", "3", "3"]),
        (DirectionFaults { reorder_ratio: 1.0, ..no_faults }, vec!["2", "1"]),
    ] {
        pair.set(forward, DirectionFaults::default());
        for text in ["1", "2", "3"] {
            first.send_to(text.as_bytes(), pair.first_sends_to).await.expect("the datagram can be sent");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let mut received = Vec::new();
        let mut datagram = [0; 16];
        while let Ok(Ok((len, from))) = timeout(SILENCE_TIMEOUT, second.recv_from(&mut datagram)).await {
            assert_eq!(
                from, pair.second_sends_to,
                "a datagram arrives from the address that its receiver sends to"
            );
            received.push(String::from_utf8_lossy(&datagram[..len]).into_owned());
        }
        assert_eq!(received, expected, "{forward:?}");
        // The reverse direction has no fault.
        second.send_to(b"back", pair.second_sends_to).await.expect("the datagram can be sent");
        let (len, from) = timeout(ARRIVAL_TIMEOUT, first.recv_from(&mut datagram))
            .await
            .expect("the datagram arrives in time")
            .expect("the socket can be read");
        assert_eq!((&datagram[..len], from), (&b"back"[..], pair.first_sends_to));
    }
}
