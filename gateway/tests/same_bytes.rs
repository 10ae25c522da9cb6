//! The bytes of the gateway's HTTP messages to clients, endpoints and discovery, compared with fixtures.
//!
//! In the fixtures, the value of `X-Time-Left-Ms` in forwarded requests and the port of the test's own socket
//! are replaced by `#`. All other bytes are recorded as they were sent. With `TERNSTACK_WRITE_FIXTURES` set,
//! the tests record the fixtures again.

mod common;
use common::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use ternstack_gateway::events::Response;
use ternstack_gateway::http1::{ParseError, Reader, StatusLine, MAX_BODY_BYTES};
use ternstack_gateway::response::{EncodedResponse, LocalResponse};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

const GENERATED_REQUESTS: usize = 160;
/// The time after the start of a graceful shutdown within which the gateway must stop reporting ready. New
/// connections are still accepted for 550 ms, and one request takes a few milliseconds.
const MAX_READY_AFTER_SHUTDOWN: Duration = Duration::from_millis(200);

/// Returns a line of a fixture, with the bytes escaped.
fn fixture_line(label: &str, bytes: &[u8]) -> String {
    format!("{label}\t{}", bytes.escape_ascii())
}

/// Returns the bytes of a request with the value of `X-Time-Left-Ms` replaced by `#`.
fn mask_time_left(bytes: &[u8]) -> Vec<u8> {
    const HEADER: &[u8] = b"\r\nX-Time-Left-Ms: ";
    let Some(start) = bytes.windows(HEADER.len()).position(|w| w == HEADER) else { return bytes.to_vec() };
    let value_start = start + HEADER.len();
    let digit_count = bytes[value_start..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    [&bytes[..value_start], b"#", &bytes[value_start + digit_count..]].concat()
}

/// A generator of pseudorandom numbers (SplitMix64), which always gives the same sequence for a seed.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from 0 to `count - 1`.
    fn below(&mut self, count: usize) -> usize {
        (self.next() % count as u64) as usize
    }

    /// Returns one of the items.
    fn choose<'a>(&mut self, items: &[&'a str]) -> &'a str {
        items[self.below(items.len())]
    }
}

/// Reads the bytes of one message: the head, and as many bytes of the body as `Content-Length` says. Returns
/// `None` if the connection ends first.
async fn read_raw_message(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|start| start + 4) {
            let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
            if bytes.len() >= end + length.unwrap_or(0) {
                return Some(bytes);
            }
        }
        if timeout(TEST_TIMEOUT, stream.read_buf(&mut bytes))
            .await
            .expect("the message is received completely")
            .unwrap_or(0)
            == 0
        {
            return None;
        }
    }
}

/// Starts a server that sends the bytes of each request to the returned receiver, and responds with the text
/// that `respond` returns for the request; `None` closes the connection.
async fn start_raw_server(
    respond: impl Fn(&str) -> Option<String> + Clone + Send + 'static,
) -> (SocketAddr, mpsc::UnboundedReceiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is bound");
    let address = listener.local_addr().expect("a listener has an address");
    let (request_sender, requests) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (request_sender, respond) = (request_sender.clone(), respond.clone());
            tokio::spawn(async move {
                while let Some(request) = read_raw_message(&mut stream).await {
                    let text = String::from_utf8_lossy(&request).into_owned();
                    let _ = request_sender.send(request);
                    let Some(response) = respond(&text) else { return };
                    drop(stream.write_all(response.as_bytes()).await);
                    if response.contains("to the end") || response.contains("Connection: close") {
                        return;
                    }
                }
            });
        }
    });
    (address, requests)
}

/// Waits for the next request at a server, and returns the masked bytes of the request.
async fn receive_request(requests: &mut mpsc::UnboundedReceiver<Vec<u8>>) -> Vec<u8> {
    mask_time_left(
        &timeout(TEST_TIMEOUT, requests.recv())
            .await
            .expect("the server receives a request")
            .expect("the server is running"),
    )
}

