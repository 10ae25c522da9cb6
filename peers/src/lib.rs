//! What the gateways of one installation know together. State machines without I/O, clock or threads: time comes in as
//! milliseconds of the caller's own clock, and what is to be sent comes out.
//!
//! [`version`] says what a version of the rules is, when two contradict each other, and what the neutral rules are.
//! [`lease`] brings versions into force in two steps, so that no two gateways act on contradicting ones for longer than
//! [`lease::Terms::contradiction_ms`]. [`list`] says which of discovery's lists may be proposed.
//!
//! The order of versions, and who may grant leases, come from a consensus among a few voters, which is not here yet:
//! [`lease::Grantor`] is told when its leadership has last been confirmed by a majority.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod lease;
pub mod list;
pub mod scope;
pub mod snapshot;
pub mod store;
pub mod tables;
pub mod version;
pub mod wire;
