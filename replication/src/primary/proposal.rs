//! Proposals: who makes them, which are accepted, and the queue of those that wait for the next revision.
use crate::scope::{Change, Key, Scope};

/// The most bytes of an encoded proposal, and of the proposals of one revision: several revisions fit a frame.
pub const MAX_PROPOSAL_BYTES: usize = 64 * 1024;

/// Who has made a proposal, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposer {
    /// Its name.
    pub name: String,
    /// Unix time in ms of its clock. Informative only.
    pub proposed_ms: u64,
}

/// Why a proposal is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// It has no changes.
    #[error("a proposal that changes nothing")]
    Empty,
    /// An entry does not belong into its scope.
    #[error("the entry under key {:016x} may not stand in {scope:?}", .key.0)]
    MisplacedEntry {
        /// The scope.
        scope: Scope,
        /// The key of the entry.
        key: Key,
    },
    /// It has so many encoded bytes, more than [`MAX_PROPOSAL_BYTES`].
    #[error("a proposal of {0} bytes, expected {MAX_PROPOSAL_BYTES} at most")]
    TooLong(usize),
}

/// A proposal that waits for the next revision.
#[derive(Clone, Debug)]
pub(super) struct QueuedProposal {
    pub id: u64,
    pub proposer: Proposer,
    pub changes: Vec<Change>,
    bytes: usize,
}

/// Proposals in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct ProposalQueue {
    last_id: u64,
    proposals: Vec<QueuedProposal>,
}

impl ProposalQueue {
    /// Checks a proposal, queues it, and returns its id.
    pub fn push(&mut self, proposer: Proposer, changes: Vec<Change>) -> Result<u64, ProposalError> {
        let bytes = check(&changes)?;
        self.last_id += 1;
        self.proposals.push(QueuedProposal { id: self.last_id, proposer, changes, bytes });
        Ok(self.last_id)
    }

    /// Takes as many proposals from the front as fit one revision, one at least.
    pub fn take_batch(&mut self) -> Vec<QueuedProposal> {
        let mut bytes = 0;
        let fits = |proposal: &QueuedProposal| {
            bytes += proposal.bytes;
            bytes <= MAX_PROPOSAL_BYTES
        };
        let count = self.proposals.iter().map(fits).take_while(|fits| *fits).count().max(1);
        self.proposals.drain(..count).collect()
    }

    pub fn len(&self) -> usize {
        self.proposals.len()
    }

    pub fn is_empty(&self) -> bool {
        self.proposals.is_empty()
    }
}

/// Checks the changes of a proposal, and returns their encoded bytes.
fn check(changes: &[Change]) -> Result<usize, ProposalError> {
    if changes.is_empty() {
        return Err(ProposalError::Empty);
    }
    let is_misplaced = |change: &&Change| change.entry.is_some_and(|entry| !entry.fits(change.scope));
    if let Some(change) = changes.iter().find(is_misplaced) {
        return Err(ProposalError::MisplacedEntry { scope: change.scope, key: change.key });
    }
    // Encoding these types into memory cannot fail.
    let bytes = postcard::to_allocvec(changes).map_or(usize::MAX, |encoded| encoded.len());
    if bytes > MAX_PROPOSAL_BYTES {
        return Err(ProposalError::TooLong(bytes));
    }
    Ok(bytes)
}
