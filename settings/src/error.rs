//! What can be wrong with the settings of a deployment.

use ternstack_balancer::SettingsError;
use thiserror::Error;

/// Settings that cannot be used, by the first key at fault.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeploymentError {
    /// The settings are some other JSON value than an object.
    #[error("settings are not a JSON object")]
    NotAnObject,
    /// A required key is absent or null.
    #[error("{key} is missing")]
    Missing {
        /// The key's path, such as `classes[].deadline_ms`.
        key: String,
    },
    /// A value is of another type, or none of the words that the key allows.
    #[error("{key} is not {expected}")]
    NotExpected {
        /// The key's path.
        key: String,
        /// The type, or the words.
        expected: &'static str,
    },
    /// A word that the key does not know.
    #[error("{key}={word} is not known")]
    UnknownWord {
        /// The key's path.
        key: String,
        /// The word as given.
        word: String,
    },
    /// A value lies outside its range.
    #[error("{key} must be {requirement}")]
    OutOfRange {
        /// The key's path.
        key: &'static str,
        /// The range.
        requirement: &'static str,
    },
    /// The balancer cannot use a value.
    #[error(transparent)]
    Balancer(#[from] SettingsError),
}
