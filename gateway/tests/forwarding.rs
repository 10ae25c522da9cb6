//! Requests from client to server and back, through the whole gateway on loopback.

mod common;
use common::*;

const BOOK: &str = "POST /api?room=2 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: id-1\r\n\
    X-Service-Class: book\r\nX-Account: acme\r\nIdempotency-Key: 5c0f\r\nX-Time-Left-Ms: 9000\r\n\
    Connection: keep-alive, X-Correlation-Id, X-Hop\r\nX-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n\
    3\r\ndes\r\n1\r\nk\r\n0\r\n\r\n";

#[tokio::test]
async fn requests_are_forwarded_unchanged_over_reused_connections() {
    let (mut server, discovery) = (Server::start(SERVED).await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let mut client = gateway.client().await;
    assert_eq!(client.ask("GET /ready HTTP/1.1\r\n\r\n").await.start_line.code, 200);

    let answer = client.ask(BOOK).await;
    assert_eq!(
        (answer.start_line.code, &answer.body[..], field(&answer, "content-type").as_str()),
        (200, &b"desk"[..], "text/x")
    );
    assert!(matches!(server.next().await, Seen::Connected));
    let Seen::Request(ask) = server.next().await else { panic!("a request") };
    assert_eq!(
        (ask.method(), ask.target(), &ask.body[..]),
        (&b"POST"[..], &b"/api?room=2"[..], &b"desk"[..])
    );
    // Guards against a `Connection` field that would take the id off on its way.
    assert_eq!(
        (field(&ask, "x-correlation-id"), field(&ask, "idempotency-key")),
        ("id-1".into(), "5c0f".into())
    );
    assert_eq!((field(&ask, "x-hop"), field(&ask, "x-account")), (String::new(), "acme".into()));
    let left: u64 = field(&ask, "x-time-left-ms").parse().expect("whole milliseconds");
    assert!(left <= 9000 && ask.fields.all("x-time-left-ms").count() == 1);

    // What speaks HTTP/1.0 and names no server still goes on with one.
    let old = look("id-0").replace("HTTP/1.1", "HTTP/1.0").replace("Host: backend.local\r\n", "");
    assert!(!gateway.client().await.ask(&old).await.keep_alive);
    let Seen::Request(ask) = server.next().await else { panic!("the same connection") };
    assert_eq!(field(&ask, "host"), "backend.local");

    // Two at once on one connection are answered in turn, by the server's one connection.
    client.send(&format!("{}{}", look("id-2"), look("id-3"))).await;
    let both = async {
        let mut reader = ternstack_gateway::http1::Reader::new(1024);
        let first = next::<ternstack_gateway::http1::StatusLine>(&mut client.stream, &mut reader).await;
        (first, next::<ternstack_gateway::http1::StatusLine>(&mut client.stream, &mut reader).await)
    };
    assert!(matches!(both.await, (Some(a), Some(b)) if a.start_line.code == 200 && b.start_line.code == 200));
    assert_eq!(server.so_far(), (vec!["id-2".into(), "id-3".into()], 0));
}

#[tokio::test]
async fn a_request_is_not_sent_twice_to_a_server_that_closes_connections() {
    let served = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndesk";
    let (mut server, discovery) =
        (Server::start(ServerBehavior::RespondAndClose(served)).await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let mut client = gateway.client().await;
    for n in 0..5 {
        assert_eq!(client.ask(&look(&format!("id-{n}"))).await.start_line.code, 200);
        // The server has ended the connection before the next request comes.
        while !matches!(server.next().await, Seen::Ended) {}
    }
    assert_eq!(client.ask(&look("id-5")).await.start_line.code, 200);
    assert_eq!(server.so_far().0, ["id-5"]);
}

#[tokio::test]
async fn a_request_that_no_server_takes_is_rejected_at_once_with_retry_advice() {
    let discovery = Discovery::start().await;
    let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("it");
    let gateway = Gateway::start(&config(vec![target(1, free, "SERVING")], discovery.at)).await;
    let answer = gateway.client().await.ask(&look("a")).await;
    assert_eq!(answer.start_line.code, 503);
    let after: f64 = field(&answer, "retry-after").parse().expect("seconds");
    assert!(after > 0.0 && after <= 2.0);
}

#[tokio::test]
async fn a_rejected_attempt_is_retried_at_another_server() {
    let (mut full, mut server) = (Server::start(REJECTED).await, Server::start(SERVED).await);
    let discovery = Discovery::start().await;
    let known = vec![target(1, full.at, "SERVING"), target(2, server.at, "SERVING")];
    let gateway = Gateway::start(&config(known, discovery.at)).await;
    for n in 0..6 {
        assert_eq!(gateway.client().await.ask(&look(&format!("id-{n}"))).await.start_line.code, 200);
    }
    assert!(!full.so_far().0.is_empty(), "the draw met the full host");
    assert_eq!(server.so_far().0.len(), 6);
}
