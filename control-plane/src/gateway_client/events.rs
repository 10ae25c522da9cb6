//! The events of a gateway's client, two of which report changes of the lease.
use ternstack_replication::follower::FollowerEvent;

/// An event of a gateway's client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// A response has changed the replicated state.
    Follower(FollowerEvent),
    /// The client holds a lease, and held none before.
    LeaseAcquired,
    /// The client's lease has expired, so that the conservative rules apply in all scopes.
    LeaseExpired,
}

/// A sender of events to their handler, which sends each change of the lease once.
pub(super) struct EventSender<F> {
    handler: F,
    holds_lease: bool,
}

impl<F: FnMut(f64, ClientEvent)> EventSender<F> {
    /// Creates a sender for a client without a lease. [`ClientEvent::LeaseExpired`] is not sent before a
    /// lease has been acquired.
    pub fn new(handler: F) -> Self {
        EventSender { handler, holds_lease: false }
    }

    /// Sends an event of the follower to the handler.
    pub fn send_follower_event(&mut self, now_ms: f64, event: FollowerEvent) {
        (self.handler)(now_ms, ClientEvent::Follower(event));
    }

    /// Records whether the client holds a lease, and sends an event if it has acquired or lost one. Returns
    /// whether an event was sent.
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
