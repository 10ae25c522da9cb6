//! What the gateways of one installation know together. State machines without I/O, clock or threads: time comes in as
//! milliseconds of the caller's own clock, and what is to be sent comes out.
//!
//! State is cut into scopes ([`scope`]) and travels as changes. An [`primary`] puts proposals together into versions and
//! brings them into force in two steps, so that no two gateways act on contradicting ones for longer than
//! [`lease::LeaseConfig::contradiction_ms`]; [`replica`]s stand between it and the gateways, each of which is a [`follower`].
//! Whoever answers followers is a [`lessor`]. [`store`] and [`tables`] keep the state, [`wire`] has the messages and their
//! bytes, [`placement`] says which machine a gateway calls.
//!
//! [`rules`] says what rules are and when two contradict each other, [`endpoint_list`] which of discovery's lists may be proposed.
//!
//! The order of versions, and who may grant leases, come from a consensus among a few voters, which is not here yet:
//! [`origin::Primary`] is told when its leadership has last been confirmed by a majority.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod endpoint_list;
pub mod follower;
pub mod lease;
pub mod lessor;
pub mod placement;
pub mod primary;
pub mod replica;
pub mod rules;
pub mod scope;
pub mod snapshot;
pub mod store;
pub mod tables;
pub mod wire;
