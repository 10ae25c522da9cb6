//! The gateway's configuration: the file at `LB_CONFIG`, and the `LB_*` variables that take precedence over it.
//!
//! The file's `settings` are parsed by `ternstack-settings`, which the simulator's adapter uses too.
use crate::endpoint_list::{EndpointList, EndpointListError};
use serde::de::IgnoredAny;
use serde_json::Value;
use std::env;
use std::io;
use std::net::SocketAddr;
use ternstack_settings::{Deployment, DeploymentError};
use thiserror::Error;
use tracing::level_filters::LevelFilter;

/// The fewest sockets that a gateway can work with.
const MIN_SOCKET_COUNT: u64 = 64;
/// The number of sockets where the file names none.
const DEFAULT_SOCKET_COUNT: u64 = 1024;
/// The gateway's name where none is given.
const DEFAULT_NAME: &str = "gateway";

/// The gateway's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The gateway's name, for log lines.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The seed of the random generator.
    pub seed: u64,
    /// The maximum number of open sockets.
    pub max_sockets: usize,
    /// The cached endpoint list.
    pub cached_list: EndpointList,
    /// The deployment's settings.
    pub deployment: Deployment,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
}

/// Why there is no configuration. The text names the faulty key or variable.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `LB_CONFIG` is not set.
    #[error("LB_CONFIG is not set")]
    NotSet,
    /// The file cannot be read, which may pass.
    #[error("LB_CONFIG: {path}: {source}")]
    Unreadable {
        /// The file, or what else could not be read.
        path: String,
        /// What went wrong.
        source: io::Error,
    },
    /// The file's text ends too early: it may be half written.
    #[error(transparent)]
    HalfWritten(Box<ConfigError>),
    /// The file is not JSON.
    #[error("LB_CONFIG is no JSON: {0}")]
    Json(#[source] serde_json::Error),
    /// A required key is missing.
    #[error("LB_CONFIG: {key} is missing")]
    Missing {
        /// The key.
        key: &'static str,
    },
    /// A key's value is not a string.
    #[error("LB_CONFIG: {key} is not text")]
    NotText {
        /// The key.
        key: &'static str,
    },
    /// A value is not a socket address.
    #[error("{origin} = {value} is not address:port")]
    Address {
        /// The variable, or the file and the key.
        origin: String,
        /// The value.
        value: String,
    },
    /// The number of sockets is malformed or too small.
    #[error("LB_CONFIG: limits.sockets is not a number from {MIN_SOCKET_COUNT} up")]
    Sockets,
    /// The seed is malformed.
    #[error("LB_CONFIG: seed is neither 16 hexadecimal digits nor a whole number")]
    Seed,
    /// The cached endpoint list is malformed.
    #[error("LB_CONFIG: known: {0}")]
    CachedList(#[from] EndpointListError),
    /// The settings cannot be worked with.
    #[error("LB_CONFIG: settings: {0}")]
    Settings(#[from] DeploymentError),
    /// The log level is unknown.
    #[error("LB_LOG = {0} is none of off, error, warn, info, debug, trace")]
    LogLevel(String),
}

impl Config {
    /// Reads the environment and the file that it names. Blocks on the disk.
    ///
    /// # Errors
    /// Fails if the file cannot be read or its text is rejected by [`Config::read`].
    pub fn from_env() -> Result<Self, ConfigError> {
        Self::from_file(Self::read)
    }

    /// Reads the replaced file, as [`Config::reread`] does. Blocks on the disk.
    ///
    /// # Errors
    /// As [`Config::from_env`].
    pub fn from_env_again() -> Result<Self, ConfigError> {
        Self::from_file(Self::reread)
    }

    fn from_file(
        read: impl FnOnce(&str, fn(&str) -> Option<String>) -> Result<Self, ConfigError>,
    ) -> Result<Self, ConfigError> {
        let path = env::var("LB_CONFIG").map_err(|_| ConfigError::NotSet)?;
        let text =
            std::fs::read_to_string(&path).map_err(|source| ConfigError::Unreadable { path, source })?;
        read(&text, |name| env::var(name).ok()).map_err(|error| {
            let is_half_written = serde_json::from_str::<IgnoredAny>(&text).is_err_and(|e| e.is_eof());
            if is_half_written {
                ConfigError::HalfWritten(Box::new(error))
            } else {
                error
            }
        })
    }

    /// Parses the text of a file that was replaced while the gateway runs. Variables cannot change any more, so the
    /// file's `discovery` takes precedence over `LB_DISCOVERY` here.
    ///
    /// # Errors
    /// As [`Config::read`].
    pub fn reread(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let file: Value = serde_json::from_str(text).map_err(ConfigError::Json)?;
        let names_discovery = file.get("discovery").is_some_and(|value| !value.is_null());
        Self::read(text, |name| variable(name).filter(|_| !(names_discovery && name == "LB_DISCOVERY")))
    }

    /// Parses a configuration file's text; `variable` looks up the variables that take precedence over it.
    ///
    /// # Errors
    /// Fails on the first key or variable that is missing or malformed.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let file: Value = serde_json::from_str(text).map_err(ConfigError::Json)?;
        let source = Source { file: &file, variable: &variable };
        let max_sockets = match file.pointer("/limits/sockets") {
            None | Some(Value::Null) => DEFAULT_SOCKET_COUNT,
            Some(value) => {
                value.as_u64().filter(|count| *count >= MIN_SOCKET_COUNT).ok_or(ConfigError::Sockets)?
            }
        };
        let cached_list = match file.get("known") {
            None | Some(Value::Null) => EndpointList::default(),
            Some(value) => EndpointList::from_value(value)?,
        };
        let settings = file.get("settings").ok_or(ConfigError::Missing { key: "settings" })?;
        let log_level = match variable("LB_LOG") {
            None => LevelFilter::INFO,
            Some(level) => level.parse().map_err(|_| ConfigError::LogLevel(level))?,
        };
        let name = source.text("LB_NAME", "name")?;
        Ok(Config {
            name: name.map_or_else(|| DEFAULT_NAME.to_string(), |found| found.value),
            listen: source.address("LB_LISTEN", "listen")?,
            discovery: source.address("LB_DISCOVERY", "discovery")?,
            seed: parse_seed(file.get("seed"))?,
            max_sockets: usize::try_from(max_sockets).unwrap_or(usize::MAX),
            cached_list,
            deployment: Deployment::from_json(settings)?,
            log_level,
        })
    }
}

/// A value and where it was found, for error texts.
struct Found {
    origin: String,
    value: String,
}

/// The file and the variables that take precedence over it.
struct Source<'a, V> {
    file: &'a Value,
    variable: &'a V,
}

