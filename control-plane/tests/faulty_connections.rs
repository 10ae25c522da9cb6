//! Connections on which malformed or unexpected data arrives, and connections whose responses are not read. A
//! server closes the former and stops reading from the latter, and its other connections keep working.
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

/// The log output of this thread.
#[derive(Clone, Default)]
struct CapturedLog(Arc<Mutex<Vec<u8>>>);

impl Write for CapturedLog {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no holder of the lock has panicked").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl CapturedLog {
    fn start() -> (Self, tracing::subscriber::DefaultGuard) {
        let log = CapturedLog::default();
        let writer = log.clone();
        let subscriber =
            tracing_subscriber::fmt().with_ansi(false).with_writer(move || writer.clone()).finish();
        (log, tracing::subscriber::set_default(subscriber))
    }

    fn count_lines_with(&self, text: &str) -> usize {
        let log = self.0.lock().expect("no holder of the lock has panicked");
        String::from_utf8_lossy(&log).lines().filter(|line| line.contains(text)).count()
    }
}

fn frame(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("the message fits into a frame");
    bytes
}

fn poll(sequence: u64, fetch: Vec<(Scope, Cursor)>) -> Message {
    Message::PollRequest(PollRequest {
        member: Member { name: "foreign".into(), incarnation: 1 },
        sequence,
        acknowledged: 0,
        known: 0,
        in_force: 0,
        subscription: Subscription::Complete { generation: 1, scopes: vec![] },
        fetch,
    })
}

/// Returns data that a server must reject, each with a part of the log line that reports the data.
fn rejected_data() -> Vec<(Vec<u8>, &'static str)> {
    let valid = frame(&poll(1, vec![]));
    let mut corrupted = valid.clone();
    corrupted[HEADER_BYTES + 3] ^= 4;
    let mut unknown_format = valid.clone();
    unknown_format[4] = 9;
    let mut invalid_content = Vec::from(((HEADER_BYTES + 20 - 4) as u32).to_be_bytes());
    invalid_content.push(1);
    invalid_content.extend(crc32fast::hash(&[0xff; 20]).to_be_bytes());
    invalid_content.extend([0xff; 20]);
    let mut oversized = Vec::from(((MAX_FRAME_BYTES - 3) as u32).to_be_bytes());
    oversized.push(1);
    let response = Message::Proposed { proposal_id: 1, revision: Ok(1) };
    vec![
        (valid[..valid.len() - 2].to_vec(), "expected the whole frame"),
        (corrupted, "checksum that does not match its bytes"),
        (unknown_format, "format 9, expected 1"),
        (invalid_content, "does not contain a valid message"),
        (oversized, "1048577 bytes, expected 9 to 1048576"),
        (b"GET /ready HTTP/1.1\r\n\r\n".to_vec(), "expected 9 to 1048576"),
        (frame(&response), "expected a poll, a proposal or a status request"),
    ]
}

#[tokio::test]
async fn server_closes_and_logs_a_connection_with_invalid_data_and_keeps_its_state() {
    let (log, _guard) = CapturedLog::start();
    let primary = start_primary(20).await;
    let replica = start_replica("d1", primary.address).await;
    let mut gateway =
        TestGateway::start(client_config("g0", 1, vec![server_endpoint("d1", replica.address, "a")]));
    gateway.wait_until_complete().await;
    let (status_before, connections_before) =
        (primary.server.status(), gateway.client.connections_established());
    for address in [primary.address, replica.address] {
        for (bytes, log_text) in rejected_data() {
            let lines_before = log.count_lines_with(log_text);
            let mut stream = TcpStream::connect(address).await.expect("the server listens");
            stream.write_all(&bytes).await.expect("the server reads");
            if log_text == "expected the whole frame" {
                stream.shutdown().await.expect("the connection is still open");
            }
            let mut received = Vec::new();
            let closed = timeout(TEST_TIMEOUT, stream.read_to_end(&mut received))
                .await
                .expect("the server closes the connection");
            assert!(closed.is_err() || received.is_empty(), "no response is sent: {log_text}");
            assert_eq!(log.count_lines_with(log_text), lines_before + 1, "one line is logged: {log_text}");
        }
    }
    let status = primary.server.status();
    assert_eq!(
        (status.in_force, status.through, status.digest),
        (status_before.in_force, status_before.through, status_before.digest)
    );
    assert_eq!(status.followers, 1);
    // The gateway is still connected and receives further revisions.
    let revision = admin_client::propose(primary.address, vec![host_change(3, true)], TEST_TIMEOUT)
        .await
        .expect("the proposal is accepted");
    gateway.wait_for_revision(revision).await;
    assert!(is_draining(&gateway.client, 3));
    assert_eq!(gateway.client.connections_established(), connections_before);
}

