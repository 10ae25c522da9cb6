//! Where versions begin: proposals are put together into versions, and these come into force in two steps.
//!
//! The order of versions, and that one is in force, are agreed among voters. Here this is one machine's word;
//! [`Primary::confirm_leadership`] is told when its leadership has last been confirmed.
use crate::lease::LeaseConfig;
use crate::lessor::Lessor;
use crate::scope::{Change, ChangeSet, Key, Revision, Scope};
use crate::store::Store;
use crate::wire::{PollRequest, PollResponse};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;

/// The most bytes of one proposal, as encoded: several fit a frame, with room for the rest.
pub const MAX_PROPOSAL_BYTES: usize = 64 * 1024;

/// Who proposed, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposer {
    /// Its name.
    pub name: String,
    /// Unix time in ms by its clock: for readers, never for decisions.
    pub proposed_ms: u64,
}

/// What is told of a version to readers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The term of the consensus in which it was agreed.
    pub epoch: u64,
    /// Whose proposals it is made of, in their order.
    pub proposers: Vec<Proposer>,
    /// SHA-256 of its changes as encoded.
    pub digest: [u8; 32],
}

/// Why a proposal is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalError {
    /// It changes nothing.
    Empty,
    /// An entry may not stand in that scope.
    MisplacedEntry {
        /// Where it was to stand.
        scope: Scope,
        /// Under which key.
        key: Key,
    },
    /// It has so many bytes as encoded, which is over [`MAX_PROPOSAL_BYTES`].
    TooLong(usize),
}

impl std::fmt::Display for ProposalError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ProposalError::Empty => write!(f, "a proposal that changes nothing"),
            ProposalError::MisplacedEntry { scope, key } => {
                write!(f, "the entry under key {:016x} may not stand in {scope:?}", key.0)
            }
            ProposalError::TooLong(bytes) => {
                write!(f, "a proposal of {bytes} bytes, expected {MAX_PROPOSAL_BYTES} at most")
            }
        }
    }
}

impl std::error::Error for ProposalError {}

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrimaryEvent {
    /// Proposals, by the numbers that [`Primary::propose`] gave them, make up a version.
    Agreed {
        /// The version.
        revision: Revision,
        /// The proposals.
        proposals: Vec<u64>,
    },
    /// All versions up to this one are in force.
    InForce(Revision),
}

#[derive(Clone, Debug)]
struct Waiting {
    number: u64,
    proposer: Proposer,
    changes: Vec<Change>,
    bytes: usize,
}

/// The origin, for as long as it leads. Times are ms of the caller's clock.
#[derive(Clone, Debug)]
pub struct Primary {
    terms: LeaseConfig,
    epoch: u64,
    began: f64,
    confirmed: f64,
    store: Store,
    lessor: Lessor,
    waiting: Vec<Waiting>,
    proposed: u64,
    batched: f64,
    records: BTreeMap<Revision, Record>,
}

impl Primary {
    /// A leader from `now` on, in a term of the consensus, with all agreed versions, in force or to come.
    pub fn new(terms: LeaseConfig, now: f64, epoch: u64, store: Store) -> Self {
        Primary {
            terms,
            epoch,
            began: now,
            confirmed: now,
            store,
            lessor: Lessor::new(terms, now),
            waiting: Vec::new(),
            proposed: 0,
            batched: f64::NEG_INFINITY,
            records: BTreeMap::new(),
        }
    }

    /// Takes a proposal, all of whose changes come into force in one version, and numbers it.
    pub fn propose(&mut self, proposer: Proposer, changes: Vec<Change>) -> Result<u64, ProposalError> {
        if changes.is_empty() {
            return Err(ProposalError::Empty);
        }
        if let Some(c) = changes.iter().find(|c| c.entry.is_some_and(|entry| !entry.fits(c.scope))) {
            return Err(ProposalError::MisplacedEntry { scope: c.scope, key: c.key });
        }
        // Nothing of these types can fail to be written.
        let bytes = postcard::to_allocvec(&changes).map_or(usize::MAX, |b| b.len());
        if bytes > MAX_PROPOSAL_BYTES {
            return Err(ProposalError::TooLong(bytes));
        }
        self.proposed += 1;
        self.waiting.push(Waiting { number: self.proposed, proposer, changes, bytes });
        Ok(self.proposed)
    }

