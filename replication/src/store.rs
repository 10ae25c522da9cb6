//! State as whoever grants storage it: every entry with the version that changed it, so that a follower can be told what
//! changed since the version it knows; what was removed is remembered as tombstones until [`Store::purge_tombstones`].
//!
//! A change of k entries costs k log n, whatever else there is; digests and the index of changed scopes are kept up by it.
use crate::scope::{ChangeSet, Digest, Entry, Key, Revision, Scope};
use crate::wire::{ChunkEntry, Cursor, ScopeChunk};
use std::collections::btree_set::Range;
use std::collections::{BTreeMap, BTreeSet};
use std::iter::Peekable;
use std::ops::Bound::{Excluded, Unbounded};

/// What a follower storage state in: a [`Store`] where it grants in its turn, [`crate::tables::Tables`] where it does not.
pub trait Storage {
    /// Sets an entry or, with `None`, removes it; `changed` is the version that did so. What does not fit its scope is not
    /// taken, so that the scope's digest tells.
    fn set(&mut self, scope: Scope, key: Key, changed: Revision, entry: Option<Entry>);
    /// What is there.
    fn get(&self, scope: Scope, key: Key) -> Option<Entry>;
    /// A new start of a scope: all its entries go.
    fn clear(&mut self, scope: Scope);
    /// The scope is followed no more; its memory is given back.
    fn remove_scope(&mut self, scope: Scope);
    /// What a scope's entries sum up to.
    fn digest(&self, scope: Scope) -> Digest;
    /// Heap memory that it takes, in bytes.
    fn memory_bytes(&self) -> usize;
}

type Place = (Revision, Key);

/// A scope. It stays when it is empty, because of `horizon` and `last`.
#[derive(Clone, Debug, Default)]
struct Held {
    entries: BTreeMap<Key, (Revision, Entry)>,
    /// The same, in the order in which pieces go out.
    order: BTreeSet<Place>,
    /// Tombstones: what was removed, and by which version.
    removed: BTreeMap<Key, Revision>,
    removals: BTreeSet<Place>,
    digest: Digest,
    /// Of removals up to here not all are known: who has had less gets a new start.
    horizon: Revision,
    /// The last version that changed anything.
    last: Revision,
}

impl Held {
    /// Whether who has had all up to a version is better off with a new start: tombstones are gone that it would need, or
    /// those it needs take more bytes than the entries it is spared. Both are summed up side by side until the shorter one
    /// ends, and who goes on within a fetch is not asked again.
    fn starts_anew(&self, had: Revision) -> bool {
        if had < self.horizon {
            return true;
        }
        let mut needed = self.removals.range((Excluded((had, Key(u64::MAX))), Unbounded));
        let mut spared = self.order.range(..=(had, Key(u64::MAX)));
        let (mut needs, mut spares) = (0, 0);
        loop {
            if needs <= spares {
                let Some((changed, key)) = needed.next() else { return false };
                needs += size(*changed, *key, None);
            } else {
                let Some((changed, key)) = spared.next() else { return true };
                spares += size(*changed, *key, self.entries.get(key).map(|(_, entry)| *entry));
            }
        }
    }
}

/// Notes that a version changed a scope.
fn touch(by_last: &mut BTreeSet<(Revision, Scope)>, scope: Scope, held: &mut Held, number: Revision) {
    if number > held.last {
        by_last.remove(&(held.last, scope));
        by_last.insert((number, scope));
        held.last = number;
    }
}

/// Bytes of an entry in a [`ScopeChunk`].
fn size(changed: Revision, key: Key, entry: Option<Entry>) -> usize {
    // Three integers of at most ten bytes and an entry of under thirty.
    let mut room = [0; 80];
    postcard::to_slice(&(changed, key, entry), &mut room).map_or(80, |written| written.len())
}

/// Entries and tombstones after a cursor, in one order.
struct Merged<'a> {
    held: &'a Held,
    entries: Peekable<Range<'a, Place>>,
    removals: Option<Peekable<Range<'a, Place>>>,
}