#[tokio::test]
async fn gateway_leaves_a_server_that_sends_invalid_data_and_keeps_its_state() {
    let (log, _guard) = CapturedLog::start();
    let primary = start_primary(20).await;
    let (faulty_listener, faulty_address) = bind_listener().await;
    let (events_sender, events_receiver) = oneshot::channel();
    let mut gateway =
        TestGateway::start(client_config("g0", 1, vec![server_endpoint("d1", faulty_address, "a")]));
    // The faulty server responds to the first poll of each connection with other invalid data, and forwards
    // the last connection to the primary.
    let (primary_address, event_log) = (primary.address, gateway.event_log.clone());
    let faulty_server = tokio::spawn(async move {
        for (bytes, _) in rejected_data() {
            let (mut stream, _) = faulty_listener.accept().await.expect("the gateway connects again");
            let (reader, mut writer) = stream.split();
            assert!(matches!(
                FrameReader::new(reader).next().await,
                Ok(Some(ReceivedMessage { message: Message::PollRequest(_), .. }))
            ));
            let _ = writer.write_all(&bytes).await;
        }
        let (mut gateway_side, _) = faulty_listener.accept().await.expect("the gateway connects again");
        // The gateway has handled the last invalid data before it connects again.
        let events = event_log.lock().expect("no holder of the lock has panicked").clone();
        let mut primary_side = TcpStream::connect(primary_address).await.expect("the primary listens");
        let _ = events_sender.send(events);
        let _ = copy_bidirectional(&mut gateway_side, &mut primary_side).await;
    });
    gateway.wait_until_complete().await;
    assert_eq!(gateway.client.connections_established(), 1 + rejected_data().len() as u64);
    for (_, log_text) in
        rejected_data().iter().filter(|(_, log_text)| !log_text.contains("a proposal or a status request"))
    {
        assert!(log.count_lines_with(log_text) >= 1, "a line is logged: {log_text}");
    }
    assert_eq!(log.count_lines_with("the server sent a message that is not a poll response"), 1);
    assert_eq!(
        events_receiver.await.expect("the faulty server sends the events"),
        [],
        "invalid data causes no events"
    );
    assert_eq!(gateway.client.in_force(), 1);
    let digest = gateway.client.with_core(|core, _| core.storage().digest(SERVICE_SCOPE));
    assert_eq!(digest, primary.server.with_core(|core, _| core.store().digest(SERVICE_SCOPE)));
    faulty_server.abort();
}

#[tokio::test]
async fn client_that_does_not_read_responses_does_not_delay_other_clients() {
    let primary = start_primary(2000).await;
    let mut gateway =
        TestGateway::start(client_config("g0", 1, vec![server_endpoint("o", primary.address, "a")]));
    gateway.wait_until_complete().await;
    // The polls on this connection are endless and their responses are never read, so that the responses fill
    // the buffers of the connection and the server stops reading polls.
    let mut stream = TcpStream::connect(primary.address).await.expect("the primary listens");
    let flooding = tokio::spawn(async move {
        for sequence in 1.. {
            let message = poll(sequence, vec![(SERVICE_SCOPE, Cursor::default())]);
            if write_message(&mut stream, &message, &mut Vec::new()).await.is_err() {
                return;
            }
        }
    });
    for host_number in 0..3 {
        let revision =
            admin_client::propose(primary.address, vec![host_change(host_number, true)], TEST_TIMEOUT)
                .await
                .expect("the proposal is accepted");
        gateway.wait_for_revision(revision).await;
        assert!(is_draining(&gateway.client, host_number));
    }
    assert_eq!(gateway.client.connections_established(), 1);
    flooding.abort();
}

#[tokio::test]
async fn invalid_proposal_is_rejected_with_the_reason_and_valid_ones_are_accepted() {
    let primary = start_primary(1).await;
    let replica = start_replica("d1", primary.address).await;
    let misplaced = Change { scope: Scope::Zones, key: Key(1), entry: Some(Entry::Quota(1)) };
    let error = admin_client::propose(primary.address, vec![misplaced], TEST_TIMEOUT)
        .await
        .expect_err("a quota is not valid in the scope of zones")
        .to_string();
    assert!(error.contains("may not stand in Zones"), "the error names the scope: {error}");
    let error = admin_client::propose(primary.address, vec![], TEST_TIMEOUT)
        .await
        .expect_err("an empty proposal is not valid")
        .to_string();
    assert!(error.contains("changes nothing"), "the error names the problem: {error}");
    let error = admin_client::propose(replica.address, vec![host_change(0, true)], TEST_TIMEOUT)
        .await
        .expect_err("a replica does not accept proposals")
        .to_string();
    assert!(error.contains("expected an origin"), "the error names the expected role: {error}");
    // Several proposals are sent on one connection before a response is read. Each gets its own response.
    let mut stream = TcpStream::connect(primary.address).await.expect("the primary listens");
    for proposal_id in 10..15 {
        let message = Message::Propose { proposal_id, changes: vec![host_change(0, true)] };
        write_message(&mut stream, &message, &mut Vec::new()).await.expect("the primary reads");
    }
    let mut frames = FrameReader::new(&mut stream);
    let mut agreed_ids = Vec::new();
    for _ in 0..5 {
        match timeout(TEST_TIMEOUT, frames.next()).await.expect("the primary responds") {
            Ok(Some(ReceivedMessage {
                message: Message::Proposed { proposal_id, revision: Ok(_) }, ..
            })) => agreed_ids.push(proposal_id),
            other => panic!("the response is an agreed proposal, not {other:?}"),
        }
    }
    agreed_ids.sort_unstable();
    assert_eq!(agreed_ids, [10, 11, 12, 13, 14]);
    let status = admin_client::status(replica.address, TEST_TIMEOUT).await.expect("the replica responds");
    assert_eq!(status.name, "d1");
}
