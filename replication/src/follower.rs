//! A follower's side: it asks, takes answers, catches up scope by scope, and says what to act by.
//!
//! It has one ask out and takes the answer to its last ask and no other, whole or not at all. A lease counts from the moment
//! of the ask. Whoever acts has to ask with the time of the act: a process that slept wakes without a lease.
use crate::lease::LeaseConfig;
use crate::scope::{stricter, Change, Entry, Key, Revision, Scope};
use crate::snapshot::Snapshot;
use crate::store::Storage;
use crate::tables::Tables;
use crate::wire::{Cursor, Member, PollRequest, PollResponse, Subscription};
use std::collections::BTreeMap;

mod apply;

/// Scopes that one ask tells to be wanted, at most: more than an answer within the bytes of half a second holds.
const FETCHED_AT_ONCE: usize = 64;
/// The same for a machine between, whose answers are as long as a frame.
const FETCHED_BETWEEN: usize = 4096;

/// What a gateway acts by in a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScopeMode {
    /// The version in force.
    Agreed(Revision),
    /// Neutral rules: the stricter of all that it knows of each entry.
    Conservative,
    /// The scope is not there.
    Unknown,
}

/// What an answer has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerEvent {
    /// This version is in force.
    InForce(Revision),
    /// All versions up to this one are known.
    Known(Revision),
    /// A scope is whole.
    Complete(Scope),
    /// A scope that was whole is stale: neutral rules hold in it.
    Stale(Scope),
    /// A scope did not sum up to what its grantor has. It is forgotten, and fetched from the start.
    Restarted(Scope),
    /// What to act by under this key may be another: a version in force or one to come touches it.
    EntryChanged(Scope, Key),
}

/// Why an answer was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// It answers no ask that is out: it is doubled, late, or another's.
    Unsolicited,
    /// The grantor does not know which scopes are whole here. The next ask tells.
    SubscriptionMismatch,
    /// The grantor is stale: it knows, or has in force, less than is known, or in force, here.
    Outdated {
        /// What is in force there.
        in_force: Revision,
        /// What is known there.
        through: Revision,
    },
}

impl std::fmt::Display for ResponseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ResponseError::Unsolicited => write!(f, "an answer to no ask that is out"),
            ResponseError::SubscriptionMismatch => {
                write!(f, "an answer by who does not know which scopes are whole here")
            }
            ResponseError::Outdated { in_force, through } => {
                write!(f, "an answer by who is stale: {in_force} in force there, {through} known")
            }
        }
    }
}

impl std::error::Error for ResponseError {}

/// A scope that is not whole.
#[derive(Clone, Debug)]
struct Fetch {
    since: Cursor, // Where it began.
    cursor: Cursor,
    heat: f64,
    /// `Some` where the scope is stale: what has come so far. Where it is starting, this goes to what is kept at once.
    staged: Option<Staged>,
}

impl Fetch {
    fn starting(heat: f64) -> Self {
        Fetch { since: Cursor::default(), cursor: Cursor::default(), heat, staged: None }
    }
}

/// What has come of a scope that is behind.
#[derive(Clone, Debug, Default)]
struct Staged {
    /// It takes the place of all that was there.
    restart: bool,
    entries: BTreeMap<Key, (Revision, Option<Entry>)>,
}

impl Staged {
    fn put(&mut self, key: Key, changed: Revision, entry: Option<Entry>) {
        let there = self.entries.entry(key).or_insert((changed, entry));
        if there.0 <= changed {
            *there = (changed, entry);
        }
    }
}

/// The ask that is out.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    at: f64,
    known: Revision,
    in_force: Revision,
    revision: u64,
    first: bool, // As far as is known, of this grantor.
    fetch: BTreeMap<Scope, Cursor>,
}

