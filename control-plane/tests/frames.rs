//! Frames on a stream: cut anywhere, joined anyhow, and none that is malformed gets through.
use ternstack_control_plane::frames::{write_message, ConnectionError, FrameReader};
use ternstack_control_plane::traffic::TrafficCounter;
use ternstack_replication::scope::{Change, ChangeSet, Digest, Entry, Key, Scope};
use ternstack_replication::wire::{
    ChunkEntry, Cursor, FrameError, Member, Message, PollRequest, PollResponse, ScopeChunk, Subscription,
    HEADER_BYTES, MAX_FRAME_BYTES,
};
use tokio::io::{duplex, AsyncWriteExt};

fn grant(chunks: Vec<ScopeChunk>, pending: Vec<ChangeSet>) -> Message {
    Message::PollResponse(PollResponse {
        sequence: 7,
        generation: 1,
        lease_us: 1_900_000,
        in_force: 3,
        through: 4,
        chunks,
        stale: Vec::new(),
        pending,
    })
}

fn part(scope: Scope, entries: u64) -> ScopeChunk {
    let entries =
        (0..entries).map(|n| ChunkEntry { revision: 1, key: Key(n), entry: Some(Entry::Quota(9)) }).collect();
    ScopeChunk { scope, restart: true, entries, final_digest: Some(Digest(1)) }
}

async fn bytes(message: &Message) -> Vec<u8> {
    let (mut bytes, mut scratch) = (Vec::new(), Vec::new());
    let n = write_message(&mut bytes, message, &mut scratch).await.expect("it fits");
    assert_eq!(n, bytes.len());
    bytes
}

#[tokio::test]
async fn messages_come_whole_however_their_bytes_come() {
    let messages =
        [Message::GetStatus, grant(vec![part(Scope::Tenants(1), 5000)], vec![]), Message::GetStatus];
    let mut all = Vec::new();
    for message in &messages {
        all.extend(bytes(message).await);
    }
    for chunk in [1, 7, 4096, all.len()] {
        let (mut to, from) = duplex(chunk);
        let sent = all.clone();
        let writing = tokio::spawn(async move { to.write_all(&sent).await });
        let mut frames = FrameReader::new(from);
        for message in &messages {
            assert_eq!(frames.next().await.expect("sound").expect("one more").message, *message);
        }
        assert!(frames.next().await.expect("a clean end").is_none());
        assert_eq!(frames.received_bytes(), all.len() as u64);
        writing.await.expect("no panic").expect("written");
    }
}

#[tokio::test]
async fn malformed_frames_are_reported_with_what_was_expected() {
    let sound = bytes(&Message::GetStatus).await;
    let mut swapped = sound.clone();
    *swapped.last_mut().expect("a byte") ^= 1;
    let long = ((MAX_FRAME_BYTES - 3) as u32).to_be_bytes();
    for (given, told) in [
        (&sound[..HEADER_BYTES], "ended after 9 bytes"),
        (&swapped, "checksum"),
        (&long, "expected 9 to 1048576"),
        (b"GET / HTTP/1.1\r\n\r\n", "expected 9 to 1048576"),
        (&[0, 0, 0, 9, 77], "format 77, expected 1"),
    ] {
        let words = match FrameReader::new(given).next().await {
            Err(error) => error.to_string(),
            other => panic!("{told}: {other:?}"),
        };
        assert!(words.contains(told), "{words}");
    }
}

#[tokio::test]
async fn a_frame_of_the_longest_length_is_read_and_a_byte_more_is_not() {
    // Content that is no message, of a length that is allowed: the whole of it is read before that is told.
    let content = vec![0xff; MAX_FRAME_BYTES - HEADER_BYTES];
    let mut longest = ((MAX_FRAME_BYTES - 4) as u32).to_be_bytes().to_vec();
    longest.push(1);
    longest.extend(crc32fast::hash(&content).to_be_bytes());
    longest.extend(content);
    let mut frames = FrameReader::new(&longest[..]);
    assert!(matches!(frames.next().await, Err(ConnectionError::Malformed(FrameError::Content(_)))));
    assert_eq!(frames.received_bytes(), MAX_FRAME_BYTES as u64);
}

#[tokio::test]
async fn bytes_are_counted_by_cause_and_none_is_lost() {
    let counter = TrafficCounter::default();
    let change = Change { scope: Scope::Zones, key: Key(1), entry: Some(Entry::Zone(false)) };
    let version = ChangeSet { revision: 4, changes: vec![change] };
    let (news, fetched) = (part(Scope::Hosts(1), 2), part(Scope::Hosts(2), 50));
    let ask = |known, fetch| PollRequest {
        member: Member { name: "g".into(), incarnation: 1 },
        sequence: 7,
        acknowledged: 6,
        known,
        in_force: known,
        subscription: Subscription::Unchanged { generation: 1 },
        fetch,
    };
    let (quiet, fetches) = (ask(3, vec![]), ask(3, vec![(Scope::Hosts(2), Cursor::default())]));
    let begins = ask(0, vec![]);
    let mut all = 0;
    for (message, asked) in [
        (grant(vec![], vec![]), Some(&quiet)),
        (grant(vec![news.clone()], vec![]), Some(&quiet)),
        (grant(vec![news.clone()], vec![]), Some(&begins)),
        (grant(vec![], vec![version.clone()]), Some(&quiet)),
        (grant(vec![news, fetched], vec![version]), Some(&fetches)),
        (Message::GetStatus, None),
    ] {
        let n = bytes(&message).await.len();
        counter.record_written(&message, n, asked);
        all += n as u64;
    }
    let counts = counter.counts();
    let written = counts.written;
    let tallies = [written.polls, written.leases, written.changes, written.fetches, written.admin];
    assert_eq!(tallies.map(|t| t.messages), [0, 1, 2, 2, 1]);
    assert_eq!(tallies.iter().map(|t| t.bytes).sum::<u64>(), all);
    assert!(written.fetches.bytes > 100 && written.changes.bytes > 20 && written.leases.bytes > 40);
    assert_eq!(counts.read, Default::default());
}
