//! A replica, which follows the primary and responds to the polls of gateways in place of the primary.
use super::ControlServer;
use crate::clock::Clock;
use crate::polling_client::{connect_timeout, PollingClient};
use crate::server_selection::{seed_of, ServerSelection};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::replica::Replica;
use ternstack_replication::wire::Member;
use tokio::net::TcpListener;
use tokio::sync::Notify;

impl ControlServer<Replica> {
    /// Creates a replica without state. The replica responds to no poll until it has fetched the state.
    pub fn replica(member: Member, lease: LeaseConfig) -> Arc<Self> {
        let clock = Clock::start();
        let name = member.name.clone();
        Self::with_clock(&name, clock, Replica::new(lease, member, clock.now_ms()))
    }

    /// Serves the connections that `listener` accepts, and follows the first server of `upstreams` that
    /// grants leases, for as long as the returned future is polled.
    pub async fn run(
        self: Arc<Self>, listener: TcpListener, upstreams: Vec<SocketAddr>, lease: LeaseConfig,
    ) -> Infallible {
        // Polls of clients change the core hundreds of times a second, so the core is checked at an interval
        // instead of after each notification.
        let never_notified = Notify::new();
        let lease_timeout_ms = lease.response_timeout_ms();
        let polling = PollingClient {
            name: &self.name,
            core: &self.core,
            clock: self.clock,
            servers: &upstreams,
            traffic: &self.traffic,
            wake: &never_notified,
            check_interval_ms: lease.prompt_poll_delay_ms() / 2.0,
            connect_timeout: connect_timeout(&lease),
        };
        let mut no_observer = ();
        let ranking = (0..upstreams.len()).collect();
        let selection = ServerSelection::new(ranking, lease_timeout_ms, seed_of(&self.name));
        tokio::select! {
            never = self.clone().accept_connections(listener) => never,
            never = polling.run(selection, &mut no_observer) => never,
            never = self.purge_expired_tombstones() => never,
        }
    }
}
