//! Replicated state as the primary and replicas store it: each entry with the revision that last changed the
//! entry, so that a lessor can send a follower everything that has changed since the revision that the follower
//! knows. Removed entries leave tombstones until [`Store::purge_tombstones`].
//!
//! A change of k entries in a store of n entries costs k log n. Digests and the index of changed scopes are
//! updated with each change.
mod check;
mod chunk;
mod scope_entries;

use crate::scope::{Change, ChangeSet, Digest, Entry, Key, Revision, Scope};
use crate::storage::{tree_bytes, Storage};
use crate::wire::{Cursor, ScopeChunk};
pub use check::InconsistentStore;
use scope_entries::{Position, ScopeEntries};
use std::collections::{BTreeMap, BTreeSet};

/// The state at the revision in force, and pending revisions.
#[derive(Clone, Debug, Default)]
pub struct Store {
    scopes: BTreeMap<Scope, ScopeEntries>,
    /// Each known scope once, by the last revision that changed the scope.
    by_last_change: BTreeSet<(Revision, Scope)>,
    tombstones: BTreeSet<(Revision, Scope, Key)>,
    /// Scopes that were fetched from the start since the last [`Store::advance_to`], so that earlier removals
    /// are unknown.
    refetched: BTreeSet<Scope>,
    pending: BTreeMap<Revision, ChangeSet>,
    in_force: Revision,
    complete_from: Revision,
    entry_count: usize,
    digest: Digest,
}

impl Store {
    /// Creates an empty store at revision 0.
    pub fn new() -> Store {
        Store::default()
    }

    /// Adds a revision that is to come into force. A revision that is already pending or in force is ignored.
    pub fn add_pending(&mut self, change_set: ChangeSet) {
        if change_set.revision > self.in_force {
            self.pending.entry(change_set.revision).or_insert(change_set);
        }
    }

    /// Brings all pending revisions up to `revision` into force. A revision older than the one in force is
    /// ignored.
    ///
    /// For a store that is fetched from a lessor, the caller loads the chunks before this call. The first call
    /// that does not continue from revision 1 sets [`Store::complete_from`].
    pub fn advance_to(&mut self, revision: Revision) {
        if revision < self.in_force {
            return;
        }
        if self.in_force == 0 && revision > 0 && !self.pending.contains_key(&1) {
            self.complete_from = revision;
        }
        while let Some(next) = self.pending.first_entry().filter(|next| *next.key() <= revision) {
            let change_set = next.remove();
            for change in change_set.changes {
                self.apply(change, change_set.revision);
            }
        }
        self.in_force = revision;
        for scope in std::mem::take(&mut self.refetched) {
            if let Some(content) = self.scopes.get_mut(&scope) {
                content.horizon = content.horizon.max(revision);
                record_change(&mut self.by_last_change, scope, content, revision);
            }
        }
    }

    /// Applies a change. Removing a key without an entry leaves no tombstone, and an older tombstone of the key
    /// keeps its revision.
    fn apply(&mut self, change: Change, revision: Revision) {
        if change.entry.is_some() || self.entry(change.scope, change.key).is_some() {
            self.put(change.scope, change.key, revision, change.entry);
        }
    }

    /// Loads an entry or a tombstone of a fetched chunk, as of the revision in force or the next one. The entry
    /// has to be loaded before the [`Store::advance_to`] that covers its revision, because the followers of
    /// this store find the entry by its revision.
    pub fn load(&mut self, scope: Scope, key: Key, revision: Revision, entry: Option<Entry>) {
        if entry.is_some_and(|entry| !entry.fits(scope)) {
            return;
        }
        if !self.scopes.contains_key(&scope) {
            self.clear(scope);
        }
        // Revision 0 is raised to 1, because a cursor with revision 0 stands for the start of a scope.
        self.put(scope, key, revision.max(1), entry);
    }

    /// Removes the entries and tombstones of a scope, because the scope is fetched from the start. Followers
    /// that have fetched a part of the scope have to start over as well.
    pub fn clear(&mut self, scope: Scope) {
        let previous = self.scopes.remove(&scope).unwrap_or_default();
        for (removed_at, key) in &previous.tombstones_by_revision {
            self.tombstones.remove(&(*removed_at, scope, *key));
        }
        self.entry_count -= previous.entries.len();
        self.digest.0 = self.digest.0.wrapping_sub(previous.digest.0);
        let horizon = previous.horizon.max(self.in_force);
        let mut content = ScopeEntries::new(horizon, previous.last_change);
        record_change(&mut self.by_last_change, scope, &mut content, self.in_force);
        self.scopes.insert(scope, content);
        self.refetched.insert(scope);
    }

    fn put(&mut self, scope: Scope, key: Key, revision: Revision, entry: Option<Entry>) {
        if entry.is_some_and(|entry| !entry.fits(scope)) {
            return;
        }
        let horizon = self.complete_from;
        let content = self.scopes.entry(scope).or_insert_with(|| ScopeEntries::new(horizon, 0));
        let (previous_count, previous_digest) = (content.entries.len(), content.digest);
        if let Some(removed_at) = content.put(scope, key, revision, entry) {
            self.tombstones.remove(&(removed_at, scope, key));
        }
        if entry.is_none() {
            self.tombstones.insert((revision, scope, key));
        }
        self.entry_count = self.entry_count + content.entries.len() - previous_count;
        self.digest.0 = self.digest.0.wrapping_add(content.digest.0).wrapping_sub(previous_digest.0);
        record_change(&mut self.by_last_change, scope, content, revision);
    }

