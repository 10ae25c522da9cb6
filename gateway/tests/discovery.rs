//! The watch of discovery: polls, silent watches, changes of the address, and cached and pushed lists.

mod common;
use common::*;
use serde_json::json;
use std::time::Duration;
use ternstack_gateway::discovery::{self, FollowConfig};
use ternstack_gateway::events::{DiscoveryEvent, GatewayEvent};
use ternstack_gateway::loop_lag::LoopLag;
use ternstack_gateway::memory::Memory;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, Instant};

#[tokio::test]
async fn a_watch_applies_each_list_and_survives_failed_polls() {
    let (mut old_server, mut new_server) = (StubServer::start(SERVE).await, StubServer::start(SERVE).await);
    let mut discovery = StubDiscovery::start().await;
    let gateway = Gateway::start(&gateway_config(
        vec![endpoint_entry(1, old_server.address, "SERVING")],
        discovery.address,
    ))
    .await;
    let (poll_target, responder) = discovery.next_poll().await;
    assert!(poll_target.starts_with("/v1/endpoints?after=41&wait_ms="), "{poll_target}");
    responder
        .send(ok_response(&endpoint_list(
            42,
            false,
            vec![
                endpoint_entry(2, new_server.address, "SERVING"),
                endpoint_entry(1, old_server.address, "DRAINING"),
            ],
        )))
        .expect("the poll waits for its response");
    let (poll_target, responder) = discovery.next_poll().await;
    assert!(poll_target.contains("after=42"), "{poll_target}");
    for n in 0..8 {
        assert_eq!(
            gateway.client().await.request(&look_request(&format!("id-{n}"))).await.start_line.code,
            200
        );
    }
    assert_eq!((old_server.take_events().0.len(), new_server.take_events().0.len()), (0, 8));

    // After a malformed response, the last list stays in use, and the next poll is from the same revision.
    responder.send(ok_response(&json!({"rev": 43, "all": true}))).expect("the poll waits for its response");
    let (poll_target, responder) = discovery.next_poll().await;
    assert!(poll_target.contains("after=42"), "{poll_target}");
    assert_eq!(gateway.client().await.request(&look_request("still")).await.start_line.code, 200);
    // The watch continues after discovery closes the connection. The next complete list gives an endpoint
    // another address.
    drop(responder);
    let moved_server = StubServer::start(SERVE).await;
    let (_, responder) = discovery.next_poll().await;
    responder
        .send(ok_response(&endpoint_list(44, true, vec![endpoint_entry(2, moved_server.address, "SERVING")])))
        .expect("the poll waits for its response");
    let _pending_responder = discovery.next_poll().await;
    new_server.take_events();
    assert_eq!(gateway.client().await.request(&look_request("moved")).await.start_line.code, 200);
    assert_eq!(new_server.take_events(), (vec![], 0));
}

#[tokio::test]
async fn a_poll_without_a_response_is_repeated_and_the_cached_list_stays_in_use() {
    let (server, mut discovery) = (StubServer::start(SERVE).await, StubDiscovery::start().await);
    let gateway = Gateway::start(&gateway_config(
        vec![endpoint_entry(1, server.address, "SERVING")],
        discovery.address,
    ))
    .await;
    let (_, _never_answered) = discovery.next_poll().await;
    // The poll ends at its deadline, and the gateway polls again. Meanwhile the cached list stays in use.
    let (poll_target, responder) = discovery.next_poll().await;
    assert!(poll_target.contains("after=41"), "{poll_target}");
    assert_eq!(gateway.client().await.request(&look_request("a")).await.start_line.code, 200);
    responder.send(ok_response(&endpoint_list(42, false, vec![]))).expect("the poll waits for its response");
    assert!(discovery.next_poll().await.0.contains("after=42"));
}

