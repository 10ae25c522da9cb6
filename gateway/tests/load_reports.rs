//! Load reports and health checks: their format, and their effect on the balancer.

mod common;
use common::*;
use ternstack_balancer::LoadReport;
use ternstack_gateway::upstream::parse_load_report;

#[tokio::test]
async fn load_reports_reach_the_balancer_and_change_its_weights() {
    // Guards against names that are not read: the module then draws blindly, and nothing else shows it.
    let report = |text: &'static str| Server::start(ServerBehavior::Respond(text));
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
async fn servers_that_report_only_on_health_checks_are_checked_and_weighted() {
    const BUSY: ServerBehavior =
        ServerBehavior::Respond("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nutil=0.9,qps=10,queue=0");
    const IDLE: ServerBehavior =
        ServerBehavior::Respond("HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\nutil=0.9,qps=900,queue=0");
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

#[test]
fn a_load_report_is_parsed_in_either_form_without_absurd_values() {
    let whole = LoadReport { utilization: Some(0.61), throughput_per_s: Some(12.0), queue_length: Some(2.0) };
    for text in [
        "util=0.61,qps=12,queue=2",
        " utilization = 0.61 , throughput=12.0, backlog=2,inflight=7",
        r#"{"util":0.61,"qps":12,"queue":2,"novel":{"a":[]}}"#,
    ] {
        assert_eq!(parse_load_report(text), whole, "{text}");
    }
    for value in ["", "-1", "NaN", "inf", "-inf", "1e999", "0x3", "many", "null", "\u{0}"] {
        let pairs = format!("util={value},qps={value},queue={value}");
        let json = format!(r#"{{"util":{value:?},"qps":{value:?},"queue":{value:?}}}"#);
        for text in [pairs, json, value.to_string()] {
            assert_eq!(parse_load_report(&text), LoadReport::default(), "{text}");
        }
    }
}
