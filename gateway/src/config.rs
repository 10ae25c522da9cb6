//! The gateway's configuration: the JSON file at `LB_CONFIG`, and the `LB_*` environment variables that take
//! precedence over the file.
//!
//! The file's key `settings` is parsed by `ternstack-settings`, which the simulator's adapter uses as well.
use crate::endpoint_list::{EndpointList, EndpointListError};
use serde::de::IgnoredAny;
use serde_json::Value;
use std::env;
use std::io;
use std::net::SocketAddr;
use ternstack_settings::{Deployment, DeploymentError};
use thiserror::Error;
use tokio::time::Instant;
use tracing::level_filters::LevelFilter;

/// The smallest accepted value of the file's `limits.sockets`, because a gateway with fewer sockets cannot
/// work.
const MIN_SOCKETS: u64 = 64;
/// The maximum number of open sockets if the file has no `limits.sockets`.
const DEFAULT_MAX_SOCKETS: u64 = 1024;
/// The smallest accepted value of the file's `limits.memory_mb`, because a gateway with less memory cannot hold
/// its endpoint list beside some connections.
const MIN_MEMORY_MB: f64 = 16.0;
/// The memory limit if the file has no `limits.memory_mb`: the least that the platform gives a gateway.
const DEFAULT_MEMORY_MB: f64 = 32.0;
/// The largest value of `limits.memory_mb` that makes a difference.
const MAX_MEMORY_MB: f64 = 1e6;
/// The number of bytes in a megabyte of `limits.memory_mb`. The smaller of the two usual meanings, because a
/// process beyond its limit is killed.
const BYTES_PER_MB: f64 = 1e6;
/// The share of a processor core if the file has no `limits.cores`. The gateway runs on one thread, so that it
/// cannot use more.
const MAX_CORES: f64 = 1.0;
/// The gateway's name in log lines if neither `LB_NAME` nor the file gives one.
const DEFAULT_NAME: &str = "gateway";

/// The gateway's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The gateway's name in log lines.
    pub name: String,
    /// The address on which the gateway listens for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the balancer's random number generator.
    pub seed: u64,
    /// The maximum number of open sockets, those of clients, endpoints and the gateway itself together.
    pub max_sockets: usize,
    /// The memory limit of the process, in bytes.
    pub max_memory_bytes: u64,
    /// The share of a processor core that the process may use, up to 1.
    pub cores: f64,
    /// The time from which the age of the cached list counts: the start of the process, or else the time at which
    /// the configuration was read.
    pub started_at: Instant,
    /// The endpoint list that the balancer uses until discovery has responded.
    pub cached_list: EndpointList,
    /// The parsed settings of the file: classes, tenants, zones and limits.
    pub deployment: Deployment,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
}

