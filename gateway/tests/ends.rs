//! Every path that ends something, at the instant in which something is still owed: the peers act at the step in question
//! and wait for what must follow. Where time matters it is the runtime's own, which stands still while anybody has work.

mod common;
use bytes::Bytes;
use common::*;
use serde_json::{json, Value};
use std::sync::Arc;
use std::time::Duration;
use ternstack_balancer::{EndpointId, Outcome, RequestId};
use ternstack_gateway::descriptors::Descriptors;
use ternstack_gateway::events::{GatewayEvent, RawRequest};
use ternstack_gateway::http1::{Reader, StatusLine, MAX_BODY_BYTES};
use ternstack_gateway::upstream::{Attempt, Cancellation, Purpose, Upstream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout, Instant};

/// Of a kind with the deployments' own: an unsafe class, a repeat window, no advice, no cancelling, pushed lists.
fn other_settings(known: Vec<Value>, discovery: std::net::SocketAddr) -> Value {
    let mut told = config(known, discovery);
    told["settings"]["classes"] = json!([
        {"name": "look", "aim_ms": 9000.0, "deadline_ms": 600_000.0, "effect": "safe"},
        {"name": "sign", "aim_ms": 9000.0, "deadline_ms": 600_000.0, "effect": "unsafe"},
        {"name": "hold", "aim_ms": 9000.0, "deadline_ms": 600_000.0, "effect": "keyed", "group": "all", "window_ms": 300.0}]);
    told["settings"]["limits"]["cancel"] = false.into();
    told["settings"]["limits"]["retry_after"] = false.into();
    told["settings"]["limits"]["dial_timeout_ms"] = json!(20_000.0);
    told["settings"]["limits"]["max_attempts"] = json!(6);
    told["settings"]["discovery"] = "push".into();
    told
}

fn sign(id: &str) -> String {
    format!("POST /api HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Service-Class: sign\r\nContent-Length: 4\r\n\r\ndesk")
}

// ---- lists ----

#[tokio::test]
async fn pushed_lists_are_followed_from_the_start_and_through_every_end_of_a_watch() {
    let (mut old, mut new) = (Server::start(SERVED).await, Server::start(SERVED).await);
    let mut discovery = Discovery::start().await;
    let known = vec![target(1, old.at, "SERVING"), target(2, new.at, "SERVING")];
    let gateway = Gateway::start(&other_settings(known, discovery.at)).await;
    let (query, answer) = discovery.call().await;
    assert!(query.contains("after=41"), "{query}");
    answer.send(ok(&list(42, false, vec![target(1, old.at, "DRAINING")]))).expect("asked");
    let (_, reset) = discovery.call().await;
    assert_eq!(gateway.client().await.ask(&look("a")).await.start_line.code, 200);
    assert_eq!((old.so_far().0.len(), new.so_far().0.len()), (0, 1));
    // A watch that ends, is refused and gets garbage is opened anew each time, and what changed meanwhile is there.
    drop(reset);
    let (_, refused) = discovery.call().await;
    refused.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".into()).expect("asked");
    let (_, spoilt) = discovery.call().await;
    spoilt.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"rev".into()).expect("asked");
    let (query, answer) = discovery.call().await;
    assert!(query.contains("after=42"), "{query}");
    let indented = serde_json::to_string_pretty(&list(43, true, vec![target(1, old.at, "SERVING")]));
    let indented = indented.expect("text");
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{indented}", indented.len());
    answer.send(text).expect("asked");
    let _waiting = discovery.call().await;
    assert_eq!(gateway.client().await.ask(&look("b")).await.start_line.code, 200);
    assert_eq!((old.so_far().0.len(), new.so_far().0.len()), (1, 0));
}

/// How a call to discovery ends that tells nothing.
#[derive(Clone, Copy, Debug)]
enum Call {
    Silent,
    Refused,
    RefusedLate,
    Reset,
    Malformed,
}

