//! Fixtures: lines of text that must not change. `TERNSTACK_WRITE_FIXTURES=1` writes them anew.
use std::path::PathBuf;

/// Fails unless `lines` are those of the fixture `name`.
pub fn assert_fixture(name: &str, lines: &[String]) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    let seen = lines.join("\n") + "\n";
    if std::env::var_os("TERNSTACK_WRITE_FIXTURES").is_some() {
        std::fs::write(&path, &seen).expect("the fixture is written");
    }
    let expected = std::fs::read_to_string(&path).expect("the fixture is there");
    for (n, (seen, expected)) in seen.lines().zip(expected.lines()).enumerate() {
        assert_eq!(seen, expected, "{name}, line {}", n + 1);
    }
    assert_eq!(seen.lines().count(), expected.lines().count(), "{name}: number of lines");
}
