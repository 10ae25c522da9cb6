//! The rig: many processes of the gateway on one machine, with links between all parts that fail by script, and
//! checkers that judge from outside.
//!
//! [`site`] puts a site together from [`process`] (the gateways), [`peers`] (hosts, discovery, clients) and [`links`];
//! all write into one [`history`], which [`checkers`] look through. [`matrix`] tries one fault after another,
//! [`nemesis`] draws schedules of many, and [`demo`] is a short show.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod checkers;
pub mod demo;
pub mod history;
pub mod links;
pub mod matrix;
pub mod nemesis;
pub mod peers;
pub mod process;
pub mod site;
pub mod soak;
