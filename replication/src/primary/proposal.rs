//! Proposals: their proposers, the checks that they have to pass, and the queue for the next revision.
use crate::scope::{Change, Key, Scope};

/// The most bytes of an encoded proposal, and of the proposals of one revision, so that several revisions fit a
/// frame.
pub const MAX_PROPOSAL_BYTES: usize = 64 * 1024;

/// The origin of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposer {
    /// The name of the proposer.
    pub name: String,
    /// When the proposal was made, as Unix time in ms of the proposer's clock. Informative only.
    pub proposed_ms: u64,
}

/// The reason why a proposal is rejected. The text is sent to the client, so it is part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// The proposal has no changes.
    #[error("a proposal that changes nothing")]
    Empty,
    /// An entry does not fit the scope of its change.
    #[error("the entry under key {:016x} may not stand in {scope:?}", .key.0)]
    MisplacedEntry {
        /// The scope of the change.
        scope: Scope,
        /// The key of the entry.
        key: Key,
    },
    /// The proposal has this many encoded bytes, more than [`MAX_PROPOSAL_BYTES`].
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

/// The queued proposals, in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct ProposalQueue {
    last_id: u64,
    proposals: Vec<QueuedProposal>,
}

impl ProposalQueue {
    /// Checks and queues a proposal, and returns the id of the proposal.
    pub fn push(&mut self, proposer: Proposer, changes: Vec<Change>) -> Result<u64, ProposalError> {
        let bytes = check(&changes)?;
        self.last_id += 1;
        self.proposals.push(QueuedProposal { id: self.last_id, proposer, changes, bytes });
        Ok(self.last_id)
    }

    /// Removes as many proposals from the front as fit one revision, but at least one, and returns them.
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

/// Checks the changes of a proposal, and returns the number of their encoded bytes.
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
