//! The interface of the replication state machines that run in a server.
use ternstack_replication::primary::{Primary, ProposalError, Proposer};
use ternstack_replication::replica::Replica;
use ternstack_replication::scope::{Change, Revision};
use ternstack_replication::store::Store;
use ternstack_replication::wire::{PollRequest, PollResponse};
use thiserror::Error;

/// The reason why a server rejects a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposalRejected {
    /// The changes are not valid.
    #[error(transparent)]
    Invalid(ProposalError),
    /// The server is a replica, and only the primary accepts proposals.
    #[error("a distributor takes no proposals, expected an origin")]
    NotPrimary,
}

/// A state machine that responds to polls. Times are in ms of the server's clock.
pub trait ServerCore: Send + 'static {
    /// Returns the response to a poll; `None` while the replicated state is not complete or no revision is in
    /// force. The client may get a response from another server then.
    fn on_poll(&mut self, now_ms: f64, poll: &PollRequest) -> Option<PollResponse>;
    /// Returns the replicated state.
    fn store(&self) -> &Store;
    /// Returns the number of clients that hold a lease granted by this server.
    fn lease_count(&self, now_ms: f64) -> usize;
    /// Returns the remaining time of this server's own lease, in ms; `None` for a primary, which needs no
    /// lease.
    fn remaining_lease_ms(&self, now_ms: f64) -> Option<f64>;
    /// Accepts a proposal and returns the number assigned to the proposal.
    ///
    /// # Errors
    /// A [`ProposalRejected`] if the changes are not valid or the server is a replica.
    fn propose(&mut self, proposer: Proposer, changes: Vec<Change>) -> Result<u64, ProposalRejected>;
    /// Purges the tombstones of entries that were removed before a revision.
    fn purge_tombstones(&mut self, before: Revision);
}

impl ServerCore for Primary {
    fn on_poll(&mut self, now_ms: f64, poll: &PollRequest) -> Option<PollResponse> {
        // There are no other voters yet, so a single process is always the majority.
        self.confirm_leadership(now_ms);
        self.handle_poll(now_ms, poll)
    }

    fn store(&self) -> &Store {
        Primary::store(self)
    }

    fn lease_count(&self, now_ms: f64) -> usize {
        self.lessor().holders(now_ms).count()
    }

    fn remaining_lease_ms(&self, _: f64) -> Option<f64> {
        None
    }

    fn propose(&mut self, proposer: Proposer, changes: Vec<Change>) -> Result<u64, ProposalRejected> {
        Primary::propose(self, proposer, changes).map_err(ProposalRejected::Invalid)
    }

    fn purge_tombstones(&mut self, before: Revision) {
        self.compact(before);
    }
}

impl ServerCore for Replica {
    fn on_poll(&mut self, now_ms: f64, poll: &PollRequest) -> Option<PollResponse> {
        self.handle_poll(now_ms, poll)
    }

    fn store(&self) -> &Store {
        Replica::store(self)
    }

    fn lease_count(&self, now_ms: f64) -> usize {
        self.lessor().holders(now_ms).count()
    }

    fn remaining_lease_ms(&self, now_ms: f64) -> Option<f64> {
        Some((self.follower().lease_until() - now_ms).max(0.0))
    }

    fn propose(&mut self, _: Proposer, _: Vec<Change>) -> Result<u64, ProposalRejected> {
        Err(ProposalRejected::NotPrimary)
    }

    fn purge_tombstones(&mut self, before: Revision) {
        Replica::purge_tombstones(self, before);
    }
}
