//! Cuts a scope into chunks for followers, beginning at any cursor.
use super::scope_entries::{Position, ScopeEntries};
use crate::scope::{Digest, Entry, Key, Revision, Scope};
use crate::wire::{ChunkEntry, Cursor, ScopeChunk};
use std::collections::btree_set::Range;
use std::iter::Peekable;
use std::ops::Bound::{Excluded, Unbounded};

/// An upper bound of the bytes of an encoded entry in a chunk: three integers of at most ten bytes, and an
/// entry of fewer than thirty.
const MAX_ENTRY_BYTES: usize = 80;

/// Returns the chunk of a scope that the store does not know; the chunk is empty and completes the scope.
pub(super) fn of_unknown_scope(scope: Scope, from: Cursor) -> ScopeChunk {
    let restart = from != Cursor::default();
    ScopeChunk { scope, restart, entries: Vec::new(), final_digest: Some(Digest::default()) }
}

/// Returns the next chunk after a cursor, with at most `max_bytes` of encoded entries, but with at least one
/// entry if any remain.
pub(super) fn after(scope: Scope, content: &ScopeEntries, from: Cursor, max_bytes: usize) -> ScopeChunk {
    let from_start = starts_over(content, from);
    let lower_bound = if from_start { Unbounded } else { Excluded((from.revision, Key(from.key))) };
    let merged = Merged {
        content,
        entries: content.by_revision.range((lower_bound, Unbounded)).peekable(),
        tombstones: (!from_start)
            .then(|| content.tombstones_by_revision.range((lower_bound, Unbounded)).peekable()),
    };
    let restart = from_start && from != Cursor::default();
    let mut chunk = ScopeChunk { scope, restart, entries: Vec::new(), final_digest: None };
    let mut used_bytes = 0;
    for entry in merged {
        used_bytes += encoded_bytes(&entry);
        if used_bytes > max_bytes && !chunk.entries.is_empty() {
            return chunk;
        }
        chunk.entries.push(entry);
    }
    chunk.final_digest = Some(content.digest);
    chunk
}

/// Returns whether the chunk at a cursor is the first of a fetch from the start.
///
/// Only a cursor after a complete revision may be sent back to the start. Any other cursor lies within a fetch
/// and continues that fetch: the cursor does not tell when the fetch began, and a fetch from the start sends
/// old entries first. If a tombstone is purged during a fetch, the digest at the end of the fetch differs.
fn starts_over(content: &ScopeEntries, from: Cursor) -> bool {
    let after_revision = from.key == u64::MAX;
    from.revision == 0 || after_revision && is_smaller_from_start(content, from.revision)
}

/// Returns whether a follower that knows a revision should fetch the scope from the start: either a tombstone
/// that the follower needs was purged, or the needed tombstones take more bytes than the entries that the
/// follower already has. Both sums grow in turn until the smaller one is complete, so that the cost is that of
/// the smaller one.
fn is_smaller_from_start(content: &ScopeEntries, known: Revision) -> bool {
    if known < content.horizon {
        return true;
    }
    let last_known = (known, Key(u64::MAX));
    let mut needed = content.tombstones_by_revision.range((Excluded(last_known), Unbounded));
    let mut spared = content.by_revision.range(..=last_known);
    let (mut needed_bytes, mut spared_bytes) = (0, 0);
    loop {
        if needed_bytes <= spared_bytes {
            let Some(&(revision, key)) = needed.next() else { return false };
            needed_bytes += encoded_bytes(&ChunkEntry { revision, key, entry: None });
        } else {
            let Some(&(revision, key)) = spared.next() else { return true };
            spared_bytes += encoded_bytes(&ChunkEntry { revision, key, entry: content.get(key) });
        }
    }
}

fn encoded_bytes(entry: &ChunkEntry) -> usize {
    let mut buffer = [0; MAX_ENTRY_BYTES];
    postcard::to_slice(entry, &mut buffer).map_or(MAX_ENTRY_BYTES, |written| written.len())
}

/// An iterator over entries and tombstones after a cursor, merged in the order of (revision, key).
struct Merged<'a> {
    content: &'a ScopeEntries,
    entries: Peekable<Range<'a, Position>>,
    tombstones: Option<Peekable<Range<'a, Position>>>,
}

impl Merged<'_> {
    fn tombstone_is_next(&mut self) -> bool {
        let tombstone = self.tombstones.as_mut().and_then(|tombstones| tombstones.peek().copied());
        match (self.entries.peek().copied(), tombstone) {
            (Some(entry), Some(tombstone)) => tombstone < entry,
            (entry, _) => entry.is_none(),
        }
    }
}

impl Iterator for Merged<'_> {
    type Item = ChunkEntry;

    fn next(&mut self) -> Option<ChunkEntry> {
        if self.tombstone_is_next() {
            let &(revision, key) = self.tombstones.as_mut()?.next()?;
            return Some(ChunkEntry { revision, key, entry: None });
        }
        let &(revision, key) = self.entries.next()?;
        let entry: Option<Entry> = self.content.get(key);
        Some(ChunkEntry { revision, key, entry })
    }
}
