//! The fetches of scopes that are not complete.
use crate::scope::{Entry, Key, Revision, Scope};
use crate::storage::Storage;
use crate::wire::{Cursor, ScopeChunk};
use std::collections::BTreeMap;

/// The fetch of a scope that is not complete.
#[derive(Clone, Debug)]
pub(super) struct Fetch {
    /// The position at which the fetch began.
    pub since: Cursor,
    /// The position that the fetch has reached.
    pub cursor: Cursor,
    /// The priority of the scope; scopes with the highest priority are fetched first.
    pub priority: f64,
    /// The entries fetched so far if the scope is stale; `None` for a scope that is fetched for the first time,
    /// whose entries are stored at once.
    pub staged: Option<Staged>,
}

impl Fetch {
    /// Creates a fetch of a whole scope from the start.
    pub fn from_start(priority: f64) -> Self {
        Fetch { since: Cursor::default(), cursor: Cursor::default(), priority, staged: None }
    }

    /// Creates a fetch of the changes in a stale scope after a revision.
    pub fn after(revision: Revision, priority: f64) -> Self {
        let since = Cursor::after(revision);
        Fetch { since, cursor: since, priority, staged: Some(Staged::default()) }
    }

    pub fn is_stale(&self) -> bool {
        self.staged.is_some()
    }
}

/// The fetched part of a stale scope.
#[derive(Clone, Debug, Default)]
pub(super) struct Staged {
    /// Whether the fetched part replaces all entries of the scope.
    restart: bool,
    pub entries: BTreeMap<Key, (Revision, Option<Entry>)>,
}

impl Staged {
    pub fn put(&mut self, key: Key, revision: Revision, entry: Option<Entry>) {
        let latest = self.entries.entry(key).or_insert((revision, entry));
        if latest.0 <= revision {
            *latest = (revision, entry);
        }
    }

    /// Stages a chunk. If the chunk restarts the fetch, all entries staged before are stored, so that
    /// conservative rules still include them.
    pub fn put_chunk(&mut self, chunk: &ScopeChunk, storage: &mut impl Storage) {
        if chunk.restart {
            self.store(chunk.scope, storage);
            self.restart = true;
        }
        for change in &chunk.entries {
            self.put(change.key, change.revision, change.entry);
        }
    }

    /// Stores all staged entries of a scope that has become complete.
    pub fn complete(mut self, scope: Scope, storage: &mut impl Storage) {
        if self.restart {
            storage.clear(scope);
        }
        self.store(scope, storage);
    }

    fn store(&mut self, scope: Scope, storage: &mut impl Storage) {
        for (key, (revision, entry)) in std::mem::take(&mut self.entries) {
            storage.set(scope, key, revision, entry);
        }
    }
}

/// Stores a chunk, and removes the scope's previous entries if the chunk restarts the fetch.
pub(super) fn store_chunk(chunk: &ScopeChunk, storage: &mut impl Storage) {
    if chunk.restart {
        storage.clear(chunk.scope);
    }
    for change in &chunk.entries {
        storage.set(chunk.scope, change.key, change.revision, change.entry);
    }
}
