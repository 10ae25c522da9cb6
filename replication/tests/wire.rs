//! The encoding of messages between followers and lessors: every message decodes to itself, and other bytes are
//! rejected.
use quickcheck::{quickcheck, Arbitrary, Gen};
use std::net::{Ipv4Addr, SocketAddrV4};
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{stricter, Change, ChangeSet, Digest, Entry, Host, Key, Route, Scope};
use ternstack_replication::wire::{
    decode, encode, ChunkEntry, Cursor, FrameError, Member, Message, PollRequest, PollResponse, ScopeChunk,
    Status, Subscription, Traffic, TrafficByCause, TrafficCount, FORMAT_VERSION, HEADER_BYTES,
    MAX_FRAME_BYTES,
};

/// A random message of any kind.
#[derive(Clone, Debug)]
struct AnyMessage(Message);

fn scope(g: &mut Gen) -> Scope {
    let n = u32::arbitrary(g);
    *g.choose(&[Scope::Zones, Scope::Fleet, Scope::Hosts(n), Scope::Routes(n), Scope::Tenants(n)])
        .expect("there are scopes")
}

fn entry(g: &mut Gen) -> Entry {
    let retry_policy = *g
        .choose(&[RetryPolicy::Never, RetryPolicy::Within(9), RetryPolicy::Always])
        .expect("there are policies");
    let host = Host {
        address: SocketAddrV4::new(Ipv4Addr::from(u32::arbitrary(g)), u16::arbitrary(g)),
        zone: u16::arbitrary(g),
        draining: bool::arbitrary(g),
        weight_milli: u32::arbitrary(g),
        started_s: u32::arbitrary(g),
    };
    let route = Route { class: u16::arbitrary(g), retry_policy };
    let entries = [
        Entry::Host(host),
        Entry::Route(route),
        Entry::Quota(u32::arbitrary(g)),
        Entry::RetryPolicy(retry_policy),
        Entry::Zone(bool::arbitrary(g)),
    ];
    *g.choose(&entries).expect("there are entries")
}

fn optional_entry(g: &mut Gen) -> Option<Entry> {
    bool::arbitrary(g).then(|| entry(g))
}

fn random_vec<T>(g: &mut Gen, generate: impl Fn(&mut Gen) -> T) -> Vec<T> {
    (0..u8::arbitrary(g) % 5).map(|_| generate(g)).collect()
}

fn poll_request(g: &mut Gen) -> PollRequest {
    let generation = u64::arbitrary(g);
    let subscription = match u8::arbitrary(g) % 4 {
        0 => Subscription::Unchanged { generation },
        1 => Subscription::Delta {
            from: u64::arbitrary(g),
            generation,
            added: random_vec(g, scope),
            removed: random_vec(g, scope),
        },
        2 => Subscription::Complete { generation, scopes: random_vec(g, scope) },
        _ => Subscription::AllScopes { generation },
    };
    PollRequest {
        member: Member { name: String::arbitrary(g), incarnation: u64::arbitrary(g) },
        sequence: u64::arbitrary(g),
        acknowledged: u64::arbitrary(g),
        known: u64::arbitrary(g),
        in_force: u64::arbitrary(g),
        subscription,
        fetch: random_vec(g, |g| (scope(g), Cursor { revision: u64::arbitrary(g), key: u64::arbitrary(g) })),
    }
}

fn change(g: &mut Gen) -> Change {
    Change { scope: scope(g), key: Key(u64::arbitrary(g)), entry: optional_entry(g) }
}

fn causes(g: &mut Gen) -> TrafficByCause {
    let mut count = || TrafficCount { messages: u64::arbitrary(g), bytes: u64::arbitrary(g) };
    TrafficByCause { polls: count(), leases: count(), changes: count(), fetches: count(), admin: count() }
}

fn status(g: &mut Gen) -> Status {
    Status {
        name: String::arbitrary(g),
        in_force: u64::arbitrary(g),
        through: u64::arbitrary(g),
        digest: Digest(u128::arbitrary(g)),
        followers: u64::arbitrary(g),
        lease_ms: Option::arbitrary(g),
        traffic: Traffic { read: causes(g), written: causes(g) },
    }
}

fn poll_response(g: &mut Gen) -> PollResponse {
    PollResponse {
        sequence: u64::arbitrary(g),
        generation: u64::arbitrary(g),
        lease_us: u64::arbitrary(g),
        in_force: u64::arbitrary(g),
        through: u64::arbitrary(g),
        chunks: random_vec(g, |g| ScopeChunk {
            scope: scope(g),
            restart: bool::arbitrary(g),
            entries: random_vec(g, |g| ChunkEntry {
                revision: u64::arbitrary(g),
                key: Key(u64::arbitrary(g)),
                entry: optional_entry(g),
            }),
            final_digest: bool::arbitrary(g).then(|| Digest(u128::arbitrary(g))),
        }),
        stale: random_vec(g, scope),
        pending: random_vec(g, |g| ChangeSet { revision: u64::arbitrary(g), changes: random_vec(g, change) }),
    }
}

impl Arbitrary for AnyMessage {
    fn arbitrary(g: &mut Gen) -> Self {
        let proposal_id = u64::arbitrary(g);
        AnyMessage(match u8::arbitrary(g) % 6 {
            0 => Message::PollRequest(poll_request(g)),
            1 => Message::PollResponse(poll_response(g)),
            2 => Message::Propose { proposal_id, changes: random_vec(g, change) },
            3 => Message::Proposed { proposal_id, revision: Result::arbitrary(g) },
            4 => Message::GetStatus,
            _ => Message::Status(status(g)),
        })
    }
}

