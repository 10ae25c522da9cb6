//! How long a gateway acts on an endpoint list while discovery is out of reach, where lists are pushed.

mod common;
use common::*;
use serde_json::{json, Value};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// The `drain_grace_ms` of the tests' deployment.
const DRAIN_GRACE: Duration = Duration::from_millis(2000);
/// The time after SIGHUP from which changes at the new address of discovery count.
const MOVE_NOTICE: Duration = Duration::from_secs(4);
/// The time within which a running gateway has the list after the return of discovery, in these tests.
const RECOVERY: Duration = Duration::from_millis(1500);
/// The client's timeout in the tests' requests.
const CLIENT_TIMEOUT_MS: u64 = 1000;
const OUTAGES: [Outage; 3] = [Outage::Silent, Outage::Refusing, Outage::Unreachable];

/// The result of one request.
#[derive(Clone, Debug)]
struct Answer {
    status: u16,
    has_retry_after: bool,
    sent_at: Instant,
    answered_at: Instant,
}

/// A gateway with two endpoints, the first of which drains, and a client that sends a request every 50 ms.
struct Fleet {
    draining: StubServer,
    serving: StubServer,
    discovery: FailingDiscovery,
    config: Value,
}

impl Fleet {
    async fn start() -> Self {
        let (draining, serving) = (StubServer::start(SERVE).await, StubServer::start(SERVE).await);
        let entries = vec![
            endpoint_entry(1, draining.address, "SERVING"),
            endpoint_entry(2, serving.address, "SERVING"),
        ];
        let discovery = FailingDiscovery::start(entries.clone()).await;
        let mut config = non_idempotent_config(entries, discovery.address);
        config["settings"]["safety"] = json!({"drain_grace_ms": DRAIN_GRACE.as_millis() as u64});
        config["settings"]["limits"]["dial_timeout_ms"] = json!(250.0);
        config["settings"]["limits"]["retry_after"] = true.into();
        config["settings"]["limits"]["max_open"] = json!(1000);
        Fleet { draining, serving, discovery, config }
    }

    fn draining_entry(&self) -> Value {
        endpoint_entry(1, self.draining.address, "DRAINING")
    }
}

/// The requests that arrive at a server, each with its time.
fn record_requests(mut server: StubServer) -> Arc<Mutex<Vec<Instant>>> {
    let times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let record = times.clone();
    tokio::spawn(async move {
        while let Some(event) = server.events.recv().await {
            if matches!(event, ServerEvent::Request(_)) {
                record.lock().expect("the lock is not poisoned").push(Instant::now());
            }
        }
    });
    times
}

fn last(times: &Mutex<Vec<Instant>>) -> Option<Instant> {
    times.lock().expect("the lock is not poisoned").last().copied()
}

/// Sends requests of an idempotent and of a non-idempotent class in turn until `until`. Returns the answers in the
/// order of the requests.
async fn send_requests(gateway: &Gateway, until: Instant) -> Vec<Answer> {
    let mut requests = JoinSet::new();
    let mut number = 0;
    while Instant::now() < until {
        let (client, id) = (gateway.client().await, format!("id-{}-{number}", gateway.address.port()));
        let text = if number % 2 == 0 { look_request(&id) } else { sign_request(&id) };
        let time_left = format!("\r\nX-Time-Left-Ms: {CLIENT_TIMEOUT_MS}\r\nX-Correlation-Id");
        requests.spawn(request_status(client, text.replacen("\r\nX-Correlation-Id", &time_left, 1)));
        number += 1;
        sleep(Duration::from_millis(50)).await;
    }
    let mut answers = requests.join_all().await;
    answers.sort_by_key(|answer| answer.sent_at);
    answers
}

async fn request_status(mut client: Client, text: String) -> Answer {
    let sent_at = Instant::now();
    let response = client.request(&text).await;
    let has_retry_after = !header_value(&response, "retry-after").is_empty();
    Answer { status: response.start_line.code, has_retry_after, sent_at, answered_at: Instant::now() }
}

/// Asserts that all requests sent from `from` to `to` were served.
fn assert_served(answers: &[Answer], from: Instant, to: Instant, context: &str) {
    for answer in answers.iter().filter(|answer| from <= answer.sent_at && answer.sent_at < to) {
        let after = answer.sent_at - from;
        assert_eq!(answer.status, 200, "{context}: a request sent {after:?} after the start is served");
    }
}