/// Sends a request over a new connection, and returns the bytes of the response.
async fn exchange(gateway: &Gateway, text: &str) -> Vec<u8> {
    let mut client = gateway.client().await;
    client.send(text).await;
    read_raw_message(&mut client.stream).await.expect("the gateway responds")
}

/// Returns a configuration with one endpoint, without a quota, and with three classes: idempotent, idempotent
/// with an idempotency key, and non-idempotent.
fn config_with_three_classes(server: SocketAddr, discovery: SocketAddr) -> Value {
    let mut config = gateway_config(vec![endpoint_entry(1, server, "SERVING")], discovery);
    config["settings"]["classes"].as_array_mut().expect("the classes are an array").push(json!(
        {"name": "sign", "aim_ms": 8000.0, "deadline_ms": 20000.0, "effect": "unsafe", "late_value": 0.2}));
    config["settings"]["tenants"][0]["quota_per_s"] = json!(0.0);
    config
}

/// Returns a pseudorandom request. The correlation id ends in `number`.
fn generated_request(random: &mut Random, number: usize) -> String {
    let method = random.choose(&["GET", "POST"]);
    let target = random.choose(&["/api", "/api?desk=4", "/api?a=%20b&c=d?e", "/api?"]);
    let version = random.choose(&["HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0"]);
    let class = random.choose(&["look", "book", "sign"]);
    let mut fields = vec![format!("X-Correlation-Id: id-{number}"), format!("X-Service-Class: {class}")];
    fields.push(random.choose(&["Host: backend.local", "host: other:81", "X-None: 1"]).to_string());
    if class == "book" || random.below(4) == 0 {
        fields.push(format!("{}: key {number}", random.choose(&["Idempotency-Key", "idempotency-key"])));
    }
    for (one_in, field) in [
        (2, "X-Account: acme"),
        (5, "X-Account: nobody"),
        (2, "X-Time-Left-Ms: 9000"),
        (6, "x-other-field:  padded, value  "),
        (6, "X-Empty:"),
        (5, "Accept: text/x\r\nAccept: */*"),
        (5, "Connection: keep-alive"),
        (8, "Connection: close"),
        (4, "Connection: X-Hop, X-Correlation-Id, idempotency-key"),
        (4, "X-Hop: 1"),
        (5, "Keep-Alive: timeout=5"),
        (5, "TE: trailers"),
        (5, "Upgrade: other/2"),
        (5, "Proxy-Connection: keep-alive"),
        (5, "Trailer: X-T"),
        (7, "X-Backend-Load: util=0.1"),
        (7, "X-Unprocessed: 1"),
    ] {
        if random.below(one_in) == 0 {
            let position = random.below(fields.len() + 1);
            fields.insert(position, field.to_string());
        }
    }
    let body = "desk\r\n\u{e9}\u{1}".repeat(random.below(40));
    let body = match random.below(3) {
        0 => String::new(),
        1 => {
            fields.push(format!("Content-Length: {}", body.len()));
            body
        }
        _ => {
            fields.push("Transfer-Encoding: chunked".into());
            let chunk = |part: &str| format!("{:x};a=b\r\n{part}\r\n", part.len());
            let chunks = body.split_inclusive("\r\n").map(chunk).collect::<String>();
            chunks + random.choose(&["0\r\n\r\n", "0\r\nX-T: 1\r\n\r\n"])
        }
    };
    format!("{method} {target} {version}\r\n{}\r\n\r\n{body}", fields.join("\r\n"))
}

