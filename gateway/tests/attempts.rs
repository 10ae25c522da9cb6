//! Single attempts that are cancelled, given up or interrupted: whether each was sent completely, and which
//! outcome it has.

mod common;
use bytes::Bytes;
use common::*;
use std::sync::Arc;
use std::time::Duration;
use ternstack_balancer::{EndpointId, Outcome, RequestId};
use ternstack_gateway::descriptors::Descriptors;
use ternstack_gateway::events::{GatewayEvent, RawRequest, UnreadInput};
use ternstack_gateway::upstream::{Attempt, Cancellation, Purpose, Upstream};
use tokio::io::AsyncReadExt;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout, Instant};

/// The upstream side of a gateway, whose attempts the test starts and whose events the test receives.
struct UpstreamHarness {
    upstream: Upstream,
    events: mpsc::Receiver<GatewayEvent>,
    incarnation: Arc<()>,
}

impl UpstreamHarness {
    fn new(queue_capacity: usize) -> Self {
        let (event_sender, events) = mpsc::channel(queue_capacity);
        let upstream = Upstream::new(event_sender, Descriptors::new(16), 30_000.0, TEST_TIMEOUT);
        UpstreamHarness { upstream, events, incarnation: Arc::new(()) }
    }

    /// Starts an attempt with a body of `body_bytes` bytes; returns the sender that cancels the attempt.
    fn send(
        &self, address: std::net::SocketAddr, body_bytes: usize, send_by: Option<Instant>,
        give_up_at: Instant,
    ) -> oneshot::Sender<Cancellation> {
        let (cancel, cancelled) = oneshot::channel();
        let raw = RawRequest {
            before_time_left: Bytes::from_static(
                b"POST /api HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: ",
            ),
            after_time_left: Bytes::from(format!("\r\nContent-Length: {body_bytes}\r\n\r\n")),
            body: Bytes::from(vec![b'x'; body_bytes]),
            lease: None,
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
            unread_input: UnreadInput::default(),
            give_up_at,
            send_by,
            cancelled,
        });
        cancel
    }

    /// Waits for the end of an attempt, and returns the outcome.
    async fn outcome(&mut self) -> Outcome {
        match timeout(TEST_TIMEOUT, self.events.recv()).await.expect("the attempt ends") {
            Some(GatewayEvent::AttemptEnded(result)) => result.outcome,
            other => panic!("{other:?}"),
        }
    }
}

/// A body larger than all buffers between two sockets. The last byte of such a body cannot be sent before the
/// server reads.
const UNBUFFERABLE_BODY_BYTES: usize = 64 << 20;

#[tokio::test]
async fn a_retry_still_connecting_when_its_deduplication_window_ends_is_not_sent() {
    let (server, mut harness) = (FullBacklogServer::start().await, UpstreamHarness::new(16));
    let far_future = Instant::now() + TEST_TIMEOUT * 10;
    let _cancel =
        harness.send(server.address, 4, Some(Instant::now() + Duration::from_millis(200)), far_future);
    assert_eq!(harness.outcome().await, Outcome::NotSent);
}

