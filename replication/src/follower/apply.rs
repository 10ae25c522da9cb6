//! Taking an answer: what was known comes into force, pieces go where they belong, and what is to come is kept.
use super::{Asked, Fetch, Follower, FollowerEvent, Staged};
use crate::scope::{Change, Revision, Scope};
use crate::store::Storage;
use crate::wire::{Cursor, PollResponse, ScopeChunk};
use std::collections::BTreeMap;

impl<K: Storage> Follower<K> {
    /// Takes an answer that was accepted.
    pub(crate) fn apply_response(
        &mut self, now: f64, asked: Asked, grant: PollResponse,
    ) -> Vec<FollowerEvent> {
        let mut news = Vec::new();
        (self.told, self.changed) = (Some(asked.revision), BTreeMap::new());
        // What was known comes into force before what has come, which is younger.
        let later = self.pending.split_off(&(grant.in_force + 1));
        for (number, changes) in std::mem::replace(&mut self.pending, later) {
            self.apply_revision(number, &changes, &mut news);
        }
        for part in &grant.chunks {
            self.apply_chunk(part, &asked, &mut news);
        }
        for scope in &grant.stale {
            self.mark_stale(*scope, asked.known, &mut news);
        }
        if !self.everything {
            for version in grant.pending.iter().filter(|v| v.revision > grant.in_force) {
                self.stage_pending_revision(version.revision, &version.changes, &mut news);
            }
        }
        if grant.in_force > self.in_force {
            news.push(FollowerEvent::InForce(grant.in_force));
        }
        if grant.through > self.known {
            news.push(FollowerEvent::Known(grant.through));
        }
        (self.known, self.in_force) = (grant.through, grant.in_force);
        if grant.lease_us > 0 {
            // From the ask on, not from the answer: the grantor counts from a later moment.
            self.until = self.until.max(asked.at + grant.lease_us as f64 / 1000.0);
        }
        // A way that has become short again.
        if now - asked.at < self.every_ms() / 2.0 {
            self.patience_ms = self.every_ms();
        }
        let starts = self.everything && !self.fetching.is_empty();
        // The first answer gives no lease: that it was heard has to be told first.
        let tells = starts || asked.first || self.known > asked.known || self.in_force > asked.in_force;
        let pause = if tells { self.terms.prompt_poll_delay_ms() } else { self.every_ms() };
        self.due = (asked.at + pause).max(now.min(asked.at + self.every_ms()));
        news
    }

    /// A version that was known is in force.
    fn apply_revision(&mut self, number: Revision, changes: &[Change], news: &mut Vec<FollowerEvent>) {
        for change in changes {
            if self.whole.contains_key(&change.scope) {
                self.storage.set(change.scope, change.key, number, change.entry);
                news.push(FollowerEvent::EntryChanged(change.scope, change.key));
            } else if let Some(staged) = self.fetching.get_mut(&change.scope).and_then(|f| f.staged.as_mut())
            {
                staged.put(change.key, number, change.entry);
            }
        }
    }

    /// A version that is to come. Of one that is known it may tell more: what it changes in a scope that is whole only now.
    fn stage_pending_revision(
        &mut self, number: Revision, changes: &[Change], news: &mut Vec<FollowerEvent>,
    ) {
        let mut mine = Vec::new();
        for change in changes {
            let behind = self.fetching.get(&change.scope).is_some_and(|f| f.staged.is_some());
            if behind || self.whole.contains_key(&change.scope) {
                mine.push(*change);
            }
        }
        if mine.is_empty() {
            return;
        }
        let known = self.pending.entry(number).or_default();
        for change in mine {
            if !known.contains(&change) {
                known.push(change);
                news.push(FollowerEvent::EntryChanged(change.scope, change.key));
            }
        }
    }

    /// A piece of a scope.
    fn apply_chunk(&mut self, part: &ScopeChunk, asked: &Asked, news: &mut Vec<FollowerEvent>) {
        let scope = part.scope;
        let Some(fetch) = self.fetching.get_mut(&scope) else {
            if self.everything || self.whole.contains_key(&scope) {
                self.apply_changes(part, asked, news);
            }
            return;
        };
        // It was forgotten and wanted again since the ask, or not asked for: it does not go on from what is here.
        if asked.fetch.get(&scope) != Some(&fetch.cursor) {
            return;
        }
        if let Some(last) = part.entries.last() {
            fetch.cursor = Cursor { revision: last.revision, key: last.key.0 };
        }
        if let Some(staged) = &mut fetch.staged {
            if part.restart {
                // What was staged stays known to the neutral rules.
                for (key, (changed, entry)) in std::mem::take(&mut staged.entries) {
                    self.storage.set(scope, key, changed, entry);
                }
                staged.restart = true;
            }
            for one in &part.entries {
                staged.put(one.key, one.revision, one.entry);
            }
        } else {
            if part.restart {
                self.storage.clear(scope);
            }
            for one in &part.entries {
                self.storage.set(scope, one.key, one.revision, one.entry);
            }
        }
        let Some(digest) = part.complete else { return };
        let Some(fetch) = self.fetching.remove(&scope) else { return };
        if let Some(staged) = fetch.staged {
            if staged.restart {
                self.storage.clear(scope);
            }
            for (key, (changed, entry)) in staged.entries {
                self.storage.set(scope, key, changed, entry);
            }
        }
        self.whole.insert(scope, fetch.heat);
        self.later.insert(scope, true);
        if self.storage.digest(scope) == digest {
            news.push(FollowerEvent::Complete(scope));
        } else {
            self.restart_fetch(scope, news);
        }
    }

    /// What has changed in a scope that is whole.
    fn apply_changes(&mut self, part: &ScopeChunk, asked: &Asked, news: &mut Vec<FollowerEvent>) {
        let scope = part.scope;
        let Some(digest) = part.complete else {
            // No grantor tells half of the changes; the rest is to be fetched.
            return self.mark_stale(scope, asked.known, news);
        };
        if part.restart {
            self.storage.clear(scope);
        }
        for one in &part.entries {
            self.storage.set(scope, one.key, one.revision, one.entry);
            if !self.everything {
                news.push(FollowerEvent::EntryChanged(scope, one.key));
            }
        }
        self.whole.entry(scope).or_default();
        if self.storage.digest(scope) != digest {
            self.restart_fetch(scope, news);
        } else if part.restart {
            news.push(FollowerEvent::Complete(scope));
        }
    }

    fn restart_fetch(&mut self, scope: Scope, news: &mut Vec<FollowerEvent>) {
        let heat = self.whole.get(&scope).copied().unwrap_or_default();
        self.drop_scope(scope);
        self.fetching.insert(scope, Fetch::starting(heat));
        news.push(FollowerEvent::Restarted(scope));
    }

    /// A scope's changes since `known` did not fit in.
    fn mark_stale(&mut self, scope: Scope, known: Revision, news: &mut Vec<FollowerEvent>) {
        if let Some(heat) = self.whole.remove(&scope) {
            let since = Cursor::after(known);
            let staged = Some(Staged::default());
            self.fetching.insert(scope, Fetch { since, cursor: since, heat, staged });
            self.later.insert(scope, false);
            news.push(FollowerEvent::Stale(scope));
        } else if self.everything {
            self.fetching.entry(scope).or_insert_with(|| Fetch::starting(0.0));
        }
    }
}