    /// Returns the revision in force; 0 for none.
    pub fn in_force(&self) -> Revision {
        self.in_force
    }

    /// Returns the last pending revision, or the revision in force if none is pending.
    pub fn through(&self) -> Revision {
        self.pending.last_key_value().map_or(self.in_force, |(revision, _)| *revision)
    }

    /// Returns the entry in force under a key.
    pub fn entry(&self, scope: Scope, key: Key) -> Option<Entry> {
        self.scopes.get(&scope)?.get(key)
    }

    /// Returns all entries of a scope, by key.
    pub fn entries(&self, scope: Scope) -> impl Iterator<Item = (Key, Entry)> + '_ {
        let content = self.scopes.get(&scope);
        content.into_iter().flat_map(|content| content.entries.iter().map(|(key, (_, entry))| (*key, *entry)))
    }

    /// Returns the number of entries of a scope.
    pub fn len(&self, scope: Scope) -> usize {
        self.scopes.get(&scope).map_or(0, |content| content.entries.len())
    }

    /// Returns whether no scope has an entry.
    pub fn is_empty(&self) -> bool {
        self.entry_count == 0
    }

    /// Returns the number of tombstones in all scopes.
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    /// Returns the digest of a scope's entries.
    pub fn digest(&self, scope: Scope) -> Digest {
        self.scopes.get(&scope).map_or(Digest::default(), |content| content.digest)
    }

    /// Returns the digest of all entries.
    pub fn total_digest(&self) -> Digest {
        self.digest
    }

    /// Returns the scopes that have entries.
    pub fn scopes(&self) -> impl Iterator<Item = Scope> + '_ {
        self.scopes.iter().filter(|(_, content)| !content.entries.is_empty()).map(|(scope, _)| *scope)
    }

    /// Returns the scopes that have changed after a revision, in the order of their last change. The cost is
    /// proportional to the number of scopes returned.
    ///
    /// For a revision before [`Store::complete_from`] some scopes may be missing, so a follower that knows only
    /// such a revision may be stale in every scope.
    pub fn changed_since(&self, revision: Revision) -> impl Iterator<Item = Scope> + '_ {
        let after = revision.saturating_add(1);
        self.by_last_change.range((after, Scope::Zones)..).map(|(_, scope)| *scope)
    }

    /// Returns the first revision for which [`Store::changed_since`] is complete: 0 if all revisions passed
    /// through this store, otherwise the revision at which the store was first fetched.
    pub fn complete_from(&self) -> Revision {
        self.complete_from
    }

    /// Returns the pending revisions after a revision, in order.
    pub fn pending_since(&self, revision: Revision) -> impl Iterator<Item = &ChangeSet> + '_ {
        self.pending.range(revision.saturating_add(1)..).map(|(_, change_set)| change_set)
    }

    /// Returns the next chunk of a scope after a cursor, in the order of (revision, key), with at most
    /// `max_bytes` of encoded entries, but with at least one entry if any remain.
    ///
    /// A fetch from the start contains no tombstones. A fetch from [`Cursor::after`] a revision contains
    /// tombstones, unless the chunk restarts the fetch, because fetching from the start is smaller or because a
    /// tombstone that the follower needs was purged.
    pub fn chunk(&self, scope: Scope, from: Cursor, max_bytes: usize) -> ScopeChunk {
        match self.scopes.get(&scope) {
            Some(content) => chunk::after(scope, content, from, max_bytes),
            None => chunk::of_unknown_scope(scope, from),
        }
    }

    /// Purges tombstones older than the revision `before`. Followers that know less than a purged tombstone's
    /// revision have to fetch its scope from the start. The cost depends on the number of purged tombstones
    /// only.
    pub fn purge_tombstones(&mut self, before: Revision) {
        while let Some((removed_at, scope, key)) = self.tombstones.first().copied().filter(|t| t.0 < before) {
            self.tombstones.pop_first();
            if let Some(content) = self.scopes.get_mut(&scope) {
                content.purge_tombstone(removed_at, key);
            }
        }
    }
}

/// Records in the index `by_last_change` that a revision has changed a scope.
fn record_change(
    by_last_change: &mut BTreeSet<(Revision, Scope)>, scope: Scope, content: &mut ScopeEntries,
    revision: Revision,
) {
    if revision > content.last_change {
        by_last_change.remove(&(content.last_change, scope));
        by_last_change.insert((revision, scope));
        content.last_change = revision;
    }
}

impl Storage for Store {
    fn set(&mut self, scope: Scope, key: Key, revision: Revision, entry: Option<Entry>) {
        self.load(scope, key, revision, entry);
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

    /// Returns an estimate that is based on the sizes of keys and values.
    fn memory_bytes(&self) -> usize {
        let entry_bytes = size_of::<(Key, (Revision, Entry))>() + size_of::<Position>();
        let tombstone_bytes =
            size_of::<(Key, Revision)>() + size_of::<Position>() + size_of::<(Revision, Scope, Key)>();
        let scope_bytes = size_of::<(Scope, ScopeEntries)>() + size_of::<(Revision, Scope)>();
        let filled_bytes = entry_bytes * self.entry_count
            + tombstone_bytes * self.tombstones.len()
            + scope_bytes * self.scopes.len();
        tree_bytes(filled_bytes)
    }
}
