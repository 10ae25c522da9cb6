//! Bytes on the wire and on disk, recorded: what an earlier version wrote is what this one writes, and reads.
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
    let set = entries().into_iter().map(|(scope, key, entry)| Change { scope, key, entry: Some(entry) });
    set.chain([Change { scope: Scope::Hosts(7), key: Key(9), entry: None }]).collect()
}

fn asks() -> Vec<Message> {
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
    let ask = |subscription| {
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
    subscriptions.into_iter().map(ask).collect()
}

fn grant() -> PollResponse {
    let part = |(scope, key, entry): (Scope, Key, Entry)| ScopeChunk {
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
        chunks: entries().into_iter().map(part).collect(),
        stale: vec![Scope::Hosts(300)],
        pending: vec![
            ChangeSet { revision: 13, changes: changes() },
            ChangeSet { revision: 14, changes: Vec::new() },
        ],
    }
}

fn status() -> Status {
    let tally = |n: u64| TrafficCount { messages: n, bytes: n * 1000 };
    let causes = |n: u64| TrafficByCause {
        polls: tally(n),
        leases: tally(n + 1),
        changes: tally(n + 2),
        fetches: tally(n + 3),
        admin: tally(n + 4),
    };
    Status {
        name: "origin-1".into(),
        in_force: 12,
        through: 14,
        digest: Digest(0x0123_4567_89ab_cdef_0011_2233_4455_6677),
        followers: 70_000,
        lease_ms: Some(1234),
        traffic: Traffic { read: causes(1), written: causes(100) },
    }
}

/// A message of every kind, with every variant of what it holds.
fn messages() -> Vec<Message> {
    let mut all = asks();
    all.extend([
        Message::PollResponse(grant()),
        Message::Propose { proposal_id: 9, changes: changes() },
        Message::Proposed { proposal_id: 9, revision: Ok(15) },
        Message::Proposed { proposal_id: 9, revision: Err("it changes nothing".into()) },
        Message::GetStatus,
        Message::Status(status()),
        Message::Status(Status { lease_ms: None, ..status() }),
    ]);
    all
}

#[tokio::test]
async fn frames_of_every_kind_have_the_recorded_bytes() {
    let mut all = Vec::new();
    for message in messages() {
        write_message(&mut all, &message, &mut Vec::new()).await.expect("it fits");
    }
    fixtures::assert_same_bytes("control_frames.bin", &all);
    let recorded = fixtures::bytes("control_frames.bin");
    let mut frames = FrameReader::new(&recorded[..]);
    for message in messages() {
        assert_eq!(frames.next().await.expect("sound").expect("one more").message, message);
    }
    assert!(frames.next().await.expect("a clean end").is_none());
}

/// The frame that comes next, as it is on the wire.
async fn frame(stream: &mut TcpStream) -> Vec<u8> {
    let read = async {
        let mut bytes = vec![0; 4];
        stream.read_exact(&mut bytes).await.expect("a length");
        let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        bytes.resize(4 + length as usize, 0);
        stream.read_exact(&mut bytes[4..]).await.expect("all of it");
        bytes
    };
    timeout(LONG, read).await.expect("a frame")
}

async fn encoded(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_message(&mut bytes, message, &mut Vec::new()).await.expect("it fits");
    bytes
}

#[tokio::test]
async fn a_gateways_polls_have_the_recorded_bytes() {
    let (server, at) = listener().await;
    let mut settings = client_config("gateway-1", 12345, vec![endpoint("d1", at, "a")]);
    // Long enough that no poll is repeated here for want of an answer.
    settings.lease = LeaseConfig { lease_ms: 8000.0, ..terms() };
    let gateway = Gateway::start(settings);
    let (mut stream, _) = server.accept().await.expect("it calls");
    let mut all = frame(&mut stream).await;
    let answer = Message::PollResponse(PollResponse {
        sequence: 1,
        generation: 1,
        lease_us: 8_000_000,
        in_force: 3,
        through: 3,
        chunks: Vec::new(),
        stale: Vec::new(),
        pending: Vec::new(),
    });
    stream.write_all(&encoded(&answer).await).await.expect("it reads");
    all.extend(frame(&mut stream).await);
    drop(stream);
    // It connects anew, and goes on with its next poll.
    let (mut stream, _) = server.accept().await.expect("it calls again");
    all.extend(frame(&mut stream).await);
    fixtures::assert_same_bytes("gateway_polls.bin", &all);
    drop(gateway);
}

#[tokio::test]
async fn a_servers_answers_have_the_recorded_bytes() {
    let (server, at) = listener().await;
    // No lease runs out here.
    let lease = LeaseConfig { lease_ms: 600_000.0, ..terms() };
    let run = ControlServer::primary("o", lease, store(5)).run(server);
    let serving = tokio::spawn(async move { match run.await {} });
    let mut stream = TcpStream::connect(at).await.expect("it listens");
    let member = Member { name: "gateway-1".into(), incarnation: 12345 };
    let ask = |number, known, fetch| {
        Message::PollRequest(PollRequest {
            member: member.clone(),
            sequence: number,
            acknowledged: number - 1,
            known,
            in_force: known,
            subscription: Subscription::Complete { generation: 1, scopes: vec![] },
            fetch,
        })
    };
    let wrong = Change { scope: Scope::Zones, key: Key(1), entry: Some(Entry::Quota(1)) };
    let mut all = Vec::new();
    for message in [
        Message::GetStatus,
        ask(1, 0, vec![(SERVICE, Cursor::default()), (Scope::Zones, Cursor::default())]),
        ask(2, 1, vec![]),
        Message::Propose { proposal_id: 3, changes: vec![wrong] },
        Message::Propose { proposal_id: 4, changes: vec![] },
        Message::Propose { proposal_id: 5, changes: vec![host(9, true)] },
        Message::GetStatus,
    ] {
        stream.write_all(&encoded(&message).await).await.expect("it reads");
        all.extend(frame(&mut stream).await);
    }
    fixtures::assert_same_bytes("server_answers.bin", &all);
    serving.abort();
}

#[tokio::test]
async fn admin_calls_have_the_recorded_bytes_and_read_the_recorded_answers() {
    let (server, at) = listener().await;
    let answers = [
        Message::Status(status()),
        Message::Proposed { proposal_id: 1, revision: Ok(15) },
        Message::Proposed { proposal_id: 1, revision: Err("it changes nothing".into()) },
        Message::GetStatus,
        Message::GetStatus,
    ];
    let serving = tokio::spawn(async move {
        let mut all = Vec::new();
        for answer in answers {
            let (mut stream, _) = server.accept().await.expect("it calls");
            all.extend(frame(&mut stream).await);
            stream.write_all(&encoded(&answer).await).await.expect("it reads");
        }
        all
    });
    assert_eq!(admin_client::status(at, LONG).await.expect("a status"), status());
    assert_eq!(admin_client::propose(at, changes(), LONG).await.expect("a version"), 15);
    let refused = admin_client::propose(at, vec![], LONG).await.expect_err("it is refused");
    assert_eq!(refused.to_string(), format!("{at}: proposal rejected: it changes nothing"));
    let other = admin_client::status(at, LONG).await.expect_err("something else");
    assert_eq!(other.to_string(), format!("{at}: unexpected response, expected a status"));
    let other = admin_client::propose(at, changes(), LONG).await.expect_err("something else");
    assert_eq!(other.to_string(), format!("{at}: unexpected response, expected a revision or a rejection"));
    fixtures::assert_same_bytes("admin_calls.bin", &serving.await.expect("no panic"));
    let gone = admin_client::status(at, LONG).await.expect_err("nobody listens");
    assert!(gone.to_string().starts_with(&format!("{at}: could not connect: Connection refused")), "{gone}");
    let (_silent, at) = listener().await;
    let silent = admin_client::status(at, Duration::from_millis(50)).await.expect_err("nobody answers");
    assert_eq!(silent.to_string(), format!("{at}: no response within 0.05 s"));
}

fn snapshot() -> Snapshot {
    let mut tables = Tables::new();
    for (scope, key, entry) in entries() {
        tables.set(scope, key, 12, Some(entry));
    }
    Snapshot { known: 14, in_force: 12, tables }
}

#[test]
fn a_snapshot_file_has_the_recorded_bytes_and_is_restored() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("gateway.snapshot");
    write(&file, &snapshot()).expect("it is written");
    fixtures::assert_same_bytes("gateway.snapshot", &std::fs::read(&file).expect("it is there"));
    let names: Vec<_> = std::fs::read_dir(folder.path()).expect("a folder").collect();
    assert_eq!(names.len(), 1, "nothing else is left there");

    let recorded = fixtures::path("gateway.snapshot");
    assert_eq!(read(&recorded).expect("sound").expect("there"), snapshot());
    let mut settings = client_config("gateway-1", 2, vec![endpoint("d1", ([127, 0, 0, 1], 1).into(), "a")]);
    settings.snapshot = snapshot_config(&recorded);
    let restored = GatewayClient::new(settings);
    assert_eq!(restored.in_force(), 12);
    let (known, kept) = restored.with_core(|core, _| (core.known(), core.snapshot()));
    // It acts on the tables, so it counts as known what they are of; later versions are sent again.
    let restored = Snapshot { known: 12, ..snapshot() };
    assert_eq!((known, kept), (12, restored.clone()));
    let again = Follower::restore(terms(), Member { name: "g".into(), incarnation: 1 }, snapshot());
    assert_eq!(again.snapshot(), restored);
}

