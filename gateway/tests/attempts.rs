//! Single attempts: how far they are sent when they are cancelled, given up or cut off.

mod common;
use bytes::Bytes;
use common::*;
use std::sync::Arc;
use std::time::Duration;
use ternstack_balancer::{EndpointId, Outcome, RequestId};
use ternstack_gateway::descriptors::Descriptors;
use ternstack_gateway::events::{GatewayEvent, RawRequest};
use ternstack_gateway::upstream::{Attempt, Cancellation, Purpose, Upstream};
use tokio::io::AsyncReadExt;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout, Instant};

struct Attempts {
    upstream: Upstream,
    inputs: mpsc::Receiver<GatewayEvent>,
    incarnation: Arc<()>,
}

impl Attempts {
    fn new(queue: usize) -> Self {
        let (queue, inputs) = mpsc::channel(queue);
        let upstream = Upstream::new(queue, Descriptors::new(16), 30_000.0, LONG);
        Attempts { upstream, inputs, incarnation: Arc::new(()) }
    }

    fn send(
        &self, address: std::net::SocketAddr, body: usize, send_by: Option<Instant>, give_up_at: Instant,
    ) -> oneshot::Sender<Cancellation> {
        let (stop, cancelled) = oneshot::channel();
        let raw = RawRequest {
            before_time_left: Bytes::from_static(
                b"POST /api HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: ",
            ),
            after_time_left: Bytes::from(format!("\r\nContent-Length: {body}\r\n\r\n")),
            body: Bytes::from(vec![b'x'; body]),
        };
        let (endpoint, incarnation) =
            (EndpointId(u32::from(address.port())), Arc::downgrade(&self.incarnation));
        let purpose = Purpose::Request { id: RequestId(7), attempt: 0 };
        self.upstream.start(Attempt {
            purpose,
            endpoint,
            incarnation,
            address,
            raw,
            give_up_at,
            send_by,
            cancelled,
        });
        stop
    }

    async fn outcome(&mut self) -> Outcome {
        match timeout(LONG, self.inputs.recv()).await.expect("an end") {
            Some(GatewayEvent::AttemptEnded(done)) => done.outcome,
            other => panic!("{other:?}"),
        }
    }
}

/// More than all buffers between two sockets hold: its last byte is not on its way before the other side reads.
const HUGE: usize = 64 << 20;

#[tokio::test]
async fn a_retry_still_dialling_when_deduplication_ends_is_not_sent() {
    let (deaf, mut way) = (UnacceptingServer::start().await, Attempts::new(16));
    let far = Instant::now() + LONG * 10;
    let _stop = way.send(deaf.at, 4, Some(Instant::now() + Duration::from_millis(200)), far);
    assert_eq!(way.outcome().await, Outcome::NotSent);
}

/// The clock stands still but where it is moved: how long a write takes is part of what is tested.
#[tokio::test(start_paused = true)]
async fn an_attempt_not_sent_completely_stops_with_its_request_and_with_deduplication() {
    let _clock = hold_clock(false);
    let far = || Instant::now() + LONG * 10;
    // Nobody waits any more, as it is being written: the server never gets its last byte.
    let (server, mut way) = (ScriptedServer::start().await, Attempts::new(16));
    let stop = way.send(server.at, HUGE, None, far());
    let mut wire = server.accept().await;
    let mut head = [0; 64];
    wire.stream.read_exact(&mut head).await.expect("it has begun");
    stop.send(Cancellation::IfUnsent).expect("it is out");
    assert_eq!(way.outcome().await, Outcome::NotSent);
    assert!(ends(&mut wire.stream).await < HUGE, "the last byte never comes");
    // Its window ends, or its time, or what its server was told of that time is no longer so.
    let soon = Duration::from_millis(100);
    for (ends_in, window, outcome) in [
        (soon, true, Outcome::NotSent),
        (soon, false, Outcome::ConnectFailed),
        (Duration::from_millis(151), false, Outcome::ConnectFailed),
    ] {
        let end = if ends_in == soon { Instant::now() + soon } else { far() };
        let (send_by, until) = if window { (Some(end), far()) } else { (None, end) };
        let _stop = way.send(server.at, HUGE, send_by, until);
        let mut wire = server.accept().await;
        wire.stream.read_exact(&mut head).await.expect("it has begun");
        tokio::time::advance(ends_in).await;
        assert_eq!(way.outcome().await, outcome);
        assert!(ends(&mut wire.stream).await < HUGE, "the last byte never comes");
    }
    // A reset before the last byte: it never ran.
    let _stop = way.send(server.at, HUGE, None, far());
    let mut wire = server.accept().await;
    wire.stream.read_exact(&mut head).await.expect("it has begun");
    wire.reset();
    assert_eq!(way.outcome().await, Outcome::ConnectFailed);
}