    /// When [`Primary::tick`] has something to do by itself: the end of a batch, if proposals wait. Whatever is asked may give it more.
    pub fn next_tick(&self) -> Option<f64> {
        (!self.waiting.is_empty()).then_some(self.batched + self.terms.batch_ms)
    }

    /// Puts waiting proposals together where it is time, and brings into force what may be.
    pub fn tick(&mut self, now: f64) -> Vec<PrimaryEvent> {
        let mut happened: Vec<_> = self.batch(now).into_iter().collect();
        if let Some(number) = self.ready(now) {
            self.advance_to(number);
            happened.push(PrimaryEvent::InForce(number));
        }
        happened
    }

    /// Puts the proposals that wait together into a version, unless the last one was just now.
    pub fn batch(&mut self, now: f64) -> Option<PrimaryEvent> {
        if self.waiting.is_empty() || now < self.batched + self.terms.batch_ms {
            return None;
        }
        self.batched = now;
        let mut bytes = 0;
        let fits = |w: &Waiting| {
            bytes += w.bytes;
            bytes <= MAX_PROPOSAL_BYTES
        };
        let count = self.waiting.iter().map(fits).take_while(|fits| *fits).count().max(1);
        let taken: Vec<Waiting> = self.waiting.drain(..count).collect();
        let mut changes = BTreeMap::new();
        for change in taken.iter().flat_map(|w| &w.changes) {
            // The last word on a key counts.
            changes.insert((change.scope, change.key), *change);
        }
        let changes: Vec<Change> = changes.into_values().collect();
        let number = self.store.through() + 1;
        let bytes = postcard::to_allocvec(&changes).unwrap_or_default();
        let proposals = taken.iter().map(|w| w.number).collect();
        let record = Record {
            epoch: self.epoch,
            proposers: taken.into_iter().map(|w| w.proposer).collect(),
            digest: Sha256::digest(bytes).into(),
        };
        self.records.insert(number, record);
        self.store.add_pending(ChangeSet { revision: number, changes });
        Some(PrimaryEvent::Agreed { revision: number, proposals })
    }

    /// The version up to which all may come into force at `now`, if any: every lease is held by who knows it and acts on the
    /// one in force, or has run out. Guards against versions that follow each other so fast that somebody is always behind.
    pub fn ready(&self, now: f64) -> Option<Revision> {
        let (number, through) = (self.store.in_force(), self.store.through());
        // Guards against leases of the leader before, of whom nothing is known here.
        if through == number || number > 0 && now < self.began + self.terms.max_held_ms() {
            return None;
        }
        match self.lessor.min_progress(now) {
            None => Some(through),
            Some((known, in_force)) => {
                let next = known.min(through);
                (next > number && in_force >= number).then_some(next)
            }
        }
    }

    /// It has been agreed that all versions up to this one are in force.
    pub fn advance_to(&mut self, number: Revision) {
        self.store.advance_to(number);
    }

    /// A majority has confirmed that this was the leader at `at`.
    pub fn confirm_leadership(&mut self, at: f64) {
        self.confirmed = self.confirmed.max(at);
    }

    /// A member asks at `now`. There is no answer unless a majority confirmed the leadership after the ask came (the caller
    /// holds it back so long), nor before there is a version in force.
    pub fn handle_poll(&mut self, now: f64, ask: &PollRequest) -> Option<PollResponse> {
        // Guards against a leader that has been replaced and does not know: its confirmations are old.
        if self.confirmed < now || self.store.in_force() == 0 {
            return None;
        }
        Some(self.lessor.handle_poll(now, &self.store, self.terms.lease_ms, ask))
    }

    /// State in force, and versions to come.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Its side towards its followers.
    pub fn lessor(&self) -> &Lessor {
        &self.lessor
    }

    /// How many proposals wait for their version.
    pub fn queued_proposals(&self) -> usize {
        self.waiting.len()
    }

    /// What is told of a version, if it was put together here and not forgotten.
    pub fn record(&self, number: Revision) -> Option<&Record> {
        self.records.get(&number)
    }

    /// Forgets records, and what was removed, before a version.
    pub fn compact(&mut self, before: Revision) {
        self.records = self.records.split_off(&before);
        self.store.purge_tombstones(before);
    }
}
