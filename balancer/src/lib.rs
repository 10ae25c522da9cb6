//! The decisions of a load-balancing gateway, without I/O, clocks or threads.
//!
//! A gateway owns one [`Balancer`], passes [`Event`]s to [`Balancer::handle`] together with the current
//! time of the gateway's own clock, and carries out the returned [`Action`]s. A balancer's inputs are its
//! [`Settings`], a random seed and these events; the same inputs lead to the same actions. Each rule has a
//! module of its own, with its state and its constants; the `balancer` module passes events to the rules.
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
mod list_staleness;
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
pub use event::{
    Arrival, AttemptEnd, DiscoveryReport, EndpointRecord, Event, LoadReport, Outcome, Readiness, UpdateKind,
};
pub use ids::{EndpointId, RequestId};
pub use settings::{
    DeduplicationScope, Idempotency, LoadReportDelivery, RequestClass, Settings, SettingsError, Tenant,
};

/// Compiles and runs the example of the README as a doc test.
#[cfg(doctest)]
#[doc = include_str!("../../README.md")]
struct Readme;
