//! Upstream connections: the outcomes of attempts, the descriptor budget, idle timeouts, and restarts of
//! endpoints.

mod common;
use bytes::Bytes;
use common::*;
use std::time::Duration;
use ternstack_balancer::{EndpointId, LoadReport, Outcome, RequestId};
use ternstack_gateway::descriptors::Descriptors;
use ternstack_gateway::events::{AttemptResult, GatewayEvent, RawRequest, UnreadInput};
use ternstack_gateway::upstream::{Attempt, Cancellation, Purpose, Upstream};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout, Instant};

/// The upstream side of a gateway, whose attempts the test starts and whose events the test receives.
struct UpstreamHarness {
    upstream: Upstream,
    events: mpsc::Receiver<GatewayEvent>,
    /// The number of the next attempt.
    next_attempt: u32,
    incarnation: std::sync::Arc<()>,
    send_by: Option<Instant>,
}

impl UpstreamHarness {
    fn new(max_connections: usize, idle_timeout_ms: f64) -> Self {
        let (event_sender, events) = mpsc::channel(16);
        UpstreamHarness {
            upstream: Upstream::new(
                event_sender,
                Descriptors::new(max_connections),
                idle_timeout_ms,
                Duration::from_secs(20),
            ),
            events,
            next_attempt: 0,
            incarnation: std::sync::Arc::new(()),
            send_by: None,
        }
    }

