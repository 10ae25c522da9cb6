//! A gateway's tables as the bytes of a file, so that the gateway need not fetch the tables again after a
//! restart.
//!
//! A file consists of the four bytes of [`MAGIC`], one byte [`FORMAT_VERSION`], four bytes CRC-32 (IEEE, big
//! endian, of the rest), and the snapshot in postcard's encoding, which depends on the order of the fields. The
//! writer has to replace the old file atomically.
use crate::scope::Revision;
use crate::tables::Tables;
use serde::{Deserialize, Serialize};

/// The first bytes of a snapshot.
pub const MAGIC: [u8; 4] = *b"tern";
/// The version of the encoding. Snapshots of another version are rejected.
pub const FORMAT_VERSION: u8 = 1;
/// The number of bytes of magic, version and checksum in front of the encoded snapshot.
pub const HEADER_BYTES: usize = 9;

/// The tables of a gateway at a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// All revisions up to this one are known in every scope of the tables.
    pub known: Revision,
    /// The revision in force when the snapshot was taken.
    pub in_force: Revision,
    /// The entries of all complete scopes.
    pub tables: Tables,
}

/// The reason why bytes are not a snapshot, or why tables cannot become one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The snapshot has this many bytes, fewer than [`HEADER_BYTES`].
    #[error("snapshot has {0} bytes, expected at least {HEADER_BYTES}")]
    Length(usize),
    /// The bytes do not begin with [`MAGIC`].
    #[error("not a snapshot: expected the bytes to begin with {:?}", MAGIC.escape_ascii().to_string())]
    NotASnapshot,
    /// The snapshot has this format version instead of [`FORMAT_VERSION`].
    #[error("snapshot has format {0}, expected {FORMAT_VERSION}")]
    Format(u8),
    /// The checksum does not match the bytes.
    #[error("snapshot has checksum {actual:08x}, expected {expected:08x} from its header")]
    Checksum {
        /// The checksum that the header of the snapshot contains.
        expected: u32,
        /// The checksum computed from the bytes after the header.
        actual: u32,
    },
    /// The bytes after the header do not decode to a snapshot, or some are left over. The decoder does not
    /// report which entry is invalid.
    #[error("invalid snapshot, expected scopes in order, each with entries that fit it in key order: {0}")]
    Content(String),
}

impl Snapshot {
    /// Encodes the snapshot as the bytes of a file, which take memory in addition to the tables.
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
        if let Some(field) = bytes.get_mut(HEADER_BYTES - checksum.len()..HEADER_BYTES) {
            field.copy_from_slice(&checksum);
        }
        Ok(bytes)
    }

    /// Decodes the bytes of a file.
    ///
    /// # Errors
    /// Returns a [`SnapshotError`] if the bytes are not a complete and undamaged snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        let too_short = SnapshotError::Length(bytes.len());
        let Some((magic, rest)) = bytes.split_first_chunk::<4>() else { return Err(too_short) };
        if *magic != MAGIC {
            return Err(SnapshotError::NotASnapshot);
        }
        let Some((format, rest)) = rest.split_first() else { return Err(too_short) };
        if *format != FORMAT_VERSION {
            return Err(SnapshotError::Format(*format));
        }
        let Some((checksum, rest)) = rest.split_first_chunk::<4>() else { return Err(too_short) };
        let (expected, actual) = (u32::from_be_bytes(*checksum), crc32fast::hash(rest));
        if expected != actual {
            return Err(SnapshotError::Checksum { expected, actual });
        }
        match postcard::take_from_bytes(rest).map_err(|e| SnapshotError::Content(e.to_string()))? {
            (snapshot, []) => Ok(snapshot),
            (_, trailing) => Err(SnapshotError::Content(format!("{} trailing bytes", trailing.len()))),
        }
    }
}
