//! The gateway around ternstack's decisions, one module for each stage of a message.
//!
//! [`intake`] takes messages from clients, [`decide`] is the one task that owns the
//! [`Balancer`](ternstack::Balancer), [`relay`] carries messages to south side hosts, [`answer`] words what
//! the client gets, and [`inventory`] follows discovery's list. [`http1`] parses and frames bytes, [`clock`]
//! tells the time, [`config`] reads what the gateway is told at its start.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer;
pub mod clock;
pub mod config;
pub mod decide;
pub mod http1;
pub mod intake;
pub mod inventory;
pub mod relay;
