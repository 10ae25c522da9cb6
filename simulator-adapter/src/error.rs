//! What can go wrong between the simulator and the balancer.

use std::io;
use ternstack_balancer::SettingsError;
use ternstack_settings::DeploymentError;
use thiserror::Error;

/// Why the adapter stopped.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input failed.
    #[error("line {line}: cannot be read: {source}")]
    Read {
        /// The line's number, from 1.
        line: u64,
        /// The error of the input.
        source: io::Error,
    },
    /// A line cannot be understood.
    #[error("line {line}: {source}")]
    Line {
        /// The line's number, from 1.
        line: u64,
        /// What is wrong with it.
        source: LineError,
    },
    /// The output failed.
    #[error("cannot write the reply: {0}")]
    Write(#[source] io::Error),
}

/// What is wrong with a line.
#[derive(Debug, Error)]
pub enum LineError {
    /// An endpoint update announced more records than have come.
    #[error("a list entry is missing before this line")]
    RecordMissing,
    /// An endpoint record without an update that announced it.
    #[error("M outside a list")]
    RecordOutsideUpdate,
    /// A line came before one that must precede it.
    #[error("{word} before any {required}")]
    OutOfOrder {
        /// The line's word.
        word: String,
        /// The word of the line that must precede it.
        required: &'static str,
    },
    /// An event of a gateway that has not been started.
    #[error("{word} for {gateway} before its INIT")]
    UnknownGateway {
        /// The line's word.
        word: String,
        /// The gateway's name.
        gateway: String,
    },
    /// A field of the line is faulty.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// A field of an event is faulty.
    #[error("{word}: {source}")]
    Event {
        /// The line's word.
        word: String,
        /// What is wrong with the field.
        source: FieldError,
    },
    /// A start message without settings.
    #[error("INIT: conf is missing")]
    SettingsMissing,
    /// The settings of a start message are not JSON.
    #[error("INIT: conf is not readable JSON: {0}")]
    SettingsSyntax(#[source] serde_json::Error),
    /// The settings of a start message cannot be used.
    #[error("INIT: conf: {0}")]
    Settings(#[from] DeploymentError),
    /// The balancer does not take the settings.
    #[error("INIT: {0}")]
    Balancer(#[from] SettingsError),
}

/// What is wrong with a `name=value` field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FieldError {
    /// A part of the line has no equals sign.
    #[error("{part} is no name=value part")]
    NotAPair {
        /// The part.
        part: String,
    },
    /// A required field is absent.
    #[error("{name} is missing")]
    Missing {
        /// The field.
        name: &'static str,
    },
    /// A value is not a number of the field's type.
    #[error("{name}={value} cannot be read as a number")]
    NotANumber {
        /// The field.
        name: &'static str,
        /// The value as given.
        value: String,
    },
    /// A number is infinite or NaN.
    #[error("{name}={value} is no finite number")]
    NotFinite {
        /// The field.
        name: &'static str,
        /// The number, printed.
        value: String,
    },
    /// A flag is neither 0 nor 1.
    #[error("{name}={value} is neither 0 nor 1")]
    NotAFlag {
        /// The field.
        name: &'static str,
        /// The value as given.
        value: String,
    },
    /// A word that the field does not know.
    #[error("{name}={word} is not known")]
    UnknownWord {
        /// The field.
        name: &'static str,
        /// The word as given.
        word: String,
    },
    /// A request class that the settings do not list.
    #[error("{name}={class} is not in the settings")]
    UnknownClass {
        /// The field.
        name: &'static str,
        /// The class.
        class: String,
    },
    /// A part of a load report has no colon.
    #[error("{name}: {pair} is no name:value pair")]
    ReportNotAPair {
        /// The field.
        name: &'static str,
        /// The part.
        pair: String,
    },
    /// A value of a load report is not a number.
    #[error("{name}: {pair} is no number")]
    ReportNotANumber {
        /// The field.
        name: &'static str,
        /// The part with the value.
        pair: String,
    },
}
