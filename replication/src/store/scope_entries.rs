//! The entries of one scope, in the order in which followers fetch them.
use crate::scope::{Digest, Entry, Key, Revision, Scope};
use std::collections::{BTreeMap, BTreeSet};

/// A position in the order of changes.
pub(super) type Position = (Revision, Key);

/// The entries and tombstones of a scope. An empty scope is kept as well, because of `horizon` and
/// `last_change`.
#[derive(Clone, Debug, Default)]
pub(super) struct ScopeEntries {
    /// Each entry by key, with the revision that last changed the entry.
    pub entries: BTreeMap<Key, (Revision, Entry)>,
    /// The positions of all entries in the order of changes, which is the order of chunks.
    pub by_revision: BTreeSet<Position>,
    /// Each removed key, with the revision that removed the key.
    pub tombstones: BTreeMap<Key, Revision>,
    /// The positions of all tombstones in the order of changes.
    pub tombstones_by_revision: BTreeSet<Position>,
    pub digest: Digest,
    /// Some removals up to this revision are unknown, so a follower that knows less has to fetch the scope from
    /// the start.
    pub horizon: Revision,
    /// The last revision that changed the scope.
    pub last_change: Revision,
}

impl ScopeEntries {
    pub fn new(horizon: Revision, last_change: Revision) -> Self {
        ScopeEntries { horizon, last_change, ..ScopeEntries::default() }
    }

    pub fn get(&self, key: Key) -> Option<Entry> {
        self.entries.get(&key).map(|(_, entry)| *entry)
    }

    /// Sets an entry, or leaves a tombstone if `entry` is `None`. Returns the revision of the key's previous
    /// tombstone, if any.
    pub fn put(
        &mut self, scope: Scope, key: Key, revision: Revision, entry: Option<Entry>,
    ) -> Option<Revision> {
        let previous = match entry {
            Some(entry) => self.entries.insert(key, (revision, entry)),
            None => self.entries.remove(&key),
        };
        if let Some((changed_at, previous)) = previous {
            self.by_revision.remove(&(changed_at, key));
            self.digest.remove(scope, key, &previous);
        }
        let previous_tombstone = self.tombstones.remove(&key);
        if let Some(removed_at) = previous_tombstone {
            self.tombstones_by_revision.remove(&(removed_at, key));
        }
        match entry {
            Some(entry) => {
                self.by_revision.insert((revision, key));
                self.digest.add(scope, key, &entry);
            }
            None => {
                self.tombstones.insert(key, revision);
                self.tombstones_by_revision.insert((revision, key));
            }
        }
        previous_tombstone
    }

    /// Purges a tombstone. A follower that knows less than the revision of the tombstone has to fetch the scope
    /// from the start.
    pub fn purge_tombstone(&mut self, removed_at: Revision, key: Key) {
        self.tombstones.remove(&key);
        self.tombstones_by_revision.remove(&(removed_at, key));
        self.horizon = self.horizon.max(removed_at);
    }
}
