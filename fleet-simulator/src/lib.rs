//! The laboratory: a model of a whole platform in virtual time, round the real decision module of many gateways.
//!
//! [`world`] holds what is outside the gateways, [`trouble`] lays out what goes wrong, [`policy`] decides (the
//! project's module, or what users would pick instead), [`drive`] owns the virtual clock, and [`judge`] tells
//! whether the rules were kept and what service there was. [`experiment`] reads files and plays many runs, [`statistics`]
//! and [`report`] say what came of them. [`capacity`] works out, from measured slopes, what a platform of some size needs.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod capacity;
pub mod drive;
pub mod experiment;
pub mod judge;
pub mod policy;
pub mod report;
pub mod statistics;
pub mod trouble;
pub mod world;