// Guards against a restarted gateway that goes on with its cached list while discovery is out of reach, and sends to
// an endpoint that has drained in the meantime (review 7).
#[tokio::test(start_paused = true)]
async fn a_restarted_gateway_sends_nothing_on_a_cached_list_past_the_grace_of_a_drain() {
    let _clock = start_clock_driver(true);
    let mut checks = JoinSet::new();
    for outage in OUTAGES {
        for removal_is_advisory in [false, true] {
            checks.spawn(check_restart(outage, removal_is_advisory));
        }
    }
    checks.join_all().await;
}

async fn check_restart(outage: Outage, removal_is_advisory: bool) {
    let mut fleet = Fleet::start().await;
    fleet.config["settings"]["safety"]["removal_not_binding"] = removal_is_advisory.into();
    fleet.discovery.set(fleet.draining_entry());
    fleet.discovery.set_outage(Some(outage));
    let started_at = Instant::now();
    let gateway = Gateway::start(&fleet.config).await;
    let (draining, serving) = (record_requests(fleet.draining), record_requests(fleet.serving));
    let back_at = started_at + Duration::from_secs(6);
    let (answers, ()) = tokio::join!(send_requests(&gateway, back_at + Duration::from_secs(3)), async {
        sleep_until(back_at).await;
        fleet.discovery.set_outage(None);
    });
    let context = format!("{outage:?}, removal advisory {removal_is_advisory}");

    let stale_at = started_at + DRAIN_GRACE;
    assert_served(&answers, started_at, started_at + DRAIN_GRACE * 8 / 10, &context);
    let last_sent =
        last(&draining).expect("the draining endpoint gets requests within the grace") - started_at;
    assert!(last_sent <= DRAIN_GRACE, "{context}: last request to the draining endpoint after {last_sent:?}");
    let sent_on_stale_list = |time: &&Instant| stale_at < **time && **time < back_at;
    let count = serving.lock().expect("the lock is not poisoned").iter().filter(sent_on_stale_list).count();
    assert_eq!(count, 0, "{context}: no request is sent on the stale list");
    let refused = |answer: &&Answer| stale_at < answer.sent_at && answer.answered_at < back_at;
    for answer in answers.iter().filter(refused) {
        let waited = answer.answered_at - answer.sent_at;
        assert!((answer.status, answer.has_retry_after) == (503, true), "{context}: {answer:?} is rejected");
        assert!(
            waited < Duration::from_millis(CLIENT_TIMEOUT_MS / 2),
            "{context}: rejected after {waited:?}"
        );
    }
    assert!(answers.iter().filter(refused).count() > 40, "{context}: requests were sent during the outage");
    assert_served(&answers, back_at + RECOVERY, back_at + Duration::from_secs(9), &context);
    assert!(last(&serving) > Some(back_at), "{context}: the other endpoint serves again");
}

// Guards against a restart that refuses or delays requests although discovery is well.
#[tokio::test(start_paused = true)]
async fn a_restarted_gateway_refuses_nothing_while_discovery_responds() {
    let _clock = start_clock_driver(true);
    for delay_ms in [0, 300, 1200] {
        let fleet = Fleet::start().await;
        fleet.discovery.set_delay(Duration::from_millis(delay_ms));
        let started_at = Instant::now();
        let gateway = Gateway::start(&fleet.config).await;
        let _servers = (record_requests(fleet.draining), record_requests(fleet.serving));
        // A slow response to each poll is a slow discovery only once the list has been confirmed.
        let until = started_at + if delay_ms < 1000 { Duration::from_secs(6) } else { DRAIN_GRACE };
        let answers = send_requests(&gateway, until).await;
        for answer in answers {
            let (after, waited) = (answer.sent_at - started_at, answer.answered_at - answer.sent_at);
            assert_eq!(answer.status, 200, "delay {delay_ms} ms: a request after {after:?}");
            assert!(waited < Duration::from_millis(40), "delay {delay_ms} ms: served after {waited:?}");
        }
    }
}

