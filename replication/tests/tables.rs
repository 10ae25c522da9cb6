//! A gateway's tables compared with a map, and the encoding of their snapshot: a snapshot decodes to itself,
//! and other bytes are rejected.
use quickcheck::{quickcheck, Arbitrary, Gen};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Digest, Entry, Host, Key, Route, Scope};
use ternstack_replication::snapshot::{Snapshot, SnapshotError, FORMAT_VERSION, HEADER_BYTES, MAGIC};
use ternstack_replication::storage::Storage;
use ternstack_replication::tables::Tables;

const SCOPES: [Scope; 7] = [
    Scope::Zones,
    Scope::Fleet,
    Scope::Hosts(1),
    Scope::Hosts(u32::MAX),
    Scope::Routes(1),
    Scope::Tenants(0),
    Scope::Tenants(4095),
];

type Map = BTreeMap<(Scope, Key), Entry>;

/// Returns a random entry of any kind.
fn entry(g: &mut Gen) -> Entry {
    let retry_policies = [RetryPolicy::Never, RetryPolicy::Within(u64::arbitrary(g)), RetryPolicy::Always];
    let retry_policy = *g.choose(&retry_policies).expect("there are policies");
    let host = Host {
        address: SocketAddrV4::new(Ipv4Addr::from(u32::arbitrary(g)), u16::arbitrary(g)),
        zone: u16::arbitrary(g),
        draining: bool::arbitrary(g),
        weight_milli: u32::arbitrary(g),
        started_s: u32::arbitrary(g),
    };
    match u8::arbitrary(g) % 5 {
        0 => Entry::Host(host),
        1 => Entry::Route(Route { class: u16::arbitrary(g), retry_policy }),
        2 => Entry::Quota(u32::arbitrary(g)),
        3 => Entry::RetryPolicy(retry_policy),
        _ => Entry::Zone(bool::arbitrary(g)),
    }
}

#[derive(Clone, Debug)]
enum Step {
    Set(Scope, Key, Option<Entry>),
    Clear(Scope),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let scope = *g.choose(&SCOPES).expect("there are scopes");
        if u8::arbitrary(g).is_multiple_of(50) {
            return Step::Clear(scope);
        }
        let key = if bool::arbitrary(g) { u64::from(u8::arbitrary(g) % 16) } else { u64::arbitrary(g) };
        let entry = std::iter::repeat_with(|| entry(g)).find(|entry| entry.fits(scope));
        Step::Set(scope, Key(key), entry.filter(|_| !u8::arbitrary(g).is_multiple_of(3)))
    }
}

fn apply(step: &Step, tables: &mut Tables, map: &mut Map) {
    match step {
        Step::Set(scope, key, entry) => {
            tables.set(*scope, *key, 1, *entry);
            match entry {
                Some(entry) => drop(map.insert((*scope, *key), *entry)),
                None => drop(map.remove(&(*scope, *key))),
            }
        }
        Step::Clear(scope) => {
            tables.clear(*scope);
            map.retain(|(other, _), _| other != scope);
        }
    }
}

fn entries_of(map: &Map, scope: Scope) -> Vec<(Key, Entry)> {
    map.iter().filter(|((other, _), _)| *other == scope).map(|((_, key), entry)| (*key, *entry)).collect()
}

fn assert_tables_match(tables: &Tables, map: &Map) {
    let mut total = Digest::default();
    for scope in SCOPES {
        let entries = entries_of(map, scope);
        let mut digest = Digest::default();
        entries.iter().for_each(|(key, entry)| digest.add(scope, *key, entry));
        assert_eq!(tables.digest(scope), digest);
        assert_eq!(tables.len(scope), entries.len());
        assert_eq!(tables.entries(scope).collect::<Vec<_>>(), entries);
        for (key, entry) in entries {
            assert_eq!(tables.get(scope, key), Some(entry));
        }
        total.join(digest);
    }
    assert_eq!(tables.total_digest(), total);
    let scopes: Vec<Scope> = SCOPES.into_iter().filter(|scope| tables.len(*scope) > 0).collect();
    assert_eq!(tables.scopes().collect::<Vec<_>>(), scopes);
    assert_eq!(tables.is_empty(), map.is_empty());
}

fn snapshot(steps: &[Step], known: u64) -> Snapshot {
    let (mut tables, mut map) = (Tables::new(), Map::new());
    steps.iter().for_each(|step| apply(step, &mut tables, &mut map));
    Snapshot { known, in_force: known / 2, tables }
}

