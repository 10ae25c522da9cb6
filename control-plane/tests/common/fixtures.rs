//! Recorded bytes and texts that later versions of the program have to reproduce.
use std::path::PathBuf;

/// The environment variable that makes tests write the fixtures before they compare them. CI does not set the
/// variable.
const RECORD_VARIABLE: &str = "TERNSTACK_RECORD_FIXTURES";

pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

pub fn bytes(name: &str) -> Vec<u8> {
    std::fs::read(path(name)).unwrap_or_else(|error| panic!("could not read the fixture {name}: {error}"))
}

pub fn text(name: &str) -> String {
    String::from_utf8(bytes(name)).expect("the fixture is valid UTF-8")
}

/// Asserts that the fixture consists of exactly these bytes.
pub fn assert_same_bytes(name: &str, actual: &[u8]) {
    if std::env::var_os(RECORD_VARIABLE).is_some() {
        std::fs::write(path(name), actual).expect("the fixture can be written");
    }
    let recorded = bytes(name);
    let first_difference = recorded.iter().zip(actual).position(|(recorded, actual)| recorded != actual);
    let lengths = (recorded.len(), actual.len());
    assert!(
        first_difference.is_none() && lengths.0 == lengths.1,
        "the bytes equal the fixture {name}: first difference {first_difference:?}, {lengths:?} bytes"
    );
}

/// Asserts that the fixture consists of exactly these lines.
pub fn assert_same_lines(name: &str, actual: &[String]) {
    let actual = actual.iter().fold(String::new(), |text, line| text + line + "\n");
    if std::env::var_os(RECORD_VARIABLE).is_some() {
        std::fs::write(path(name), &actual).expect("the fixture can be written");
    }
    assert_eq!(text(name), actual, "the lines equal the fixture {name}");
}