fn frame(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("the message fits a frame");
    bytes
}

quickcheck! {
    fn encoded_messages_decode_to_themselves(message: AnyMessage, next: AnyMessage) -> bool {
        let (mut bytes, first) = (frame(&message.0), frame(&message.0).len());
        bytes.extend(frame(&next.0));
        decode(&bytes) == Ok(Some((message.0, first))) && decode(&bytes[first..]) == Ok(Some((next.0, bytes.len() - first)))
    }

    fn truncated_frame_needs_more_bytes(message: AnyMessage, at: usize) -> bool {
        let bytes = frame(&message.0);
        decode(&bytes[..at % bytes.len()]) == Ok(None)
    }

    fn flipped_bit_in_a_frame_is_rejected(message: AnyMessage, at: usize, bit: u8) -> bool {
        let mut bytes = frame(&message.0);
        let at = 4 + at % (bytes.len() - 4);
        bytes[at] ^= 1 << (bit % 8);
        decode(&bytes).is_err()
    }

    fn random_bytes_decode_without_a_panic(bytes: Vec<u8>) -> bool {
        // The length, the format and the checksum are valid, but the content is random.
        let mut framed = ((bytes.len() + HEADER_BYTES - 4) as u32).to_be_bytes().to_vec();
        framed.push(FORMAT_VERSION);
        framed.extend(crc32fast::hash(&bytes).to_be_bytes());
        framed.extend(&bytes);
        let content_is_safe = match decode(&framed) {
            Ok(Some((_, used))) => used == framed.len(),
            Ok(None) => false,
            Err(_) => true,
        };
        let raw_is_safe = decode(&bytes).map_or(true, |read| read.is_none_or(|(_, used)| used <= bytes.len()));
        raw_is_safe && content_is_safe
    }

    fn stricter_entry_does_not_depend_on_the_order_of_arguments(a: bool, b: bool, quotas: (u32, u32)) -> bool {
        let zone = stricter(Scope::Zones, Some(Entry::Zone(a)), Some(Entry::Zone(b)));
        let quota = |x, y| stricter(Scope::Tenants(0), Some(Entry::Quota(x)), Some(Entry::Quota(y)));
        zone == Some(Entry::Zone(a && b))
            && quota(quotas.0, quotas.1) == quota(quotas.1, quotas.0)
            && quota(quotas.0, quotas.1) == Some(Entry::Quota(quotas.0.min(quotas.1)))
    }
}

#[test]
fn invalid_lengths_and_formats_are_reported_before_the_rest_arrives() {
    let too_long = ((MAX_FRAME_BYTES - 3) as u32).to_be_bytes();
    assert_eq!(decode(&too_long), Err(FrameError::Length(MAX_FRAME_BYTES + 1)));
    assert_eq!(decode(&4u32.to_be_bytes()), Err(FrameError::Length(8)));
    assert_eq!(decode(&[0, 0, 0, 9, FORMAT_VERSION + 1]), Err(FrameError::Format(FORMAT_VERSION + 1)));
    let message = FrameError::Format(9).to_string();
    assert!(message.contains("format 9") && message.contains("expected 1"), "{message}");
}

#[test]
fn message_longer_than_the_longest_frame_is_not_encoded() {
    let mut bytes = Vec::new();
    let entries =
        vec![ChunkEntry { revision: u64::MAX, key: Key(u64::MAX), entry: None }; MAX_FRAME_BYTES / 20];
    let chunk = ScopeChunk { scope: Scope::Zones, restart: true, entries, final_digest: None };
    let response = PollResponse {
        sequence: 1,
        generation: 1,
        lease_us: 1,
        in_force: 1,
        through: 1,
        chunks: vec![chunk],
        stale: vec![],
        pending: vec![],
    };
    assert!(matches!(encode(&Message::PollResponse(response), &mut bytes), Err(FrameError::Length(_))));
    assert!(bytes.is_empty());
}

#[test]
fn host_with_two_addresses_is_draining_in_the_stricter_entry() {
    let host = |port, draining| {
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        Some(Entry::Host(Host { address, zone: 1, draining, weight_milli: 1000, started_s: 0 }))
    };
    let serves = |a, b| match stricter(Scope::Hosts(1), a, b) {
        Some(Entry::Host(host)) => !host.draining,
        _ => false,
    };
    assert!(serves(host(1, false), host(1, false)));
    assert!(!serves(host(1, false), host(2, false)));
    assert!(!serves(host(1, true), host(1, false)));
    assert!(!serves(host(1, false), None) && !serves(None, host(1, false)));
}

#[test]
fn digest_does_not_depend_on_the_order_and_is_restored_by_removals() {
    let add =
        |digest: &mut Digest, n: u32| digest.add(Scope::Tenants(1), Key::from_number(n), &Entry::Quota(n));
    let (mut a, mut b) = (Digest::default(), Digest::default());
    (0..9).for_each(|n| add(&mut a, n));
    (0..9).rev().for_each(|n| add(&mut b, n));
    assert_eq!(a, b);
    let before = a;
    add(&mut a, 77);
    assert_ne!(a, before);
    a.remove(Scope::Tenants(1), Key::from_number(77), &Entry::Quota(77));
    assert_eq!(a, before);
    assert_eq!(Key::of("acme"), Key::of("acme"));
    assert_ne!(Scope::of_tenant(Key(1)), Scope::of_tenant(Key(2)));
}
