//! Recorded bytes and texts that a later version has to reproduce.
use std::path::PathBuf;

/// Set in the environment, fixtures are written instead of only compared. Left out in CI.
const RECORD: &str = "TERNSTACK_RECORD_FIXTURES";

pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

pub fn bytes(name: &str) -> Vec<u8> {
    std::fs::read(path(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

pub fn text(name: &str) -> String {
    String::from_utf8(bytes(name)).expect("UTF-8")
}

/// The recorded bytes are these, to the last.
pub fn assert_same_bytes(name: &str, now: &[u8]) {
    if std::env::var_os(RECORD).is_some() {
        std::fs::write(path(name), now).expect("the fixture is written");
    }
    let recorded = bytes(name);
    let first = recorded.iter().zip(now).position(|(a, b)| a != b);
    let lengths = (recorded.len(), now.len());
    assert!(
        first.is_none() && lengths.0 == lengths.1,
        "{name}: first difference {first:?}, {lengths:?} bytes"
    );
}

/// The recorded lines are these.
pub fn assert_same_lines(name: &str, now: &[String]) {
    let now = now.iter().fold(String::new(), |all, line| all + line + "\n");
    if std::env::var_os(RECORD).is_some() {
        std::fs::write(path(name), &now).expect("the fixture is written");
    }
    assert_eq!(text(name), now, "{name}");
}
