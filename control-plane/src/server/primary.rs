//! The primary: puts proposals together into versions and brings these into force.
use super::proposals::proposer;
use super::ControlServer;
use crate::clock::Clock;
use crate::lock::lock;
use std::convert::Infallible;
use std::sync::Arc;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::primary::{Primary, PrimaryEvent, ProposalError};
use ternstack_replication::scope::Change;
use ternstack_replication::store::Store;
use tokio::net::TcpListener;
use tokio::time::sleep_until;
use tracing::info;

/// How often the primary checks whether a pending version may come into force. A version that only waits for a lease to
/// expire is announced by no poll.
const PENDING_VERSION_CHECK_MS: f64 = 25.0;

impl ControlServer<Primary> {
    /// A primary that leads from now on, with all agreed versions, in force or pending.
    pub fn primary(name: &str, lease: LeaseConfig, store: Store) -> Arc<Self> {
        let clock = Clock::start();
        Self::with_clock(name, clock, Primary::new(lease, clock.now_ms(), 1, store))
    }

    /// Accepts a proposal from within the process and returns the number that the primary gave it.
    pub fn propose(&self, changes: Vec<Change>) -> Result<u64, ProposalError> {
        let proposal = lock(&self.core).propose(proposer(self.name.clone()), changes);
        self.wake.notify_one();
        proposal
    }

    /// Serves connections of `listener` for as long as the future is polled.
    pub async fn run(self: Arc<Self>, listener: TcpListener) -> Infallible {
        tokio::select! {
            never = self.clone().accept_connections(listener) => never,
            never = self.advance_versions() => never,
            never = self.forget_tombstones() => never,
        }
    }

    async fn advance_versions(&self) -> Infallible {
        loop {
            let now_ms = self.clock.now_ms();
            let (events, next_tick_at_ms) = self.tick(now_ms);
            for event in events {
                self.on_version_event(event);
            }
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep_until(self.clock.instant_at(next_tick_at_ms)) => {}
            }
        }
    }

    /// Advances the core; what has happened, and when it is to be advanced again.
    fn tick(&self, now_ms: f64) -> (Vec<PrimaryEvent>, f64) {
        let mut core = lock(&self.core);
        let events = core.tick(now_ms);
        let store = core.store();
        let has_pending_version = store.through() > store.in_force();
        let check_at_ms = if has_pending_version { now_ms + PENDING_VERSION_CHECK_MS } else { f64::INFINITY };
        let tick_at_ms = core.next_tick().unwrap_or(f64::INFINITY);
        (events, tick_at_ms.min(check_at_ms))
    }

    fn on_version_event(&self, event: PrimaryEvent) {
        match event {
            PrimaryEvent::Agreed { revision, proposals } => {
                info!(name = self.name, revision, proposals = proposals.len(), "revision agreed");
                lock(&self.pending_replies).send(&proposals, revision);
            }
            PrimaryEvent::InForce(revision) => info!(name = self.name, revision, "revision in force"),
        }
    }
}
