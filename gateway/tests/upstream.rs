//! Connections to servers: outcomes, the descriptor budget, idle timeouts and restarts.

mod common;
use bytes::Bytes;
use common::*;
use std::time::Duration;
use ternstack_balancer::{EndpointId, LoadReport, Outcome, RequestId};
use ternstack_gateway::descriptors::Descriptors;
use ternstack_gateway::events::{AttemptResult, GatewayEvent, RawRequest};
use ternstack_gateway::upstream::{Attempt, Cancellation, Purpose, Upstream};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout, Instant};

/// A way to the upstream with its queue.
struct Upstreams {
    side: Upstream,
    inputs: mpsc::Receiver<GatewayEvent>,
    number: u32,
    incarnation: std::sync::Arc<()>,
    send_by: Option<Instant>,
}

impl Upstreams {
    fn new(most: usize, idle_ms: f64) -> Self {
        let (queue, inputs) = mpsc::channel(16);
        Upstreams {
            side: Upstream::new(queue, Descriptors::new(most), idle_ms, Duration::from_secs(20)),
            inputs,
            number: 0,
            incarnation: std::sync::Arc::new(()),
            send_by: None,
        }
    }

    fn start(&mut self, address: std::net::SocketAddr, patience: Duration) -> oneshot::Sender<Cancellation> {
        let (call_off, cancelled) = oneshot::channel();
        let raw = RawRequest {
            before_time_left: Bytes::from_static(
                b"GET /api HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: ",
            ),
            after_time_left: Bytes::from_static(b"\r\n\r\n"),
            body: Bytes::new(),
        };
        let purpose = Purpose::Request { id: RequestId(7), attempt: self.number };
        let give_up_at = Instant::now() + patience;
        self.number += 1;
        let (endpoint, incarnation) =
            (EndpointId(u32::from(address.port())), std::sync::Arc::downgrade(&self.incarnation));
        let send_by = self.send_by;
        self.side.start(Attempt {
            purpose,
            endpoint,
            incarnation,
            address,
            raw,
            give_up_at,
            send_by,
            cancelled,
        });
        call_off
    }

    async fn end(&mut self) -> AttemptResult {
        match timeout(LONG, self.inputs.recv()).await.expect("an end") {
            Some(GatewayEvent::AttemptEnded(end)) => end,
            other => panic!("{other:?}"),
        }
    }

    async fn outcome(&mut self, address: std::net::SocketAddr, patience: Duration) -> (Outcome, LoadReport) {
        let _call_off = self.start(address, patience);
        let end = self.end().await;
        assert_eq!(end.attempt + 1, self.number);
        assert_eq!(end.response.is_some(), end.outcome == Outcome::Served);
        (end.outcome, end.report)
    }
}