/// Checks that the gateway with the number `gateway_index` of `gateway_count` gateways renews a watch that
/// falls silent after `answered_polls` responses, and reports a watch as lost if the renewed watch is silent
/// from its start.
async fn check_watch_renewal(gateway_index: u32, gateway_count: u32, answered_polls: u64) {
    let mut discovery = StubDiscovery::start().await;
    let (_address_sender, address) = watch::channel(discovery.address);
    let (request_sender, requests) = mpsc::channel(1);
    let (event_sender, mut events) = mpsc::channel(16);
    let renewal_delay = discovery::renewal_delay(gateway_index, gateway_count);
    assert!(renewal_delay < Duration::from_secs(1), "{renewal_delay:?}");
    let memory = Memory::new(usize::MAX);
    let config = FollowConfig {
        connect_timeout: TEST_TIMEOUT,
        revision: Some(41),
        renewal_delay,
        list_lifetime: None,
        memory,
        lag: LoopLag::default(),
    };
    tokio::spawn(discovery::follow(address, config, requests, event_sender));
    request_sender.send(()).await.expect("the watch task is running");
    for n in 0..answered_polls {
        discovery
            .next_poll()
            .await
            .1
            .send(ok_response(&endpoint_list(42 + n, false, vec![])))
            .expect("the poll waits for its response");
        assert!(matches!(events.recv().await, Some(GatewayEvent::Discovery(DiscoveryEvent::Update(_)))));
    }
    let (_, _silent) = discovery.next_poll().await;
    let (poll_target, responder) = discovery.next_poll().await;
    assert!(poll_target.contains(&format!("after={}&", 41 + answered_polls)), "{poll_target}");
    assert!(
        events.try_recv().is_err(),
        "gateway {gateway_index} of {gateway_count}: the watch is renewed before it is reported as lost"
    );
    // The renewed watch receives the changes. A watch that falls silent before its first response is not
    // renewed but reported as lost, so that the balancer decides when to request another watch.
    responder.send(ok_response(&endpoint_list(60, false, vec![]))).expect("the poll waits for its response");
    assert!(matches!(events.recv().await, Some(GatewayEvent::Discovery(DiscoveryEvent::Update(_)))));
    let (_, _silent) = discovery.next_poll().await;
    let (_, _silent_renewal) = discovery.next_poll().await;
    assert!(events.try_recv().is_err(), "the watch is renewed before it is reported as lost");
    assert!(matches!(events.recv().await, Some(GatewayEvent::Discovery(DiscoveryEvent::WatchLost))));
}

#[tokio::test]
async fn a_silent_watch_is_renewed_once_before_it_is_reported_as_lost() {
    let checks = [(0, 1, 0), (0, 1, 2), (2, 3, 0), (99, 100, 1), (299, 300, 0), (349, 350, 1)];
    let checks = checks.map(|(index, count, polls)| tokio::spawn(check_watch_renewal(index, count, polls)));
    for check in checks {
        check.await.expect("the check succeeds");
    }
    // The gateways of a fleet renew their watches one after another.
    let renewal_delays: Vec<_> =
        (0..300).map(|gateway_index| discovery::renewal_delay(gateway_index, 300)).collect();
    assert!(renewal_delays.windows(2).all(|pair| pair[0] < pair[1]));
}

#[tokio::test]
async fn a_new_discovery_address_is_watched_at_once() {
    let (mut server, mut new_server) = (StubServer::start(SERVE).await, StubServer::start(SERVE).await);
    let (mut old_discovery, mut new_discovery) = (StubDiscovery::start().await, StubDiscovery::start().await);
    let gateway = Gateway::start(&gateway_config(
        vec![endpoint_entry(1, server.address, "SERVING")],
        old_discovery.address,
    ))
    .await;
    let (_, old_responder) = old_discovery.next_poll().await;
    gateway.discovery.send(new_discovery.address).expect("the gateway watches the address");
    // The poll at the old address is abandoned, and its response is ignored.
    let (poll_target, responder) = new_discovery.next_poll().await;
    assert_eq!(poll_target, "/v1/endpoints");
    let _ = old_responder.send(ok_response(&endpoint_list(42, true, vec![])));
    assert_eq!(gateway.client().await.request(&look_request("meanwhile")).await.start_line.code, 200);
    assert_eq!(server.take_events().0, ["meanwhile"]);
    responder
        .send(ok_response(&endpoint_list(7, true, vec![endpoint_entry(2, new_server.address, "SERVING")])))
        .expect("the poll waits for its response");
    assert!(new_discovery.next_poll().await.0.contains("after=7"));
    assert_eq!(gateway.client().await.request(&look_request("moved")).await.start_line.code, 200);
    assert_eq!((server.take_events().0.len(), new_server.take_events().0), (0, vec!["moved".to_string()]));
}

