//! Each fault of a link does what it says, in its own direction only.
use std::net::SocketAddr;
use std::time::Duration;
use ternstack_fault_tests::links::{
    ConnectionHandling, CutAction, DirectionFaults, Link, LinkFaults, UdpLinkPair,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

/// Far longer than anything here takes.
const LONG: Duration = Duration::from_secs(30);
/// Nothing came: so long is waited for what must not come.
const SHORT: Duration = Duration::from_millis(150);

/// A peer that sends back what it reads.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let at = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    at
}

/// What comes back of `text` through a link, until it ends or falls silent; and whether that was a reset.
async fn through(link: &Link, text: &str) -> (String, &'static str) {
    let Ok(mut stream) = TcpStream::connect(link.address).await else { return (String::new(), "refused") };
    // A write that fails shows as a reset at the next read.
    let _ = stream.write_all(text.as_bytes()).await;
    let mut got = Vec::new();
    loop {
        match timeout(SHORT, stream.read_buf(&mut got)).await {
            Err(_) => return (String::from_utf8_lossy(&got).into_owned(), "silent"),
            Ok(Ok(0)) => return (String::from_utf8_lossy(&got).into_owned(), "ended"),
            Ok(Ok(_)) if got.len() < text.len() => {}
            Ok(Ok(_)) => return (String::from_utf8_lossy(&got).into_owned(), "whole"),
            Ok(Err(_)) => return (String::from_utf8_lossy(&got).into_owned(), "reset"),
        }
    }
}

#[tokio::test]
async fn every_fault_of_a_link_does_what_it_says() {
    let link = Link::to(echo().await).await.expect("a link");
    let cut = |after, then| DirectionFaults { cut_after: Some((after, then)), ..DirectionFaults::default() };
    let stalled = DirectionFaults { stalled: true, ..DirectionFaults::default() };
    let forward = |faults| LinkFaults { forward: faults, ..LinkFaults::default() };
    let reverse = |faults| LinkFaults { reverse: faults, ..LinkFaults::default() };
    let new = |connection_handling| LinkFaults { connection_handling, ..LinkFaults::default() };
    for (faults, got, end) in [
        (LinkFaults::default(), "message", "whole"),
        (new(ConnectionHandling::Refused), "", "refused"),
        (new(ConnectionHandling::Reset), "", "reset"),
        (new(ConnectionHandling::BlackHole), "", "silent"),
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
        // A link that listens again needs a moment for it.
        let mut seen = through(&link, "message").await;
        while faults.connection_handling != ConnectionHandling::Refused && seen.1 == "refused"
            || faults.connection_handling == ConnectionHandling::Refused && seen.1 != "refused"
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
            seen = through(&link, "message").await;
        }
        assert_eq!((seen.0.as_str(), seen.1), (got, end), "{faults:?}");
        let was_hit = link.take_hit_count() > 0;
        assert_eq!(
            was_hit,
            faults != LinkFaults::default() && faults.connection_handling != ConnectionHandling::Refused,
            "{faults:?}"
        );
    }
}

#[tokio::test]
async fn what_was_held_goes_on_once_a_cut_heals_and_a_reset_ends_what_is_open() {
    let link = Link::to(echo().await).await.expect("a link");
    let mut stream = TcpStream::connect(link.address).await.expect("it is up");
    link.set(LinkFaults::partition());
    stream.write_all(b"held").await.expect("written");
    let mut got = [0; 4];
    assert!(timeout(SHORT, stream.read_exact(&mut got)).await.is_err(), "it crossed a cut");
    link.set(LinkFaults::default());
    timeout(LONG, stream.read_exact(&mut got)).await.expect("in time").expect("it comes");
    assert_eq!(&got, b"held");
    link.reset();
    assert!(timeout(LONG, stream.read(&mut got)).await.expect("in time").is_err());
}

#[tokio::test]
async fn datagrams_are_lost_repeated_and_reordered_in_one_direction_only() {
    let bind = || UdpSocket::bind("127.0.0.1:0");
    let (first, second) = (bind().await.expect("a socket"), bind().await.expect("a socket"));
    let at = |s: &UdpSocket| s.local_addr().expect("an address");
    let pair = UdpLinkPair::between(at(&first), at(&second), 7).await.expect("links");
    let none = DirectionFaults::default();
    for (forward, expected) in [
        (none, vec!["1", "2", "3"]),
        (DirectionFaults { loss_ratio: 1.0, ..none }, vec![]),
        (DirectionFaults { stalled: true, ..none }, vec![]),
        (DirectionFaults { duplicate_ratio: 1.0, ..none }, vec!["1", "1", "2", "2", "3", "3"]),
        (DirectionFaults { reorder_ratio: 1.0, ..none }, vec!["2", "1"]),
    ] {
        pair.set(forward, DirectionFaults::default());
        for text in ["1", "2", "3"] {
            first.send_to(text.as_bytes(), pair.first_sends_to).await.expect("sent");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let mut got = Vec::new();
        let mut datagram = [0; 16];
        while let Ok(Ok((len, from))) = timeout(SHORT, second.recv_from(&mut datagram)).await {
            assert_eq!(from, pair.second_sends_to, "the peer is seen at another address than was told");
            got.push(String::from_utf8_lossy(&datagram[..len]).into_owned());
        }
        assert_eq!(got, expected, "{forward:?}");
        // The other direction is sound all the while.
        second.send_to(b"back", pair.second_sends_to).await.expect("sent");
        let (len, from) =
            timeout(LONG, first.recv_from(&mut datagram)).await.expect("in time").expect("heard");
        assert_eq!((&datagram[..len], from), (&b"back"[..], pair.first_sends_to));
    }
}
