//! The gateway's HTTP bytes towards clients, servers and discovery, held to fixtures.
//!
//! Masking rule: the digits of `X-Time-Left-Ms` in what a server gets, and the port of a test's own socket, are
//! written as `#`; all other bytes stand as they were sent. `TERNSTACK_WRITE_FIXTURES=1` writes the fixtures anew.

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

const DRAWN_REQUESTS: usize = 160;
/// Of the 550 ms in which new connections still come; an exchange takes a few.
const NOT_READY_WITHIN: Duration = Duration::from_millis(200);

fn line(label: &str, bytes: &[u8]) -> String {
    format!("{label}\t{}", bytes.escape_ascii())
}

fn masked(bytes: &[u8]) -> Vec<u8> {
    const TIME_LEFT: &[u8] = b"\r\nX-Time-Left-Ms: ";
    let Some(at) = bytes.windows(TIME_LEFT.len()).position(|w| w == TIME_LEFT) else { return bytes.to_vec() };
    let value = at + TIME_LEFT.len();
    let digits = bytes[value..].iter().take_while(|b| b.is_ascii_digit()).count();
    [&bytes[..value], b"#", &bytes[value + digits..]].concat()
}

/// SplitMix64.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, count: usize) -> usize {
        (self.next() % count as u64) as usize
    }

    fn one<'a>(&mut self, all: &[&'a str]) -> &'a str {
        all[self.below(all.len())]
    }
}

/// Reads a message as its bytes stand on the connection: the head, and as much body as `Content-Length` says.
async fn raw_message(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4) {
            let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
            if bytes.len() >= end + length.unwrap_or(0) {
                return Some(bytes);
            }
        }
        if timeout(LONG, stream.read_buf(&mut bytes)).await.expect("more comes").unwrap_or(0) == 0 {
            return None;
        }
    }
}

/// A server that hands on the bytes of each request and answers as `answer` says; `None` ends the connection.
async fn raw_server(
    answer: impl Fn(&str) -> Option<String> + Clone + Send + 'static,
) -> (SocketAddr, mpsc::UnboundedReceiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let at = listener.local_addr().expect("an address");
    let (tell, requests) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (tell, answer) = (tell.clone(), answer.clone());
            tokio::spawn(async move {
                while let Some(request) = raw_message(&mut stream).await {
                    let text = String::from_utf8_lossy(&request).into_owned();
                    let _ = tell.send(request);
                    let Some(answer) = answer(&text) else { return };
                    drop(stream.write_all(answer.as_bytes()).await);
                    if answer.contains("to the end") || answer.contains("Connection: close") {
                        return;
                    }
                }
            });
        }
    });
    (at, requests)
}

async fn received(requests: &mut mpsc::UnboundedReceiver<Vec<u8>>) -> Vec<u8> {
    masked(&timeout(LONG, requests.recv()).await.expect("a request comes").expect("the server runs"))
}

/// Sends a text over a new connection; the bytes of the answer.
async fn exchange(gateway: &Gateway, text: &str) -> Vec<u8> {
    let mut client = gateway.client().await;
    client.send(text).await;
    raw_message(&mut client.stream).await.expect("an answer")
}

/// A configuration of a safe, a keyed and an unsafe class, with one server and no quota.
fn three_classes(server: SocketAddr, discovery: SocketAddr) -> Value {
    let mut config = config(vec![target(1, server, "SERVING")], discovery);
    config["settings"]["classes"].as_array_mut().expect("classes").push(json!(
        {"name": "sign", "aim_ms": 8000.0, "deadline_ms": 20000.0, "effect": "unsafe", "late_value": 0.2}));
    config["settings"]["tenants"][0]["quota_per_s"] = json!(0.0);
    config
}

