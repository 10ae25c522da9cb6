//! A machine between: a follower of everything, of an origin, whose followers get what it has, and leases that never outlast its own.
//!
//! It tells its grantor the least that is known to, and acted on by, itself and all whose leases by it still last. What it has
//! said never goes back, and a new follower cannot make it a lie: whoever takes an answer knows all that was known here when
//! it was given, and nobody holds a lease without having taken an answer.
use crate::follower::{Follower, FollowerEvent, ResponseError};
use crate::lease::LeaseConfig;
use crate::lessor::Lessor;
use crate::scope::Revision;
use crate::store::Store;
use crate::wire::{Member, PollRequest, PollResponse};

/// A machine between. Times are ms of the caller's clock.
#[derive(Clone, Debug)]
pub struct Replica {
    terms: LeaseConfig,
    follower: Follower<Store>,
    lessor: Lessor,
    said: (Revision, Revision), // Known and in force, as last told, or as could have been.
    asked: (Revision, Revision), // As last told.
    asked_at: f64,
}

impl Replica {
    /// One that knows nothing, and so answers nobody yet.
    pub fn new(terms: LeaseConfig, member: Member, now: f64) -> Self {
        Replica {
            terms,
            follower: Follower::following_all(terms, member, Store::new()),
            lessor: Lessor::new(terms, now),
            said: (0, 0),
            asked: (0, 0),
            asked_at: f64::NEG_INFINITY,
        }
    }

    /// What may be said of all at `now`.
    fn settle(&mut self, now: f64) -> (Revision, Revision) {
        let own = (self.follower.known(), self.follower.in_force());
        let least = self.lessor.min_progress(now).map_or(own, |(k, f)| (k.min(own.0), f.min(own.1)));
        self.said = (self.said.0.max(least.0), self.said.1.max(least.1));
        self.said
    }

    /// When the next ask is due; sooner once there is more to tell than was told.
    pub fn next_poll(&mut self, now: f64) -> f64 {
        let due = self.follower.next_poll();
        if self.follower.is_polling() || self.settle(now) == self.asked {
            return due;
        }
        due.min(self.asked_at + self.terms.prompt_poll_delay_ms())
    }

    /// The next ask, if it is due at `now`.
    pub fn poll(&mut self, now: f64) -> Option<PollRequest> {
        if now < self.next_poll(now) {
            return None;
        }
        self.asked = self.settle(now);
        self.asked_at = now;
        Some(self.follower.poll_for(now, self.asked.0, self.asked.1))
    }

    /// Takes an answer that came at `now`.
    pub fn handle_response(
        &mut self, now: f64, mut grant: PollResponse,
    ) -> Result<Vec<FollowerEvent>, ResponseError> {
        let asked = self.follower.accept(&grant)?;
        let in_force = grant.in_force;
        let store = self.follower.storage_mut();
        // What was known comes into force first; what the answer has in pieces is younger.
        store.advance_to(in_force);
        for version in std::mem::take(&mut grant.pending) {
            store.add_pending(version);
        }
        let news = self.follower.apply_response(now, asked, grant);
        // Scopes that begin with these pieces begin at this version.
        self.follower.storage_mut().advance_to(in_force);
        // Before anybody else gets a lease here.
        self.settle(now);
        Ok(news)
    }

    /// The answer to an ask that came at `now`; none while it has not everything itself, so that the follower goes elsewhere.
    pub fn handle_poll(&mut self, now: f64, ask: &PollRequest) -> Option<PollResponse> {
        if !self.follower.is_complete() || self.follower.in_force() == 0 {
            return None;
        }
        let remaining = (self.follower.lease_until() - now).max(0.0);
        let may_lease_ms = self.terms.sublease_ms(remaining);
        Some(self.lessor.handle_poll(now, self.follower.storage(), may_lease_ms, ask))
    }

    /// The connection above is another.
    pub fn reconnected(&mut self) {
        self.follower.reconnected();
    }

    /// What it has.
    pub fn store(&self) -> &Store {
        self.follower.storage()
    }

    /// Its own side towards its grantor.
    pub fn follower(&self) -> &Follower<Store> {
        &self.follower
    }

    /// Its side towards its followers.
    pub fn lessor(&self) -> &Lessor {
        &self.lessor
    }

    /// Forgets what was removed before a version.
    pub fn purge_tombstones(&mut self, before: Revision) {
        self.follower.storage_mut().purge_tombstones(before);
    }
}
