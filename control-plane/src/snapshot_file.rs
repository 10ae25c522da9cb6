//! The snapshot file of a gateway, which holds the replicated state at one revision. A restarted gateway
//! resumes from the file, so that control servers send only later changes.
//! [`ternstack_replication::snapshot`] defines the encoding.
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use ternstack_replication::snapshot::{Snapshot, SnapshotError};
use thiserror::Error;

/// An error of reading or writing a snapshot file.
#[derive(Debug, Error)]
pub enum SnapshotFileError {
    /// The file could not be read.
    #[error("could not read the snapshot file: {0}")]
    Read(io::Error),
    /// The content of the file is not a valid snapshot.
    #[error(transparent)]
    Decode(SnapshotError),
    /// The snapshot could not be encoded.
    #[error(transparent)]
    Encode(SnapshotError),
    /// The file could not be written. The previous file is still in place.
    #[error("could not write {}: {source}", .path.display())]
    Write {
        /// The path of the snapshot file.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The thread that writes the file panicked.
    #[error("the thread that writes the snapshot file failed: {0}")]
    WriterPanicked(tokio::task::JoinError),
}

/// Reads a snapshot, or returns `None` if the file does not exist. The call blocks on the disk.
///
/// # Errors
/// A [`SnapshotFileError`] if the file cannot be read or is not a valid snapshot.
pub fn read(path: &Path) -> Result<Option<Snapshot>, SnapshotFileError> {
    match std::fs::read(path) {
        Ok(bytes) => Snapshot::decode(&bytes).map(Some).map_err(SnapshotFileError::Decode),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(SnapshotFileError::Read(error)),
    }
}

/// Replaces the snapshot file atomically. The function writes and syncs `<path>.new` and then renames that
/// file, so that a crash leaves either the old snapshot or the new one. The call blocks on the disk.
///
/// # Errors
/// A [`SnapshotFileError`] if the snapshot cannot be encoded or the file cannot be written.
pub fn write(path: &Path, snapshot: &Snapshot) -> Result<(), SnapshotFileError> {
    let bytes = snapshot.encode().map_err(SnapshotFileError::Encode)?;
    let mut temporary_path = path.as_os_str().to_os_string();
    temporary_path.push(".new");
    replace(path, Path::new(&temporary_path), &bytes)
        .map_err(|source| SnapshotFileError::Write { path: path.to_path_buf(), source })
}

fn replace(path: &Path, temporary_path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(temporary_path)?;
    file.write_all(bytes)?;
    file.sync_data()?;
    std::fs::rename(temporary_path, path)
}
