//! What a gateway storage on disk of its tables, so that a restart need not fetch them again.
//!
//! The bytes are four of [`MAGIC`], one byte [`FORMAT_VERSION`], four bytes CRC-32 (IEEE, big endian, of the rest), and the snapshot
//! in postcard's encoding. Whoever writes them puts a whole file in place of the old one; what is read is checked through.
use crate::scope::Revision;
use crate::tables::Tables;
use serde::{Deserialize, Serialize};

/// How a snapshot begins.
pub const MAGIC: [u8; 4] = *b"tern";
/// The encoding's version. A snapshot of another one is refused.
pub const FORMAT_VERSION: u8 = 1;
/// What stands before the snapshot's own bytes.
pub const HEADER_BYTES: usize = 9;

/// Tables, and of when they are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// All versions up to this one are known in every scope of the tables.
    pub known: Revision,
    /// The version that they are of.
    pub in_force: Revision,
    /// The entries.
    pub tables: Tables,
}

/// Why bytes are no snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// Fewer bytes than a header has.
    Length(usize),
    /// It does not begin with [`MAGIC`].
    NotASnapshot,
    /// Another [`FORMAT_VERSION`].
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

impl std::fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SnapshotError::Length(n) => write!(f, "a snapshot of {n} bytes, expected {HEADER_BYTES} at least"),
            SnapshotError::NotASnapshot => {
                write!(f, "not a snapshot: expected it to begin with {:?}", MAGIC.escape_ascii().to_string())
            }
            SnapshotError::Format(n) => write!(f, "a snapshot of format {n}, expected {FORMAT_VERSION}"),
            SnapshotError::Checksum { said, found } => {
                write!(f, "a snapshot whose bytes sum up to {found:08x}, expected {said:08x} by its header")
            }
            // The decoder does not pass on which entry was wrong.
            SnapshotError::Content(what) => write!(
                f,
                "no snapshot: expected scopes in order, each with entries that fit it in the order of their keys: {what}"
            ),
        }
    }
}

impl std::error::Error for SnapshotError {}

impl Snapshot {
    /// The bytes of a file. Needs as much memory as these beside the tables.
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        let mut bytes = Vec::new();
        bytes.extend_from_slice(&MAGIC);
        bytes.push(FORMAT_VERSION);
        bytes.extend_from_slice(&[0; 4]);
        let mut bytes =
            postcard::to_extend(self, bytes).map_err(|e| SnapshotError::Content(e.to_string()))?;
        let sum = crc32fast::hash(bytes.get(HEADER_BYTES..).unwrap_or_default()).to_be_bytes();
        if let Some(place) = bytes.get_mut(HEADER_BYTES - sum.len()..HEADER_BYTES) {
            place.copy_from_slice(&sum);
        }
        Ok(bytes)
    }

    /// Reads the bytes of a file.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        let short = SnapshotError::Length(bytes.len());
        let Some((mark, rest)) = bytes.split_first_chunk::<4>() else { return Err(short) };
        if *mark != MAGIC {
            return Err(SnapshotError::NotASnapshot);
        }
        let Some((format, rest)) = rest.split_first() else { return Err(short) };
        if *format != FORMAT_VERSION {
            return Err(SnapshotError::Format(*format));
        }
        let Some((sum, rest)) = rest.split_first_chunk::<4>() else { return Err(short) };
        let (said, found) = (u32::from_be_bytes(*sum), crc32fast::hash(rest));
        if said != found {
            return Err(SnapshotError::Checksum { said, found });
        }
        match postcard::take_from_bytes(rest).map_err(|e| SnapshotError::Content(e.to_string()))? {
            (snapshot, []) => Ok(snapshot),
            (_, more) => Err(SnapshotError::Content(format!("{} bytes too many", more.len()))),
        }
    }
}
