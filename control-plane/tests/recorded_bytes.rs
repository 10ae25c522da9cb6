//! Recorded bytes on the wire and on disk. Later versions have to write the same bytes, and to read what
//! earlier versions have written.
mod common;
use common::*;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use ternstack_control_plane::admin_client;
use ternstack_control_plane::frames::{write_message, FrameReader};
use ternstack_control_plane::gateway_client::GatewayClient;
use ternstack_control_plane::server::ControlServer;
use ternstack_control_plane::snapshot_file::{read, write};
use ternstack_replication::follower::Follower;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Change, ChangeSet, Digest, Entry, Host, Key, Route, Scope};
use ternstack_replication::snapshot::Snapshot;
use ternstack_replication::storage::Storage;
use ternstack_replication::tables::Tables;
use ternstack_replication::wire::{
    ChunkEntry, Cursor, Member, Message, PollRequest, PollResponse, ScopeChunk, Status, Subscription,
    Traffic, TrafficByCause, TrafficCount,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

fn entries() -> Vec<(Scope, Key, Entry)> {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 2, 0, 4), 8080);
    let host = Host { address, zone: 2, draining: true, weight_milli: 2500, started_s: 1_700_000_001 };
    let acme = Key::of("acme");
    vec![
        (Scope::Zones, Key::from_number(2), Entry::Zone(false)),
        (Scope::Fleet, Key::from_number(1), Entry::RetryPolicy(RetryPolicy::Never)),
        (Scope::Fleet, Key::from_number(3), Entry::RetryPolicy(RetryPolicy::Always)),
        (Scope::Hosts(7), Key::of("s-17"), Entry::Host(host)),
        (Scope::Hosts(300), Key::of("s-18"), Entry::Host(Host { draining: false, ..host })),
        (
            Scope::Routes(7),
            Key::of("/"),
            Entry::Route(Route { class: 400, retry_policy: RetryPolicy::Within(800) }),
        ),
        (Scope::of_tenant(acme), acme, Entry::Quota(70_000)),
    ]
}

fn changes() -> Vec<Change> {
    let additions =
        entries().into_iter().map(|(scope, key, entry)| Change { scope, key, entry: Some(entry) });
    additions.chain([Change { scope: Scope::Hosts(7), key: Key(9), entry: None }]).collect()
}

fn polls() -> Vec<Message> {
    let subscriptions = [
        Subscription::Unchanged { generation: 5 },
        Subscription::Delta {
            from: 5,
            generation: 300,
            added: vec![Scope::Hosts(7), Scope::Zones],
            removed: vec![Scope::Routes(7)],
        },
        Subscription::Complete { generation: 6, scopes: vec![Scope::Fleet, Scope::Tenants(4095)] },
        Subscription::AllScopes { generation: 7 },
    ];
    let poll = |subscription| {
        Message::PollRequest(PollRequest {
            member: Member { name: "gateway-1".into(), incarnation: 1_700_000_000_000_001 },
            sequence: 77,
            acknowledged: 76,
            known: 12,
            in_force: 11,
            subscription,
            fetch: vec![
                (Scope::Hosts(7), Cursor { revision: 4, key: u64::MAX }),
                (Scope::Tenants(1), Cursor::default()),
            ],
        })
    };
    subscriptions.into_iter().map(poll).collect()
}

fn poll_response() -> PollResponse {
    let chunk = |(scope, key, entry): (Scope, Key, Entry)| ScopeChunk {
        scope,
        restart: scope == Scope::Zones,
        entries: vec![
            ChunkEntry { revision: 3, key, entry: Some(entry) },
            ChunkEntry { revision: 4, key: Key(8), entry: None },
        ],
        final_digest: (scope != Scope::Fleet).then_some(Digest(u128::MAX - 5)),
    };
    PollResponse {
        sequence: 77,
        generation: 300,
        lease_us: 1_900_000,
        in_force: 12,
        through: 14,
        chunks: entries().into_iter().map(chunk).collect(),
        stale: vec![Scope::Hosts(300)],
        pending: vec![
            ChangeSet { revision: 13, changes: changes() },
            ChangeSet { revision: 14, changes: Vec::new() },
        ],
    }
}

fn status() -> Status {
    let count = |messages: u64| TrafficCount { messages, bytes: messages * 1000 };
    let by_cause = |messages: u64| TrafficByCause {
        polls: count(messages),
        leases: count(messages + 1),
        changes: count(messages + 2),
        fetches: count(messages + 3),
        admin: count(messages + 4),
    };
    Status {
        name: "origin-1".into(),
        in_force: 12,
        through: 14,
        digest: Digest(0x0123_4567_89ab_cdef_0011_2233_4455_6677),
        followers: 70_000,
        lease_ms: Some(1234),
        traffic: Traffic { read: by_cause(1), written: by_cause(100) },
    }
}

/// Returns messages of every kind, with every variant of their contents.
fn messages() -> Vec<Message> {
    let mut messages = polls();
    messages.extend([
        Message::PollResponse(poll_response()),
        Message::Propose { proposal_id: 9, changes: changes() },
        Message::Proposed { proposal_id: 9, revision: Ok(15) },
        Message::Proposed { proposal_id: 9, revision: Err("it changes nothing".into()) },
        Message::GetStatus,
        Message::Status(status()),
        Message::Status(Status { lease_ms: None, ..status() }),
    ]);
    messages
}

