//! The scale run: thousands of hollow gateways, which do all that a gateway does for control and nothing else, and the
//! control machines before them, as processes of one machine over real sockets.
//!
//! [`options`] says what is played, [`world`] draws the installation and its changes, [`fleet`] starts the processes
//! ([`part`] is one as the run sees it, [`hollow`] what happens inside), [`run`] plays the phases and the [`faults`],
//! [`judge`] looks at what all told, and [`report`] prints and plots it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod before;
pub mod command;
pub mod faults;
pub mod fleet;
pub mod hist;
pub mod hollow;
pub mod judge;
pub mod measure;
pub mod options;
pub mod part;
pub mod proposer;
pub mod real;
pub mod record;
pub mod report;
pub mod run;
pub mod traffic;
pub mod usage;
pub mod world;
