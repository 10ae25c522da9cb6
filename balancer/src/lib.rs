//! The decisions of a load-balancing proxy, without I/O, clock or threads.
//!
//! A gateway owns one [`Balancer`], hands it [`Event`]s with its own time, and carries out the [`Action`]s
//! that come back. Everything the balancer may know is in [`Settings`] and [`Event`]. Each rule has a
//! module of its own, with its state and constants; the `balancer` module hands events to them.
#![forbid(unsafe_code)]
#![deny(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

mod action;
mod admission;
mod attempt_assessment;
mod balancer;
mod capacity;
mod class_errors;
mod client_timeouts;
mod concurrency_factor;
mod concurrency_limit;
mod decaying;
mod discovery;
mod endpoint;
mod endpoint_set;
mod endpoint_updates;
mod event;
mod failure_ratios;
mod fleet;
mod health_checks;
mod ids;
mod latency_estimates;
mod load;
mod outlier_ejection;
mod pending_queue;
mod pick;
mod rate_limiter;
mod rejection_log;
mod request;
mod request_pacing;
mod retry;
mod retry_after;
mod saturation;
mod settings;
mod slow_start;
mod spillover;
mod start_history;
mod subset;
mod token_budget;
mod traffic_share;
mod wakeup;
mod zone;

pub use action::{Action, RejectionReason};
pub use balancer::Balancer;
pub use event::{Arrival, AttemptEnd, EndpointRecord, Event, LoadReport, Outcome, Readiness, UpdateKind};
pub use ids::{EndpointId, RequestId};
pub use settings::{
    DeduplicationScope, Idempotency, LoadReportDelivery, RequestClass, Settings, SettingsError, Tenant,
};

/// The README's example, compiled and run.
#[cfg(doctest)]
#[doc = include_str!("../../README.md")]
struct Readme;
