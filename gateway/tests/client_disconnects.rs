//! Clients that disconnect, and endpoints that drain, while a request is open.

mod common;
use common::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

#[tokio::test]
async fn the_upstream_connection_is_closed_when_the_deadline_passes_or_the_client_disconnects() {
    let (mut server, discovery) =
        (StubServer::start(ServerBehavior::Hang).await, StubDiscovery::start().await);
    let gateway = Gateway::start(&gateway_config(
        vec![endpoint_entry(1, server.address, "SERVING")],
        discovery.address,
    ))
    .await;
    let mut client = gateway.client().await;
    let short_request = look_request("a").replace("\r\n\r\n", "\r\nX-Time-Left-Ms: 1000\r\n\r\n");
    assert_eq!(client.request(&short_request).await.start_line.code, 503);
    while !matches!(server.next_event().await, ServerEvent::Closed) {}
    let mut second_client = gateway.client().await;
    second_client.send(&look_request("b")).await;
    while !matches!(server.next_event().await, ServerEvent::Request(_)) {}
    drop(second_client);
    while !matches!(server.next_event().await, ServerEvent::Closed) {}
}

#[tokio::test]
async fn an_attempt_still_connecting_when_its_client_disconnects_is_not_sent() {
    for may_cancel in [false, true] {
        let (mut server, discovery) = (FullBacklogServer::start().await, StubDiscovery::start().await);
        let mut config =
            non_idempotent_config(vec![endpoint_entry(1, server.address, "SERVING")], discovery.address);
        config["settings"]["limits"]["cancel"] = may_cancel.into();
        let gateway = Gateway::start(&config).await;
        let (mut leaving_client, mut staying_client) = (gateway.client().await, gateway.client().await);
        // The attempt of the client that disconnects starts to connect first, so that its upstream
        // connection is likely to be established first.
        leaving_client.send(&look_request("leaves")).await;
        sleep(Duration::from_millis(100)).await;
        drop(leaving_client);
        sleep(Duration::from_millis(100)).await;
        staying_client.send(&look_request("stays")).await;
        // Whichever connection is established first, only the request of the connected client is forwarded.
        let mut connections = vec![server.accept_from_gateway().await];
        let mut text = String::new();
        while !text.contains("stays") {
            let mut bytes = [0; 4096];
            let connection = connections.last_mut().expect("a connection is accepted");
            match timeout(TEST_TIMEOUT, connection.read(&mut bytes))
                .await
                .expect("the gateway sends a request or closes the connection")
            {
                Ok(0) | Err(_) => connections.push(server.accept_from_gateway().await),
                Ok(n) => text.push_str(&String::from_utf8_lossy(&bytes[..n])),
            }
        }
        assert!(!text.contains("leaves"), "{text}");
        connections
            .last_mut()
            .expect("a connection is accepted")
            .write_all(OK_RESPONSE.as_bytes())
            .await
            .expect("the connection is open");
        assert_eq!(staying_client.read_response().await.expect("the gateway responds").start_line.code, 200);
    }
}

#[tokio::test]
async fn an_attempt_still_connecting_when_its_endpoint_drains_is_sent_to_another_endpoint() {
    for discovery_mode in ["push", "ask"] {
        let (mut draining_server, mut serving_server) =
            (FullBacklogServer::start().await, StubServer::start(SERVE).await);
        let mut discovery = StubDiscovery::start().await;
        let mut config = non_idempotent_config(
            vec![endpoint_entry(1, draining_server.address, "SERVING")],
            discovery.address,
        );
        config["settings"]["discovery"] = discovery_mode.into();
        let gateway = Gateway::start(&config).await;
        let (_, responder) = discovery.next_poll().await;
        let mut client = gateway.client().await;
        client.send(&sign_request("a")).await;
        sleep(Duration::from_millis(100)).await;
        let delta = vec![
            endpoint_entry(1, draining_server.address, "DRAINING"),
            endpoint_entry(2, serving_server.address, "SERVING"),
        ];
        responder
            .send(ok_response(&endpoint_list(42, false, delta)))
            .expect("the poll waits for its response");
        let _waiting = discovery.next_poll().await;
        assert_eq!(
            read_until_closed(&mut draining_server.accept_from_gateway().await).await,
            0,
            "nothing is sent to the draining endpoint"
        );
        // The request cannot have run at the draining endpoint, so that even a non-idempotent request is
        // retried at another endpoint.
        assert_eq!(client.read_response().await.expect("the gateway responds").start_line.code, 200);
        assert_eq!(serving_server.take_events().0, ["a"]);
    }
}