// Guards against a running gateway that has the list late after an outage, because a poll that was sent just before
// the return of discovery is never answered; and against one that refuses requests during the outage.
#[tokio::test(start_paused = true)]
async fn a_running_gateway_serves_during_an_outage_and_stops_sending_within_the_grace_of_its_end() {
    let _clock = start_clock_driver(true);
    let mut checks = JoinSet::new();
    for outage in OUTAGES {
        for phase in 0..6 {
            checks.spawn(check_outage(outage, Duration::from_millis(3000 + 570 * phase)));
        }
    }
    checks.join_all().await;
}

async fn check_outage(outage: Outage, duration: Duration) {
    let fleet = Fleet::start().await;
    let draining_entry = fleet.draining_entry();
    let started_at = Instant::now();
    let gateway = Gateway::start(&fleet.config).await;
    let (draining, serving) = (record_requests(fleet.draining), record_requests(fleet.serving));
    let down_at = started_at + Duration::from_millis(1500);
    let back_at = down_at + duration;
    let until = back_at + Duration::from_secs(5);
    let (answers, ()) = tokio::join!(send_requests(&gateway, until), async {
        sleep_until(down_at).await;
        fleet.discovery.set_outage(Some(outage));
        sleep_until(back_at).await;
        fleet.discovery.set(draining_entry);
        fleet.discovery.set_outage(None);
    });
    let context = format!("{outage:?} for {duration:?}");
    let last_sent = last(&draining).expect("the draining endpoint gets requests before it drains");
    assert!(last_sent >= down_at + duration / 2, "{context}: the list stays in use during the outage");
    let late = last_sent.saturating_duration_since(back_at);
    assert!(
        late <= DRAIN_GRACE,
        "{context}: last request to the draining endpoint {late:?} after the return"
    );
    assert_served(&answers, started_at, until, &context);
    assert!(last(&serving) > Some(back_at + DRAIN_GRACE), "{context}: the other endpoint serves");
}

// Guards against a discovery that is in reach, and whose responses the gateway cannot use, that counts as one that has
// nothing to say.
#[tokio::test(start_paused = true)]
async fn responses_that_cannot_be_read_do_not_keep_a_list_fresh() {
    let _clock = start_clock_driver(true);
    let mut checks = JoinSet::new();
    for outage in [Outage::Garbled, Outage::Stalled] {
        checks.spawn(async move {
            let fleet = Fleet::start().await;
            let draining_entry = fleet.draining_entry();
            let started_at = Instant::now();
            let gateway = Gateway::start(&fleet.config).await;
            let (draining, serving) = (record_requests(fleet.draining), record_requests(fleet.serving));
            let garbled_at = started_at + Duration::from_millis(1500);
            let back_at = garbled_at + Duration::from_secs(4);
            let until = back_at + Duration::from_secs(3);
            let (answers, ()) = tokio::join!(send_requests(&gateway, until), async {
                sleep_until(garbled_at).await;
                fleet.discovery.set_outage(Some(outage));
                fleet.discovery.set(draining_entry);
                sleep_until(back_at).await;
                fleet.discovery.set_outage(None);
            });
            let late = last(&draining).expect("requests are sent before the drain") - garbled_at;
            assert!(late <= DRAIN_GRACE, "{outage:?}: last request to the draining endpoint {late:?} late");
            assert_served(&answers, started_at, garbled_at, &format!("{outage:?}"));
            assert_served(&answers, back_at + RECOVERY, until, &format!("{outage:?}"));
            assert!(last(&serving) > Some(back_at), "{outage:?}: the other endpoint serves again");
        });
    }
    checks.join_all().await;
}

// Guards against a silent watch whose missed changes arrive later than they count.
#[tokio::test(start_paused = true)]
async fn a_watch_that_falls_silent_while_discovery_is_in_reach_misses_no_drain() {
    let _clock = start_clock_driver(true);
    let mut checks = JoinSet::new();
    for phase in 0..4 {
        checks.spawn(async move {
            let fleet = Fleet::start().await;
            let draining_entry = fleet.draining_entry();
            let started_at = Instant::now();
            let gateway = Gateway::start(&fleet.config).await;
            let (draining, _serving) = (record_requests(fleet.draining), record_requests(fleet.serving));
            let silent_at = started_at + Duration::from_millis(1500 + 400 * phase);
            let until = silent_at + Duration::from_secs(5);
            let (answers, ()) = tokio::join!(send_requests(&gateway, until), async {
                sleep_until(silent_at).await;
                fleet.discovery.silence_connections();
                fleet.discovery.set(draining_entry);
            });
            let late = last(&draining).expect("requests are sent before the drain");
            let late = late.saturating_duration_since(silent_at);
            assert!(
                late <= DRAIN_GRACE,
                "phase {phase}: last request to the draining endpoint {late:?} late"
            );
            assert_served(&answers, started_at, until, &format!("phase {phase}"));
        });
    }
    checks.join_all().await;
}

