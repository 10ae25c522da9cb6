//! The spare connections: client connections beyond the descriptor budget, whose requests are rejected.
//!
//! This module does no I/O and has no clock or threads. A spare connection is needed only until its request is
//! complete and has been rejected. A client that sends nothing or only a part of a request would keep others
//! from being accepted, so that its connection is evicted as soon as another client waits.
use crate::budget::{ConnectionState, MIN_INCOMPLETE_MS, MIN_LINGERING_MS};
use std::collections::BTreeMap;

/// The number of a spare connection, assigned by [`SpareBudget::admit`].
pub type SpareId = u64;

/// The state of a spare connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpareState {
    /// The request is not complete.
    Incomplete,
    /// The request is being rejected.
    Responding,
    /// The rejection has been written, and the client has not closed the connection yet.
    Lingering,
}

impl From<ConnectionState> for SpareState {
    fn from(state: ConnectionState) -> Self {
        match state {
            ConnectionState::New | ConnectionState::Reading => SpareState::Incomplete,
            ConnectionState::Open => SpareState::Responding,
            ConnectionState::Idle | ConnectionState::Lingering => SpareState::Lingering,
        }
    }
}

/// The decision on a new spare connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpareGrant {
    /// The connection is admitted.
    Admitted(SpareId),
    /// The connection is admitted in place of another one, which the caller must close.
    Evicting {
        /// The new connection.
        admitted: SpareId,
        /// The connection to close.
        evicted: SpareId,
    },
    /// No spare connection is free or can be evicted yet.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct SpareEntry {
    state: SpareState,
    since_ms: f64,
}

/// The spare connections. All times are milliseconds on one clock that never goes back.
#[derive(Debug)]
pub struct SpareBudget {
    capacity: usize,
    last_id: SpareId,
    /// The connections in the order of their accepts.
    connections: BTreeMap<SpareId, SpareEntry>,
}

impl SpareBudget {
    /// Returns a budget of `capacity` spare connections.
    pub fn new(capacity: usize) -> Self {
        SpareBudget { capacity, last_id: 0, connections: BTreeMap::new() }
    }

    /// Returns whether a connection would be admitted now.
    pub fn has_room(&self, now_ms: f64) -> bool {
        self.connections.len() < self.capacity || self.eviction_candidate(now_ms).is_some()
    }

    /// Admits a connection, if one is free or another one can be evicted.
    pub fn admit(&mut self, now_ms: f64) -> SpareGrant {
        if self.connections.len() < self.capacity {
            return SpareGrant::Admitted(self.add(now_ms));
        }
        let Some(evicted) = self.eviction_candidate(now_ms) else { return SpareGrant::Full };
        self.remove(evicted);
        SpareGrant::Evicting { admitted: self.add(now_ms), evicted }
    }

    /// Records that a connection has entered `state`. Does nothing for a connection that has been evicted.
    pub fn set_state(&mut self, id: SpareId, state: SpareState, now_ms: f64) {
        if let Some(entry) = self.connections.get_mut(&id) {
            *entry = SpareEntry { state, since_ms: now_ms };
        }
    }

    /// Removes a connection that has ended. Does nothing for a connection that has been evicted.
    pub fn remove(&mut self, id: SpareId) {
        self.connections.remove(&id);
    }

    fn add(&mut self, now_ms: f64) -> SpareId {
        self.last_id += 1;
        let entry = SpareEntry { state: SpareState::Incomplete, since_ms: now_ms };
        self.connections.insert(self.last_id, entry);
        self.last_id
    }

    /// Returns the oldest connection whose request is late, or else the oldest one that only waits for its
    /// client's close.
    fn eviction_candidate(&self, now_ms: f64) -> Option<SpareId> {
        let oldest = |state, min_ms| {
            let is_old = |entry: &SpareEntry| entry.state == state && now_ms - entry.since_ms >= min_ms;
            self.connections.iter().find(|(_, entry)| is_old(entry)).map(|(id, _)| *id)
        };
        oldest(SpareState::Incomplete, MIN_INCOMPLETE_MS)
            .or_else(|| oldest(SpareState::Lingering, MIN_LINGERING_MS))
    }
}
