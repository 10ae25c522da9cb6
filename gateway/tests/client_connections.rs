//! Client connections: invalid and slow requests, limits, eviction, pipelining, and closing.

mod common;
use common::*;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

#[tokio::test]
async fn invalid_requests_get_their_error_status_and_are_not_forwarded() {
    let (mut server, discovery) = (StubServer::start(SERVE).await, StubDiscovery::start().await);
    let gateway = Gateway::start(&gateway_config(
        vec![endpoint_entry(1, server.address, "SERVING")],
        discovery.address,
    ))
    .await;
    let oversized_request = format!("GET /api HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(20_000));
    let api_request = |fields: &str| format!("GET /api HTTP/1.1\r\n{fields}\r\n\r\n");
    for (text, status) in [
        ("\u{1}\u{2} garbage\r\n\r\n".into(), 400),
        (api_request("X-Service-Class: look"), 400),
        (api_request("X-Correlation-Id:\r\nX-Service-Class: look"), 400),
        (api_request("X-Correlation-Id: a\r\nX-Correlation-Id: b\r\nX-Service-Class: look"), 400),
        (api_request("X-Correlation-Id: a\r\nX-Service-Class: lunch"), 400),
        (api_request("X-Correlation-Id: a\r\nX-Service-Class: book"), 400),
        (api_request("X-Correlation-Id: a\r\nX-Service-Class: look\r\nX-Time-Left-Ms: soon"), 400),
        (api_request("X-Correlation-Id: a\r\nX-Service-Class: look\r\nX-Time-Left-Ms: -5"), 400),
        (api_request("X-Correlation-Id: a\r\nX-Service-Class: look\r\nX-Time-Left-Ms: 1e2"), 400),
        (api_request("X-Correlation-Id: a\r\nX-Service-Class: look\r\nContent-Length: x"), 400),
        (api_request("X-Correlation-Id: a\r\nX-Service-Class: look\r\nContent-Length: 65537"), 413),
        (look_request("a").replace("GET", "DELETE"), 405),
        (look_request("a").replace("/api", "/apis"), 404),
        (oversized_request, 431),
    ] {
        let mut client = gateway.client().await;
        let response = client.request(&text).await;
        assert_eq!(
            (response.start_line.code, response.keep_alive),
            (status, status == 404),
            "{}",
            &text[..text.len().min(99)]
        );
    }
    assert_eq!(server.take_events(), (vec![], 0));
    // A request of an unknown tenant is treated as a request without a tenant.
    let text = look_request("a").replace("\r\n\r\n", "\r\nX-Account: nobody\r\n\r\n");
    assert_eq!(gateway.client().await.request(&text).await.start_line.code, 200);
}

#[tokio::test]
async fn a_request_is_invalid_while_another_open_request_has_the_same_id() {
    let (mut server, discovery) =
        (StubServer::start(ServerBehavior::Hang).await, StubDiscovery::start().await);
    let gateway = Gateway::start(&gateway_config(
        vec![endpoint_entry(1, server.address, "SERVING")],
        discovery.address,
    ))
    .await;
    let mut first = gateway.client().await;
    first.send(&look_request("a")).await;
    while !matches!(server.next_event().await, ServerEvent::Request(_)) {}
    let response = gateway.client().await.request(&look_request("a")).await;
    assert_eq!((response.start_line.code, response.keep_alive), (400, false));
    drop(first);
    while !matches!(server.next_event().await, ServerEvent::Closed) {}
    let mut second = gateway.client().await;
    second.send(&look_request("a")).await;
    while !matches!(server.next_event().await, ServerEvent::Request(_)) {}
}

#[tokio::test]
async fn silent_idle_and_slow_client_connections_time_out() {
    let (server, discovery) = (StubServer::start(SERVE).await, StubDiscovery::start().await);
    let gateway = Gateway::start(&gateway_config(
        vec![endpoint_entry(1, server.address, "SERVING")],
        discovery.address,
    ))
    .await;
    let (mut silent, mut idle, mut slow) =
        (gateway.client().await, gateway.client().await, gateway.client().await);
    assert_eq!(idle.request(&look_request("once")).await.start_line.code, 200);
    slow.send("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\ndesk").await;
    assert!(silent.read_response().await.is_none() && idle.read_response().await.is_none());
    assert_eq!(slow.read_response().await.expect("the gateway responds").start_line.code, 408);
}

#[tokio::test]
async fn an_error_response_reaches_a_client_that_is_still_sending() {
    let discovery = StubDiscovery::start().await;
    let gateway = Gateway::start(&gateway_config(vec![], discovery.address)).await;
    let Client { stream } = gateway.client().await;
    let (mut reader, mut writer) = stream.into_split();
    let sending = tokio::spawn(async move {
        let head = "POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n";
        let _ = tokio::io::AsyncWriteExt::write_all(&mut writer, head.as_bytes()).await;
        let chunk = vec![b'x'; 1 << 16];
        let mut chunks_sent = 0;
        while tokio::io::AsyncWriteExt::write_all(&mut writer, &chunk).await.is_ok() && chunks_sent < 900 {
            chunks_sent += 1;
        }
    });
    let mut status_line = [0; 12];
    tokio::io::AsyncReadExt::read_exact(&mut reader, &mut status_line).await.expect("the gateway responds");
    assert_eq!(&status_line, b"HTTP/1.1 413");
    sending.await.expect("the sending task does not panic");
}

#[tokio::test]
async fn requests_beyond_max_open_are_rejected() {
    let (mut server, discovery) =
        (StubServer::start(ServerBehavior::Hang).await, StubDiscovery::start().await);
    let mut config = gateway_config(vec![endpoint_entry(1, server.address, "SERVING")], discovery.address);
    config["settings"]["limits"]["max_open"] = json!(1);
    let gateway = Gateway::start(&config).await;
    let mut first = gateway.client().await;
    first.send(&look_request("a")).await;
    while !matches!(server.next_event().await, ServerEvent::Request(_)) {}
    let response = gateway.client().await.request(&look_request("b")).await;
    assert_eq!((response.start_line.code, header_value(&response, "retry-after")), (503, "2.000".into()));
}

#[tokio::test]
async fn clients_beyond_the_descriptor_budget_are_rejected() {
    let (mut server, discovery) =
        (StubServer::start(ServerBehavior::Hang).await, StubDiscovery::start().await);
    let mut config = gateway_config(vec![endpoint_entry(1, server.address, "SERVING")], discovery.address);
    // Of 64 descriptors, 16 remain for connections: 7 client connections with an open request, their 7
    // upstream connections, and a reserve for further upstream connections.
    config["limits"]["sockets"] = json!(64);
    let gateway = Gateway::start(&config).await;
    let mut clients = Vec::new();
    for n in 0..7 {
        clients.push(gateway.client().await);
        clients[n].send(&look_request(&format!("id-{n}"))).await;
        while !matches!(server.next_event().await, ServerEvent::Request(_)) {}
    }
    let response = gateway.client().await.request(&look_request("late")).await;
    assert_eq!((response.start_line.code, response.keep_alive), (503, false));
    assert_eq!(server.take_events().0, Vec::<String>::new());
    // Once the clients disconnect, new connections are admitted again.
    drop(clients);
    for n in 0..7 {
        while !matches!(server.next_event().await, ServerEvent::Closed) {}
        let mut idle = gateway.client().await;
        assert_eq!(idle.request("GET /ready HTTP/1.1\r\n\r\n").await.start_line.code, 200, "{n}");
    }
}

#[tokio::test(start_paused = true)]
async fn bytes_in_transit_when_an_idle_connection_is_closed_cause_no_reset() {
    let _clock = start_clock_driver(true);
    let discovery = StubDiscovery::start().await;
    let gateway = Gateway::start(&gateway_config(vec![], discovery.address)).await;
    for late_bytes in ["G", "GET /ready HTTP/1.1\r\n", "GET /ready HTTP/1.1\r\n\r\n"] {
        let mut client = gateway.client().await;
        assert_eq!(client.request("GET /ready HTTP/1.1\r\n\r\n").await.start_line.code, 200);
        assert!(client.read_response().await.is_none(), "the gateway closes the idle connection");
        client.send(late_bytes).await;
        // If the gateway had reset the connection, the reset would have arrived, and this write would fail.
        client.send("more").await;
        let mut byte = [0; 1];
        let read = timeout(TEST_TIMEOUT, client.stream.read(&mut byte)).await.expect("the connection ends");
        assert!(matches!(read, Ok(0)), "{late_bytes:?}: {read:?}");
    }
}

#[tokio::test]
async fn a_client_evicted_while_sending_its_request_is_rejected() {
    let discovery = StubDiscovery::start().await;
    let mut config = gateway_config(vec![], discovery.address);
    config["limits"]["sockets"] = json!(64);
    let gateway = Gateway::start(&config).await;
    let mut first = gateway.client().await;
    first.send("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\ndesk").await;
    // Other clients connect until the first connection is evicted.
    let mut others = Vec::new();
    let status = loop {
        let mut other = gateway.client().await;
        other.send("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\ndesk").await;
        others.push(other);
        if let Ok(status) = timeout(Duration::from_millis(20), read_status(&mut first)).await {
            break status;
        }
        assert!(others.len() < 200, "the first connection is evicted");
    };
    assert_eq!(status, Some(503));
}

#[tokio::test]
async fn a_pipelined_request_is_forwarded_with_the_time_left_after_its_wait() {
    let (_gateway, _server, mut client, mut connection) = request_in_flight().await;
    let timeout_ms = 5000;
    let timed_request =
        |id: &str| look_request(id).replace("\r\n\r\n", &format!("\r\nX-Time-Left-Ms: {timeout_ms}\r\n\r\n"));
    client.send(&timed_request("b")).await;
    sleep(Duration::from_millis(500)).await;
    connection.write(OK_RESPONSE).await;
    let forwarded_time_left_ms = header_value(
        &connection.read_request().await.expect("the pipelined request is forwarded"),
        "x-time-left-ms",
    );
    let forwarded_time_left_ms: u64 = forwarded_time_left_ms.parse().expect("the time left is a number");
    assert!(
        forwarded_time_left_ms <= timeout_ms - 500 + 150,
        "forwarded {forwarded_time_left_ms} ms of {timeout_ms} ms, half a second later"
    );
}

// Guards against one flooding connection that takes the processor from the requests of other clients.
#[tokio::test]
async fn a_flooding_connection_is_served_at_most_its_share() {
    const BURST_RESPONSES: u128 = 200;
    // 5% of a core at 50 microseconds for each request.
    const MAX_RESPONSES_PER_MS: u128 = 1;
    let gateway = Gateway::start(&gateway_config(vec![], ([127, 0, 0, 1], 9).into())).await;
    let begun_at = std::time::Instant::now();
    let (mut responses, mut requests) = gateway.client().await.stream.into_split();
    let flood = tokio::spawn(async move {
        let batch = "GET /none HTTP/1.1\r\n\r\n".repeat(100);
        while requests.write_all(batch.as_bytes()).await.is_ok() {}
    });
    let (mut received, mut buffer) = (Vec::new(), vec![0; 64 * 1024]);
    while begun_at.elapsed() < Duration::from_millis(1500) {
        let read = timeout(Duration::from_millis(1500), responses.read(&mut buffer)).await;
        let read_bytes = read.expect("the gateway responds").expect("the connection is open");
        received.extend_from_slice(&buffer[..read_bytes]);
    }
    let elapsed_ms = begun_at.elapsed().as_millis();
    flood.abort();
    let count = String::from_utf8_lossy(&received).matches("HTTP/1.1 404").count() as u128;
    let max_count = BURST_RESPONSES + elapsed_ms * MAX_RESPONSES_PER_MS;
    assert!(count <= max_count, "{count} responses in {elapsed_ms} ms, at most {max_count}");
    assert!(count > BURST_RESPONSES / 2, "a burst is served at once: {count} responses");
}

// Guards against clients with half a request that keep the connections of other clients from being accepted.
#[tokio::test]
async fn clients_with_half_a_request_do_not_delay_the_response_to_another_client() {
    let (server, discovery) = (StubServer::start(ServerBehavior::Hang).await, StubDiscovery::start().await);
    let mut config = gateway_config(vec![endpoint_entry(1, server.address, "SERVING")], discovery.address);
    config["limits"]["sockets"] = 64.into();
    let gateway = Gateway::start(&config).await;
    // All admitted connections have open requests, so that none of them can be evicted.
    let mut open_clients = Vec::new();
    for number in 0..16 {
        let mut client = gateway.client().await;
        client.send(&look_request(&format!("open-{number}"))).await;
        open_clients.push(client);
    }
    sleep(Duration::from_millis(200)).await;
    let mut half_clients = Vec::new();
    for _ in 0..100 {
        let mut client = gateway.client().await;
        client.send("GET /api HTTP/1.1\r\nX-Correlation-Id: half").await;
        half_clients.push(client);
    }
    let mut client = gateway.client().await;
    let response = client.request(&look_request("complete")).await;
    assert_eq!(response.start_line.code, 503, "the request is rejected, because all descriptors are in use");
    for half_client in &mut half_clients {
        let mut bytes = [0; 64];
        let received = half_client.stream.try_read(&mut bytes).unwrap_or(0);
        let text = String::from_utf8_lossy(&bytes[..received]);
        assert!(!text.contains("408"), "the response came only after a timeout of other clients");
    }
}
