//! Stalls of the whole process: events that occur during a stall take effect before the gateway sends
//! anything new.

mod common;
use common::*;
use std::time::Duration;
use tokio::time::sleep;

/// The duration of a stall, longer than the tolerances of all rules that are tested here.
const STALL: Duration = Duration::from_millis(500);

/// Sends a request to a gateway whose connection to the only endpoint is established while the gateway is
/// stalled, and calls `during_stall` in the same stall. Returns how many bytes the gateway sends over that
/// connection after the stall.
async fn bytes_sent_on_connection_established_during_stall(
    during_stall: impl AsyncFnOnce(Client, &mut StubDiscovery),
) -> usize {
    let (mut server, mut discovery) = (FullBacklogServer::start().await, StubDiscovery::start().await);
    let gateway = StallableGateway::start(&gateway_config(
        vec![endpoint_entry(1, server.address, "SERVING")],
        discovery.address,
    ));
    let mut client = gateway.client().await;
    client.send(&look_request("a")).await;
    // By then the gateway is connecting to the endpoint.
    sleep(Duration::from_millis(300)).await;
    let stall_guard = gateway.stall().await;
    let mut connection = server.accept_from_gateway().await;
    during_stall(client, &mut discovery).await;
    sleep(STALL).await;
    drop(stall_guard);
    read_until_closed(&mut connection).await
}

#[tokio::test]
async fn a_connection_established_during_a_stall_is_not_used_if_the_client_has_disconnected() {
    let bytes = bytes_sent_on_connection_established_during_stall(async |client, _| drop(client)).await;
    assert_eq!(bytes, 0, "no attempt is sent after its client has disconnected");
}

#[tokio::test]
async fn a_connection_established_during_a_stall_is_not_used_if_the_endpoint_drains() {
    let mut kept_client = None;
    let bytes = bytes_sent_on_connection_established_during_stall(async |client, discovery| {
        let (_, responder) = discovery.next_poll().await;
        responder
            .send(ok_response(&endpoint_list(42, true, vec![])))
            .expect("the poll waits for its response");
        kept_client = Some(client);
    })
    .await;
    assert_eq!(bytes, 0, "no attempt is sent after its endpoint has drained");
}

#[tokio::test]
async fn a_request_that_arrives_during_a_stall_is_forwarded_with_the_remaining_time() {
    let (server, discovery) = (ScriptedServer::start().await, StubDiscovery::start().await);
    let gateway = StallableGateway::start(&gateway_config(
        vec![endpoint_entry(1, server.address, "SERVING")],
        discovery.address,
    ));
    let mut client = gateway.client().await;
    let stall_guard = gateway.stall().await;
    let timeout_ms = 5000;
    let text = look_request("a").replace("\r\n\r\n", &format!("\r\nX-Time-Left-Ms: {timeout_ms}\r\n\r\n"));
    client.send(&text).await;
    let sent_at = std::time::Instant::now();
    sleep(STALL).await;
    drop(stall_guard);
    let mut connection = server.accept().await;
    let forwarded_time_left_ms: u128 =
        header_value(&connection.read_request().await.expect("a request is forwarded"), "x-time-left-ms")
            .parse()
            .expect("the time left is a number");
    // The request has waited for at least `STALL`, and the forwarded time left may be 150 ms too long.
    let max_time_left_ms = timeout_ms - STALL.as_millis() + 150;
    assert!(
        forwarded_time_left_ms <= max_time_left_ms,
        "forwarded {forwarded_time_left_ms} ms, {} ms after the request was sent",
        sent_at.elapsed().as_millis()
    );
    connection.write(OK_RESPONSE).await;
    assert_eq!(client.read_response().await.expect("the gateway responds").start_line.code, 200);
}

// Guards against attempts for a client that closed its connection with much still unread by the gateway.
#[tokio::test]
async fn a_request_of_a_client_that_closed_behind_many_unread_bytes_is_not_forwarded() {
    // Within the read-ahead limit, beyond it, and beyond the limit of discarded bytes.
    for unread_bytes in [3 * 1024, 200 * 1024, 1200 * 1024] {
        let (mut server, discovery) = (StubServer::start(SERVE).await, StubDiscovery::start().await);
        let gateway = StallableGateway::start(&gateway_config(
            vec![endpoint_entry(1, server.address, "SERVING")],
            discovery.address,
        ));
        let mut client = gateway.client().await;
        let stall_guard = gateway.stall().await;
        let pipelined = look_request("behind").repeat(unread_bytes / look_request("behind").len());
        client.send(&format!("{}{pipelined}", look_request("a"))).await;
        drop(client);
        sleep(STALL).await;
        drop(stall_guard);
        sleep(STALL).await;
        let ids = server.take_events().0;
        assert!(ids.is_empty(), "{unread_bytes} bytes unread: forwarded {ids:?}");
    }
}
