//! The polling side of the protocol: polls a lessor, applies responses, fetches scopes, and decides which rules
//! apply.
//!
//! At most one poll is outstanding, and only the response to the last poll is accepted, completely or not at
//! all. A lease lasts from the moment of the poll. The caller has to query the state with the time of its
//! action, so that a process that was suspended has no lease when it resumes.
mod apply;
mod event;
mod fetch;
mod poll_state;
mod subscription;

use crate::lease::LeaseConfig;
use crate::scope::{stricter, Change, Entry, Key, Revision, Scope};
use crate::snapshot::Snapshot;
use crate::storage::Storage;
use crate::tables::Tables;
use crate::wire::{Cursor, Member, PollRequest, PollResponse, Subscription};
pub use event::{FollowerEvent, ResponseError, ScopeMode};
use fetch::Fetch;
pub(crate) use poll_state::OutstandingPoll;
use poll_state::PollState;
use std::collections::BTreeMap;
use subscription::SubscriptionState;

/// The most scopes that one poll of a gateway fetches. The gateway's byte budget limits a response further.
const MAX_FETCHES: usize = 64;
/// The most scopes that one poll of a replica fetches, whose responses may be as long as a frame.
const MAX_REPLICA_FETCHES: usize = 4096;

/// A follower that stores its entries in an `S`. Times are in ms of the caller's clock.
#[derive(Clone, Debug)]
pub struct Follower<S> {
    config: LeaseConfig,
    member: Member,
    storage: S,
    /// Whether the follower follows every scope, as a replica does.
    all_scopes: bool,
    /// The complete scopes, with the priority of each.
    complete: BTreeMap<Scope, f64>,
    fetching: BTreeMap<Scope, Fetch>,
    /// Changes of revisions after `in_force`, in complete and stale scopes.
    pending: BTreeMap<Revision, Vec<Change>>,
    known: Revision,
    in_force: Revision,
    lease_until: f64,
    poll: PollState,
    subscription: SubscriptionState,
}

impl<S: Storage> Follower<S> {
    /// Creates a gateway that knows no revision; `storage` has to be empty.
    pub fn new(config: LeaseConfig, member: Member, storage: S) -> Self {
        let mut follower = Follower::without_scopes(config, member, storage, config.poll_interval_ms());
        for scope in [Scope::Zones, Scope::Fleet] {
            follower.subscribe(scope, f64::INFINITY);
        }
        follower
    }

    /// Creates a replica, which follows every scope. The caller keeps the pending revisions.
    pub fn following_all(config: LeaseConfig, member: Member, storage: S) -> Self {
        let interval_ms = config.replica_poll_interval_ms();
        Follower { all_scopes: true, ..Follower::without_scopes(config, member, storage, interval_ms) }
    }

    fn without_scopes(config: LeaseConfig, member: Member, storage: S, interval_ms: f64) -> Self {
        Follower {
            config,
            member,
            storage,
            all_scopes: false,
            complete: BTreeMap::new(),
            fetching: BTreeMap::new(),
            pending: BTreeMap::new(),
            known: 0,
            in_force: 0,
            lease_until: f64::NEG_INFINITY,
            poll: PollState::new(interval_ms),
            subscription: SubscriptionState::new(),
        }
    }

    /// Subscribes to a scope, or changes the priority of a followed scope. Scopes with the highest priority are
    /// fetched first.
    pub fn subscribe(&mut self, scope: Scope, priority: f64) {
        let priority = if scope.is_global() { f64::INFINITY } else { priority };
        if let Some(current) = self.complete.get_mut(&scope) {
            *current = priority;
        } else if !self.all_scopes {
            let fetch = self.fetching.entry(scope).or_insert_with(|| Fetch::from_start(priority));
            fetch.priority = priority;
        }
    }

    /// Unsubscribes from a scope. Scopes that every member follows stay subscribed.
    pub fn unsubscribe(&mut self, scope: Scope) {
        if scope.is_global() || self.all_scopes {
            return;
        }
        self.drop_scope(scope);
    }

    fn drop_scope(&mut self, scope: Scope) {
        if self.complete.remove(&scope).is_some() {
            self.subscription.record(scope, false);
        }
        self.fetching.remove(&scope);
        self.pending.values_mut().for_each(|changes| changes.retain(|change| change.scope != scope));
        self.pending.retain(|_, changes| !changes.is_empty());
        self.storage.remove_scope(scope);
    }