/// Uses a clock that only the test advances, because the outcome depends on how long a write takes.
#[tokio::test(start_paused = true)]
async fn an_attempt_not_sent_completely_cannot_have_run_however_it_ends() {
    let _clock = start_clock_driver(false);
    let far_future = || Instant::now() + TEST_TIMEOUT * 10;
    // The attempt is cancelled while its body is being written: the server never receives the last byte.
    let (server, mut harness) = (ScriptedServer::start().await, UpstreamHarness::new(16));
    let cancel = harness.send(server.address, UNBUFFERABLE_BODY_BYTES, None, far_future());
    let mut connection = server.accept().await;
    let mut first_bytes = [0; 64];
    connection
        .stream
        .read_exact(&mut first_bytes)
        .await
        .expect("the first bytes of the request are received");
    cancel.send(Cancellation::IfUnsent).expect("the attempt is in flight");
    assert_eq!(harness.outcome().await, Outcome::NotSent);
    assert!(
        read_until_closed(&mut connection.stream).await < UNBUFFERABLE_BODY_BYTES,
        "the request is not sent completely"
    );
    // The deduplication window ends, or the attempt's deadline passes, or the forwarded time left is out of
    // date by more than 150 ms.
    let delay = Duration::from_millis(100);
    for (advance_by, has_window, outcome) in [
        (delay, true, Outcome::NotSent),
        (delay, false, Outcome::ConnectFailed),
        (Duration::from_millis(151), false, Outcome::ConnectFailed),
    ] {
        let end = if advance_by == delay { Instant::now() + delay } else { far_future() };
        let (send_by, give_up_at) = if has_window { (Some(end), far_future()) } else { (None, end) };
        let _cancel = harness.send(server.address, UNBUFFERABLE_BODY_BYTES, send_by, give_up_at);
        let mut connection = server.accept().await;
        connection
            .stream
            .read_exact(&mut first_bytes)
            .await
            .expect("the first bytes of the request are received");
        tokio::time::advance(advance_by).await;
        assert_eq!(harness.outcome().await, outcome);
        assert!(
            read_until_closed(&mut connection.stream).await < UNBUFFERABLE_BODY_BYTES,
            "the request is not sent completely"
        );
    }
    // A server that resets the connection before the last byte cannot have run the request.
    let _cancel = harness.send(server.address, UNBUFFERABLE_BODY_BYTES, None, far_future());
    let mut connection = server.accept().await;
    connection
        .stream
        .read_exact(&mut first_bytes)
        .await
        .expect("the first bytes of the request are received");
    connection.reset();
    assert_eq!(harness.outcome().await, Outcome::ConnectFailed);
}

#[tokio::test]
async fn a_completely_sent_attempt_ends_only_on_response_reset_or_unconditional_cancellation() {
    let far_future = || Instant::now() + TEST_TIMEOUT * 10;
    let (server, mut harness) = (ScriptedServer::start().await, UpstreamHarness::new(16));
    // A server that resets the connection after the last byte may have run the request.
    let _cancel = harness.send(server.address, 4, None, far_future());
    let mut connection = server.accept().await;
    connection.read_request().await.expect("the request is forwarded");
    connection.reset();
    assert_eq!(harness.outcome().await, Outcome::ConnectionLost);
    // A completely sent attempt is not ended by `Cancellation::IfUnsent`, only by `Cancellation::Always`.
    let cancel = harness.send(server.address, 4, None, far_future());
    let mut connection = server.accept().await;
    connection.read_request().await.expect("the request is forwarded");
    cancel.send(Cancellation::IfUnsent).expect("the attempt is in flight");
    connection.write(OK_RESPONSE).await;
    assert_eq!(harness.outcome().await, Outcome::Served);
    let cancel = harness.send(server.address, 4, None, far_future());
    connection.read_request().await.expect("the request is sent over the same connection");
    cancel.send(Cancellation::Always).expect("the attempt is in flight");
    assert_eq!(harness.outcome().await, Outcome::Cancelled);
    assert!(connection.closes_without_data().await);
    // An attempt that is cancelled before its first byte is not sent, not even over an idle connection.
    let _cancel = harness.send(server.address, 4, None, far_future());
    let mut connection = server.accept().await;
    connection.read_request().await.expect("the request is forwarded");
    connection.write(OK_RESPONSE).await;
    assert_eq!(harness.outcome().await, Outcome::Served);
    let cancel = harness.send(server.address, 4, None, far_future());
    cancel.send(Cancellation::IfUnsent).expect("the attempt is in flight");
    assert_eq!(harness.outcome().await, Outcome::NotSent);
    assert!(connection.closes_without_data().await);
}

