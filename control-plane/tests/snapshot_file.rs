//! A folder that lasts: writes and syncs fail for a while, and a kill leaves a write half done. The faults are those of the
//! rig's shim, within the test's own process.

#[allow(dead_code)]
#[path = "../../fault-tests/shim/faults.rs"]
mod shim;

use shim::{Control, Kind, ALWAYS};
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use ternstack_control_plane::snapshot_file::{read, write};
use ternstack_replication::snapshot::Snapshot;

fn snapshot(version: u64) -> Snapshot {
    Snapshot { known: version, in_force: version, ..Snapshot::default() }
}

/// The version that the folder has.
fn version(path: &Path) -> Option<u64> {
    read(path).expect("it is sound").map(|snapshot| snapshot.in_force)
}

#[test]
fn a_snapshot_stays_whole_while_writes_and_syncs_fail_and_a_kill_leaves_one_half_done() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("gateway.snapshot");
    std::env::set_var("TERNSTACK_FAULTS_FOLDER", folder.path());
    let control: &Control = Box::leak(Box::default());
    shim::set_control(control);
    write(&path, &snapshot(1)).expect("nothing fails yet");
    for (kind, words) in [
        (Kind::FileOpen, "Too many open files"),
        (Kind::FileWrite, "No space"),
        (Kind::FileSync, "Input/output"),
    ] {
        control.rates[kind as usize].store(ALWAYS, Relaxed);
        let problem = write(&path, &snapshot(2)).expect_err("it cannot be written").to_string();
        assert!(problem.contains(words), "{problem}");
        control.rates[kind as usize].store(0, Relaxed);
        assert!(control.injected[kind as usize].load(Relaxed) > 0);
        assert_eq!(version(&path), Some(1), "{words}: the last whole one is still there");
    }
    // A kill in the middle of a write: whatever part of the new one is there, the old one counts.
    let whole = snapshot(2).encode().expect("bytes");
    for length in 0..whole.len() {
        std::fs::write(folder.path().join("gateway.snapshot.new"), &whole[..length]).expect("written");
        assert_eq!(version(&path), Some(1), "killed after {length} bytes");
    }
    write(&path, &snapshot(3)).expect("all is well again");
    assert_eq!(version(&path), Some(3));
    // A read that fails says so, and takes nothing for a snapshot.
    control.rates[Kind::FileRead as usize].store(ALWAYS, Relaxed);
    assert!(read(&path).expect_err("it cannot be read").to_string().contains("Input/output"));
    control.rates[Kind::FileRead as usize].store(0, Relaxed);
}
