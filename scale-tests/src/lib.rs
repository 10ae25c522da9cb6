//! Scale tests: thousands of hollow gateways and the control servers that serve them, run as processes of one
//! machine over real sockets. A hollow gateway runs a gateway's whole client of the control servers, but
//! forwards no requests.
//!
//! [`options`] parses the command line into plans, [`installation`] generates the state and its changes from
//! a seed, [`fleet`] starts the processes ([`worker_process`] is the parent's handle of a process, [`worker`]
//! the code that runs in it), [`run`] executes the phases of a plan and injects the [`faults`],
//! [`invariants`] checks the collected evidence, and [`report`] renders the results.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod command;
pub mod faults;
pub mod fleet;
pub mod full_state_cost;
pub mod histogram;
pub mod installation;
pub mod invariants;
pub mod options;
pub mod phase_result;
pub mod proposer;
pub mod real_gateways;
pub mod report;
pub mod run;
pub mod timeline;
pub mod traffic;
pub mod usage;
pub mod worker;
pub mod worker_process;