    /// Records that the next poll goes to another lessor, or over another connection: the poll is due at once,
    /// and carries the complete subscription.
    pub fn reconnected(&mut self) {
        self.subscription.reset();
        self.poll.reset();
    }

    fn poll_interval_ms(&self) -> f64 {
        if self.all_scopes {
            self.config.replica_poll_interval_ms()
        } else {
            self.config.poll_interval_ms()
        }
    }

    /// Returns when the next poll is due, in ms. The time is in the past if the poll is due at once.
    ///
    /// Without a response the next poll is due after the regular interval; when responses arrive too late, the
    /// wait doubles, up to [`LeaseConfig::response_timeout_ms`].
    pub fn next_poll(&self) -> f64 {
        self.poll.next_due()
    }

    /// Returns the next poll, if it is due at `now`. The response to the previous poll will be rejected.
    pub fn poll(&mut self, now: f64) -> Option<PollRequest> {
        (now >= self.next_poll()).then(|| self.poll_for(now, self.known, self.in_force))
    }

    /// Returns a poll that reports the given progress, which covers other members as well and is no higher than
    /// this follower's own progress.
    pub(crate) fn poll_for(&mut self, now: f64, known: Revision, in_force: Revision) -> PollRequest {
        self.poll.sequence += 1;
        self.subscription.begin_poll();
        let is_first = !self.subscription.is_confirmed();
        if is_first {
            self.restart_fetches();
        }
        let fetch = self.next_fetches();
        self.poll.outstanding = Some(OutstandingPoll {
            sent_at: now,
            known,
            in_force,
            generation: self.subscription.generation(),
            is_first,
            fetch: fetch.iter().copied().collect(),
        });
        PollRequest {
            member: self.member.clone(),
            sequence: self.poll.sequence,
            acknowledged: self.poll.acknowledged,
            known,
            in_force,
            subscription: self.subscription_message(),
            fetch,
        }
    }

    /// Restarts all fetches. A fetch does not continue at another lessor, because that lessor may have started
    /// since the fetch began, and may not know what was removed before.
    fn restart_fetches(&mut self) {
        for (scope, fetch) in &mut self.fetching {
            if !fetch.is_stale() && fetch.cursor != fetch.since {
                self.storage.clear(*scope);
            }
            fetch.cursor = fetch.since;
        }
    }

    fn subscription_message(&self) -> Subscription {
        if self.all_scopes {
            return Subscription::AllScopes { generation: self.subscription.generation() };
        }
        self.subscription.message(self.complete.keys())
    }

