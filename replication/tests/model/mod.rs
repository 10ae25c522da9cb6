//! A naive model of a store: the state at every revision, and drawn changes.
#![allow(dead_code)] // Each test file uses a part of it.
use rand::{Rng, RngExt};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Change, ChangeSet, Digest, Entry, Host, Key, Revision, Route, Scope};
use ternstack_replication::store::Store;

pub const SCOPES: [Scope; 6] =
    [Scope::Zones, Scope::Fleet, Scope::Hosts(1), Scope::Hosts(2), Scope::Routes(1), Scope::Tenants(7)];

pub type Held = BTreeMap<Key, Entry>;
pub type State = BTreeMap<Scope, Held>;

pub fn entry(scope: Scope, rng: &mut impl Rng) -> Entry {
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

pub fn change(rng: &mut impl Rng, keys: u64, removes: f64) -> Change {
    let scope = SCOPES[rng.random_range(0..SCOPES.len())];
    let entry = (!rng.random_bool(removes)).then(|| entry(scope, rng));
    Change { scope, key: Key(rng.random_range(0..keys)), entry }
}

pub fn digest(scope: Scope, held: &Held) -> Digest {
    let mut digest = Digest::default();
    held.iter().for_each(|(key, entry)| digest.add(scope, *key, entry));
    digest
}

/// The state at every version so far, and the versions that changed each scope.
#[derive(Default)]
pub struct Model {
    pub states: Vec<State>,
    pub versions: Vec<Vec<Change>>,
    pub changes: BTreeMap<Scope, BTreeSet<Revision>>,
}

impl Model {
    pub fn new() -> Model {
        Model { states: vec![State::new()], ..Model::default() }
    }

    pub fn next(&mut self, changes: Vec<Change>) -> ChangeSet {
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

    pub fn at(&self, number: Revision, scope: Scope) -> Held {
        self.states[number as usize].get(&scope).cloned().unwrap_or_default()
    }

    pub fn changed(&self, after: Revision, through: Revision) -> BTreeSet<Scope> {
        let within = |numbers: &BTreeSet<Revision>| {
            numbers.range(after + 1..).next().is_some_and(|first| *first <= through)
        };
        self.changes.iter().filter(|(_, numbers)| within(numbers)).map(|(scope, _)| *scope).collect()
    }

    pub fn agrees(&self, store: &Store) {
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
