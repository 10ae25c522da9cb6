//! The store against a naive model: whoever fetches piece by piece, from whichever store, while versions come into force
//! and removals are forgotten, ends with what the model has, or is told by the digest that it does not.
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use ternstack_replication::scope::{Change, Digest, Entry, Host, Key, Number, Route, Scope, Version};
use ternstack_replication::store::{Keeps, Store};
use ternstack_replication::version::Repeat;
use ternstack_replication::wire::{Cursor, Part};

const SCOPES: [Scope; 6] =
    [Scope::Zones, Scope::Fleet, Scope::Hosts(1), Scope::Hosts(2), Scope::Routes(1), Scope::Tenants(7)];

type Held = BTreeMap<Key, Entry>;
type State = BTreeMap<Scope, Held>;

fn entry(scope: Scope, rng: &mut impl Rng) -> Entry {
    match scope {
        Scope::Zones => Entry::Zone(rng.random_bool(0.5)),
        Scope::Fleet => Entry::Repeat(Repeat::Within(rng.random_range(0..9))),
        Scope::Routes(_) => Entry::Route(Route { class: rng.random_range(0..9), repeat: Repeat::Always }),
        Scope::Tenants(_) => Entry::Quota(rng.random_range(0..100)),
        Scope::Hosts(_) => Entry::Host(Host {
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, rng.random_range(0..9)), 80),
            zone: rng.random_range(0..15),
            drains: rng.random_bool(0.3),
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
    changes: BTreeMap<Scope, BTreeSet<Number>>,
}

impl Model {
    fn new() -> Model {
        Model { states: vec![State::new()], ..Model::default() }
    }

    fn next(&mut self, changes: Vec<Change>) -> Version {
        let mut state = self.states.last().cloned().unwrap_or_default();
        let number = self.states.len() as Number;
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
        Version { number, changes }
    }

    fn at(&self, number: Number, scope: Scope) -> Held {
        self.states[number as usize].get(&scope).cloned().unwrap_or_default()
    }

    fn changed(&self, after: Number, through: Number) -> BTreeSet<Scope> {
        let within = |numbers: &BTreeSet<Number>| {
            numbers.range(after + 1..).next().is_some_and(|first| *first <= through)
        };
        self.changes.iter().filter(|(_, numbers)| within(numbers)).map(|(scope, _)| *scope).collect()
    }

    fn agrees(&self, store: &Store) {
        store.check().expect("kept up by change");
        let mut sum = Digest::default();
        for scope in SCOPES {
            let held = self.at(store.number(), scope);
            assert_eq!(store.entries(scope).collect::<Held>(), held);
            assert_eq!(store.len(scope), held.len());
            assert_eq!(store.digest(scope), digest(scope, &held));
            held.iter().for_each(|(key, entry)| assert_eq!(store.entry(scope, *key), Some(*entry)));
            sum.join(store.digest(scope));
        }
        assert_eq!(store.sum(), sum);
        let scopes: Vec<Scope> = SCOPES.into_iter().filter(|scope| store.len(*scope) > 0).collect();
        assert_eq!(store.scopes().collect::<Vec<_>>(), scopes);
    }
}

/// Takes a part as a follower does, and makes sure that it is in order.
fn take(part: &Part, from: Cursor, held: &mut Held) -> Cursor {
    if part.anew {
        held.clear();
    }
    let mut cursor = if part.anew { Cursor::default() } else { from };
    let started = cursor.changed == 0;
    for (changed, key, entry) in &part.entries {
        let at = Cursor { changed: *changed, key: key.0 };
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
    needs: Number,
    fetches: bool,
    /// How many fetches ended well, and how many were told by the digest to begin anew.
    ends: [usize; 2],
}

/// A store with what it may have lost: removals up to this version.
struct Grantor {
    store: Store,
    lost: Number,
}

struct World {
    rng: ChaCha8Rng,
    model: Model,
    /// The first has all versions; the others follow it.
    grantors: Vec<Grantor>,
    followers: Vec<Follower>,
    keys: u64,
    /// Removals that a fetch under way may need are forgotten too.
    rough: bool,
}

impl World {
    fn new(seed: u64, rough: bool) -> World {
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
        let grantor = |_| Grantor { store: Store::new(), lost: 0 };
        let (grantors, followers) = ((0..3).map(grantor).collect(), (0..18).map(follower).collect());
        World { rng, model: Model::new(), grantors, followers, keys, rough }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..20) {
            0..=3 => {
                let removes = if self.rng.random_bool(0.3) { 0.8 } else { 0.2 };
                let count = self.rng.random_range(0..6);
                let changes = (0..count).map(|_| change(&mut self.rng, self.keys, removes)).collect();
                let version = self.model.next(changes);
                self.grantors[0].store.pending(version);
            }
            4 | 5 => {
                let store = &mut self.grantors[0].store;
                let number = self.rng.random_range(store.number()..=store.through());
                store.in_force(number);
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
        let grantor = &mut self.grantors[at];
        let bound = if self.rough {
            grantor.store.number()
        } else {
            grantor.store.number().min(fetching.min().unwrap_or(Number::MAX))
        };
        let before = bound.saturating_sub(self.rng.random_range(0..10));
        grantor.store.forget_removed(before);
        grantor.lost = grantor.lost.max(before.saturating_sub(1));
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
        let known = to.store.number();
        if known > 0 && self.rng.random_bool(0.5) {
            // All versions still pending at the first, and those in force as the model has them.
            for number in known + 1..=first.number() {
                to.store
                    .pending(Version { number, changes: self.model.versions[number as usize - 1].clone() });
            }
        } else {
            let whole: Vec<Scope> =
                if known == 0 { first.scopes().collect() } else { first.changed_since(known).collect() };
            for scope in whole {
                let mut cursor = if known == 0 { Cursor::default() } else { Cursor::after(known) };
                // The first stands still here, and each piece has an entry at least.
                for pieces in 0.. {
                    assert!(pieces <= 2 + first.len(scope) + first.tombstones(), "{scope:?} from {cursor:?}");
                    let part = first.piece(scope, cursor, self.rng.random_range(0..300));
                    if part.anew || known == 0 && cursor == Cursor::default() {
                        Keeps::clear(&mut to.store, scope);
                        to.lost = to.lost.max(first.number());
                    }
                    for (changed, key, entry) in &part.entries {
                        Keeps::set(&mut to.store, scope, *key, *changed, *entry);
                        cursor = Cursor { changed: *changed, key: key.0 };
                    }
                    if let Some(digest) = part.whole {
                        assert_eq!(to.store.digest(scope), digest);
                        break;
                    }
                }
            }
        }
        if restarts {
            to.lost = first.number();
        }
        to.store.in_force(first.number());
    }

    fn fetch(&mut self) {
        let at = self.rng.random_range(0..self.followers.len());
        let follower = &mut self.followers[at];
        if !follower.fetches {
            follower.from = self.rng.random_range(0..self.grantors.len());
            let store = &self.grantors[follower.from].store;
            // Nobody goes back, and who knows less than a store tells of takes its scopes for behind, as done here.
            if store.number() < follower.needs || follower.cursor == Cursor::default() && store.number() == 0
            {
                return;
            }
            if self.rng.random_bool(0.1) {
                (follower.cursor, follower.held) = (Cursor::default(), Held::new());
            }
            if follower.cursor == Cursor::default() {
                follower.needs = store.number();
            }
            follower.fetches = true;
        }
        let grantor = &self.grantors[follower.from];
        let (store, from) = (&grantor.store, follower.cursor);
        let part = store.piece(follower.scope, from, self.rng.random_range(0..200));
        assert!(part.whole.is_some() || !part.entries.is_empty());
        if part.anew {
            follower.needs = store.number();
        }
        follower.cursor = take(&part, from, &mut follower.held);
        let Some(sum) = part.whole else { return };
        let right = follower.held == self.model.at(store.number(), follower.scope);
        assert_eq!(right, digest(follower.scope, &follower.held) == sum, "the digest tells");
        let excused = grantor.lost > follower.needs;
        assert!(right || excused, "{:?} from {from:?} at {}", follower.scope, store.number());
        follower.ends[usize::from(!right)] += 1;
        follower.fetches = false;
        follower.needs = if right { store.number() } else { 0 };
        follower.cursor = if right { Cursor::after(store.number()) } else { Cursor::default() };
        if !right {
            follower.held.clear();
        }
    }

    fn agrees(&mut self) {
        for (at, grantor) in self.grantors.iter().enumerate() {
            let store = &grantor.store;
            self.model.agrees(store);
            let from = self.rng.random_range(store.complete_from()..=store.number());
            let told: Vec<Scope> = store.changed_since(from).collect();
            let set: BTreeSet<Scope> = told.iter().copied().collect();
            assert_eq!(set.len(), told.len(), "each once");
            let changed = self.model.changed(from, store.number());
            assert!(set.is_superset(&changed), "{set:?} {changed:?}");
            // A store that began a scope anew may say more of it, as it can't tell what it missed.
            assert!(at > 0 || set == changed, "{set:?} {changed:?}");
        }
        let store = &self.grantors[0].store;
        let from = self.rng.random_range(0..=store.through());
        let numbers: Vec<Number> = store.pending_since(from).map(|version| version.number).collect();
        assert_eq!(numbers, (from.max(store.number()) + 1..=store.through()).collect::<Vec<_>>());
    }
}

fn play(seeds: std::ops::Range<u64>, rough: bool) -> [usize; 2] {
    let mut ends = [0; 2];
    for seed in seeds {
        let mut world = World::new(seed, rough);
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
    store.pending(Version { number: 1, changes: set });
    store.pending(Version { number: 2, changes: (0..removed).map(|key| change(key, None)).collect() });
    store.in_force(2);
    store
}

fn bytes<'a>(entries: impl IntoIterator<Item = &'a (Number, Key, Option<Entry>)>) -> usize {
    entries.into_iter().map(|entry| postcard::to_allocvec(entry).expect("bytes").len()).sum()
}

#[test]
fn a_new_start_is_given_where_it_is_smaller() {
    let mut kinds = [0; 2];
    for removed in 0..=100 {
        let store = with_removals(100, removed);
        let start = store.piece(Scope::Tenants(7), Cursor::default(), usize::MAX).entries;
        assert_eq!(start.len(), 100 - removed as usize);
        let gone: Vec<_> = (0..removed).map(|key| (2, Key(key << 40), None)).collect();
        let anew = bytes(&gone) > bytes(&start);
        let part = store.piece(Scope::Tenants(7), Cursor::after(1), usize::MAX);
        assert_eq!((part.anew, part.entries), (anew, if anew { start } else { gone }), "{removed}");
        kinds[usize::from(anew)] += 1;
    }
    assert!(kinds[0] > 10 && kinds[1] > 10, "{kinds:?}");
}

#[test]
fn a_piece_keeps_to_its_bytes_and_uses_them() {
    let store = with_removals(100, 30);
    let whole = store.piece(Scope::Tenants(7), Cursor::default(), usize::MAX);
    assert_eq!((whole.entries.len(), whole.anew, whole.whole.is_some()), (70, false, true));
    for most in 0..=bytes(&whole.entries) {
        let part = store.piece(Scope::Tenants(7), Cursor::default(), most);
        let taken = part.entries.len();
        assert!(taken == 1 || bytes(&part.entries) <= most, "{} of {most}", bytes(&part.entries));
        assert_eq!(part.whole.is_some(), taken == 70);
        let next = bytes(whole.entries.get(taken));
        assert!(taken == 70 || bytes(&part.entries) + next > most, "{} of {most}", bytes(&part.entries));
    }
}

#[test]
fn a_scope_that_nobody_heard_of_is_whole_at_once() {
    for from in [Cursor::default(), Cursor::after(5), Cursor { changed: 3, key: 9 }] {
        let part = Store::new().piece(Scope::Hosts(9), from, 0);
        assert_eq!(part.anew, from != Cursor::default());
        assert_eq!((part.entries.len(), part.whole), (0, Some(Digest::default())));
    }
}

#[test]
fn what_is_late_doubled_or_does_not_fit_changes_nothing() {
    let mut store = with_removals(9, 3);
    let (sum, changed) = (store.sum(), |store: &Store| store.changed_since(0).count());
    store.pending(Version { number: 2, changes: vec![change(&mut ChaCha8Rng::seed_from_u64(1), 9, 0.0)] });
    store.in_force(1);
    store.in_force(2);
    Keeps::set(&mut store, Scope::Hosts(1), Key(1), 2, Some(Entry::Quota(5)));
    Keeps::set(&mut store, Scope::Tenants(7), Key(5 << 40), 2, Some(Entry::Zone(true)));
    assert_eq!((store.sum(), store.number(), store.through()), (sum, 2, 2));
    assert_eq!(changed(&store), 1, "no scope more");
    store.check().expect("kept up by change");

    let version = |quota| Change { scope: Scope::Tenants(7), key: Key(1), entry: Some(Entry::Quota(quota)) };
    let misfit = Change { scope: Scope::Hosts(1), key: Key(1), entry: Some(Entry::Quota(5)) };
    store.pending(Version { number: 3, changes: vec![version(1), misfit] });
    store.pending(Version { number: 3, changes: vec![version(2)] });
    assert_eq!((store.number(), store.through(), store.entry(Scope::Tenants(7), Key(1))), (2, 3, None));
    store.in_force(3);
    assert_eq!(store.entry(Scope::Tenants(7), Key(1)), Some(Entry::Quota(1)));
    assert_eq!((store.len(Scope::Hosts(1)), changed(&store)), (0, 1));
}

#[test]
fn a_scope_that_is_cleared_leaves_nothing_but_a_new_start() {
    let mut store = with_removals(9, 3);
    Keeps::forget(&mut store, Scope::Tenants(7));
    store.check().expect("kept up by change");
    assert_eq!((store.is_empty(), store.tombstones(), store.sum()), (true, 0, Digest::default()));
    assert!(store.piece(Scope::Tenants(7), Cursor::after(1), 99).anew);
    // What was removed until it is next in force may be unknown too, and its followers have to hear of that.
    Keeps::set(&mut store, Scope::Tenants(7), Key(1), 2, Some(Entry::Quota(1)));
    store.in_force(5);
    assert!(store.piece(Scope::Tenants(7), Cursor::after(4), 99).anew);
    assert!(!store.piece(Scope::Tenants(7), Cursor::after(5), 99).anew);
    assert_eq!(store.changed_since(4).collect::<Vec<_>>(), [Scope::Tenants(7)]);
}
