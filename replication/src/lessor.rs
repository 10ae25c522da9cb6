//! The answering side, for an origin and for machines between: news, pieces within a budget of bytes, leases.
//!
//! It has no queue for anybody: an answer is worked out from the store and from what the ask tells, and costs what has
//! changed since. Of each follower it storage the scopes that it has whole, its lease, and its budget.
use crate::lease::LeaseConfig;
use crate::scope::{Change, ChangeSet, Revision, Scope};
use crate::store::Store;
use crate::wire::{
    Cursor, Member, PollRequest, PollResponse, ScopeChunk, Subscription, HEADER_BYTES, MAX_FRAME_BYTES,
};
use postcard::ser_flavors::Size;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What an answer's versions to come, and its pieces, may take each, in bytes: both fit a frame together with the rest.
const MOST: usize = MAX_FRAME_BYTES / 3;
/// A piece is not begun with less left, in bytes: its frame would outweigh it.
const LEAST: usize = 64;
/// What a piece takes besides its entries, in bytes, at most.
const FRAME: usize = 32;

/// A set of scopes by their dense numbers.
#[derive(Clone, Debug, Default)]
struct Bits(Vec<u64>);

impl Bits {
    fn set(&mut self, at: usize, on: bool) {
        if on && self.0.len() <= at / 64 {
            self.0.resize(at / 64 + 1, 0);
        }
        if let Some(word) = self.0.get_mut(at / 64) {
            *word = *word & !(1 << (at % 64)) | u64::from(on) << (at % 64);
        }
    }

    fn has(&self, at: usize) -> bool {
        self.0.get(at / 64).is_some_and(|word| word >> (at % 64) & 1 == 1)
    }

    fn all(&self) -> impl Iterator<Item = usize> + '_ {
        let bits = |(n, word): (usize, &u64)| {
            let word = *word;
            (0..64).filter(move |bit| word >> bit & 1 == 1).map(move |bit| n * 64 + bit)
        };
        self.0.iter().enumerate().flat_map(bits)
    }
}

/// A number for every scope that anybody follows.
#[derive(Clone, Debug, Default)]
struct Numbered {
    by_scope: HashMap<Scope, usize>,
    scopes: Vec<Scope>,
}

impl Numbered {
    fn of(&mut self, scope: Scope) -> usize {
        let scopes = &mut self.scopes;
        *self.by_scope.entry(scope).or_insert_with(|| {
            scopes.push(scope);
            scopes.len() - 1
        })
    }
}

/// What a follower has whole.
#[derive(Clone, Debug)]
enum Whole {
    All,
    These(Bits),
}

/// A follower, as its grantor knows it.
#[derive(Clone, Debug)]
struct Followed {
    generation: u64, // 0 where its scopes are not known.
    whole: Whole,
    until: f64, // Its lease, by the grantor's clock.
    known: Revision,
    in_force: Revision,
    asked_at: f64,
    /// The first answer of which it has not said that it came, nor any later one, and when it went out.
    unheard: Option<(u64, f64)>,
    bytes: f64, // What it may be sent yet.
}

impl Followed {
    fn new(now: f64, bytes: f64, first: u64) -> Self {
        Followed {
            generation: 0,
            whole: Whole::These(Bits::default()),
            until: f64::NEG_INFINITY,
            known: 0,
            in_force: 0,
            asked_at: now,
            // Until it has heard anything it gets no lease.
            unheard: Some((first, f64::NEG_INFINITY)),
            bytes,
        }
    }

    /// What is to come goes whatever it takes, and again until it is heard. No more than a burst of that is owed, so that who
    /// heard nothing for a while is not without pieces for longer than that.
    fn spend(&mut self, bytes: usize, burst: f64) {
        self.bytes = (self.bytes - bytes as f64).max(-burst);
    }

    fn has(&self, numbered: &Numbered, scope: Scope) -> bool {
        match &self.whole {
            Whole::All => true,
            Whole::These(bits) => numbered.by_scope.get(&scope).is_some_and(|at| bits.has(*at)),
        }
    }

