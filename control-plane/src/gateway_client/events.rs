//! Events of a gateway's client, and the lease that two of them depend on.
use ternstack_replication::follower::FollowerEvent;

/// What has happened to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// A response has changed the replicated state.
    Follower(FollowerEvent),
    /// It holds a lease, and held none before.
    LeaseAcquired,
    /// Its lease has expired: it acts by the conservative rules.
    LeaseExpired,
}

/// Sends events to their handler, each change of the lease once.
pub(super) struct EventSender<F> {
    handler: F,
    holds_lease: bool,
}

impl<F: FnMut(f64, ClientEvent)> EventSender<F> {
    /// Holds no lease yet: a client that never gets one sends no [`ClientEvent::LeaseExpired`].
    pub fn new(handler: F) -> Self {
        EventSender { handler, holds_lease: false }
    }

    /// Sends an event of the follower.
    pub fn send_follower_event(&mut self, now_ms: f64, event: FollowerEvent) {
        (self.handler)(now_ms, ClientEvent::Follower(event));
    }

    /// Records whether it holds a lease, and sends an event if that has changed. Returns whether it has.
    pub fn update_lease(&mut self, now_ms: f64, holds_lease: bool) -> bool {
        let has_changed = self.holds_lease != holds_lease;
        self.holds_lease = holds_lease;
        if has_changed {
            let event = if holds_lease { ClientEvent::LeaseAcquired } else { ClientEvent::LeaseExpired };
            (self.handler)(now_ms, event);
        }
        has_changed
    }
}
