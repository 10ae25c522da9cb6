//! Clients' connections: invalid and slow requests, limits, eviction, pipelining and close.

mod common;
use common::*;
use serde_json::json;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::{sleep, timeout};

#[tokio::test]
async fn invalid_requests_get_the_reason_and_are_not_forwarded() {
    let (mut server, discovery) = (Server::start(SERVED).await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let long = format!("GET /api HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(20_000));
    let api = |fields: &str| format!("GET /api HTTP/1.1\r\n{fields}\r\n\r\n");
    for (text, status) in [
        ("\u{1}\u{2} garbage\r\n\r\n".into(), 400),
        (api("X-Service-Class: look"), 400),
        (api("X-Correlation-Id:\r\nX-Service-Class: look"), 400),
        (api("X-Correlation-Id: a\r\nX-Correlation-Id: b\r\nX-Service-Class: look"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: lunch"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: book"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: look\r\nX-Time-Left-Ms: soon"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: look\r\nX-Time-Left-Ms: -5"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: look\r\nX-Time-Left-Ms: 1e2"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: look\r\nContent-Length: x"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: look\r\nContent-Length: 65537"), 413),
        (look("a").replace("GET", "DELETE"), 405),
        (look("a").replace("/api", "/apis"), 404),
        (long, 431),
    ] {
        let mut client = gateway.client().await;
        let answer = client.ask(&text).await;
        assert_eq!(
            (answer.start_line.code, answer.keep_alive),
            (status, status == 404),
            "{}",
            &text[..text.len().min(99)]
        );
    }
    assert_eq!(server.so_far(), (vec![], 0));
    // An unknown tenant is none.
    let text = look("a").replace("\r\n\r\n", "\r\nX-Account: nobody\r\n\r\n");
    assert_eq!(gateway.client().await.ask(&text).await.start_line.code, 200);
}

#[tokio::test]
async fn a_correlation_id_is_invalid_while_its_request_is_open() {
    let (mut server, discovery) = (Server::start(ServerBehavior::Hang).await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let mut first = gateway.client().await;
    first.send(&look("a")).await;
    while !matches!(server.next().await, Seen::Request(_)) {}
    let answer = gateway.client().await.ask(&look("a")).await;
    assert_eq!((answer.start_line.code, answer.keep_alive), (400, false));
    drop(first);
    while !matches!(server.next().await, Seen::Ended) {}
    let mut second = gateway.client().await;
    second.send(&look("a")).await;
    while !matches!(server.next().await, Seen::Request(_)) {}
}

#[tokio::test]
async fn silent_idle_and_slow_clients_time_out() {
    let (server, discovery) = (Server::start(SERVED).await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let (mut silent, mut once, mut half) =
        (gateway.client().await, gateway.client().await, gateway.client().await);
    assert_eq!(once.ask(&look("once")).await.start_line.code, 200);
    half.send("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\ndesk").await;
    assert!(silent.answer().await.is_none() && once.answer().await.is_none());
    assert_eq!(half.answer().await.expect("an answer").start_line.code, 408);
}

#[tokio::test]
async fn an_error_response_reaches_a_client_that_is_still_sending() {
    let discovery = Discovery::start().await;
    let gateway = Gateway::start(&config(vec![], discovery.at)).await;
    let Client { stream } = gateway.client().await;
    let (mut reads, mut writes) = stream.into_split();
    let sending = tokio::spawn(async move {
        let head = "POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n";
        let _ = tokio::io::AsyncWriteExt::write_all(&mut writes, head.as_bytes()).await;
        let part = vec![b'x'; 1 << 16];
        let mut sent = 0;
        while tokio::io::AsyncWriteExt::write_all(&mut writes, &part).await.is_ok() && sent < 900 {
            sent += 1;
        }
    });
    let mut start = [0; 12];
    tokio::io::AsyncReadExt::read_exact(&mut reads, &mut start).await.expect("an answer");
    assert_eq!(&start, b"HTTP/1.1 413");
    sending.await.expect("it ends");
}

#[tokio::test]
async fn requests_beyond_max_open_are_rejected() {
    let (mut server, discovery) = (Server::start(ServerBehavior::Hang).await, Discovery::start().await);
    let mut told = config(vec![target(1, server.at, "SERVING")], discovery.at);
    told["settings"]["limits"]["max_open"] = json!(1);
    let gateway = Gateway::start(&told).await;
    let mut first = gateway.client().await;
    first.send(&look("a")).await;
    while !matches!(server.next().await, Seen::Request(_)) {}
    let answer = gateway.client().await.ask(&look("b")).await;
    assert_eq!((answer.start_line.code, field(&answer, "retry-after")), (503, "2.000".into()));
}

#[tokio::test]
async fn clients_beyond_the_descriptor_budget_are_rejected() {
    let (mut server, discovery) = (Server::start(ServerBehavior::Hang).await, Discovery::start().await);
    let mut told = config(vec![target(1, server.at, "SERVING")], discovery.at);
    told["limits"]["sockets"] = json!(64); // 16 for clients and servers: seven open requests, and room kept for servers
    let gateway = Gateway::start(&told).await;
    let mut clients = Vec::new();
    for n in 0..7 {
        clients.push(gateway.client().await);
        clients[n].send(&look(&format!("id-{n}"))).await;
        while !matches!(server.next().await, Seen::Request(_)) {}
    }
    let answer = gateway.client().await.ask(&look("late")).await;
    assert_eq!((answer.start_line.code, answer.keep_alive), (503, false));
    assert_eq!(server.so_far().0, Vec::<String>::new());
    // Room again: connections that stand idle end for it.
    drop(clients);
    for n in 0..7 {
        while !matches!(server.next().await, Seen::Ended) {}
        let mut idle = gateway.client().await;
        assert_eq!(idle.ask("GET /ready HTTP/1.1\r\n\r\n").await.start_line.code, 200, "{n}");
    }
}

#[tokio::test(start_paused = true)]
async fn bytes_that_cross_the_close_of_an_idle_connection_are_not_reset() {
    let _clock = hold_clock(true);
    let discovery = Discovery::start().await;
    let gateway = Gateway::start(&config(vec![], discovery.at)).await;
    for late in ["G", "GET /ready HTTP/1.1\r\n", "GET /ready HTTP/1.1\r\n\r\n"] {
        let mut client = gateway.client().await;
        assert_eq!(client.ask("GET /ready HTTP/1.1\r\n\r\n").await.start_line.code, 200);
        assert!(client.answer().await.is_none(), "it is idle for too long");
        client.send(late).await;
        // A reset would be here by now, and this write would meet it.
        client.send("more").await;
        let mut byte = [0; 1];
        let read = timeout(LONG, client.stream.read(&mut byte)).await.expect("an end");
        assert!(matches!(read, Ok(0)), "{late:?}: {read:?}");
    }
}

#[tokio::test]
async fn a_client_evicted_in_the_middle_of_its_request_is_rejected() {
    let discovery = Discovery::start().await;
    let mut told = config(vec![], discovery.at);
    told["limits"]["sockets"] = json!(64);
    let gateway = Gateway::start(&told).await;
    let mut half = gateway.client().await;
    half.send("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\ndesk").await;
    // Others come until it has to give way.
    let mut others = Vec::new();
    let answer = loop {
        let mut other = gateway.client().await;
        other.send("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\ndesk").await;
        others.push(other);
        if let Ok(answer) = timeout(Duration::from_millis(20), next_answer(&mut half)).await {
            break answer;
        }
        assert!(others.len() < 200, "it never gives way");
    };
    assert_eq!(answer, Some(503));
}

#[tokio::test]
async fn a_pipelined_request_forwards_only_the_time_left() {
    let (_gateway, _server, mut client, mut wire) = request_in_flight().await;
    let patience_ms = 5000;
    let timed =
        |id: &str| look(id).replace("\r\n\r\n", &format!("\r\nX-Time-Left-Ms: {patience_ms}\r\n\r\n"));
    client.send(&timed("b")).await;
    sleep(Duration::from_millis(500)).await;
    wire.write(DESK).await;
    let told = field(&wire.request().await.expect("the next one"), "x-time-left-ms");
    let told: u64 = told.parse().expect("a time");
    assert!(told <= patience_ms - 500 + 150, "told {told} ms of {patience_ms}, half a second later");
}
