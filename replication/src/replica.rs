//! A control server between the primary and the gateways. A replica follows every scope, and answers followers
//! of its own with leases that end no later than the replica's own lease.
//!
//! A replica reports to the primary the lowest progress among itself and all holders of its leases. A new
//! follower cannot invalidate a report, so the reported progress never decreases: a follower that
//! applies a response knows everything that the replica knew when it sent the response, and no follower holds a
//! lease without having applied a response.
use crate::follower::{Follower, FollowerEvent, ResponseError};
use crate::lease::LeaseConfig;
use crate::lessor::Lessor;
use crate::progress::Progress;
use crate::scope::Revision;
use crate::store::Store;
use crate::wire::{Member, PollRequest, PollResponse};

/// A follower of every scope that grants leases itself. Times are in ms of the caller's clock.
#[derive(Clone, Debug)]
pub struct Replica {
    config: LeaseConfig,
    follower: Follower<Store>,
    lessor: Lessor,
    /// The highest progress that may be reported to the lessor.
    reportable: Progress,
    /// The progress that the last poll has reported.
    reported: Progress,
    polled_at: f64,
}

impl Replica {
    /// Creates a replica that knows no revision and does not answer polls yet.
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

    /// Updates the reportable progress at `now`, and returns the updated progress.
    fn update_reportable(&mut self, now: f64) -> Progress {
        let own = Progress { known: self.follower.known(), in_force: self.follower.in_force() };
        let lowest = self.lessor.min_progress(now).map_or(own, |holders| holders.min(own));
        self.reportable = self.reportable.max(lowest);
        self.reportable
    }

    /// Returns when the next poll is due, in ms; the next poll is prompt if there is progress to report.
    pub fn next_poll(&mut self, now: f64) -> f64 {
        let due = self.follower.next_poll();
        if self.follower.is_polling() || self.update_reportable(now) == self.reported {
            return due;
        }
        due.min(self.polled_at + self.config.prompt_poll_delay_ms())
    }

    /// Returns the next poll, if it is due at `now`.
    pub fn poll(&mut self, now: f64) -> Option<PollRequest> {
        if now < self.next_poll(now) {
            return None;
        }
        self.reported = self.update_reportable(now);
        self.polled_at = now;
        Some(self.follower.poll_for(now, self.reported.known, self.reported.in_force))
    }

    /// Applies a response that has arrived at `now`, and returns what the response has changed.
    ///
    /// # Errors
    /// Returns a [`ResponseError`] if the response is rejected.
    pub fn handle_response(
        &mut self, now: f64, mut response: PollResponse,
    ) -> Result<Vec<FollowerEvent>, ResponseError> {
        let poll = self.follower.accept(&response)?;
        let in_force = response.in_force;
        let store = self.follower.storage_mut();
        // Known revisions come into force before the chunks are stored, because the chunks are newer.
        store.advance_to(in_force);
        for change_set in std::mem::take(&mut response.pending) {
            store.add_pending(change_set);
        }
        let events = self.follower.apply_response(now, poll, response);
        // The chunks may have replaced the contents of some scopes. This second call records `in_force` as
        // the revision at which the history of these scopes begins, because earlier removals are unknown.
        self.follower.storage_mut().advance_to(in_force);
        // The progress is updated before another follower gets a lease and may lower the minimum.
        self.update_reportable(now);
        Ok(events)
    }

    /// Returns the response to a poll that has arrived at `now`, or `None` while the replica is not complete
    /// itself, so that the follower moves to another lessor.
    pub fn handle_poll(&mut self, now: f64, request: &PollRequest) -> Option<PollResponse> {
        if !self.follower.is_complete() || self.follower.in_force() == 0 {
            return None;
        }
        let remaining_ms = (self.follower.lease_until() - now).max(0.0);
        let max_lease_ms = self.config.sublease_ms(remaining_ms);
        Some(self.lessor.handle_poll(now, self.follower.storage(), max_lease_ms, request))
    }

    /// Records that the replica has a new connection to its lessor, so that the next poll is due at once.
    pub fn reconnected(&mut self) {
        self.follower.reconnected();
    }

    /// Returns the replicated state.
    pub fn store(&self) -> &Store {
        self.follower.storage()
    }

    /// Returns the follower, which polls the replica's own lessor.
    pub fn follower(&self) -> &Follower<Store> {
        &self.follower
    }

    /// Returns the lessor, which answers the polls of the replica's followers.
    pub fn lessor(&self) -> &Lessor {
        &self.lessor
    }

    /// Purges tombstones older than the revision `before`.
    pub fn purge_tombstones(&mut self, before: Revision) {
        self.follower.storage_mut().purge_tombstones(before);
    }
}