/// Returns a pseudorandom response, which depends only on the length of the request.
fn generated_response(request: &str) -> Option<String> {
    let mut random = Random(request.len() as u64);
    let interim =
        random.choose(&["", "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early\r\nX-I: 1\r\n\r\n"]);
    let head = "200 OK\r\nContent-Type: text/x\r\nX-Backend-Load: util=0.5,qps=20";
    let extra_fields = random.choose(&[
        "X-Other: 1",
        "Connection: X-Hop\r\nX-Hop: 1",
        "Keep-Alive: timeout=3\r\nx-backend-load: util=1",
        "Set-Cookie: a=b\r\nSet-Cookie: c=d",
        "Retry-After: 3\r\nTrailer: X-T\r\nUpgrade: other/2",
    ]);
    let framing_and_body = random.choose(&[
        "Content-Length: 4\r\n\r\ndesk",
        "Content-Length: 0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3\r\ndes\r\n1;x\r\nk\r\n0\r\nX-T: 1\r\n\r\n",
        "Connection: close\r\nContent-Length: 4\r\n\r\ndesk",
        "X-Last: 1\r\n\r\nto the end",
    ]);
    Some(format!("{interim}HTTP/1.1 {head}\r\n{extra_fields}\r\n{framing_and_body}"))
}

#[tokio::test]
async fn generated_requests_and_responses_are_forwarded_with_the_recorded_bytes() {
    let (server, mut requests) = start_raw_server(generated_response).await;
    let discovery = StubDiscovery::start().await;
    let gateway = Gateway::start(&config_with_three_classes(server, discovery.address)).await;
    let (mut random, mut lines) = (Random(20), Vec::new());
    for n in 0..GENERATED_REQUESTS {
        let text = generated_request(&mut random, n);
        let response = exchange(&gateway, &text).await;
        lines.push(fixture_line("client", text.as_bytes()));
        lines.push(fixture_line("server", &receive_request(&mut requests).await));
        lines.push(fixture_line("answer", &response));
    }
    // A client with `Expect: 100-continue` sends its body only after the interim response.
    let mut client = gateway.client().await;
    let head =
        look_request("expects").replace("GET", "POST").replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n");
    client.send(&format!("{head}Content-Length: 4\r\n\r\n")).await;
    lines.push(fixture_line(
        "continue",
        &read_raw_message(&mut client.stream).await.expect("the gateway sends the interim response"),
    ));
    client.send("desk").await;
    lines.push(fixture_line("server", &receive_request(&mut requests).await));
    lines.push(fixture_line(
        "answer",
        &read_raw_message(&mut client.stream).await.expect("the gateway responds"),
    ));
    assert_fixture("requests.txt", &lines);
}

#[tokio::test]
async fn local_responses_have_the_recorded_bytes() {
    let (server, mut requests) = start_raw_server(|request| match request {
        text if text.contains("hangs") => Some(String::new()),
        _ => None,
    })
    .await;
    let discovery = StubDiscovery::start().await;
    let gateway = Gateway::start(&config_with_three_classes(server, discovery.address)).await;
    let api_request = |fields: &str| format!("GET /api HTTP/1.1\r\n{fields}\r\n\r\n");
    let valid_headers = "X-Correlation-Id: a\r\nX-Service-Class: look";
    let mut lines = Vec::new();
    for text in [
        "GET /ready HTTP/1.1\r\n\r\n".into(),
        "GET /ready?a=b HTTP/1.0\r\n\r\n".into(),
        "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n".into(),
        "POST /ready HTTP/1.1\r\n\r\n".into(),
        "PUT /api HTTP/1.1\r\n\r\n".into(),
        "GET /apis HTTP/1.1\r\n\r\n".into(),
        "GET / HTTP/1.0\r\n\r\n".into(),
        "\u{1} garbage\r\n\r\n".into(),
        api_request("No colon"),
        api_request(""),
        api_request("X-Correlation-Id:\r\nX-Service-Class: look"),
        api_request("X-Correlation-Id: a\r\nX-Correlation-Id: b\r\nX-Service-Class: look"),
        api_request("X-Correlation-Id: a"),
        api_request("X-Correlation-Id: a\r\nX-Service-Class: lunch"),
        api_request("X-Correlation-Id: a\r\nX-Service-Class: book"),
        api_request("X-Correlation-Id: a\r\nX-Service-Class: book\r\nIdempotency-Key:"),
        api_request(&format!("{valid_headers}\r\nX-Time-Left-Ms: soon")),
        api_request(&format!("{valid_headers}\r\nX-Time-Left-Ms: 1e2")),
        api_request(&format!("{valid_headers}\r\nContent-Length: x")),
        api_request(&format!("{valid_headers}\r\nContent-Length: 65537")),
        api_request(&format!("{valid_headers}\r\nTransfer-Encoding: gzip")),
        api_request(&format!("{valid_headers}\r\nX-Long: {}", "x".repeat(20_000))),
        // The body stays incomplete.
        "POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\ndesk".into(),
        // The server closes the connection, so that the request may have run.
        look_request("b").replace("look", "sign"),
    ] {
        let response = exchange(&gateway, &text).await;
        lines.push(fixture_line("client", &text.as_bytes()[..text.len().min(120)]));
        lines.push(fixture_line("answer", &response));
    }
    assert!(receive_request(&mut requests).await.starts_with(b"GET /api"));
    // A request with the id of an open request, and a client that ends its sending side while its request is
    // open.
    for class in ["look", "sign"] {
        let text = look_request("hangs").replace("look", class);
        let mut client = gateway.client().await;
        client.send(&text).await;
        receive_request(&mut requests).await;
        lines.push(fixture_line("in use", &exchange(&gateway, &text).await));
        client.stream.shutdown().await.expect("the connection is open");
        let mut response = Vec::new();
        timeout(TEST_TIMEOUT, client.stream.read_to_end(&mut response))
            .await
            .expect("the connection ends")
            .expect("the gateway responds");
        lines.push(fixture_line(class, &response));
    }
    assert_fixture("local_answers.txt", &lines);
}

