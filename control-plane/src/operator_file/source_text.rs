//! The text of a TOML file, and the positions of values in it for error messages.
use super::error::{InvalidContent, InvalidFile};
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::ops::Range;
use toml::de::{DeTable, DeValue};

/// A step of the path to a value.
#[derive(Clone, Copy, Debug)]
pub(super) enum PathStep<'a> {
    /// The value of a key.
    Key(&'a str),
    /// An element of an array, from 0.
    Index(usize),
}

/// The text of a file.
#[derive(Clone, Copy, Debug)]
pub(super) struct SourceText<'a> {
    /// The name of the file in errors.
    pub file: &'a str,
    /// Its content.
    pub text: &'a str,
}

impl SourceText<'_> {
    /// Deserializes the file.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, InvalidFile> {
        toml::from_str(self.text).map_err(|error| self.syntax_error(&error))
    }

    /// The error that the value at `path` is not what was expected there.
    pub fn unexpected(&self, path: &[PathStep], expected: &str) -> InvalidFile {
        let key = key_of(path);
        let expected = expected.to_string();
        let problem = match key.is_empty() {
            true => InvalidContent::File { expected },
            false => InvalidContent::Value { key, expected },
        };
        self.error_at(self.span_of(path), problem)
    }

    /// Checks that the values of `key` in the tables of an array differ from each other.
    pub fn check_unique(
        &self, array: &str, key: &str, values: impl Iterator<Item = String>,
    ) -> Result<(), InvalidFile> {
        let mut seen = BTreeSet::new();
        for (index, value) in values.enumerate() {
            if let Some(duplicate) = seen.replace(value) {
                let expected = format!("one of its own, as {duplicate} is another's");
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

    /// The parser's error, with the key of its line, which the parser omits for a wrong value.
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

    /// Where the value at `path` is, or the last part of the path that exists.
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

/// The keys of a path, joined with dots.
fn key_of(path: &[PathStep]) -> String {
    let keys = path.iter().filter_map(|step| match step {
        PathStep::Key(key) => Some(*key),
        PathStep::Index(_) => None,
    });
    keys.collect::<Vec<&str>>().join(".")
}

/// Names that a value may have, as an error lists them.
pub(super) fn one_of<'a>(names: impl Iterator<Item = &'a String>) -> String {
    let names: Vec<&str> = names.map(String::as_str).collect();
    if names.is_empty() {
        return "none, as there are none".into();
    }
    format!("one of {}", names.join(", "))
}
