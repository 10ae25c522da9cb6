//! Limits of the source files: their length, the length of their lines, and a module doc in each.

use std::fs;
use std::path::{Path, PathBuf};

const MAX_FILE_LINES: usize = 400;
const MAX_LINE_CHARS: usize = 110;

/// Returns all Rust files in a folder and its subfolders.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("the source folder is readable") {
        let path = entry.expect("the folder entry is readable").path();
        if path.is_dir() {
            files.extend(sources(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

#[test]
fn every_source_file_is_short_and_begins_with_a_module_doc() {
    let files = sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    assert!(files.len() >= 2, "the source folder contains the sources");
    for file in files {
        let name = file.display();
        let text = fs::read_to_string(&file).expect("the source file is readable");
        let lines = text.lines().count();
        assert!(lines <= MAX_FILE_LINES, "{name}: {lines} lines, at most {MAX_FILE_LINES} allowed");
        for (index, line) in text.lines().enumerate() {
            let chars = line.chars().count();
            assert!(
                chars <= MAX_LINE_CHARS,
                "{name}:{}: {chars} characters, at most {MAX_LINE_CHARS} allowed",
                index + 1
            );
        }
        assert!(text.starts_with("//! "), "{name}: does not begin with a module doc");
    }
}