#[tokio::test]
async fn a_client_that_ends_its_sending_side_gets_a_response_at_once() {
    for (text, may_cancel, status) in
        [(look_request("a"), true, 503), (sign_request("a"), true, 502), (look_request("a"), false, 503)]
    {
        let (server, discovery) = (ScriptedServer::start().await, StubDiscovery::start().await);
        let mut config =
            non_idempotent_config(vec![endpoint_entry(1, server.address, "SERVING")], discovery.address);
        config["settings"]["limits"]["cancel"] = may_cancel.into();
        let gateway = Gateway::start(&config).await;
        let mut client = gateway.client().await;
        client.send(&text).await;
        let mut connection = server.accept().await;
        connection.read_request().await.expect("the request is forwarded");
        client.stream.shutdown().await.expect("the connection is open");
        let response = client
            .read_response()
            .await
            .expect("the client receives a response after it has ended its sending side");
        assert_eq!(
            (response.start_line.code, response.keep_alive, header_value(&response, "retry-after")),
            (status, false, "".into())
        );
        if may_cancel {
            assert!(connection.closes_without_data().await, "the attempt is cancelled");
        } else {
            // An attempt that may not be cancelled continues, and its response is not taken as the response
            // to the next request.
            connection.write(OK_RESPONSE).await;
            let mut next_client = gateway.client().await;
            next_client.send(&look_request("b")).await;
            assert_eq!(
                header_value(
                    &connection
                        .read_request()
                        .await
                        .expect("the next request is sent over the same connection"),
                    "x-correlation-id"
                ),
                "b"
            );
            connection.write(OK_RESPONSE).await;
            assert_eq!(next_client.read_response().await.expect("the gateway responds").start_line.code, 200);
        }
    }
}

#[tokio::test]
async fn a_disconnect_behind_pipelined_bytes_is_noticed() {
    for byte_count in [100, 4096, 5000, 300_000] {
        let (_gateway, _server, mut client, mut connection) = request_in_flight().await;
        client.send(&"x".repeat(byte_count)).await;
        drop(client);
        assert!(
            connection.closes_without_data().await,
            "{byte_count} pipelined bytes: the attempt is cancelled when the client disconnects"
        );
    }
    // A client that sends without end counts as disconnected, and a client that pipelines a few bytes is
    // served.
    let (server, discovery) = (ScriptedServer::start().await, StubDiscovery::start().await);
    let gateway = Gateway::start(&gateway_config(
        vec![endpoint_entry(1, server.address, "SERVING")],
        discovery.address,
    ))
    .await;
    let (mut flooding_client, mut pipelining_client) = (gateway.client().await, gateway.client().await);
    flooding_client.send(&look_request("a")).await;
    let mut connection = server.accept().await;
    connection.read_request().await.expect("the request is forwarded");
    let chunk = "x".repeat(1 << 16);
    let flood = async { while flooding_client.stream.write_all(chunk.as_bytes()).await.is_ok() {} };
    let (is_closed, ()) = tokio::join!(connection.closes_without_data(), flood);
    assert!(is_closed, "the attempt is cancelled, and its connection is closed");
    pipelining_client.send(&format!("{}{}", look_request("b"), "x".repeat(5000))).await;
    let mut connection = server.accept().await;
    connection.read_request().await.expect("the request is forwarded");
    connection.write(OK_RESPONSE).await;
    let response = pipelining_client.read_response().await.expect("the gateway responds");
    assert_eq!((response.start_line.code, response.keep_alive), (200, true));
    // The bytes behind the request are the begin of another one, which is never complete.
    let response = pipelining_client.read_response().await.expect("the gateway responds");
    assert_eq!((response.start_line.code, response.keep_alive), (408, false));
}

