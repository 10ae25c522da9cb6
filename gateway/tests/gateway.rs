//! The whole gateway between small peers on loopback. No outcome here depends on how fast the machine is.

mod common;
use common::*;
use serde_json::json;
use std::time::Duration;
use ternstack_gateway::discovery::{self, FollowConfig};
use ternstack_gateway::events::{DiscoveryEvent, GatewayEvent};
use tokio::sync::{mpsc, watch};

const BOOK: &str = "POST /api?room=2 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: id-1\r\n\
    X-Service-Class: book\r\nX-Account: acme\r\nIdempotency-Key: 5c0f\r\nX-Time-Left-Ms: 9000\r\n\
    Connection: keep-alive, X-Correlation-Id, X-Hop\r\nX-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n\
    3\r\ndes\r\n1\r\nk\r\n0\r\n\r\n";

#[tokio::test]
async fn a_request_goes_through_unchanged_and_connections_are_used_again() {
    let (mut server, discovery) = (Server::start(SERVED).await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let mut client = gateway.client().await;
    assert_eq!(client.ask("GET /ready HTTP/1.1\r\n\r\n").await.start_line.code, 200);

    let answer = client.ask(BOOK).await;
    assert_eq!(
        (answer.start_line.code, &answer.body[..], field(&answer, "content-type").as_str()),
        (200, &b"desk"[..], "text/x")
    );
    assert!(matches!(server.next().await, Seen::Connected));
    let Seen::Request(ask) = server.next().await else { panic!("a request") };
    assert_eq!(
        (ask.method(), ask.target(), &ask.body[..]),
        (&b"POST"[..], &b"/api?room=2"[..], &b"desk"[..])
    );
    // Guards against a `Connection` field that would take the id off on its way.
    assert_eq!(
        (field(&ask, "x-correlation-id"), field(&ask, "idempotency-key")),
        ("id-1".into(), "5c0f".into())
    );
    assert_eq!((field(&ask, "x-hop"), field(&ask, "x-account")), (String::new(), "acme".into()));
    let left: u64 = field(&ask, "x-time-left-ms").parse().expect("whole milliseconds");
    assert!(left <= 9000 && ask.fields.all("x-time-left-ms").count() == 1);

    // What speaks HTTP/1.0 and names no server still goes on with one.
    let old = look("id-0").replace("HTTP/1.1", "HTTP/1.0").replace("Host: backend.local\r\n", "");
    assert!(!gateway.client().await.ask(&old).await.keep_alive);
    let Seen::Request(ask) = server.next().await else { panic!("the same connection") };
    assert_eq!(field(&ask, "host"), "backend.local");

    // Two at once on one connection are answered in turn, by the server's one connection.
    client.send(&format!("{}{}", look("id-2"), look("id-3"))).await;
    let both = async {
        let mut reader = ternstack_gateway::http1::Reader::new(1024);
        let first = next::<ternstack_gateway::http1::StatusLine>(&mut client.stream, &mut reader).await;
        (first, next::<ternstack_gateway::http1::StatusLine>(&mut client.stream, &mut reader).await)
    };
    assert!(matches!(both.await, (Some(a), Some(b)) if a.start_line.code == 200 && b.start_line.code == 200));
    assert_eq!(server.so_far(), (vec!["id-2".into(), "id-3".into()], 0));
}

#[tokio::test]
async fn bad_input_is_named_and_never_reaches_a_server() {
    let (mut server, discovery) = (Server::start(SERVED).await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let long = format!("GET /api HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(20_000));
    let api = |fields: &str| format!("GET /api HTTP/1.1\r\n{fields}\r\n\r\n");
    for (text, status) in [
        ("\u{1}\u{2} garbage\r\n\r\n".into(), 400),
        (api("X-Service-Class: look"), 400),
        (api("X-Correlation-Id:\r\nX-Service-Class: look"), 400),
        (api("X-Correlation-Id: a\r\nX-Correlation-Id: b\r\nX-Service-Class: look"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: lunch"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: book"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: look\r\nX-Time-Left-Ms: soon"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: look\r\nX-Time-Left-Ms: -5"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: look\r\nX-Time-Left-Ms: 1e2"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: look\r\nContent-Length: x"), 400),
        (api("X-Correlation-Id: a\r\nX-Service-Class: look\r\nContent-Length: 65537"), 413),
        (look("a").replace("GET", "DELETE"), 405),
        (look("a").replace("/api", "/apis"), 404),
        (long, 431),
    ] {
        let mut client = gateway.client().await;
        let answer = client.ask(&text).await;
        assert_eq!(
            (answer.start_line.code, answer.keep_alive),
            (status, status == 404),
            "{}",
            &text[..text.len().min(99)]
        );
    }
    assert_eq!(server.so_far(), (vec![], 0));
    // An unknown tenant is none.
    let text = look("a").replace("\r\n\r\n", "\r\nX-Account: nobody\r\n\r\n");
    assert_eq!(gateway.client().await.ask(&text).await.start_line.code, 200);
}

#[tokio::test]
async fn a_server_that_closes_is_not_sent_the_same_request_twice() {
    let served = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndesk";
    let (mut server, discovery) =
        (Server::start(Does::AnswerAndClose(served)).await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let mut client = gateway.client().await;
    for n in 0..5 {
        assert_eq!(client.ask(&look(&format!("id-{n}"))).await.start_line.code, 200);
        // The server has ended the connection before the next request comes.
        while !matches!(server.next().await, Seen::Ended) {}
    }
    assert_eq!(client.ask(&look("id-5")).await.start_line.code, 200);
    assert_eq!(server.so_far().0, ["id-5"]);
}

#[tokio::test]
async fn what_is_given_up_is_answered_at_once_with_when_to_come_back() {
    let discovery = Discovery::start().await;
    let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("it");
    let gateway = Gateway::start(&config(vec![target(1, free, "SERVING")], discovery.at)).await;
    let answer = gateway.client().await.ask(&look("a")).await;
    assert_eq!(answer.start_line.code, 503);
    let after: f64 = field(&answer, "retry-after").parse().expect("seconds");
    assert!(after > 0.0 && after <= 2.0);
}

#[tokio::test]
async fn a_request_turned_away_unseen_is_served_by_another_server() {
    let (mut full, mut server) = (Server::start(TURNED_AWAY).await, Server::start(SERVED).await);
    let discovery = Discovery::start().await;
    let known = vec![target(1, full.at, "SERVING"), target(2, server.at, "SERVING")];
    let gateway = Gateway::start(&config(known, discovery.at)).await;
    for n in 0..6 {
        assert_eq!(gateway.client().await.ask(&look(&format!("id-{n}"))).await.start_line.code, 200);
    }
    assert!(!full.so_far().0.is_empty(), "the draw met the full host");
    assert_eq!(server.so_far().0.len(), 6);
}

#[tokio::test]
async fn load_reports_reach_the_module_and_move_its_weights() {
    // Guards against names that are not read: the module then draws blindly, and nothing else shows it.
    let report = |text: &'static str| Server::start(Does::Answer(text));
    let mut busy = report(
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Backend-Load: utilization=0.9,throughput=5\r\n\r\n",
    )
    .await;
    let mut free = report(
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Backend-Load: utilization=0.2,throughput=50\r\n\r\n",
    )
    .await;
    let discovery = Discovery::start().await;
    let known = vec![target(1, busy.at, "SERVING"), target(2, free.at, "SERVING")];
    let gateway = Gateway::start(&config(known, discovery.at)).await;
    let mut client = gateway.client().await;
    for n in 0..60 {
        assert_eq!(client.ask(&look(&format!("id-{n}"))).await.start_line.code, 200);
    }
    let (busy, free) = (busy.so_far().0.len(), free.so_far().0.len());
    assert!(busy > 0 && free > 3 * busy, "{busy} to the busy server, {free} to the free one");
}

#[tokio::test]
async fn time_up_and_a_client_that_leaves_close_the_hosts_connection() {
    let (mut server, discovery) = (Server::start(Does::Nothing).await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let mut client = gateway.client().await;
    let short = look("a").replace("\r\n\r\n", "\r\nX-Time-Left-Ms: 1000\r\n\r\n");
    assert_eq!(client.ask(&short).await.start_line.code, 503);
    while !matches!(server.next().await, Seen::Ended) {}
    let mut other = gateway.client().await;
    other.send(&look("b")).await;
    while !matches!(server.next().await, Seen::Request(_)) {}
    drop(other);
    while !matches!(server.next().await, Seen::Ended) {}
}

#[tokio::test]
async fn the_id_of_an_open_request_is_refused_and_free_again_after_it() {
    let (mut server, discovery) = (Server::start(Does::Nothing).await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let mut first = gateway.client().await;
    first.send(&look("a")).await;
    while !matches!(server.next().await, Seen::Request(_)) {}
    let answer = gateway.client().await.ask(&look("a")).await;
    assert_eq!((answer.start_line.code, answer.keep_alive), (400, false));
    drop(first);
    while !matches!(server.next().await, Seen::Ended) {}
    let mut second = gateway.client().await;
    second.send(&look("a")).await;
    while !matches!(server.next().await, Seen::Request(_)) {}
}

#[tokio::test]
async fn who_says_nothing_or_never_ends_is_heard_out_for_a_while_only() {
    let (server, discovery) = (Server::start(SERVED).await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let (mut silent, mut once, mut half) =
        (gateway.client().await, gateway.client().await, gateway.client().await);
    assert_eq!(once.ask(&look("once")).await.start_line.code, 200);
    half.send("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\ndesk").await;
    assert!(silent.answer().await.is_none() && once.answer().await.is_none());
    assert_eq!(half.answer().await.expect("an answer").start_line.code, 408);
}

#[tokio::test]
async fn an_error_reaches_a_client_that_is_still_sending() {
    let discovery = Discovery::start().await;
    let gateway = Gateway::start(&config(vec![], discovery.at)).await;
    let Client { stream } = gateway.client().await;
    let (mut reads, mut writes) = stream.into_split();
    let sending = tokio::spawn(async move {
        let head = "POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n";
        let _ = tokio::io::AsyncWriteExt::write_all(&mut writes, head.as_bytes()).await;
        let part = vec![b'x'; 1 << 16];
        let mut sent = 0;
        while tokio::io::AsyncWriteExt::write_all(&mut writes, &part).await.is_ok() && sent < 900 {
            sent += 1;
        }
    });
    let mut start = [0; 12];
    tokio::io::AsyncReadExt::read_exact(&mut reads, &mut start).await.expect("an answer");
    assert_eq!(&start, b"HTTP/1.1 413");
    sending.await.expect("it ends");
}

#[tokio::test]
async fn past_max_open_comes_the_refusal() {
    let (mut server, discovery) = (Server::start(Does::Nothing).await, Discovery::start().await);
    let mut told = config(vec![target(1, server.at, "SERVING")], discovery.at);
    told["settings"]["limits"]["max_open"] = json!(1);
    let gateway = Gateway::start(&told).await;
    let mut first = gateway.client().await;
    first.send(&look("a")).await;
    while !matches!(server.next().await, Seen::Request(_)) {}
    let answer = gateway.client().await.ask(&look("b")).await;
    assert_eq!((answer.start_line.code, field(&answer, "retry-after")), (503, "2.000".into()));
}

#[tokio::test]
async fn clients_past_the_sockets_are_told_to_come_back() {
    let (mut server, discovery) = (Server::start(Does::Nothing).await, Discovery::start().await);
    let mut told = config(vec![target(1, server.at, "SERVING")], discovery.at);
    told["limits"]["sockets"] = json!(64); // 16 for clients and servers: seven open requests, and room kept for servers
    let gateway = Gateway::start(&told).await;
    let mut clients = Vec::new();
    for n in 0..7 {
        clients.push(gateway.client().await);
        clients[n].send(&look(&format!("id-{n}"))).await;
        while !matches!(server.next().await, Seen::Request(_)) {}
    }
    let answer = gateway.client().await.ask(&look("late")).await;
    assert_eq!((answer.start_line.code, answer.keep_alive), (503, false));
    assert_eq!(server.so_far().0, Vec::<String>::new());
    // Room again: connections that stand idle end for it.
    drop(clients);
    for n in 0..7 {
        while !matches!(server.next().await, Seen::Ended) {}
        let mut idle = gateway.client().await;
        assert_eq!(idle.ask("GET /ready HTTP/1.1\r\n\r\n").await.start_line.code, 200, "{n}");
    }
}

#[tokio::test]
async fn the_watch_goes_on_and_a_drain_holds_from_the_moment_it_is_read() {
    let (mut old, mut new) = (Server::start(SERVED).await, Server::start(SERVED).await);
    let mut discovery = Discovery::start().await;
    let gateway = Gateway::start(&config(vec![target(1, old.at, "SERVING")], discovery.at)).await;
    let (query, answer) = discovery.call().await;
    assert!(query.starts_with("/v1/endpoints?after=41&wait_ms="), "{query}");
    answer
        .send(ok(&list(42, false, vec![target(2, new.at, "SERVING"), target(1, old.at, "DRAINING")])))
        .expect("asked");
    let (query, answer) = discovery.call().await;
    assert!(query.contains("after=42"), "{query}");
    for n in 0..8 {
        assert_eq!(gateway.client().await.ask(&look(&format!("id-{n}"))).await.start_line.code, 200);
    }
    assert_eq!((old.so_far().0.len(), new.so_far().0.len()), (0, 8));

    // A malformed list is a failed call: the list stands, and the next call asks from the same version.
    answer.send(ok(&json!({"rev": 43, "all": true}))).expect("asked");
    let (query, answer) = discovery.call().await;
    assert!(query.contains("after=42"), "{query}");
    assert_eq!(gateway.client().await.ask(&look("still")).await.start_line.code, 200);
    // So is a connection that ends. Then a whole list, in which a server has moved.
    drop(answer);
    let moved = Server::start(SERVED).await;
    let (_, answer) = discovery.call().await;
    answer.send(ok(&list(44, true, vec![target(2, moved.at, "SERVING")]))).expect("asked");
    let _waiting = discovery.call().await;
    new.so_far();
    assert_eq!(gateway.client().await.ask(&look("moved")).await.start_line.code, 200);
    assert_eq!(new.so_far(), (vec![], 0));
}

#[tokio::test]
async fn a_discovery_that_falls_silent_is_asked_again() {
    let (server, mut discovery) = (Server::start(SERVED).await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let (_, _never_answered) = discovery.call().await;
    // The call's own deadline ends it, the module asks anew, and the list stands meanwhile.
    let (query, answer) = discovery.call().await;
    assert!(query.contains("after=41"), "{query}");
    assert_eq!(gateway.client().await.ask(&look("a")).await.start_line.code, 200);
    answer.send(ok(&list(42, false, vec![]))).expect("asked");
    assert!(discovery.call().await.0.contains("after=42"));
}

/// A watch of gateway `me` of `instances` that answers `answered` calls and then falls silent for good.
async fn silent_watch(me: u32, instances: u32, answered: u64) {
    let mut discovery = Discovery::start().await;
    let (_at, at) = watch::channel(discovery.at);
    let (asked, to_ask) = mpsc::channel(1);
    let (queue, mut news) = mpsc::channel(16);
    let turn = discovery::renewal_delay(me, instances);
    assert!(turn < Duration::from_secs(1), "{turn:?}");
    let config = FollowConfig { dial_timeout: LONG, revision: Some(41), renewal_delay: turn };
    tokio::spawn(discovery::follow(at, config, to_ask, queue));
    asked.send(()).await.expect("followed");
    for n in 0..answered {
        discovery.call().await.1.send(ok(&list(42 + n, false, vec![]))).expect("asked");
        assert!(matches!(news.recv().await, Some(GatewayEvent::Discovery(DiscoveryEvent::Update(_)))));
    }
    let (_, _silent) = discovery.call().await;
    let (query, answer) = discovery.call().await;
    assert!(query.contains(&format!("after={}&", 41 + answered)), "{query}");
    assert!(news.try_recv().is_err(), "{me} of {instances}: lost before it was opened anew");
    // What it missed comes; a second silence in a row is left to the module.
    answer.send(ok(&list(60, false, vec![]))).expect("asked");
    assert!(matches!(news.recv().await, Some(GatewayEvent::Discovery(DiscoveryEvent::Update(_)))));
    let (_, _silent) = discovery.call().await;
    let (_, _silent_too) = discovery.call().await;
    assert!(news.try_recv().is_err(), "lost before it was opened anew");
    assert!(matches!(news.recv().await, Some(GatewayEvent::Discovery(DiscoveryEvent::WatchLost))));
}

#[tokio::test]
async fn a_silent_watch_is_opened_anew_before_what_it_missed_counts_as_told() {
    let all = [(0, 1, 0), (0, 1, 2), (2, 3, 0), (99, 100, 1), (299, 300, 0), (349, 350, 1)];
    let all = all.map(|(me, instances, answered)| tokio::spawn(silent_watch(me, instances, answered)));
    for one in all {
        one.await.expect("it holds");
    }
    // All of a fleet come one after another.
    let turns: Vec<_> = (0..300).map(|me| discovery::renewal_delay(me, 300)).collect();
    assert!(turns.windows(2).all(|pair| pair[0] < pair[1]));
}

#[tokio::test]
async fn discovery_is_followed_at_once_where_it_moves_to() {
    let (mut server, mut new) = (Server::start(SERVED).await, Server::start(SERVED).await);
    let (mut before, mut after) = (Discovery::start().await, Discovery::start().await);
    let gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], before.at)).await;
    let (_, waiting) = before.call().await;
    gateway.discovery.send(after.at).expect("it is followed");
    // The call that waits at the old address holds nothing up, and what it says then is not heard.
    let (query, answer) = after.call().await;
    assert_eq!(query, "/v1/endpoints");
    let _ = waiting.send(ok(&list(42, true, vec![])));
    assert_eq!(gateway.client().await.ask(&look("meanwhile")).await.start_line.code, 200);
    assert_eq!(server.so_far().0, ["meanwhile"]);
    answer.send(ok(&list(7, true, vec![target(2, new.at, "SERVING")]))).expect("asked");
    assert!(after.call().await.0.contains("after=7"));
    assert_eq!(gateway.client().await.ask(&look("moved")).await.start_line.code, 200);
    assert_eq!((server.so_far().0.len(), new.so_far().0), (0, vec!["moved".to_string()]));
}

#[tokio::test]
async fn told_to_stop_it_serves_what_is_owed_and_ends() {
    let (mut server, discovery) = (Server::start(Does::Nothing).await, Discovery::start().await);
    let mut gateway = Gateway::start(&config(vec![target(1, server.at, "SERVING")], discovery.at)).await;
    let (mut idle, mut kept, mut owed) =
        (gateway.client().await, gateway.client().await, gateway.client().await);
    let ready = "GET /ready HTTP/1.1\r\n\r\n";
    assert_eq!(kept.ask(ready).await.start_line.code, 200);
    assert_eq!(idle.ask(ready).await.start_line.code, 200);
    owed.send(&look("a").replace("\r\n\r\n", "\r\nX-Time-Left-Ms: 1500\r\n\r\n")).await;
    while !matches!(server.next().await, Seen::Request(_)) {}
    gateway.stop();
    // Kept and new connections are still served, each once.
    while gateway.client().await.ask(ready).await.start_line.code == 200 {}
    let answer = kept.ask(ready).await;
    assert_eq!((answer.start_line.code, answer.keep_alive), (503, false));
    assert!(idle.answer().await.is_none(), "an idle connection ends");
    // A request that crossed that end comes again, over a new connection.
    let answer = gateway.client().await.ask(ready).await;
    assert_eq!((answer.start_line.code, answer.keep_alive), (503, false));
    let answer = owed.answer().await.expect("what is owed is answered");
    assert_eq!((answer.start_line.code, answer.keep_alive), (503, false));
    drop((kept, owed));
    let ended = tokio::time::timeout(LONG, gateway.task).await.expect("it ends").expect("without panic");
    assert!(matches!(ended, Ok(())), "{ended:?}");
}

#[tokio::test]
async fn a_known_list_of_any_revision_is_not_asked_for_again() {
    for (known, call) in [(vec![], "/v1/endpoints"), (vec![1], "/v1/endpoints?after=0&wait_ms=100")] {
        let (server, mut discovery) = (Server::start(SERVED).await, Discovery::start().await);
        let known = known.into_iter().map(|n| target(n, server.at, "SERVING")).collect();
        let mut config = config(vec![], discovery.at);
        config["known"] = list(0, true, known);
        let _gateway = Gateway::start(&config).await;
        assert_eq!(discovery.call().await.0, call);
    }
}

#[tokio::test]
async fn servers_that_report_only_when_probed_are_probed_and_their_word_moves_the_weights() {
    const BUSY: Does = Does::Answer("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nutil=0.9,qps=10,queue=0");
    const IDLE: Does = Does::Answer("HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\nutil=0.9,qps=900,queue=0");
    let (mut small, mut large) = (Server::start(BUSY).await, Server::start(IDLE).await);
    let discovery = Discovery::start().await;
    let known = vec![target(1, small.at, "SERVING"), target(2, large.at, "SERVING")];
    for may_probe in [false, true] {
        let mut config = config(known.clone(), discovery.at);
        config["settings"]["report"]["how"] = "on_probe".into();
        config["settings"]["limits"]["may_probe"] = may_probe.into();
        let gateway = Gateway::start(&config).await;
        let mut client = gateway.client().await;
        if may_probe {
            // Both are asked of their own accord, before any request.
            for server in [&mut small, &mut large] {
                let probe = loop {
                    if let Seen::Request(ask) = server.next().await {
                        break ask;
                    }
                };
                assert_eq!((probe.method(), probe.target()), (&b"GET"[..], &b"/status/load"[..]));
                assert_eq!(field(&probe, "x-correlation-id"), "", "a probe is no request");
            }
        }
        for n in 0..60 {
            client.ask(&look(&format!("{may_probe}-{n}"))).await;
        }
        let count = |server: &mut Server| {
            let (ids, _) = server.so_far();
            (ids.iter().filter(|id| id.is_empty()).count(), ids.iter().filter(|id| !id.is_empty()).count())
        };
        let ((few_probes, few), (_, many)) = (count(&mut small), count(&mut large));
        assert_eq!(few + many, 60);
        if may_probe {
            // A quarter of the mean weight is the least that a server keeps.
            assert!(few < 20, "{few} of 60 to the small host");
        } else {
            assert_eq!(few_probes, 0, "probes only where the settings permit them");
            assert!(few > 15, "{few} of 60 where nothing tells them apart");
        }
    }
}

#[tokio::test]
async fn lists_of_fifteen_hundred_servers_with_long_names_are_followed_in_every_form() {
    const HOSTS: usize = 1500;
    let (first, second, third) =
        (Server::start(SERVED).await, Server::start(SERVED).await, Server::start(SERVED).await);
    let many = |at: std::net::SocketAddr, state: &str| -> Vec<serde_json::Value> {
        let named = |n: usize| {
            let mut target = target(n, at, state);
            target["uid"] = format!("{n}-{}", "long-name.".repeat(60)).into();
            target["az"] = "a".repeat(200).into();
            target
        };
        (0..HOSTS).map(named).collect()
    };
    let mut discovery = Discovery::start().await;
    let mut config = config(many(first.at, "SERVING"), discovery.at);
    config["settings"]["instances"] = 1024.into();
    config["settings"]["me"] = 1023.into();
    let gateway = Gateway::start(&config).await;
    let served_by = |server: &mut Server| server.so_far().0.len();
    let [mut first, mut second, mut third] = [first, second, third];
    assert_eq!(gateway.client().await.ask(&look("known")).await.start_line.code, 200);
    assert_eq!(served_by(&mut first), 1);

    let whole = list(42, true, many(second.at, "SERVING"));
    assert!(whole.to_string().len() > 1 << 20, "more than a mebibyte");
    let (_, answer) = discovery.call().await;
    answer.send(ok(&whole)).expect("asked");
    let (query, answer) = discovery.call().await;
    assert!(query.contains("after=42"), "{query}");
    assert_eq!(gateway.client().await.ask(&look("whole")).await.start_line.code, 200);
    assert_eq!((served_by(&mut first), served_by(&mut second)), (0, 1));

    answer.send(ok(&list(43, false, many(third.at, "SERVING")))).expect("asked");
    let (query, _answer) = discovery.call().await;
    assert!(query.contains("after=43"), "{query}");
    assert_eq!(gateway.client().await.ask(&look("changes")).await.start_line.code, 200);
    assert_eq!((served_by(&mut second), served_by(&mut third)), (0, 1));
}
