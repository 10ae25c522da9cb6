//! The decisions of a load-balancing proxy, without I/O, clock or threads.
//!
//! A gateway owns one [`Balancer`], hands it [`Event`]s with its own time, and carries out the [`Action`]s
//! that come back. Everything the balancer may know is in [`interface`]; everything it decides is in
//! [`balance`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod balance;
pub mod interface;
mod membership;
mod state;

pub use interface::*;
pub use state::Balancer;

/// The README's example, compiled and run.
#[cfg(doctest)]
#[doc = include_str!("../../README.md")]
struct Readme;
