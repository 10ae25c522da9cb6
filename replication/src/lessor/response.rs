//! Builds the response to a poll from a store, within a byte budget.
use super::holder::{CompleteScopes, Holder};
use super::scope_set::ScopeIndex;
use crate::scope::{Change, ChangeSet, Scope};
use crate::store::Store;
use crate::wire::{Cursor, PollRequest, PollResponse, ScopeChunk, HEADER_BYTES, MAX_FRAME_BYTES};
use postcard::ser_flavors::Size;
use serde::Serialize;
use std::collections::BTreeSet;

/// The most bytes of chunks, and the most bytes of pending revisions, in a response, so that both fit a frame
/// together with the rest of the response.
pub(super) const MAX_PART_BYTES: usize = MAX_FRAME_BYTES / 3;
/// No chunk is added with fewer bytes left, because the overhead of the chunk would outweigh its content.
const MIN_CHUNK_BYTES: usize = 64;
/// An upper bound of the encoded bytes of a chunk without its entries.
const CHUNK_OVERHEAD_BYTES: usize = 32;
/// The number of bytes that encode the variant of a message.
const MESSAGE_KIND_BYTES: usize = 1;

/// Returns the number of bytes of a frame with this message.
pub(super) fn frame_bytes(message: &impl Serialize) -> usize {
    // Encoding these types cannot fail.
    postcard::serialize_with_flavor::<_, Size, usize>(message, Size::default()).unwrap_or(MAX_FRAME_BYTES)
        + HEADER_BYTES
        + MESSAGE_KIND_BYTES
}

/// A response under construction.
pub(super) struct ResponseBuilder<'a> {
    pub store: &'a Store,
    pub index: &'a ScopeIndex,
    pub holder: &'a Holder,
    pub request: &'a PollRequest,
    /// The scopes that the request asks to fetch.
    pub fetched: BTreeSet<Scope>,
    /// The most bytes that all chunks may take together.
    pub max_chunk_bytes: usize,
    /// The bytes that the chunks added so far take.
    pub used_chunk_bytes: usize,
    pub response: PollResponse,
}

impl ResponseBuilder<'_> {
    /// Adds the changes in complete scopes since the revision that the follower knows.
    pub fn add_changes(&mut self) {
        if self.request.known >= self.store.in_force() {
            return;
        }
        for scope in self.changed_scopes() {
            let left = self.left_bytes();
            let since = Cursor::after(self.request.known);
            let chunk = (left >= MIN_CHUNK_BYTES).then(|| self.store.chunk(scope, since, left));
            // A chunk has at least one entry, which may take more bytes than are left.
            match chunk.filter(|c| c.final_digest.is_some() && frame_bytes(c) <= left + CHUNK_OVERHEAD_BYTES)
            {
                Some(chunk) => self.add_chunk(chunk),
                None => self.response.stale.push(scope),
            }
        }
    }

    /// Returns the complete scopes that may have changed since the revision that the follower knows, except for
    /// the scopes that the request fetches.
    fn changed_scopes(&self) -> Vec<Scope> {
        let (store, known) = (self.store, self.request.known);
        let mut changed: Vec<Scope> = match &self.holder.complete {
            // The store does not know removals before its first revision, so every scope may have changed.
            CompleteScopes::Only(scopes) if known < store.complete_from() => {
                scopes.iter(self.index).collect()
            }
            CompleteScopes::All if known < store.complete_from() => store.scopes().collect(),
            _ => store.changed_since(known).filter(|scope| self.holder.has(self.index, *scope)).collect(),
        };
        changed.retain(|scope| !self.fetched.contains(scope));
        changed.sort_unstable();
        changed
    }

    /// Adds chunks of the scopes that the follower fetches, until the byte budget is used up.
    pub fn add_fetched(&mut self) {
        for (scope, cursor) in &self.request.fetch {
            let left = self.left_bytes();
            if left < MIN_CHUNK_BYTES {
                return;
            }
            self.add_chunk(self.store.chunk(*scope, *cursor, left));
        }
    }

    /// Adds pending revisions. Returns false if some revisions did not fit, so that the response ends at an
    /// earlier one.
    pub fn add_pending(&mut self) -> bool {
        let completed = self.completed_scopes();
        // A scope that this response completes lacks the changes of all pending revisions, even of those that
        // the follower knows in other scopes.
        let in_force = self.store.in_force();
        let from = if completed.is_empty() { self.request.known.max(in_force) } else { in_force };
        let mut used_bytes = 0;
        for change_set in self.store.pending_since(from) {
            let revision = change_set.revision;
            let is_new = revision > self.request.known;
            let concerns_follower = |change: &&Change| {
                completed.contains(&change.scope) || is_new && self.holder.has(self.index, change.scope)
            };
            let changes: Vec<_> = change_set.changes.iter().filter(concerns_follower).copied().collect();
            if changes.is_empty() {
                continue;
            }
            let change_set = ChangeSet { revision, changes };
            used_bytes += frame_bytes(&change_set);
            if used_bytes > MAX_PART_BYTES && is_new && !self.response.pending.is_empty() {
                self.response.through = revision - 1;
                return false;
            }
            self.response.pending.push(change_set);
        }
        true
    }

    /// Returns the fetched scopes that this response completes.
    fn completed_scopes(&self) -> BTreeSet<Scope> {
        let chunks = self.response.chunks.iter();
        let completed =
            chunks.filter(|chunk| chunk.final_digest.is_some() && self.fetched.contains(&chunk.scope));
        completed.map(|chunk| chunk.scope).collect()
    }

    fn left_bytes(&self) -> usize {
        self.max_chunk_bytes.saturating_sub(self.used_chunk_bytes + CHUNK_OVERHEAD_BYTES)
    }

    fn add_chunk(&mut self, chunk: ScopeChunk) {
        self.used_chunk_bytes += frame_bytes(&chunk);
        self.response.chunks.push(chunk);
    }
}