#[tokio::test(start_paused = true)]
async fn whatever_ends_a_call_the_next_one_is_there_well_before_a_change_counts_as_told() {
    let _clock = hold_clock(true);
    let mut all = tokio::task::JoinSet::new();
    for (instances, pushed) in [(1, false), (1, true), (30, false), (350, false), (350, true)] {
        for before in [0, 2] {
            for ends in [Call::Silent, Call::Refused, Call::RefusedLate, Call::Reset, Call::Malformed] {
                all.spawn(next_call(instances, pushed, before, ends));
            }
        }
    }
    while let Some(one) = all.join_next().await {
        one.expect("it holds");
    }
}

/// The last of `instances` gateways, whose call `ends` so after so many that were answered `before`.
async fn next_call(instances: u64, pushed: bool, before: u64, ends: Call) {
    let refusal = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
    let mut discovery = Discovery::start().await;
    let mut told = config(vec![], discovery.at);
    told["settings"]["instances"] = json!(instances);
    told["settings"]["me"] = json!(instances - 1);
    told["settings"]["discovery"] = if pushed { "push" } else { "ask" }.into();
    let started = Instant::now();
    let _gateway = Gateway::start(&told).await;
    for n in 0..before {
        discovery.call().await.1.send(ok(&list(42 + n, false, vec![]))).expect("asked");
    }
    let (_, answer) = discovery.call().await;
    // All of a fleet call within so long, where they call one discovery.
    let spread = Duration::from_millis(if pushed { 0 } else { (50 * (instances - 1)).min(2000) });
    let slack = Duration::from_millis(100);
    let called = Instant::now();
    assert!(before > 0 || called - started <= spread + slack, "{instances} {pushed}: {:?}", called - started);
    let mut held = None;
    match ends {
        Call::Silent => held = Some(answer),
        Call::Refused => drop(answer.send(refusal.into())),
        Call::RefusedLate => {
            // As long as discovery keeps a call in its line.
            sleep(Duration::from_secs(3)).await;
            let _ = answer.send(refusal.into());
        }
        Call::Reset => drop(answer),
        Call::Malformed => drop(answer.send(ok(&json!({"rev": "x"})))),
    }
    let _next = discovery.call().await;
    // The formula of the operators' page: a call's own time, and the pause before the next.
    let most = Duration::from_millis(3200) + spread.max(Duration::from_millis(200));
    let took = called.elapsed();
    assert!(took <= most + slack, "{instances} {pushed} {before} {ends:?}: {took:?}, not {most:?}");
    assert!(most < Duration::from_secs(6));
    drop(held);
}

// ---- clients that leave ----

#[tokio::test]
async fn what_still_dials_when_its_client_leaves_is_never_sent() {
    for cancel in [false, true] {
        let (mut server, discovery) = (Deaf::start().await, Discovery::start().await);
        let mut told = other_settings(vec![target(1, server.at, "SERVING")], discovery.at);
        told["settings"]["limits"]["cancel"] = cancel.into();
        let gateway = Gateway::start(&told).await;
        let (mut client, mut stays) = (gateway.client().await, gateway.client().await);
        // It dials first, so its connection would be the first to come up.
        client.send(&look("leaves")).await;
        sleep(Duration::from_millis(100)).await;
        drop(client);
        sleep(Duration::from_millis(100)).await;
        stays.send(&look("stays")).await;
        // Only the request whose client is still there comes through, whichever connection comes up first.
        let mut wires = vec![server.hears().await];
        let mut text = String::new();
        while !text.contains("stays") {
            let mut bytes = [0; 4096];
            let wire = wires.last_mut().expect("one");
            match timeout(LONG, wire.read(&mut bytes)).await.expect("a request or an end") {
                Ok(0) | Err(_) => wires.push(server.hears().await),
                Ok(n) => text.push_str(&String::from_utf8_lossy(&bytes[..n])),
            }
        }
        assert!(!text.contains("leaves"), "{text}");
        wires.last_mut().expect("one").write_all(DESK.as_bytes()).await.expect("it is up");
        assert_eq!(stays.answer().await.expect("an answer").start_line.code, 200);
    }
}

