//! Fault tests: many gateway processes on one machine, links with injected faults between all parts, and invariants that are
//! checked from outside.
//!
//! [`site`] starts a site from gateway processes ([`process`]), stub hosts and discovery ([`stub_servers`]), clients
//! ([`client`]) and [`links`]. All record into one [`history`], which [`invariants`] checks. [`matrix`] injects one fault
//! after another, [`fault_schedule`] draws schedules of many, [`soak`] injects failing system calls into processes, and
//! [`demo`] is a short demonstration.
#![forbid(unsafe_code)]
#![deny(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

pub mod client;
pub mod demo;
pub mod error;
pub mod fault_schedule;
pub mod history;
pub mod invariants;
pub mod links;
pub mod matrix;
pub mod process;
pub mod site;
pub mod soak;
pub mod stub_servers;
