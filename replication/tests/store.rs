//! The store against a naive model: a follower that fetches chunk by chunk, from any store, while revisions come into force
//! and tombstones are purged, ends with the state of the model, or learns from the digest that it does not.
use model::{change, digest, Held, Model, SCOPES};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use ternstack_replication::scope::{ChangeSet, Revision, Scope};
use ternstack_replication::storage::Storage;
use ternstack_replication::store::Store;
use ternstack_replication::wire::{ChunkEntry, Cursor, ScopeChunk};

mod model;

/// Takes a part as a follower does, and makes sure that it is in order.
fn take(part: &ScopeChunk, from: Cursor, held: &mut Held) -> Cursor {
    if part.restart {
        held.clear();
    }
    let mut cursor = if part.restart { Cursor::default() } else { from };
    let started = cursor.revision == 0;
    for ChunkEntry { revision: changed, key, entry } in &part.entries {
        let at = Cursor { revision: *changed, key: key.0 };
        assert!(at > cursor, "{at:?} is not after {cursor:?}");
        assert!(!started || entry.is_some(), "a new start tells of what is gone");
        cursor = at;
        match entry {
            Some(entry) => drop(held.insert(*key, *entry)),
            None => drop(held.remove(key)),
        }
    }
    cursor
}

/// One scope as a follower has it.
struct Follower {
    scope: Scope,
    held: Held,
    cursor: Cursor,
    /// The store it fetches from.
    from: usize,
    /// Removals after this version are still to be told.
    needs: Revision,
    fetches: bool,
    /// How many fetches ended well, and how many were told by the digest to begin anew.
    ends: [usize; 2],
}

/// A store with what it may have lost: removals up to this version.
struct Lessor {
    store: Store,
    lost: Revision,
}

struct Simulation {
    rng: ChaCha8Rng,
    model: Model,
    /// The first has all versions; the others follow it.
    lessors: Vec<Lessor>,
    followers: Vec<Follower>,
    keys: u64,
    /// Removals that a fetch under way may need are forgotten too.
    rough: bool,
}

