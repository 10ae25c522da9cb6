//! Load reports and health checks: the formats of reports, and the effect of reports on the balancer.

mod common;
use common::*;
use ternstack_balancer::LoadReport;
use ternstack_gateway::upstream::parse_load_report;

#[tokio::test]
async fn load_reports_in_responses_change_the_weights_of_endpoints() {
    // Guards against field names that are not parsed: the balancer would then pick endpoints without load
    // reports, which no other test would detect.
    let reporting_server = |text: &'static str| StubServer::start(ServerBehavior::Respond(text));
    let mut busy_server = reporting_server(
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Backend-Load: utilization=0.9,throughput=5\r\n\r\n",
    )
    .await;
    let mut idle_server = reporting_server(
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Backend-Load: utilization=0.2,throughput=50\r\n\r\n",
    )
    .await;
    let discovery = StubDiscovery::start().await;
    let entries = vec![
        endpoint_entry(1, busy_server.address, "SERVING"),
        endpoint_entry(2, idle_server.address, "SERVING"),
    ];
    let gateway = Gateway::start(&gateway_config(entries, discovery.address)).await;
    let mut client = gateway.client().await;
    for n in 0..60 {
        assert_eq!(client.request(&look_request(&format!("id-{n}"))).await.start_line.code, 200);
    }
    let (busy_requests, idle_requests) =
        (busy_server.take_events().0.len(), idle_server.take_events().0.len());
    assert!(
        busy_requests > 0 && idle_requests > 3 * busy_requests,
        "{busy_requests} requests to the busy server, {idle_requests} requests to the idle server"
    );
}

#[tokio::test]
async fn health_checks_weight_endpoints_and_are_sent_only_if_the_settings_allow_them() {
    const SMALL_REPORT: ServerBehavior =
        ServerBehavior::Respond("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nutil=0.9,qps=10,queue=0");
    const LARGE_REPORT: ServerBehavior =
        ServerBehavior::Respond("HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\nutil=0.9,qps=900,queue=0");
    let (mut small_server, mut large_server) =
        (StubServer::start(SMALL_REPORT).await, StubServer::start(LARGE_REPORT).await);
    let discovery = StubDiscovery::start().await;
    let entries = vec![
        endpoint_entry(1, small_server.address, "SERVING"),
        endpoint_entry(2, large_server.address, "SERVING"),
    ];
    for may_probe in [false, true] {
        let mut config = gateway_config(entries.clone(), discovery.address);
        config["settings"]["report"]["how"] = "on_probe".into();
        config["settings"]["limits"]["may_probe"] = may_probe.into();
        let gateway = Gateway::start(&config).await;
        let mut client = gateway.client().await;
        if may_probe {
            // Both endpoints are checked before the first request.
            for server in [&mut small_server, &mut large_server] {
                let health_check = loop {
                    if let ServerEvent::Request(request) = server.next_event().await {
                        break request;
                    }
                };
                assert_eq!(
                    (health_check.method(), health_check.target()),
                    (&b"GET"[..], &b"/status/load"[..])
                );
                assert_eq!(
                    header_value(&health_check, "x-correlation-id"),
                    "",
                    "a health check has no correlation id"
                );
            }
        }
        for n in 0..60 {
            client.request(&look_request(&format!("{may_probe}-{n}"))).await;
        }
        let count_health_checks_and_requests = |server: &mut StubServer| {
            let (ids, _) = server.take_events();
            (ids.iter().filter(|id| id.is_empty()).count(), ids.iter().filter(|id| !id.is_empty()).count())
        };
        let ((small_health_checks, small_requests), (_, large_requests)) = (
            count_health_checks_and_requests(&mut small_server),
            count_health_checks_and_requests(&mut large_server),
        );
        assert_eq!(small_requests + large_requests, 60);
        if may_probe {
            // The weight of an endpoint is at least a quarter of the mean weight.
            assert!(small_requests < 20, "{small_requests} of 60 requests to the small server");
        } else {
            assert_eq!(small_health_checks, 0, "without `may_probe`, no health check is sent");
            assert!(
                small_requests > 15,
                "{small_requests} of 60 requests to the small server, without load reports"
            );
        }
    }
}

#[test]
fn a_load_report_is_parsed_as_pairs_or_json_and_invalid_values_are_ignored() {
    let complete_report =
        LoadReport { utilization: Some(0.61), throughput_per_s: Some(12.0), queue_length: Some(2.0) };
    for text in [
        "util=0.61,qps=12,queue=2",
        " utilization = 0.61 , throughput=12.0, backlog=2,inflight=7",
        r#"{"util":0.61,"qps":12,"queue":2,"novel":{"a":[]}}"#,
    ] {
        assert_eq!(parse_load_report(text), complete_report, "{text}");
    }
    for value in ["", "-1", "NaN", "inf", "-inf", "1e999", "0x3", "many", "null", "\u{0}"] {
        let pairs = format!("util={value},qps={value},queue={value}");
        let json = format!(r#"{{"util":{value:?},"qps":{value:?},"queue":{value:?}}}"#);
        for text in [pairs, json, value.to_string()] {
            assert_eq!(parse_load_report(&text), LoadReport::default(), "{text}");
        }
    }
}
