//! The messages between followers, lessors and admin clients.
//!
//! postcard encodes fields and variants by their order, so the order of both is part of the wire format.
use crate::scope::{Change, ChangeSet, Digest, Entry, Key, Revision, Scope};
use crate::wire::Traffic;
use serde::{Deserialize, Serialize};

/// A process that polls. One that restarts without its state keeps its name and takes another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Distinguishes the starts of one name.
    pub incarnation: u64,
}

/// A position in a scope, whose entries are in the order of (revision that changed it, key): the last one received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cursor {
    /// The revision that changed the entry.
    pub revision: Revision,
    /// Its key.
    pub key: u64,
}

impl Cursor {
    /// The position after everything that was changed up to a revision.
    pub fn after(revision: Revision) -> Self {
        Cursor { revision, key: u64::MAX }
    }
}

/// The scopes of which a follower has a complete copy; a lessor remembers them by member. The generation counts up with
/// every change of this set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subscription {
    /// As the lessor remembers it.
    Unchanged {
        /// The generation that it remembers.
        generation: u64,
    },
    /// Changes since an earlier generation.
    Delta {
        /// The generation before. A lessor that remembers another one answers with its own, and does nothing else.
        from: u64,
        /// The generation from now on.
        generation: u64,
        /// Scopes that have become complete.
        added: Vec<Scope>,
        /// Scopes that are no longer followed, or no longer complete.
        removed: Vec<Scope>,
    },
    /// All complete scopes.
    Complete {
        /// The generation from now on.
        generation: u64,
        /// The scopes.
        scopes: Vec<Scope>,
    },
    /// Every scope there is, as replicas have them.
    AllScopes {
        /// The generation from now on.
        generation: u64,
    },
}

/// A follower asks for a lease and for changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Who asks.
    pub member: Member,
    /// Counts up; the response carries it back.
    pub sequence: u64,
    /// The sequence of the last poll whose response has arrived, from any lessor; 0 for none.
    pub acknowledged: u64,
    /// The follower knows all revisions up to this one in every complete scope. Of a replica: the lowest such revision of
    /// itself and of all who hold its leases.
    pub known: Revision,
    /// The revision that the follower acts on, or acted on last. Of a replica: the lowest one, likewise.
    pub in_force: Revision,
    /// The scopes of which it has a complete copy.
    pub subscription: Subscription,
    /// Scopes to fetch, by descending priority, with the position that each has reached.
    pub fetch: Vec<(Scope, Cursor)>,
}

/// One entry in a [`ScopeChunk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkEntry {
    /// The revision that changed it last.
    pub revision: Revision,
    /// Its key.
    pub key: Key,
    /// Its value; `None` for a tombstone.
    pub entry: Option<Entry>,
}

/// A part of a scope's content at the revision in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeChunk {
    /// The scope.
    pub scope: Scope,
    /// Everything received of the scope before is void: this chunk is the first of a new fetch.
    pub restart: bool,
    /// Entries and tombstones in the order of (revision, key).
    pub entries: Vec<ChunkEntry>,
    /// The digest of the scope, if this chunk completes it; `None` where more is to be fetched.
    pub final_digest: Option<Digest>,
}

/// The response to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollResponse {
    /// The request's sequence.
    pub sequence: u64,
    /// The generation of the subscription that the lessor remembers. If it is not the follower's, the rest of the response
    /// is void, and the next request has to carry the complete subscription.
    pub generation: u64,
    /// How long the lease lasts from the moment of the request, in us of the follower's clock; 0 for no lease.
    pub lease_us: u64,
    /// The revision in force. The lease is for it.
    pub in_force: Revision,
    /// All revisions up to this one are in this response or were known before.
    pub through: Revision,
    /// What has changed up to `in_force` in complete scopes, and chunks of scopes that are fetched.
    pub chunks: Vec<ScopeChunk>,
    /// Complete scopes whose changes do not fit in this response. They are to be fetched from [`Cursor::after`] the revision
    /// that the follower knew.
    pub stale: Vec<Scope>,
    /// The revisions after `in_force` that the follower does not know, in its scopes; for scopes that this response
    /// completes, all revisions after `in_force`. In order, each once, without those that change nothing for it.
    pub pending: Vec<ChangeSet>,
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a follower.
    PollRequest(PollRequest),
    /// From a lessor.
    PollResponse(PollResponse),
    /// From an admin client to the primary: changes that come into force in one revision.
    Propose {
        /// Chosen by the client; the answer carries it back.
        proposal_id: u64,
        /// The changes.
        changes: Vec<Change>,
    },
    /// From the primary, once the proposal is part of a revision or is rejected.
    Proposed {
        /// The proposal's id.
        proposal_id: u64,
        /// The revision that it is part of, which comes into force later; or why it was rejected.
        revision: Result<Revision, String>,
    },
    /// From anyone: asks for the status.
    GetStatus,
    /// The answer to [`Message::GetStatus`].
    Status(Status),
}

/// The status of a control server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The server's name.
    pub name: String,
    /// The revision in force there.
    pub in_force: Revision,
    /// The last revision that is known there.
    pub through: Revision,
    /// The digest of its state at the revision in force.
    pub digest: Digest,
    /// How many members hold leases that it granted.
    pub followers: u64,
    /// How long its own lease still lasts, in ms; `None` at the primary, which needs none.
    pub lease_ms: Option<u64>,
    /// Messages and bytes since its start.
    pub traffic: Traffic,
}