#[test]
fn an_invalid_snapshot_file_is_reported_in_the_recorded_words() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("gateway.snapshot");
    let sound = snapshot().encode().expect("bytes");
    let changed = |at: usize, byte: u8| {
        let mut bytes = sound.clone();
        bytes[at] = byte;
        bytes
    };
    let mut longer = sound[..9].to_vec();
    longer.extend([0; 6]);
    let sum = crc32fast::hash(&longer[9..]).to_be_bytes();
    longer[5..9].copy_from_slice(&sum);
    let mut words = Vec::new();
    for bytes in [
        sound[..3].to_vec(),
        sound[..7].to_vec(),
        changed(0, b'x'),
        changed(4, 2),
        changed(20, !sound[20]),
        longer,
    ] {
        std::fs::write(&file, bytes).expect("it can be written");
        words.push(read(&file).expect_err("not sound").to_string());
    }
    std::fs::remove_file(&file).expect("it is there");
    assert!(read(&file).expect("no file is no error").is_none());
    words.push(read(folder.path()).expect_err("a folder").to_string());
    let nowhere = folder.path().join("none/gateway.snapshot");
    let failed = write(&nowhere, &snapshot()).expect_err("no folder").to_string();
    words.push(failed.replace(&folder.path().display().to_string(), "FOLDER"));
    fixtures::assert_same_lines("snapshot_errors.txt", &words);
}
