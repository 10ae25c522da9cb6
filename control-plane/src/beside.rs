//! A gateway's snapshot, beside it on its disk: what it has whole, as it was in one version, so that it starts with that and
//! is sent only what has changed since. [`ternstack_replication::snapshot`] has its bytes.
use std::fs::File;
use std::io::{ErrorKind, Write};
use std::path::Path;
use ternstack_replication::snapshot::Snapshot;

/// Reads a snapshot; `None` where there is no file. It waits for the disk.
pub fn read(path: &Path) -> Result<Option<Snapshot>, String> {
    match std::fs::read(path) {
        Ok(bytes) => Snapshot::decode(&bytes).map(Some).map_err(|e| e.to_string()),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e.to_string()),
    }
}

/// Writes a snapshot: beside the path, and then in its place, so that there is a whole one at any moment. It waits for the
/// disk.
pub fn save(path: &Path, snapshot: &Snapshot) -> Result<(), String> {
    let bytes = snapshot.encode().map_err(|e| e.to_string())?;
    let mut beside = path.as_os_str().to_os_string();
    beside.push(".new");
    let write = || {
        let mut file = File::create(&beside)?;
        file.write_all(&bytes)?;
        file.sync_data()?;
        std::fs::rename(&beside, path)
    };
    write().map_err(|e| format!("{}: {e}", path.display()))
}