/// The n-th drawn request.
fn drawn_request(draws: &mut Draws, n: usize) -> String {
    let method = draws.one(&["GET", "POST"]);
    let target = draws.one(&["/api", "/api?desk=4", "/api?a=%20b&c=d?e", "/api?"]);
    let version = draws.one(&["HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0"]);
    let class = draws.one(&["look", "book", "sign"]);
    let mut fields = vec![format!("X-Correlation-Id: id-{n}"), format!("X-Service-Class: {class}")];
    fields.push(draws.one(&["Host: backend.local", "host: other:81", "X-None: 1"]).to_string());
    if class == "book" || draws.below(4) == 0 {
        fields.push(format!("{}: key {n}", draws.one(&["Idempotency-Key", "idempotency-key"])));
    }
    for (chances, field) in [
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
        if draws.below(chances) == 0 {
            let at = draws.below(fields.len() + 1);
            fields.insert(at, field.to_string());
        }
    }
    let body = "desk\r\n\u{e9}\u{1}".repeat(draws.below(40));
    let body = match draws.below(3) {
        0 => String::new(),
        1 => {
            fields.push(format!("Content-Length: {}", body.len()));
            body
        }
        _ => {
            fields.push("Transfer-Encoding: chunked".into());
            let sized = |part: &str| format!("{:x};a=b\r\n{part}\r\n", part.len());
            let chunks = body.split_inclusive("\r\n").map(sized).collect::<String>();
            chunks + draws.one(&["0\r\n\r\n", "0\r\nX-T: 1\r\n\r\n"])
        }
    };
    format!("{method} {target} {version}\r\n{}\r\n\r\n{body}", fields.join("\r\n"))
}

/// How a server answers a drawn request.
fn drawn_answer(request: &str) -> Option<String> {
    let mut draws = Draws(request.len() as u64);
    let interim =
        draws.one(&["", "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early\r\nX-I: 1\r\n\r\n"]);
    let head = "200 OK\r\nContent-Type: text/x\r\nX-Backend-Load: util=0.5,qps=20";
    let more = draws.one(&[
        "X-Other: 1",
        "Connection: X-Hop\r\nX-Hop: 1",
        "Keep-Alive: timeout=3\r\nx-backend-load: util=1",
        "Set-Cookie: a=b\r\nSet-Cookie: c=d",
        "Retry-After: 3\r\nTrailer: X-T\r\nUpgrade: other/2",
    ]);
    let rest = draws.one(&[
        "Content-Length: 4\r\n\r\ndesk",
        "Content-Length: 0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3\r\ndes\r\n1;x\r\nk\r\n0\r\nX-T: 1\r\n\r\n",
        "Connection: close\r\nContent-Length: 4\r\n\r\ndesk",
        "X-Last: 1\r\n\r\nto the end",
    ]);
    Some(format!("{interim}HTTP/1.1 {head}\r\n{more}\r\n{rest}"))
}

#[tokio::test]
async fn drawn_requests_reach_servers_and_their_answers_clients_in_the_same_bytes() {
    let (server, mut requests) = raw_server(drawn_answer).await;
    let discovery = Discovery::start().await;
    let gateway = Gateway::start(&three_classes(server, discovery.at)).await;
    let (mut draws, mut lines) = (Draws(20), Vec::new());
    for n in 0..DRAWN_REQUESTS {
        let text = drawn_request(&mut draws, n);
        let answer = exchange(&gateway, &text).await;
        lines.push(line("client", text.as_bytes()));
        lines.push(line("server", &received(&mut requests).await));
        lines.push(line("answer", &answer));
    }
    // A client that waits to be asked for its body.
    let mut client = gateway.client().await;
    let head = look("expects").replace("GET", "POST").replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n");
    client.send(&format!("{head}Content-Length: 4\r\n\r\n")).await;
    lines.push(line("continue", &raw_message(&mut client.stream).await.expect("it is asked")));
    client.send("desk").await;
    lines.push(line("server", &received(&mut requests).await));
    lines.push(line("answer", &raw_message(&mut client.stream).await.expect("an answer")));
    assert_fixture("requests.txt", &lines);
}

