//! The time that a request has left counts from when its bytes could have been read, also if the gateway did
//! something else first.

mod common;
use common::*;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::{sleep, timeout};

/// The time that the tested requests have left.
const TIME_LEFT_MS: u128 = 5000;
/// The amount by which the forwarded time left may exceed the client's.
const SLACK_MS: u128 = 150;

fn timed_request(id: &str) -> String {
    look_request(id).replace("\r\n\r\n", &format!("\r\nX-Time-Left-Ms: {TIME_LEFT_MS}\r\n\r\n"))
}

// Guards against deadlines that count from the end of a pause (review case 9).
#[tokio::test]
async fn a_request_behind_the_pauses_of_its_connection_is_forwarded_with_the_remaining_time() {
    // In the bytes that are read at once, and behind many reads with a pause each.
    for flood_count in [140, 1000] {
        let (server, discovery) = (ScriptedServer::start().await, StubDiscovery::start().await);
        let entry = endpoint_entry(1, server.address, "SERVING");
        let gateway = Gateway::start(&gateway_config(vec![entry], discovery.address)).await;
        let (mut responses, mut requests) = gateway.client().await.stream.into_split();
        let reading = tokio::spawn(async move {
            let mut buffer = vec![0; 64 * 1024];
            while responses.read(&mut buffer).await.is_ok_and(|read_bytes| read_bytes > 0) {}
        });
        let flood = "GET /none HTTP/1.1\r\nHost: a\r\n\r\n".repeat(flood_count);
        let sent_at = Instant::now();
        let bytes = format!("{flood}{}", timed_request("a"));
        requests.write_all(bytes.as_bytes()).await.expect("the connection is open");
        let forwarded = server.accept().await.read_request().await.expect("the request is forwarded");
        let elapsed_ms = sent_at.elapsed().as_millis();
        let time_left_ms = header_value(&forwarded, "x-time-left-ms");
        let time_left_ms: u128 = time_left_ms.parse().expect("the time left is a number");
        assert!(
            time_left_ms + elapsed_ms <= TIME_LEFT_MS + SLACK_MS,
            "{flood_count} requests before it: forwarded {time_left_ms} ms after {elapsed_ms} ms"
        );
        reading.abort();
    }
}

// Guards against deadlines that count from the end of a response that the client was slow to read.
#[tokio::test]
async fn a_request_that_arrives_while_a_response_is_written_is_forwarded_with_the_remaining_time() {
    const RESPONSE_BYTES: usize = 60_000;
    const REQUEST_COUNT: usize = 150;
    const UNREAD: Duration = Duration::from_millis(800);
    let body = "d".repeat(RESPONSE_BYTES);
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n{body}");
    let mut server = StubServer::start(ServerBehavior::Respond(response.leak())).await;
    let discovery = StubDiscovery::start().await;
    let mut config = gateway_config(vec![endpoint_entry(1, server.address, "SERVING")], discovery.address);
    config["settings"]["limits"]["max_open"] = json!(1000);
    let gateway = Gateway::start(&config).await;
    let socket = TcpSocket::new_v4().expect("a socket is created");
    socket.set_recv_buffer_size(4096).expect("the buffer size can be set");
    let mut stream = socket.connect(gateway.address).await.expect("the gateway accepts connections");
    let requests: String = (0..REQUEST_COUNT).map(|n| look_request(&format!("{n}"))).collect();
    stream.write_all(requests.as_bytes()).await.expect("the connection is open");
    // By then the gateway waits until the client reads.
    sleep(UNREAD).await;
    let sent_at = Instant::now();
    stream.write_all(timed_request("timed").as_bytes()).await.expect("the connection is open");
    sleep(UNREAD).await;
    let (mut responses, _requests) = stream.into_split();
    let reading = tokio::spawn(async move {
        let mut buffer = vec![0; 64 * 1024];
        while responses.read(&mut buffer).await.is_ok_and(|read_bytes| read_bytes > 0) {}
    });
    let timed = async {
        loop {
            if let ServerEvent::Request(request) = server.next_event().await {
                if header_value(&request, "x-correlation-id") == "timed" {
                    return request;
                }
            }
        }
    };
    let forwarded = timeout(TEST_TIMEOUT, timed).await.expect("the request is forwarded");
    let elapsed_ms = sent_at.elapsed().as_millis();
    let time_left_ms: u128 =
        header_value(&forwarded, "x-time-left-ms").parse().expect("the time left is a number");
    assert!(
        time_left_ms + elapsed_ms <= TIME_LEFT_MS + SLACK_MS,
        "forwarded {time_left_ms} ms after {elapsed_ms} ms"
    );
    reading.abort();
}
