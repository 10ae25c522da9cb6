//! Snapshot files under faults of the file system: writes and syncs that fail, and a process that is killed
//! during a write. The shim of the fault tests injects the faults into this process.

#[allow(dead_code)]
#[path = "../../fault-tests/shim/faults.rs"]
mod shim;

use shim::{Control, Kind, ALWAYS};
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use ternstack_control_plane::snapshot_file::{read, write};
use ternstack_replication::snapshot::Snapshot;

fn snapshot(revision: u64) -> Snapshot {
    Snapshot { known: revision, in_force: revision, ..Snapshot::default() }
}

fn read_revision(path: &Path) -> Option<u64> {
    read(path).expect("the snapshot file is valid").map(|snapshot| snapshot.in_force)
}

#[test]
fn previous_snapshot_stays_valid_when_a_write_fails_or_is_interrupted() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("gateway.snapshot");
    std::env::set_var("TERNSTACK_FAULTS_FOLDER", folder.path());
    let control: &Control = Box::leak(Box::default());
    shim::set_control(control);
    write(&path, &snapshot(1)).expect("a write without faults succeeds");
    for (kind, expected_error) in [
        (Kind::FileOpen, "Too many open files"),
        (Kind::FileWrite, "No space"),
        (Kind::FileSync, "Input/output"),
    ] {
        control.rates[kind as usize].store(ALWAYS, Relaxed);
        let error = write(&path, &snapshot(2)).expect_err("the write fails under the fault").to_string();
        assert!(error.contains(expected_error), "the error names the fault {expected_error}: {error}");
        control.rates[kind as usize].store(0, Relaxed);
        assert!(control.injected[kind as usize].load(Relaxed) > 0);
        assert_eq!(read_revision(&path), Some(1), "the previous snapshot is kept under {expected_error}");
    }
    // A process that is killed during a write leaves a part of the new file beside the previous snapshot.
    let encoded = snapshot(2).encode().expect("the snapshot can be encoded");
    for length in 0..encoded.len() {
        std::fs::write(folder.path().join("gateway.snapshot.new"), &encoded[..length])
            .expect("the partial file can be written");
        assert_eq!(read_revision(&path), Some(1), "the previous snapshot is read after {length} bytes");
    }
    write(&path, &snapshot(3)).expect("a write without faults replaces the partial file");
    assert_eq!(read_revision(&path), Some(3));
    // A read error must not be taken for a missing snapshot.
    control.rates[Kind::FileRead as usize].store(ALWAYS, Relaxed);
    assert!(read(&path).expect_err("the read fails under the fault").to_string().contains("Input/output"));
    control.rates[Kind::FileRead as usize].store(0, Relaxed);
}
