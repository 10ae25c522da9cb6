//! Chunks of a store: where a fetch restarts, how many bytes a chunk takes, and what a store ignores.
use model::change;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use ternstack_replication::scope::{Change, ChangeSet, Digest, Entry, Key, Scope};
use ternstack_replication::storage::Storage;
use ternstack_replication::store::Store;
use ternstack_replication::wire::{ChunkEntry, Cursor};

mod model;

fn with_removals(entries: u64, removed: u64) -> Store {
    let mut store = Store::new();
    let change = |key, entry| Change { scope: Scope::Tenants(7), key: Key(key << 40), entry };
    let set = (0..entries).map(|key| change(key, Some(Entry::Quota(5)))).collect();
    store.add_pending(ChangeSet { revision: 1, changes: set });
    store
        .add_pending(ChangeSet { revision: 2, changes: (0..removed).map(|key| change(key, None)).collect() });
    store.advance_to(2);
    store
}

fn bytes<'a>(entries: impl IntoIterator<Item = &'a ChunkEntry>) -> usize {
    entries.into_iter().map(|entry| postcard::to_allocvec(entry).expect("bytes").len()).sum()
}

#[test]
fn a_new_start_is_given_where_it_is_smaller() {
    let mut kinds = [0; 2];
    for removed in 0..=100 {
        let store = with_removals(100, removed);
        let start = store.chunk(Scope::Tenants(7), Cursor::default(), usize::MAX).entries;
        assert_eq!(start.len(), 100 - removed as usize);
        let gone: Vec<_> =
            (0..removed).map(|key| ChunkEntry { revision: 2, key: Key(key << 40), entry: None }).collect();
        let anew = bytes(&gone) > bytes(&start);
        let part = store.chunk(Scope::Tenants(7), Cursor::after(1), usize::MAX);
        assert_eq!((part.restart, part.entries), (anew, if anew { start } else { gone }), "{removed}");
        kinds[usize::from(anew)] += 1;
    }
    assert!(kinds[0] > 10 && kinds[1] > 10, "{kinds:?}");
}

#[test]
fn a_piece_keeps_to_its_bytes_and_uses_them() {
    let store = with_removals(100, 30);
    let whole = store.chunk(Scope::Tenants(7), Cursor::default(), usize::MAX);
    assert_eq!((whole.entries.len(), whole.restart, whole.final_digest.is_some()), (70, false, true));
    for most in 0..=bytes(&whole.entries) {
        let part = store.chunk(Scope::Tenants(7), Cursor::default(), most);
        let taken = part.entries.len();
        assert!(taken == 1 || bytes(&part.entries) <= most, "{} of {most}", bytes(&part.entries));
        assert_eq!(part.final_digest.is_some(), taken == 70);
        let next = bytes(whole.entries.get(taken));
        assert!(taken == 70 || bytes(&part.entries) + next > most, "{} of {most}", bytes(&part.entries));
    }
}

#[test]
fn a_scope_that_nobody_heard_of_is_whole_at_once() {
    for from in [Cursor::default(), Cursor::after(5), Cursor { revision: 3, key: 9 }] {
        let part = Store::new().chunk(Scope::Hosts(9), from, 0);
        assert_eq!(part.restart, from != Cursor::default());
        assert_eq!((part.entries.len(), part.final_digest), (0, Some(Digest::default())));
    }
}

#[test]
fn what_is_late_doubled_or_does_not_fit_changes_nothing() {
    let mut store = with_removals(9, 3);
    let (sum, changed) = (store.total_digest(), |store: &Store| store.changed_since(0).count());
    store.add_pending(ChangeSet {
        revision: 2,
        changes: vec![change(&mut ChaCha8Rng::seed_from_u64(1), 9, 0.0)],
    });
    store.advance_to(1);
    store.advance_to(2);
    Storage::set(&mut store, Scope::Hosts(1), Key(1), 2, Some(Entry::Quota(5)));
    Storage::set(&mut store, Scope::Tenants(7), Key(5 << 40), 2, Some(Entry::Zone(true)));
    assert_eq!((store.total_digest(), store.in_force(), store.through()), (sum, 2, 2));
    assert_eq!(changed(&store), 1, "no scope more");
    store.check().expect("kept up by change");

    let version = |quota| Change { scope: Scope::Tenants(7), key: Key(1), entry: Some(Entry::Quota(quota)) };
    let misfit = Change { scope: Scope::Hosts(1), key: Key(1), entry: Some(Entry::Quota(5)) };
    store.add_pending(ChangeSet { revision: 3, changes: vec![version(1), misfit] });
    store.add_pending(ChangeSet { revision: 3, changes: vec![version(2)] });
    assert_eq!((store.in_force(), store.through(), store.entry(Scope::Tenants(7), Key(1))), (2, 3, None));
    store.advance_to(3);
    assert_eq!(store.entry(Scope::Tenants(7), Key(1)), Some(Entry::Quota(1)));
    assert_eq!((store.len(Scope::Hosts(1)), changed(&store)), (0, 1));
}

#[test]
fn a_scope_that_is_cleared_leaves_nothing_but_a_new_start() {
    let mut store = with_removals(9, 3);
    Storage::remove_scope(&mut store, Scope::Tenants(7));
    store.check().expect("kept up by change");
    assert_eq!((store.is_empty(), store.tombstones(), store.total_digest()), (true, 0, Digest::default()));
    assert!(store.chunk(Scope::Tenants(7), Cursor::after(1), 99).restart);
    // What was removed until it is next in force may be unknown too, and its followers have to hear of that.
    Storage::set(&mut store, Scope::Tenants(7), Key(1), 2, Some(Entry::Quota(1)));
    store.advance_to(5);
    assert!(store.chunk(Scope::Tenants(7), Cursor::after(4), 99).restart);
    assert!(!store.chunk(Scope::Tenants(7), Cursor::after(5), 99).restart);
    assert_eq!(store.changed_since(4).collect::<Vec<_>>(), [Scope::Tenants(7)]);
}
