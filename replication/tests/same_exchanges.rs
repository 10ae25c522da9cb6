//! The exact bytes that stores, tables and lessors return in random exchanges equal those of earlier versions.
use generator::{assert_fixture_lines, Generator, ObservationDigest};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::lessor::Lessor;
use ternstack_replication::progress::Progress;
use ternstack_replication::scope::{ChangeSet, Key, Scope};
use ternstack_replication::storage::Storage;
use ternstack_replication::store::Store;
use ternstack_replication::tables::Tables;
use ternstack_replication::wire::{Cursor, Member, Message, PollRequest, Subscription};

mod generator;

const SCOPES: [Scope; 9] = [
    Scope::Zones,
    Scope::Fleet,
    Scope::Hosts(1),
    Scope::Hosts(2),
    Scope::Hosts(3),
    Scope::Routes(1),
    Scope::Tenants(0),
    Scope::Tenants(1),
    Scope::Tenants(2),
];
/// The number of different keys in each scope of a random store.
const KEYS: u64 = 40;

fn member(name: String, incarnation: u64) -> Member {
    Member { name, incarnation }
}

#[test]
fn store_chunks_match_the_fixture() {
    let mut lines = Vec::new();
    for seed in 0..24 {
        let (mut generator, mut observations, mut store) =
            (Generator::new(seed), ObservationDigest::default(), Store::new());
        let mut known = 0;
        for step in 0..400 {
            match generator.below(10) {
                0..=3 => {
                    known += 1;
                    store.add_pending(generator.change_set(known, &SCOPES, KEYS));
                }
                4 | 5 => store.advance_to(known.saturating_sub(generator.below(3))),
                6 => {
                    let change = generator.change_set(store.in_force(), &SCOPES, KEYS).changes[0];
                    store.load(change.scope, change.key, store.in_force(), change.entry);
                }
                7 if generator.chance(0.3) => store.clear(SCOPES[generator.below(9) as usize]),
                8 => store.purge_tombstones(store.in_force().saturating_sub(generator.below(30))),
                _ => {}
            }
            assert_eq!(store.check(), Ok(()), "seed {seed}, step {step}");
            let scope = SCOPES[generator.below(9) as usize];
            let mut from = match generator.below(3) {
                0 => Cursor::default(),
                1 => Cursor::after(generator.below(known + 1)),
                _ => Cursor { revision: generator.below(known + 1), key: generator.below(KEYS) },
            };
            let max_bytes = generator.below(400) as usize;
            // The loop reads all chunks of a fetch, one after the other.
            for _ in 0..60 {
                let chunk = store.chunk(scope, from, max_bytes);
                observations.bytes(&postcard::to_allocvec(&chunk).expect("the chunk is encodable"));
                match (chunk.final_digest, chunk.entries.last()) {
                    (None, Some(last)) => from = Cursor { revision: last.revision, key: last.key.0 },
                    _ => break,
                }
            }
            let since = generator.below(known + 1);
            store.changed_since(since).for_each(|scope| observations.scope_and_key(scope, Key(0)));
            for change_set in store.pending_since(since) {
                observations.bytes(&postcard::to_allocvec(change_set).expect("the change set is encodable"));
            }
            observations.digest(store.total_digest());
            observations.number(store.in_force() << 32 | store.through());
            observations.number(store.complete_from() << 32 | store.tombstones() as u64);
            observations.number(store.memory_bytes() as u64);
            store.entries(scope).for_each(|(key, entry)| {
                observations.scope_and_key(scope, key);
                observations.entry(Some(entry));
            });
        }
        lines.push((format!("store-{seed}"), observations.finish()));
    }
    assert_fixture_lines("stores.txt", &lines);
}

