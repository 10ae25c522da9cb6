//! The store compared with a naive model: a follower that fetches chunk by chunk from any store, while
//! revisions come into force and tombstones are purged, reaches the state of the model, or learns from the
//! digest that it has not.
use model::{change, digest, Entries, Model, SCOPES};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use ternstack_replication::scope::{ChangeSet, Revision, Scope};
use ternstack_replication::storage::Storage;
use ternstack_replication::store::Store;
use ternstack_replication::wire::{ChunkEntry, Cursor, ScopeChunk};

mod model;

/// Applies a chunk as a follower does, checks the order of its entries, and returns the cursor after the chunk.
fn apply_chunk(chunk: &ScopeChunk, from: Cursor, entries: &mut Entries) -> Cursor {
    if chunk.restart {
        entries.clear();
    }
    let mut cursor = if chunk.restart { Cursor::default() } else { from };
    let from_start = cursor.revision == 0;
    for ChunkEntry { revision, key, entry } in &chunk.entries {
        let at = Cursor { revision: *revision, key: key.0 };
        assert!(at > cursor, "{at:?} is not after {cursor:?}");
        assert!(!from_start || entry.is_some(), "a fetch from the start contains a tombstone");
        cursor = at;
        match entry {
            Some(entry) => drop(entries.insert(*key, *entry)),
            None => drop(entries.remove(key)),
        }
    }
    cursor
}

/// A follower of one scope.
struct Follower {
    scope: Scope,
    entries: Entries,
    cursor: Cursor,
    /// The index of the lessor that the follower fetches from.
    lessor: usize,
    /// The follower knows all removals up to this revision.
    known: Revision,
    is_fetching: bool,
    /// How many fetches reached the state of the model, and how many ended with another digest.
    completed_fetches: [usize; 2],
}

/// A store, with the last revision whose removals the store may not know.
struct Lessor {
    store: Store,
    purged_until: Revision,
}

struct Simulation {
    rng: ChaCha8Rng,
    model: Model,
    /// The first lessor gets all revisions from the model; the others get them from the first.
    lessors: Vec<Lessor>,
    followers: Vec<Follower>,
    keys: u64,
    /// Whether tombstones are purged even if a fetch in progress may need them.
    purges_needed: bool,
}

