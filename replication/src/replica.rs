//! A control server between the primary and gateways: it follows every scope, and answers followers of its own with leases
//! that end no later than its lease.
//!
//! It reports to the primary the lowest progress of itself and of all who hold its leases. A new follower cannot invalidate a
//! report, so reports never go back: whoever applies a response knows all that the replica knew when it sent it, and nobody
//! holds a lease without having applied a response.
use crate::follower::{Follower, FollowerEvent, ResponseError};
use crate::lease::LeaseConfig;
use crate::lessor::Lessor;
use crate::progress::Progress;
use crate::scope::Revision;
use crate::store::Store;
use crate::wire::{Member, PollRequest, PollResponse};

/// A replica. Times are in ms of the caller's clock.
#[derive(Clone, Debug)]
pub struct Replica {
    config: LeaseConfig,
    follower: Follower<Store>,
    lessor: Lessor,
    /// The highest progress that may be reported.
    reportable: Progress,
    /// The progress in the last poll.
    reported: Progress,
    polled_at: f64,
}

impl Replica {
    /// A replica that knows nothing and does not answer polls yet.
    pub fn new(config: LeaseConfig, member: Member, now: f64) -> Self {
        Replica {
            config,
            follower: Follower::following_all(config, member, Store::new()),
            lessor: Lessor::new(config, now),
            reportable: Progress::default(),
            reported: Progress::default(),
            polled_at: f64::NEG_INFINITY,
        }
    }

    /// Updates the reportable progress at `now`, and returns it.
    fn update_reportable(&mut self, now: f64) -> Progress {
        let own = Progress { known: self.follower.known(), in_force: self.follower.in_force() };
        let lowest = self.lessor.min_progress(now).map_or(own, |holders| holders.min(own));
        self.reportable = self.reportable.max(lowest);
        self.reportable
    }

    /// When the next poll is due, in ms; it is prompt if there is progress to report.
    pub fn next_poll(&mut self, now: f64) -> f64 {
        let due = self.follower.next_poll();
        if self.follower.is_polling() || self.update_reportable(now) == self.reported {
            return due;
        }
        due.min(self.polled_at + self.config.prompt_poll_delay_ms())
    }

    /// The next poll, if it is due at `now`.
    pub fn poll(&mut self, now: f64) -> Option<PollRequest> {
        if now < self.next_poll(now) {
            return None;
        }
        self.reported = self.update_reportable(now);
        self.polled_at = now;
        Some(self.follower.poll_for(now, self.reported.known, self.reported.in_force))
    }

    /// Applies a response that has arrived at `now`, and says what it has changed.
    ///
    /// # Errors
    /// A [`ResponseError`] if the response is rejected.
    pub fn handle_response(
        &mut self, now: f64, mut response: PollResponse,
    ) -> Result<Vec<FollowerEvent>, ResponseError> {
        let poll = self.follower.accept(&response)?;
        let in_force = response.in_force;
        let store = self.follower.storage_mut();
        // Known revisions come into force first: the chunks in the response are newer.
        store.advance_to(in_force);
        for change_set in std::mem::take(&mut response.pending) {
            store.add_pending(change_set);
        }
        let events = self.follower.apply_response(now, poll, response);
        // Scopes that were fetched from the start begin at this revision.
        self.follower.storage_mut().advance_to(in_force);
        // Before another follower gets a lease.
        self.update_reportable(now);
        Ok(events)
    }

    /// The response to a poll that has arrived at `now`; `None` while the replica is not complete itself, so that the
    /// follower moves to another lessor.
    pub fn handle_poll(&mut self, now: f64, request: &PollRequest) -> Option<PollResponse> {
        if !self.follower.is_complete() || self.follower.in_force() == 0 {
            return None;
        }
        let remaining_ms = (self.follower.lease_until() - now).max(0.0);
        let max_lease_ms = self.config.sublease_ms(remaining_ms);
        Some(self.lessor.handle_poll(now, self.follower.storage(), max_lease_ms, request))
    }

    /// The connection to the lessor is a new one.
    pub fn reconnected(&mut self) {
        self.follower.reconnected();
    }

    /// Its state.
    pub fn store(&self) -> &Store {
        self.follower.storage()
    }

    /// Its side towards its lessor.
    pub fn follower(&self) -> &Follower<Store> {
        &self.follower
    }

    /// Its side towards its followers.
    pub fn lessor(&self) -> &Lessor {
        &self.lessor
    }

    /// Forgets tombstones older than a revision.
    pub fn purge_tombstones(&mut self, before: Revision) {
        self.follower.storage_mut().purge_tombstones(before);
    }
}
