//! Errors of reading the settings of a deployment.

use ternstack_balancer::SettingsError;
use thiserror::Error;

/// The reason why settings are rejected: the first key that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeploymentError {
    /// The settings are a JSON value other than an object.
    #[error("settings are not a JSON object")]
    NotAnObject,
    /// A required key is absent or null.
    #[error("{key} is missing")]
    Missing {
        /// Path of the key, such as `classes[].deadline_ms`.
        key: String,
    },
    /// A value has the wrong type or is not one of the values that its key allows.
    #[error("{key} must be {expected}")]
    InvalidValue {
        /// Path of the key, such as `classes[].deadline_ms`.
        key: String,
        /// The expected type or the allowed values, as in "a number".
        expected: &'static str,
    },
    /// A string is not one of the values that its key allows.
    #[error("{key}={value} is not a known value")]
    UnknownValue {
        /// Path of the key, such as `classes[].effect`.
        key: String,
        /// The string as given.
        value: String,
    },
    /// A number lies outside the range of its key.
    #[error("{key} must be {requirement}")]
    OutOfRange {
        /// Path of the key, such as `limits.max_open`.
        key: &'static str,
        /// The allowed range, as in "above 0".
        requirement: &'static str,
    },
    /// A value that the balancer does not accept.
    #[error(transparent)]
    Balancer(#[from] SettingsError),
}