/// A missing or invalid configuration. The message names the faulty key or variable.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The variable `LB_CONFIG` is not set.
    #[error("LB_CONFIG is not set; expected the path of the configuration file")]
    NotSet,
    /// The file cannot be read. A later attempt may succeed.
    #[error("LB_CONFIG: cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file, or a description of the step that failed.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file's JSON text ends too early, as if another process were still writing the file.
    #[error(transparent)]
    HalfWritten(Box<ConfigError>),
    /// The file's text is not valid JSON.
    #[error("LB_CONFIG: invalid JSON: {0}")]
    Json(#[source] serde_json::Error),
    /// A required key is missing in the file.
    #[error("LB_CONFIG: {key} is missing")]
    Missing {
        /// The missing top-level key.
        key: &'static str,
    },
    /// A key's value is not a string.
    #[error("LB_CONFIG: {key}: expected a string")]
    NotText {
        /// The top-level key with the faulty value.
        key: &'static str,
    },
    /// A value is not a socket address.
    #[error("{origin}: expected address:port, got {value}")]
    Address {
        /// The name of the variable, or `LB_CONFIG` and the key.
        origin: String,
        /// The faulty value.
        value: String,
    },
    /// The file's `limits.sockets` is malformed or too small.
    #[error("LB_CONFIG: limits.sockets: expected a whole number of at least {MIN_SOCKETS}")]
    Sockets,
    /// The file's `limits.memory_mb` is malformed or too small.
    #[error("LB_CONFIG: limits.memory_mb: expected a number of at least {MIN_MEMORY_MB}")]
    Memory,
    /// The file's `limits.cores` is malformed or not positive.
    #[error("LB_CONFIG: limits.cores: expected a number greater than 0")]
    Cores,
    /// The file's `seed` is malformed.
    #[error("LB_CONFIG: seed: expected 16 hexadecimal digits or a whole number")]
    Seed,
    /// The cached endpoint list, the file's `known`, is malformed.
    #[error("LB_CONFIG: known: {0}")]
    CachedList(#[from] EndpointListError),
    /// The file's `settings` are malformed or contradict each other.
    #[error("LB_CONFIG: settings: {0}")]
    Settings(#[from] DeploymentError),
    /// The value of the variable `LB_LOG` is not a log level.
    #[error("LB_LOG: expected off, error, warn, info, debug or trace, got {0}")]
    LogLevel(String),
}

impl Config {
    /// Reads the environment and the file that `LB_CONFIG` names. Blocks on the disk.
    ///
    /// # Errors
    /// Fails if the file cannot be read or its text is rejected by [`Config::read`].
    pub fn from_env() -> Result<Self, ConfigError> {
        Self::from_file(Self::read)
    }

    /// Reads the file that `LB_CONFIG` names once more, with the precedence of [`Config::reread`]. Blocks on
    /// the disk.
    ///
    /// # Errors
    /// Fails if the file cannot be read or its text is rejected by [`Config::reread`].
    pub fn reread_env() -> Result<Self, ConfigError> {
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

    /// Parses the text of a configuration file that was replaced while the gateway runs. The file's
    /// `discovery` takes precedence over `LB_DISCOVERY` here, because the environment of a running process
    /// cannot be changed from outside.
    ///
    /// # Errors
    /// Fails on the first key or variable that is missing or malformed.
    pub fn reread(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let file: Value = serde_json::from_str(text).map_err(ConfigError::Json)?;
        let names_discovery = file.get("discovery").is_some_and(|value| !value.is_null());
        Self::read(text, |name| variable(name).filter(|_| !(names_discovery && name == "LB_DISCOVERY")))
    }

    /// Parses the text of a configuration file. `variable` looks up the environment variables that take
    /// precedence over the file.
    ///
    /// # Errors
    /// Fails on the first key or variable that is missing or malformed.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let file: Value = serde_json::from_str(text).map_err(ConfigError::Json)?;
        let source = ConfigSource { file: &file, variable: &variable };
        let max_sockets = match file.pointer("/limits/sockets") {
            None | Some(Value::Null) => DEFAULT_MAX_SOCKETS,
            Some(value) => {
                value.as_u64().filter(|count| *count >= MIN_SOCKETS).ok_or(ConfigError::Sockets)?
            }
        };
        let max_memory_bytes = (memory_mb(&file)? * BYTES_PER_MB) as u64;
        let cores = cores(&file)?;
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
            max_memory_bytes,
            cores,
            started_at: Instant::now(),
            cached_list,
            deployment: Deployment::from_json(settings)?,
            log_level,
        })
    }
}

/// A configured string, with the variable or key that it came from for error messages.
struct LocatedValue {
    origin: String,
    value: String,
}

/// The parsed configuration file, with the lookup of the variables that take precedence over the file.
struct ConfigSource<'a, V> {
    file: &'a Value,
    variable: &'a V,
}

impl<V: Fn(&str) -> Option<String>> ConfigSource<'_, V> {
    fn text(&self, variable: &str, key: &'static str) -> Result<Option<LocatedValue>, ConfigError> {
        if let Some(value) = (self.variable)(variable) {
            return Ok(Some(LocatedValue { origin: variable.to_string(), value }));
        }
        match self.file.get(key) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(value)) => {
                Ok(Some(LocatedValue { origin: format!("LB_CONFIG: {key}"), value: value.clone() }))
            }
            Some(_) => Err(ConfigError::NotText { key }),
        }
    }

    fn address(&self, variable: &str, key: &'static str) -> Result<SocketAddr, ConfigError> {
        let LocatedValue { origin, value } = self.text(variable, key)?.ok_or(ConfigError::Missing { key })?;
        value.parse().map_err(|_| ConfigError::Address { origin, value })
    }
}

/// Returns the memory limit of the file, in megabytes.
fn memory_mb(file: &Value) -> Result<f64, ConfigError> {
    match file.pointer("/limits/memory_mb") {
        None | Some(Value::Null) => Ok(DEFAULT_MEMORY_MB),
        Some(value) => {
            let memory_mb = value.as_f64().filter(|mb| *mb >= MIN_MEMORY_MB).ok_or(ConfigError::Memory)?;
            Ok(memory_mb.min(MAX_MEMORY_MB))
        }
    }
}

/// Returns the share of a processor core that the file gives the gateway.
fn cores(file: &Value) -> Result<f64, ConfigError> {
    match file.pointer("/limits/cores") {
        None | Some(Value::Null) => Ok(MAX_CORES),
        Some(value) => {
            let cores = value.as_f64().filter(|cores| *cores > 0.0).ok_or(ConfigError::Cores)?;
            Ok(cores.min(MAX_CORES))
        }
    }
}

/// Parses the seed, which is a string of 16 hexadecimal digits or a whole number.
fn parse_seed(value: Option<&Value>) -> Result<u64, ConfigError> {
    let seed = match value {
        Some(Value::String(digits)) => u64::from_str_radix(digits, 16).ok(),
        Some(Value::Number(number)) => number.as_u64(),
        None | Some(Value::Null) => return Err(ConfigError::Missing { key: "seed" }),
        Some(_) => None,
    };
    seed.ok_or(ConfigError::Seed)
}