// Guards against a gateway that goes on with the old list after a move to a discovery that does not respond.
#[tokio::test(start_paused = true)]
async fn a_gateway_sends_nothing_on_the_old_list_long_after_a_move_to_a_silent_discovery() {
    let _clock = start_clock_driver(true);
    let mut checks = JoinSet::new();
    for outage in OUTAGES {
        checks.spawn(async move {
            let fleet = Fleet::start().await;
            let entries = vec![fleet.draining_entry(), endpoint_entry(2, fleet.serving.address, "SERVING")];
            let new_discovery = FailingDiscovery::start(entries).await;
            new_discovery.set_outage(Some(outage));
            let gateway = Gateway::start(&fleet.config).await;
            let (draining, serving) = (record_requests(fleet.draining), record_requests(fleet.serving));
            let moved_at = Instant::now() + Duration::from_secs(1);
            let stale_at = moved_at + MOVE_NOTICE + DRAIN_GRACE;
            let back_at = stale_at + Duration::from_secs(2);
            let until = back_at + Duration::from_secs(3);
            let (answers, ()) = tokio::join!(send_requests(&gateway, until), async {
                sleep_until(moved_at).await;
                gateway.discovery.send(new_discovery.address).expect("the gateway watches the address");
                sleep_until(back_at).await;
                new_discovery.set_outage(None);
            });
            let last_sent = last(&draining).expect("requests are sent before the move");
            assert!(last_sent <= stale_at, "{outage:?}: sent {:?} after the grace", last_sent - stale_at);
            assert!(last_sent > moved_at + MOVE_NOTICE, "{outage:?}: the old list stays in use for a while");
            assert_served(&answers, back_at + RECOVERY, until, &format!("{outage:?}"));
            assert!(last(&serving) > Some(back_at), "{outage:?}: the other endpoint serves again");
        });
    }
    checks.join_all().await;
}

// Guards against an attempt that was decided on a fresh list and is sent on a stale one, because its connection was
// established late.
#[tokio::test(start_paused = true)]
async fn an_attempt_still_connecting_when_the_list_becomes_stale_is_not_sent() {
    let _clock = start_clock_driver(true);
    let mut server = FullBacklogServer::start().await;
    let entries = vec![endpoint_entry(1, server.address, "SERVING")];
    let discovery = FailingDiscovery::start(entries.clone()).await;
    discovery.set_outage(Some(Outage::Silent));
    let mut config = non_idempotent_config(entries, discovery.address);
    config["settings"]["safety"] = json!({"drain_grace_ms": DRAIN_GRACE.as_millis() as u64});
    let started_at = Instant::now();
    let gateway = Gateway::start(&config).await;
    let mut client = gateway.client().await;
    client.send(&sign_request("a")).await;
    sleep_until(started_at + DRAIN_GRACE).await;
    assert_eq!(read_until_closed(&mut server.accept_from_gateway().await).await, 0, "nothing is sent");
    // The request has never run, so that even a non-idempotent one is rejected and not failed.
    assert_eq!(read_status(&mut client).await, Some(503));
}

// Guards against a deployment without `drain_grace_ms` whose lists never become stale.
#[tokio::test(start_paused = true)]
async fn lists_become_stale_by_default_where_they_are_pushed_and_never_where_they_are_polled() {
    let _clock = start_clock_driver(true);
    for (mode, expected_status) in [("push", 503), ("ask", 200)] {
        let mut fleet = Fleet::start().await;
        fleet.config["settings"]["safety"] = json!({});
        fleet.config["settings"]["discovery"] = mode.into();
        fleet.discovery.set_outage(Some(Outage::Silent));
        let gateway = Gateway::start(&fleet.config).await;
        sleep(Duration::from_secs(3)).await;
        let status = gateway.client().await.request(&look_request("late")).await.start_line.code;
        assert_eq!(status, expected_status, "{mode}");
    }
}