#[tokio::test]
async fn a_connection_is_closed_before_the_end_of_its_failed_attempt_is_reported() {
    for text in ["", "HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "garbage\r\n\r\n"] {
        // The event queue holds one event and is not read, so that the end of the second attempt cannot be
        // reported before the connection is closed.
        let (server, mut harness) = (ScriptedServer::start().await, UpstreamHarness::new(1));
        let far_future = Instant::now() + TEST_TIMEOUT * 10;
        let give_up_at =
            if text.is_empty() { Instant::now() + Duration::from_millis(300) } else { far_future };
        let _first = harness.send(server.address, 4, None, far_future);
        let mut first = server.accept().await;
        first.read_request().await.expect("the request is forwarded");
        let _second = harness.send(server.address, 4, None, give_up_at);
        let mut second = server.accept().await;
        second.read_request().await.expect("the request is forwarded");
        first.write(OK_RESPONSE).await;
        second.write(text).await;
        assert!(
            second.closes_without_data().await,
            "{text:?}: the connection is closed before another attempt can begin"
        );
        assert_eq!(harness.outcome().await, Outcome::Served);
        assert_ne!(harness.outcome().await, Outcome::Served);
    }
}

#[tokio::test(start_paused = true)]
async fn a_surplus_response_is_not_taken_as_the_response_to_the_next_request() {
    let _clock = start_clock_driver(false);
    for late_ms in [0, 2, 8] {
        let (server, mut harness) = (ScriptedServer::start().await, UpstreamHarness::new(16));
        let far_future = Instant::now() + TEST_TIMEOUT * 10;
        let _first = harness.send(server.address, 4, None, far_future);
        let mut connection = server.accept().await;
        connection.read_request().await.expect("the request is forwarded");
        connection.write(OK_RESPONSE).await;
        assert_eq!(harness.outcome().await, Outcome::Served);
        // The next attempt starts at once. The server writes a second response to the first request
        // `late_ms` milliseconds later.
        let _second = harness.send(server.address, 4, None, far_future);
        tokio::time::advance(Duration::from_millis(late_ms)).await;
        connection.write(OK_RESPONSE).await;
        assert!(
            connection.closes_without_data().await,
            "{late_ms} ms: the connection carries no further request"
        );
        let mut next_connection = server.accept().await;
        next_connection.read_request().await.expect("the request is forwarded");
        next_connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother").await;
        match timeout(TEST_TIMEOUT, harness.events.recv()).await.expect("the attempt ends") {
            Some(GatewayEvent::AttemptEnded(result)) => {
                assert_eq!(
                    &result.response.expect("a served attempt has a response").message.body[..],
                    b"other"
                )
            }
            other => panic!("{other:?}"),
        }
    }
}

#[tokio::test]
async fn a_non_idempotent_request_is_retried_only_if_it_cannot_have_run() {
    let closed_address = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port is bound")
        .local_addr()
        .expect("a listener has an address");
    // The first response, and whether the request is retried.
    for (first_response, is_retried) in [
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
        let (first_server, second_server, discovery) =
            (ScriptedServer::start().await, ScriptedServer::start().await, StubDiscovery::start().await);
        let entries = vec![
            endpoint_entry(1, first_server.address, "SERVING"),
            endpoint_entry(2, second_server.address, "SERVING"),
            endpoint_entry(3, closed_address, "SERVING"),
        ];
        let gateway = Gateway::start(&non_idempotent_config(entries, discovery.address)).await;
        let mut client = gateway.client().await;
        client.send(&sign_request("a")).await;
        let (mut connection, other_server) = tokio::select! {
            connection = first_server.accept() => (connection, &second_server),
            connection = second_server.accept() => (connection, &first_server),
        };
        connection.read_request().await.expect("the request is forwarded");
        connection.write(first_response).await;
        connection.reset();
        if is_retried {
            let mut connection = other_server.accept().await;
            connection.read_request().await.expect("the request is forwarded");
            connection.write(OK_RESPONSE).await;
            assert_eq!(
                client.read_response().await.expect("the gateway responds").start_line.code,
                200,
                "{first_response:?}"
            );
        } else {
            // The request may have run. A 503 would make the client retry the request.
            assert_eq!(
                client.read_response().await.expect("the gateway responds").start_line.code,
                502,
                "{first_response:?}"
            );
        }
    }
}