#[tokio::test]
async fn the_first_poll_continues_from_the_cached_revision_unless_the_cached_list_is_empty() {
    for (entries, expected_poll_target) in
        [(vec![], "/v1/endpoints"), (vec![1], "/v1/endpoints?after=0&wait_ms=100")]
    {
        let (server, mut discovery) = (StubServer::start(SERVE).await, StubDiscovery::start().await);
        let entries = entries.into_iter().map(|n| endpoint_entry(n, server.address, "SERVING")).collect();
        let mut config = gateway_config(vec![], discovery.address);
        config["known"] = endpoint_list(0, true, entries);
        let _gateway = Gateway::start(&config).await;
        assert_eq!(discovery.next_poll().await.0, expected_poll_target);
    }
}

#[tokio::test]
async fn large_lists_are_applied_as_cached_list_complete_list_and_delta() {
    const ENDPOINTS: usize = 1500;
    let (cached_server, complete_server, delta_server) =
        (StubServer::start(SERVE).await, StubServer::start(SERVE).await, StubServer::start(SERVE).await);
    let entries_at = |address: std::net::SocketAddr, state: &str| -> Vec<serde_json::Value> {
        let long_entry = |n: usize| {
            let mut entry = endpoint_entry(n, address, state);
            entry["uid"] = format!("{n}-{}", "long-name.".repeat(60)).into();
            entry["az"] = "a".repeat(200).into();
            entry
        };
        (0..ENDPOINTS).map(long_entry).collect()
    };
    let mut discovery = StubDiscovery::start().await;
    let mut config = gateway_config(entries_at(cached_server.address, "SERVING"), discovery.address);
    config["settings"]["instances"] = 1024.into();
    config["settings"]["me"] = 1023.into();
    let gateway = Gateway::start(&config).await;
    let served_by = |server: &mut StubServer| server.take_events().0.len();
    let [mut cached_server, mut complete_server, mut delta_server] =
        [cached_server, complete_server, delta_server];
    assert_eq!(gateway.client().await.request(&look_request("known")).await.start_line.code, 200);
    assert_eq!(served_by(&mut cached_server), 1);

    let complete_list = endpoint_list(42, true, entries_at(complete_server.address, "SERVING"));
    assert!(complete_list.to_string().len() > 1 << 20, "the list is larger than 1 MiB");
    let (_, responder) = discovery.next_poll().await;
    responder.send(ok_response(&complete_list)).expect("the poll waits for its response");
    let (poll_target, responder) = discovery.next_poll().await;
    assert!(poll_target.contains("after=42"), "{poll_target}");
    assert_eq!(gateway.client().await.request(&look_request("whole")).await.start_line.code, 200);
    assert_eq!((served_by(&mut cached_server), served_by(&mut complete_server)), (0, 1));

    responder
        .send(ok_response(&endpoint_list(43, false, entries_at(delta_server.address, "SERVING"))))
        .expect("the poll waits for its response");
    let (poll_target, _responder) = discovery.next_poll().await;
    assert!(poll_target.contains("after=43"), "{poll_target}");
    assert_eq!(gateway.client().await.request(&look_request("changes")).await.start_line.code, 200);
    assert_eq!((served_by(&mut complete_server), served_by(&mut delta_server)), (0, 1));
}