impl Iterator for Merged<'_> {
    type Item = ChunkEntry;

    fn next(&mut self) -> Option<Self::Item> {
        let removal = self.removals.as_mut().and_then(|r| r.peek().copied());
        let goes = match (self.entries.peek().copied(), removal) {
            (Some(entry), Some(removal)) => removal < entry,
            (entry, _) => entry.is_none(),
        };
        if goes {
            let (changed, key) = self.removals.as_mut()?.next()?;
            return Some(ChunkEntry { revision: *changed, key: *key, entry: None });
        }
        let (changed, key) = self.entries.next()?;
        let entry = self.held.entries.get(key).map(|(_, entry)| *entry);
        Some(ChunkEntry { revision: *changed, key: *key, entry })
    }
}

/// State at the version in force, and versions to come.
#[derive(Clone, Debug, Default)]
pub struct Store {
    scopes: BTreeMap<Scope, Held>,
    /// Each scope ever heard of once, by the last version that changed it.
    by_last: BTreeSet<(Revision, Scope)>,
    tombstones: BTreeSet<(Revision, Scope, Key)>,
    /// Scopes begun from pieces since `in_force` was last called: what was removed before is not known of them.
    begun: BTreeSet<Scope>,
    pending: BTreeMap<Revision, ChangeSet>,
    number: Revision,
    complete_from: Revision,
    entries: usize,
    sum: Digest,
}

impl Store {
    /// Nothing, at version 0.
    pub fn new() -> Store {
        Store::default()
    }

    /// Takes a version in that is to come into force. One that is known or in force already changes nothing.
    pub fn add_pending(&mut self, version: ChangeSet) {
        if version.revision > self.number {
            self.pending.entry(version.revision).or_insert(version);
        }
    }

    /// Brings all versions up to this one into force. A number that is behind changes nothing.
    ///
    /// A store that gets its entries from above calls this once they are in: with the first call that does not go on from
    /// version 1, `changed_since` is complete from that number on.
    pub fn advance_to(&mut self, number: Revision) {
        if number < self.number {
            return;
        }
        if self.number == 0 && number > 0 && !self.pending.contains_key(&1) {
            self.complete_from = number;
        }
        while let Some(next) = self.pending.first_entry().filter(|p| *p.key() <= number) {
            let version = next.remove();
            for change in version.changes {
                // Who never had it needs no tombstone, and one that there is stays where it is.
                if change.entry.is_some() || self.entry(change.scope, change.key).is_some() {
                    self.put(change.scope, change.key, version.revision, change.entry);
                }
            }
        }
        self.number = number;
        for scope in std::mem::take(&mut self.begun) {
            if let Some(held) = self.scopes.get_mut(&scope) {
                held.horizon = held.horizon.max(number);
                touch(&mut self.by_last, scope, held, number);
            }
        }
    }

    /// Takes in an entry, or a tombstone, of a piece had from above, as of the version in force or about to be. Followers of
    /// this store hear of it by `changed`, so it has to come before the `in_force` that covers it is told to them.
    pub fn load(&mut self, scope: Scope, key: Key, changed: Revision, entry: Option<Entry>) {
        if entry.is_some_and(|entry| !entry.fits(scope)) {
            return;
        }
        if !self.scopes.contains_key(&scope) {
            self.clear(scope);
        }
        // No version is 0, and a cursor of 0 is the start.
        self.put(scope, key, changed.max(1), entry);
    }

    /// A new start of a scope: its entries and tombstones go, and whoever has had any of it before gets a new start too.
    pub fn clear(&mut self, scope: Scope) {
        let old = self.scopes.remove(&scope).unwrap_or_default();
        for (changed, key) in &old.removals {
            self.tombstones.remove(&(*changed, scope, *key));
        }
        self.entries -= old.entries.len();
        self.sum.0 = self.sum.0.wrapping_sub(old.digest.0);
        let horizon = old.horizon.max(self.number);
        let mut held = Held { horizon, last: old.last, ..Held::default() };
        touch(&mut self.by_last, scope, &mut held, self.number);
        self.scopes.insert(scope, held);
        self.begun.insert(scope);
    }

