//! Connections that carry something else, or are not read: they end, or wait, and nobody else is touched.
mod common;
use common::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use ternstack_control_plane::admin_client;
use ternstack_control_plane::frames::{write_message, FrameReader, ReceivedMessage};
use ternstack_replication::scope::{Change, Entry, Key, Scope};
use ternstack_replication::storage::Storage;
use ternstack_replication::wire::{
    encode, Cursor, Member, Message, PollRequest, Subscription, HEADER_BYTES, MAX_FRAME_BYTES,
};
use tokio::io::{copy_bidirectional, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// What is logged on this thread.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no panic").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Log {
    fn start() -> (Self, tracing::subscriber::DefaultGuard) {
        let log = Log::default();
        let writer = log.clone();
        let subscriber =
            tracing_subscriber::fmt().with_ansi(false).with_writer(move || writer.clone()).finish();
        (log, tracing::subscriber::set_default(subscriber))
    }

    fn lines(&self, with: &str) -> usize {
        let log = self.0.lock().expect("no panic");
        String::from_utf8_lossy(&log).lines().filter(|line| line.contains(with)).count()
    }
}

fn frame(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("it fits");
    bytes
}

fn ask(number: u64, fetch: Vec<(Scope, Cursor)>) -> Message {
    Message::PollRequest(PollRequest {
        member: Member { name: "foreign".into(), incarnation: 1 },
        sequence: number,
        acknowledged: 0,
        known: 0,
        in_force: 0,
        subscription: Subscription::Complete { generation: 1, scopes: vec![] },
        fetch,
    })
}

/// What is no message, and what its log line says.
fn malformed() -> Vec<(Vec<u8>, &'static str)> {
    let sound = frame(&ask(1, vec![]));
    let mut swapped = sound.clone();
    swapped[HEADER_BYTES + 3] ^= 4;
    let mut format = sound.clone();
    format[4] = 9;
    let mut content = Vec::from(((HEADER_BYTES + 20 - 4) as u32).to_be_bytes());
    content.push(1);
    content.extend(crc32fast::hash(&[0xff; 20]).to_be_bytes());
    content.extend([0xff; 20]);
    let mut oversized = Vec::from(((MAX_FRAME_BYTES - 3) as u32).to_be_bytes());
    oversized.push(1);
    let answer = Message::Proposed { proposal_id: 1, revision: Ok(1) };
    vec![
        (sound[..sound.len() - 2].to_vec(), "expected all of it"),
        (swapped, "checksum that does not match its bytes"),
        (format, "format 9, expected 1"),
        (content, "does not contain a valid message"),
        (oversized, "1048577 bytes, expected 9 to 1048576"),
        (b"GET /ready HTTP/1.1\r\n\r\n".to_vec(), "expected 9 to 1048576"),
        (frame(&answer), "expected an ask, a proposal or a look"),
    ]
}

#[tokio::test]
async fn what_is_malformed_ends_its_connection_with_a_line_in_the_log_and_changes_nothing() {
    let (log, _guard) = Log::start();
    let origin = origin(20).await;
    let distributor = distributor("d1", origin.at).await;
    let mut gateway = Gateway::start(client_config("g0", 1, vec![endpoint("d1", distributor.at, "a")]));
    gateway.whole().await;
    let (was, moves) = (origin.server.status(), gateway.client.connection_count());
    for at in [origin.at, distributor.at] {
        for (bytes, line) in malformed() {
            let before = log.lines(line);
            let mut stream = TcpStream::connect(at).await.expect("it listens");
            stream.write_all(&bytes).await.expect("it reads");
            if line == "expected all of it" {
                stream.shutdown().await.expect("it is up");
            }
            let mut rest = Vec::new();
            let ended = timeout(LONG, stream.read_to_end(&mut rest)).await.expect("it is closed");
            assert!(ended.is_err() || rest.is_empty(), "{line}");
            assert_eq!(log.lines(line), before + 1, "{line}");
        }
    }
    let is = origin.server.status();
    assert_eq!((is.in_force, is.through, is.digest), (was.in_force, was.through, was.digest));
    assert_eq!(is.followers, 1);
    // Whoever was connected still is, and hears of what comes.
    let number = admin_client::propose(origin.at, vec![host(3, true)], LONG).await.expect("it is taken");
    gateway.acts_on(number).await;
    assert!(drains(&gateway.client, 3));
    assert_eq!(gateway.client.connection_count(), moves);
}

