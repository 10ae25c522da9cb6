//! The primary, which combines proposals into revisions and brings the revisions into force.
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

/// The interval at which the primary checks whether a pending revision may come into force. The check is
/// needed because no poll arrives when a revision only waits for a lease to expire.
const PENDING_REVISION_CHECK_INTERVAL_MS: f64 = 25.0;

impl ControlServer<Primary> {
    /// Creates a primary that leads from now on. `store` holds all agreed revisions, in force or pending.
    pub fn primary(name: &str, lease: LeaseConfig, store: Store) -> Arc<Self> {
        let clock = Clock::start();
        Self::with_clock(name, clock, Primary::new(lease, clock.now_ms(), 1, store))
    }

    /// Accepts a proposal from within the process and returns the number that the primary assigned to the
    /// proposal.
    ///
    /// # Errors
    /// A [`ProposalError`] if the changes are not valid.
    pub fn propose(&self, changes: Vec<Change>) -> Result<u64, ProposalError> {
        let proposal_number = lock(&self.core).propose(proposer(self.name.clone()), changes);
        self.wake.notify_one();
        proposal_number
    }

    /// Serves the connections that `listener` accepts for as long as the returned future is polled.
    pub async fn run(self: Arc<Self>, listener: TcpListener) -> Infallible {
        tokio::select! {
            never = self.clone().accept_connections(listener) => never,
            never = self.advance_revisions() => never,
            never = self.purge_expired_tombstones() => never,
        }
    }

    async fn advance_revisions(&self) -> Infallible {
        loop {
            let now_ms = self.clock.now_ms();
            let (events, next_tick_at_ms) = self.tick(now_ms);
            for event in events {
                self.on_revision_event(event);
            }
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep_until(self.clock.instant_at(next_tick_at_ms)) => {}
            }
        }
    }

    /// Advances the core. Returns the events, and the time in ms at which the core is to be advanced again.
    fn tick(&self, now_ms: f64) -> (Vec<PrimaryEvent>, f64) {
        let mut core = lock(&self.core);
        let events = core.tick(now_ms);
        let store = core.store();
        let has_pending_revision = store.through() > store.in_force();
        let check_at_ms =
            if has_pending_revision { now_ms + PENDING_REVISION_CHECK_INTERVAL_MS } else { f64::INFINITY };
        let tick_at_ms = core.next_tick().unwrap_or(f64::INFINITY);
        (events, tick_at_ms.min(check_at_ms))
    }

    fn on_revision_event(&self, event: PrimaryEvent) {
        match event {
            PrimaryEvent::Agreed { revision, proposals } => {
                info!(name = self.name, revision, proposals = proposals.len(), "revision agreed");
                lock(&self.pending_replies).send(&proposals, revision);
            }
            PrimaryEvent::InForce(revision) => info!(name = self.name, revision, "revision in force"),
        }
    }
}
