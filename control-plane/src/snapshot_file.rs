//! The snapshot file of a gateway: its replicated state at one revision, from which a restart resumes so that only later
//! changes are sent. [`ternstack_replication::snapshot`] defines the bytes.
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use ternstack_replication::snapshot::{Snapshot, SnapshotError};
use thiserror::Error;

/// Why a snapshot file could not be read or written.
#[derive(Debug, Error)]
pub enum SnapshotFileError {
    /// The file could not be read.
    #[error("{0}")]
    Read(io::Error),
    /// The bytes of the file are not a snapshot.
    #[error("{0}")]
    Decode(SnapshotError),
    /// The snapshot could not be encoded.
    #[error("{0}")]
    Encode(SnapshotError),
    /// The file could not be written. The previous one is still in place.
    #[error("{}: {source}", .path.display())]
    Write {
        /// The snapshot file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The thread that wrote the file panicked.
    #[error("{0}")]
    WriterPanicked(tokio::task::JoinError),
}

/// Reads a snapshot; `None` if there is no file. Blocks on the disk.
pub fn read(path: &Path) -> Result<Option<Snapshot>, SnapshotFileError> {
    match std::fs::read(path) {
        Ok(bytes) => Snapshot::decode(&bytes).map(Some).map_err(SnapshotFileError::Decode),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(SnapshotFileError::Read(e)),
    }
}

/// Replaces the snapshot file atomically: writes and syncs `<path>.new`, then renames it, so that a crash leaves either the
/// old snapshot or the new one. Blocks on the disk.
pub fn write(path: &Path, snapshot: &Snapshot) -> Result<(), SnapshotFileError> {
    let bytes = snapshot.encode().map_err(SnapshotFileError::Encode)?;
    let mut temporary = path.as_os_str().to_os_string();
    temporary.push(".new");
    replace(path, Path::new(&temporary), &bytes)
        .map_err(|source| SnapshotFileError::Write { path: path.to_path_buf(), source })
}

fn replace(path: &Path, temporary: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(temporary)?;
    file.write_all(bytes)?;
    file.sync_data()?;
    std::fs::rename(temporary, path)
}