    /// Returns the scopes to fetch next, by descending priority.
    fn next_fetches(&self) -> Vec<(Scope, Cursor)> {
        let max_fetches = if self.all_scopes { MAX_REPLICA_FETCHES } else { MAX_FETCHES };
        let by_priority =
            |a: &(f64, Scope, Cursor), b: &(f64, Scope, Cursor)| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1));
        let mut fetches: Vec<_> =
            self.fetching.iter().map(|(scope, fetch)| (fetch.priority, *scope, fetch.cursor)).collect();
        if fetches.len() > max_fetches {
            fetches.select_nth_unstable_by(max_fetches, by_priority);
            fetches.truncate(max_fetches);
        }
        fetches.sort_by(by_priority);
        fetches.into_iter().map(|(_, scope, cursor)| (scope, cursor)).collect()
    }

    /// Applies a response that has arrived at `now`, and returns what the response has changed.
    ///
    /// # Errors
    /// Returns a [`ResponseError`] if the response is rejected. A rejected response changes no state, but may
    /// change the time and the subscription of the next poll.
    pub fn handle_response(
        &mut self, now: f64, response: PollResponse,
    ) -> Result<Vec<FollowerEvent>, ResponseError> {
        let poll = self.accept(&response)?;
        Ok(self.apply_response(now, poll, response))
    }

    /// Returns the outstanding poll if its response may be applied; no other response to that poll will be
    /// accepted.
    pub(crate) fn accept(&mut self, response: &PollResponse) -> Result<OutstandingPoll, ResponseError> {
        let poll = self.poll.accept(response.sequence, self.config.response_timeout_ms())?;
        if response.generation != poll.generation {
            self.subscription.reset();
            self.poll.due = poll.sent_at + self.config.prompt_poll_delay_ms();
            return Err(ResponseError::SubscriptionMismatch);
        }
        // If the lessor knew fewer pending revisions, a scope that this response completes would lack some.
        let is_outdated =
            response.in_force < self.in_force || response.through < self.known.max(response.in_force);
        if is_outdated {
            self.poll.due = poll.sent_at + self.poll_interval_ms();
            return Err(ResponseError::Outdated { in_force: response.in_force, through: response.through });
        }
        Ok(poll)
    }

    /// Returns which rules apply in a scope at `now`, which has to be the time of the action.
    pub fn scope_mode(&self, now: f64, scope: Scope) -> ScopeMode {
        match self.fetching.get(&scope) {
            Some(fetch) if fetch.is_stale() => ScopeMode::Conservative,
            None if self.complete.contains_key(&scope) => {
                if now < self.lease_until {
                    ScopeMode::InForce(self.in_force)
                } else {
                    ScopeMode::Conservative
                }
            }
            _ => ScopeMode::Unknown,
        }
    }

    /// Returns the entry that applies under a key at `now`, according to [`Follower::scope_mode`].
    pub fn entry(&self, now: f64, scope: Scope, key: Key) -> Option<Entry> {
        match self.scope_mode(now, scope) {
            ScopeMode::InForce(_) => self.storage.get(scope, key),
            ScopeMode::Unknown => None,
            ScopeMode::Conservative => self.conservative_entry(scope, key),
        }
    }

    /// Returns the value of a key by the conservative rules: the [`stricter`] one of its stored, staged and
    /// pending values.
    fn conservative_entry(&self, scope: Scope, key: Key) -> Option<Entry> {
        let staged = self.fetching.get(&scope).and_then(|fetch| fetch.staged.as_ref()?.entries.get(&key));
        let changes = self.pending.values().flatten();
        let pending = changes.filter(|change| change.scope == scope && change.key == key);
        let others = staged.map(|(_, entry)| *entry).into_iter().chain(pending.map(|change| change.entry));
        others.fold(self.storage.get(scope, key), |strictest, entry| stricter(scope, strictest, entry))
    }

    /// Returns when the lease expires, in ms; the follower has no lease from that time on.
    pub fn lease_until(&self) -> f64 {
        self.lease_until
    }

    /// Returns the revision up to which all revisions are known in complete scopes.
    pub fn known(&self) -> Revision {
        self.known
    }

    /// Returns the revision that came into force last.
    pub fn in_force(&self) -> Revision {
        self.in_force
    }

    /// Returns the member that polls.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Returns the entries at the revision in force. Scopes that are fetched for the first time are included in
    /// part.
    pub fn storage(&self) -> &S {
        &self.storage
    }

    pub(crate) fn storage_mut(&mut self) -> &mut S {
        &mut self.storage
    }

    /// Returns whether a poll is outstanding.
    pub fn is_polling(&self) -> bool {
        self.poll.outstanding.is_some()
    }

    /// Returns the complete scopes, with the priority of each.
    pub fn complete_scopes(&self) -> impl Iterator<Item = (Scope, f64)> + '_ {
        self.complete.iter().map(|(scope, priority)| (*scope, *priority))
    }

    /// Returns the scopes that are being fetched, for the first time or because they are stale.
    pub fn fetching_scopes(&self) -> impl Iterator<Item = Scope> + '_ {
        self.fetching.keys().copied()
    }

    /// Returns whether all followed scopes are complete.
    pub fn is_complete(&self) -> bool {
        self.known > 0 && self.fetching.is_empty()
    }
}

impl Follower<Tables> {
    /// Creates a gateway that restarts with a snapshot. The scopes in the snapshot are complete at the
    /// snapshot's revision in force; pending revisions are not part of a snapshot and have to be sent again.
    pub fn restore(config: LeaseConfig, member: Member, snapshot: Snapshot) -> Self {
        let scopes: Vec<Scope> = snapshot.tables.scopes().collect();
        let mut follower = Follower::new(config, member, snapshot.tables);
        (follower.known, follower.in_force) = (snapshot.in_force, snapshot.in_force);
        for scope in scopes {
            let priority = follower.fetching.remove(&scope).map_or(0.0, |fetch| fetch.priority);
            follower.complete.insert(scope, priority);
        }
        follower
    }

    /// Returns a snapshot of the complete scopes at the revision in force, to restart with. The tables are
    /// copied.
    pub fn snapshot(&self) -> Snapshot {
        let mut tables = self.storage.clone();
        self.fetching.keys().for_each(|scope| tables.remove_scope(*scope));
        Snapshot { known: self.in_force, in_force: self.in_force, tables }
    }
}
