//! Fault tests: many gateway processes on one machine, links with injected faults on every path between two
//! processes, and invariants that are checked without access to a gateway's internal state.
//!
//! [`site`] starts gateway processes ([`process`]), stub hosts and stub discovery ([`stub_servers`]), and
//! connects them by [`links`]; [`client`] sends requests to the gateways. Clients, stub servers and fault
//! injection record events into one [`history`], which [`invariants`] checks. [`matrix`] injects one fault
//! after another, [`fault_schedule`] plays random schedules of overlapping faults, [`soak`] injects failing
//! system calls into the gateway processes, [`hostile`] measures a gateway's memory under hostile clients, and
//! [`demo`] is a short demonstration.
#![forbid(unsafe_code)]
#![deny(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

pub mod client;
pub mod demo;
pub mod error;
pub mod fault_schedule;
pub mod history;
pub mod hostile;
pub mod invariants;
pub mod links;
pub mod matrix;
pub mod process;
pub mod site;
pub mod soak;
pub mod stub_servers;
