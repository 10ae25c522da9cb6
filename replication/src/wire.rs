//! What followers and grantors send each other, and its bytes.
//!
//! A follower asks, a grantor answers; nothing is sent unasked. An ask tells all that its answer depends on, so that answers
//! may be lost, doubled or late: a follower takes the answer to its *last* ask and no other.
//!
//! A frame is four bytes of length (big endian, of what follows), one byte [`FORMAT`], four bytes CRC-32 (IEEE, big endian,
//! of the rest), and a [`Message`] in postcard's encoding.
use crate::scope::{Change, Digest, Entry, Key, Number, Scope, Version};
use serde::{Deserialize, Serialize};

/// The encoding's version. A frame of another one is refused.
pub const FORMAT: u8 = 1;
/// What stands before a message's bytes in a frame, length included.
pub const HEADER: usize = 9;
/// The longest frame that is read, header included, in bytes.
pub const LONGEST: usize = 1 << 20;

/// A member in one of its lives: who returns under its old name with nothing has another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Which life.
    pub incarnation: u64,
}

/// Entries of a scope up to this one have been had, in the order of (`changed`, `key`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cursor {
    /// The version that changed the last one.
    pub changed: Number,
    /// Its key.
    pub key: u64,
}

impl Cursor {
    /// All that was changed up to this version has been had.
    pub fn after(number: Number) -> Self {
        Cursor { changed: number, key: u64::MAX }
    }
}

/// The scopes that a follower has whole; a grantor keeps them by member. `revision` counts up with every change of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Interest {
    /// As the grantor has it.
    Same {
        /// That it is.
        revision: u64,
    },
    /// Since a revision.
    Changed {
        /// The revision before. A grantor that has another says which it has, and does nothing else.
        from: u64,
        /// The revision from now on.
        revision: u64,
        /// Scopes that it has whole now.
        more: Vec<Scope>,
        /// Scopes that it follows no more, or has no longer whole.
        fewer: Vec<Scope>,
    },
    /// All of them.
    Whole {
        /// The revision from now on.
        revision: u64,
        /// The scopes.
        scopes: Vec<Scope>,
    },
    /// Every scope there is, as machines between have them.
    Everything {
        /// The revision from now on.
        revision: u64,
    },
}

/// A follower asks for a lease, and for news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Who.
    pub member: Member,
    /// Tells the answer from those to earlier ones.
    pub number: u64,
    /// The number of the last ask whose answer has come, from whomever; 0 for none.
    pub heard: u64,
    /// All versions up to this one are known to it, in every scope that it has whole; a machine between: to all that it
    /// answers for.
    pub known: Number,
    /// The version that it acts on, or acted on last; a machine between: the least of those it answers for.
    pub in_force: Number,
    /// The scopes that it has whole.
    pub interest: Interest,
    /// Scopes that it wants, hottest first, with what it has of each.
    pub fetch: Vec<(Scope, Cursor)>,
}

/// A piece of a scope as it is in the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Which.
    pub scope: Scope,
    /// Everything had of it before is void: the piece is the first of a new start.
    pub anew: bool,
    /// Entries in the order of (version that changed it, key); `None` for one that was removed.
    pub entries: Vec<(Number, Key, Option<Entry>)>,
    /// The scope is whole with this piece, and sums up to this. `None` where more is to be fetched.
    pub whole: Option<Digest>,
}

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The ask's number.
    pub number: u64,
    /// The interest's revision that the grantor has; where it is not the follower's, all else here is void, and the next
    /// ask has to tell the whole.
    pub interest: u64,
    /// How long the lease lasts from the moment of the ask, in us of the follower's clock; 0 for none.
    pub lease_us: u64,
    /// The version in force. The lease is for it.
    pub in_force: Number,
    /// All versions up to this one are in this answer, or were known before.
    pub through: Number,
    /// What has changed up to `in_force` in scopes that the follower has whole, and what it fetched.
    pub parts: Vec<Part>,
    /// Scopes that it had whole and whose changes do not fit in here: to be fetched, from `Cursor::after` what it knew.
    pub behind: Vec<Scope>,
    /// The versions after `in_force` that it does not know yet, in its scopes; and for scopes that became whole with this
    /// answer, all after `in_force`. In order, each number once, those that touch nothing of it left out.
    pub pending: Vec<Version>,
}