#[tokio::test]
async fn every_end_of_an_attempt_has_its_outcome_and_load_report() {
    let report = |u, t| LoadReport { utilization: u, throughput_per_s: t, queue_length: None };
    let none = LoadReport::default();
    for (does, outcome, told) in [
        (SERVED, Outcome::Served, report(Some(0.5), Some(20.0))),
        (REJECTED, Outcome::Rejected, none),
        (
            ServerBehavior::Respond("HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nX-Backend-Load: util=1, qps=x\r\n\r\n"),
            Outcome::ServerError, // A body up to the end of a connection that stays open.
            none,
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
        (ServerBehavior::Respond("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), Outcome::ServerError, none),
        (ServerBehavior::Respond("HTTP/1.1 204 No\r\n\r\n"), Outcome::ServerError, none),
        // Less comes than is said to, and nothing more ever.
        (
            ServerBehavior::Respond("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndesk"),
            Outcome::ServerError,
            none,
        ),
        (ServerBehavior::Respond("what?\r\n\r\n"), Outcome::ServerError, none),
        (ServerBehavior::Respond("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n"), Outcome::ServerError, none),
        (
            ServerBehavior::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndesk"),
            Outcome::ConnectionLost,
            none,
        ),
        (ServerBehavior::Close, Outcome::ConnectionLost, none),
        (ServerBehavior::Hang, Outcome::ResponseTimeout, none),
    ] {
        let server = Server::start(does).await;
        let patience = if outcome == Outcome::ResponseTimeout { Duration::from_secs(1) } else { LONG };
        let (seen, report) = Upstreams::new(4, 30_000.0).outcome(server.at, patience).await;
        assert_eq!((seen, report), (outcome, told));
    }
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("it");
    assert_eq!(Upstreams::new(4, 30_000.0).outcome(free, LONG).await.0, Outcome::ConnectFailed);

    // A repeat whose time is over when its connection is up is not sent.
    let mut server = Server::start(SERVED).await;
    let mut late = Upstreams::new(4, 30_000.0);
    late.send_by = Some(Instant::now());
    assert_eq!(late.outcome(server.at, LONG).await.0, Outcome::NotSent);
    assert!(matches!((server.next().await, server.next().await), (Seen::Connected, Seen::Ended)));

    let mut server = Server::start(ServerBehavior::Hang).await;
    let mut upstream = Upstreams::new(4, 30_000.0);
    let call_off = upstream.start(server.at, LONG);
    while !matches!(server.next().await, Seen::Request(_)) {}
    call_off.send(Cancellation::Always).expect("it is out");
    assert_eq!(upstream.end().await.outcome, Outcome::Cancelled);
    // An answer may still be due on that connection: it is closed.
    while !matches!(server.next().await, Seen::Ended) {}
}

#[tokio::test]
async fn server_connections_stay_within_the_budget_and_the_idle_timeout() {
    let (mut quick, mut other, mut slow) =
        (Server::start(SERVED).await, Server::start(SERVED).await, Server::start(ServerBehavior::Hang).await);
    let mut upstream = Upstreams::new(2, 30_000.0);
    let _first = upstream.start(slow.at, LONG);
    while !matches!(slow.next().await, Seen::Request(_)) {}
    assert_eq!(upstream.outcome(quick.at, LONG).await.0, Outcome::Served);
    upstream.number = 2;
    // The idle connection makes room for one to another server.
    assert_eq!(upstream.outcome(other.at, LONG).await.0, Outcome::Served);
    while !matches!(quick.next().await, Seen::Ended) {}
    // With none idle, nothing is sent, and no server is blamed.
    let _second = upstream.start(slow.at, LONG);
    while !matches!(slow.next().await, Seen::Request(_)) {}
    assert_eq!(upstream.outcome(quick.at, LONG).await.0, Outcome::NotSent);
    assert_eq!((quick.so_far().1, other.so_far().1), (0, 1));

    let mut brief = Upstreams::new(2, 100.0);
    let mut server = Server::start(SERVED).await;
    assert_eq!(brief.outcome(server.at, LONG).await.0, Outcome::Served);
    while !matches!(server.next().await, Seen::Ended) {}
}

#[tokio::test]
async fn a_restarted_server_gets_new_connections() {
    let server = ScriptedServer::start().await;
    let mut upstream = Upstreams::new(4, 30_000.0);
    let _out = upstream.start(server.at, LONG);
    // Its present life ends while an attempt is out there: that one's connection carries nothing more.
    let mut first = server.accept().await;
    first.request().await.expect("it is sent");
    upstream.incarnation = std::sync::Arc::new(());
    first.write(DESK).await;
    assert_eq!(upstream.end().await.outcome, Outcome::Served);
    assert!(first.ends().await, "nothing is left to read there");
    let mut out = vec![upstream.start(server.at, LONG)];
    let mut second = server.accept().await;
    for again in [true, false] {
        second.request().await.expect("it is sent");
        second.write(DESK).await;
        assert_eq!(upstream.end().await.outcome, Outcome::Served);
        if again {
            out.push(upstream.start(server.at, LONG));
        }
    }
}
