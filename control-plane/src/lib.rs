//! The control plane on sockets: runs the state machines of [`ternstack_replication`] on tokio's current-thread runtime.
//!
//! - [`frames`] reads and writes messages; [`traffic`] counts them by cause.
//! - [`server`] is a primary or a replica.
//! - [`gateway_client`] is a gateway's client, with its snapshot in a [`snapshot_file`].
//! - Gateways and replicas poll the servers above them: `polling_client` connects to one server after another in the order
//!   of [`server_selection`], `server_connection` is one such connection.
//! - [`operator_file`] parses the operators' file and their changes; [`admin_client`] proposes these and requests statuses.
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
