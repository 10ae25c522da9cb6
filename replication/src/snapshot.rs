//! What a gateway keeps on disk of its tables, so that a restart need not fetch them again.
//!
//! The bytes are four of [`MARK`], one byte [`FORMAT`], four bytes CRC-32 (IEEE, big endian, of the rest), and the snapshot
//! in postcard's encoding. Whoever writes them puts a whole file in place of the old one; what is read is checked through.
use crate::scope::Number;
use crate::tables::Tables;
use serde::{Deserialize, Serialize};

/// How a snapshot begins.
pub const MARK: [u8; 4] = *b"tern";
/// The encoding's version. A snapshot of another one is refused.
pub const FORMAT: u8 = 1;
/// What stands before the snapshot's own bytes.
pub const HEADER: usize = 9;

/// Tables, and of when they are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// All versions up to this one are known in every scope of the tables.
    pub known: Number,
    /// The version that they are of.
    pub in_force: Number,
    /// The entries.
    pub tables: Tables,
}

/// Why bytes are no snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// Fewer bytes than a header has.
    Length(usize),
    /// It does not begin with [`MARK`].
    Foreign,
    /// Another [`FORMAT`].
    Format(u8),
    /// The checksum is not that of the bytes: some are lost, or others than were written.
    Checksum {
        /// As the header has it.
        said: u32,
        /// As the bytes have it.
        found: u32,
    },
    /// The bytes are of no snapshot, or there are more than it needs.
    Content(String),
}

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unreadable::Length(n) => write!(f, "a snapshot of {n} bytes, expected {HEADER} at least"),
            Unreadable::Foreign => {
                write!(f, "not a snapshot: expected it to begin with {:?}", MARK.escape_ascii().to_string())
            }
            Unreadable::Format(n) => write!(f, "a snapshot of format {n}, expected {FORMAT}"),
            Unreadable::Checksum { said, found } => {
                write!(f, "a snapshot whose bytes sum up to {found:08x}, expected {said:08x} by its header")
            }
            // The decoder does not pass on which entry was wrong.
            Unreadable::Content(what) => write!(
                f,
                "no snapshot: expected scopes in order, each with entries that fit it in the order of their keys: {what}"
            ),
        }
    }
}

impl std::error::Error for Unreadable {}

impl Snapshot {
    /// The bytes of a file. Needs as much memory as these beside the tables.
    pub fn encode(&self) -> Result<Vec<u8>, Unreadable> {
        let mut bytes = Vec::new();
        bytes.extend_from_slice(&MARK);
        bytes.push(FORMAT);
        bytes.extend_from_slice(&[0; 4]);
        let mut bytes = postcard::to_extend(self, bytes).map_err(|e| Unreadable::Content(e.to_string()))?;
        let sum = crc32fast::hash(bytes.get(HEADER..).unwrap_or_default()).to_be_bytes();
        if let Some(place) = bytes.get_mut(HEADER - sum.len()..HEADER) {
            place.copy_from_slice(&sum);
        }
        Ok(bytes)
    }

    /// Reads the bytes of a file.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, Unreadable> {
        let short = Unreadable::Length(bytes.len());
        let Some((mark, rest)) = bytes.split_first_chunk::<4>() else { return Err(short) };
        if *mark != MARK {
            return Err(Unreadable::Foreign);
        }
        let Some((format, rest)) = rest.split_first() else { return Err(short) };
        if *format != FORMAT {
            return Err(Unreadable::Format(*format));
        }
        let Some((sum, rest)) = rest.split_first_chunk::<4>() else { return Err(short) };
        let (said, found) = (u32::from_be_bytes(*sum), crc32fast::hash(rest));
        if said != found {
            return Err(Unreadable::Checksum { said, found });
        }
        match postcard::take_from_bytes(rest).map_err(|e| Unreadable::Content(e.to_string()))? {
            (snapshot, []) => Ok(snapshot),
            (_, more) => Err(Unreadable::Content(format!("{} bytes too many", more.len()))),
        }
    }
}
