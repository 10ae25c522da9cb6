//! Simulates a whole platform in virtual time around the real decision module of many gateways.
//!
//! [`world`] models everything outside the gateways, [`disturbance`] schedules disturbances, [`policy`] makes
//! the gateways' decisions (with the project's balancer or a baseline policy), [`simulation`] owns the
//! virtual clock, and [`judge`] checks the rules and measures the service that clients received.
//! [`experiment`] reads experiment files and executes their runs; [`statistics`] and [`report`] summarize the
//! results. [`capacity`] computes from measured slopes what a platform of a given size needs.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod capacity;
pub mod disturbance;
pub mod experiment;
pub mod judge;
pub mod policy;
pub mod report;
pub mod simulation;
pub mod statistics;
pub mod world;