#[tokio::test]
async fn with_pushed_lists_a_watch_begins_at_startup_and_after_each_lost_watch() {
    let (mut old_server, mut new_server) = (StubServer::start(SERVE).await, StubServer::start(SERVE).await);
    let mut discovery = StubDiscovery::start().await;
    let entries = vec![
        endpoint_entry(1, old_server.address, "SERVING"),
        endpoint_entry(2, new_server.address, "SERVING"),
    ];
    let gateway = Gateway::start(&non_idempotent_config(entries, discovery.address)).await;
    let (poll_target, responder) = discovery.next_poll().await;
    assert!(poll_target.contains("after=41"), "{poll_target}");
    responder
        .send(ok_response(&endpoint_list(42, false, vec![endpoint_entry(1, old_server.address, "DRAINING")])))
        .expect("the poll waits for its response");
    let (_, reset_responder) = discovery.next_poll().await;
    assert_eq!(gateway.client().await.request(&look_request("a")).await.start_line.code, 200);
    assert_eq!((old_server.take_events().0.len(), new_server.take_events().0.len()), (0, 1));
    // A watch begins again after a closed connection, after a status 503 and after a malformed response, and
    // then receives the changes since the last revision.
    drop(reset_responder);
    let (_, rejected_responder) = discovery.next_poll().await;
    rejected_responder
        .send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".into())
        .expect("the poll waits for its response");
    let (_, malformed_responder) = discovery.next_poll().await;
    malformed_responder
        .send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"rev".into())
        .expect("the poll waits for its response");
    let (poll_target, responder) = discovery.next_poll().await;
    assert!(poll_target.contains("after=42"), "{poll_target}");
    let indented = serde_json::to_string_pretty(&endpoint_list(
        43,
        true,
        vec![endpoint_entry(1, old_server.address, "SERVING")],
    ));
    let indented = indented.expect("the list is serialized");
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{indented}", indented.len());
    responder.send(text).expect("the poll waits for its response");
    let _pending_responder = discovery.next_poll().await;
    assert_eq!(gateway.client().await.request(&look_request("b")).await.start_line.code, 200);
    assert_eq!((old_server.take_events().0.len(), new_server.take_events().0.len()), (1, 0));
}

/// How a poll fails.
#[derive(Clone, Copy, Debug)]
enum PollFailure {
    /// Discovery sends no response.
    Silent,
    /// Discovery responds with status 503 at once.
    Rejected,
    /// Discovery responds with status 503 after 3 s.
    RejectedLate,
    /// Discovery closes the connection without a response.
    Reset,
    /// Discovery responds with a body that is not an endpoint list.
    Malformed,
}

#[tokio::test(start_paused = true)]
async fn a_failed_poll_is_repeated_within_the_notification_deadline() {
    let _clock = start_clock_driver(true);
    let mut checks = tokio::task::JoinSet::new();
    for (gateway_count, is_pushed) in [(1, false), (1, true), (30, false), (350, false), (350, true)] {
        for answered_polls in [0, 2] {
            for failure in [
                PollFailure::Silent,
                PollFailure::Rejected,
                PollFailure::RejectedLate,
                PollFailure::Reset,
                PollFailure::Malformed,
            ] {
                checks.spawn(check_next_poll(gateway_count, is_pushed, answered_polls, failure));
            }
        }
    }
    while let Some(check) = checks.join_next().await {
        check.expect("the check succeeds");
    }
}

/// Checks how soon the last of `gateway_count` gateways polls again after a poll that fails with `failure`.
/// Before the failed poll, `answered_polls` polls have a response. `is_pushed` says whether discovery pushes
/// its lists.
async fn check_next_poll(gateway_count: u64, is_pushed: bool, answered_polls: u64, failure: PollFailure) {
    let rejection = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
    let mut discovery = StubDiscovery::start().await;
    let mut config = gateway_config(vec![], discovery.address);
    config["settings"]["instances"] = json!(gateway_count);
    config["settings"]["me"] = json!(gateway_count - 1);
    config["settings"]["discovery"] = if is_pushed { "push" } else { "ask" }.into();
    let started_at = Instant::now();
    let _gateway = Gateway::start(&config).await;
    for n in 0..answered_polls {
        discovery
            .next_poll()
            .await
            .1
            .send(ok_response(&endpoint_list(42 + n, false, vec![])))
            .expect("the poll waits for its response");
    }
    let (_, responder) = discovery.next_poll().await;
    // The gateways of a fleet spread their first polls over `spread`, unless lists are pushed.
    let spread = Duration::from_millis(if is_pushed { 0 } else { (50 * (gateway_count - 1)).min(2000) });
    let slack = Duration::from_millis(100);
    let polled_at = Instant::now();
    assert!(
        answered_polls > 0 || polled_at - started_at <= spread + slack,
        "{gateway_count} gateways, pushed {is_pushed}: first poll after {:?}",
        polled_at - started_at
    );
    let mut held_responder = None;
    match failure {
        PollFailure::Silent => held_responder = Some(responder),
        PollFailure::Rejected => drop(responder.send(rejection.into())),
        PollFailure::RejectedLate => {
            // Discovery may keep a poll in its queue for up to 3 s.
            sleep(Duration::from_secs(3)).await;
            let _ = responder.send(rejection.into());
        }
        PollFailure::Reset => drop(responder),
        PollFailure::Malformed => drop(responder.send(ok_response(&json!({"rev": "x"})))),
    }
    let _next_poll = discovery.next_poll().await;
    // The bound is the time of a poll, 3.2 s, plus the pause before the next poll.
    let max_delay = Duration::from_millis(3200) + spread.max(Duration::from_millis(200));
    let elapsed = polled_at.elapsed();
    assert!(
        elapsed <= max_delay + slack,
        "{gateway_count} gateways, pushed {is_pushed}, {answered_polls} polls answered, {failure:?}: \
         next poll after {elapsed:?}, expected at most {max_delay:?}"
    );
    assert!(max_delay < Duration::from_secs(6));
    drop(held_responder);
}