#[tokio::test]
async fn frames_of_every_message_kind_have_the_recorded_bytes() {
    let mut bytes = Vec::new();
    for message in messages() {
        write_message(&mut bytes, &message, &mut Vec::new()).await.expect("the message fits into a frame");
    }
    fixtures::assert_same_bytes("control_frames.bin", &bytes);
    let recorded = fixtures::bytes("control_frames.bin");
    let mut frames = FrameReader::new(&recorded[..]);
    for message in messages() {
        assert_eq!(
            frames.next().await.expect("the frame is valid").expect("a message follows").message,
            message
        );
    }
    assert!(frames.next().await.expect("the bytes end between frames").is_none());
}

/// Reads the next frame and returns its bytes on the wire, header included.
async fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let reading = async {
        let mut bytes = vec![0; 4];
        stream.read_exact(&mut bytes).await.expect("the length field is received");
        let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        bytes.resize(4 + length as usize, 0);
        stream.read_exact(&mut bytes[4..]).await.expect("the whole frame is received");
        bytes
    };
    timeout(TEST_TIMEOUT, reading).await.expect("a frame is received in time")
}

async fn encoded(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_message(&mut bytes, message, &mut Vec::new()).await.expect("the message fits into a frame");
    bytes
}

#[tokio::test]
async fn polls_of_a_gateway_have_the_recorded_bytes() {
    let (listener, address) = bind_listener().await;
    let mut config = client_config("gateway-1", 12345, vec![server_endpoint("d1", address, "a")]);
    // With a long lease the response timeout is so long that the gateway repeats no poll.
    config.lease = LeaseConfig { lease_ms: 8000.0, ..lease_config() };
    let gateway = TestGateway::start(config);
    let (mut stream, _) = listener.accept().await.expect("the gateway connects");
    let mut received = read_frame(&mut stream).await;
    let response = Message::PollResponse(PollResponse {
        sequence: 1,
        generation: 1,
        lease_us: 8_000_000,
        in_force: 3,
        through: 3,
        chunks: Vec::new(),
        stale: Vec::new(),
        pending: Vec::new(),
    });
    stream.write_all(&encoded(&response).await).await.expect("the gateway reads");
    received.extend(read_frame(&mut stream).await);
    drop(stream);
    // After the disconnect the gateway connects again and continues with its next poll.
    let (mut stream, _) = listener.accept().await.expect("the gateway connects again");
    received.extend(read_frame(&mut stream).await);
    fixtures::assert_same_bytes("gateway_polls.bin", &received);
    drop(gateway);
}

#[tokio::test]
async fn responses_of_a_server_have_the_recorded_bytes() {
    let (listener, address) = bind_listener().await;
    // The lease is so long that no lease expires during the test.
    let lease = LeaseConfig { lease_ms: 600_000.0, ..lease_config() };
    let run = ControlServer::primary("o", lease, store_with_hosts(5)).run(listener);
    let serving = tokio::spawn(async move { match run.await {} });
    let mut stream = TcpStream::connect(address).await.expect("the server listens");
    let member = Member { name: "gateway-1".into(), incarnation: 12345 };
    let poll = |sequence, known, fetch| {
        Message::PollRequest(PollRequest {
            member: member.clone(),
            sequence,
            acknowledged: sequence - 1,
            known,
            in_force: known,
            subscription: Subscription::Complete { generation: 1, scopes: vec![] },
            fetch,
        })
    };
    let misplaced = Change { scope: Scope::Zones, key: Key(1), entry: Some(Entry::Quota(1)) };
    let mut received = Vec::new();
    for message in [
        Message::GetStatus,
        poll(1, 0, vec![(SERVICE_SCOPE, Cursor::default()), (Scope::Zones, Cursor::default())]),
        poll(2, 1, vec![]),
        Message::Propose { proposal_id: 3, changes: vec![misplaced] },
        Message::Propose { proposal_id: 4, changes: vec![] },
        Message::Propose { proposal_id: 5, changes: vec![host_change(9, true)] },
        Message::GetStatus,
    ] {
        stream.write_all(&encoded(&message).await).await.expect("the server reads");
        received.extend(read_frame(&mut stream).await);
    }
    fixtures::assert_same_bytes("server_answers.bin", &received);
    serving.abort();
}

