//! Errors of the simulator's input and of the replies to it.

use std::io;
use ternstack_balancer::SettingsError;
use ternstack_settings::DeploymentError;
use thiserror::Error;

/// The reason why the adapter stopped before the end of the input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input could not be read.
    #[error("cannot read line {line_number}: {source}")]
    Read {
        /// Number of the line, from 1.
        line_number: u64,
        /// The I/O error of the input.
        source: io::Error,
    },
    /// A line is invalid.
    #[error("line {line_number}: {source}")]
    Line {
        /// Number of the line, from 1.
        line_number: u64,
        /// What is wrong with the line.
        source: LineError,
    },
    /// The reply to a batch could not be written.
    #[error("cannot write the reply to a batch: {0}")]
    Write(#[source] io::Error),
}

/// The reason why a line is invalid.
#[derive(Debug, Error)]
pub enum LineError {
    /// An endpoint update has fewer records than it announced.
    #[error("expected another M line for the last TOPOLOGY line")]
    RecordMissing,
    /// An endpoint record does not belong to an endpoint update.
    #[error("M line is not announced by a TOPOLOGY line")]
    RecordOutsideUpdate,
    /// A line that needs a time or a selected gateway has no ROUND or TO line before it. ROUND clears the
    /// selected gateway, so that each ROUND line needs a new TO line.
    #[error("{keyword}: expected a {required} line first")]
    OutOfOrder {
        /// Keyword of the line.
        keyword: String,
        /// Keyword of the line that must precede it.
        required: &'static str,
    },
    /// An event is for a gateway that has not been started or has been removed.
    #[error("{keyword}: expected an INIT line for {gateway} first")]
    UnknownGateway {
        /// Keyword of the line.
        keyword: String,
        /// Name of the gateway.
        gateway: String,
    },
    /// A field of a ROUND, TO, INIT or TOPOLOGY line is missing or invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// A field of an event is missing or invalid. In a TOPOLOGY line, only an unknown update kind or a field
    /// without an equals sign gives this error.
    #[error("{keyword}: {source}")]
    Event {
        /// Keyword of the line.
        keyword: String,
        /// What is wrong with the field.
        source: FieldError,
    },
    /// The line that starts a gateway has no settings.
    #[error("INIT: conf is missing")]
    SettingsMissing,
    /// The settings of a gateway are not valid JSON.
    #[error("INIT: conf is not valid JSON: {0}")]
    SettingsSyntax(#[source] serde_json::Error),
    /// The settings of a gateway are missing a key or have an invalid value.
    #[error("INIT: conf: {0}")]
    Settings(#[from] DeploymentError),
    /// The balancer rejects the settings of a gateway.
    #[error("INIT: the balancer rejects conf: {0}")]
    Balancer(#[from] SettingsError),
}

/// The reason why a `name=value` field is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FieldError {
    /// A part of a line has no equals sign.
    #[error("{part} is not a name=value field")]
    NotAPair {
        /// The part as given.
        part: String,
    },
    /// A required field is absent.
    #[error("{name} is missing")]
    Missing {
        /// Name of the field.
        name: &'static str,
    },
    /// A value cannot be parsed as a number of the field's type.
    #[error("{name}={value} is not a valid number")]
    NotANumber {
        /// Name of the field.
        name: &'static str,
        /// The value as given.
        value: String,
    },
    /// A number is infinite or NaN.
    #[error("{name}={value} is not a finite number")]
    NotFinite {
        /// Name of the field.
        name: &'static str,
        /// The number as formatted by Rust.
        value: String,
    },
    /// A flag is neither 0 nor 1.
    #[error("{name}={value} is neither 0 nor 1")]
    NotAFlag {
        /// Name of the field.
        name: &'static str,
        /// The value as given.
        value: String,
    },
    /// A value is not one of the values that the protocol defines for the field.
    #[error("{name}={value} is not a known value")]
    UnknownValue {
        /// Name of the field.
        name: &'static str,
        /// The value as given.
        value: String,
    },
    /// A request class is not listed in the settings.
    #[error("{name}={class} is not a class of the settings")]
    UnknownClass {
        /// Name of the field.
        name: &'static str,
        /// Name of the class as given.
        class: String,
    },
    /// A part of a load report has no colon.
    #[error("{name}: {pair} is not a name:value pair")]
    ReportNotAPair {
        /// Name of the field that holds the load report.
        name: &'static str,
        /// The part as given.
        pair: String,
    },
    /// A value of a load report is not a number.
    #[error("{name}: the value of {pair} is not a number")]
    ReportNotANumber {
        /// Name of the field that holds the load report.
        name: &'static str,
        /// The `name:value` pair as given.
        pair: String,
    },
}