quickcheck! {
    fn tables_match_a_map_after_random_steps(steps: Vec<Step>) -> bool {
        let (mut tables, mut map) = (Tables::new(), Map::new());
        for step in &steps {
            apply(step, &mut tables, &mut map);
            assert_tables_match(&tables, &map);
            if let Step::Set(scope, key, _) = step {
                assert_eq!(tables.get(*scope, *key), map.get(&(*scope, *key)).copied());
            }
        }
        SCOPES.into_iter().for_each(|scope| tables.remove_scope(scope));
        tables.is_empty() && tables.memory_bytes() == 0
    }

    fn encoded_snapshot_decodes_to_itself(steps: Vec<Step>, known: u64) -> bool {
        let snapshot = snapshot(&steps, known);
        let decoded = Snapshot::decode(&snapshot.encode().expect("the snapshot is encodable")).expect("the snapshot is valid");
        let digests = |snapshot: &Snapshot| SCOPES.map(|scope| snapshot.tables.digest(scope));
        decoded == snapshot && digests(&decoded) == digests(&snapshot) && decoded.tables.memory_bytes() <= snapshot.tables.memory_bytes()
    }

    fn truncated_snapshot_is_rejected(steps: Vec<Step>, at: usize) -> bool {
        let bytes = snapshot(&steps, 9).encode().expect("the snapshot is encodable");
        Snapshot::decode(&bytes[..at % bytes.len()]).is_err()
    }

    fn snapshot_with_trailing_bytes_is_rejected(steps: Vec<Step>, trailing: Vec<u8>) -> bool {
        let mut bytes = snapshot(&steps, 9).encode().expect("the snapshot is encodable");
        let doubled = [bytes.clone(), bytes.clone()].concat();
        bytes.extend(&trailing);
        trailing.is_empty() == Snapshot::decode(&bytes).is_ok() && Snapshot::decode(&doubled).is_err()
    }

    fn snapshot_with_swapped_bytes_is_rejected(steps: Vec<Step>, a: usize, b: usize) -> bool {
        let mut bytes = snapshot(&steps, 9).encode().expect("the snapshot is encodable");
        let before = bytes.clone();
        let (a, b) = (a % bytes.len(), b % bytes.len());
        bytes.swap(a, b);
        (bytes == before) == Snapshot::decode(&bytes).is_ok()
    }

    fn snapshot_with_a_flipped_bit_is_rejected(steps: Vec<Step>, at: usize, bit: u8) -> bool {
        let mut bytes = snapshot(&steps, 9).encode().expect("the snapshot is encodable");
        let at = at % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        Snapshot::decode(&bytes).is_err()
    }

    fn random_bytes_are_rejected(bytes: Vec<u8>) -> bool {
        // Bytes after a valid header are decoded as content, which may be a small valid snapshot by chance.
        let file = framed(&bytes);
        let read = Snapshot::decode(&file);
        let entries_fit = read.map_or(true, |snapshot| SCOPES.iter().all(|scope| snapshot.tables.entries(*scope).all(|(_, entry)| entry.fits(*scope))));
        Snapshot::decode(&bytes).is_err() && entries_fit
    }
}

/// Returns the content with a valid header in front.
fn framed(content: &[u8]) -> Vec<u8> {
    let mut file = [&MAGIC[..], &[FORMAT_VERSION]].concat();
    file.extend(crc32fast::hash(content).to_be_bytes());
    file.extend(content);
    file
}

/// Returns the error for a snapshot with these entries.
fn decode_error(scopes: &[(Scope, Vec<(Key, Entry)>)]) -> String {
    let content = postcard::to_allocvec(&(9u64, 8u64, scopes)).expect("the content is encodable");
    Snapshot::decode(&framed(&content)).expect_err("the content is invalid").to_string()
}

