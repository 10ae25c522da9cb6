//! Replicates the configuration and endpoint state of an installation to its gateways: versioned changes,
//! leases, and the state machines on both ends. The crate uses no I/O, clocks or threads: the caller passes in
//! the time as milliseconds of its own clock, and gets the messages to send as return values.
//!
//! State is divided into scopes ([`scope`]) and is sent as changes. A [`primary`] batches proposals into
//! revisions and brings revisions into force in two steps, so that no two gateways act on conflicting rules for
//! longer than [`lease::LeaseConfig::max_conflict_ms`]. [`replica`]s relay the state from the primary to the
//! gateways. A gateway is a [`follower`], and so is a replica towards the primary. Primary and replicas answer
//! followers through a [`lessor`]. [`store`] and [`tables`] implement [`storage`], [`wire`] defines the
//! messages and their encoding, and [`placement`] decides which replica a gateway polls.
//!
//! - **member**: a process that takes part in the replication: a gateway, a replica or the primary.
//! - **primary**: the member that orders changes into revisions.
//! - **replica**: a member between the primary and the gateways.
//! - **follower**: a member that polls for the state: a gateway, or a replica.
//! - **lessor**: the side of the primary, or of a replica, that answers followers and grants leases.
//! - **holder**: a follower whose lease has not expired, see [`lessor::Lessor::holders`].
//!
//! [`rules`] defines the rules as one document and finds the conflicts between two documents; [`endpoint_list`]
//! decides which endpoint lists from discovery may be proposed. [`rules::conflicts`], [`rules::VersionedRules`]
//! and [`endpoint_list::validate`] are used by simulators, scale tests and benches, but not by the gateway yet.
//!
//! A consensus among voters, which is not part of this crate, is to decide the order of revisions and which
//! server may grant leases: [`primary::Primary::confirm_leadership`] records when a majority last confirmed the
//! leader.
#![forbid(unsafe_code)]
#![deny(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

pub mod endpoint_list;
pub mod follower;
pub mod lease;
pub mod lessor;
pub mod placement;
pub mod primary;
pub mod progress;
pub mod replica;
pub mod rules;
pub mod scope;
pub mod snapshot;
pub mod storage;
pub mod store;
pub mod tables;
pub mod wire;
