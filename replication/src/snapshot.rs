//! A gateway's tables as the bytes of a file, so that it need not fetch them again after a restart.
//!
//! The bytes are four of [`MAGIC`], one byte [`FORMAT_VERSION`], four bytes CRC-32 (IEEE, big endian, of the rest), and the
//! snapshot in postcard's encoding, which goes by the order of fields. The writer has to replace the old file atomically.
use crate::scope::Revision;
use crate::tables::Tables;
use serde::{Deserialize, Serialize};

/// The first bytes of a snapshot.
pub const MAGIC: [u8; 4] = *b"tern";
/// The version of the encoding. Snapshots of another version are rejected.
pub const FORMAT_VERSION: u8 = 1;
/// The bytes of magic, version and checksum in front of the snapshot.
pub const HEADER_BYTES: usize = 9;

/// Tables at a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// All revisions up to this one are known in every scope of the tables.
    pub known: Revision,
    /// The revision in force.
    pub in_force: Revision,
    /// The entries.
    pub tables: Tables,
}

/// Why bytes are not a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// There are fewer bytes than a header has.
    #[error("a snapshot of {0} bytes, expected {HEADER_BYTES} at least")]
    Length(usize),
    /// The bytes do not begin with [`MAGIC`].
    #[error("not a snapshot: expected it to begin with {:?}", MAGIC.escape_ascii().to_string())]
    NotASnapshot,
    /// The snapshot has another [`FORMAT_VERSION`].
    #[error("a snapshot of format {0}, expected {FORMAT_VERSION}")]
    Format(u8),
    /// The checksum does not match the bytes.
    #[error("a snapshot whose bytes sum up to {actual:08x}, expected {expected:08x} by its header")]
    Checksum {
        /// The checksum in the header.
        expected: u32,
        /// The checksum of the bytes.
        actual: u32,
    },
    /// The bytes are not those of a snapshot, or there are more than it needs. The decoder does not tell which entry is wrong.
    #[error("no snapshot: expected scopes in order, each with entries that fit it in the order of their keys: {0}")]
    Content(String),
}

impl Snapshot {
    /// The bytes of a file; they take memory in addition to the tables.
    ///
    /// # Errors
    /// [`SnapshotError::Content`] if the tables cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        let mut bytes = Vec::new();
        bytes.extend_from_slice(&MAGIC);
        bytes.push(FORMAT_VERSION);
        bytes.extend_from_slice(&[0; 4]);
        let mut bytes =
            postcard::to_extend(self, bytes).map_err(|e| SnapshotError::Content(e.to_string()))?;
        let checksum = crc32fast::hash(bytes.get(HEADER_BYTES..).unwrap_or_default()).to_be_bytes();
        if let Some(place) = bytes.get_mut(HEADER_BYTES - checksum.len()..HEADER_BYTES) {
            place.copy_from_slice(&checksum);
        }
        Ok(bytes)
    }

    /// Reads the bytes of a file.
    ///
    /// # Errors
    /// A [`SnapshotError`] if the bytes are not a complete and undamaged snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        let short = SnapshotError::Length(bytes.len());
        let Some((magic, rest)) = bytes.split_first_chunk::<4>() else { return Err(short) };
        if *magic != MAGIC {
            return Err(SnapshotError::NotASnapshot);
        }
        let Some((format, rest)) = rest.split_first() else { return Err(short) };
        if *format != FORMAT_VERSION {
            return Err(SnapshotError::Format(*format));
        }
        let Some((checksum, rest)) = rest.split_first_chunk::<4>() else { return Err(short) };
        let (expected, actual) = (u32::from_be_bytes(*checksum), crc32fast::hash(rest));
        if expected != actual {
            return Err(SnapshotError::Checksum { expected, actual });
        }
        match postcard::take_from_bytes(rest).map_err(|e| SnapshotError::Content(e.to_string()))? {
            (snapshot, []) => Ok(snapshot),
            (_, more) => Err(SnapshotError::Content(format!("{} bytes too many", more.len()))),
        }
    }
}
