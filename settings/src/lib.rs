//! Reads the settings of a deployment from their JSON object, validates them and fills in the defaults.
//!
//! The simulator adapter receives the object in the line that starts a gateway, the gateway in its
//! configuration file; both use the same keys and units. [`Deployment::from_json`] is the only entry point.
//! Errors name the invalid key by its path, such as `limits.max_open`. The platform defines the names of the
//! keys; this crate maps them to the terms of the code (`docs/GLOSSARY.md` lists both).
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
