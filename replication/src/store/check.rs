//! Checks the digests, counts and indexes that a store updates with each change; for tests.
use super::scope_entries::{Position, ScopeEntries};
use super::Store;
use crate::scope::{Digest, Scope};
use std::collections::BTreeSet;

/// Data of a store that contradicts the entries of the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InconsistentStore {
    /// Data of one scope contradicts the entries.
    #[error("inconsistent {part} in scope {scope:?}")]
    Scope {
        /// The scope that contains the inconsistent data.
        scope: Scope,
        /// The name of the inconsistent data.
        part: &'static str,
    },
    /// Data of this name, which spans all scopes, contradicts the entries.
    #[error("inconsistent {0} in the store")]
    Store(&'static str),
}

impl Store {
    /// Recomputes digests, counts and indexes from the entries, and compares them with those of the store.
    ///
    /// # Errors
    /// Returns the first [`InconsistentStore`] that is found.
    pub fn check(&self) -> Result<(), InconsistentStore> {
        let (mut digest, mut entry_count) = (Digest::default(), 0);
        let (mut tombstones, mut by_last_change) = (BTreeSet::new(), BTreeSet::new());
        for (&scope, content) in &self.scopes {
            check_scope(scope, content).map_err(|part| InconsistentStore::Scope { scope, part })?;
            digest.join(content.digest);
            entry_count += content.entries.len();
            tombstones.extend(
                content.tombstones_by_revision.iter().map(|(revision, key)| (*revision, scope, *key)),
            );
            if content.last_change > 0 {
                by_last_change.insert((content.last_change, scope));
            }
        }
        let faults = [
            (digest != self.digest, "sum"),
            (entry_count != self.entry_count, "entry count"),
            (tombstones != self.tombstones, "tombstones"),
            (by_last_change != self.by_last_change, "index of changes"),
            (self.pending.keys().next().is_some_and(|first| *first <= self.in_force), "pending revisions"),
        ];
        first_fault(&faults).map_err(InconsistentStore::Store)
    }
}

fn check_scope(scope: Scope, content: &ScopeEntries) -> Result<(), &'static str> {
    let mut digest = Digest::default();
    content.entries.iter().for_each(|(key, (_, entry))| digest.add(scope, *key, entry));
    let by_revision: BTreeSet<Position> =
        content.entries.iter().map(|(key, (revision, _))| (*revision, *key)).collect();
    let tombstones: BTreeSet<Position> =
        content.tombstones.iter().map(|(key, revision)| (*revision, *key)).collect();
    let newest = by_revision.last().max(tombstones.last()).map_or(0, |position| position.0);
    first_fault(&[
        (digest != content.digest, "digest"),
        (by_revision != content.by_revision, "order"),
        (tombstones != content.tombstones_by_revision, "removals"),
        (
            content.entries.keys().any(|key| content.tombstones.contains_key(key)),
            "entries that also have tombstones",
        ),
        (content.last_change < newest, "last change"),
        (tombstones.first().is_some_and(|first| first.0 == 0), "tombstone of revision 0"),
    ])
}

fn first_fault(faults: &[(bool, &'static str)]) -> Result<(), &'static str> {
    faults.iter().find(|(fault, _)| *fault).map_or(Ok(()), |(_, part)| Err(part))
}
