//! Graceful shutdown: every request that reaches the gateway gets a response.

mod common;
use common::*;
use serde_json::json;
use std::time::Duration;
use ternstack_gateway::http1::{Reader, StatusLine, MAX_BODY_BYTES};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

#[tokio::test]
async fn a_graceful_shutdown_answers_open_requests_and_then_ends() {
    let (mut server, discovery) =
        (StubServer::start(ServerBehavior::Hang).await, StubDiscovery::start().await);
    let mut gateway = Gateway::start(&gateway_config(
        vec![endpoint_entry(1, server.address, "SERVING")],
        discovery.address,
    ))
    .await;
    let (mut idle_client, mut reused_client, mut waiting_client) =
        (gateway.client().await, gateway.client().await, gateway.client().await);
    let ready_request = "GET /ready HTTP/1.1\r\n\r\n";
    assert_eq!(reused_client.request(ready_request).await.start_line.code, 200);
    assert_eq!(idle_client.request(ready_request).await.start_line.code, 200);
    waiting_client.send(&look_request("a").replace("\r\n\r\n", "\r\nX-Time-Left-Ms: 1500\r\n\r\n")).await;
    while !matches!(server.next_event().await, ServerEvent::Request(_)) {}
    gateway.shut_down();
    // New and reused connections get one more response each, and are then closed.
    while gateway.client().await.request(ready_request).await.start_line.code == 200 {}
    let response = reused_client.request(ready_request).await;
    assert_eq!((response.start_line.code, response.keep_alive), (503, false));
    assert!(idle_client.read_response().await.is_none(), "the idle connection is closed");
    // A client whose request was in transit when its idle connection was closed retries over a new
    // connection.
    let response = gateway.client().await.request(ready_request).await;
    assert_eq!((response.start_line.code, response.keep_alive), (503, false));
    let response = waiting_client.read_response().await.expect("the open request is answered");
    assert_eq!((response.start_line.code, response.keep_alive), (503, false));
    drop((reused_client, waiting_client));
    let result = tokio::time::timeout(TEST_TIMEOUT, gateway.task)
        .await
        .expect("the gateway stops")
        .expect("the gateway does not panic");
    assert!(matches!(result, Ok(())), "{result:?}");
}

#[tokio::test(start_paused = true)]
async fn a_graceful_shutdown_answers_every_request_until_the_listener_closes() {
    let _clock = start_clock_driver(true);
    for deadline_ms in [400.0_f64, 1000.0, 5000.0] {
        let (server, discovery) = (ScriptedServer::start().await, StubDiscovery::start().await);
        let mut config =
            gateway_config(vec![endpoint_entry(1, server.address, "SERVING")], discovery.address);
        for class in 0..2 {
            config["settings"]["classes"][class]["deadline_ms"] = json!(deadline_ms);
            config["settings"]["classes"][class]["aim_ms"] = json!(deadline_ms / 2.0);
        }
        let mut gateway = Gateway::start(&config).await;
        let (mut waiting_client, mut idle_client) = (gateway.client().await, gateway.client().await);
        assert_eq!(idle_client.request("GET /ready HTTP/1.1\r\n\r\n").await.start_line.code, 200);
        gateway.shut_down();
        let shutdown_at = Instant::now();
        // The server never responds. Requests arrive until the listener closes, over new connections and over
        // a connection that was open when the shutdown began.
        waiting_client.send(&look_request("waiting")).await;
        let mut connection = server.accept().await;
        connection.read_request().await.expect("the request is forwarded");
        let hanging_server = tokio::spawn(async move {
            let mut connections = vec![connection];
            loop {
                connections.push(server.accept().await);
            }
        });
        assert!(idle_client.read_response().await.is_none(), "the gateway closes the idle connection");
        let mut client_count = 0;
        let mut status_tasks = Vec::new();
        while let Ok(stream) = TcpStream::connect(gateway.address).await {
            client_count += 1;
            let mut client = Client { stream };
            status_tasks.push(tokio::spawn(async move {
                // The client sends the first 20 bytes, and the rest 30 ms later.
                let text = look_request(&format!("late-{client_count}"));
                client.send(&text[..20]).await;
                sleep(Duration::from_millis(30)).await;
                client.send(&text[20..]).await;
                read_status(&mut client).await
            }));
            sleep(Duration::from_millis(7)).await;
        }
        // No connection is accepted so late that its request could not be answered before the process may be
        // killed.
        let kill_after = Duration::from_secs_f64(deadline_ms.min(3000.0) / 1000.0 + 0.7);
        assert!(
            client_count > 0 && shutdown_at.elapsed() < kill_after,
            "{client_count} clients connected, the last after {:?}",
            shutdown_at.elapsed()
        );
        for status_task in status_tasks {
            let status = status_task.await.expect("the client's task does not panic");
            assert!(matches!(status, Some(200 | 502 | 503 | 504)), "{status:?}");
        }
        assert!(waiting_client.read_response().await.is_some());
        drop(waiting_client);
        let result = timeout(TEST_TIMEOUT, gateway.task)
            .await
            .expect("the gateway stops")
            .expect("the gateway does not panic");
        assert!(matches!(result, Ok(())), "{result:?}");
        let (longest_request, slack) =
            (Duration::from_secs_f64(deadline_ms / 1000.0), Duration::from_millis(1200));
        assert!(shutdown_at.elapsed() <= longest_request + slack, "{:?}", shutdown_at.elapsed());
        hanging_server.abort();
    }
}

#[tokio::test]
async fn pipelined_requests_are_answered_during_a_graceful_shutdown() {
    let (mut gateway, _server, mut client, mut connection) = request_in_flight().await;
    client.send(&format!("{}{}{}", look_request("b"), look_request("c"), look_request("d"))).await;
    // By the time of the shutdown the gateway has read the pipelined requests, and therefore must answer
    // them.
    sleep(Duration::from_millis(200)).await;
    gateway.shut_down();
    sleep(Duration::from_millis(200)).await;
    let serving = tokio::spawn(async move {
        connection.write(OK_RESPONSE).await;
        while connection.read_request().await.is_some() {
            connection.write(OK_RESPONSE).await;
        }
    });
    let mut reader = Reader::<StatusLine>::new(MAX_BODY_BYTES);
    for (id, keep_alive) in [("a", true), ("b", true), ("c", true), ("d", false)] {
        let response = timeout(TEST_TIMEOUT, read_message(&mut client.stream, &mut reader))
            .await
            .expect("the gateway responds or closes the connection");
        let response = response.expect("the gateway responds");
        assert_eq!((response.start_line.code, response.keep_alive), (200, keep_alive), "request {id}");
    }
    serving.abort();
}