// Guards against a restarted discovery, whose revisions have started again, that is taken for its predecessor.
#[tokio::test]
async fn changes_with_an_earlier_revision_are_discarded_and_the_complete_list_is_requested() {
    let (mut server, mut other_server) = (StubServer::start(SERVE).await, StubServer::start(SERVE).await);
    let mut discovery = StubDiscovery::start().await;
    let gateway = Gateway::start(&gateway_config(
        vec![endpoint_entry(1, server.address, "SERVING")],
        discovery.address,
    ))
    .await;
    let (poll_target, responder) = discovery.next_poll().await;
    assert!(poll_target.contains("after=41"), "{poll_target}");
    // Revision 5 of another history: its changes do not apply to revision 41.
    let changes = vec![endpoint_entry(1, server.address, "DRAINING")];
    responder.send(ok_response(&endpoint_list(5, false, changes))).expect("the poll waits for its response");
    let (poll_target, responder) = discovery.next_poll().await;
    assert_eq!(poll_target, "/v1/endpoints");
    assert_eq!(gateway.client().await.request(&look_request("meanwhile")).await.start_line.code, 200);
    assert_eq!(server.take_events().0, ["meanwhile"], "the changes of revision 5 are not applied");
    let complete = vec![endpoint_entry(2, other_server.address, "SERVING")];
    responder.send(ok_response(&endpoint_list(5, true, complete))).expect("the poll waits for its response");
    let (poll_target, _waiting) = discovery.next_poll().await;
    assert!(poll_target.contains("after=5"), "{poll_target}");
    assert_eq!(gateway.client().await.request(&look_request("restarted")).await.start_line.code, 200);
    assert_eq!((server.take_events().0.len(), other_server.take_events().0), (0, vec!["restarted".into()]));
}

// Guards against a new process at the address of one that has gone that is taken for the old one.
#[tokio::test]
async fn an_endpoint_that_takes_over_an_address_is_not_reached_over_the_old_connections() {
    let (first, second) = (ScriptedServer::start().await, ScriptedServer::start().await);
    let mut discovery = StubDiscovery::start().await;
    let entry = |number, server: &ScriptedServer, state| endpoint_entry(number, server.address, state);
    let gateway = Gateway::start(&gateway_config(vec![entry(1, &first, "SERVING")], discovery.address)).await;
    let mut client = gateway.client().await;
    // Each change of the list leaves the first server alone in service, as another endpoint at its address.
    let changes = [
        vec![entry(1, &first, "DELETED"), entry(2, &first, "SERVING")],
        // The endpoints swap their addresses.
        vec![entry(2, &second, "DRAINING"), entry(3, &first, "SERVING")],
        // The same endpoint at the same address has started again.
        vec![{
            let mut restarted = entry(3, &first, "SERVING");
            restarted["boot_ms"] = 1.into();
            restarted
        }],
    ];
    let (_, mut responder) = discovery.next_poll().await;
    for (number, change) in changes.into_iter().enumerate() {
        client.send(&look_request(&format!("before-{number}"))).await;
        let mut connection = first.accept().await;
        connection.read_request().await.expect("the request is forwarded");
        connection.write(OK_RESPONSE).await;
        client.read_response().await.expect("the gateway responds");
        responder
            .send(ok_response(&endpoint_list(42 + number as u64, false, change)))
            .expect("the poll waits for its response");
        responder = discovery.next_poll().await.1;
        assert!(
            connection.closes_without_data().await,
            "change {number}: the old connection is closed unused"
        );
    }
}
