//! The bytes of what followers and grantors send each other: every message comes back as it was, and no others do.
use quickcheck::{quickcheck, Arbitrary, Gen};
use std::net::{Ipv4Addr, SocketAddrV4};
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{stricter, Change, ChangeSet, Digest, Entry, Host, Key, Route, Scope};
use ternstack_replication::wire::{
    decode, encode, ChunkEntry, Cursor, FrameError, Member, Message, PollRequest, PollResponse, ScopeChunk,
    Status, Subscription, Traffic, TrafficByCause, TrafficCount, FORMAT_VERSION, HEADER_BYTES,
    MAX_FRAME_BYTES,
};

#[derive(Clone, Debug)]
struct Any(Message);

fn scope(g: &mut Gen) -> Scope {
    let n = u32::arbitrary(g);
    *g.choose(&[Scope::Zones, Scope::Fleet, Scope::Hosts(n), Scope::Routes(n), Scope::Tenants(n)])
        .expect("one")
}

fn entry(g: &mut Gen) -> Entry {
    let repeat = *g.choose(&[RetryPolicy::Never, RetryPolicy::Within(9), RetryPolicy::Always]).expect("one");
    let host = Host {
        address: SocketAddrV4::new(Ipv4Addr::from(u32::arbitrary(g)), u16::arbitrary(g)),
        zone: u16::arbitrary(g),
        draining: bool::arbitrary(g),
        weight_milli: u32::arbitrary(g),
        started_s: u32::arbitrary(g),
    };
    let route = Route { class: u16::arbitrary(g), retry_policy: repeat };
    let all = [
        Entry::Host(host),
        Entry::Route(route),
        Entry::Quota(u32::arbitrary(g)),
        Entry::RetryPolicy(repeat),
        Entry::Zone(bool::arbitrary(g)),
    ];
    *g.choose(&all).expect("one")
}

fn some(g: &mut Gen) -> Option<Entry> {
    bool::arbitrary(g).then(|| entry(g))
}

fn several<T>(g: &mut Gen, one: impl Fn(&mut Gen) -> T) -> Vec<T> {
    (0..u8::arbitrary(g) % 5).map(|_| one(g)).collect()
}

fn poll_request(g: &mut Gen) -> PollRequest {
    let revision = u64::arbitrary(g);
    let interest = match u8::arbitrary(g) % 4 {
        0 => Subscription::Unchanged { generation: revision },
        1 => Subscription::Delta {
            from: u64::arbitrary(g),
            generation: revision,
            added: several(g, scope),
            removed: several(g, scope),
        },
        2 => Subscription::Complete { generation: revision, scopes: several(g, scope) },
        _ => Subscription::AllScopes { generation: revision },
    };
    PollRequest {
        member: Member { name: String::arbitrary(g), incarnation: u64::arbitrary(g) },
        sequence: u64::arbitrary(g),
        acknowledged: u64::arbitrary(g),
        known: u64::arbitrary(g),
        in_force: u64::arbitrary(g),
        subscription: interest,
        fetch: several(g, |g| (scope(g), Cursor { revision: u64::arbitrary(g), key: u64::arbitrary(g) })),
    }
}

fn change(g: &mut Gen) -> Change {
    Change { scope: scope(g), key: Key(u64::arbitrary(g)), entry: some(g) }
}

fn causes(g: &mut Gen) -> TrafficByCause {
    let mut tally = || TrafficCount { messages: u64::arbitrary(g), bytes: u64::arbitrary(g) };
    TrafficByCause { polls: tally(), leases: tally(), changes: tally(), fetches: tally(), admin: tally() }
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
        chunks: several(g, |g| ScopeChunk {
            scope: scope(g),
            restart: bool::arbitrary(g),
            entries: several(g, |g| ChunkEntry {
                revision: u64::arbitrary(g),
                key: Key(u64::arbitrary(g)),
                entry: some(g),
            }),
            final_digest: bool::arbitrary(g).then(|| Digest(u128::arbitrary(g))),
        }),
        stale: several(g, scope),
        pending: several(g, |g| ChangeSet { revision: u64::arbitrary(g), changes: several(g, change) }),
    }
}

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u64::arbitrary(g);
        Any(match u8::arbitrary(g) % 6 {
            0 => Message::PollRequest(poll_request(g)),
            1 => Message::PollResponse(poll_response(g)),
            2 => Message::Propose { proposal_id: number, changes: several(g, change) },
            3 => Message::Proposed { proposal_id: number, revision: Result::arbitrary(g) },
            4 => Message::GetStatus,
            _ => Message::Status(status(g)),
        })
    }
}

fn frame(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("it fits");
    bytes
}

