//! Requests that a client sends at once: each request that has been read gets its own response, in order.

mod common;
use common::*;
use serde_json::{json, Value};
use std::time::Duration;
use ternstack_gateway::http1::{CompleteMessage, Reader, StatusLine, MAX_BODY_BYTES};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{sleep, timeout};

/// Responses of a connection, which are read while requests are being written.
struct Responses {
    stream: OwnedReadHalf,
    reader: Reader<StatusLine>,
}

impl Responses {
    fn new(stream: OwnedReadHalf) -> Self {
        Responses { stream, reader: Reader::new(MAX_BODY_BYTES) }
    }

    /// Reads the next response; returns `None` if the connection ends first.
    async fn next(&mut self) -> Option<CompleteMessage<StatusLine>> {
        loop {
            if let Some(response) = self.reader.next(false).expect("the gateway sends valid responses") {
                return Some(response);
            }
            self.stream.readable().await.ok()?;
            match self.stream.try_read_buf(self.reader.buffer()) {
                Ok(0) => return None,
                Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => return None,
                _ => {}
            }
        }
    }

    /// Reads all responses until the connection ends; returns their status codes.
    async fn rest(&mut self) -> Vec<u16> {
        let mut codes = Vec::new();
        let read = async {
            while let Some(response) = self.next().await {
                codes.push(response.start_line.code);
                if !response.keep_alive {
                    return;
                }
            }
        };
        timeout(TEST_TIMEOUT, read).await.expect("the gateway responds or closes the connection");
        codes
    }
}

/// Returns a body that names its request on each line.
fn body_of(id: &str, bytes: usize) -> String {
    format!("booking={id}&desk=17\n").repeat(bytes / 20)
}

