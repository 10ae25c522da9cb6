//! A machine between: a follower of everything, of an origin, whose followers get what it has, and leases that never outlast its own.
//!
//! It tells its grantor the least that is known to, and acted on by, itself and all whose leases by it still last. What it has
//! said never goes back, and a new follower cannot make it a lie: whoever takes an answer knows all that was known here when
//! it was given, and nobody holds a lease without having taken an answer.
use crate::follower::{Follower, News, Refused};
use crate::grantor::Grantor;
use crate::lease::Terms;
use crate::scope::Number;
use crate::store::Store;
use crate::wire::{Ask, Grant, Member};

/// A machine between. Times are ms of the caller's clock.
#[derive(Clone, Debug)]
pub struct Distributor {
    terms: Terms,
    follower: Follower<Store>,
    grantor: Grantor,
    said: (Number, Number),  // Known and in force, as last told, or as could have been.
    asked: (Number, Number), // As last told.
    asked_at: f64,
}

impl Distributor {
    /// One that knows nothing, and so answers nobody yet.
    pub fn new(terms: Terms, member: Member, now: f64) -> Self {
        Distributor {
            terms,
            follower: Follower::everything(terms, member, Store::new()),
            grantor: Grantor::new(terms, now),
            said: (0, 0),
            asked: (0, 0),
            asked_at: f64::NEG_INFINITY,
        }
    }

    /// What may be said of all at `now`.
    fn settle(&mut self, now: f64) -> (Number, Number) {
        let own = (self.follower.known(), self.follower.in_force());
        let least = self.grantor.least(now).map_or(own, |(k, f)| (k.min(own.0), f.min(own.1)));
        self.said = (self.said.0.max(least.0), self.said.1.max(least.1));
        self.said
    }

    /// When the next ask is due; sooner once there is more to tell than was told.
    pub fn next_ask(&mut self, now: f64) -> f64 {
        let due = self.follower.next_ask();
        if self.follower.is_asking() || self.settle(now) == self.asked {
            return due;
        }
        due.min(self.asked_at + self.terms.ask_soon_ms())
    }

    /// The next ask, if it is due at `now`.
    pub fn ask(&mut self, now: f64) -> Option<Ask> {
        if now < self.next_ask(now) {
            return None;
        }
        self.asked = self.settle(now);
        self.asked_at = now;
        Some(self.follower.ask_for(now, self.asked.0, self.asked.1))
    }

    /// Takes an answer that came at `now`.
    pub fn granted(&mut self, now: f64, mut grant: Grant) -> Result<Vec<News>, Refused> {
        let asked = self.follower.accept(&grant)?;
        let in_force = grant.in_force;
        let store = self.follower.keeps_mut();
        // What was known comes into force first; what the answer has in pieces is younger.
        store.in_force(in_force);
        for version in std::mem::take(&mut grant.pending) {
            store.pending(version);
        }
        let news = self.follower.take(now, asked, grant);
        // Scopes that begin with these pieces begin at this version.
        self.follower.keeps_mut().in_force(in_force);
        // Before anybody else gets a lease here.
        self.settle(now);
        Ok(news)
    }

    /// The answer to an ask that came at `now`; none while it has not everything itself, so that the follower goes elsewhere.
    pub fn asked(&mut self, now: f64, ask: &Ask) -> Option<Grant> {
        if !self.follower.is_complete() || self.follower.in_force() == 0 {
            return None;
        }
        let remaining = (self.follower.lease_until() - now).max(0.0);
        let may_lease_ms = self.terms.handed_on(remaining);
        Some(self.grantor.asked(now, self.follower.keeps(), may_lease_ms, ask))
    }

    /// The connection above is another.
    pub fn moved(&mut self) {
        self.follower.moved();
    }

    /// What it has.
    pub fn store(&self) -> &Store {
        self.follower.keeps()
    }

    /// Its own side towards its grantor.
    pub fn follower(&self) -> &Follower<Store> {
        &self.follower
    }

    /// Its side towards its followers.
    pub fn grantor(&self) -> &Grantor {
        &self.grantor
    }

    /// Forgets what was removed before a version.
    pub fn forget_removed(&mut self, before: Number) {
        self.follower.keeps_mut().forget_removed(before);
    }
}