#[test]
fn table_entries_and_memory_match_the_fixture() {
    let mut lines = Vec::new();
    for seed in 0..24 {
        let (mut generator, mut observations, mut tables) =
            (Generator::new(seed), ObservationDigest::default(), Tables::new());
        for step in 0..1500 {
            let scope = SCOPES[generator.below(9) as usize];
            let mut change = generator.change(scope, 300);
            if generator.chance(0.02) {
                let other = generator.any_scope();
                change.entry = Some(generator.entry_of(other));
            }
            tables.set(scope, change.key, step, change.entry);
            match generator.below(300) {
                0 => tables.clear(scope),
                1 => tables.remove_scope(scope),
                _ => {}
            }
            observations.entry(tables.get(scope, change.key));
            observations.digest(tables.digest(scope));
            observations.digest(tables.total_digest());
            observations.number(tables.len(scope) as u64);
            observations.number(tables.memory_bytes() as u64);
        }
        observations.bytes(&postcard::to_allocvec(&tables).expect("the tables are encodable"));
        lines.push((format!("tables-{seed}"), observations.finish()));
    }
    assert_fixture_lines("tables.txt", &lines);
}

/// Returns a store with thousands of entries in each scope, and with this many large pending revisions.
fn large_store(generator: &mut Generator, pending_revisions: u64) -> Store {
    let mut store = Store::new();
    let mut change_set = |revision, count| {
        let changes = (0..count).map(|_| {
            let scope = SCOPES[generator.below(9) as usize];
            generator.change(scope, 12_000)
        });
        ChangeSet { revision, changes: changes.collect() }
    };
    for revision in 1..=20 {
        store.add_pending(change_set(revision, 4_500));
    }
    store.advance_to(20);
    for revision in 21..=20 + pending_revisions {
        store.add_pending(change_set(revision, 1_600));
    }
    store
}

fn random_request(generator: &mut Generator, sequence: u64) -> PollRequest {
    let mut some_scopes =
        |probability: f64| SCOPES.into_iter().filter(|_| generator.chance(probability)).collect::<Vec<_>>();
    let (complete, fetched) = (some_scopes(0.3), some_scopes(0.4));
    let subscription = match generator.below(8) {
        0 => Subscription::AllScopes { generation: sequence },
        1 => Subscription::Unchanged { generation: sequence - 1 },
        2 => Subscription::Delta {
            from: sequence - 1,
            generation: sequence,
            added: complete,
            removed: fetched.clone(),
        },
        _ => Subscription::Complete { generation: sequence, scopes: complete },
    };
    let cursor = |generator: &mut Generator| match generator.below(3) {
        0 => Cursor::default(),
        1 => Cursor::after(generator.below(21)),
        _ => Cursor { revision: generator.below(21), key: generator.below(12_000) },
    };
    PollRequest {
        member: member(format!("g{}", generator.below(3)), 1),
        sequence,
        acknowledged: sequence - generator.below(2),
        known: generator.below(41),
        in_force: generator.below(21),
        subscription,
        fetch: fetched.into_iter().map(|scope| (scope, cursor(generator))).collect(),
    }
}

#[test]
fn responses_within_all_byte_budgets_match_the_fixture() {
    let mut lines = Vec::new();
    for seed in 0..4 {
        let mut generator = Generator::new(seed);
        for (name, max_bytes_per_s, lessors, pending_revisions) in
            [("small", 300, 800, 0), ("large", 900_000, 8, 20)]
        {
            let store = large_store(&mut generator, pending_revisions);
            let mut observations = ObservationDigest::default();
            for _ in 0..lessors {
                let bytes_per_s = (60 + generator.below(max_bytes_per_s)) as f64;
                let replica_bytes_per_s = (60 + generator.below(max_bytes_per_s)) as f64;
                let config =
                    LeaseConfig { bytes_per_s, replica_bytes_per_s, burst_s: 1.0, ..LeaseConfig::default() };
                let mut lessor = Lessor::new(config, 0.0);
                for sequence in 1..=4 {
                    let request = random_request(&mut generator, sequence);
                    let now = (sequence * generator.below(1_500)) as f64;
                    let max_lease_ms = generator.below(2_500) as f64;
                    let response = lessor.handle_poll(now, &store, max_lease_ms, &request);
                    observations.message(&Message::PollResponse(response));
                    for (member, Progress { known, in_force }) in lessor.holders(now) {
                        observations.bytes(member.name.as_bytes());
                        observations.number(known << 32 | in_force);
                    }
                }
            }
            lines.push((format!("{name}-{seed}"), observations.finish()));
        }
    }
    assert_fixture_lines("answers.txt", &lines);
}