    /// Takes in what it tells of its scopes; false where that does not follow from what is known here.
    fn subscribe(&mut self, numbered: &mut Numbered, subscription: &Subscription) -> bool {
        match subscription {
            Subscription::Unchanged { generation } => return self.generation == *generation,
            Subscription::Delta { from, generation, added, removed } => {
                // A revision in between is one whose answer was lost: all that has changed since `from` is told again.
                let Whole::These(bits) = &mut self.whole else { return false };
                if self.generation == 0 || !(*from..=*generation).contains(&self.generation) {
                    return false;
                }
                added.iter().for_each(|scope| bits.set(numbered.of(*scope), true));
                removed.iter().for_each(|scope| bits.set(numbered.of(*scope), false));
                self.generation = *generation;
            }
            Subscription::Complete { generation, scopes } => {
                let mut bits = Bits::default();
                scopes.iter().for_each(|scope| bits.set(numbered.of(*scope), true));
                (self.whole, self.generation) = (Whole::These(bits), *generation);
            }
            Subscription::AllScopes { generation } => {
                (self.whole, self.generation) = (Whole::All, *generation);
            }
        }
        true
    }
}

/// What a message takes as a frame, in bytes.
fn bytes_of(message: &impl Serialize) -> usize {
    // One byte says which kind of message it is. Nothing of these types can fail to be written.
    postcard::serialize_with_flavor::<_, Size, usize>(message, Size::default()).unwrap_or(MAX_FRAME_BYTES)
        + HEADER_BYTES
        + 1
}

/// Answers followers. Times are ms of the caller's clock.
#[derive(Clone, Debug)]
pub struct Lessor {
    terms: LeaseConfig,
    followed: BTreeMap<Member, Followed>,
    numbered: Numbered,
    tidied: f64,
}

impl Lessor {
    /// One that has given no lease yet.
    pub fn new(terms: LeaseConfig, now: f64) -> Self {
        Lessor { terms, followed: BTreeMap::new(), numbered: Numbered::default(), tidied: now }
    }

    /// The answer to an ask that came at `now`, from what is in the store. Its lease is no longer than `may_lease_ms`, which
    /// is 0 where none may be given.
    ///
    /// A lease never lasts past one lease's time after the first answer that its holder has not said to have heard: who asks
    /// and hears no answer, over a link that is cut one way, holds the others up no longer than if it had died then. For the
    /// same reason nobody gets one with the first answer here: it might go from one grantor to the next and hear none.
    pub fn handle_poll(
        &mut self, now: f64, store: &Store, may_lease_ms: f64, ask: &PollRequest,
    ) -> PollResponse {
        self.tidy(now);
        let everything = matches!(ask.subscription, Subscription::AllScopes { .. });
        let rate = if everything { self.terms.replica_bytes_per_s } else { self.terms.bytes_per_s };
        let burst = rate * self.terms.burst_s;
        let new = || Followed::new(now, burst, ask.sequence);
        let follower = self.followed.entry(ask.member.clone()).or_insert_with(new);
        let mut grant = PollResponse {
            sequence: ask.sequence,
            generation: follower.generation,
            lease_us: 0,
            in_force: store.in_force(),
            through: store.through(),
            chunks: Vec::new(),
            stale: Vec::new(),
            pending: Vec::new(),
        };
        follower.bytes = (follower.bytes + rate * (now - follower.asked_at).max(0.0) / 1000.0).min(burst);
        follower.asked_at = follower.asked_at.max(now);
        if follower.unheard.is_some_and(|(number, _)| ask.acknowledged >= number) {
            follower.unheard = None;
        }
        let (_, since) = *follower.unheard.get_or_insert((ask.sequence, now));
        if !follower.subscribe(&mut self.numbered, &ask.subscription) {
            follower.spend(bytes_of(ask) + bytes_of(&grant), burst);
            return grant;
        }
        grant.generation = follower.generation;
        let most = (follower.bytes - bytes_of(ask) as f64).clamp(0.0, MOST as f64) as usize;
        changes(store, &self.numbered, follower, ask, most, &mut grant);
        fetched(store, ask, most, &mut grant);
        let complete = to_come(store, &self.numbered, follower, ask, &mut grant);
        let lease_ms = self.terms.lease_ms.min(may_lease_ms).min(since + self.terms.lease_ms - now);
        // Who is not told all that is to come must not be taken for one that knows it.
        if complete && lease_ms > 0.0 {
            grant.lease_us = (lease_ms * 1000.0) as u64;
            follower.until = follower.until.max(now + self.terms.held_for_ms(grant.lease_us as f64 / 1000.0));
        }
        // What it is sent now counts as known only once it says so.
        follower.known = follower.known.max(ask.known);
        follower.in_force = follower.in_force.max(ask.in_force);
        follower.spend(bytes_of(ask) + bytes_of(&grant), burst);
        grant
    }

