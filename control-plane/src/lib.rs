//! The control plane on sockets, which runs the state machines of [`ternstack_replication`] on tokio's
//! current-thread runtime.
//!
//! - [`frames`] reads and writes messages, and [`traffic`] counts messages by cause.
//! - [`server`] holds the control servers: the primary and the replicas.
//! - [`gateway_client`] is the client that a gateway runs, with a snapshot of the state in a
//!   [`snapshot_file`].
//! - Replicas poll the primary, and gateways poll replicas, or the primary where there are no replicas.
//!   `polling_client` connects to one server after another in the order of [`server_selection`];
//!   `server_connection` is one such connection.
//! - [`operator_file`] parses the operators' file and the files of changes. [`admin_client`] proposes changes
//!   and requests the status of servers.
#![forbid(unsafe_code)]
#![deny(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

pub mod admin_client;
pub mod clock;
pub mod frames;
pub mod gateway_client;
mod lock;
pub mod operator_file;
mod polling_client;
pub mod server;
mod server_connection;
pub mod server_selection;
pub mod snapshot_file;
pub mod traffic;
