//! Applies a response: brings known revisions into force, stores or stages chunks, and keeps pending revisions.
use super::fetch::{store_chunk, Fetch};
use super::poll_state::OutstandingPoll;
use super::{Follower, FollowerEvent};
use crate::lease::US_PER_MS;
use crate::scope::{Change, Digest, Revision, Scope};
use crate::storage::Storage;
use crate::wire::{Cursor, PollResponse, ScopeChunk};

/// A round trip is short if at least this many fit one poll interval; a short round trip resets the timeout to
/// the interval.
const SHORT_ROUND_TRIPS_PER_INTERVAL: f64 = 2.0;

impl<S: Storage> Follower<S> {
    /// Applies a response that was accepted for `poll`, and returns what the response has changed.
    pub(crate) fn apply_response(
        &mut self, now: f64, poll: OutstandingPoll, response: PollResponse,
    ) -> Vec<FollowerEvent> {
        let mut events = Vec::new();
        self.subscription.confirm(poll.generation);
        // Known revisions come into force first, because the chunks in the response are newer.
        let still_pending = self.pending.split_off(&(response.in_force + 1));
        for (revision, changes) in std::mem::replace(&mut self.pending, still_pending) {
            self.apply_revision(revision, &changes, &mut events);
        }
        for chunk in &response.chunks {
            self.apply_chunk(chunk, &poll, &mut events);
        }
        for scope in &response.stale {
            self.mark_stale(*scope, poll.known, &mut events);
        }
        if !self.all_scopes {
            for change_set in
                response.pending.iter().filter(|change_set| change_set.revision > response.in_force)
            {
                self.stage_pending_revision(change_set.revision, &change_set.changes, &mut events);
            }
        }
        self.record_progress(&response, &mut events);
        if response.lease_us > 0 {
            // The lease lasts from the poll on, not from its response, because the lessor counts from a later
            // moment.
            self.lease_until = self.lease_until.max(poll.sent_at + response.lease_us as f64 / US_PER_MS);
        }
        self.schedule_next_poll(now, &poll);
        events
    }

    fn record_progress(&mut self, response: &PollResponse, events: &mut Vec<FollowerEvent>) {
        if response.in_force > self.in_force {
            events.push(FollowerEvent::InForce(response.in_force));
        }
        if response.through > self.known {
            events.push(FollowerEvent::Known(response.through));
        }
        (self.known, self.in_force) = (response.through, response.in_force);
    }

    /// Schedules the next poll. The next poll is prompt if there is progress to report or a scope to fetch, or
    /// if the first response of a lessor has arrived, because the lessor grants no lease before that response
    /// is acknowledged.
    fn schedule_next_poll(&mut self, now: f64, poll: &OutstandingPoll) {
        let interval_ms = self.poll_interval_ms();
        // The round trip is short again, so the timeout need not be longer than the interval.
        if now - poll.sent_at < interval_ms / SHORT_ROUND_TRIPS_PER_INTERVAL {
            self.poll.timeout_ms = interval_ms;
        }
        let is_fetching_all = self.all_scopes && !self.fetching.is_empty();
        let has_progressed = self.known > poll.known || self.in_force > poll.in_force;
        let is_prompt = is_fetching_all || poll.is_first || has_progressed;
        let delay_ms = if is_prompt { self.config.prompt_poll_delay_ms() } else { interval_ms };
        self.poll.due = (poll.sent_at + delay_ms).max(now.min(poll.sent_at + interval_ms));
    }

    /// Applies the changes of a known revision that comes into force.
    fn apply_revision(&mut self, revision: Revision, changes: &[Change], events: &mut Vec<FollowerEvent>) {
        for change in changes {
            if self.complete.contains_key(&change.scope) {
                self.storage.set(change.scope, change.key, revision, change.entry);
                events.push(FollowerEvent::EntryChanged(change.scope, change.key));
                continue;
            }
            let fetch = self.fetching.get_mut(&change.scope);
            if let Some(staged) = fetch.and_then(|fetch| fetch.staged.as_mut()) {
                staged.put(change.key, revision, change.entry);
            }
        }
    }

