//! The decisions of a load-balancing proxy, without I/O, clock or threads.
//!
//! A gateway owns one [`Balancer`], hands it [`Event`]s with its own time, and carries out the [`Action`]s
//! that come back. Everything the balancer may know is in [`Settings`] and [`Event`]; everything it decides
//! is in `balance`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
mod balance;
mod event;
mod ids;
mod membership;
mod settings;
mod state;

pub use action::{Action, RejectionReason};
pub use event::{Arrival, AttemptEnd, EndpointRecord, Event, LoadReport, Outcome, Readiness, UpdateKind};
pub use ids::{EndpointId, RequestId};
pub use settings::{
    DeduplicationScope, Idempotency, LoadReportDelivery, RequestClass, Settings, SettingsError, Tenant,
};
pub use state::Balancer;

/// The README's example, compiled and run.
#[cfg(doctest)]
#[doc = include_str!("../../README.md")]
struct Readme;