#[tokio::test]
async fn an_attempt_sent_completely_may_have_run_and_continues_until_cancelled() {
    let far = || Instant::now() + LONG * 10;
    let (server, mut way) = (ScriptedServer::start().await, Attempts::new(16));
    // A reset after the last byte: it may have run.
    let _stop = way.send(server.at, 4, None, far());
    let mut wire = server.accept().await;
    wire.request().await.expect("whole");
    wire.reset();
    assert_eq!(way.outcome().await, Outcome::ConnectionLost);
    // What is sent whole runs on until it is called off for good.
    let stop = way.send(server.at, 4, None, far());
    let mut wire = server.accept().await;
    wire.request().await.expect("whole");
    stop.send(Cancellation::IfUnsent).expect("it is out");
    wire.write(DESK).await;
    assert_eq!(way.outcome().await, Outcome::Served);
    let stop = way.send(server.at, 4, None, far());
    wire.request().await.expect("the same connection");
    stop.send(Cancellation::Always).expect("it is out");
    assert_eq!(way.outcome().await, Outcome::Cancelled);
    assert!(wire.ends().await);
    // Neither is one sent whose client left while it waited for a connection at rest.
    let _stop = way.send(server.at, 4, None, far());
    let mut wire = server.accept().await;
    wire.request().await.expect("whole");
    wire.write(DESK).await;
    assert_eq!(way.outcome().await, Outcome::Served);
    let stop = way.send(server.at, 4, None, far());
    stop.send(Cancellation::IfUnsent).expect("it is out");
    assert_eq!(way.outcome().await, Outcome::NotSent);
    assert!(wire.ends().await);
}

#[tokio::test]
async fn a_connection_is_closed_before_its_attempt_is_reported() {
    for text in ["", "HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "garbage\r\n\r\n"] {
        // Nobody reads the queue, and it is full: the end waits to be told.
        let (server, mut way) = (ScriptedServer::start().await, Attempts::new(1));
        let far = Instant::now() + LONG * 10;
        let until = if text.is_empty() { Instant::now() + Duration::from_millis(300) } else { far };
        let _first = way.send(server.at, 4, None, far);
        let mut first = server.accept().await;
        first.request().await.expect("whole");
        let _second = way.send(server.at, 4, None, until);
        let mut second = server.accept().await;
        second.request().await.expect("whole");
        first.write(DESK).await;
        second.write(text).await;
        assert!(second.ends().await, "{text:?}: another attempt could be out beside it");
        assert_eq!(way.outcome().await, Outcome::Served);
        assert_ne!(way.outcome().await, Outcome::Served);
    }
}

#[tokio::test(start_paused = true)]
async fn a_second_response_is_never_taken_for_the_next_requests() {
    let _clock = hold_clock(false);
    for late_ms in [0, 2, 8] {
        let (server, mut way) = (ScriptedServer::start().await, Attempts::new(16));
        let far = Instant::now() + LONG * 10;
        let _first = way.send(server.at, 4, None, far);
        let mut wire = server.accept().await;
        wire.request().await.expect("whole");
        wire.write(DESK).await;
        assert_eq!(way.outcome().await, Outcome::Served);
        // The next request is there at once, the second answer some milliseconds later.
        let _second = way.send(server.at, 4, None, far);
        tokio::time::advance(Duration::from_millis(late_ms)).await;
        wire.write(DESK).await;
        assert!(wire.ends().await, "{late_ms} ms: it carries nothing more");
        let mut next = server.accept().await;
        next.request().await.expect("whole");
        next.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother").await;
        match timeout(LONG, way.inputs.recv()).await.expect("an end") {
            Some(GatewayEvent::AttemptEnded(done)) => {
                assert_eq!(&done.response.expect("served").body[..], b"other")
            }
            other => panic!("{other:?}"),
        }
    }
}

#[tokio::test]
async fn an_unsafe_request_is_retried_only_if_it_never_ran() {
    let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("it");
    // The first answer, and whether the request is sent once more.
    for (first, again) in [
        ("HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true),
        ("HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true),
        ("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false),
        ("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndes", false),
        ("HTTP/1.1 200 OK\r\n\r\ndes", false),
        ("HTTP/1.1 20", false),
        ("garbage", false),
        ("", false),
    ] {
        let (one, two, discovery) =
            (ScriptedServer::start().await, ScriptedServer::start().await, Discovery::start().await);
        let known =
            vec![target(1, one.at, "SERVING"), target(2, two.at, "SERVING"), target(3, free, "SERVING")];
        let gateway = Gateway::start(&config_with_unsafe_class(known, discovery.at)).await;
        let mut client = gateway.client().await;
        client.send(&unsafe_request("a")).await;
        let (mut wire, other) = tokio::select! {
            wire = one.accept() => (wire, &two),
            wire = two.accept() => (wire, &one),
        };
        wire.request().await.expect("whole");
        wire.write(first).await;
        wire.reset();
        if again {
            let mut wire = other.accept().await;
            wire.request().await.expect("whole");
            wire.write(DESK).await;
            assert_eq!(client.answer().await.expect("an answer").start_line.code, 200, "{first:?}");
        } else {
            // It may have run: no refusal, which would have it sent again.
            assert_eq!(client.answer().await.expect("an answer").start_line.code, 502, "{first:?}");
        }
    }
}