fn book_request(id: &str, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Service-Class: book\r\nIdempotency-Key: k{id}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the same request with a body in chunks of 100 bytes.
fn chunked_book_request(id: &str, body: &str) -> String {
    let chunks: String = body
        .as_bytes()
        .chunks(100)
        .map(|chunk| format!("{:x}\r\n{}\r\n", chunk.len(), String::from_utf8_lossy(chunk)))
        .collect();
    format!(
        "POST /api HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Service-Class: book\r\nIdempotency-Key: k{id}\r\n\
         Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
    )
}

/// A gateway with one server that serves each request.
async fn gateway_with_server(change: impl FnOnce(&mut Value)) -> (Gateway, StubServer) {
    let (server, discovery) = (StubServer::start(SERVE).await, StubDiscovery::start().await);
    let mut config = gateway_config(vec![endpoint_entry(1, server.address, "SERVING")], discovery.address);
    config["settings"]["tenants"] = json!([]);
    change(&mut config);
    (Gateway::start(&config).await, server)
}

/// Takes the requests that a server has received; checks that each one has the body that was sent with its id.
fn check_bodies(server: &mut StubServer, body_bytes: usize) -> usize {
    let mut count = 0;
    while let Ok(event) = server.events.try_recv() {
        let ServerEvent::Request(request) = event else { continue };
        let id = header_value(&request, "x-correlation-id");
        let expected = body_of(&id, body_bytes);
        assert!(request.body == expected.as_bytes(), "request {id} has the body that its client sent");
        count += 1;
    }
    count
}

// Guards against requests that are cut off or lost, or spliced into one another, behind an open request
// (review case 6).
#[tokio::test]
async fn requests_sent_at_once_are_forwarded_unchanged_and_answered_in_order() {
    const WINDOW: usize = 16;
    for encode in [book_request, chunked_book_request] {
        for body_bytes in [700, 8_000, 60_000] {
            let (gateway, mut server) = gateway_with_server(|_| ()).await;
            let (read_half, mut writer) = gateway.client().await.stream.into_split();
            let mut responses = Responses::new(read_half);
            let (count, mut sent, mut served) = (3 * WINDOW, 0, 0);
            for received in 0..count {
                while sent < count && sent < received + WINDOW {
                    let id = format!("{sent}");
                    let request = encode(&id, &body_of(&id, body_bytes));
                    writer.write_all(request.as_bytes()).await.expect("the connection is open");
                    sent += 1;
                }
                let response = timeout(TEST_TIMEOUT, responses.next()).await.expect("the gateway responds");
                let response = response.expect("the connection stays open");
                assert!(response.keep_alive, "{body_bytes} bytes: response {received} of {count}");
                served += usize::from(response.start_line.code == 200);
            }
            assert_eq!(served, count, "{body_bytes} bytes: all are served");
            assert_eq!(check_bodies(&mut server, body_bytes), count);
        }
    }
}

// Guards against requests without a response when more is sent at once than the memory budget can keep.
#[tokio::test]
async fn each_of_thousands_of_requests_sent_at_once_is_answered() {
    for (count, body_bytes, memory_mb) in [(3000, 100, 192), (3000, 1200, 16), (48, 60_000, 16)] {
        let (gateway, mut server) =
            gateway_with_server(|config| config["limits"]["memory_mb"] = json!(memory_mb)).await;
        let (read_half, mut writer) = gateway.client().await.stream.into_split();
        let mut responses = Responses::new(read_half);
        let requests: String = (0..count)
            .map(|n| format!("{n}"))
            .map(|id| book_request(&id, &body_of(&id, body_bytes)))
            .collect();
        let writing = tokio::spawn(async move {
            let written = writer.write_all(requests.as_bytes()).await;
            (written, writer)
        });
        let (mut served, mut rejected) = (0, 0);
        for number in 0..count {
            let response = timeout(TEST_TIMEOUT, responses.next()).await.expect("the gateway responds");
            match response.map(|response| (response.start_line.code, response.keep_alive)) {
                Some((200, true)) => served += 1,
                Some((503, true)) => rejected += 1,
                other => panic!("{body_bytes} bytes: response {number} is {other:?}"),
            }
        }
        let (written, _writer) = writing.await.expect("the writing task does not panic");
        written.expect("the connection stays open");
        assert_eq!(served + rejected, count);
        assert_eq!(check_bodies(&mut server, body_bytes), served, "each served request was forwarded once");
        assert!(served >= 16, "{body_bytes} bytes: {served} served, {rejected} rejected");
    }
}

// Guards against attempts for a client that has sent thousands of requests at once and has gone.
#[tokio::test]
async fn no_request_is_forwarded_after_a_client_has_sent_thousands_and_closed() {
    for resets in [false, true] {
        let (server, discovery) = (ScriptedServer::start().await, StubDiscovery::start().await);
        let config = gateway_config(vec![endpoint_entry(1, server.address, "SERVING")], discovery.address);
        let gateway = Gateway::start(&config).await;
        let mut client = gateway.client().await;
        client.send(&look_request("first")).await;
        let mut connection = server.accept().await;
        connection.read_request().await.expect("the first request is forwarded");
        let requests: String = (0..3000).map(|n| look_request(&format!("{n}"))).collect();
        client.send(&requests).await;
        if resets {
            client.stream.set_zero_linger().expect("the linger option can be set");
        }
        drop(client);
        assert!(connection.closes_without_data().await, "the attempt is cancelled; resets {resets}");
        // The next request that the server gets is that of another client.
        let mut other_client = gateway.client().await;
        other_client.send(&look_request("other")).await;
        let mut connection = server.accept().await;
        let request = connection.read_request().await.expect("the other request is forwarded");
        assert_eq!(header_value(&request, "x-correlation-id"), "other", "resets {resets}");
    }
}

// Guards against requests that are dropped because the client ends its sending side behind them.
#[tokio::test]
async fn requests_behind_the_end_of_the_clients_sending_side_are_all_answered() {
    let (_gateway, _server, client, mut connection) = request_in_flight().await;
    let (read_half, mut writer) = client.stream.into_split();
    let requests: String = (0..50).map(|n| look_request(&format!("{n}"))).collect();
    writer.write_all(requests.as_bytes()).await.expect("the connection is open");
    writer.shutdown().await.expect("the connection is open");
    let codes = Responses::new(read_half).rest().await;
    assert_eq!(codes, vec![503; 51], "the open request and those behind it are rejected");
    assert!(connection.closes_without_data().await, "nothing more is forwarded");
}

// Guards against valid requests that get no response because of an invalid one behind them.
#[tokio::test]
async fn requests_before_an_invalid_one_are_served_and_the_invalid_one_gets_its_error() {
    let oversized = format!("GET /api HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(20_000));
    for (invalid, status) in [("\u{1}\u{2} garbage\r\n\r\n".to_string(), 400), (oversized, 431)] {
        let (gateway, mut server) = gateway_with_server(|_| ()).await;
        let (read_half, mut writer) = gateway.client().await.stream.into_split();
        let valid: String =
            (0..20).map(|n| book_request(&format!("{n}"), &body_of(&format!("{n}"), 700))).collect();
        let bytes = format!("{valid}{invalid}{}", look_request("behind"));
        writer.write_all(bytes.as_bytes()).await.expect("the connection is open");
        let codes = Responses::new(read_half).rest().await;
        assert_eq!(codes, [vec![200; 20], vec![status]].concat());
        assert_eq!(check_bodies(&mut server, 700), 20, "nothing behind the invalid request is forwarded");
    }
}

// Guards against requests that get no response because a request before them has an invalid field.
#[tokio::test]
async fn requests_behind_a_request_with_an_invalid_field_are_answered() {
    let (gateway, _server) = gateway_with_server(|_| ()).await;
    let (read_half, mut writer) = gateway.client().await.stream.into_split();
    let without_id = "GET /api HTTP/1.1\r\nX-Service-Class: look\r\n\r\n";
    let bytes = format!("{}{without_id}{}", look_request("a"), look_request("b"));
    writer.write_all(bytes.as_bytes()).await.expect("the connection is open");
    assert_eq!(Responses::new(read_half).rest().await[..3], [200, 400, 200]);
}

// Guards against requests that were read before SIGTERM and get no response.
#[tokio::test]
async fn requests_sent_at_once_before_a_shutdown_are_all_answered() {
    const COUNT: usize = 300;
    let (mut gateway, mut server) = gateway_with_server(|_| ()).await;
    let (read_half, mut writer) = gateway.client().await.stream.into_split();
    let requests: String =
        (0..COUNT).map(|n| book_request(&format!("{n}"), &body_of(&format!("{n}"), 700))).collect();
    writer.write_all(requests.as_bytes()).await.expect("the connection is open");
    let mut responses = Responses::new(read_half);
    let first = timeout(TEST_TIMEOUT, responses.next()).await.expect("the gateway responds");
    assert_eq!(first.expect("the gateway responds").start_line.code, 200);
    // The rest of the requests is read behind the open one.
    sleep(Duration::from_millis(20)).await;
    gateway.shut_down();
    let codes = responses.rest().await;
    let served = check_bodies(&mut server, 700);
    assert!(codes.iter().all(|code| matches!(code, 200 | 503)), "{codes:?}");
    assert_eq!(
        codes.len(),
        COUNT - 1,
        "each request is answered before the connection closes; {served} served"
    );
}

// Guards against requests of a windowed client whose time seems to have run since its first request.
#[tokio::test]
async fn a_client_that_always_has_requests_waiting_is_forwarded_with_the_time_of_each_request() {
    let (_gateway, _server, mut client, mut connection) = request_in_flight().await;
    let request =
        |id: usize| look_request(&format!("{id}")).replace("\r\n\r\n", "\r\nX-Time-Left-Ms: 2000\r\n\r\n");
    client.send(&request(0)).await;
    for id in 1..8 {
        client.send(&request(id)).await;
        sleep(Duration::from_millis(300)).await;
        connection.write(OK_RESPONSE).await;
        let forwarded = connection.read_request().await.expect("the next request is forwarded");
        let time_left_ms = header_value(&forwarded, "x-time-left-ms");
        let time_left_ms: u64 = time_left_ms.parse().expect("the time left is a number");
        assert!(
            (1000..=1850).contains(&time_left_ms),
            "request {id} waited 300 to 600 ms: {time_left_ms} ms"
        );
    }
}

// Guards against clients whose unread responses keep the memory of their further requests from others.
#[tokio::test]
async fn the_memory_of_waiting_requests_is_given_up_for_the_request_of_another_client() {
    let (server, discovery) = (StubServer::start(ServerBehavior::Hang).await, StubDiscovery::start().await);
    let mut config = gateway_config(vec![endpoint_entry(1, server.address, "SERVING")], discovery.address);
    config["limits"]["memory_mb"] = json!(16);
    let gateway = Gateway::start(&config).await;
    let mut greedy_clients = Vec::new();
    for number in 0..8 {
        let mut client = gateway.client().await;
        let ids = (0..1000).map(|n| format!("{number}-{n}"));
        let requests: String = ids.map(|id| book_request(&id, &body_of(&id, 1200))).collect();
        let writing = async { drop(client.stream.write_all(requests.as_bytes()).await) };
        let _ = timeout(Duration::from_millis(200), writing).await;
        greedy_clients.push(client);
    }
    for number in 0..16 {
        let mut client = gateway.client().await;
        let id = format!("large-{number}");
        let request = book_request(&id, &body_of(&id, 40_000))
            .replace("Idempotency-Key", "X-Time-Left-Ms: 300\r\nIdempotency-Key");
        let response = client.request(&request).await;
        let code = response.start_line.code;
        assert!(response.keep_alive, "request {number} was complete and has not been evicted: {code}");
    }
}

// Guards against requests that are lost because their connection is evicted between two of them.
#[tokio::test]
async fn requests_sent_at_once_are_all_answered_while_other_connections_are_evicted() {
    const COUNT: usize = 400;
    let (gateway, mut server) = gateway_with_server(|config| config["limits"]["sockets"] = json!(64)).await;
    let (read_half, mut writer) = gateway.client().await.stream.into_split();
    let address = gateway.address;
    let crowd = tokio::spawn(async move {
        let mut others = std::collections::VecDeque::new();
        loop {
            let mut other =
                Client { stream: tokio::net::TcpStream::connect(address).await.expect("it listens") };
            // The gateway may have closed the connection already.
            let _ = other.stream.write_all(b"GET /api HTTP/1.1\r\nX-Correlation-Id: half").await;
            others.push_back(other);
            if others.len() > 100 {
                others.pop_front();
            }
            sleep(Duration::from_millis(1)).await;
        }
    });
    let requests: String =
        (0..COUNT).map(|n| book_request(&format!("{n}"), &body_of(&format!("{n}"), 700))).collect();
    writer.write_all(requests.as_bytes()).await.expect("the connection is open");
    let mut responses = Responses::new(read_half);
    for number in 0..COUNT {
        let response = timeout(TEST_TIMEOUT, responses.next()).await.expect("the gateway responds");
        let code = response.map(|response| response.start_line.code);
        assert!(matches!(code, Some(200 | 503)), "response {number} is {code:?}");
    }
    crowd.abort();
    assert!(check_bodies(&mut server, 700) <= COUNT);
}

// Guards against a connection whose requests are rejected for good once the memory has run out behind one of them.
#[tokio::test]
async fn a_request_that_comes_after_skipped_ones_have_been_rejected_is_served() {
    let (gateway, _server) = gateway_with_server(|config| config["limits"]["memory_mb"] = json!(16)).await;
    let (read_half, mut writer) = gateway.client().await.stream.into_split();
    let mut responses = Responses::new(read_half);
    let requests: String =
        (0..60).map(|n| format!("{n}")).map(|id| book_request(&id, &body_of(&id, 60_000))).collect();
    let writing = tokio::spawn(async move {
        writer.write_all(requests.as_bytes()).await.expect("the connection is open");
        writer
    });
    let mut rejected = 0;
    for _ in 0..60 {
        let response = timeout(TEST_TIMEOUT, responses.next()).await.expect("the gateway responds");
        rejected += usize::from(response.expect("the connection is open").start_line.code == 503);
    }
    assert!(rejected > 0, "more was sent than the memory has room for");
    let mut writer = writing.await.expect("the writing task does not panic");
    writer.write_all(look_request("later").as_bytes()).await.expect("the connection is open");
    let response = timeout(TEST_TIMEOUT, responses.next()).await.expect("the gateway responds");
    assert_eq!(response.expect("the connection is open").start_line.code, 200);
}
