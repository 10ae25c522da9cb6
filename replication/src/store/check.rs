//! Recomputes what a store keeps up to date by change; for tests.
use super::scope_entries::{Position, ScopeEntries};
use super::Store;
use crate::scope::{Digest, Scope};
use std::collections::BTreeSet;

/// A part of a store that differs from what its entries say.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InconsistentStore {
    /// Something within a scope differs.
    #[error("{scope:?}: wrong {part}")]
    Scope {
        /// The scope.
        scope: Scope,
        /// What differs.
        part: &'static str,
    },
    /// Something that spans all scopes differs.
    #[error("wrong {0}")]
    Store(&'static str),
}

impl Store {
    /// Recomputes digests, counts and indexes from the entries and compares them.
    ///
    /// # Errors
    /// The first [`InconsistentStore`] that is found.
    pub fn check(&self) -> Result<(), InconsistentStore> {
        let (mut digest, mut entry_count) = (Digest::default(), 0);
        let (mut tombstones, mut by_last_change) = (BTreeSet::new(), BTreeSet::new());
        for (&scope, content) in &self.scopes {
            check_scope(scope, content).map_err(|part| InconsistentStore::Scope { scope, part })?;
            digest.join(content.digest);
            entry_count += content.entries.len();
            tombstones.extend(content.tombstones_by_revision.iter().map(|(at, key)| (*at, scope, *key)));
            if content.last_change > 0 {
                by_last_change.insert((content.last_change, scope));
            }
        }
        let faults = [
            (digest != self.digest, "sum"),
            (entry_count != self.entry_count, "count"),
            (tombstones != self.tombstones, "tombstones"),
            (by_last_change != self.by_last_change, "index of changes"),
            (self.pending.keys().next().is_some_and(|first| *first <= self.in_force), "pending version"),
        ];
        first_fault(&faults).map_err(InconsistentStore::Store)
    }
}

fn check_scope(scope: Scope, content: &ScopeEntries) -> Result<(), &'static str> {
    let mut digest = Digest::default();
    content.entries.iter().for_each(|(key, (_, entry))| digest.add(scope, *key, entry));
    let by_revision: BTreeSet<Position> = content.entries.iter().map(|(key, (at, _))| (*at, *key)).collect();
    let tombstones: BTreeSet<Position> = content.tombstones.iter().map(|(key, at)| (*at, *key)).collect();
    let newest = by_revision.last().max(tombstones.last()).map_or(0, |position| position.0);
    first_fault(&[
        (digest != content.digest, "digest"),
        (by_revision != content.by_revision, "order"),
        (tombstones != content.tombstones_by_revision, "removals"),
        (
            content.entries.keys().any(|key| content.tombstones.contains_key(key)),
            "entries that are removed too",
        ),
        (content.last_change < newest, "last change"),
        (tombstones.first().is_some_and(|first| first.0 == 0), "removal by no version"),
    ])
}

fn first_fault(faults: &[(bool, &'static str)]) -> Result<(), &'static str> {
    faults.iter().find(|(fault, _)| *fault).map_or(Ok(()), |(_, part)| Err(part))
}
