//! A naive model of a store: the state at every revision, and random changes.
#![allow(dead_code)] // Each test file uses only a part of this module.
use rand::{Rng, RngExt};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Change, ChangeSet, Digest, Entry, Host, Key, Revision, Route, Scope};
use ternstack_replication::store::Store;

pub const SCOPES: [Scope; 6] =
    [Scope::Zones, Scope::Fleet, Scope::Hosts(1), Scope::Hosts(2), Scope::Routes(1), Scope::Tenants(7)];

pub type Entries = BTreeMap<Key, Entry>;
pub type State = BTreeMap<Scope, Entries>;

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

pub fn change(rng: &mut impl Rng, keys: u64, removal_probability: f64) -> Change {
    let scope = SCOPES[rng.random_range(0..SCOPES.len())];
    let entry = (!rng.random_bool(removal_probability)).then(|| entry(scope, rng));
    Change { scope, key: Key(rng.random_range(0..keys)), entry }
}

pub fn digest(scope: Scope, entries: &Entries) -> Digest {
    let mut digest = Digest::default();
    entries.iter().for_each(|(key, entry)| digest.add(scope, *key, entry));
    digest
}

/// The state at every revision so far, and the revisions that changed each scope.
#[derive(Default)]
pub struct Model {
    pub states: Vec<State>,
    pub revisions: Vec<Vec<Change>>,
    pub changed_at: BTreeMap<Scope, BTreeSet<Revision>>,
}

impl Model {
    pub fn new() -> Model {
        Model { states: vec![State::new()], ..Model::default() }
    }

    /// Adds a revision with these changes, and returns the change set of the revision.
    pub fn add_revision(&mut self, changes: Vec<Change>) -> ChangeSet {
        let mut state = self.states.last().cloned().unwrap_or_default();
        let revision = self.states.len() as Revision;
        for change in &changes {
            let entries = state.entry(change.scope).or_default();
            let has_changed = match change.entry {
                Some(entry) => {
                    entries.insert(change.key, entry);
                    true
                }
                None => entries.remove(&change.key).is_some(),
            };
            if has_changed {
                self.changed_at.entry(change.scope).or_default().insert(revision);
            }
        }
        self.states.push(state);
        self.revisions.push(changes.clone());
        ChangeSet { revision, changes }
    }

    /// Returns the entries of a scope at a revision.
    pub fn entries_at(&self, revision: Revision, scope: Scope) -> Entries {
        self.states[revision as usize].get(&scope).cloned().unwrap_or_default()
    }

    /// Returns the scopes that changed after one revision, up to and including another.
    pub fn changed(&self, after: Revision, through: Revision) -> BTreeSet<Scope> {
        let is_within = |revisions: &BTreeSet<Revision>| {
            revisions.range(after + 1..).next().is_some_and(|first| *first <= through)
        };
        self.changed_at
            .iter()
            .filter(|(_, revisions)| is_within(revisions))
            .map(|(scope, _)| *scope)
            .collect()
    }

    /// Checks that a store equals the model at the store's revision in force.
    pub fn assert_matches(&self, store: &Store) {
        store.check().expect("the store is consistent");
        let mut total = Digest::default();
        for scope in SCOPES {
            let entries = self.entries_at(store.in_force(), scope);
            assert_eq!(store.entries(scope).collect::<Entries>(), entries);
            assert_eq!(store.len(scope), entries.len());
            assert_eq!(store.digest(scope), digest(scope, &entries));
            entries.iter().for_each(|(key, entry)| assert_eq!(store.entry(scope, *key), Some(*entry)));
            total.join(store.digest(scope));
        }
        assert_eq!(store.total_digest(), total);
        let scopes: Vec<Scope> = SCOPES.into_iter().filter(|scope| store.len(*scope) > 0).collect();
        assert_eq!(store.scopes().collect::<Vec<_>>(), scopes);
    }
}