#[tokio::test]
async fn a_machine_that_answers_something_else_is_left_and_changes_nothing() {
    let (log, _guard) = Log::start();
    let origin = origin(20).await;
    let (between, at) = listener().await;
    let (tell, told) = oneshot::channel();
    let mut gateway = Gateway::start(client_config("g0", 1, vec![endpoint("d1", at, "a")]));
    // It answers the first ask of each connection with another piece of rubbish; from then on it is a link to the origin.
    let (to, all) = (origin.at, gateway.all.clone());
    let playing = tokio::spawn(async move {
        for (bytes, _) in malformed() {
            let (mut stream, _) = between.accept().await.expect("one comes");
            let (reader, mut writer) = stream.split();
            assert!(matches!(
                FrameReader::new(reader).next().await,
                Ok(Some(ReceivedMessage { message: Message::PollRequest(_), .. }))
            ));
            let _ = writer.write_all(&bytes).await;
        }
        let (mut stream, _) = between.accept().await.expect("one comes");
        // It calls anew once it has done with the last of them.
        let heard = all.lock().expect("no panic").clone();
        let mut link = TcpStream::connect(to).await.expect("it listens");
        let _ = tell.send(heard);
        let _ = copy_bidirectional(&mut stream, &mut link).await;
    });
    gateway.whole().await;
    assert_eq!(gateway.client.connection_count(), 1 + malformed().len() as u64);
    for (_, line) in malformed().iter().filter(|(_, line)| !line.contains("a proposal or a look")) {
        assert!(log.lines(line) >= 1, "{line}");
    }
    assert_eq!(log.lines("the server sent a message that is not a poll response"), 1);
    assert_eq!(told.await.expect("it was told"), [], "not one of them told it anything");
    assert_eq!(gateway.client.in_force(), 1);
    let sum = gateway.client.with_core(|core, _| core.storage().digest(SERVICE));
    assert_eq!(sum, origin.server.with_core(|core, _| core.store().digest(SERVICE)));
    playing.abort();
}

#[tokio::test]
async fn whoever_asks_and_does_not_read_holds_nobody_up() {
    let origin = origin(2000).await;
    let mut gateway = Gateway::start(client_config("g0", 1, vec![endpoint("o", origin.at, "a")]));
    gateway.whole().await;
    // Asks without end, of which it reads no answer: what it is owed fills its connection, and its asks wait there.
    let mut stream = TcpStream::connect(origin.at).await.expect("it listens");
    let flooding = tokio::spawn(async move {
        for number in 1.. {
            let message = ask(number, vec![(SERVICE, Cursor::default())]);
            if write_message(&mut stream, &message, &mut Vec::new()).await.is_err() {
                return;
            }
        }
    });
    for n in 0..3 {
        let number = admin_client::propose(origin.at, vec![host(n, true)], LONG).await.expect("it is taken");
        gateway.acts_on(number).await;
        assert!(drains(&gateway.client, n));
    }
    assert_eq!(gateway.client.connection_count(), 1);
    flooding.abort();
}

#[tokio::test]
async fn a_proposal_that_does_not_fit_is_refused_with_the_reason_and_others_go_on() {
    let origin = origin(1).await;
    let distributor = distributor("d1", origin.at).await;
    let wrong = Change { scope: Scope::Zones, key: Key(1), entry: Some(Entry::Quota(1)) };
    let refused =
        admin_client::propose(origin.at, vec![wrong], LONG).await.expect_err("it does not fit").to_string();
    assert!(refused.contains("may not stand in Zones"), "{refused}");
    let refused = admin_client::propose(origin.at, vec![], LONG).await.expect_err("it is empty").to_string();
    assert!(refused.contains("changes nothing"), "{refused}");
    let refused = admin_client::propose(distributor.at, vec![host(0, true)], LONG)
        .await
        .expect_err("no origin")
        .to_string();
    assert!(refused.contains("expected an origin"), "{refused}");
    // Several on one connection, before any answer is read: each gets its own.
    let mut stream = TcpStream::connect(origin.at).await.expect("it listens");
    for number in 10..15 {
        let message = Message::Propose { proposal_id: number, changes: vec![host(0, true)] };
        write_message(&mut stream, &message, &mut Vec::new()).await.expect("it reads");
    }
    let mut frames = FrameReader::new(&mut stream);
    let mut answered = Vec::new();
    for _ in 0..5 {
        match timeout(LONG, frames.next()).await.expect("an answer") {
            Ok(Some(ReceivedMessage {
                message: Message::Proposed { proposal_id: number, revision: Ok(_) },
                ..
            })) => answered.push(number),
            other => panic!("{other:?}"),
        }
    }
    answered.sort_unstable();
    assert_eq!(answered, [10, 11, 12, 13, 14]);
    let status = admin_client::status(distributor.at, LONG).await.expect("it answers");
    assert_eq!(status.name, "d1");
}
