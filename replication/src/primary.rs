//! The source of revisions: it puts proposals together into revisions, and brings these into force in two steps.
//!
//! The order of revisions, and that one is in force, are to be agreed among voters. For now they are the decision of one
//! server, and [`Primary::confirm_leadership`] is told when its leadership has last been confirmed.
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

/// How a revision came about. Informative only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionRecord {
    /// The term of the consensus in which it was agreed.
    pub epoch: u64,
    /// Who made its proposals, in their order.
    pub proposers: Vec<Proposer>,
    /// SHA-256 of its encoded changes.
    pub digest: [u8; 32],
}

/// What a primary has done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrimaryEvent {
    /// Proposals have become a revision, which is pending.
    Agreed {
        /// The revision.
        revision: Revision,
        /// The ids that [`Primary::propose`] gave to the proposals.
        proposals: Vec<u64>,
    },
    /// All revisions up to this one are in force.
    InForce(Revision),
}

/// The primary, for as long as it leads. Times are in ms of the caller's clock.
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
    /// A leader from `now` on, in a term of the consensus, with all agreed revisions, in force or pending.
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

    /// Queues a proposal, all of whose changes come into force in one revision, and returns its id.
    ///
    /// # Errors
    /// A [`ProposalError`] if the proposal is rejected.
    pub fn propose(&mut self, proposer: Proposer, changes: Vec<Change>) -> Result<u64, ProposalError> {
        self.queue.push(proposer, changes)
    }

    /// When [`Primary::tick`] has to be called, in ms, if proposals are queued. It has to be called after each poll, too.
    pub fn next_tick(&self) -> Option<f64> {
        (!self.queue.is_empty()).then_some(self.batched_at + self.config.batch_ms)
    }

    /// Creates a revision if one is due, and brings into force what may be.
    pub fn tick(&mut self, now: f64) -> Vec<PrimaryEvent> {
        let mut events: Vec<_> = self.batch(now).into_iter().collect();
        if let Some(revision) = self.ready(now) {
            self.advance_to(revision);
            events.push(PrimaryEvent::InForce(revision));
        }
        events
    }

    /// Puts queued proposals together into a revision, unless the last one is too recent.
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

    /// The revision up to which all may come into force at `now`, if any: every lease that lasts is held by a member that
    /// knows it and acts on the one in force, so that no member falls two revisions behind.
    pub fn ready(&self, now: f64) -> Option<Revision> {
        let (in_force, through) = (self.store.in_force(), self.store.through());
        // Leases of the previous leader are unknown here until they have expired.
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

    /// It has been agreed that all revisions up to this one are in force.
    pub fn advance_to(&mut self, revision: Revision) {
        self.store.advance_to(revision);
    }

    /// A majority has confirmed that this was the leader at `at`, in ms.
    pub fn confirm_leadership(&mut self, at: f64) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// The response to a poll that has arrived at `now`. There is none before a revision is in force, nor unless a majority
    /// has confirmed the leadership since the poll arrived: a leader that was replaced does not know it, and its last
    /// confirmation is older.
    pub fn handle_poll(&mut self, now: f64, request: &PollRequest) -> Option<PollResponse> {
        if self.confirmed_at < now || self.store.in_force() == 0 {
            return None;
        }
        Some(self.lessor.handle_poll(now, &self.store, self.config.lease_ms, request))
    }

    /// The state in force, and pending revisions.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Its side towards its followers.
    pub fn lessor(&self) -> &Lessor {
        &self.lessor
    }

    /// The number of proposals that wait for a revision.
    pub fn queued_proposals(&self) -> usize {
        self.queue.len()
    }

    /// How a revision came about, if it was created here and its record is not compacted.
    pub fn record(&self, revision: Revision) -> Option<&RevisionRecord> {
        self.records.get(&revision)
    }

    /// Forgets records and tombstones older than a revision.
    pub fn compact(&mut self, before: Revision) {
        self.records = self.records.split_off(&before);
        self.store.purge_tombstones(before);
    }
}

/// The last change of each key, by scope and key.
fn last_changes(proposals: &[QueuedProposal]) -> Vec<Change> {
    let mut changes = BTreeMap::new();
    for change in proposals.iter().flat_map(|proposal| &proposal.changes) {
        changes.insert((change.scope, change.key), *change);
    }
    changes.into_values().collect()
}