#[tokio::test]
async fn admin_requests_have_the_recorded_bytes_and_report_each_response() {
    let (listener, address) = bind_listener().await;
    let responses = [
        Message::Status(status()),
        Message::Proposed { proposal_id: 1, revision: Ok(15) },
        Message::Proposed { proposal_id: 1, revision: Err("it changes nothing".into()) },
        Message::GetStatus,
        Message::GetStatus,
    ];
    let serving = tokio::spawn(async move {
        let mut received = Vec::new();
        for response in responses {
            let (mut stream, _) = listener.accept().await.expect("the admin client connects");
            received.extend(read_frame(&mut stream).await);
            stream.write_all(&encoded(&response).await).await.expect("the admin client reads");
        }
        received
    });
    assert_eq!(
        admin_client::status(address, TEST_TIMEOUT).await.expect("the response is a status"),
        status()
    );
    assert_eq!(
        admin_client::propose(address, changes(), TEST_TIMEOUT).await.expect("the response is a revision"),
        15
    );
    let rejected =
        admin_client::propose(address, vec![], TEST_TIMEOUT).await.expect_err("the response is a rejection");
    assert_eq!(rejected.to_string(), format!("{address}: proposal rejected: it changes nothing"));
    let unexpected =
        admin_client::status(address, TEST_TIMEOUT).await.expect_err("the response is not a status");
    assert_eq!(unexpected.to_string(), format!("{address}: unexpected response, expected a status"));
    let unexpected = admin_client::propose(address, changes(), TEST_TIMEOUT)
        .await
        .expect_err("the response is not the result of a proposal");
    assert_eq!(
        unexpected.to_string(),
        format!("{address}: unexpected response, expected a revision or a rejection")
    );
    fixtures::assert_same_bytes("admin_calls.bin", &serving.await.expect("the server does not panic"));
    let disconnected =
        admin_client::status(address, TEST_TIMEOUT).await.expect_err("no server listens at the address");
    assert!(
        disconnected.to_string().starts_with(&format!("{address}: could not connect: Connection refused")),
        "the error names the address and the cause: {disconnected}"
    );
    let (_silent_listener, address) = bind_listener().await;
    let timed_out = admin_client::status(address, Duration::from_millis(50))
        .await
        .expect_err("no response is sent at the address");
    assert_eq!(timed_out.to_string(), format!("{address}: no response within 0.05 s"));
}

fn snapshot() -> Snapshot {
    let mut tables = Tables::new();
    for (scope, key, entry) in entries() {
        tables.set(scope, key, 12, Some(entry));
    }
    Snapshot { known: 14, in_force: 12, tables }
}

#[test]
fn snapshot_file_has_the_recorded_bytes_and_can_be_restored() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let file = folder.path().join("gateway.snapshot");
    write(&file, &snapshot()).expect("the snapshot can be written");
    fixtures::assert_same_bytes(
        "gateway.snapshot",
        &std::fs::read(&file).expect("the snapshot file can be read"),
    );
    let files: Vec<_> = std::fs::read_dir(folder.path()).expect("the folder can be listed").collect();
    assert_eq!(files.len(), 1, "the temporary file has been renamed");

    let recorded = fixtures::path("gateway.snapshot");
    assert_eq!(
        read(&recorded).expect("the fixture is a valid snapshot").expect("the fixture exists"),
        snapshot()
    );
    let mut config =
        client_config("gateway-1", 2, vec![server_endpoint("d1", ([127, 0, 0, 1], 1).into(), "a")]);
    config.snapshot = snapshot_config(&recorded);
    let client = GatewayClient::new(config);
    assert_eq!(client.in_force(), 12);
    let (known, restored) = client.with_core(|core, _| (core.known(), core.snapshot()));
    // The snapshot has only the tables of revision 12, so that the pending revisions 13 and 14 are fetched
    // again.
    let expected = Snapshot { known: 12, ..snapshot() };
    assert_eq!((known, restored), (12, expected.clone()));
    let follower = Follower::restore(lease_config(), Member { name: "g".into(), incarnation: 1 }, snapshot());
    assert_eq!(follower.snapshot(), expected);
}

#[test]
fn invalid_snapshot_file_gives_the_recorded_errors() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let file = folder.path().join("gateway.snapshot");
    let valid = snapshot().encode().expect("the snapshot can be encoded");
    let with_byte = |position: usize, byte: u8| {
        let mut bytes = valid.clone();
        bytes[position] = byte;
        bytes
    };
    // Too many bytes for an empty snapshot, with a valid checksum.
    let mut too_long = valid[..9].to_vec();
    too_long.extend([0; 6]);
    let checksum = crc32fast::hash(&too_long[9..]).to_be_bytes();
    too_long[5..9].copy_from_slice(&checksum);
    let mut errors = Vec::new();
    for bytes in [
        valid[..3].to_vec(),
        valid[..7].to_vec(),
        with_byte(0, b'x'),
        with_byte(4, 2),
        with_byte(20, !valid[20]),
        too_long,
    ] {
        std::fs::write(&file, bytes).expect("the file can be written");
        errors.push(read(&file).expect_err("the file is not a valid snapshot").to_string());
    }
    std::fs::remove_file(&file).expect("the file can be removed");
    assert!(read(&file).expect("a missing file is not an error").is_none());
    errors.push(read(folder.path()).expect_err("a folder is not a file").to_string());
    let path_without_folder = folder.path().join("none/gateway.snapshot");
    let error = write(&path_without_folder, &snapshot()).expect_err("the folder does not exist").to_string();
    errors.push(error.replace(&folder.path().display().to_string(), "FOLDER"));
    fixtures::assert_same_lines("snapshot_errors.txt", &errors);
}
