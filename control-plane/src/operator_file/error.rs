//! What is wrong with a file of the operators.
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why the operators' file could not be read.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file could not be read.
    #[error("{}: {source}", .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The content is not valid.
    #[error("{0}")]
    Invalid(#[from] InvalidFile),
}

/// A file whose content is not valid: the first problem and its position.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {problem}")]
pub struct InvalidFile {
    /// The name of the file.
    pub file: String,
    /// The line of the problem, from 1.
    pub line: usize,
    /// The problem.
    pub problem: InvalidContent,
}

/// What is wrong with the content of a file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidContent {
    /// It is not TOML, or a key or the type of its value is not known; the parser's message.
    #[error("{0}")]
    Syntax(String),
    /// The value of a key is not valid.
    #[error("{key}: expected {expected}")]
    Value {
        /// The path of the key, with dots.
        key: String,
        /// What was expected.
        expected: String,
    },
    /// The file as a whole lacks something.
    #[error("expected {expected}")]
    File {
        /// What was expected.
        expected: String,
    },
}

/// The operators' file has no control server of that name and role.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("--name {name}: expected {expected}")]
pub struct UnknownServer {
    /// The name.
    pub name: String,
    /// The names that there are.
    pub expected: String,
}