/// A follower. Times are ms of the caller's clock; memory is by what it follows.
#[derive(Clone, Debug)]
pub struct Follower<K> {
    terms: LeaseConfig,
    member: Member,
    storage: K,
    everything: bool,
    whole: BTreeMap<Scope, f64>, // With its heat.
    fetching: BTreeMap<Scope, Fetch>,
    pending: BTreeMap<Revision, Vec<Change>>, // After `in_force`; in scopes that are whole or behind.
    known: Revision,
    in_force: Revision,
    until: f64,
    last: u64,
    heard: u64,
    asked: Option<Asked>,
    due: f64,
    patience_ms: f64, // With the ask that is out.
    revision: u64,
    told: Option<u64>,              // The revision that the grantor has.
    changed: BTreeMap<Scope, bool>, // What is whole since `told` and what no more, as far as the last ask said.
    later: BTreeMap<Scope, bool>,   // The same since the last ask.
}

impl<K: Storage> Follower<K> {
    /// A gateway that knows nothing; `storage` has to be empty.
    pub fn new(terms: LeaseConfig, member: Member, storage: K) -> Self {
        let mut follower = Follower {
            terms,
            member,
            storage,
            everything: false,
            whole: BTreeMap::new(),
            fetching: BTreeMap::new(),
            pending: BTreeMap::new(),
            known: 0,
            in_force: 0,
            until: f64::NEG_INFINITY,
            last: 0,
            heard: 0,
            asked: None,
            due: f64::NEG_INFINITY,
            patience_ms: terms.poll_interval_ms(),
            revision: 1,
            told: None,
            changed: BTreeMap::new(),
            later: BTreeMap::new(),
        };
        [Scope::Zones, Scope::Fleet].into_iter().for_each(|scope| follower.subscribe(scope, f64::INFINITY));
        follower
    }

    /// A machine between: it follows every scope there is. Versions to come are for its owner to keep.
    pub fn following_all(terms: LeaseConfig, member: Member, storage: K) -> Self {
        let mut follower = Follower::new(terms, member, storage);
        follower.everything = true;
        follower.patience_ms = terms.replica_poll_interval_ms();
        follower.fetching.clear();
        follower
    }

    /// A request needs a scope, which is so hot: the hottest ones are fetched first.
    pub fn subscribe(&mut self, scope: Scope, heat: f64) {
        let heat = if scope.is_global() { f64::INFINITY } else { heat };
        if let Some(whole) = self.whole.get_mut(&scope) {
            *whole = heat;
        } else if !self.everything {
            self.fetching.entry(scope).or_insert_with(|| Fetch::starting(heat)).heat = heat;
        }
    }

    /// A scope is needed no more. Those that all follow stay.
    pub fn unsubscribe(&mut self, scope: Scope) {
        if scope.is_global() || self.everything {
            return;
        }
        self.drop_scope(scope);
    }

    fn drop_scope(&mut self, scope: Scope) {
        if self.whole.remove(&scope).is_some() {
            self.later.insert(scope, false);
        }
        self.fetching.remove(&scope);
        self.pending.values_mut().for_each(|changes| changes.retain(|c| c.scope != scope));
        self.pending.retain(|_, changes| !changes.is_empty());
        self.storage.remove_scope(scope);
    }

    /// The next ask goes to another grantor, or over another connection: it tells the whole, and may go out at once.
    pub fn reconnected(&mut self) {
        (self.told, self.asked) = (None, None);
        self.due = f64::NEG_INFINITY;
    }

    fn every_ms(&self) -> f64 {
        if self.everything {
            self.terms.replica_poll_interval_ms()
        } else {
            self.terms.poll_interval_ms()
        }
    }

    /// When the next ask is due; in the past where it is at once. Without an answer it is after as long as with one, so that
    /// a lost message is made good soon; once answers have come too late, after twice as long, up to half a lease.
    pub fn next_poll(&self) -> f64 {
        self.asked.as_ref().map_or(self.due, |asked| asked.at + self.patience_ms)
    }