    fn put(&mut self, scope: Scope, key: Key, changed: Revision, entry: Option<Entry>) {
        if entry.is_some_and(|entry| !entry.fits(scope)) {
            return;
        }
        let horizon = self.complete_from;
        let held = self.scopes.entry(scope).or_insert_with(|| Held { horizon, ..Held::default() });
        let (count, digest) = (held.entries.len(), held.digest);
        let old = match entry {
            Some(entry) => held.entries.insert(key, (changed, entry)),
            None => held.entries.remove(&key),
        };
        if let Some((changed, old)) = old {
            held.order.remove(&(changed, key));
            held.digest.remove(scope, key, &old);
        }
        if let Some(removed) = held.removed.remove(&key) {
            held.removals.remove(&(removed, key));
            self.tombstones.remove(&(removed, scope, key));
        }
        if let Some(entry) = entry {
            held.order.insert((changed, key));
            held.digest.add(scope, key, &entry);
        } else {
            held.removed.insert(key, changed);
            held.removals.insert((changed, key));
            self.tombstones.insert((changed, scope, key));
        }
        self.entries = self.entries + held.entries.len() - count;
        self.sum.0 = self.sum.0.wrapping_add(held.digest.0).wrapping_sub(digest.0);
        touch(&mut self.by_last, scope, held, changed);
    }

    /// The version in force; 0 for none.
    pub fn in_force(&self) -> Revision {
        self.number
    }

    /// The last version that is to come, or else the one in force.
    pub fn through(&self) -> Revision {
        self.pending.last_key_value().map_or(self.number, |(number, _)| *number)
    }

    /// What is in force under a key.
    pub fn entry(&self, scope: Scope, key: Key) -> Option<Entry> {
        self.scopes.get(&scope)?.entries.get(&key).map(|(_, entry)| *entry)
    }