impl<V: Fn(&str) -> Option<String>> Source<'_, V> {
    fn text(&self, variable: &str, key: &'static str) -> Result<Option<Found>, ConfigError> {
        if let Some(value) = (self.variable)(variable) {
            return Ok(Some(Found { origin: variable.to_string(), value }));
        }
        match self.file.get(key) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(value)) => {
                Ok(Some(Found { origin: format!("LB_CONFIG: {key}"), value: value.clone() }))
            }
            Some(_) => Err(ConfigError::NotText { key }),
        }
    }

    fn address(&self, variable: &str, key: &'static str) -> Result<SocketAddr, ConfigError> {
        let Found { origin, value } = self.text(variable, key)?.ok_or(ConfigError::Missing { key })?;
        value.parse().map_err(|_| ConfigError::Address { origin, value })
    }
}

/// The seed is 16 hexadecimal digits or a whole number.
fn parse_seed(value: Option<&Value>) -> Result<u64, ConfigError> {
    let seed = match value {
        Some(Value::String(digits)) => u64::from_str_radix(digits, 16).ok(),
        Some(Value::Number(number)) => number.as_u64(),
        None | Some(Value::Null) => return Err(ConfigError::Missing { key: "seed" }),
        Some(_) => None,
    };
    seed.ok_or(ConfigError::Seed)
}
