//! Where a follower keeps its state.
use crate::scope::{Digest, Entry, Key, Revision, Scope};

/// Entries by scope and key: a [`Store`](crate::store::Store) in a replica, which has followers of its own, and
/// [`Tables`](crate::tables::Tables) in a gateway.
pub trait Storage {
    /// Sets an entry that `revision` has changed or, with `None`, removes it. An entry that does not belong into the scope
    /// is ignored; the scope's digest then differs from the lessor's.
    fn set(&mut self, scope: Scope, key: Key, revision: Revision, entry: Option<Entry>);
    /// The entry under a key.
    fn get(&self, scope: Scope, key: Key) -> Option<Entry>;
    /// Removes all entries of a scope, which is fetched from the start.
    fn clear(&mut self, scope: Scope);
    /// Removes a scope that is no longer followed, and releases its memory.
    fn remove_scope(&mut self, scope: Scope);
    /// The digest of a scope's entries.
    fn digest(&self, scope: Scope) -> Digest;
    /// The heap memory in use, in bytes.
    fn memory_bytes(&self) -> usize;
}

/// An estimate of the memory of a B-tree, in bytes, from that of its keys and values: nodes are about three quarters full.
pub(crate) fn tree_bytes(filled_bytes: usize) -> usize {
    filled_bytes * 4 / 3
}