#[tokio::test]
async fn a_pipelined_request_of_a_disconnected_client_is_not_forwarded() {
    let (gateway, server, mut client, mut connection) = request_in_flight().await;
    // The second request waits until the first one is answered.
    client.send(&look_request("b")).await;
    client.stream.shutdown().await.expect("the connection is open");
    assert_eq!(client.read_response().await.expect("the gateway responds").start_line.code, 503);
    assert!(connection.closes_without_data().await);
    let mut other_client = gateway.client().await;
    other_client.send(&look_request("c")).await;
    let mut connection = server.accept().await;
    assert_eq!(
        header_value(&connection.read_request().await.expect("a request is forwarded"), "x-correlation-id"),
        "c"
    );
}

#[tokio::test]
async fn no_retry_begins_after_the_client_has_disconnected() {
    for may_cancel in [false, true] {
        let (first_server, second_server, discovery) =
            (ScriptedServer::start().await, ScriptedServer::start().await, StubDiscovery::start().await);
        let entries = vec![
            endpoint_entry(1, first_server.address, "SERVING"),
            endpoint_entry(2, second_server.address, "SERVING"),
        ];
        let mut config = non_idempotent_config(entries, discovery.address);
        config["settings"]["limits"]["cancel"] = may_cancel.into();
        let gateway = Gateway::start(&config).await;
        let mut client = gateway.client().await;
        client.send(&look_request("a")).await;
        let (mut connection, other_server) = tokio::select! {
            connection = first_server.accept() => (connection, &second_server),
            connection = second_server.accept() => (connection, &first_server),
        };
        connection.read_request().await.expect("the request is forwarded");
        // The response shows that the gateway has noticed the disconnect. The server then rejects the
        // attempt, which could be retried.
        client.stream.shutdown().await.expect("the connection is open");
        assert_eq!(client.read_response().await.expect("the gateway responds").start_line.code, 503);
        let _ = connection
            .stream
            .write_all(b"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
            .await;
        // The next request that either server receives is the request of the second client.
        let mut second_client = gateway.client().await;
        second_client.send(&look_request("b")).await;
        let mut connection = tokio::select! {
            biased;
            request = connection.read_request() => match request {
                Some(request) => {
                    assert_eq!(header_value(&request, "x-correlation-id"), "b");
                    continue;
                }
                None => tokio::select! {
                    connection = first_server.accept() => connection,
                    connection = second_server.accept() => connection,
                },
            },
            connection = other_server.accept() => connection,
        };
        assert_eq!(
            header_value(
                &connection.read_request().await.expect("a request is forwarded"),
                "x-correlation-id"
            ),
            "b",
            "may_cancel {may_cancel}"
        );
    }
}

// Guards against a second run of a non-idempotent request whose id comes again after its client disconnected.
#[tokio::test]
async fn a_non_idempotent_request_that_comes_again_after_its_client_disconnected_runs_once() {
    for may_cancel in [false, true] {
        let (server, discovery) = (ScriptedServer::start().await, StubDiscovery::start().await);
        let mut config =
            non_idempotent_config(vec![endpoint_entry(1, server.address, "SERVING")], discovery.address);
        config["settings"]["limits"]["cancel"] = may_cancel.into();
        let gateway = Gateway::start(&config).await;
        let mut leaving_client = gateway.client().await;
        leaving_client.send(&sign_request("a")).await;
        let mut connection = server.accept().await;
        connection.read_request().await.expect("the request is forwarded");
        drop(leaving_client);
        sleep(Duration::from_millis(100)).await;
        // The first attempt is still in flight, or has been cancelled and may still run at the endpoint.
        let first = gateway.client().await.request(&sign_request("a")).await;
        assert_eq!(first.start_line.code, 400, "a rejection would permit a retry; may_cancel {may_cancel}");
        if !may_cancel {
            connection.write(OK_RESPONSE).await;
        }
        sleep(Duration::from_millis(100)).await;
        // The first attempt has ended by now.
        let second = gateway.client().await.request(&sign_request("a")).await;
        assert_eq!(second.start_line.code, 400, "the request has run or may have run");
        let mut next_client = gateway.client().await;
        next_client.send(&sign_request("b")).await;
        let mut connection = if may_cancel { server.accept().await } else { connection };
        let forwarded = connection.read_request().await.expect("another request is forwarded");
        assert_eq!(header_value(&forwarded, "x-correlation-id"), "b");
    }
}
