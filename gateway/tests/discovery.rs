//! Following the endpoint list: polls, silent watches, moves, cached and pushed lists.

mod common;
use common::*;
use serde_json::json;
use std::time::Duration;
use ternstack_gateway::discovery::{self, FollowConfig};
use ternstack_gateway::events::{DiscoveryEvent, GatewayEvent};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, Instant};

#[tokio::test]
async fn the_watch_continues_and_a_drain_applies_once_it_is_read() {
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
async fn a_silent_discovery_is_polled_again() {
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
    let config = FollowConfig { connect_timeout: LONG, revision: Some(41), renewal_delay: turn };
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
async fn a_silent_watch_is_renewed_within_the_notification_deadline() {
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
async fn a_new_discovery_address_is_watched_at_once() {
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
async fn a_cached_list_of_any_revision_is_continued_with_deltas() {
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
async fn large_lists_with_long_names_are_followed_in_every_form() {
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

#[tokio::test]
async fn pushed_lists_are_watched_from_the_start_and_after_each_lost_watch() {
    let (mut old, mut new) = (Server::start(SERVED).await, Server::start(SERVED).await);
    let mut discovery = Discovery::start().await;
    let known = vec![target(1, old.at, "SERVING"), target(2, new.at, "SERVING")];
    let gateway = Gateway::start(&config_with_unsafe_class(known, discovery.at)).await;
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
enum PollFailure {
    Silent,
    Refused,
    RefusedLate,
    Reset,
    Malformed,
}

#[tokio::test(start_paused = true)]
async fn a_failed_poll_is_repeated_within_the_notification_deadline() {
    let _clock = hold_clock(true);
    let mut all = tokio::task::JoinSet::new();
    for (instances, pushed) in [(1, false), (1, true), (30, false), (350, false), (350, true)] {
        for before in [0, 2] {
            for ends in [
                PollFailure::Silent,
                PollFailure::Refused,
                PollFailure::RefusedLate,
                PollFailure::Reset,
                PollFailure::Malformed,
            ] {
                all.spawn(next_poll(instances, pushed, before, ends));
            }
        }
    }
    while let Some(one) = all.join_next().await {
        one.expect("it holds");
    }
}

/// The last of `instances` gateways, whose call `ends` so after so many that were answered `before`.
async fn next_poll(instances: u64, pushed: bool, before: u64, ends: PollFailure) {
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
        PollFailure::Silent => held = Some(answer),
        PollFailure::Refused => drop(answer.send(refusal.into())),
        PollFailure::RefusedLate => {
            // As long as discovery keeps a call in its line.
            sleep(Duration::from_secs(3)).await;
            let _ = answer.send(refusal.into());
        }
        PollFailure::Reset => drop(answer),
        PollFailure::Malformed => drop(answer.send(ok(&json!({"rev": "x"})))),
    }
    let _next = discovery.call().await;
    // The formula of the operators' page: a call's own time, and the pause before the next.
    let most = Duration::from_millis(3200) + spread.max(Duration::from_millis(200));
    let took = called.elapsed();
    assert!(took <= most + slack, "{instances} {pushed} {before} {ends:?}: {took:?}, not {most:?}");
    assert!(most < Duration::from_secs(6));
    drop(held);
}
