//! The process stands still for a while: what happened meanwhile takes effect before anything new is sent.

mod common;
use common::*;
use std::time::Duration;
use tokio::time::sleep;

/// Longer than the tolerances of all rules that are at stake here.
const STANDSTILL: Duration = Duration::from_millis(500);

/// The first connection to a server whose queue is full, as it comes up while the gateway stands still; and what then
/// happens there.
async fn established_in_a_stall(meanwhile: impl AsyncFnOnce(Client, &mut Discovery)) -> usize {
    let (mut server, mut discovery) = (UnacceptingServer::start().await, Discovery::start().await);
    let gateway = StallableGateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at));
    let mut client = gateway.client().await;
    client.send(&look("a")).await;
    // It dials by now.
    sleep(Duration::from_millis(300)).await;
    let release = gateway.hold().await;
    let mut wire = server.hears().await;
    meanwhile(client, &mut discovery).await;
    sleep(STANDSTILL).await;
    drop(release);
    ends(&mut wire).await
}

#[tokio::test]
async fn a_connection_established_in_a_stall_carries_nothing_for_a_client_that_disconnected_in_it() {
    let bytes = established_in_a_stall(async |client, _| drop(client)).await;
    assert_eq!(bytes, 0, "an attempt began long after its client had left");
}

#[tokio::test]
async fn a_connection_established_in_a_stall_carries_nothing_to_a_server_that_drained_in_it() {
    let mut kept = None;
    let bytes = established_in_a_stall(async |client, discovery| {
        let (_, answer) = discovery.call().await;
        answer.send(ok(&list(42, true, vec![]))).expect("asked");
        kept = Some(client);
    })
    .await;
    assert_eq!(bytes, 0, "an attempt began long after its server had drained");
}

#[tokio::test]
async fn a_request_that_arrives_in_a_stall_forwards_only_the_time_left() {
    let (server, discovery) = (ScriptedServer::start().await, Discovery::start().await);
    let gateway = StallableGateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at));
    let mut client = gateway.client().await;
    let release = gateway.hold().await;
    let patience_ms = 5000;
    let text = look("a").replace("\r\n\r\n", &format!("\r\nX-Time-Left-Ms: {patience_ms}\r\n\r\n"));
    client.send(&text).await;
    let sent = std::time::Instant::now();
    sleep(STANDSTILL).await;
    drop(release);
    let mut wire = server.accept().await;
    let told: u128 =
        field(&wire.request().await.expect("a request"), "x-time-left-ms").parse().expect("a time");
    // Both sides of the bound are counted from a moment before the standstill's end.
    let most = patience_ms - STANDSTILL.as_millis() + 150;
    assert!(told <= most, "told {told} ms, {} ms after it was sent", sent.elapsed().as_millis());
    wire.write(DESK).await;
    assert_eq!(client.answer().await.expect("an answer").start_line.code, 200);
}
