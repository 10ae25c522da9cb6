//! Fixtures: files with recorded lines that must not change.
//!
//! With `TERNSTACK_WRITE_FIXTURES` set, the tests record the fixtures again.
use std::path::PathBuf;

/// Asserts that `lines` equal the lines of the fixture file `name`.
pub fn assert_fixture(name: &str, lines: &[String]) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    let actual = lines.join("\n") + "\n";
    if std::env::var_os("TERNSTACK_WRITE_FIXTURES").is_some() {
        std::fs::write(&path, &actual).expect("the fixture file is writable");
    }
    let expected = std::fs::read_to_string(&path).expect("the fixture file is readable");
    for (index, (actual, expected)) in actual.lines().zip(expected.lines()).enumerate() {
        assert_eq!(actual, expected, "{name}, line {}", index + 1);
    }
    assert_eq!(actual.lines().count(), expected.lines().count(), "{name}: number of lines");
}