    /// The next ask, if it is due at `now`. The answer to the one before will not be taken any more.
    pub fn poll(&mut self, now: f64) -> Option<PollRequest> {
        (now >= self.next_poll()).then(|| self.poll_for(now, self.known, self.in_force))
    }

    /// An ask on behalf of others, too, who know and act on no less than this.
    pub(crate) fn poll_for(&mut self, now: f64, known: Revision, in_force: Revision) -> PollRequest {
        self.last += 1;
        if !self.later.is_empty() {
            self.revision += 1;
            self.changed.append(&mut self.later);
        }
        if self.told.is_none() {
            self.begin_again();
        }
        let fetch = self.hottest();
        self.asked = Some(Asked {
            at: now,
            known,
            in_force,
            revision: self.revision,
            first: self.told.is_none(),
            fetch: fetch.iter().copied().collect(),
        });
        PollRequest {
            member: self.member.clone(),
            sequence: self.last,
            acknowledged: self.heard,
            known,
            in_force,
            subscription: self.subscription(),
            fetch,
        }
    }

    /// What was begun with one grantor is not gone on with at another: that one may have begun itself since, and not know
    /// what was removed before.
    fn begin_again(&mut self) {
        for (scope, fetch) in &mut self.fetching {
            if fetch.staged.is_none() && fetch.cursor != fetch.since {
                self.storage.clear(*scope);
            }
            fetch.cursor = fetch.since;
        }
    }

    fn subscription(&self) -> Subscription {
        let generation = self.revision;
        match self.told {
            _ if self.everything => Subscription::AllScopes { generation },
            Some(told) if told == generation => Subscription::Unchanged { generation },
            Some(from) => {
                let these = |whole| self.changed.iter().filter(move |c| *c.1 == whole).map(|c| *c.0);
                Subscription::Delta {
                    from,
                    generation,
                    added: these(true).collect(),
                    removed: these(false).collect(),
                }
            }
            None => Subscription::Complete { generation, scopes: self.whole.keys().copied().collect() },
        }
    }

