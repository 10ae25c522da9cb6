//! Control servers: a primary, and the replicas between it and the gateways. Each answers any number of clients.
use crate::clock::Clock;
use crate::frames::ConnectionError;
use crate::lock::lock;
use crate::traffic::TrafficCounter;
use client_connection::ClientConnection;
use proposals::{proposer, PendingReplies, ProposalReply};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use ternstack_replication::scope::{Change, Revision};
use ternstack_replication::wire::{Status, Traffic};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tracing::warn;

mod client_connection;

mod primary;
mod proposals;
mod replica;
mod server_core;

pub use server_core::{ProposalRejected, ServerCore};

/// The pause after a connection could not be accepted, which happens when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long tombstones of removed entries are kept: longer than a region may be partitioned.
const TOMBSTONE_RETENTION_MS: f64 = 2.0 * 3_600_000.0;
/// The interval at which old tombstones are dropped.
const TOMBSTONE_CHECK_INTERVAL_MS: f64 = 60_000.0;

/// A control server. It runs for as long as the future of its `run` is polled; dropping that closes its connections.
pub struct ControlServer<C> {
    name: String,
    core: Mutex<C>,
    clock: Clock,
    traffic: TrafficCounter,
    /// Notified when the core may have to be advanced earlier: by a proposal or a poll.
    wake: Notify,
    pending_replies: Mutex<PendingReplies>,
}

impl<C: ServerCore> ControlServer<C> {
    fn with_clock(name: &str, clock: Clock, core: C) -> Arc<Self> {
        Arc::new(ControlServer {
            name: name.to_string(),
            core: Mutex::new(core),
            clock,
            traffic: TrafficCounter::default(),
            wake: Notify::new(),
            pending_replies: Mutex::new(PendingReplies::default()),
        })
    }

    /// The status of the server, as admin requests get it.
    pub fn status(&self) -> Status {
        let now_ms = self.clock.now_ms();
        let core = lock(&self.core);
        let store = core.store();
        Status {
            name: self.name.clone(),
            in_force: store.in_force(),
            through: store.through(),
            digest: store.total_digest(),
            followers: core.lease_count(now_ms) as u64,
            lease_ms: core.remaining_lease_ms(now_ms).map(|ms| ms as u64),
            traffic: self.traffic.counts(),
        }
    }

    /// Returns the messages and bytes read and written so far, by cause.
    pub fn traffic(&self) -> Traffic {
        self.traffic.counts()
    }

    /// Reads from the core, with the current time in ms of its clock. `read` must not block: it holds the core's lock.
    pub fn with_core<R>(&self, read: impl FnOnce(&C, f64) -> R) -> R {
        read(&lock(&self.core), self.clock.now_ms())
    }

    async fn accept_connections(self: Arc<Self>, listener: TcpListener) -> Infallible {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, client)) => {
                        connections.spawn(self.clone().serve_connection(stream, client));
                    }
                    Err(error) => {
                        warn!(name = self.name, "connection not accepted: {error}");
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream, client: SocketAddr) {
        let served = match ClientConnection::new(&self, &mut stream, client) {
            Ok(connection) => connection.run().await,
            Err(error) => Err(ConnectionError::Io(error)),
        };
        match served {
            Ok(()) | Err(ConnectionError::Io(_)) => {}
            Err(error) => warn!(name = self.name, %client, "client connection closed: {error}"),
        }
    }

    /// Accepts a proposal of a client; `reply` is sent once it is part of a version.
    fn accept_proposal(
        &self, client: SocketAddr, changes: Vec<Change>, reply: ProposalReply,
    ) -> Result<(), ProposalRejected> {
        let proposer = proposer(client.to_string());
        // Locked over both steps, so that the proposal is not agreed before its reply is registered.
        let mut pending_replies = lock(&self.pending_replies);
        let proposal = lock(&self.core).propose(proposer, changes)?;
        pending_replies.insert(proposal, reply);
        self.wake.notify_one();
        Ok(())
    }

    /// Drops tombstones that are older than [`TOMBSTONE_RETENTION_MS`].
    async fn forget_tombstones(&self) -> Infallible {
        let mut history: VecDeque<VersionInForce> = VecDeque::new();
        loop {
            sleep(Duration::from_secs_f64(TOMBSTONE_CHECK_INTERVAL_MS / 1000.0)).await;
            let now_ms = self.clock.now_ms();
            let mut core = lock(&self.core);
            history.push_back(VersionInForce { at_ms: now_ms, number: core.store().in_force() });
            let mut forget_before = None;
            while history.front().is_some_and(|version| now_ms - version.at_ms > TOMBSTONE_RETENTION_MS) {
                forget_before = history.pop_front().map(|version| version.number);
            }
            if let Some(before) = forget_before {
                core.forget_removed(before);
            }
        }
    }
}

/// The version that was in force at a moment.
struct VersionInForce {
    at_ms: f64,
    number: Revision,
}
