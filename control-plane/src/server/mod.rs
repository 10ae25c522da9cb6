//! Control servers: the primary, and the replicas between the primary and the gateways. A server responds to
//! any number of clients.
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

/// The delay before another connection is accepted after accepting one has failed, so that a server without a
/// free file descriptor does not retry in a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The time for which tombstones of removed entries are kept: longer than a region is expected to be
/// partitioned, because a client that was disconnected for longer has to fetch the affected scopes again.
const TOMBSTONE_RETENTION_MS: f64 = 2.0 * 3_600_000.0;
/// The interval at which expired tombstones are purged.
const TOMBSTONE_PURGE_INTERVAL_MS: f64 = 60_000.0;

/// A control server. The server runs for as long as the future of its `run` method is polled; dropping the
/// future closes all connections.
pub struct ControlServer<C> {
    name: String,
    core: Mutex<C>,
    clock: Clock,
    traffic: TrafficCounter,
    /// Notified after a proposal or a poll, because the core may have to be advanced earlier then.
    wake: Notify,
    /// The replies to the proposals that are accepted but not yet agreed.
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

    /// Returns the status of the server that admin requests receive.
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
            lease_ms: core.remaining_lease_ms(now_ms).map(|remaining_ms| remaining_ms as u64),
            traffic: self.traffic.counts(),
        }
    }

    /// Returns the messages and bytes read and written so far, by cause.
    pub fn traffic(&self) -> Traffic {
        self.traffic.counts()
    }

    /// Calls `read` with the core and the current time, in ms of the server's clock. The core is locked
    /// during the call, so `read` must not block.
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
                        warn!(name = self.name, "could not accept a connection: {error}");
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
            Err(error) => warn!(name = self.name, %client, "closing client connection: {error}"),
        }
    }

    /// Accepts a proposal of a client. `reply` is sent when the proposal has become part of a revision.
    fn accept_proposal(
        &self, client: SocketAddr, changes: Vec<Change>, reply: ProposalReply,
    ) -> Result<(), ProposalRejected> {
        let proposer = proposer(client.to_string());
        // The replies are locked first, so that the proposal is not agreed before its reply is registered.
        let mut pending_replies = lock(&self.pending_replies);
        let proposal_number = lock(&self.core).propose(proposer, changes)?;
        pending_replies.insert(proposal_number, reply);
        self.wake.notify_one();
        Ok(())
    }

    /// Purges tombstones that are older than [`TOMBSTONE_RETENTION_MS`].
    async fn purge_expired_tombstones(&self) -> Infallible {
        let mut history: VecDeque<RevisionInForce> = VecDeque::new();
        loop {
            sleep(Duration::from_secs_f64(TOMBSTONE_PURGE_INTERVAL_MS / 1000.0)).await;
            let now_ms = self.clock.now_ms();
            let mut core = lock(&self.core);
            history.push_back(RevisionInForce { at_ms: now_ms, revision: core.store().in_force() });
            let mut purge_before = None;
            while history.front().is_some_and(|record| now_ms - record.at_ms > TOMBSTONE_RETENTION_MS) {
                purge_before = history.pop_front().map(|record| record.revision);
            }
            if let Some(before) = purge_before {
                core.purge_tombstones(before);
            }
        }
    }
}

/// The revision that was in force at a time, which shows which tombstones are expired.
struct RevisionInForce {
    at_ms: f64,
    revision: Revision,
}