    /// All entries of a scope, by key.
    pub fn entries(&self, scope: Scope) -> impl Iterator<Item = (Key, Entry)> + '_ {
        let held = self.scopes.get(&scope);
        held.into_iter().flat_map(|held| held.entries.iter().map(|(key, (_, entry))| (*key, *entry)))
    }

    /// How many entries a scope has.
    pub fn len(&self, scope: Scope) -> usize {
        self.scopes.get(&scope).map_or(0, |held| held.entries.len())
    }

    /// Whether there is no entry at all.
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }

    /// How many removed entries are remembered in all.
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    /// What a scope's entries sum up to.
    pub fn digest(&self, scope: Scope) -> Digest {
        self.scopes.get(&scope).map_or(Digest::default(), |held| held.digest)
    }

    /// What all entries sum up to.
    pub fn total_digest(&self) -> Digest {
        self.sum
    }

    /// The scopes that have entries.
    pub fn scopes(&self) -> impl Iterator<Item = Scope> + '_ {
        self.scopes.iter().filter(|(_, held)| !held.entries.is_empty()).map(|(scope, _)| *scope)
    }

    /// The scopes that changed after a version, in the order of their last change, each once; it costs what it gives.
    ///
    /// Before [`Store::complete_from`] this is not all: who knows less has to be taken for behind in every scope it has.
    pub fn changed_since(&self, number: Revision) -> impl Iterator<Item = Scope> + '_ {
        let after = number.saturating_add(1);
        self.by_last.range((after, Scope::Zones)..).map(|(_, scope)| *scope)
    }

    /// The version from which on [`Store::changed_since`] is complete: 0 where all versions passed through here, else the
    /// one at which this store began.
    pub fn complete_from(&self) -> Revision {
        self.complete_from
    }

    /// The versions after a number that are not in force yet.
    pub fn pending_since(&self, number: Revision) -> impl Iterator<Item = &ChangeSet> + '_ {
        self.pending.range(number.saturating_add(1)..).map(|(_, version)| version)
    }

    /// A piece of a scope in the order of (version that changed it, key) after a cursor: at most so many bytes of entries as
    /// encoded, but one entry at least.
    ///
    /// From the start there are no tombstones in it. From [`Cursor::after`] a version there are, or else it is a new start
    /// (`anew`): where this is smaller, and where a tombstone that would be needed is gone. Within a fetch, that is from any
    /// other cursor, it goes on without asking so again: a cursor does not tell when its fetch began, and old entries are
    /// what a new start has first. Should a tombstone be forgotten while a fetch goes on, the digest at the end tells.
    pub fn chunk(&self, scope: Scope, from: Cursor, most_bytes: usize) -> ScopeChunk {
        let at_start = from == Cursor::default();
        let Some(held) = self.scopes.get(&scope) else {
            return ScopeChunk {
                scope,
                restart: !at_start,
                entries: Vec::new(),
                complete: Some(Digest::default()),
            };
        };
        let starts = from.revision == 0 || from.key == u64::MAX && held.starts_anew(from.revision);
        let after = if starts { Unbounded } else { Excluded((from.revision, Key(from.key))) };
        let merged = Merged {
            held,
            entries: held.order.range((after, Unbounded)).peekable(),
            removals: (!starts).then(|| held.removals.range((after, Unbounded)).peekable()),
        };
        let mut part =
            ScopeChunk { scope, restart: starts && !at_start, entries: Vec::new(), complete: None };
        let mut bytes = 0;
        for one in merged {
            bytes += size(one.revision, one.key, one.entry);
            if bytes > most_bytes && !part.entries.is_empty() {
                return part;
            }
            part.entries.push(one);
        }
        part.complete = Some(held.digest);
        part
    }

    /// Forgets what was removed before a version. Who knows less of a scope that loses a tombstone gets a new start of it.
    /// Costs what is forgotten.
    pub fn purge_tombstones(&mut self, before: Revision) {
        while let Some((number, scope, key)) = self.tombstones.first().copied().filter(|t| t.0 < before) {
            self.tombstones.pop_first();
            if let Some(held) = self.scopes.get_mut(&scope) {
                held.removed.remove(&key);
                held.removals.remove(&(number, key));
                held.horizon = held.horizon.max(number);
            }
        }
    }

    /// Computes anew all that is kept up by change, and says what differs: for tests.
    pub fn check(&self) -> Result<(), String> {
        let (mut sum, mut entries, mut tombstones) = (Digest::default(), 0, BTreeSet::new());
        let mut by_last = BTreeSet::new();
        for (scope, held) in &self.scopes {
            let mut digest = Digest::default();
            held.entries.iter().for_each(|(key, (_, entry))| digest.add(*scope, *key, entry));
            let order: BTreeSet<Place> =
                held.entries.iter().map(|(key, (changed, _))| (*changed, *key)).collect();
            let removals: BTreeSet<Place> =
                held.removed.iter().map(|(key, changed)| (*changed, *key)).collect();
            tombstones.extend(removals.iter().map(|(changed, key)| (*changed, *scope, *key)));
            let newest = order.last().max(removals.last()).map_or(0, |place| place.0);
            let faults = [
                (digest != held.digest, "digest"),
                (order != held.order, "order"),
                (removals != held.removals, "removals"),
                (
                    held.entries.keys().any(|key| held.removed.contains_key(key)),
                    "entries that are removed too",
                ),
                (held.last < newest, "last change"),
                (held.removals.first().is_some_and(|first| first.0 == 0), "removal by no version"),
            ];
            if let Some((_, what)) = faults.iter().find(|(fault, _)| *fault) {
                return Err(format!("{scope:?}: wrong {what}"));
            }
            sum.join(digest);
            entries += held.entries.len();
            if held.last > 0 {
                by_last.insert((held.last, *scope));
            }
        }
        let faults = [
            (sum != self.sum, "sum"),
            (entries != self.entries, "count"),
            (tombstones != self.tombstones, "tombstones"),
            (by_last != self.by_last, "index of changes"),
            (self.pending.keys().next().is_some_and(|first| *first <= self.number), "pending version"),
        ];
        faults.iter().find(|(fault, _)| *fault).map_or(Ok(()), |(_, what)| Err(format!("wrong {what}")))
    }
}

impl Storage for Store {
    fn set(&mut self, scope: Scope, key: Key, changed: Revision, entry: Option<Entry>) {
        self.load(scope, key, changed, entry);
    }

    fn get(&self, scope: Scope, key: Key) -> Option<Entry> {
        self.entry(scope, key)
    }

    fn clear(&mut self, scope: Scope) {
        Store::clear(self, scope);
    }

    fn remove_scope(&mut self, scope: Scope) {
        Store::clear(self, scope);
    }

    fn digest(&self, scope: Scope) -> Digest {
        Store::digest(self, scope)
    }

    /// A reckoning: trees are about three quarters full.
    fn memory_bytes(&self) -> usize {
        let entry = size_of::<(Key, (Revision, Entry))>() + size_of::<Place>();
        let tombstone =
            size_of::<(Key, Revision)>() + size_of::<Place>() + size_of::<(Revision, Scope, Key)>();
        let scope = size_of::<(Scope, Held)>() + size_of::<(Revision, Scope)>();
        let filled = entry * self.entries + tombstone * self.tombstones.len() + scope * self.scopes.len();
        filled * 4 / 3
    }
}
