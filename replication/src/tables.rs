//! Replicated state as a gateway stores it: sorted and packed, without revisions, so that all hosts, routes and
//! tenants of a large installation fit into a gateway's memory.
mod column;
mod encoding;

use crate::scope::{Digest, Entry, Key, Revision, Scope};
use crate::storage::{tree_bytes, Storage};
use column::EntryColumn;
use std::collections::BTreeMap;

/// The entries of a scope, with their digest.
#[derive(Clone, Debug, PartialEq)]
struct Table {
    entries: EntryColumn,
    digest: Digest,
}

impl Table {
    fn new(scope: Scope) -> Table {
        Table { entries: EntryColumn::of(scope), digest: Digest::default() }
    }
}

/// Entries by scope and key. A scope without entries takes no memory.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    scopes: BTreeMap<Scope, Table>,
    /// The heap memory of all columns, in bytes.
    column_bytes: usize,
}

impl Tables {
    /// Creates empty tables.
    pub fn new() -> Tables {
        Tables::default()
    }

    /// Returns the number of entries of a scope.
    pub fn len(&self, scope: Scope) -> usize {
        self.scopes.get(&scope).map_or(0, |table| table.entries.keys().len())
    }

    /// Returns whether no scope has an entry.
    pub fn is_empty(&self) -> bool {
        self.scopes.is_empty()
    }

    /// Returns the scopes that have entries.
    pub fn scopes(&self) -> impl Iterator<Item = Scope> + '_ {
        self.scopes.keys().copied()
    }

    /// Returns all entries of a scope, by key.
    pub fn entries(&self, scope: Scope) -> impl Iterator<Item = (Key, Entry)> + '_ {
        self.scopes.get(&scope).into_iter().flat_map(|table| table.entries.entries())
    }

    /// Returns the digest of all entries.
    pub fn total_digest(&self) -> Digest {
        self.scopes.values().fold(Digest::default(), |mut sum, table| {
            sum.join(table.digest);
            sum
        })
    }
}

impl Storage for Tables {
    fn set(&mut self, scope: Scope, key: Key, _: Revision, entry: Option<Entry>) {
        if entry.is_some_and(|entry| !entry.fits(scope))
            || entry.is_none() && !self.scopes.contains_key(&scope)
        {
            return;
        }
        let table = self.scopes.entry(scope).or_insert_with(|| Table::new(scope));
        let previous_bytes = table.entries.memory_bytes();
        if let Some(previous) = table.entries.set(key, entry) {
            table.digest.remove(scope, key, &previous);
        }
        if let Some(entry) = entry {
            table.digest.add(scope, key, &entry);
        }
        self.column_bytes = self.column_bytes + table.entries.memory_bytes() - previous_bytes;
        if table.entries.keys().is_empty() {
            self.clear(scope);
        }
    }

    fn get(&self, scope: Scope, key: Key) -> Option<Entry> {
        self.scopes.get(&scope)?.entries.get(key)
    }

    fn clear(&mut self, scope: Scope) {
        if let Some(table) = self.scopes.remove(&scope) {
            self.column_bytes -= table.entries.memory_bytes();
        }
    }

    fn remove_scope(&mut self, scope: Scope) {
        self.clear(scope);
    }

    fn digest(&self, scope: Scope) -> Digest {
        self.scopes.get(&scope).map_or(Digest::default(), |table| table.digest)
    }

    /// Returns the exact capacity of all columns, plus an estimate of the tree of scopes.
    fn memory_bytes(&self) -> usize {
        self.column_bytes + tree_bytes(self.scopes.len() * size_of::<(Scope, Table)>())
    }
}

/// Compares the entries; spare capacity does not matter.
impl PartialEq for Tables {
    fn eq(&self, other: &Self) -> bool {
        self.scopes == other.scopes
    }
}
