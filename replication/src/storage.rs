//! The storage of a follower's entries.
use crate::scope::{Digest, Entry, Key, Revision, Scope};

/// Entries by scope and key: a [`Store`](crate::store::Store) in a replica, which has followers of its own, and
/// [`Tables`](crate::tables::Tables) in a gateway.
pub trait Storage {
    /// Sets an entry that `revision` has changed, or removes the entry if `entry` is `None`. An entry that does
    /// not fit the scope is ignored, so that the scope's digest differs from the lessor's.
    fn set(&mut self, scope: Scope, key: Key, revision: Revision, entry: Option<Entry>);
    /// Returns the entry under a key.
    fn get(&self, scope: Scope, key: Key) -> Option<Entry>;
    /// Removes all entries of a scope, because the scope is fetched from the start.
    fn clear(&mut self, scope: Scope);
    /// Removes a scope that is no longer followed, and releases its memory.
    fn remove_scope(&mut self, scope: Scope);
    /// Returns the digest of a scope's entries.
    fn digest(&self, scope: Scope) -> Digest;
    /// Returns the heap memory in use, in bytes.
    fn memory_bytes(&self) -> usize;
}

/// Estimates the memory of a B-tree, in bytes, from the bytes of its keys and values, assuming nodes that are
/// three quarters full.
pub(crate) fn tree_bytes(filled_bytes: usize) -> usize {
    filled_bytes * 4 / 3
}