/// Uses a clock that advances in steps of 1 ms, so that the phases of the shutdown are distinct even on a
/// slow machine.
#[tokio::test(start_paused = true)]
async fn rejections_and_responses_during_shutdown_have_the_recorded_bytes() {
    let _clock = start_clock_driver(true);
    let mut lines = Vec::new();
    for has_retry_after in [true, false] {
        let (server, mut requests) = start_raw_server(|_| Some(String::new())).await;
        let discovery = StubDiscovery::start().await;
        let mut config = config_with_three_classes(server, discovery.address);
        config["settings"]["limits"]["max_open"] = json!(1);
        config["settings"]["limits"]["retry_after"] = json!(has_retry_after);
        let mut gateway = Gateway::start(&config).await;
        let mut open_client = gateway.client().await;
        open_client.send(&look_request("open")).await;
        receive_request(&mut requests).await;
        lines.push(fixture_line("past max_open", &exchange(&gateway, &look_request("more")).await));
        lines.push(fixture_line("serving", &exchange(&gateway, "GET /ready HTTP/1.1\r\n\r\n").await));
        gateway.shut_down();
        let shutdown_at = Instant::now();
        let stopping_response = loop {
            let response = exchange(&gateway, "GET /ready HTTP/1.1\r\n\r\n").await;
            if !response.starts_with(b"HTTP/1.1 200") {
                break response;
            }
        };
        lines.push(fixture_line("stopping", &stopping_response));
        let ready_for = shutdown_at.elapsed();
        assert!(
            ready_for < MAX_READY_AFTER_SHUTDOWN,
            "the gateway reported ready for {ready_for:?} after the shutdown began"
        );
        // These requests begin while connections are accepted, and are complete only after the listener is
        // closed.
        let mut late_clients = Vec::new();
        while let Ok(stream) = TcpStream::connect(gateway.address).await {
            let mut client = Client { stream };
            client.send("GET /").await;
            late_clients.push(client);
            sleep(Duration::from_millis(20)).await;
        }
        let mut ready_client = late_clients.pop().expect("a client has connected during the shutdown");
        ready_client.send("ready HTTP/1.1\r\n\r\n").await;
        lines.push(fixture_line(
            "ready at the end",
            &read_raw_message(&mut ready_client.stream).await.expect("the gateway responds"),
        ));
        let mut api_client = late_clients.pop().expect("two clients have connected during the shutdown");
        api_client.send(&look_request("late").replace("GET /", "")).await;
        lines.push(fixture_line(
            "api at the end",
            &read_raw_message(&mut api_client.stream).await.expect("the gateway responds"),
        ));
        drop((ready_client, api_client, late_clients, open_client));
        timeout(TEST_TIMEOUT, gateway.task)
            .await
            .expect("the gateway stops")
            .expect("the gateway does not panic")
            .expect("the gateway stops without an error");
    }
    assert_fixture("phases.txt", &lines);
}

