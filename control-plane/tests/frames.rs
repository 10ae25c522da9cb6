//! Frames on a stream: messages that arrive in parts or together, malformed frames, and the counting of
//! traffic.
use ternstack_control_plane::frames::{write_message, ConnectionError, FrameReader};
use ternstack_control_plane::traffic::TrafficCounter;
use ternstack_replication::scope::{Change, ChangeSet, Digest, Entry, Key, Scope};
use ternstack_replication::wire::{
    ChunkEntry, Cursor, FrameError, Member, Message, PollRequest, PollResponse, ScopeChunk, Subscription,
    HEADER_BYTES, MAX_FRAME_BYTES,
};
use tokio::io::{duplex, AsyncWriteExt};

fn poll_response(chunks: Vec<ScopeChunk>, pending: Vec<ChangeSet>) -> Message {
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

fn chunk(scope: Scope, entries: u64) -> ScopeChunk {
    let entries = (0..entries)
        .map(|key| ChunkEntry { revision: 1, key: Key(key), entry: Some(Entry::Quota(9)) })
        .collect();
    ScopeChunk { scope, restart: true, entries, final_digest: Some(Digest(1)) }
}

async fn encoded(message: &Message) -> Vec<u8> {
    let (mut bytes, mut scratch) = (Vec::new(), Vec::new());
    let frame_bytes =
        write_message(&mut bytes, message, &mut scratch).await.expect("the message fits into a frame");
    assert_eq!(frame_bytes, bytes.len());
    bytes
}

#[tokio::test]
async fn messages_are_read_complete_for_any_split_of_the_stream() {
    let messages =
        [Message::GetStatus, poll_response(vec![chunk(Scope::Tenants(1), 5000)], vec![]), Message::GetStatus];
    let mut stream = Vec::new();
    for message in &messages {
        stream.extend(encoded(message).await);
    }
    for buffer_bytes in [1, 7, 4096, stream.len()] {
        let (mut sender, receiver) = duplex(buffer_bytes);
        let sent = stream.clone();
        let writing = tokio::spawn(async move { sender.write_all(&sent).await });
        let mut frames = FrameReader::new(receiver);
        for message in &messages {
            assert_eq!(
                frames.next().await.expect("the frame is valid").expect("a message follows").message,
                *message
            );
        }
        assert!(frames.next().await.expect("the stream ends between frames").is_none());
        assert_eq!(frames.received_bytes(), stream.len() as u64);
        writing.await.expect("the writing task does not panic").expect("the stream can be written");
    }
}

#[tokio::test]
async fn malformed_frames_are_rejected_with_the_expected_value() {
    let valid = encoded(&Message::GetStatus).await;
    let mut corrupted = valid.clone();
    *corrupted.last_mut().expect("the frame is not empty") ^= 1;
    let too_long = ((MAX_FRAME_BYTES - 3) as u32).to_be_bytes();
    for (bytes, expected_error) in [
        (&valid[..HEADER_BYTES], "ended after 9 bytes"),
        (&corrupted, "checksum"),
        (&too_long, "expected 9 to 1048576"),
        (b"GET / HTTP/1.1\r\n\r\n", "expected 9 to 1048576"),
        (&[0, 0, 0, 9, 77], "format 77, expected 1"),
    ] {
        let error = match FrameReader::new(bytes).next().await {
            Err(error) => error.to_string(),
            other => panic!("the bytes are rejected with {expected_error:?}, not read as {other:?}"),
        };
        assert!(error.contains(expected_error), "the error contains {expected_error:?}: {error}");
    }
}

#[tokio::test]
async fn frame_of_the_maximum_length_is_read_completely() {
    // The content is not a message, which the reader notices only after the whole frame has been read.
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
async fn every_byte_is_counted_under_one_cause() {
    let counter = TrafficCounter::default();
    let change = Change { scope: Scope::Zones, key: Key(1), entry: Some(Entry::Zone(false)) };
    let pending = ChangeSet { revision: 4, changes: vec![change] };
    let (changed, fetched) = (chunk(Scope::Hosts(1), 2), chunk(Scope::Hosts(2), 50));
    let poll = |known, fetch| PollRequest {
        member: Member { name: "g".into(), incarnation: 1 },
        sequence: 7,
        acknowledged: 6,
        known,
        in_force: known,
        subscription: Subscription::Unchanged { generation: 1 },
        fetch,
    };
    let (lease_poll, fetch_poll) = (poll(3, vec![]), poll(3, vec![(Scope::Hosts(2), Cursor::default())]));
    let first_poll = poll(0, vec![]);
    let mut total_bytes = 0;
    for (message, request) in [
        (poll_response(vec![], vec![]), Some(&lease_poll)),
        (poll_response(vec![changed.clone()], vec![]), Some(&lease_poll)),
        (poll_response(vec![changed.clone()], vec![]), Some(&first_poll)),
        (poll_response(vec![], vec![pending.clone()]), Some(&lease_poll)),
        (poll_response(vec![changed, fetched], vec![pending]), Some(&fetch_poll)),
        (Message::GetStatus, None),
    ] {
        let frame_bytes = encoded(&message).await.len();
        counter.record_written(&message, frame_bytes, request);
        total_bytes += frame_bytes as u64;
    }
    let traffic = counter.counts();
    let written = traffic.written;
    let counts = [written.polls, written.leases, written.changes, written.fetches, written.admin];
    assert_eq!(counts.map(|count| count.messages), [0, 1, 2, 2, 1]);
    assert_eq!(counts.iter().map(|count| count.bytes).sum::<u64>(), total_bytes);
    assert!(written.fetches.bytes > 100 && written.changes.bytes > 20 && written.leases.bytes > 40);
    assert_eq!(traffic.read, Default::default());
}
