//! The changes in the replicated state that have not been published to the event loop yet.
use std::collections::BTreeSet;
use ternstack_control_plane::gateway_client::ClientEvent;
use ternstack_replication::follower::FollowerEvent;
use ternstack_replication::scope::{Key, Scope};

/// The maximum number of changed keys that are tracked one by one, which bounds the memory. With more changed
/// keys, the endpoints of all keys are compared with the published ones.
const MAX_TRACKED_KEYS: usize = 256;

/// The keys of the hosts that may have changed since the last publication.
#[derive(Debug)]
pub(super) enum UnpublishedChanges {
    /// Only the hosts with these keys may have changed.
    Keys(BTreeSet<Key>),
    /// Any host may have changed.
    All,
}

impl Default for UnpublishedChanges {
    /// Returns changes that comprise no host.
    fn default() -> Self {
        UnpublishedChanges::Keys(BTreeSet::new())
    }
}

impl UnpublishedChanges {
    /// Adds the hosts that an event may have changed.
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

    /// Returns whether no host has changed.
    pub fn is_empty(&self) -> bool {
        matches!(self, UnpublishedChanges::Keys(keys) if keys.is_empty())
    }

    fn add_key(&mut self, key: Key) {
        let UnpublishedChanges::Keys(keys) = self else { return };
        keys.insert(key);
        if keys.len() > MAX_TRACKED_KEYS {
            *self = UnpublishedChanges::All;
        }
    }
}