quickcheck! {
    fn what_was_written_is_read(any: Any, next: Any) -> bool {
        let (mut bytes, first) = (frame(&any.0), frame(&any.0).len());
        bytes.extend(frame(&next.0));
        decode(&bytes) == Ok(Some((any.0, first))) && decode(&bytes[first..]) == Ok(Some((next.0, bytes.len() - first)))
    }

    fn a_frame_that_is_cut_waits_for_more(any: Any, at: usize) -> bool {
        let bytes = frame(&any.0);
        decode(&bytes[..at % bytes.len()]) == Ok(None)
    }

    fn a_flipped_bit_in_a_message_is_detected(any: Any, at: usize, bit: u8) -> bool {
        let mut bytes = frame(&any.0);
        let at = 4 + at % (bytes.len() - 4);
        bytes[at] ^= 1 << (bit % 8);
        decode(&bytes).is_err()
    }

    fn random_bytes_never_panic(bytes: Vec<u8>) -> bool {
        // A length, a format and a checksum that fit, before content that does not.
        let mut framed = ((bytes.len() + HEADER_BYTES - 4) as u32).to_be_bytes().to_vec();
        framed.push(FORMAT_VERSION);
        framed.extend(crc32fast::hash(&bytes).to_be_bytes());
        framed.extend(&bytes);
        let content = match decode(&framed) {
            Ok(Some((_, used))) => used == framed.len(),
            Ok(None) => false,
            Err(_) => true,
        };
        let raw = decode(&bytes).map_or(true, |read| read.is_none_or(|(_, used)| used <= bytes.len()));
        raw && content
    }

    fn the_stricter_of_two_entries_is_the_same_from_both_sides(a: bool, b: bool, quotas: (u32, u32)) -> bool {
        let zone = stricter(Scope::Zones, Some(Entry::Zone(a)), Some(Entry::Zone(b)));
        let quota = |x, y| stricter(Scope::Tenants(0), Some(Entry::Quota(x)), Some(Entry::Quota(y)));
        zone == Some(Entry::Zone(a && b))
            && quota(quotas.0, quotas.1) == quota(quotas.1, quotas.0)
            && quota(quotas.0, quotas.1) == Some(Entry::Quota(quotas.0.min(quotas.1)))
    }
}

#[test]
fn invalid_lengths_and_formats_are_reported_before_the_rest_arrives() {
    let long = ((MAX_FRAME_BYTES - 3) as u32).to_be_bytes();
    assert_eq!(decode(&long), Err(FrameError::Length(MAX_FRAME_BYTES + 1)));
    assert_eq!(decode(&4u32.to_be_bytes()), Err(FrameError::Length(8)));
    assert_eq!(decode(&[0, 0, 0, 9, FORMAT_VERSION + 1]), Err(FrameError::Format(FORMAT_VERSION + 1)));
    let words = FrameError::Format(9).to_string();
    assert!(words.contains("format 9") && words.contains("expected 1"), "{words}");
}

#[test]
fn a_message_past_the_longest_frame_is_not_written() {
    let mut bytes = Vec::new();
    let entries =
        vec![ChunkEntry { revision: u64::MAX, key: Key(u64::MAX), entry: None }; MAX_FRAME_BYTES / 20];
    let part = ScopeChunk { scope: Scope::Zones, restart: true, entries, final_digest: None };
    let grant = PollResponse {
        sequence: 1,
        generation: 1,
        lease_us: 1,
        in_force: 1,
        through: 1,
        chunks: vec![part],
        stale: vec![],
        pending: vec![],
    };
    assert!(matches!(encode(&Message::PollResponse(grant), &mut bytes), Err(FrameError::Length(_))));
    assert!(bytes.is_empty());
}

#[test]
fn a_host_that_two_versions_place_differently_takes_no_work_by_the_stricter() {
    let host = |port, drains| {
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        Some(Entry::Host(Host { address, zone: 1, draining: drains, weight_milli: 1000, started_s: 0 }))
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
fn a_digest_is_the_same_whatever_the_order_and_comes_back_when_entries_go() {
    let put =
        |digest: &mut Digest, n: u32| digest.add(Scope::Tenants(1), Key::from_number(n), &Entry::Quota(n));
    let (mut a, mut b) = (Digest::default(), Digest::default());
    (0..9).for_each(|n| put(&mut a, n));
    (0..9).rev().for_each(|n| put(&mut b, n));
    assert_eq!(a, b);
    let before = a;
    put(&mut a, 77);
    assert_ne!(a, before);
    a.remove(Scope::Tenants(1), Key::from_number(77), &Entry::Quota(77));
    assert_eq!(a, before);
    assert_eq!(Key::of("acme"), Key::of("acme"));
    assert_ne!(Scope::of_tenant(Key(1)), Scope::of_tenant(Key(2)));
}