    /// Keeps a pending revision. A revision that is known already may carry more changes now, in a scope that
    /// has just become complete.
    fn stage_pending_revision(
        &mut self, revision: Revision, changes: &[Change], events: &mut Vec<FollowerEvent>,
    ) {
        let is_relevant = |change: &&Change| {
            let is_stale = self.fetching.get(&change.scope).is_some_and(Fetch::is_stale);
            is_stale || self.complete.contains_key(&change.scope)
        };
        let relevant: Vec<Change> = changes.iter().filter(is_relevant).copied().collect();
        if relevant.is_empty() {
            return;
        }
        let kept = self.pending.entry(revision).or_default();
        for change in relevant {
            if !kept.contains(&change) {
                kept.push(change);
                events.push(FollowerEvent::EntryChanged(change.scope, change.key));
            }
        }
    }

    /// Applies a chunk of a scope that is being fetched, or the changes in a complete scope.
    fn apply_chunk(&mut self, chunk: &ScopeChunk, poll: &OutstandingPoll, events: &mut Vec<FollowerEvent>) {
        let scope = chunk.scope;
        let Some(fetch) = self.fetching.get_mut(&scope) else {
            if self.all_scopes || self.complete.contains_key(&scope) {
                self.apply_changes(chunk, poll.known, events);
            }
            return;
        };
        // The scope was not in the poll, or was unsubscribed and subscribed since, so the chunk does not
        // continue the fetch.
        if poll.fetch.get(&scope) != Some(&fetch.cursor) {
            return;
        }
        if let Some(last) = chunk.entries.last() {
            fetch.cursor = Cursor { revision: last.revision, key: last.key.0 };
        }
        match &mut fetch.staged {
            Some(staged) => staged.put_chunk(chunk, &mut self.storage),
            None => store_chunk(chunk, &mut self.storage),
        }
        if let Some(digest) = chunk.final_digest {
            self.complete_fetch(scope, digest, events);
        }
    }

    /// Marks a scope as complete, because all of its chunks have arrived.
    fn complete_fetch(&mut self, scope: Scope, digest: Digest, events: &mut Vec<FollowerEvent>) {
        let Some(fetch) = self.fetching.remove(&scope) else { return };
        if let Some(staged) = fetch.staged {
            staged.complete(scope, &mut self.storage);
        }
        self.complete.insert(scope, fetch.priority);
        self.subscription.record(scope, true);
        if self.storage.digest(scope) == digest {
            events.push(FollowerEvent::Complete(scope));
        } else {
            self.restart_fetch(scope, events);
        }
    }

    /// Applies the changes in a complete scope. A lessor that cannot send all changes reports the scope as
    /// stale, so a chunk that does not complete the scope makes the scope stale.
    fn apply_changes(&mut self, chunk: &ScopeChunk, known: Revision, events: &mut Vec<FollowerEvent>) {
        let scope = chunk.scope;
        let Some(digest) = chunk.final_digest else {
            return self.mark_stale(scope, known, events);
        };
        store_chunk(chunk, &mut self.storage);
        if !self.all_scopes {
            let changed = chunk.entries.iter().map(|change| FollowerEvent::EntryChanged(scope, change.key));
            events.extend(changed);
        }
        self.complete.entry(scope).or_default();
        if self.storage.digest(scope) != digest {
            self.restart_fetch(scope, events);
        } else if chunk.restart {
            events.push(FollowerEvent::Complete(scope));
        }
    }

    /// Drops a scope whose digest differs from the lessor's, and fetches the scope from the start.
    fn restart_fetch(&mut self, scope: Scope, events: &mut Vec<FollowerEvent>) {
        let priority = self.complete.get(&scope).copied().unwrap_or_default();
        self.drop_scope(scope);
        self.fetching.insert(scope, Fetch::from_start(priority));
        events.push(FollowerEvent::Restarted(scope));
    }

    /// Marks a scope as stale, because its changes since the revision `known` did not fit the response and have
    /// to be fetched.
    fn mark_stale(&mut self, scope: Scope, known: Revision, events: &mut Vec<FollowerEvent>) {
        if let Some(priority) = self.complete.remove(&scope) {
            self.fetching.insert(scope, Fetch::after(known, priority));
            self.subscription.record(scope, false);
            events.push(FollowerEvent::Stale(scope));
        } else if self.all_scopes {
            self.fetching.entry(scope).or_insert_with(|| Fetch::from_start(0.0));
        }
    }
}
