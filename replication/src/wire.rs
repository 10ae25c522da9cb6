//! What followers and grantors send each other, and its bytes.
//!
//! A follower asks, a grantor answers; nothing is sent unasked. An ask tells all that its answer depends on, so that answers
//! may be lost, doubled or late: a follower takes the answer to its *last* ask and no other.
//!
//! A frame is four bytes of length (big endian, of what follows), one byte [`FORMAT_VERSION`], four bytes CRC-32 (IEEE, big endian,
//! of the rest), and a [`Message`] in postcard's encoding.
use crate::scope::{Change, ChangeSet, Digest, Entry, Key, Revision, Scope};
use serde::{Deserialize, Serialize};

/// The encoding's version. A frame of another one is refused.
pub const FORMAT_VERSION: u8 = 1;
/// What stands before a message's bytes in a frame, length included.
pub const HEADER_BYTES: usize = 9;
/// The longest frame that is read, header included, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// A member in one of its lives: who returns under its old name with nothing has another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Which life.
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
    pub complete: Option<Digest>,
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

/// A number of messages and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficCount {
    /// Messages.
    pub messages: u64,
    /// Bytes of their frames.
    pub bytes: u64,
}

/// Messages and bytes by cause. A message counts once, for the first of these that applies: initial fetch, changes, lease.
/// Its bytes are divided among all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficByCause {
    /// Poll requests.
    #[serde(rename = "asks")]
    pub polls: TrafficCount,
    /// Poll responses without content, and the overhead of all others.
    pub leases: TrafficCount,
    /// Pending revisions, and changes in complete scopes.
    pub changes: TrafficCount,
    /// Chunks of scopes that were fetched.
    #[serde(rename = "starts")]
    pub fetches: TrafficCount,
    /// Proposals, status requests and their answers.
    #[serde(rename = "staff")]
    pub admin: TrafficCount,
}

/// Messages and bytes in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// From peers.
    pub read: TrafficByCause,
    /// To peers.
    pub written: TrafficByCause,
}

/// Why bytes are no message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The length is under a header's or over [`MAX_FRAME_BYTES`].
    Length(usize),
    /// Another [`FORMAT_VERSION`].
    Format(u8),
    /// The checksum is not that of the bytes.
    Checksum,
    /// The bytes are of no message, or there are more than it needs.
    Content(String),
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::Length(n) => {
                write!(f, "a frame of {n} bytes, expected {HEADER_BYTES} to {MAX_FRAME_BYTES}")
            }
            FrameError::Format(n) => write!(f, "a frame of format {n}, expected {FORMAT_VERSION}"),
            FrameError::Checksum => write!(f, "a frame whose checksum is not that of its bytes"),
            FrameError::Content(what) => write!(f, "a frame that holds no message: {what}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Appends a message as a frame.
pub fn encode(message: &Message, to: &mut Vec<u8>) -> Result<(), FrameError> {
    let bytes = postcard::to_allocvec(message).map_err(|e| FrameError::Content(e.to_string()))?;
    if bytes.len() + HEADER_BYTES > MAX_FRAME_BYTES {
        return Err(FrameError::Length(bytes.len() + HEADER_BYTES));
    }
    to.extend_from_slice(&((bytes.len() + HEADER_BYTES - 4) as u32).to_be_bytes());
    to.push(FORMAT_VERSION);
    to.extend_from_slice(&crc32fast::hash(&bytes).to_be_bytes());
    to.extend_from_slice(&bytes);
    Ok(())
}

/// Reads the first message of `from`, and how many bytes it took; `None` where more bytes are needed.
pub fn decode(from: &[u8]) -> Result<Option<(Message, usize)>, FrameError> {
    let Some((length, rest)) = from.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length + 4 < HEADER_BYTES || length + 4 > MAX_FRAME_BYTES {
        return Err(FrameError::Length(length + 4));
    }
    // The format is told as soon as it is there: a peer of another one may frame otherwise.
    if let Some(format) = rest.first().filter(|f| **f != FORMAT_VERSION) {
        return Err(FrameError::Format(*format));
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let Some((checksum, bytes)) = frame[1..].split_first_chunk::<4>() else {
        return Err(FrameError::Length(length + 4));
    };
    if crc32fast::hash(bytes) != u32::from_be_bytes(*checksum) {
        return Err(FrameError::Checksum);
    }
    match postcard::take_from_bytes(bytes).map_err(|e| FrameError::Content(e.to_string()))? {
        (message, []) => Ok(Some((message, length + 4))),
        (_, more) => Err(FrameError::Content(format!("{} bytes too many", more.len()))),
    }
}
