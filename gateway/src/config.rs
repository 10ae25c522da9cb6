//! What this gateway is told at its start: the file at `LB_CONFIG`, and the `LB_*` variables that go before
//! it. The settings in the file are read by `ternstack-settings`, for the adapter and the gateway alike.
use crate::requests::EndpointList;
use serde::de::IgnoredAny;
use serde_json::Value;
use std::env;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use ternstack_settings::Deployment;
use tracing::level_filters::LevelFilter;

/// The fewest sockets that a gateway can work with.
const FEWEST_SOCKETS: u64 = 64;

/// All that a gateway is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, for log lines.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// The most sockets it may hold.
    pub sockets: usize,
    /// The warm copy of the endpoint list.
    pub known: EndpointList,
    /// The settings.
    pub site: Deployment,
    /// The least severe log lines that are written.
    pub log: LevelFilter,
}

/// Why there is no configuration.
#[derive(Debug)]
pub enum Problem {
    /// The file cannot be read, which may pass.
    Unreadable(String, io::Error),
    /// The file's text ends too early: it may be half written.
    Unfinished(String),
    /// What it says cannot be worked with. The text names the faulty key.
    Faulty(String),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Unreadable(path, e) => write!(f, "LB_CONFIG: {path}: {e}"),
            Problem::Unfinished(text) | Problem::Faulty(text) => f.write_str(text),
        }
    }
}

impl Config {
    /// Reads the environment and the file that it names. It waits for the disk.
    pub fn from_env() -> Result<Self, Problem> {
        let text = file_text()?;
        Self::read(&text, |name| env::var(name).ok()).map_err(|e| of_text(&text, e))
    }

    /// Reads the replaced file, as [`Config::reread`] does. It waits for the disk.
    pub fn from_env_again() -> Result<Self, Problem> {
        let text = file_text()?;
        Self::reread(&text, |name| env::var(name).ok()).map_err(|e| of_text(&text, e))
    }

    /// Reads a replaced file's text while the gateway runs. Guards against following discovery where it was at
    /// the start: variables cannot change any more, so the file's address goes before `LB_DISCOVERY` here.
    pub fn reread(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let file: Value = serde_json::from_str(text).map_err(|e| format!("LB_CONFIG is no JSON: {e}"))?;
        let named = file.get("discovery").is_some_and(|value| !value.is_null());
        Self::read(text, |name| variable(name).filter(|_| !(named && name == "LB_DISCOVERY")))
    }

    /// Reads a configuration file's text; `variable` looks up what goes before it.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let file: Value = serde_json::from_str(text).map_err(|e| format!("LB_CONFIG is no JSON: {e}"))?;
        let told = |name: &str, key: &str| match variable(name) {
            Some(value) => Ok(Some((name.to_string(), value))),
            None => match file.get(key) {
                None | Some(Value::Null) => Ok(None),
                Some(Value::String(value)) => Ok(Some((format!("LB_CONFIG: {key}"), value.clone()))),
                Some(_) => Err(format!("LB_CONFIG: {key} is not text")),
            },
        };
        let address = |name: &str, key: &str| -> Result<SocketAddr, String> {
            let (origin, value) = told(name, key)?.ok_or_else(|| format!("LB_CONFIG: {key} is missing"))?;
            value.parse().map_err(|_| format!("{origin} = {value} is not address:port"))
        };
        let sockets = match file.pointer("/limits/sockets") {
            None | Some(Value::Null) => 1024,
            Some(value) => value.as_u64().filter(|n| *n >= FEWEST_SOCKETS).ok_or_else(|| {
                format!("LB_CONFIG: limits.sockets is not a number from {FEWEST_SOCKETS} up")
            })?,
        };
        let known = match file.get("known") {
            None | Some(Value::Null) => EndpointList::default(),
            Some(value) => EndpointList::from_value(value).map_err(|e| format!("LB_CONFIG: known: {e}"))?,
        };
        let settings = file.get("settings").ok_or("LB_CONFIG: settings is missing")?;
        let log = variable("LB_LOG").map_or(Ok(LevelFilter::INFO), |level| {
            level
                .parse()
                .map_err(|_| format!("LB_LOG = {level} is none of off, error, warn, info, debug, trace"))
        })?;
        Ok(Config {
            name: told("LB_NAME", "name")?.map_or_else(|| "gateway".to_string(), |(_, name)| name),
            listen: address("LB_LISTEN", "listen")?,
            discovery: address("LB_DISCOVERY", "discovery")?,
            seed: seed(file.get("seed"))?,
            sockets: usize::try_from(sockets).unwrap_or(usize::MAX),
            known,
            site: ternstack_settings::Deployment::from_json(settings)
                .map_err(|e| format!("LB_CONFIG: settings: {e}"))?,
            log,
        })
    }
}

/// The text of the file that `LB_CONFIG` names.
fn file_text() -> Result<String, Problem> {
    let path = env::var("LB_CONFIG").map_err(|_| Problem::Faulty("LB_CONFIG is not set".into()))?;
    std::fs::read_to_string(&path).map_err(|e| Problem::Unreadable(path, e))
}

/// What is wrong with a text.
fn of_text(text: &str, problem: String) -> Problem {
    match serde_json::from_str::<IgnoredAny>(text) {
        Err(e) if e.is_eof() => Problem::Unfinished(problem),
        _ => Problem::Faulty(problem),
    }
}

/// The seed is hexadecimal text or a whole number.
fn seed(value: Option<&Value>) -> Result<u64, String> {
    let read = match value {
        Some(Value::String(text)) => u64::from_str_radix(text, 16).ok(),
        Some(Value::Number(number)) => number.as_u64(),
        None | Some(Value::Null) => return Err("LB_CONFIG: seed is missing".into()),
        Some(_) => None,
    };
    read.ok_or_else(|| "LB_CONFIG: seed is neither 16 hexadecimal digits nor a whole number".into())
}
