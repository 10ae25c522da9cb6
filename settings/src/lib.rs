//! Reads the settings of a deployment from their JSON object, checks them, and fills in the defaults.
//!
//! The simulator adapter receives the object in its start message, the gateway in its configuration file;
//! keys and units are the same. [`Deployment::from_json`] is the only entry; an error names the faulty key by
//! its path, such as `limits.max_open`. The keys are the platform's words; this crate is where they become
//! the terms of the code (`docs/GLOSSARY.md` maps them).
#![forbid(unsafe_code)]
#![deny(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

mod defaults;
mod deployment;
mod error;
mod hash;
mod json;
mod names;

pub use deployment::Deployment;
pub use error::DeploymentError;
pub use hash::stable_hash;
pub use names::NameTable;
