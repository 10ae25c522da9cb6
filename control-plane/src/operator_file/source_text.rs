//! The text of a TOML file, in which error messages locate values.
use super::error::{InvalidContent, InvalidFile};
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::ops::Range;
use toml::de::{DeTable, DeValue};

/// A step of the path to a value in a TOML document.
#[derive(Clone, Copy, Debug)]
pub(super) enum PathStep<'a> {
    /// The step to the value of a key of a table.
    Key(&'a str),
    /// The step to an element of an array. The first element has index 0.
    Index(usize),
}

/// The name and the text of a file.
#[derive(Clone, Copy, Debug)]
pub(super) struct SourceText<'a> {
    /// The name of the file in errors.
    pub file: &'a str,
    /// The content of the file.
    pub text: &'a str,
}

impl SourceText<'_> {
    /// Deserializes the text.
    ///
    /// # Errors
    /// The message of the parser, with the line of the problem.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, InvalidFile> {
        toml::from_str(self.text).map_err(|error| self.syntax_error(&error))
    }

    /// Returns the error that the value at `path` is not as expected. An empty path stands for the whole
    /// file.
    pub fn unexpected(&self, path: &[PathStep], expected: &str) -> InvalidFile {
        let key = key_of(path);
        let expected = expected.to_string();
        let problem = match key.is_empty() {
            true => InvalidContent::File { expected },
            false => InvalidContent::Value { key, expected },
        };
        self.error_at(self.span_of(path), problem)
    }

    /// Checks that the values of `key` in the tables of an array are unique.
    ///
    /// # Errors
    /// The first value that also occurs earlier.
    pub fn check_unique(
        &self, array: &str, key: &str, values: impl Iterator<Item = String>,
    ) -> Result<(), InvalidFile> {
        let mut seen = BTreeSet::new();
        for (index, value) in values.enumerate() {
            if let Some(duplicate) = seen.replace(value) {
                let expected = format!("a unique value, but {duplicate} occurs twice");
                let path = [PathStep::Key(array), PathStep::Index(index), PathStep::Key(key)];
                return Err(self.unexpected(&path, &expected));
            }
        }
        Ok(())
    }

    fn error_at(&self, span: Option<Range<usize>>, problem: InvalidContent) -> InvalidFile {
        let before = self.text.get(..span.map_or(0, |span| span.start)).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        InvalidFile { file: self.file.to_string(), line, problem }
    }

    /// Converts an error of the parser, and adds the key in that line, which the parser omits for values of a
    /// wrong type.
    fn syntax_error(&self, error: &toml::de::Error) -> InvalidFile {
        let start = error.span().map_or(0, |span| span.start);
        let line_start = self.text.get(..start).and_then(|text| text.rfind('\n')).map_or(0, |at| at + 1);
        let line = self.text.get(line_start..).and_then(|text| text.lines().next()).unwrap_or_default();
        let key = line.split_once('=').map(|(key, _)| key.trim()).unwrap_or_default();
        let message = error.message().replace('\n', ", ");
        let has_key = key.is_empty() || message.contains(&format!("`{key}`"));
        let message = if has_key { message } else { format!("{key}: {message}") };
        self.error_at(error.span(), InvalidContent::Syntax(message))
    }

    /// Returns the position of the value at `path`, or of the longest part of the path that exists.
    fn span_of(&self, path: &[PathStep]) -> Option<Range<usize>> {
        let mut span = None;
        let mut value = DeValue::Table(DeTable::parse(self.text).ok()?.into_inner());
        for step in path {
            let next = match (step, value) {
                (PathStep::Key(key), DeValue::Table(mut table)) => table.remove(*key),
                (PathStep::Index(index), DeValue::Array(array)) => array.into_iter().nth(*index),
                _ => None,
            };
            let Some(next) = next else { break };
            span = Some(next.span());
            value = next.into_inner();
        }
        span
    }
}

/// Returns the keys of a path, joined with dots. Indices are left out.
fn key_of(path: &[PathStep]) -> String {
    let keys = path.iter().filter_map(|step| match step {
        PathStep::Key(key) => Some(*key),
        PathStep::Index(_) => None,
    });
    keys.collect::<Vec<&str>>().join(".")
}

/// Returns the description of the expected value for an error about a value that has to be one of `names`.
pub(super) fn one_of<'a>(names: impl Iterator<Item = &'a String>) -> String {
    let names: Vec<&str> = names.map(String::as_str).collect();
    if names.is_empty() {
        return "a defined name, but none is defined".into();
    }
    format!("one of {}", names.join(", "))
}
