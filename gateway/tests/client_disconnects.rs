//! Clients that disconnect, and servers that drain, while a request is open.

mod common;
use common::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

#[tokio::test]
async fn a_passed_deadline_and_a_disconnect_close_the_server_connection() {
    let (mut server, discovery) = (Server::start(ServerBehavior::Hang).await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let mut client = gateway.client().await;
    let short = look("a").replace("\r\n\r\n", "\r\nX-Time-Left-Ms: 1000\r\n\r\n");
    assert_eq!(client.ask(&short).await.start_line.code, 503);
    while !matches!(server.next().await, Seen::Ended) {}
    let mut other = gateway.client().await;
    other.send(&look("b")).await;
    while !matches!(server.next().await, Seen::Request(_)) {}
    drop(other);
    while !matches!(server.next().await, Seen::Ended) {}
}

#[tokio::test]
async fn an_attempt_still_dialling_when_its_client_disconnects_is_not_sent() {
    for cancel in [false, true] {
        let (mut server, discovery) = (UnacceptingServer::start().await, Discovery::start().await);
        let mut told = config_with_unsafe_class(vec![target(1, server.at, "SERVING")], discovery.at);
        told["settings"]["limits"]["cancel"] = cancel.into();
        let gateway = Gateway::start(&told).await;
        let (mut client, mut stays) = (gateway.client().await, gateway.client().await);
        // It dials first, so its connection would be the first to come up.
        client.send(&look("leaves")).await;
        sleep(Duration::from_millis(100)).await;
        drop(client);
        sleep(Duration::from_millis(100)).await;
        stays.send(&look("stays")).await;
        // Only the request whose client is still there comes through, whichever connection comes up first.
        let mut wires = vec![server.hears().await];
        let mut text = String::new();
        while !text.contains("stays") {
            let mut bytes = [0; 4096];
            let wire = wires.last_mut().expect("one");
            match timeout(LONG, wire.read(&mut bytes)).await.expect("a request or an end") {
                Ok(0) | Err(_) => wires.push(server.hears().await),
                Ok(n) => text.push_str(&String::from_utf8_lossy(&bytes[..n])),
            }
        }
        assert!(!text.contains("leaves"), "{text}");
        wires.last_mut().expect("one").write_all(DESK.as_bytes()).await.expect("it is up");
        assert_eq!(stays.answer().await.expect("an answer").start_line.code, 200);
    }
}

#[tokio::test]
async fn a_drain_during_the_dial_keeps_attempts_from_that_server() {
    for mode in ["push", "ask"] {
        let (mut leaving, mut other) = (UnacceptingServer::start().await, Server::start(SERVED).await);
        let mut discovery = Discovery::start().await;
        let mut told = config_with_unsafe_class(vec![target(1, leaving.at, "SERVING")], discovery.at);
        told["settings"]["discovery"] = mode.into();
        let gateway = Gateway::start(&told).await;
        let (_, answer) = discovery.call().await;
        let mut client = gateway.client().await;
        client.send(&unsafe_request("a")).await;
        sleep(Duration::from_millis(100)).await;
        let change = vec![target(1, leaving.at, "DRAINING"), target(2, other.at, "SERVING")];
        answer.send(ok(&list(42, false, change))).expect("asked");
        let _waiting = discovery.call().await;
        assert_eq!(ends(&mut leaving.hears().await).await, 0, "not a byte goes to the one that leaves");
        // It surely never ran there, so even what must not run twice is sent to another.
        assert_eq!(client.answer().await.expect("an answer").start_line.code, 200);
        assert_eq!(other.so_far().0, ["a"]);
    }
}

#[tokio::test]
async fn a_half_closed_client_is_answered_at_once() {
    for (text, cancel, status) in
        [(look("a"), true, 503), (unsafe_request("a"), true, 502), (look("a"), false, 503)]
    {
        let (server, discovery) = (ScriptedServer::start().await, Discovery::start().await);
        let mut told = config_with_unsafe_class(vec![target(1, server.at, "SERVING")], discovery.at);
        told["settings"]["limits"]["cancel"] = cancel.into();
        let gateway = Gateway::start(&told).await;
        let mut client = gateway.client().await;
        client.send(&text).await;
        let mut wire = server.accept().await;
        wire.request().await.expect("it is out");
        client.stream.shutdown().await.expect("it is up");
        let answer = client.answer().await.expect("it still reads");
        assert_eq!(
            (answer.start_line.code, answer.keep_alive, field(&answer, "retry-after")),
            (status, false, "".into())
        );
        if cancel {
            assert!(wire.ends().await, "nobody waits for it any more");
        } else {
            // What is out runs on where it may not be called off, and its answer does no harm.
            wire.write(DESK).await;
            let mut next = gateway.client().await;
            next.send(&look("b")).await;
            assert_eq!(field(&wire.request().await.expect("the same connection"), "x-correlation-id"), "b");
            wire.write(DESK).await;
            assert_eq!(next.answer().await.expect("an answer").start_line.code, 200);
        }
    }
}

#[tokio::test]
async fn a_disconnect_behind_much_read_ahead_is_noticed() {
    for bytes in [100, 4096, 5000, 300_000] {
        let (_gateway, _server, mut client, mut wire) = request_in_flight().await;
        client.send(&"x".repeat(bytes)).await;
        drop(client);
        assert!(wire.ends().await, "{bytes} early bytes: the attempt ends with its client");
    }
    // One that never leaves and never stops counts as having left, and one that sends a little is served.
    let (server, discovery) = (ScriptedServer::start().await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let (mut floods, mut early) = (gateway.client().await, gateway.client().await);
    floods.send(&look("a")).await;
    let mut wire = server.accept().await;
    wire.request().await.expect("it is out");
    let part = "x".repeat(1 << 16);
    let flood = async { while floods.stream.write_all(part.as_bytes()).await.is_ok() {} };
    let (ended, ()) = tokio::join!(wire.ends(), flood);
    assert!(ended, "its attempt ends, and so does its connection");
    early.send(&format!("{}{}", look("b"), "x".repeat(5000))).await;
    let mut wire = server.accept().await;
    wire.request().await.expect("it is out");
    wire.write(DESK).await;
    let answer = early.answer().await.expect("an answer");
    assert_eq!((answer.start_line.code, answer.keep_alive), (200, false));
}

#[tokio::test]
async fn no_further_request_is_read_from_a_disconnected_client() {
    let (gateway, server, mut client, mut wire) = request_in_flight().await;
    // Its next request waits behind the first one.
    client.send(&look("b")).await;
    client.stream.shutdown().await.expect("it is up");
    assert_eq!(client.answer().await.expect("an answer").start_line.code, 503);
    assert!(wire.ends().await);
    let mut other = gateway.client().await;
    other.send(&look("c")).await;
    let mut wire = server.accept().await;
    assert_eq!(field(&wire.request().await.expect("a request"), "x-correlation-id"), "c");
}

#[tokio::test]
async fn no_attempt_begins_after_the_client_has_disconnected() {
    for cancel in [false, true] {
        let (one, two, discovery) =
            (ScriptedServer::start().await, ScriptedServer::start().await, Discovery::start().await);
        let known = vec![target(1, one.at, "SERVING"), target(2, two.at, "SERVING")];
        let mut told = config_with_unsafe_class(known, discovery.at);
        told["settings"]["limits"]["cancel"] = cancel.into();
        let gateway = Gateway::start(&told).await;
        let mut client = gateway.client().await;
        client.send(&look("a")).await;
        let (mut wire, other) = tokio::select! {
            wire = one.accept() => (wire, &two),
            wire = two.accept() => (wire, &one),
        };
        wire.request().await.expect("whole");
        // Its answer tells that the leave has been heard. Then the server turns the attempt away, which could be sent again.
        client.stream.shutdown().await.expect("it is up");
        assert_eq!(client.answer().await.expect("an answer").start_line.code, 503);
        let _ =
            wire.stream.write_all(b"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n").await;
        // Whatever comes next, at either server, is the next client's.
        let mut next = gateway.client().await;
        next.send(&look("b")).await;
        let mut wire = tokio::select! {
            biased;
            request = wire.request() => match request {
                Some(request) => {
                    assert_eq!(field(&request, "x-correlation-id"), "b");
                    continue;
                }
                None => tokio::select! {
                    wire = one.accept() => wire,
                    wire = two.accept() => wire,
                },
            },
            wire = other.accept() => wire,
        };
        assert_eq!(
            field(&wire.request().await.expect("a request"), "x-correlation-id"),
            "b",
            "cancel {cancel}"
        );
    }
}