#[tokio::test]
async fn what_the_gateway_answers_by_itself_keeps_its_bytes() {
    let (server, mut requests) = raw_server(|request| match request {
        text if text.contains("hangs") => Some(String::new()),
        _ => None,
    })
    .await;
    let discovery = Discovery::start().await;
    let gateway = Gateway::start(&three_classes(server, discovery.at)).await;
    let api = |fields: &str| format!("GET /api HTTP/1.1\r\n{fields}\r\n\r\n");
    let named = "X-Correlation-Id: a\r\nX-Service-Class: look";
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
        api("No colon"),
        api(""),
        api("X-Correlation-Id:\r\nX-Service-Class: look"),
        api("X-Correlation-Id: a\r\nX-Correlation-Id: b\r\nX-Service-Class: look"),
        api("X-Correlation-Id: a"),
        api("X-Correlation-Id: a\r\nX-Service-Class: lunch"),
        api("X-Correlation-Id: a\r\nX-Service-Class: book"),
        api("X-Correlation-Id: a\r\nX-Service-Class: book\r\nIdempotency-Key:"),
        api(&format!("{named}\r\nX-Time-Left-Ms: soon")),
        api(&format!("{named}\r\nX-Time-Left-Ms: 1e2")),
        api(&format!("{named}\r\nContent-Length: x")),
        api(&format!("{named}\r\nContent-Length: 65537")),
        api(&format!("{named}\r\nTransfer-Encoding: gzip")),
        api(&format!("{named}\r\nX-Long: {}", "x".repeat(20_000))),
        "POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\ndesk".into(), // Never whole.
        look("b").replace("look", "sign"), // Its server ends the connection: it may have run.
    ] {
        let answer = exchange(&gateway, &text).await;
        lines.push(line("client", &text.as_bytes()[..text.len().min(120)]));
        lines.push(line("answer", &answer));
    }
    assert!(received(&mut requests).await.starts_with(b"GET /api"));
    // The id of an open request, and clients that end their sending side while a server has their request.
    for class in ["look", "sign"] {
        let text = look("hangs").replace("look", class);
        let mut client = gateway.client().await;
        client.send(&text).await;
        received(&mut requests).await;
        lines.push(line("in use", &exchange(&gateway, &text).await));
        client.stream.shutdown().await.expect("it is up");
        let mut answer = Vec::new();
        timeout(LONG, client.stream.read_to_end(&mut answer)).await.expect("an end").expect("an answer");
        lines.push(line(class, &answer));
    }
    assert_fixture("local_answers.txt", &lines);
}

/// The clock moves by a millisecond at a time, so that the phases are told apart however slow the machine is.
#[tokio::test(start_paused = true)]
async fn refusals_and_the_phases_of_an_end_keep_their_bytes() {
    let _clock = hold_clock(true);
    let mut lines = Vec::new();
    for advice in [true, false] {
        let (server, mut requests) = raw_server(|_| Some(String::new())).await;
        let discovery = Discovery::start().await;
        let mut told = three_classes(server, discovery.at);
        told["settings"]["limits"]["max_open"] = json!(1);
        told["settings"]["limits"]["retry_after"] = json!(advice);
        let mut gateway = Gateway::start(&told).await;
        let mut open = gateway.client().await;
        open.send(&look("open")).await;
        received(&mut requests).await;
        lines.push(line("past max_open", &exchange(&gateway, &look("more")).await));
        lines.push(line("serving", &exchange(&gateway, "GET /ready HTTP/1.1\r\n\r\n").await));
        gateway.stop();
        let stopped_at = Instant::now();
        let stopping = loop {
            let answer = exchange(&gateway, "GET /ready HTTP/1.1\r\n\r\n").await;
            if !answer.starts_with(b"HTTP/1.1 200") {
                break answer;
            }
        };
        lines.push(line("stopping", &stopping));
        let after = stopped_at.elapsed();
        assert!(after < NOT_READY_WITHIN, "ready for {after:?} after it was told to stop");
        // Requests that have begun by then and are whole once nobody is accepted any more.
        let mut late = Vec::new();
        while let Ok(stream) = TcpStream::connect(gateway.at).await {
            let mut client = Client { stream };
            client.send("GET /").await;
            late.push(client);
            sleep(Duration::from_millis(20)).await;
        }
        let mut ready = late.pop().expect("some came");
        ready.send("ready HTTP/1.1\r\n\r\n").await;
        lines.push(line("ready at the end", &raw_message(&mut ready.stream).await.expect("an answer")));
        let mut api = late.pop().expect("two came");
        api.send(&look("late").replace("GET /", "")).await;
        lines.push(line("api at the end", &raw_message(&mut api.stream).await.expect("an answer")));
        drop((ready, api, late, open));
        timeout(LONG, gateway.task).await.expect("it ends").expect("without panic").expect("well");
    }
    assert_fixture("phases.txt", &lines);
}