#[tokio::test]
async fn a_drain_told_while_requests_dial_keeps_them_from_that_server() {
    for mode in ["push", "ask"] {
        let (mut leaving, mut other) = (Deaf::start().await, Server::start(SERVED).await);
        let mut discovery = Discovery::start().await;
        let mut told = other_settings(vec![target(1, leaving.at, "SERVING")], discovery.at);
        told["settings"]["discovery"] = mode.into();
        let gateway = Gateway::start(&told).await;
        let (_, answer) = discovery.call().await;
        let mut client = gateway.client().await;
        client.send(&sign("a")).await;
        sleep(Duration::from_millis(100)).await;
        let change = vec![target(1, leaving.at, "DRAINING"), target(2, other.at, "SERVING")];
        answer.send(ok(&list(42, false, change))).expect("asked");
        let _waiting = discovery.call().await;
        assert_eq!(ends(&mut leaving.hears().await).await, 0, "not a byte goes to the one that leaves");
        // It surely never ran there, so even what must not run twice is sent to another.
        assert_eq!(client.answer().await.expect("an answer").start_line.code, 200);
        assert_eq!(other.so_far().0, ["a"]);
    }
}

#[tokio::test]
async fn a_client_that_ends_only_its_sending_side_is_answered_at_once() {
    for (text, cancel, status) in [(look("a"), true, 503), (sign("a"), true, 502), (look("a"), false, 503)] {
        let (server, discovery) = (Peer::start().await, Discovery::start().await);
        let mut told = other_settings(vec![target(1, server.at, "SERVING")], discovery.at);
        told["settings"]["limits"]["cancel"] = cancel.into();
        let gateway = Gateway::start(&told).await;
        let mut client = gateway.client().await;
        client.send(&text).await;
        let mut wire = server.accept().await;
        wire.request().await.expect("it is out");
        client.stream.shutdown().await.expect("it is up");
        let answer = client.answer().await.expect("it still reads");
        assert_eq!(
            (answer.start_line.code, answer.keep_alive, field(&answer, "retry-after")),
            (status, false, "".into())
        );
        if cancel {
            assert!(wire.ends().await, "nobody waits for it any more");
        } else {
            // What is out runs on where it may not be called off, and its answer does no harm.
            wire.write(DESK).await;
            let mut next = gateway.client().await;
            next.send(&look("b")).await;
            assert_eq!(field(&wire.request().await.expect("the same connection"), "x-correlation-id"), "b");
            wire.write(DESK).await;
            assert_eq!(next.answer().await.expect("an answer").start_line.code, 200);
        }
    }
}

/// A gateway that may call off, its server, a client, and the connection on which that one's request is out.
async fn one_out() -> (Gateway, Peer, Client, Wire) {
    let (server, discovery) = (Peer::start().await, Discovery::start().await);
    let mut told = other_settings(vec![target(1, server.at, "SERVING")], discovery.at);
    told["settings"]["limits"]["cancel"] = true.into();
    let gateway = Gateway::start(&told).await;
    let mut client = gateway.client().await;
    client.send(&look("a")).await;
    let mut wire = server.accept().await;
    wire.request().await.expect("it is out");
    (gateway, server, client, wire)
}

