//! Graceful shutdown: every request that reaches the gateway is answered.

mod common;
use common::*;
use serde_json::json;
use std::time::Duration;
use ternstack_gateway::http1::{Reader, StatusLine, MAX_BODY_BYTES};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

#[tokio::test]
async fn a_graceful_shutdown_serves_open_requests_and_ends() {
    let (mut server, discovery) = (Server::start(ServerBehavior::Hang).await, Discovery::start().await);
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

#[tokio::test(start_paused = true)]
async fn a_graceful_shutdown_answers_every_request_however_late() {
    let _clock = hold_clock(true);
    for deadline_ms in [400.0_f64, 1000.0, 5000.0] {
        let (server, discovery) = (ScriptedServer::start().await, Discovery::start().await);
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

#[tokio::test]
async fn pipelined_requests_are_answered_during_a_graceful_shutdown() {
    let (mut gateway, _server, mut client, mut wire) = request_in_flight().await;
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