#[test]
fn every_encoded_response_has_the_recorded_bytes() {
    let mut lines = Vec::new();
    let mut record = |label: String, response: EncodedResponse| {
        lines.push(fixture_line(&label, &[response.head, response.body].concat()));
    };
    for keep_alive in [true, false] {
        for n in 0..60 {
            let text = generated_response(&"x".repeat(n)).expect("a response is generated");
            let mut reader = Reader::<StatusLine>::new(MAX_BODY_BYTES);
            reader.buffer().extend_from_slice(text.as_bytes());
            let served =
                reader.next(true).expect("the response is well-formed").expect("the response is complete");
            record(format!("served {n} {keep_alive}"), Response::Served(served.into()).encode(keep_alive));
        }
        for retry_after_ms in [0.0, 0.4, 0.5, 1.0, 999.999, 1234.5, 2000.0, 86_400_000.0] {
            let rejected = Response::Rejected { retry_after_ms };
            record(format!("refused {retry_after_ms} {keep_alive}"), rejected.encode(keep_alive));
        }
        record(format!("failed {keep_alive}"), Response::Failed.encode(keep_alive));
        record(format!("overdue {keep_alive}"), Response::TimedOut.encode(keep_alive));
        for local_response in [
            LocalResponse::Ready,
            LocalResponse::Stopping,
            LocalResponse::BadRequest("why"),
            LocalResponse::NotFound,
            LocalResponse::MethodNotAllowed,
        ] {
            record(format!("plain {keep_alive}"), local_response.encode(keep_alive));
        }
        for local_response in
            [LocalResponse::RequestTimeout, LocalResponse::BodyTooLarge, LocalResponse::HeadTooLarge]
        {
            record(format!("plain {keep_alive}"), local_response.encode(keep_alive));
        }
    }
    for parse_error in [
        ParseError::MalformedHead,
        ParseError::InvalidLength,
        ParseError::HeadTooLarge,
        ParseError::BodyTooLarge,
    ] {
        record("malformed".into(), LocalResponse::from(parse_error).encode(false));
    }
    assert_fixture("final_answers.txt", &lines);
}

#[tokio::test]
async fn polls_and_health_checks_have_the_recorded_bytes() {
    let mut lines = Vec::new();
    for has_cached_list in [true, false] {
        let (server, mut requests) = start_raw_server(|_| {
            Some("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nutil=0.9,qps=10,queue=0".into())
        })
        .await;
        // The poll after revision 44 gets status 500, so that the next poll begins another watch.
        let (discovery, mut polls) = start_raw_server(|poll_text| {
            Some(match poll_text {
                text if text.contains("after=44") => "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".into(),
                text if text.contains("after=43") => ok_response(&endpoint_list(44, false, vec![])),
                text if text.contains("after=42") => ok_response(&endpoint_list(43, false, vec![])),
                _ => ok_response(&endpoint_list(42, false, vec![])),
            })
        })
        .await;
        let mut config = config_with_three_classes(server, discovery);
        if !has_cached_list {
            config["known"] = Value::Null;
        }
        config["settings"]["report"]["how"] = "on_probe".into();
        config["settings"]["limits"]["may_probe"] = true.into();
        let _gateway = Gateway::start(&config).await;
        for _ in 0..5 {
            let poll_text =
                String::from_utf8(receive_request(&mut polls).await).expect("the poll is valid UTF-8");
            lines.push(fixture_line(
                "discovery",
                poll_text.replace(&format!(":{}", discovery.port()), ":#").as_bytes(),
            ));
        }
        if has_cached_list {
            lines.push(fixture_line("health check", &receive_request(&mut requests).await));
        }
    }
    assert_fixture("discovery.txt", &lines);
}
