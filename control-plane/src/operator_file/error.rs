//! The errors of the operators' file and of files of changes.
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An error of reading the operators' file.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file could not be read.
    #[error("could not read {}: {source}", .path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The content of the file is not valid.
    #[error(transparent)]
    Invalid(#[from] InvalidFile),
}

/// The first problem of a file whose content is not valid, and the position of the problem.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {problem}")]
pub struct InvalidFile {
    /// The name of the file, as the caller gave it.
    pub file: String,
    /// The line number of the problem, starting at 1.
    pub line: usize,
    /// The problem at that line.
    pub problem: InvalidContent,
}

/// A problem with the content of a file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidContent {
    /// The file is not valid TOML, has an unknown key, or has a value of the wrong type. The value is the
    /// message of the TOML parser.
    #[error("{0}")]
    Syntax(String),
    /// The value of a key is not valid.
    #[error("{key}: expected {expected}")]
    Value {
        /// The path of the key, with dots between its parts.
        key: String,
        /// A description of the values that are valid.
        expected: String,
    },
    /// The file as a whole lacks a required part.
    #[error("expected {expected}")]
    File {
        /// A description of the required part.
        expected: String,
    },
}

/// The error of a name for which the operators' file has no control server of the required role.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("--name {name}: expected {expected}")]
pub struct UnknownServer {
    /// The name that was not found.
    pub name: String,
    /// A list of the names of that role.
    pub expected: String,
}
