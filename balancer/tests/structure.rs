//! The sources stay readable: small files with short lines, each with a module doc.

use std::fs;
use std::path::{Path, PathBuf};

const MAX_FILE_LINES: usize = 400;
const MAX_LINE_CHARS: usize = 110;

fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            files.extend(sources(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

#[test]
fn every_source_file_is_small_and_begins_with_its_doc() {
    let files = sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    assert!(files.len() >= 2, "the sources are found");
    for file in files {
        let name = file.display();
        let text = fs::read_to_string(&file).expect("a source file");
        let lines = text.lines().count();
        assert!(lines <= MAX_FILE_LINES, "{name}: {lines} lines");
        for (index, line) in text.lines().enumerate() {
            let chars = line.chars().count();
            assert!(chars <= MAX_LINE_CHARS, "{name}:{}: {chars} characters", index + 1);
        }
        assert!(text.starts_with("//! "), "{name}: begins without a doc of the module");
    }
}
