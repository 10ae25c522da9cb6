//! The replication state machines behind a server.
use ternstack_replication::primary::{Primary, ProposalError, Proposer};
use ternstack_replication::replica::Replica;
use ternstack_replication::scope::{Change, Revision};
use ternstack_replication::store::Store;
use ternstack_replication::wire::{PollRequest, PollResponse};
use thiserror::Error;

/// Why a server rejects a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposalRejected {
    /// The changes are not valid.
    #[error("{0}")]
    Invalid(ProposalError),
    /// The server is a replica: only the primary takes proposals.
    #[error("a distributor takes no proposals, expected an origin")]
    NotPrimary,
}

/// A state machine that responds to polls. Times are in ms of the server's clock.
pub trait ServerCore: Send + 'static {
    /// The response to a poll; `None` if there is none now: the client may find one at another server.
    fn on_poll(&mut self, now_ms: f64, poll: &PollRequest) -> Option<PollResponse>;
    /// The replicated state.
    fn store(&self) -> &Store;
    /// How many clients hold a lease that it has granted.
    fn lease_count(&self, now_ms: f64) -> usize;
    /// How long its own lease lasts yet, in ms; `None` if it needs none.
    fn remaining_lease_ms(&self, now_ms: f64) -> Option<f64>;
    /// Accepts a proposal and returns its number.
    fn propose(&mut self, proposer: Proposer, changes: Vec<Change>) -> Result<u64, ProposalRejected>;
    /// Drops the tombstones of entries that were removed before a version.
    fn forget_removed(&mut self, before: Revision);
}

impl ServerCore for Primary {
    fn on_poll(&mut self, now_ms: f64, poll: &PollRequest) -> Option<PollResponse> {
        // A single process is its own majority until there are voters.
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

    fn forget_removed(&mut self, before: Revision) {
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

    fn forget_removed(&mut self, before: Revision) {
        Replica::purge_tombstones(self, before);
    }
}
