//! The gateway on sockets: accepts client requests, lets the balancer choose endpoints, and forwards the
//! requests.
//!
//! The `listener` sends each request as an event ([`events`]) to the `event_loop`, the one task that owns the
//! [`Balancer`](ternstack_balancer::Balancer). The event loop sends attempts through [`upstream`] and gives
//! the response back to the listener, which encodes it ([`response`]). [`discovery`] or [`control`] supplies
//! the endpoint list ([`endpoint_list`]), and `permit` decides whether an attempt may begin. [`budget`] limits
//! the open connections, [`memory_budget`] the bytes that are held for peers, and [`work_budget`] the
//! processor time of each client connection. `protocol` holds the platform's header names and paths, and [`http1`] parses
//! and frames HTTP/1.1 messages. [`program`] runs the gateway as a process.
//!
//! A module is public only if tests or other packages use it.
#![forbid(unsafe_code)]
#![deny(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

pub mod budget;
pub mod budgets;
pub mod clock;
pub mod closes;
pub mod config;
pub mod control;
pub mod correlation_ids;
pub mod descriptors;
pub mod discovery;
pub mod endpoint_list;
mod event_loop;
pub mod events;
pub mod http1;
mod invariants;
mod list_expiry;
mod listener;
pub mod loop_lag;
pub mod memory;
pub mod memory_budget;
mod permit;
pub mod program;
mod protocol;
pub mod response;
mod serve;
pub mod sockets;
pub mod spare_budget;
pub mod upstream;
pub mod work_budget;

pub use serve::{serve, serve_with_control, ServeError};