#[test]
fn invalid_content_with_a_valid_checksum_is_rejected() {
    let quota = |key| (Key(key), Entry::Quota(5));
    let valid = [(Scope::Tenants(1), vec![quota(1), quota(2)]), (Scope::Tenants(2), vec![quota(1)])];
    let content = postcard::to_allocvec(&(9u64, 8u64, &valid[..])).expect("the content is encodable");
    let read = Snapshot::decode(&framed(&content)).expect("the snapshot is valid");
    assert_eq!((read.known, read.in_force, read.tables.len(Scope::Tenants(1))), (9, 8, 2));

    let mut invalid = vec![
        vec![(Scope::Tenants(1), vec![quota(2), quota(1)])],
        vec![(Scope::Tenants(1), vec![quota(1), quota(1)])],
        vec![(Scope::Hosts(1), vec![quota(1)])],
        vec![(Scope::Tenants(1), vec![quota(1), (Key(2), Entry::Zone(true))])],
        vec![(Scope::Tenants(1), vec![])],
    ];
    invalid.push(vec![valid[1].clone(), valid[0].clone()]);
    invalid.push(vec![valid[0].clone(), valid[0].clone()]);
    for scopes in invalid {
        let message = decode_error(&scopes);
        assert!(
            message.contains("expected scopes in order, each with entries that fit it"),
            "unexpected error {message:?} for {scopes:?}"
        );
    }
    let trailing = [&content[..], &[0]].concat();
    assert!(
        matches!(Snapshot::decode(&framed(&trailing)), Err(SnapshotError::Content(reason)) if reason == "1 trailing bytes")
    );
    // A length of 2^62 entries without any entry must not reserve memory.
    let huge_length =
        [&content[..2], &[1, 4, 1], &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x3f]].concat();
    assert!(matches!(Snapshot::decode(&framed(&huge_length)), Err(SnapshotError::Content(_))));
}

#[test]
fn error_of_a_rejected_snapshot_says_what_was_expected() {
    let bytes = snapshot(&[], 9).encode().expect("the snapshot is encodable");
    let error_text = |bytes: &[u8]| Snapshot::decode(bytes).expect_err("the bytes are rejected").to_string();
    assert_eq!(error_text(&bytes[..HEADER_BYTES - 1]), "snapshot has 8 bytes, expected at least 9");
    assert_eq!(error_text(b"{\"hosts\": []}"), "not a snapshot: expected the bytes to begin with \"tern\"");
    assert_eq!(error_text(b"tern\x07and more"), "snapshot has format 7, expected 1");
    let mut damaged = bytes.clone();
    damaged[HEADER_BYTES] ^= 1;
    assert!(error_text(&damaged).starts_with("snapshot has checksum "), "{}", error_text(&damaged));
}

#[test]
fn entry_that_does_not_fit_its_scope_is_ignored() {
    let mut tables = Tables::new();
    tables.set(Scope::Tenants(1), Key(1), 1, Some(Entry::Quota(5)));
    let before = tables.digest(Scope::Tenants(1));
    tables.set(Scope::Tenants(1), Key(1), 2, Some(Entry::Zone(true)));
    tables.set(Scope::Hosts(1), Key(1), 2, Some(Entry::Zone(true)));
    assert_eq!(tables.get(Scope::Tenants(1), Key(1)), Some(Entry::Quota(5)));
    assert_eq!(tables.digest(Scope::Tenants(1)), before);
    assert_eq!(tables.scopes().count(), 1);
}

/// Spare capacity is at most a sixteenth of the entries and one more, and at most twice that after removals.
#[test]
fn memory_follows_the_number_of_entries() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut tables = Tables::new();
    let keys: Vec<Key> = (0..5000).map(|_| Key(rng.random())).collect();
    let scope = Scope::Tenants(1);
    tables.set(scope, Key(1), 1, Some(Entry::Quota(1)));
    let overhead_bytes = tables.memory_bytes() - 12;
    tables.set(scope, Key(1), 1, None);
    assert_eq!(tables.memory_bytes(), 0);
    for (n, key) in keys.iter().enumerate() {
        tables.set(scope, *key, 1, Some(Entry::Quota(1)));
        let bytes = tables.memory_bytes() - overhead_bytes;
        assert!(bytes >= 12 * (n + 1) && bytes <= 12 * (n + 1 + n / 16), "{bytes} bytes after entry {n}");
    }
    let bytes = Snapshot { known: 1, in_force: 1, tables: tables.clone() }
        .encode()
        .expect("the snapshot is encodable");
    let read = Snapshot::decode(&bytes).expect("the snapshot is valid").tables;
    assert_eq!(read.memory_bytes() - overhead_bytes, 12 * 5000);
    for (n, key) in keys.iter().enumerate().take(4999) {
        tables.set(scope, *key, 1, None);
        let (bytes, left) = (tables.memory_bytes() - overhead_bytes, 4999 - n);
        assert!(
            bytes >= 12 * left && bytes <= 12 * (left + 2 * (left / 16 + 1)),
            "{bytes} bytes for {left} entries"
        );
    }
    tables.remove_scope(scope);
    assert_eq!(tables.memory_bytes(), 0);
}
