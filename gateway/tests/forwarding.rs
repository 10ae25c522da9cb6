//! Requests that are forwarded through a gateway, and their responses.

mod common;
use common::*;

/// A request with an idempotency key, hop-by-hop headers and a chunked body.
const BOOK_REQUEST: &str = "POST /api?room=2 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: id-1\r\n\
    X-Service-Class: book\r\nX-Account: acme\r\nIdempotency-Key: 5c0f\r\nX-Time-Left-Ms: 9000\r\n\
    Connection: keep-alive, X-Correlation-Id, X-Hop\r\nX-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n\
    3\r\ndes\r\n1\r\nk\r\n0\r\n\r\n";

#[tokio::test]
async fn requests_are_forwarded_with_their_end_to_end_headers_over_reused_connections() {
    let (mut server, discovery) = (StubServer::start(SERVE).await, StubDiscovery::start().await);
    let gateway = Gateway::start(&gateway_config(
        vec![endpoint_entry(1, server.address, "SERVING")],
        discovery.address,
    ))
    .await;
    let mut client = gateway.client().await;
    assert_eq!(client.request("GET /ready HTTP/1.1\r\n\r\n").await.start_line.code, 200);

    let response = client.request(BOOK_REQUEST).await;
    assert_eq!(
        (response.start_line.code, &response.body[..], header_value(&response, "content-type").as_str()),
        (200, &b"desk"[..], "text/x")
    );
    assert!(matches!(server.next_event().await, ServerEvent::Connected));
    let ServerEvent::Request(request) = server.next_event().await else {
        panic!("the server receives a request")
    };
    assert_eq!(
        (request.method(), request.target(), &request.body[..]),
        (&b"POST"[..], &b"/api?room=2"[..], &b"desk"[..])
    );
    // A `Connection` header that names the correlation id must not remove the id.
    assert_eq!(
        (header_value(&request, "x-correlation-id"), header_value(&request, "idempotency-key")),
        ("id-1".into(), "5c0f".into())
    );
    assert_eq!(
        (header_value(&request, "x-hop"), header_value(&request, "x-account")),
        (String::new(), "acme".into())
    );
    let time_left_ms: u64 = header_value(&request, "x-time-left-ms")
        .parse()
        .expect("the time left is a whole number of milliseconds");
    assert!(time_left_ms <= 9000 && request.fields.all("x-time-left-ms").count() == 1);

    // A request in HTTP/1.0 without a `Host` header is forwarded with a `Host` header.
    let http10_request =
        look_request("id-0").replace("HTTP/1.1", "HTTP/1.0").replace("Host: backend.local\r\n", "");
    assert!(!gateway.client().await.request(&http10_request).await.keep_alive);
    let ServerEvent::Request(request) = server.next_event().await else {
        panic!("the request is sent over the same connection")
    };
    assert_eq!(header_value(&request, "host"), "backend.local");

    // Two pipelined requests are answered in order, and forwarded over the one connection to the server.
    client.send(&format!("{}{}", look_request("id-2"), look_request("id-3"))).await;
    let responses = async {
        let mut reader = ternstack_gateway::http1::Reader::new(1024);
        let first =
            read_message::<ternstack_gateway::http1::StatusLine>(&mut client.stream, &mut reader).await;
        (first, read_message::<ternstack_gateway::http1::StatusLine>(&mut client.stream, &mut reader).await)
    };
    assert!(
        matches!(responses.await, (Some(a), Some(b)) if a.start_line.code == 200 && b.start_line.code == 200)
    );
    assert_eq!(server.take_events(), (vec!["id-2".into(), "id-3".into()], 0));
}

#[tokio::test]
async fn a_request_is_sent_once_to_a_server_that_closes_each_connection() {
    let response_text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndesk";
    let (mut server, discovery) = (
        StubServer::start(ServerBehavior::RespondAndClose(response_text)).await,
        StubDiscovery::start().await,
    );
    let gateway = Gateway::start(&gateway_config(
        vec![endpoint_entry(1, server.address, "SERVING")],
        discovery.address,
    ))
    .await;
    let mut client = gateway.client().await;
    for n in 0..5 {
        assert_eq!(client.request(&look_request(&format!("id-{n}"))).await.start_line.code, 200);
        // The server closes the connection before the client sends the next request.
        while !matches!(server.next_event().await, ServerEvent::Closed) {}
    }
    assert_eq!(client.request(&look_request("id-5")).await.start_line.code, 200);
    assert_eq!(server.take_events().0, ["id-5"]);
}

#[tokio::test]
async fn a_request_without_a_reachable_endpoint_is_rejected_with_retry_after() {
    let discovery = StubDiscovery::start().await;
    let closed_address = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port is bound")
        .local_addr()
        .expect("a listener has an address");
    let gateway = Gateway::start(&gateway_config(
        vec![endpoint_entry(1, closed_address, "SERVING")],
        discovery.address,
    ))
    .await;
    let response = gateway.client().await.request(&look_request("a")).await;
    assert_eq!(response.start_line.code, 503);
    let retry_after_s: f64 =
        header_value(&response, "retry-after").parse().expect("Retry-After is a number of seconds");
    assert!(retry_after_s > 0.0 && retry_after_s <= 2.0);
}

#[tokio::test]
async fn a_rejected_attempt_is_retried_at_another_endpoint() {
    let (mut rejecting_server, mut serving_server) =
        (StubServer::start(REJECT).await, StubServer::start(SERVE).await);
    let discovery = StubDiscovery::start().await;
    let entries = vec![
        endpoint_entry(1, rejecting_server.address, "SERVING"),
        endpoint_entry(2, serving_server.address, "SERVING"),
    ];
    let gateway = Gateway::start(&gateway_config(entries, discovery.address)).await;
    for n in 0..6 {
        assert_eq!(
            gateway.client().await.request(&look_request(&format!("id-{n}"))).await.start_line.code,
            200
        );
    }
    assert!(
        !rejecting_server.take_events().0.is_empty(),
        "the rejecting server receives at least one attempt"
    );
    assert_eq!(serving_server.take_events().0.len(), 6);
}