impl Simulation {
    fn new(seed: u64, rough: bool) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let keys = if rng.random_bool(0.5) { 6 } else { 40 };
        let follower = |n: usize| Follower {
            scope: SCOPES[n % SCOPES.len()],
            held: Held::new(),
            cursor: Cursor::default(),
            from: 0,
            needs: 0,
            fetches: false,
            ends: [0; 2],
        };
        let lessor = |_| Lessor { store: Store::new(), lost: 0 };
        let (lessors, followers) = ((0..3).map(lessor).collect(), (0..18).map(follower).collect());
        Simulation { rng, model: Model::new(), lessors, followers, keys, rough }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..20) {
            0..=3 => {
                let removes = if self.rng.random_bool(0.3) { 0.8 } else { 0.2 };
                let count = self.rng.random_range(0..6);
                let changes = (0..count).map(|_| change(&mut self.rng, self.keys, removes)).collect();
                let version = self.model.next(changes);
                self.lessors[0].store.add_pending(version);
            }
            4 | 5 => {
                let store = &mut self.lessors[0].store;
                let number = self.rng.random_range(store.in_force()..=store.through());
                store.advance_to(number);
            }
            6 => self.forget(),
            7 => self.pass_on(),
            _ => self.fetch(),
        }
    }

    /// Removals are forgotten; unless it is rough, only those that no fetch under way needs.
    fn forget(&mut self) {
        let at = self.rng.random_range(0..self.lessors.len());
        let fetching = self.followers.iter().filter(|f| f.fetches && f.from == at).map(|f| f.needs + 1);
        let lessor = &mut self.lessors[at];
        let bound = if self.rough {
            lessor.store.in_force()
        } else {
            lessor.store.in_force().min(fetching.min().unwrap_or(Revision::MAX))
        };
        let before = bound.saturating_sub(self.rng.random_range(0..10));
        lessor.store.purge_tombstones(before);
        lessor.lost = lessor.lost.max(before.saturating_sub(1));
    }

    /// A store behind the first gets what that has: by versions, by pieces, or from nothing.
    fn pass_on(&mut self) {
        let at = self.rng.random_range(1..self.lessors.len());
        let serves = self.followers.iter().any(|f| f.fetches && f.from == at);
        let (first, others) = self.lessors.split_at_mut(1);
        let (first, to) = (&first[0].store, &mut others[at - 1]);
        // It begins scopes anew here, of which it then knows no removals before.
        if serves && !self.rough {
            return;
        }
        let restarts = self.rng.random_bool(0.2);
        if restarts {
            to.store = Store::new();
        }
        let known = to.store.in_force();
        if known > 0 && self.rng.random_bool(0.5) {
            // All versions still pending at the first, and those in force as the model has them.
            for number in known + 1..=first.in_force() {
                to.store.add_pending(ChangeSet {
                    revision: number,
                    changes: self.model.versions[number as usize - 1].clone(),
                });
            }
        } else {
            let whole: Vec<Scope> =
                if known == 0 { first.scopes().collect() } else { first.changed_since(known).collect() };
            for scope in whole {
                let mut cursor = if known == 0 { Cursor::default() } else { Cursor::after(known) };
                // The first stands still here, and each piece has an entry at least.
                for pieces in 0.. {
                    assert!(pieces <= 2 + first.len(scope) + first.tombstones(), "{scope:?} from {cursor:?}");
                    let part = first.chunk(scope, cursor, self.rng.random_range(0..300));
                    if part.restart || known == 0 && cursor == Cursor::default() {
                        Storage::clear(&mut to.store, scope);
                        to.lost = to.lost.max(first.in_force());
                    }
                    for ChunkEntry { revision: changed, key, entry } in &part.entries {
                        Storage::set(&mut to.store, scope, *key, *changed, *entry);
                        cursor = Cursor { revision: *changed, key: key.0 };
                    }
                    if let Some(digest) = part.final_digest {
                        assert_eq!(to.store.digest(scope), digest);
                        break;
                    }
                }
            }
        }
        if restarts {
            to.lost = first.in_force();
        }
        to.store.advance_to(first.in_force());
    }

    fn fetch(&mut self) {
        let at = self.rng.random_range(0..self.followers.len());
        let follower = &mut self.followers[at];
        if !follower.fetches {
            follower.from = self.rng.random_range(0..self.lessors.len());
            let store = &self.lessors[follower.from].store;
            // Nobody goes back, and who knows less than a store tells of takes its scopes for behind, as done here.
            if store.in_force() < follower.needs
                || follower.cursor == Cursor::default() && store.in_force() == 0
            {
                return;
            }
            if self.rng.random_bool(0.1) {
                (follower.cursor, follower.held) = (Cursor::default(), Held::new());
            }
            if follower.cursor == Cursor::default() {
                follower.needs = store.in_force();
            }
            follower.fetches = true;
        }
        let lessor = &self.lessors[follower.from];
        let (store, from) = (&lessor.store, follower.cursor);
        let part = store.chunk(follower.scope, from, self.rng.random_range(0..200));
        assert!(part.final_digest.is_some() || !part.entries.is_empty());
        if part.restart {
            follower.needs = store.in_force();
        }
        follower.cursor = take(&part, from, &mut follower.held);
        let Some(sum) = part.final_digest else { return };
        let right = follower.held == self.model.at(store.in_force(), follower.scope);
        assert_eq!(right, digest(follower.scope, &follower.held) == sum, "the digest tells");
        let excused = lessor.lost > follower.needs;
        assert!(right || excused, "{:?} from {from:?} at {}", follower.scope, store.in_force());
        follower.ends[usize::from(!right)] += 1;
        follower.fetches = false;
        follower.needs = if right { store.in_force() } else { 0 };
        follower.cursor = if right { Cursor::after(store.in_force()) } else { Cursor::default() };
        if !right {
            follower.held.clear();
        }
    }

    fn agrees(&mut self) {
        for (at, lessor) in self.lessors.iter().enumerate() {
            let store = &lessor.store;
            self.model.agrees(store);
            let from = self.rng.random_range(store.complete_from()..=store.in_force());
            let told: Vec<Scope> = store.changed_since(from).collect();
            let set: BTreeSet<Scope> = told.iter().copied().collect();
            assert_eq!(set.len(), told.len(), "each once");
            let changed = self.model.changed(from, store.in_force());
            assert!(set.is_superset(&changed), "{set:?} {changed:?}");
            // A store that began a scope anew may say more of it, as it can't tell what it missed.
            assert!(at > 0 || set == changed, "{set:?} {changed:?}");
        }
        let store = &self.lessors[0].store;
        let from = self.rng.random_range(0..=store.through());
        let numbers: Vec<Revision> = store.pending_since(from).map(|version| version.revision).collect();
        assert_eq!(numbers, (from.max(store.in_force()) + 1..=store.through()).collect::<Vec<_>>());
    }
}

fn play(seeds: std::ops::Range<u64>, rough: bool) -> [usize; 2] {
    let mut ends = [0; 2];
    for seed in seeds {
        let mut world = Simulation::new(seed, rough);
        for step in 0..600 {
            world.step();
            if step % 10 == 0 {
                world.agrees();
            }
        }
        for follower in &world.followers {
            ends[0] += follower.ends[0];
            ends[1] += follower.ends[1];
        }
    }
    ends
}

#[test]
fn whoever_fetches_piece_by_piece_ends_with_what_the_model_has() {
    let [well, anew] = play(0..60, false);
    assert!(well > 3000 && anew == 0, "{well} {anew}");
}

#[test]
fn removals_forgotten_within_a_fetch_are_detected_by_the_digest() {
    let [well, anew] = play(100..160, true);
    assert!(well > 3000 && anew > 0 && anew < well / 20, "{well} {anew}");
}
