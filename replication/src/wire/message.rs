//! The messages between followers, lessors and admin clients.
//!
//! postcard encodes fields and variants by their order, so the order of both is part of the wire format.
use crate::scope::{Change, ChangeSet, Digest, Entry, Key, Revision, Scope};
use crate::wire::Traffic;
use serde::{Deserialize, Serialize};

/// A process that polls. A process that restarts without its state keeps its name and takes another
/// incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The name of the process, which stays the same across restarts.
    pub name: String,
    /// The number that distinguishes the starts of a process.
    pub incarnation: u64,
}

/// A position in a scope: that of the last entry received. The entries of a scope are in the order of the
/// revisions that last changed them, and of their keys within a revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cursor {
    /// The revision that last changed the entry.
    pub revision: Revision,
    /// The key of the entry.
    pub key: u64,
}

impl Cursor {
    /// Returns the position after everything that was changed up to a revision.
    pub fn after(revision: Revision) -> Self {
        Cursor { revision, key: u64::MAX }
    }
}

/// The scopes of which a follower has a complete copy, which a lessor stores for each member. The generation
/// counts up with every change of this set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subscription {
    /// The set is the one that the lessor has stored.
    Unchanged {
        /// The generation that the lessor has stored.
        generation: u64,
    },
    /// Changes since an earlier generation.
    Delta {
        /// The generation that the changes apply to. A lessor that has stored another generation only responds
        /// with that generation.
        from: u64,
        /// The generation after the changes.
        generation: u64,
        /// Scopes that have become complete.
        added: Vec<Scope>,
        /// Scopes that are no longer followed, or no longer complete.
        removed: Vec<Scope>,
    },
    /// The set of all complete scopes.
    Complete {
        /// The generation of the set.
        generation: u64,
        /// The complete scopes.
        scopes: Vec<Scope>,
    },
    /// The set of all scopes, which replicas follow.
    AllScopes {
        /// The generation of the set.
        generation: u64,
    },
}

/// A follower's request for a lease and for changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// The member that polls.
    pub member: Member,
    /// The sequence number of the poll, which counts up and is repeated in the response.
    pub sequence: u64,
    /// The sequence number of the last poll whose response has arrived, from any lessor; 0 for none.
    pub acknowledged: u64,
    /// The follower knows all revisions up to this one in every complete scope. A replica sends the lowest such
    /// revision among itself and all holders of its leases.
    pub known: Revision,
    /// The revision that the follower acts on, or acted on last. A replica sends the lowest such revision among
    /// itself and all holders of its leases.
    pub in_force: Revision,
    /// The scopes of which the follower has a complete copy.
    pub subscription: Subscription,
    /// The scopes to fetch, by descending priority, with the position that the fetch of each scope has reached.
    pub fetch: Vec<(Scope, Cursor)>,
}

/// One entry in a [`ScopeChunk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkEntry {
    /// The revision that last changed the entry.
    pub revision: Revision,
    /// The key of the entry.
    pub key: Key,
    /// The value of the entry; `None` for a tombstone.
    pub entry: Option<Entry>,
}

/// A part of a scope's content at the revision in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeChunk {
    /// The scope that the entries belong to.
    pub scope: Scope,
    /// Whether this chunk is the first of a new fetch, which voids everything received of the scope before.
    pub restart: bool,
    /// Entries and tombstones in the order of (revision, key).
    pub entries: Vec<ChunkEntry>,
    /// The digest of the scope if this chunk completes the scope; `None` if more chunks have to be fetched.
    pub final_digest: Option<Digest>,
}

/// The response to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollResponse {
    /// The sequence number of the request.
    pub sequence: u64,
    /// The generation of the subscription that the lessor has stored. If the follower's generation differs, the
    /// rest of the response is void, and the next request has to carry the complete subscription.
    pub generation: u64,
    /// How long the lease lasts from the moment of the request, in us of the follower's clock; 0 for no lease.
    pub lease_us: u64,
    /// The revision in force, for which the lease is granted.
    pub in_force: Revision,
    /// All revisions up to this one are in this response or were known to the follower before.
    pub through: Revision,
    /// The changes up to `in_force` in complete scopes, and chunks of the scopes that the request fetches.
    pub chunks: Vec<ScopeChunk>,
    /// Complete scopes whose changes do not fit this response. The follower has to fetch these scopes from
    /// [`Cursor::after`] the revision that it knew.
    pub stale: Vec<Scope>,
    /// The revisions after `in_force` that the follower does not know, with the changes in its scopes only; for
    /// scopes that this response completes, all revisions after `in_force`. The revisions are in order, each
    /// once, and revisions without a change for the follower are left out.
    pub pending: Vec<ChangeSet>,
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A poll of a follower.
    PollRequest(PollRequest),
    /// The answer of a lessor to [`Message::PollRequest`].
    PollResponse(PollResponse),
    /// A proposal of an admin client to the primary, whose changes come into force in one revision.
    Propose {
        /// The id that the client has chosen, which is repeated in the answer.
        proposal_id: u64,
        /// The changes that the client proposes.
        changes: Vec<Change>,
    },
    /// The answer of the primary to [`Message::Propose`], once the proposal is part of a revision or is
    /// rejected.
    Proposed {
        /// The id of the proposal that is answered.
        proposal_id: u64,
        /// The revision that the proposal is part of, which comes into force later, or the reason for the
        /// rejection.
        revision: Result<Revision, String>,
    },
    /// A request for the status of a control server, which any peer may send.
    GetStatus,
    /// The answer to [`Message::GetStatus`].
    Status(Status),
}

/// The status of a control server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the control server.
    pub name: String,
    /// The revision in force at the server.
    pub in_force: Revision,
    /// The last revision that the server knows.
    pub through: Revision,
    /// The digest of the server's state at the revision in force.
    pub digest: Digest,
    /// The number of members that hold leases granted by the server.
    pub followers: u64,
    /// The remaining time of the server's own lease, in ms; `None` at the primary, which needs no lease.
    pub lease_ms: Option<u64>,
    /// The messages and bytes since the start of the server.
    pub traffic: Traffic,
}
