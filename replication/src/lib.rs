//! Replicates the configuration and endpoint state of an installation to its gateways: versioned changes, leases, and the
//! state machines on both ends. There is no I/O, clock or thread in here: time is passed in as milliseconds of the caller's
//! clock, and messages to send are returned.
//!
//! State is divided into scopes ([`scope`]) and travels as changes. A [`primary`] puts proposals together into revisions and
//! brings them into force in two steps, so that no two gateways act on conflicting rules for longer than
//! [`lease::LeaseConfig::max_conflict_ms`]. [`replica`]s stand between the primary and the gateways, each of which is a
//! [`follower`]. Primary and replicas answer followers through a [`lessor`]. [`store`] and [`tables`] implement [`storage`],
//! [`wire`] has the messages and their bytes, and [`placement`] says which replica a gateway calls.
//!
//! - **member**: a process that takes part: a gateway, a replica or the primary.
//! - **primary**: the member that orders changes into revisions; **replica**: a member between it and the gateways.
//! - **follower**: a member that polls for the state: a gateway, or a replica.
//! - **lessor**: the side of the primary, or of a replica, that answers followers and grants leases.
//! - **holder**: a follower whose lease lasts, see [`lessor::Lessor::holders`].
//!
//! [`rules`] has the rules as one document and says when two of them conflict; [`endpoint_list`] decides which endpoint
//! lists from discovery may be proposed. [`rules::conflicts`], [`rules::VersionedRules`] and [`endpoint_list::validate`] are
//! used by simulators, scale tests and benches, not by the gateway yet.
//!
//! The order of revisions, and who may grant leases, are to come from a consensus among voters, which is not part of this
//! crate: [`primary::Primary::confirm_leadership`] is told when a majority has last confirmed the leader.
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