impl Simulation {
    fn new(seed: u64, purges_needed: bool) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let keys = if rng.random_bool(0.5) { 6 } else { 40 };
        let follower = |n: usize| Follower {
            scope: SCOPES[n % SCOPES.len()],
            entries: Entries::new(),
            cursor: Cursor::default(),
            lessor: 0,
            known: 0,
            is_fetching: false,
            completed_fetches: [0; 2],
        };
        let lessor = |_| Lessor { store: Store::new(), purged_until: 0 };
        let (lessors, followers) = ((0..3).map(lessor).collect(), (0..18).map(follower).collect());
        Simulation { rng, model: Model::new(), lessors, followers, keys, purges_needed }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..20) {
            0..=3 => {
                let removal_probability = if self.rng.random_bool(0.3) { 0.8 } else { 0.2 };
                let count = self.rng.random_range(0..6);
                let changes =
                    (0..count).map(|_| change(&mut self.rng, self.keys, removal_probability)).collect();
                let change_set = self.model.add_revision(changes);
                self.lessors[0].store.add_pending(change_set);
            }
            4 | 5 => {
                let store = &mut self.lessors[0].store;
                let revision = self.rng.random_range(store.in_force()..=store.through());
                store.advance_to(revision);
            }
            6 => self.purge(),
            7 => self.update_lessor(),
            _ => self.fetch(),
        }
    }

    /// Purges tombstones; unless `purges_needed` is set, only tombstones that no fetch in progress needs.
    fn purge(&mut self) {
        let at = self.rng.random_range(0..self.lessors.len());
        let fetching = self
            .followers
            .iter()
            .filter(|follower| follower.is_fetching && follower.lessor == at)
            .map(|follower| follower.known + 1);
        let lessor = &mut self.lessors[at];
        let bound = if self.purges_needed {
            lessor.store.in_force()
        } else {
            lessor.store.in_force().min(fetching.min().unwrap_or(Revision::MAX))
        };
        let before = bound.saturating_sub(self.rng.random_range(0..10));
        lessor.store.purge_tombstones(before);
        lessor.purged_until = lessor.purged_until.max(before.saturating_sub(1));
    }

    /// Brings another store up to date with the first one: by revisions, by chunks, or by chunks into an empty
    /// store.
    fn update_lessor(&mut self) {
        let at = self.rng.random_range(1..self.lessors.len());
        let is_in_use = self.followers.iter().any(|follower| follower.is_fetching && follower.lessor == at);
        let (first, others) = self.lessors.split_at_mut(1);
        let (first, to) = (&first[0].store, &mut others[at - 1]);
        // The store may fetch scopes from the start here, and then knows no earlier removals, which a fetch in
        // progress may need.
        if is_in_use && !self.purges_needed {
            return;
        }
        let restarts = self.rng.random_bool(0.2);
        if restarts {
            to.store = Store::new();
        }
        let known = to.store.in_force();
        if known > 0 && self.rng.random_bool(0.5) {
            // The store gets all missing revisions from the model.
            for revision in known + 1..=first.in_force() {
                to.store.add_pending(ChangeSet {
                    revision,
                    changes: self.model.revisions[revision as usize - 1].clone(),
                });
            }
        } else {
            let scopes: Vec<Scope> =
                if known == 0 { first.scopes().collect() } else { first.changed_since(known).collect() };
            for scope in scopes {
                let mut cursor = if known == 0 { Cursor::default() } else { Cursor::after(known) };
                // The first store does not change here, and each chunk has at least one entry.
                for chunks in 0.. {
                    assert!(chunks <= 2 + first.len(scope) + first.tombstones(), "{scope:?} from {cursor:?}");
                    let chunk = first.chunk(scope, cursor, self.rng.random_range(0..300));
                    if chunk.restart || known == 0 && cursor == Cursor::default() {
                        Storage::clear(&mut to.store, scope);
                        to.purged_until = to.purged_until.max(first.in_force());
                    }
                    for ChunkEntry { revision, key, entry } in &chunk.entries {
                        Storage::set(&mut to.store, scope, *key, *revision, *entry);
                        cursor = Cursor { revision: *revision, key: key.0 };
                    }
                    if let Some(digest) = chunk.final_digest {
                        assert_eq!(to.store.digest(scope), digest);
                        break;
                    }
                }
            }
        }
        if restarts {
            to.purged_until = first.in_force();
        }
        to.store.advance_to(first.in_force());
    }

    fn fetch(&mut self) {
        let at = self.rng.random_range(0..self.followers.len());
        let follower = &mut self.followers[at];
        if !follower.is_fetching {
            follower.lessor = self.rng.random_range(0..self.lessors.len());
            let store = &self.lessors[follower.lessor].store;
            // A follower does not fetch from a store that is older than the follower's state.
            if store.in_force() < follower.known
                || follower.cursor == Cursor::default() && store.in_force() == 0
            {
                return;
            }
            if self.rng.random_bool(0.1) {
                (follower.cursor, follower.entries) = (Cursor::default(), Entries::new());
            }
            if follower.cursor == Cursor::default() {
                follower.known = store.in_force();
            }
            follower.is_fetching = true;
        }
        let lessor = &self.lessors[follower.lessor];
        let (store, from) = (&lessor.store, follower.cursor);
        let chunk = store.chunk(follower.scope, from, self.rng.random_range(0..200));
        assert!(chunk.final_digest.is_some() || !chunk.entries.is_empty());
        if chunk.restart {
            follower.known = store.in_force();
        }
        follower.cursor = apply_chunk(&chunk, from, &mut follower.entries);
        let Some(final_digest) = chunk.final_digest else { return };
        let matches_model = follower.entries == self.model.entries_at(store.in_force(), follower.scope);
        assert_eq!(
            matches_model,
            digest(follower.scope, &follower.entries) == final_digest,
            "the digest matches exactly if the entries do"
        );
        let may_differ = lessor.purged_until > follower.known;
        assert!(matches_model || may_differ, "{:?} from {from:?} at {}", follower.scope, store.in_force());
        follower.completed_fetches[usize::from(!matches_model)] += 1;
        follower.is_fetching = false;
        follower.known = if matches_model { store.in_force() } else { 0 };
        follower.cursor = if matches_model { Cursor::after(store.in_force()) } else { Cursor::default() };
        if !matches_model {
            follower.entries.clear();
        }
    }

    fn check(&mut self) {
        for (at, lessor) in self.lessors.iter().enumerate() {
            let store = &lessor.store;
            self.model.assert_matches(store);
            let from = self.rng.random_range(store.complete_from()..=store.in_force());
            let returned: Vec<Scope> = store.changed_since(from).collect();
            let set: BTreeSet<Scope> = returned.iter().copied().collect();
            assert_eq!(set.len(), returned.len(), "each scope is returned once");
            let changed = self.model.changed(from, store.in_force());
            assert!(set.is_superset(&changed), "returned {set:?}, expected at least {changed:?}");
            // A store that fetched a scope from the start may report more scopes, because it does not know what
            // it missed.
            assert!(at > 0 || set == changed, "returned {set:?}, expected {changed:?}");
        }
        let store = &self.lessors[0].store;
        let from = self.rng.random_range(0..=store.through());
        let revisions: Vec<Revision> =
            store.pending_since(from).map(|change_set| change_set.revision).collect();
        assert_eq!(revisions, (from.max(store.in_force()) + 1..=store.through()).collect::<Vec<_>>());
    }
}

/// Runs a simulation per seed, and returns how many fetches ended with the state of the model, and how many
/// with another digest.
fn run_simulations(seeds: std::ops::Range<u64>, purges_needed: bool) -> [usize; 2] {
    let mut fetches = [0; 2];
    for seed in seeds {
        let mut simulation = Simulation::new(seed, purges_needed);
        for step in 0..600 {
            simulation.step();
            if step % 10 == 0 {
                simulation.check();
            }
        }
        for follower in &simulation.followers {
            fetches[0] += follower.completed_fetches[0];
            fetches[1] += follower.completed_fetches[1];
        }
    }
    fetches
}

#[test]
fn followers_that_fetch_by_chunks_reach_the_state_of_the_model() {
    let [matching, differing] = run_simulations(0..60, false);
    assert!(
        matching > 3000 && differing == 0,
        "{matching} fetches ended with the state of the model, {differing} with another digest"
    );
}

#[test]
fn tombstones_purged_during_a_fetch_are_detected_by_the_digest() {
    let [matching, differing] = run_simulations(100..160, true);
    assert!(
        matching > 3000 && differing > 0 && differing < matching / 20,
        "{matching} fetches ended with the state of the model, {differing} with another digest"
    );
}
