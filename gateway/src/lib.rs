//! The gateway on sockets: it accepts clients' requests, has the balancer decide, and forwards them to servers.
//!
//! A request passes from `listener` as an event ([`events`]) to `event_loop`, the one task that owns the
//! [`Balancer`](ternstack_balancer::Balancer); from there as attempts to [`upstream`]; and back as a response ([`response`]).
//! [`discovery`] or [`control`] supplies the endpoint list ([`endpoint_list`]), `permit` decides whether an attempt may
//! begin, and [`budget`] which connections may be open. `protocol` holds the platform's words on the wire, [`http1`] the
//! parsing and framing of messages. [`program`] runs it all as a process.
//!
//! Only modules that tests or other packages use are public.
#![forbid(unsafe_code)]
#![deny(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

pub mod budget;
pub mod clock;
pub mod config;
pub mod control;
pub mod descriptors;
pub mod discovery;
pub mod endpoint_list;
mod event_loop;
pub mod events;
pub mod http1;
mod invariants;
mod listener;
mod loop_lag;
mod permit;
pub mod program;
mod protocol;
pub mod response;
mod serve;
pub mod sockets;
pub mod upstream;

pub use serve::{serve, serve_with_control, ServeError};
