//! The store against a naive model: whoever fetches piece by piece, from whichever store, while versions come into force
//! and removals are forgotten, ends with what the model has, or is told by the digest that it does not.
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Change, ChangeSet, Digest, Entry, Host, Key, Revision, Route, Scope};
use ternstack_replication::storage::Storage;
use ternstack_replication::store::Store;
use ternstack_replication::wire::{ChunkEntry, Cursor, ScopeChunk};

const SCOPES: [Scope; 6] =
    [Scope::Zones, Scope::Fleet, Scope::Hosts(1), Scope::Hosts(2), Scope::Routes(1), Scope::Tenants(7)];

type Held = BTreeMap<Key, Entry>;
type State = BTreeMap<Scope, Held>;

fn entry(scope: Scope, rng: &mut impl Rng) -> Entry {
    match scope {
        Scope::Zones => Entry::Zone(rng.random_bool(0.5)),
        Scope::Fleet => Entry::RetryPolicy(RetryPolicy::Within(rng.random_range(0..9))),
        Scope::Routes(_) => {
            Entry::Route(Route { class: rng.random_range(0..9), retry_policy: RetryPolicy::Always })
        }
        Scope::Tenants(_) => Entry::Quota(rng.random_range(0..100)),
        Scope::Hosts(_) => Entry::Host(Host {
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, rng.random_range(0..9)), 80),
            zone: rng.random_range(0..15),
            draining: rng.random_bool(0.3),
            weight_milli: 1000,
            started_s: rng.random(),
        }),
    }
}

fn change(rng: &mut impl Rng, keys: u64, removes: f64) -> Change {
    let scope = SCOPES[rng.random_range(0..SCOPES.len())];
    let entry = (!rng.random_bool(removes)).then(|| entry(scope, rng));
    Change { scope, key: Key(rng.random_range(0..keys)), entry }
}

fn digest(scope: Scope, held: &Held) -> Digest {
    let mut digest = Digest::default();
    held.iter().for_each(|(key, entry)| digest.add(scope, *key, entry));
    digest
}

/// The state at every version so far, and the versions that changed each scope.
#[derive(Default)]
struct Model {
    states: Vec<State>,
    versions: Vec<Vec<Change>>,
    changes: BTreeMap<Scope, BTreeSet<Revision>>,
}

impl Model {
    fn new() -> Model {
        Model { states: vec![State::new()], ..Model::default() }
    }

    fn next(&mut self, changes: Vec<Change>) -> ChangeSet {
        let mut state = self.states.last().cloned().unwrap_or_default();
        let number = self.states.len() as Revision;
        for change in &changes {
            let held = state.entry(change.scope).or_default();
            let changes = match change.entry {
                Some(entry) => {
                    held.insert(change.key, entry);
                    true
                }
                None => held.remove(&change.key).is_some(),
            };
            if changes {
                self.changes.entry(change.scope).or_default().insert(number);
            }
        }
        self.states.push(state);
        self.versions.push(changes.clone());
        ChangeSet { revision: number, changes }
    }

    fn at(&self, number: Revision, scope: Scope) -> Held {
        self.states[number as usize].get(&scope).cloned().unwrap_or_default()
    }

    fn changed(&self, after: Revision, through: Revision) -> BTreeSet<Scope> {
        let within = |numbers: &BTreeSet<Revision>| {
            numbers.range(after + 1..).next().is_some_and(|first| *first <= through)
        };
        self.changes.iter().filter(|(_, numbers)| within(numbers)).map(|(scope, _)| *scope).collect()
    }

    fn agrees(&self, store: &Store) {
        store.check().expect("kept up by change");
        let mut sum = Digest::default();
        for scope in SCOPES {
            let held = self.at(store.in_force(), scope);
            assert_eq!(store.entries(scope).collect::<Held>(), held);
            assert_eq!(store.len(scope), held.len());
            assert_eq!(store.digest(scope), digest(scope, &held));
            held.iter().for_each(|(key, entry)| assert_eq!(store.entry(scope, *key), Some(*entry)));
            sum.join(store.digest(scope));
        }
        assert_eq!(store.total_digest(), sum);
        let scopes: Vec<Scope> = SCOPES.into_iter().filter(|scope| store.len(*scope) > 0).collect();
        assert_eq!(store.scopes().collect::<Vec<_>>(), scopes);
    }
}

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
    grantors: Vec<Lessor>,
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
        let (grantors, followers) = ((0..3).map(lessor).collect(), (0..18).map(follower).collect());
        Simulation { rng, model: Model::new(), grantors, followers, keys, rough }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..20) {
            0..=3 => {
                let removes = if self.rng.random_bool(0.3) { 0.8 } else { 0.2 };
                let count = self.rng.random_range(0..6);
                let changes = (0..count).map(|_| change(&mut self.rng, self.keys, removes)).collect();
                let version = self.model.next(changes);
                self.grantors[0].store.add_pending(version);
            }
            4 | 5 => {
                let store = &mut self.grantors[0].store;
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
        let at = self.rng.random_range(0..self.grantors.len());
        let fetching = self.followers.iter().filter(|f| f.fetches && f.from == at).map(|f| f.needs + 1);
        let lessor = &mut self.grantors[at];
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
        let at = self.rng.random_range(1..self.grantors.len());
        let serves = self.followers.iter().any(|f| f.fetches && f.from == at);
        let (first, others) = self.grantors.split_at_mut(1);
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
                    if let Some(digest) = part.complete {
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
            follower.from = self.rng.random_range(0..self.grantors.len());
            let store = &self.grantors[follower.from].store;
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
        let lessor = &self.grantors[follower.from];
        let (store, from) = (&lessor.store, follower.cursor);
        let part = store.chunk(follower.scope, from, self.rng.random_range(0..200));
        assert!(part.complete.is_some() || !part.entries.is_empty());
        if part.restart {
            follower.needs = store.in_force();
        }
        follower.cursor = take(&part, from, &mut follower.held);
        let Some(sum) = part.complete else { return };
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
        for (at, lessor) in self.grantors.iter().enumerate() {
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
        let store = &self.grantors[0].store;
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
fn removals_forgotten_within_a_fetch_are_told_by_the_digest() {
    let [well, anew] = play(100..160, true);
    assert!(well > 3000 && anew > 0 && anew < well / 20, "{well} {anew}");
}

/// A store with so many quotas from version 1, of which so many are removed with version 2.
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
    assert_eq!((whole.entries.len(), whole.restart, whole.complete.is_some()), (70, false, true));
    for most in 0..=bytes(&whole.entries) {
        let part = store.chunk(Scope::Tenants(7), Cursor::default(), most);
        let taken = part.entries.len();
        assert!(taken == 1 || bytes(&part.entries) <= most, "{} of {most}", bytes(&part.entries));
        assert_eq!(part.complete.is_some(), taken == 70);
        let next = bytes(whole.entries.get(taken));
        assert!(taken == 70 || bytes(&part.entries) + next > most, "{} of {most}", bytes(&part.entries));
    }
}

#[test]
fn a_scope_that_nobody_heard_of_is_whole_at_once() {
    for from in [Cursor::default(), Cursor::after(5), Cursor { revision: 3, key: 9 }] {
        let part = Store::new().chunk(Scope::Hosts(9), from, 0);
        assert_eq!(part.restart, from != Cursor::default());
        assert_eq!((part.entries.len(), part.complete), (0, Some(Digest::default())));
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