#[tokio::test]
async fn a_client_that_leaves_after_many_early_bytes_is_noticed() {
    for bytes in [100, 4096, 5000, 300_000] {
        let (_gateway, _server, mut client, mut wire) = one_out().await;
        client.send(&"x".repeat(bytes)).await;
        drop(client);
        assert!(wire.ends().await, "{bytes} early bytes: the attempt ends with its client");
    }
    // One that never leaves and never stops counts as having left, and one that sends a little is served.
    let (server, discovery) = (Peer::start().await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let (mut floods, mut early) = (gateway.client().await, gateway.client().await);
    floods.send(&look("a")).await;
    let mut wire = server.accept().await;
    wire.request().await.expect("it is out");
    let part = "x".repeat(1 << 16);
    let flood = async { while floods.stream.write_all(part.as_bytes()).await.is_ok() {} };
    let (ended, ()) = tokio::join!(wire.ends(), flood);
    assert!(ended, "its attempt ends, and so does its connection");
    early.send(&format!("{}{}", look("b"), "x".repeat(5000))).await;
    let mut wire = server.accept().await;
    wire.request().await.expect("it is out");
    wire.write(DESK).await;
    let answer = early.answer().await.expect("an answer");
    assert_eq!((answer.start_line.code, answer.keep_alive), (200, false));
}

#[tokio::test]
async fn nothing_more_is_taken_from_a_client_that_has_left() {
    let (gateway, server, mut client, mut wire) = one_out().await;
    // Its next request waits behind the first one.
    client.send(&look("b")).await;
    client.stream.shutdown().await.expect("it is up");
    assert_eq!(client.answer().await.expect("an answer").start_line.code, 503);
    assert!(wire.ends().await);
    let mut other = gateway.client().await;
    other.send(&look("c")).await;
    let mut wire = server.accept().await;
    assert_eq!(field(&wire.request().await.expect("a request"), "x-correlation-id"), "c");
}

#[tokio::test]
async fn no_further_attempt_begins_once_the_client_has_left() {
    for cancel in [false, true] {
        let (one, two, discovery) = (Peer::start().await, Peer::start().await, Discovery::start().await);
        let known = vec![target(1, one.at, "SERVING"), target(2, two.at, "SERVING")];
        let mut told = other_settings(known, discovery.at);
        told["settings"]["limits"]["cancel"] = cancel.into();
        let gateway = Gateway::start(&told).await;
        let mut client = gateway.client().await;
        client.send(&look("a")).await;
        let (mut wire, other) = tokio::select! {
            wire = one.accept() => (wire, &two),
            wire = two.accept() => (wire, &one),
        };
        wire.request().await.expect("whole");
        // Its answer tells that the leave has been heard. Then the server turns the attempt away, which could be sent again.
        client.stream.shutdown().await.expect("it is up");
        assert_eq!(client.answer().await.expect("an answer").start_line.code, 503);
        let _ =
            wire.stream.write_all(b"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n").await;
        // Whatever comes next, at either server, is the next client's.
        let mut next = gateway.client().await;
        next.send(&look("b")).await;
        let mut wire = tokio::select! {
            biased;
            request = wire.request() => match request {
                Some(request) => {
                    assert_eq!(field(&request, "x-correlation-id"), "b");
                    continue;
                }
                None => tokio::select! {
                    wire = one.accept() => wire,
                    wire = two.accept() => wire,
                },
            },
            wire = other.accept() => wire,
        };
        assert_eq!(
            field(&wire.request().await.expect("a request"), "x-correlation-id"),
            "b",
            "cancel {cancel}"
        );
    }
}

// ---- ends of clients' connections ----

#[tokio::test(start_paused = true)]
async fn bytes_that_cross_the_end_of_an_idle_connection_meet_no_reset() {
    let _clock = hold_clock(true);
    let discovery = Discovery::start().await;
    let gateway = Gateway::start(&config(vec![], discovery.at)).await;
    for late in ["G", "GET /ready HTTP/1.1\r\n", "GET /ready HTTP/1.1\r\n\r\n"] {
        let mut client = gateway.client().await;
        assert_eq!(client.ask("GET /ready HTTP/1.1\r\n\r\n").await.start_line.code, 200);
        assert!(client.answer().await.is_none(), "it is idle for too long");
        client.send(late).await;
        // A reset would be here by now, and this write would meet it.
        client.send("more").await;
        let mut byte = [0; 1];
        let read = timeout(LONG, client.stream.read(&mut byte)).await.expect("an end");
        assert!(matches!(read, Ok(0)), "{late:?}: {read:?}");
    }
}

#[tokio::test]
async fn one_that_gives_way_in_the_middle_of_its_request_gets_a_refusal() {
    let discovery = Discovery::start().await;
    let mut told = config(vec![], discovery.at);
    told["limits"]["sockets"] = json!(64);
    let gateway = Gateway::start(&told).await;
    let mut half = gateway.client().await;
    half.send("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\ndesk").await;
    // Others come until it has to give way.
    let mut others = Vec::new();
    let answer = loop {
        let mut other = gateway.client().await;
        other.send("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\ndesk").await;
        others.push(other);
        if let Ok(answer) = timeout(Duration::from_millis(20), next_answer(&mut half)).await {
            break answer;
        }
        assert!(others.len() < 200, "it never gives way");
    };
    assert_eq!(answer, Some(503));
}

async fn next_answer(client: &mut Client) -> Option<u16> {
    client.answer().await.map(|answer| answer.start_line.code)
}

#[tokio::test(start_paused = true)]
async fn told_to_stop_it_loses_nothing_that_reaches_it_however_late() {
    let _clock = hold_clock(true);
    for deadline_ms in [400.0_f64, 1000.0, 5000.0] {
        let (server, discovery) = (Peer::start().await, Discovery::start().await);
        let mut told = config(vec![target(1, server.at, "SERVING")], discovery.at);
        for class in 0..2 {
            told["settings"]["classes"][class]["deadline_ms"] = json!(deadline_ms);
            told["settings"]["classes"][class]["aim_ms"] = json!(deadline_ms / 2.0);
        }
        let mut gateway = Gateway::start(&told).await;
        let (mut owed, mut rests) = (gateway.client().await, gateway.client().await);
        assert_eq!(rests.ask("GET /ready HTTP/1.1\r\n\r\n").await.start_line.code, 200);
        gateway.stop();
        let stopped = Instant::now();
        // A server that hangs, requests all the while, over what comes up anew or rests until the gateway ends it.
        owed.send(&look("owed")).await;
        let mut wire = server.accept().await;
        wire.request().await.expect("it is out");
        let hanging = tokio::spawn(async move {
            let mut wires = vec![wire];
            loop {
                wires.push(server.accept().await);
            }
        });
        assert!(rests.answer().await.is_none(), "it ends, and no sooner");
        let mut n = 0;
        let mut answers = Vec::new();
        while let Ok(stream) = TcpStream::connect(gateway.at).await {
            n += 1;
            let mut client = Client { stream };
            answers.push(tokio::spawn(async move {
                // Half first, the rest later.
                let text = look(&format!("late-{n}"));
                client.send(&text[..20]).await;
                sleep(Duration::from_millis(30)).await;
                client.send(&text[20..]).await;
                next_answer(&mut client).await
            }));
            sleep(Duration::from_millis(7)).await;
        }
        // Nobody is let in that could not be answered before the process may be killed.
        let kill = Duration::from_secs_f64(deadline_ms.min(3000.0) / 1000.0 + 0.7);
        assert!(n > 0 && stopped.elapsed() < kill, "{n} came, the last after {:?}", stopped.elapsed());
        for answer in answers {
            let status = answer.await.expect("no panic");
            assert!(matches!(status, Some(200 | 502 | 503 | 504)), "{status:?}");
        }
        assert!(owed.answer().await.is_some());
        drop(owed);
        let ended = timeout(LONG, gateway.task).await.expect("it ends").expect("without panic");
        assert!(matches!(ended, Ok(())), "{ended:?}");
        let (longest, slack) = (Duration::from_secs_f64(deadline_ms / 1000.0), Duration::from_millis(1200));
        assert!(stopped.elapsed() <= longest + slack, "{:?}", stopped.elapsed());
        hanging.abort();
    }
}

// ---- ends of attempts ----

struct Way {
    upstream: Upstream,
    inputs: mpsc::Receiver<GatewayEvent>,
    incarnation: Arc<()>,
}

impl Way {
    fn new(queue: usize) -> Self {
        let (queue, inputs) = mpsc::channel(queue);
        let upstream = Upstream::new(queue, Descriptors::new(16), 30_000.0, LONG);
        Way { upstream, inputs, incarnation: Arc::new(()) }
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
        let (server, incarnation) =
            (EndpointId(u32::from(address.port())), Arc::downgrade(&self.incarnation));
        let purpose = Purpose::Request { id: RequestId(7), attempt: 0 };
        self.upstream.start(Attempt {
            purpose,
            server,
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
async fn what_dials_until_its_window_is_over_is_not_sent() {
    let (deaf, mut way) = (Deaf::start().await, Way::new(16));
    let far = Instant::now() + LONG * 10;
    let _stop = way.send(deaf.at, 4, Some(Instant::now() + Duration::from_millis(200)), far);
    assert_eq!(way.outcome().await, Outcome::NotSent);
}

/// The clock stands still but where it is moved: how long a write takes is part of what is tested.
#[tokio::test(start_paused = true)]
async fn what_is_not_sent_whole_stops_with_its_request_and_with_its_window() {
    let _clock = hold_clock(false);
    let far = || Instant::now() + LONG * 10;
    // Nobody waits any more, as it is being written: the server never gets its last byte.
    let (server, mut way) = (Peer::start().await, Way::new(16));
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
async fn what_is_sent_whole_may_have_run_and_runs_on_until_it_is_called_off() {
    let far = || Instant::now() + LONG * 10;
    let (server, mut way) = (Peer::start().await, Way::new(16));
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
async fn a_connection_is_closed_before_its_attempts_end_is_told() {
    for text in ["", "HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "garbage\r\n\r\n"] {
        // Nobody reads the queue, and it is full: the end waits to be told.
        let (server, mut way) = (Peer::start().await, Way::new(1));
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
async fn a_second_answer_is_never_taken_for_the_next_requests() {
    let _clock = hold_clock(false);
    for late_ms in [0, 2, 8] {
        let (server, mut way) = (Peer::start().await, Way::new(16));
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
async fn an_unsafe_request_goes_on_only_where_it_surely_never_ran() {
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
        let (one, two, discovery) = (Peer::start().await, Peer::start().await, Discovery::start().await);
        let known =
            vec![target(1, one.at, "SERVING"), target(2, two.at, "SERVING"), target(3, free, "SERVING")];
        let gateway = Gateway::start(&other_settings(known, discovery.at)).await;
        let mut client = gateway.client().await;
        client.send(&sign("a")).await;
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

// ---- requests behind another one ----

#[tokio::test]
async fn requests_behind_another_one_are_answered_though_the_gateway_ends() {
    let (mut gateway, _server, mut client, mut wire) = one_out().await;
    client.send(&format!("{}{}{}", look("b"), look("c"), look("d"))).await;
    // They have been read by then: what is read is owed an answer.
    sleep(Duration::from_millis(200)).await;
    gateway.stop();
    sleep(Duration::from_millis(200)).await;
    let serving = tokio::spawn(async move {
        wire.write(DESK).await;
        while wire.request().await.is_some() {
            wire.write(DESK).await;
        }
    });
    let mut reader = Reader::<StatusLine>::new(MAX_BODY_BYTES);
    for (id, keep_alive) in [("a", true), ("b", true), ("c", true), ("d", false)] {
        let answer = timeout(LONG, next(&mut client.stream, &mut reader)).await.expect("an answer or an end");
        let answer = answer.expect("an answer");
        assert_eq!((answer.start_line.code, answer.keep_alive), (200, keep_alive), "request {id}");
    }
    serving.abort();
}

#[tokio::test]
async fn a_request_behind_another_one_tells_its_server_only_what_is_left() {
    let (_gateway, _server, mut client, mut wire) = one_out().await;
    let patience_ms = 5000;
    let timed =
        |id: &str| look(id).replace("\r\n\r\n", &format!("\r\nX-Time-Left-Ms: {patience_ms}\r\n\r\n"));
    client.send(&timed("b")).await;
    sleep(Duration::from_millis(500)).await;
    wire.write(DESK).await;
    let told = field(&wire.request().await.expect("the next one"), "x-time-left-ms");
    let told: u64 = told.parse().expect("a time");
    assert!(told <= patience_ms - 500 + 150, "told {told} ms of {patience_ms}, half a second later");
}