    fn hottest(&self) -> Vec<(Scope, Cursor)> {
        let most = if self.everything { FETCHED_BETWEEN } else { FETCHED_AT_ONCE };
        let mut all: Vec<_> = self.fetching.iter().map(|(scope, f)| (f.heat, *scope, f.cursor)).collect();
        if all.len() > most {
            all.select_nth_unstable_by(most, |a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
            all.truncate(most);
        }
        all.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        all.into_iter().map(|(_, scope, cursor)| (scope, cursor)).collect()
    }

    /// Takes an answer that came at `now`.
    pub fn handle_response(
        &mut self, now: f64, grant: PollResponse,
    ) -> Result<Vec<FollowerEvent>, ResponseError> {
        let asked = self.accept(&grant)?;
        Ok(self.apply_response(now, asked, grant))
    }

    /// Whether an answer may be taken. If so no other one will be.
    pub(crate) fn accept(&mut self, grant: &PollResponse) -> Result<Asked, ResponseError> {
        if grant.sequence != self.last {
            // One that was not waited for: the way is longer than the patience.
            if self.asked.is_some() && (self.heard + 1..self.last).contains(&grant.sequence) {
                self.patience_ms = (2.0 * self.patience_ms).min(self.terms.response_timeout_ms());
            }
            return Err(ResponseError::Unsolicited);
        }
        let asked = self.asked.take().ok_or(ResponseError::Unsolicited)?;
        self.heard = grant.sequence;
        if grant.generation != asked.revision {
            self.told = None;
            self.due = asked.at + self.terms.prompt_poll_delay_ms();
            return Err(ResponseError::SubscriptionMismatch);
        }
        // Guards against a grantor of the past. Had it less of what is to come than is known here, a scope that becomes
        // whole by its answer would lack the rest.
        if grant.in_force < self.in_force || grant.through < self.known.max(grant.in_force) {
            self.due = asked.at + self.every_ms();
            return Err(ResponseError::Outdated { in_force: grant.in_force, through: grant.through });
        }
        Ok(asked)
    }

    /// What to act by in a scope at `now`, which has to be the time of the act.
    pub fn scope_mode(&self, now: f64, scope: Scope) -> ScopeMode {
        match self.fetching.get(&scope) {
            Some(fetch) if fetch.staged.is_some() => ScopeMode::Conservative,
            None if self.whole.contains_key(&scope) => {
                if now < self.until {
                    ScopeMode::Agreed(self.in_force)
                } else {
                    ScopeMode::Conservative
                }
            }
            _ => ScopeMode::Unknown,
        }
    }

    /// What holds under a key at `now`, by [`Follower::scope_mode`].
    pub fn entry(&self, now: f64, scope: Scope, key: Key) -> Option<Entry> {
        match self.scope_mode(now, scope) {
            ScopeMode::Agreed(_) => self.storage.get(scope, key),
            ScopeMode::Unknown => None,
            ScopeMode::Conservative => {
                let staged = self.fetching.get(&scope).and_then(|f| f.staged.as_ref()?.entries.get(&key));
                let to_come = self.pending.values().flatten().filter(|c| c.scope == scope && c.key == key);
                let others = staged.map(|(_, entry)| *entry).into_iter().chain(to_come.map(|c| c.entry));
                others.fold(self.storage.get(scope, key), |strict, entry| stricter(scope, strict, entry))
            }
        }
    }

    /// Until when its lease lasts; it holds none from then on.
    pub fn lease_until(&self) -> f64 {
        self.until
    }

    /// All versions up to this one are known to it, in its scopes.
    pub fn known(&self) -> Revision {
        self.known
    }

    /// The version that came into force last here.
    pub fn in_force(&self) -> Revision {
        self.in_force
    }

    /// Who it is.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// What it storage its state in, at the version in force. Scopes that are starting are in there in part.
    pub fn storage(&self) -> &K {
        &self.storage
    }

    pub(crate) fn storage_mut(&mut self) -> &mut K {
        &mut self.storage
    }

    /// Whether an ask is out whose answer would still be taken.
    pub fn is_polling(&self) -> bool {
        self.asked.is_some()
    }

    /// The scopes that it has whole, with their heat.
    pub fn complete_scopes(&self) -> impl Iterator<Item = (Scope, f64)> + '_ {
        self.whole.iter().map(|(scope, heat)| (*scope, *heat))
    }

    /// The scopes that are starting or behind.
    pub fn fetching_scopes(&self) -> impl Iterator<Item = Scope> + '_ {
        self.fetching.keys().copied()
    }

    /// Whether nothing that it follows is starting or behind.
    pub fn is_complete(&self) -> bool {
        self.known > 0 && self.fetching.is_empty()
    }
}

impl Follower<Tables> {
    /// A gateway in a new life that has kept a snapshot. The scopes in it are whole, as of the version in force then.
    pub fn restore(terms: LeaseConfig, member: Member, snapshot: Snapshot) -> Self {
        let scopes: Vec<Scope> = snapshot.tables.scopes().collect();
        let mut follower = Follower::new(terms, member, snapshot.tables);
        // What was to come is not in there: it has to be told again.
        (follower.known, follower.in_force) = (snapshot.in_force, snapshot.in_force);
        for scope in scopes {
            let heat = follower.fetching.remove(&scope).map_or(0.0, |fetch| fetch.heat);
            follower.whole.insert(scope, heat);
        }
        follower
    }

    /// What to keep for the next life: the scopes that are whole, as of the version in force. Costs a copy of them.
    pub fn snapshot(&self) -> Snapshot {
        let mut tables = self.storage.clone();
        self.fetching.keys().for_each(|scope| tables.remove_scope(*scope));
        Snapshot { known: self.in_force, in_force: self.in_force, tables }
    }
}