/// What stands in a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a follower.
    Ask(Ask),
    /// From a grantor.
    Grant(Grant),
    /// From the staff, to the origin: changes that are to come into force together.
    Propose {
        /// Tells the answer from those to others.
        number: u64,
        /// The changes.
        changes: Vec<Change>,
    },
    /// From the origin, once the proposal is part of a version, or refused.
    Proposed {
        /// The proposal's number.
        number: u64,
        /// The version that it is part of; it comes into force later. Or why there is none.
        version: Result<Number, String>,
    },
    /// From anybody: how is it there?
    Look,
    /// The answer to that.
    Status(Status),
}

/// How it is at a control machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The machine's name.
    pub name: String,
    /// The version in force there.
    pub in_force: Number,
    /// The last version that is known there.
    pub through: Number,
    /// What its state sums up to, in the version in force.
    pub sum: Digest,
    /// How many hold leases that it gave.
    pub followers: u64,
    /// For how long its own lease lasts yet, in ms; `None` at the origin, which needs none.
    pub lease_ms: Option<u64>,
    /// Messages and bytes since its start.
    pub counts: Counts,
}

/// Messages and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Messages.
    pub messages: u64,
    /// Bytes of their frames.
    pub bytes: u64,
}

/// Messages and bytes by cause. A message counts once, by what there is most reason for it: a start, else changes, else a
/// lease; its bytes are parted among these.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Causes {
    /// Asks.
    pub asks: Tally,
    /// Answers without news, and what frames any answer.
    pub leases: Tally,
    /// Versions to come, and what has changed in scopes that were whole.
    pub changes: Tally,
    /// Pieces of scopes that were fetched.
    pub starts: Tally,
    /// Proposals, looks and their answers.
    pub staff: Tally,
}

/// What was read and written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// From others.
    pub read: Causes,
    /// To others.
    pub written: Causes,
}

/// Why bytes are no message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The length is under a header's or over [`LONGEST`].
    Length(usize),
    /// Another [`FORMAT`].
    Format(u8),
    /// The checksum is not that of the bytes.
    Checksum,
    /// The bytes are of no message, or there are more than it needs.
    Content(String),
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Malformed::Length(n) => write!(f, "a frame of {n} bytes, expected {HEADER} to {LONGEST}"),
            Malformed::Format(n) => write!(f, "a frame of format {n}, expected {FORMAT}"),
            Malformed::Checksum => write!(f, "a frame whose checksum is not that of its bytes"),
            Malformed::Content(what) => write!(f, "a frame that holds no message: {what}"),
        }
    }
}

impl std::error::Error for Malformed {}

/// Appends a message as a frame.
pub fn encode(message: &Message, to: &mut Vec<u8>) -> Result<(), Malformed> {
    let bytes = postcard::to_allocvec(message).map_err(|e| Malformed::Content(e.to_string()))?;
    if bytes.len() + HEADER > LONGEST {
        return Err(Malformed::Length(bytes.len() + HEADER));
    }
    to.extend_from_slice(&((bytes.len() + HEADER - 4) as u32).to_be_bytes());
    to.push(FORMAT);
    to.extend_from_slice(&crc32fast::hash(&bytes).to_be_bytes());
    to.extend_from_slice(&bytes);
    Ok(())
}

/// Reads the first message of `from`, and how many bytes it took; `None` where more bytes are needed.
pub fn decode(from: &[u8]) -> Result<Option<(Message, usize)>, Malformed> {
    let Some((length, rest)) = from.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length + 4 < HEADER || length + 4 > LONGEST {
        return Err(Malformed::Length(length + 4));
    }
    // The format is told as soon as it is there: a peer of another one may frame otherwise.
    if let Some(format) = rest.first().filter(|f| **f != FORMAT) {
        return Err(Malformed::Format(*format));
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let Some((checksum, bytes)) = frame[1..].split_first_chunk::<4>() else {
        return Err(Malformed::Length(length + 4));
    };
    if crc32fast::hash(bytes) != u32::from_be_bytes(*checksum) {
        return Err(Malformed::Checksum);
    }
    match postcard::take_from_bytes(bytes).map_err(|e| Malformed::Content(e.to_string()))? {
        (message, []) => Ok(Some((message, length + 4))),
        (_, more) => Err(Malformed::Content(format!("{} bytes too many", more.len()))),
    }
}