    /// Starts an attempt that is given up after `time_limit`; returns the sender that cancels the attempt.
    fn start(
        &mut self, address: std::net::SocketAddr, time_limit: Duration,
    ) -> oneshot::Sender<Cancellation> {
        let (cancel, cancelled) = oneshot::channel();
        let raw = RawRequest {
            before_time_left: Bytes::from_static(
                b"GET /api HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: ",
            ),
            after_time_left: Bytes::from_static(b"\r\n\r\n"),
            body: Bytes::new(),
            lease: None,
        };
        let purpose = Purpose::Request { id: RequestId(7), attempt: self.next_attempt };
        let give_up_at = Instant::now() + time_limit;
        self.next_attempt += 1;
        let (endpoint, incarnation) =
            (EndpointId(u32::from(address.port())), std::sync::Arc::downgrade(&self.incarnation));
        let send_by = self.send_by;
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

    /// Waits for the end of an attempt.
    async fn next_result(&mut self) -> AttemptResult {
        match timeout(TEST_TIMEOUT, self.events.recv()).await.expect("the attempt ends") {
            Some(GatewayEvent::AttemptEnded(result)) => result,
            other => panic!("{other:?}"),
        }
    }

    /// Runs an attempt to its end, and returns the outcome and the load report.
    async fn outcome(
        &mut self, address: std::net::SocketAddr, time_limit: Duration,
    ) -> (Outcome, LoadReport) {
        let _cancel = self.start(address, time_limit);
        let result = self.next_result().await;
        assert_eq!(result.attempt + 1, self.next_attempt);
        assert_eq!(result.response.is_some(), result.outcome == Outcome::Served);
        (result.outcome, result.report)
    }
}

#[tokio::test]
async fn each_way_that_an_attempt_ends_gives_its_outcome_and_load_report() {
    let report =
        |utilization, throughput_per_s| LoadReport { utilization, throughput_per_s, queue_length: None };
    let no_report = LoadReport::default();
    for (behavior, expected_outcome, expected_report) in [
        (SERVE, Outcome::Served, report(Some(0.5), Some(20.0))),
        (REJECT, Outcome::Rejected, no_report),
        (
            // The body extends to the end of the connection, which stays open.
            ServerBehavior::Respond(
                "HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nX-Backend-Load: util=1, qps=x\r\n\r\n",
            ),
            Outcome::ServerError,
            no_report,
        ),
        (
            ServerBehavior::RespondAndClose(
                "HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nX-Backend-Load: util=1, qps=x\r\n\r\n",
            ),
            Outcome::Rejected,
            report(Some(1.0), None),
        ),
        (
            ServerBehavior::Respond(
                "HTTP/1.1 503 No\r\nContent-Length: 0\r\nX-Backend-Load: utilization=0.749,throughput=19.651\r\n\r\n",
            ),
            Outcome::ServerError,
            report(Some(0.749), Some(19.651)),
        ),
        (
            ServerBehavior::Respond("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
            Outcome::ServerError,
            no_report,
        ),
        (ServerBehavior::Respond("HTTP/1.1 204 No\r\n\r\n"), Outcome::ServerError, no_report),
        // The body stays shorter than `Content-Length` on an open connection.
        (
            ServerBehavior::Respond("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndesk"),
            Outcome::ServerError,
            no_report,
        ),
        (ServerBehavior::Respond("what?\r\n\r\n"), Outcome::ServerError, no_report),
        (
            ServerBehavior::Respond("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n"),
            Outcome::ServerError,
            no_report,
        ),
        (
            ServerBehavior::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndesk"),
            Outcome::ConnectionLost,
            no_report,
        ),
        (ServerBehavior::Close, Outcome::ConnectionLost, no_report),
        (ServerBehavior::Hang, Outcome::ResponseTimeout, no_report),
    ] {
        let server = StubServer::start(behavior).await;
        let limit =
            if expected_outcome == Outcome::ResponseTimeout { Duration::from_secs(1) } else { TEST_TIMEOUT };
        let (outcome, report) =
            UpstreamHarness::new(4, 30_000.0).outcome(server.address, limit).await;
        assert_eq!((outcome, report), (expected_outcome, expected_report));
    }
    let closed_address = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port is bound")
        .local_addr()
        .expect("a listener has an address");
    assert_eq!(
        UpstreamHarness::new(4, 30_000.0).outcome(closed_address, TEST_TIMEOUT).await.0,
        Outcome::ConnectFailed
    );

    // A retry whose `send_by` has passed when its connection is established is not sent.
    let mut server = StubServer::start(SERVE).await;
    let mut late_retry = UpstreamHarness::new(4, 30_000.0);
    late_retry.send_by = Some(Instant::now());
    assert_eq!(late_retry.outcome(server.address, TEST_TIMEOUT).await.0, Outcome::NotSent);
    assert!(matches!(
        (server.next_event().await, server.next_event().await),
        (ServerEvent::Connected, ServerEvent::Closed)
    ));

    let mut server = StubServer::start(ServerBehavior::Hang).await;
    let mut harness = UpstreamHarness::new(4, 30_000.0);
    let cancel = harness.start(server.address, TEST_TIMEOUT);
    while !matches!(server.next_event().await, ServerEvent::Request(_)) {}
    cancel.send(Cancellation::Always).expect("the attempt is in flight");
    assert_eq!(harness.next_result().await.outcome, Outcome::Cancelled);
    // The connection is closed, because the server may still respond to the cancelled attempt.
    while !matches!(server.next_event().await, ServerEvent::Closed) {}
}

#[tokio::test]
async fn upstream_connections_stay_within_the_budget_and_the_idle_timeout() {
    let (mut first_server, mut second_server, mut hanging_server) = (
        StubServer::start(SERVE).await,
        StubServer::start(SERVE).await,
        StubServer::start(ServerBehavior::Hang).await,
    );
    let mut harness = UpstreamHarness::new(2, 30_000.0);
    let _first = harness.start(hanging_server.address, TEST_TIMEOUT);
    while !matches!(hanging_server.next_event().await, ServerEvent::Request(_)) {}
    assert_eq!(harness.outcome(first_server.address, TEST_TIMEOUT).await.0, Outcome::Served);
    harness.next_attempt = 2;
    // The idle connection is closed to free a descriptor for a connection to another server.
    assert_eq!(harness.outcome(second_server.address, TEST_TIMEOUT).await.0, Outcome::Served);
    while !matches!(first_server.next_event().await, ServerEvent::Closed) {}
    // If no connection is idle, the attempt is not sent, and the outcome does not count against the endpoint.
    let _second = harness.start(hanging_server.address, TEST_TIMEOUT);
    while !matches!(hanging_server.next_event().await, ServerEvent::Request(_)) {}
    assert_eq!(harness.outcome(first_server.address, TEST_TIMEOUT).await.0, Outcome::NotSent);
    assert_eq!((first_server.take_events().1, second_server.take_events().1), (0, 1));

    let mut short_idle_harness = UpstreamHarness::new(2, 100.0);
    let mut server = StubServer::start(SERVE).await;
    assert_eq!(short_idle_harness.outcome(server.address, TEST_TIMEOUT).await.0, Outcome::Served);
    while !matches!(server.next_event().await, ServerEvent::Closed) {}
}

#[tokio::test]
async fn a_restarted_endpoint_gets_new_connections() {
    let server = ScriptedServer::start().await;
    let mut harness = UpstreamHarness::new(4, 30_000.0);
    let _cancel = harness.start(server.address, TEST_TIMEOUT);
    // The endpoint restarts while an attempt is in flight. The connection of that attempt is not reused.
    let mut first = server.accept().await;
    first.read_request().await.expect("the request is forwarded");
    harness.incarnation = std::sync::Arc::new(());
    first.write(OK_RESPONSE).await;
    assert_eq!(harness.next_result().await.outcome, Outcome::Served);
    assert!(first.closes_without_data().await, "the connection is closed without another request");
    let mut cancels = vec![harness.start(server.address, TEST_TIMEOUT)];
    let mut second = server.accept().await;
    for starts_another in [true, false] {
        second.read_request().await.expect("the request is forwarded");
        second.write(OK_RESPONSE).await;
        assert_eq!(harness.next_result().await.outcome, Outcome::Served);
        if starts_another {
            cancels.push(harness.start(server.address, TEST_TIMEOUT));
        }
    }
}
