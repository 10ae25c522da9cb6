//! Proposals that are accepted but not yet part of a revision, and the replies to their proposers.
use std::collections::HashMap;
use std::future::pending;
use std::time::{SystemTime, UNIX_EPOCH};
use ternstack_replication::primary::Proposer;
use ternstack_replication::scope::Revision;
use tokio::sync::mpsc;

/// The maximum number of pending proposals of one connection. At the maximum the server reads no further
/// messages from the connection until a proposal is agreed.
const MAX_PENDING_PROPOSALS: usize = 64;

/// A proposal that has become part of a revision.
#[derive(Clone, Copy, Debug)]
pub(super) struct AgreedProposal {
    /// The id that the client assigned to the proposal.
    pub proposal_id: u64,
    /// The revision that the proposal is part of, which comes into force later.
    pub revision: Revision,
}

/// A handle that reports to the proposer's connection that a proposal has become part of a revision.
#[derive(Clone, Debug)]
pub(super) struct ProposalReply {
    connection: mpsc::Sender<AgreedProposal>,
    proposal_id: u64,
}

impl ProposalReply {
    fn send(&self, revision: Revision) {
        // Fails only if the connection has ended, because a connection never has more proposals pending than
        // the channel holds.
        let _ = self.connection.try_send(AgreedProposal { proposal_id: self.proposal_id, revision });
    }
}

/// The replies to all pending proposals, by the number that the primary assigned to the proposal.
#[derive(Debug, Default)]
pub(super) struct PendingReplies {
    by_proposal_number: HashMap<u64, ProposalReply>,
}

impl PendingReplies {
    pub fn insert(&mut self, proposal_number: u64, reply: ProposalReply) {
        self.by_proposal_number.insert(proposal_number, reply);
    }

    /// Reports to the proposers that their proposals have become part of a revision.
    pub fn send(&mut self, proposal_numbers: &[u64], revision: Revision) {
        for reply in proposal_numbers.iter().filter_map(|number| self.by_proposal_number.remove(number)) {
            reply.send(revision);
        }
    }
}

/// The pending proposals of one connection.
#[derive(Debug, Default)]
pub(super) struct ConnectionProposals {
    /// The channel that reports agreed proposals to the connection. The first proposal creates the channel,
    /// because most connections carry no proposals.
    channel: Option<(mpsc::Sender<AgreedProposal>, mpsc::Receiver<AgreedProposal>)>,
    pending: usize,
}

impl ConnectionProposals {
    /// Returns whether another proposal may be read from the connection.
    pub fn has_capacity(&self) -> bool {
        self.pending < MAX_PENDING_PROPOSALS
    }

    /// Returns the handle for the reply to the proposal to which the client has assigned this id.
    pub fn reply_for(&mut self, proposal_id: u64) -> ProposalReply {
        let (sender, _) = self.channel.get_or_insert_with(|| mpsc::channel(MAX_PENDING_PROPOSALS));
        ProposalReply { connection: sender.clone(), proposal_id }
    }

    /// Records that a proposal has been accepted and is pending.
    pub fn on_accepted(&mut self) {
        self.pending += 1;
    }

    /// Records that a proposal has been agreed and is no longer pending.
    pub fn on_agreed(&mut self) {
        self.pending -= 1;
    }

    /// Waits for the next proposal that is agreed. The method is cancel safe.
    pub async fn next_agreed(&mut self) -> AgreedProposal {
        if let Some((_, receiver)) = &mut self.channel {
            if let Some(agreed) = receiver.recv().await {
                return agreed;
            }
        }
        pending().await
    }
}

/// Returns a proposer of that name whose time of proposal is the current time.
pub(super) fn proposer(name: String) -> Proposer {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Proposer { name, proposed_ms: since_epoch.as_millis() as u64 }
}