#[test]
fn every_final_answer_keeps_its_words() {
    let mut lines = Vec::new();
    let mut word = |label: String, response: EncodedResponse| {
        lines.push(line(&label, &[response.head, response.body].concat()));
    };
    for keep_alive in [true, false] {
        for n in 0..60 {
            let text = drawn_answer(&"x".repeat(n)).expect("an answer");
            let mut reader = Reader::<StatusLine>::new(MAX_BODY_BYTES);
            reader.buffer().extend_from_slice(text.as_bytes());
            let served = reader.next(true).expect("sound").expect("whole");
            word(format!("served {n} {keep_alive}"), Response::Served(served).encode(keep_alive));
        }
        for retry_after_ms in [0.0, 0.4, 0.5, 1.0, 999.999, 1234.5, 2000.0, 86_400_000.0] {
            let refused = Response::Rejected { retry_after_ms };
            word(format!("refused {retry_after_ms} {keep_alive}"), refused.encode(keep_alive));
        }
        word(format!("failed {keep_alive}"), Response::Failed.encode(keep_alive));
        word(format!("overdue {keep_alive}"), Response::TimedOut.encode(keep_alive));
        for plain in [
            LocalResponse::Ready,
            LocalResponse::Stopping,
            LocalResponse::BadRequest("why"),
            LocalResponse::NotFound,
            LocalResponse::MethodNotAllowed,
        ] {
            word(format!("plain {keep_alive}"), plain.encode(keep_alive));
        }
        for plain in [LocalResponse::RequestTimeout, LocalResponse::BodyTooLarge, LocalResponse::HeadTooLarge]
        {
            word(format!("plain {keep_alive}"), plain.encode(keep_alive));
        }
    }
    for malformed in [
        ParseError::MalformedHead,
        ParseError::InvalidLength,
        ParseError::HeadTooLarge,
        ParseError::BodyTooLarge,
    ] {
        word("malformed".into(), LocalResponse::from(malformed).encode(false));
    }
    assert_fixture("final_answers.txt", &lines);
}

#[tokio::test]
async fn calls_to_discovery_and_health_checks_keep_their_bytes() {
    let mut lines = Vec::new();
    for known in [true, false] {
        let (server, mut requests) = raw_server(|_| {
            Some("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nutil=0.9,qps=10,queue=0".into())
        })
        .await;
        // The third call is answered with what is no list, so that the fourth begins a watch anew.
        let (discovery, mut calls) = raw_server(|call| {
            Some(match call {
                text if text.contains("after=44") => "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".into(),
                text if text.contains("after=43") => ok(&list(44, false, vec![])),
                text if text.contains("after=42") => ok(&list(43, false, vec![])),
                _ => ok(&list(42, false, vec![])),
            })
        })
        .await;
        let mut config = three_classes(server, discovery);
        if !known {
            config["known"] = Value::Null;
        }
        config["settings"]["report"]["how"] = "on_probe".into();
        config["settings"]["limits"]["may_probe"] = true.into();
        let _gateway = Gateway::start(&config).await;
        for _ in 0..5 {
            let call = String::from_utf8(received(&mut calls).await).expect("text");
            lines.push(line("discovery", call.replace(&format!(":{}", discovery.port()), ":#").as_bytes()));
        }
        if known {
            lines.push(line("health check", &received(&mut requests).await));
        }
    }
    assert_fixture("discovery.txt", &lines);
}
