//! Chunks of a store: where a fetch restarts, how many bytes a chunk takes, and which changes a store ignores.
use model::change;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use ternstack_replication::scope::{Change, ChangeSet, Digest, Entry, Key, Scope};
use ternstack_replication::storage::Storage;
use ternstack_replication::store::Store;
use ternstack_replication::wire::{ChunkEntry, Cursor};

mod model;

/// Returns a store in which revision 1 sets this many entries and revision 2 removes some of them.
fn store_with_removals(entries: u64, removed: u64) -> Store {
    let mut store = Store::new();
    let change = |key, entry| Change { scope: Scope::Tenants(7), key: Key(key << 40), entry };
    let additions = (0..entries).map(|key| change(key, Some(Entry::Quota(5)))).collect();
    store.add_pending(ChangeSet { revision: 1, changes: additions });
    store
        .add_pending(ChangeSet { revision: 2, changes: (0..removed).map(|key| change(key, None)).collect() });
    store.advance_to(2);
    store
}

fn encoded_bytes<'a>(entries: impl IntoIterator<Item = &'a ChunkEntry>) -> usize {
    entries.into_iter().map(|entry| postcard::to_allocvec(entry).expect("the entry is encodable").len()).sum()
}

#[test]
fn fetch_restarts_where_a_restart_is_smaller() {
    let mut fetches_by_restart = [0; 2];
    for removed in 0..=100 {
        let store = store_with_removals(100, removed);
        let from_start = store.chunk(Scope::Tenants(7), Cursor::default(), usize::MAX).entries;
        assert_eq!(from_start.len(), 100 - removed as usize);
        let tombstones: Vec<_> =
            (0..removed).map(|key| ChunkEntry { revision: 2, key: Key(key << 40), entry: None }).collect();
        let restarts = encoded_bytes(&tombstones) > encoded_bytes(&from_start);
        let chunk = store.chunk(Scope::Tenants(7), Cursor::after(1), usize::MAX);
        assert_eq!(
            (chunk.restart, chunk.entries),
            (restarts, if restarts { from_start } else { tombstones }),
            "{removed} removals"
        );
        fetches_by_restart[usize::from(restarts)] += 1;
    }
    assert!(
        fetches_by_restart[0] > 10 && fetches_by_restart[1] > 10,
        "continued and restarted fetches: {fetches_by_restart:?}"
    );
}

#[test]
fn chunk_uses_its_byte_budget_without_exceeding_it() {
    let store = store_with_removals(100, 30);
    let complete = store.chunk(Scope::Tenants(7), Cursor::default(), usize::MAX);
    assert_eq!(
        (complete.entries.len(), complete.restart, complete.final_digest.is_some()),
        (70, false, true)
    );
    for max_bytes in 0..=encoded_bytes(&complete.entries) {
        let chunk = store.chunk(Scope::Tenants(7), Cursor::default(), max_bytes);
        let count = chunk.entries.len();
        assert!(
            count == 1 || encoded_bytes(&chunk.entries) <= max_bytes,
            "{} bytes of at most {max_bytes}",
            encoded_bytes(&chunk.entries)
        );
        assert_eq!(chunk.final_digest.is_some(), count == 70);
        let next_bytes = encoded_bytes(complete.entries.get(count));
        assert!(
            count == 70 || encoded_bytes(&chunk.entries) + next_bytes > max_bytes,
            "{} bytes of {max_bytes}, although the next entry fits",
            encoded_bytes(&chunk.entries)
        );
    }
}

#[test]
fn unknown_scope_is_complete_with_an_empty_chunk() {
    for from in [Cursor::default(), Cursor::after(5), Cursor { revision: 3, key: 9 }] {
        let chunk = Store::new().chunk(Scope::Hosts(9), from, 0);
        assert_eq!(chunk.restart, from != Cursor::default());
        assert_eq!((chunk.entries.len(), chunk.final_digest), (0, Some(Digest::default())));
    }
}

#[test]
fn late_duplicate_and_misplaced_changes_are_ignored() {
    let mut store = store_with_removals(9, 3);
    let (total, changed_scopes) = (store.total_digest(), |store: &Store| store.changed_since(0).count());
    store.add_pending(ChangeSet {
        revision: 2,
        changes: vec![change(&mut ChaCha8Rng::seed_from_u64(1), 9, 0.0)],
    });
    store.advance_to(1);
    store.advance_to(2);
    Storage::set(&mut store, Scope::Hosts(1), Key(1), 2, Some(Entry::Quota(5)));
    Storage::set(&mut store, Scope::Tenants(7), Key(5 << 40), 2, Some(Entry::Zone(true)));
    assert_eq!((store.total_digest(), store.in_force(), store.through()), (total, 2, 2));
    assert_eq!(changed_scopes(&store), 1, "no other scope has changed");
    store.check().expect("the store is consistent");

    let quota_change =
        |quota| Change { scope: Scope::Tenants(7), key: Key(1), entry: Some(Entry::Quota(quota)) };
    let misplaced = Change { scope: Scope::Hosts(1), key: Key(1), entry: Some(Entry::Quota(5)) };
    store.add_pending(ChangeSet { revision: 3, changes: vec![quota_change(1), misplaced] });
    store.add_pending(ChangeSet { revision: 3, changes: vec![quota_change(2)] });
    assert_eq!((store.in_force(), store.through(), store.entry(Scope::Tenants(7), Key(1))), (2, 3, None));
    store.advance_to(3);
    assert_eq!(store.entry(Scope::Tenants(7), Key(1)), Some(Entry::Quota(1)));
    assert_eq!((store.len(Scope::Hosts(1)), changed_scopes(&store)), (0, 1));
}

#[test]
fn cleared_scope_has_to_be_fetched_from_the_start() {
    let mut store = store_with_removals(9, 3);
    Storage::remove_scope(&mut store, Scope::Tenants(7));
    store.check().expect("the store is consistent");
    assert_eq!((store.is_empty(), store.tombstones(), store.total_digest()), (true, 0, Digest::default()));
    assert!(store.chunk(Scope::Tenants(7), Cursor::after(1), 99).restart);
    // Removals up to the next revision in force may be unknown as well, so followers have to fetch the scope
    // from the start.
    Storage::set(&mut store, Scope::Tenants(7), Key(1), 2, Some(Entry::Quota(1)));
    store.advance_to(5);
    assert!(store.chunk(Scope::Tenants(7), Cursor::after(4), 99).restart);
    assert!(!store.chunk(Scope::Tenants(7), Cursor::after(5), 99).restart);
    assert_eq!(store.changed_since(4).collect::<Vec<_>>(), [Scope::Tenants(7)]);
}
