//! Proposals that are accepted and not yet part of a version.
use std::collections::HashMap;
use std::future::pending;
use std::time::{SystemTime, UNIX_EPOCH};
use ternstack_replication::primary::Proposer;
use ternstack_replication::scope::Revision;
use tokio::sync::mpsc;

/// Proposals of one connection that may be pending; further messages are read once some are agreed.
const MAX_PENDING_PROPOSALS: usize = 64;

/// A proposal that has become part of a version.
#[derive(Clone, Copy, Debug)]
pub(super) struct AgreedProposal {
    /// The number that the connection's client gave it.
    pub proposal_id: u64,
    /// The version, which comes into force later.
    pub revision: Revision,
}

/// Where to report that a proposal has become part of a version.
#[derive(Clone, Debug)]
pub(super) struct ProposalReply {
    connection: mpsc::Sender<AgreedProposal>,
    proposal_id: u64,
}

impl ProposalReply {
    fn send(&self, revision: Revision) {
        // Fails only if the connection has ended: it has no more proposals pending than the channel holds.
        let _ = self.connection.try_send(AgreedProposal { proposal_id: self.proposal_id, revision });
    }
}

/// The replies of all pending proposals, by the number that the primary gave each.
#[derive(Debug, Default)]
pub(super) struct PendingReplies {
    by_proposal: HashMap<u64, ProposalReply>,
}

impl PendingReplies {
    pub fn insert(&mut self, proposal: u64, reply: ProposalReply) {
        self.by_proposal.insert(proposal, reply);
    }

    /// Reports to the proposers that their proposals are part of a version.
    pub fn send(&mut self, proposals: &[u64], revision: Revision) {
        for reply in proposals.iter().filter_map(|proposal| self.by_proposal.remove(proposal)) {
            reply.send(revision);
        }
    }
}

/// The pending proposals of one connection.
#[derive(Debug, Default)]
pub(super) struct ConnectionProposals {
    /// Created by the first proposal, since most connections make none.
    channel: Option<(mpsc::Sender<AgreedProposal>, mpsc::Receiver<AgreedProposal>)>,
    pending_count: usize,
}

impl ConnectionProposals {
    /// Whether another proposal may be read.
    pub fn has_capacity(&self) -> bool {
        self.pending_count < MAX_PENDING_PROPOSALS
    }

    /// The reply for the client's proposal of that number.
    pub fn reply_for(&mut self, proposal_id: u64) -> ProposalReply {
        let (sender, _) = self.channel.get_or_insert_with(|| mpsc::channel(MAX_PENDING_PROPOSALS));
        ProposalReply { connection: sender.clone(), proposal_id }
    }

    /// A proposal has been accepted.
    pub fn on_accepted(&mut self) {
        self.pending_count += 1;
    }

    /// A proposal has been agreed, and is pending no longer.
    pub fn on_agreed(&mut self) {
        self.pending_count -= 1;
    }

    /// Waits for the next proposal that is agreed. Cancel safe.
    pub async fn next_agreed(&mut self) -> AgreedProposal {
        if let Some((_, receiver)) = &mut self.channel {
            if let Some(agreed) = receiver.recv().await {
                return agreed;
            }
        }
        pending().await
    }
}

/// A proposer that proposes now.
pub(super) fn proposer(name: String) -> Proposer {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Proposer { name, proposed_ms: since_epoch.as_millis() as u64 }
}