    /// Forgets who has not asked for so long that its lease is over, and its budget full.
    fn tidy(&mut self, now: f64) {
        let long = self.terms.max_held_ms().max(self.terms.burst_s * 1000.0) * 2.0;
        if now > self.tidied + long {
            self.tidied = now;
            self.followed.retain(|_, f| f.until > now || now - f.asked_at < long);
        }
    }

    /// The least that is known to, and the least that is acted on by, all whose leases last at `now`; `None` where none do.
    pub fn min_progress(&self, now: f64) -> Option<(Revision, Revision)> {
        let all = self.holders(now).map(|(_, known, in_force)| (known, in_force));
        all.reduce(|a, b| (a.0.min(b.0), a.1.min(b.1)))
    }

    /// Who holds a lease at `now`, with what it said that it knows and that it acts on.
    pub fn holders(&self, now: f64) -> impl Iterator<Item = (&Member, Revision, Revision)> {
        self.followed.iter().filter(move |(_, f)| f.until > now).map(|(m, f)| (m, f.known, f.in_force))
    }

    /// How many followers are remembered.
    pub fn follower_count(&self) -> usize {
        self.followed.len()
    }
}

/// What has changed in scopes that the follower has whole.
fn changes(
    store: &Store, numbered: &Numbered, to: &Followed, ask: &PollRequest, most: usize,
    grant: &mut PollResponse,
) {
    if ask.known >= store.in_force() {
        return;
    }
    let fetched: BTreeSet<Scope> = ask.fetch.iter().map(|(scope, _)| *scope).collect();
    let mut changed: Vec<Scope> = match &to.whole {
        // What was removed before this store began is not known to it: each scope has to be looked at.
        Whole::These(bits) if ask.known < store.complete_from() => {
            bits.all().filter_map(|at| numbered.scopes.get(at)).copied().collect()
        }
        Whole::All if ask.known < store.complete_from() => store.scopes().collect(),
        _ => store.changed_since(ask.known).filter(|s| to.has(numbered, *s)).collect(),
    };
    changed.retain(|scope| !fetched.contains(scope));
    changed.sort_unstable();
    let mut used = 0;
    for scope in changed {
        let left = most.saturating_sub(used + FRAME);
        let part = (left >= LEAST).then(|| store.chunk(scope, Cursor::after(ask.known), left));
        // One entry goes whatever its length.
        match part.filter(|part| part.complete.is_some() && bytes_of(part) <= left + FRAME) {
            Some(part) => {
                used += bytes_of(&part);
                grant.chunks.push(part);
            }
            None => grant.stale.push(scope),
        }
    }
}

/// The pieces that the follower fetches, as far as the budget goes.
fn fetched(store: &Store, ask: &PollRequest, most: usize, grant: &mut PollResponse) {
    let mut used: usize = grant.chunks.iter().map(bytes_of).sum();
    for (scope, cursor) in &ask.fetch {
        let left = most.saturating_sub(used + FRAME);
        if left < LEAST {
            return;
        }
        let part: ScopeChunk = store.chunk(*scope, *cursor, left);
        used += bytes_of(&part);
        grant.chunks.push(part);
    }
}

/// The versions that are to come; false where they do not all fit, and the answer tells of fewer.
fn to_come(
    store: &Store, numbered: &Numbered, to: &Followed, ask: &PollRequest, grant: &mut PollResponse,
) -> bool {
    let fetched: BTreeSet<Scope> = ask.fetch.iter().map(|(scope, _)| *scope).collect();
    let whole = |part: &&ScopeChunk| part.complete.is_some() && fetched.contains(&part.scope);
    let whole: BTreeSet<Scope> = grant.chunks.iter().filter(whole).map(|part| part.scope).collect();
    // A scope that is whole only now has none of them, not even those that are known.
    let from = if whole.is_empty() { ask.known.max(store.in_force()) } else { store.in_force() };
    let mut used = 0;
    for version in store.pending_since(from) {
        let new = version.revision > ask.known;
        let touches = |c: &&Change| whole.contains(&c.scope) || new && to.has(numbered, c.scope);
        let changes: Vec<_> = version.changes.iter().filter(touches).copied().collect();
        if changes.is_empty() {
            continue;
        }
        let version = ChangeSet { revision: version.revision, changes };
        used += bytes_of(&version);
        if used > MOST && new && !grant.pending.is_empty() {
            grant.through = version.revision - 1;
            return false;
        }
        grant.pending.push(version);
    }
    true
}
