//! The source of revisions: it batches proposals into revisions, and brings revisions into force in two steps.
//!
//! Voters are to agree on the order of revisions and on which revision is in force. For now a single server
//! decides both, and [`Primary::confirm_leadership`] records when its leadership was last confirmed.
mod proposal;

use crate::lease::LeaseConfig;
use crate::lessor::Lessor;
use crate::scope::{Change, ChangeSet, Revision};
use crate::store::Store;
use crate::wire::{PollRequest, PollResponse};
pub use proposal::{ProposalError, Proposer, MAX_PROPOSAL_BYTES};
use proposal::{ProposalQueue, QueuedProposal};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;

/// The origin of a revision. Informative only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionRecord {
    /// The term of the consensus in which the revision was agreed.
    pub epoch: u64,
    /// The proposers of the revision's proposals, in the order of the proposals.
    pub proposers: Vec<Proposer>,
    /// The SHA-256 of the revision's encoded changes.
    pub digest: [u8; 32],
}

/// A step that the primary has taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrimaryEvent {
    /// Proposals have become a revision, which is pending.
    Agreed {
        /// The new revision.
        revision: Revision,
        /// The ids that [`Primary::propose`] gave to the proposals.
        proposals: Vec<u64>,
    },
    /// All revisions up to this one are in force.
    InForce(Revision),
}

/// The primary during its leadership. Times are in ms of the caller's clock.
#[derive(Clone, Debug)]
pub struct Primary {
    config: LeaseConfig,
    epoch: u64,
    leads_since: f64,
    confirmed_at: f64,
    store: Store,
    lessor: Lessor,
    queue: ProposalQueue,
    batched_at: f64,
    records: BTreeMap<Revision, RevisionRecord>,
}

impl Primary {
    /// Creates a leader from `now` on in the consensus term `epoch`. `store` has to contain all agreed
    /// revisions, whether in force or pending.
    pub fn new(config: LeaseConfig, now: f64, epoch: u64, store: Store) -> Self {
        Primary {
            config,
            epoch,
            leads_since: now,
            confirmed_at: now,
            store,
            lessor: Lessor::new(config, now),
            queue: ProposalQueue::default(),
            batched_at: f64::NEG_INFINITY,
            records: BTreeMap::new(),
        }
    }

    /// Queues a proposal, all of whose changes come into force in one revision, and returns the id of the
    /// proposal.
    ///
    /// # Errors
    /// Returns a [`ProposalError`] if the proposal is rejected.
    pub fn propose(&mut self, proposer: Proposer, changes: Vec<Change>) -> Result<u64, ProposalError> {
        self.queue.push(proposer, changes)
    }

    /// Returns when [`Primary::tick`] has to be called next, in ms, or `None` if no proposal is queued.
    /// [`Primary::tick`] has to be called after each poll as well.
    pub fn next_tick(&self) -> Option<f64> {
        (!self.queue.is_empty()).then_some(self.batched_at + self.config.batch_ms)
    }

    /// Creates a revision if one is due, and brings the revisions into force that are [ready](Primary::ready).
    pub fn tick(&mut self, now: f64) -> Vec<PrimaryEvent> {
        let mut events: Vec<_> = self.batch(now).into_iter().collect();
        if let Some(revision) = self.ready(now) {
            self.advance_to(revision);
            events.push(PrimaryEvent::InForce(revision));
        }
        events
    }

    /// Batches queued proposals into a revision, unless the previous revision is too recent.
    pub fn batch(&mut self, now: f64) -> Option<PrimaryEvent> {
        if self.queue.is_empty() || now < self.batched_at + self.config.batch_ms {
            return None;
        }
        self.batched_at = now;
        let proposals = self.queue.take_batch();
        let changes = last_changes(&proposals);
        let revision = self.store.through() + 1;
        let encoded = postcard::to_allocvec(&changes).unwrap_or_default();
        let ids = proposals.iter().map(|proposal| proposal.id).collect();
        let record = RevisionRecord {
            epoch: self.epoch,
            proposers: proposals.into_iter().map(|proposal| proposal.proposer).collect(),
            digest: Sha256::digest(encoded).into(),
        };
        self.records.insert(revision, record);
        self.store.add_pending(ChangeSet { revision, changes });
        Some(PrimaryEvent::Agreed { revision, proposals: ids })
    }

    /// Returns the revision up to which all revisions may come into force at `now`, if there is any: every
    /// holder of a current lease knows this revision and acts on the one in force, so that no member falls two
    /// revisions behind.
    pub fn ready(&self, now: f64) -> Option<Revision> {
        let (in_force, through) = (self.store.in_force(), self.store.through());
        // Leases that the previous leader has granted are unknown to this leader until they have expired.
        let may_have_older_leases = in_force > 0 && now < self.leads_since + self.config.max_held_ms();
        if through == in_force || may_have_older_leases {
            return None;
        }
        match self.lessor.min_progress(now) {
            None => Some(through),
            Some(lowest) => {
                let next = lowest.known.min(through);
                (next > in_force && lowest.in_force >= in_force).then_some(next)
            }
        }
    }

    /// Brings all revisions up to this one into force, once the voters have agreed to do so.
    pub fn advance_to(&mut self, revision: Revision) {
        self.store.advance_to(revision);
    }

    /// Records that a majority has confirmed this server as the leader at `at`, in ms.
    pub fn confirm_leadership(&mut self, at: f64) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Returns the response to a poll that has arrived at `now`. There is no response before a revision is in
    /// force, or unless a majority has confirmed the leadership since the poll arrived, because a replaced
    /// leader does not know that it was replaced, and its last confirmation is older than the poll.
    pub fn handle_poll(&mut self, now: f64, request: &PollRequest) -> Option<PollResponse> {
        if self.confirmed_at < now || self.store.in_force() == 0 {
            return None;
        }
        Some(self.lessor.handle_poll(now, &self.store, self.config.lease_ms, request))
    }

    /// Returns the state in force, and pending revisions.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the lessor, which answers the polls of the primary's followers.
    pub fn lessor(&self) -> &Lessor {
        &self.lessor
    }

    /// Returns the number of proposals that wait for a revision.
    pub fn queued_proposals(&self) -> usize {
        self.queue.len()
    }

    /// Returns the origin of a revision, or `None` if another server created the revision or its record was
    /// compacted.
    pub fn record(&self, revision: Revision) -> Option<&RevisionRecord> {
        self.records.get(&revision)
    }

    /// Discards records and tombstones older than the revision `before`.
    pub fn compact(&mut self, before: Revision) {
        self.records = self.records.split_off(&before);
        self.store.purge_tombstones(before);
    }
}

/// Returns the last change of each key, by scope and key.
fn last_changes(proposals: &[QueuedProposal]) -> Vec<Change> {
    let mut changes = BTreeMap::new();
    for change in proposals.iter().flat_map(|proposal| &proposal.changes) {
        changes.insert((change.scope, change.key), *change);
    }
    changes.into_values().collect()
}
