//! Scopes that are being fetched.
use crate::scope::{Entry, Key, Revision, Scope};
use crate::storage::Storage;
use crate::wire::{Cursor, ScopeChunk};
use std::collections::BTreeMap;

/// The fetch of a scope that is not complete.
#[derive(Clone, Debug)]
pub(super) struct Fetch {
    /// Where the fetch began.
    pub since: Cursor,
    /// How far it has come.
    pub cursor: Cursor,
    /// The highest priority is fetched first.
    pub priority: f64,
    /// The entries so far, if the scope is stale. Those of a scope that is fetched for the first time are stored at once.
    pub staged: Option<Staged>,
}

impl Fetch {
    /// Fetches a scope from the start.
    pub fn from_start(priority: f64) -> Self {
        Fetch { since: Cursor::default(), cursor: Cursor::default(), priority, staged: None }
    }

    /// Fetches what has changed in a stale scope after a revision.
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
    /// It replaces all entries of the scope.
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

    /// Stages a chunk. If it restarts the fetch, what was staged before is stored, so that conservative rules still know it.
    pub fn put_chunk(&mut self, chunk: &ScopeChunk, storage: &mut impl Storage) {
        if chunk.restart {
            self.store(chunk.scope, storage);
            self.restart = true;
        }
        for change in &chunk.entries {
            self.put(change.key, change.revision, change.entry);
        }
    }

    /// Stores everything in the scope, which is complete.
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

/// Stores a chunk.
pub(super) fn store_chunk(chunk: &ScopeChunk, storage: &mut impl Storage) {
    if chunk.restart {
        storage.clear(chunk.scope);
    }
    for change in &chunk.entries {
        storage.set(chunk.scope, change.key, change.revision, change.entry);
    }
}
