//! Which endpoints have to be published again.
use std::collections::BTreeSet;
use ternstack_control_plane::gateway_client::ClientEvent;
use ternstack_replication::follower::FollowerEvent;
use ternstack_replication::scope::{Key, Scope};

/// Changed keys that are tracked one by one; with more, all keys are published again, which bounds the memory.
const MAX_TRACKED_KEY_COUNT: usize = 256;

/// The keys whose endpoints may have changed since they were published.
#[derive(Debug)]
pub(super) enum UnpublishedChanges {
    /// These keys.
    Keys(BTreeSet<Key>),
    /// All keys.
    All,
}

impl Default for UnpublishedChanges {
    /// Nothing has changed.
    fn default() -> Self {
        UnpublishedChanges::Keys(BTreeSet::new())
    }
}

impl UnpublishedChanges {
    /// Adds what an event changes.
    pub fn record(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::Follower(FollowerEvent::EntryChanged(Scope::Hosts(_), key)) => self.add_key(key),
            ClientEvent::Follower(
                FollowerEvent::EntryChanged(Scope::Zones, _)
                | FollowerEvent::Complete(_)
                | FollowerEvent::Stale(_),
            )
            | ClientEvent::LeaseAcquired
            | ClientEvent::LeaseExpired => *self = UnpublishedChanges::All,
            ClientEvent::Follower(_) => {}
        }
    }

    /// Whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        matches!(self, UnpublishedChanges::Keys(keys) if keys.is_empty())
    }

    fn add_key(&mut self, key: Key) {
        let UnpublishedChanges::Keys(keys) = self else { return };
        keys.insert(key);
        if keys.len() > MAX_TRACKED_KEY_COUNT {
            *self = UnpublishedChanges::All;
        }
    }
}
