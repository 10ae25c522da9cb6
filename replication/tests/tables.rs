//! A gateway's tables against a map, and their snapshot on disk: it comes back as it was, and other bytes are refused.
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

/// Any entry of any kind, with the ends of what a field may be among them.
fn entry(g: &mut Gen) -> Entry {
    let repeats = [RetryPolicy::Never, RetryPolicy::Within(u64::arbitrary(g)), RetryPolicy::Always];
    let repeat = *g.choose(&repeats).expect("one");
    let host = Host {
        address: SocketAddrV4::new(Ipv4Addr::from(u32::arbitrary(g)), u16::arbitrary(g)),
        zone: u16::arbitrary(g),
        draining: bool::arbitrary(g),
        weight_milli: u32::arbitrary(g),
        started_s: u32::arbitrary(g),
    };
    match u8::arbitrary(g) % 5 {
        0 => Entry::Host(host),
        1 => Entry::Route(Route { class: u16::arbitrary(g), retry_policy: repeat }),
        2 => Entry::Quota(u32::arbitrary(g)),
        3 => Entry::RetryPolicy(repeat),
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
        let scope = *g.choose(&SCOPES).expect("one");
        if u8::arbitrary(g).is_multiple_of(50) {
            return Step::Clear(scope);
        }
        let key = if bool::arbitrary(g) { u64::from(u8::arbitrary(g) % 16) } else { u64::arbitrary(g) };
        let fitting = std::iter::repeat_with(|| entry(g)).find(|entry| entry.fits(scope));
        Step::Set(scope, Key(key), fitting.filter(|_| !u8::arbitrary(g).is_multiple_of(3)))
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

fn of(map: &Map, scope: Scope) -> Vec<(Key, Entry)> {
    map.iter().filter(|((other, _), _)| *other == scope).map(|((_, key), entry)| (*key, *entry)).collect()
}

fn agrees(tables: &Tables, map: &Map) {
    let mut sum = Digest::default();
    for scope in SCOPES {
        let held = of(map, scope);
        let mut digest = Digest::default();
        held.iter().for_each(|(key, entry)| digest.add(scope, *key, entry));
        assert_eq!(tables.digest(scope), digest);
        assert_eq!(tables.len(scope), held.len());
        assert_eq!(tables.entries(scope).collect::<Vec<_>>(), held);
        for (key, entry) in held {
            assert_eq!(tables.get(scope, key), Some(entry));
        }
        sum.join(digest);
    }
    assert_eq!(tables.total_digest(), sum);
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
    fn tables_are_as_a_map(steps: Vec<Step>) -> bool {
        let (mut tables, mut map) = (Tables::new(), Map::new());
        for step in &steps {
            apply(step, &mut tables, &mut map);
            agrees(&tables, &map);
            if let Step::Set(scope, key, _) = step {
                assert_eq!(tables.get(*scope, *key), map.get(&(*scope, *key)).copied());
            }
        }
        SCOPES.into_iter().for_each(|scope| tables.remove_scope(scope));
        tables.is_empty() && tables.memory_bytes() == 0
    }

    fn a_snapshot_comes_back(steps: Vec<Step>, known: u64) -> bool {
        let snapshot = snapshot(&steps, known);
        let back = Snapshot::decode(&snapshot.encode().expect("bytes")).expect("a snapshot");
        let digests = |s: &Snapshot| SCOPES.map(|scope| s.tables.digest(scope));
        back == snapshot && digests(&back) == digests(&snapshot) && back.tables.memory_bytes() <= snapshot.tables.memory_bytes()
    }

    fn a_cut_snapshot_is_refused(steps: Vec<Step>, at: usize) -> bool {
        let bytes = snapshot(&steps, 9).encode().expect("bytes");
        Snapshot::decode(&bytes[..at % bytes.len()]).is_err()
    }

    fn a_snapshot_with_more_after_it_is_refused(steps: Vec<Step>, more: Vec<u8>) -> bool {
        let mut bytes = snapshot(&steps, 9).encode().expect("bytes");
        let doubled = [bytes.clone(), bytes.clone()].concat();
        bytes.extend(&more);
        more.is_empty() == Snapshot::decode(&bytes).is_ok() && Snapshot::decode(&doubled).is_err()
    }

    fn a_snapshot_with_swapped_bytes_is_refused(steps: Vec<Step>, a: usize, b: usize) -> bool {
        let mut bytes = snapshot(&steps, 9).encode().expect("bytes");
        let before = bytes.clone();
        let (a, b) = (a % bytes.len(), b % bytes.len());
        bytes.swap(a, b);
        (bytes == before) == Snapshot::decode(&bytes).is_ok()
    }

    fn a_snapshot_with_another_bit_is_refused(steps: Vec<Step>, at: usize, bit: u8) -> bool {
        let mut bytes = snapshot(&steps, 9).encode().expect("bytes");
        let at = at % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        Snapshot::decode(&bytes).is_err()
    }

    fn random_bytes_are_refused(bytes: Vec<u8>) -> bool {
        // Behind a right header they reach the content, which may be a small snapshot by chance.
        let whole = framed(&bytes);
        let read = Snapshot::decode(&whole);
        let fits = read.map_or(true, |snapshot| SCOPES.iter().all(|s| snapshot.tables.entries(*s).all(|(_, e)| e.fits(*s))));
        Snapshot::decode(&bytes).is_err() && fits
    }
}

fn framed(content: &[u8]) -> Vec<u8> {
    let mut whole = [&MAGIC[..], &[FORMAT_VERSION]].concat();
    whole.extend(crc32fast::hash(content).to_be_bytes());
    whole.extend(content);
    whole
}

/// What is wrong with a snapshot of these entries.
fn refused(scopes: &[(Scope, Vec<(Key, Entry)>)]) -> String {
    let content = postcard::to_allocvec(&(9u64, 8u64, scopes)).expect("bytes");
    Snapshot::decode(&framed(&content)).expect_err("not a snapshot").to_string()
}

#[test]
fn a_sum_that_is_right_does_not_make_a_snapshot() {
    let quota = |key| (Key(key), Entry::Quota(5));
    let well = [(Scope::Tenants(1), vec![quota(1), quota(2)]), (Scope::Tenants(2), vec![quota(1)])];
    let content = postcard::to_allocvec(&(9u64, 8u64, &well[..])).expect("bytes");
    let read = Snapshot::decode(&framed(&content)).expect("a snapshot");
    assert_eq!((read.known, read.in_force, read.tables.len(Scope::Tenants(1))), (9, 8, 2));

    let mut wrong = vec![
        vec![(Scope::Tenants(1), vec![quota(2), quota(1)])],
        vec![(Scope::Tenants(1), vec![quota(1), quota(1)])],
        vec![(Scope::Hosts(1), vec![quota(1)])],
        vec![(Scope::Tenants(1), vec![quota(1), (Key(2), Entry::Zone(true))])],
        vec![(Scope::Tenants(1), vec![])],
    ];
    wrong.push(vec![well[1].clone(), well[0].clone()]);
    wrong.push(vec![well[0].clone(), well[0].clone()]);
    for scopes in wrong {
        let told = refused(&scopes);
        assert!(
            told.contains("expected scopes in order, each with entries that fit it"),
            "{told} of {scopes:?}"
        );
    }
    let more = [&content[..], &[0]].concat();
    assert!(
        matches!(Snapshot::decode(&framed(&more)), Err(SnapshotError::Content(what)) if what == "1 bytes too many")
    );
    // A length of 2^62 entries with nothing behind it takes no memory.
    let long = [&content[..2], &[1, 4, 1], &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x3f]].concat();
    assert!(matches!(Snapshot::decode(&framed(&long)), Err(SnapshotError::Content(_))));
}

#[test]
fn a_snapshot_that_is_refused_says_what_was_expected() {
    let bytes = snapshot(&[], 9).encode().expect("bytes");
    let told = |bytes: &[u8]| Snapshot::decode(bytes).expect_err("refused").to_string();
    assert_eq!(told(&bytes[..HEADER_BYTES - 1]), "a snapshot of 8 bytes, expected 9 at least");
    assert_eq!(told(b"{\"hosts\": []}"), "not a snapshot: expected it to begin with \"tern\"");
    assert_eq!(told(b"tern\x07and more"), "a snapshot of format 7, expected 1");
    let mut other = bytes.clone();
    other[HEADER_BYTES] ^= 1;
    assert!(told(&other).starts_with("a snapshot whose bytes sum up to "), "{}", told(&other));
}

#[test]
fn an_entry_that_does_not_fit_its_scope_is_not_taken() {
    let mut tables = Tables::new();
    tables.set(Scope::Tenants(1), Key(1), 1, Some(Entry::Quota(5)));
    let before = tables.digest(Scope::Tenants(1));
    tables.set(Scope::Tenants(1), Key(1), 2, Some(Entry::Zone(true)));
    tables.set(Scope::Hosts(1), Key(1), 2, Some(Entry::Zone(true)));
    assert_eq!(tables.get(Scope::Tenants(1), Key(1)), Some(Entry::Quota(5)));
    assert_eq!(tables.digest(Scope::Tenants(1)), before);
    assert_eq!(tables.scopes().count(), 1);
}

/// Room for a sixteenth more, and one entry, at most; and after removals twice that.
#[test]
fn memory_is_by_need_and_given_back() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut tables = Tables::new();
    let keys: Vec<Key> = (0..5000).map(|_| Key(rng.random())).collect();
    let scope = Scope::Tenants(1);
    tables.set(scope, Key(1), 1, Some(Entry::Quota(1)));
    let around = tables.memory_bytes() - 12;
    tables.set(scope, Key(1), 1, None);
    assert_eq!(tables.memory_bytes(), 0);
    for (n, key) in keys.iter().enumerate() {
        tables.set(scope, *key, 1, Some(Entry::Quota(1)));
        let bytes = tables.memory_bytes() - around;
        assert!(bytes >= 12 * (n + 1) && bytes <= 12 * (n + 1 + n / 16), "{bytes} for {n}");
    }
    let bytes = Snapshot { known: 1, in_force: 1, tables: tables.clone() }.encode().expect("bytes");
    let read = Snapshot::decode(&bytes).expect("a snapshot").tables;
    assert_eq!(read.memory_bytes() - around, 12 * 5000);
    for (n, key) in keys.iter().enumerate().take(4999) {
        tables.set(scope, *key, 1, None);
        let (bytes, left) = (tables.memory_bytes() - around, 4999 - n);
        assert!(bytes >= 12 * left && bytes <= 12 * (left + 2 * (left / 16 + 1)), "{bytes} for {left}");
    }
    tables.remove_scope(scope);
    assert_eq!(tables.memory_bytes(), 0);
}
