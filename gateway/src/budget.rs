//! The descriptor budget: how many client and upstream connections may be open, and which client connection
//! is evicted when descriptors run short. An upstream connection is a connection to an endpoint.
//!
//! This module does no I/O and has no clock or threads. The `listener` and [`upstream`](crate::upstream)
//! report what happens at which time, and close the connections that the budget evicts. Clients that send
//! nothing, send slowly or keep unused connections are evicted first, so that a shortage does not shut out
//! clients that send requests.
use std::collections::{BTreeSet, HashMap};

/// The number of a client connection, assigned by [`DescriptorBudget::admit`].
pub type ClientId = u64;

/// The share of the budget that client connections, and likewise upstream connections, may always use.
const MIN_SIDE_SHARE: f64 = 0.25;
/// The share of the budget that is kept free of client connections, for the next upstream connections.
const UPSTREAM_HEADROOM_SHARE: f64 = 0.125;
/// A new connection that has received nothing for this long is evicted first, because clients usually send a
/// request as soon as they have connected.
const MAX_SILENT_MS: f64 = 250.0;
/// A connection that has been receiving one request for this long is evicted next, because a request usually
/// arrives in one piece.
const MAX_READING_MS: f64 = 500.0;
/// A connection whose request is incomplete is not evicted before this time, because the request usually
/// arrives together with the connection and has only not been read yet.
pub(crate) const MIN_INCOMPLETE_MS: f64 = 20.0;
/// Once new connections, or connections with incomplete requests, hold this share of the clients'
/// descriptors, the oldest of them is evicted. A flood then evicts its own connections instead of idle
/// connections that clients reuse.
const CROWDED_SHARE: f64 = 0.5;
/// The largest share of the budget that idle client connections may hold.
const MAX_IDLE_SHARE: f64 = 0.125;
/// The time in which a client usually reads its last response. After it, a lingering connection is evicted
/// first.
pub(crate) const MIN_LINGERING_MS: f64 = 20.0;
/// A surplus idle connection is not evicted before it has been idle for this long, because the client's next
/// request may be on the way.
const MIN_EVICTABLE_IDLE_MS: f64 = 100.0;

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionState {
    /// The connection has been accepted and has received nothing.
    New,
    /// The connection has received a part of a request.
    Reading,
    /// The connection has an open request, or a response is being written.
    Open,
    /// The connection waits for the client's next request.
    Idle,
    /// The last response has been written, and the client has not closed the connection yet.
    Lingering,
}

/// The budget's decision on a new client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorGrant {
    /// The connection is admitted on a free descriptor.
    Admitted(ClientId),
    /// The connection is admitted in place of another one, which the caller must close.
    Evicting {
        /// The new connection.
        admitted: ClientId,
        /// The connection to close.
        evicted: ClientId,
    },
    /// The connection is not admitted: no descriptor is free and no connection can be evicted.
    Full,
}

/// A client connection's state and the time of its last state change. Entries sort by state, then by age, so
/// that the first entry of a state is the next one to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StateEntry {
    state: ConnectionState,
    since_us: u64,
    id: ClientId,
}

/// The descriptor budget. All times are milliseconds on one clock that never goes back.
#[derive(Debug)]
pub struct DescriptorBudget {
    descriptor_count: usize,
    upstream_count: usize,
    last_id: ClientId,
    clients: HashMap<ClientId, StateEntry>,
    by_state: BTreeSet<StateEntry>,
    state_counts: [usize; 5],
}

fn to_us(time_ms: f64) -> u64 {
    (time_ms.max(0.0) * 1000.0) as u64
}

impl DescriptorBudget {
    /// Returns a budget for `descriptor_count` client and upstream connections together.
    pub fn new(descriptor_count: usize) -> Self {
        DescriptorBudget {
            descriptor_count,
            upstream_count: 0,
            last_id: 0,
            clients: HashMap::new(),
            by_state: BTreeSet::new(),
            state_counts: [0; 5],
        }
    }

    fn share(&self, ratio: f64) -> usize {
        (self.descriptor_count as f64 * ratio) as usize
    }

    /// Returns how many client connections may be open now, given the number of upstream connections.
    pub fn max_clients(&self) -> usize {
        let min_side = self.share(MIN_SIDE_SHARE);
        let kept_for_upstream = (self.upstream_count + self.share(UPSTREAM_HEADROOM_SHARE)).max(min_side);
        self.descriptor_count.saturating_sub(kept_for_upstream).max(min_side).max(1)
    }

    /// Returns the number of admitted client connections.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// Returns the number of client connections in `state`.
    pub fn count_in(&self, state: ConnectionState) -> usize {
        self.state_counts[state as usize]
    }

    /// Returns the connection that has been in `state` for longest, if that is at least `min_ms`
    /// milliseconds.
    fn oldest(&self, state: ConnectionState, now_ms: f64, min_ms: f64) -> Option<ClientId> {
        let first = StateEntry { state, since_us: 0, id: 0 };
        let oldest = self.by_state.range(first..).next().filter(|entry| entry.state == state)?;
        (oldest.since_us + to_us(min_ms) <= to_us(now_ms)).then_some(oldest.id)
    }

    /// Returns the client connection to evict for a new client. A connection with an open request is never
    /// evicted.
    fn eviction_candidate(&self, now_ms: f64) -> Option<ClientId> {
        use ConnectionState::{Idle, Lingering, New, Reading};
        let min_crowded = CROWDED_SHARE * self.max_clients() as f64;
        let oldest_if_crowded = |state| {
            let is_crowded = self.count_in(state) as f64 >= min_crowded;
            if is_crowded {
                self.oldest(state, now_ms, MIN_INCOMPLETE_MS)
            } else {
                None
            }
        };
        let larger_state = if self.count_in(New) > self.count_in(Reading) { New } else { Reading };
        self.oldest(Lingering, now_ms, MIN_LINGERING_MS)
            .or_else(|| self.oldest(New, now_ms, MAX_SILENT_MS))
            .or_else(|| self.oldest(Reading, now_ms, MAX_READING_MS))
            .or_else(|| oldest_if_crowded(New))
            .or_else(|| oldest_if_crowded(Reading))
            .or_else(|| self.oldest(Idle, now_ms, 0.0))
            .or_else(|| self.oldest(larger_state, now_ms, MIN_INCOMPLETE_MS))
    }

    /// Returns whether a client connection would be admitted now.
    pub fn has_room_for_client(&self, now_ms: f64) -> bool {
        self.client_count() < self.max_clients() || self.eviction_candidate(now_ms).is_some()
    }

    /// Admits a client connection accepted at `now_ms`, if a descriptor is free or another connection can be
    /// evicted.
    pub fn admit(&mut self, now_ms: f64) -> DescriptorGrant {
        if self.client_count() < self.max_clients() {
            return DescriptorGrant::Admitted(self.add(now_ms));
        }
        match self.eviction_candidate(now_ms) {
            Some(evicted) => {
                self.remove(evicted);
                DescriptorGrant::Evicting { admitted: self.add(now_ms), evicted }
            }
            None => DescriptorGrant::Full,
        }
    }

    fn add(&mut self, now_ms: f64) -> ClientId {
        self.last_id += 1;
        let id = self.last_id;
        self.insert(StateEntry { state: ConnectionState::New, since_us: to_us(now_ms), id });
        id
    }

    fn insert(&mut self, entry: StateEntry) {
        self.clients.insert(entry.id, entry);
        self.by_state.insert(entry);
        self.state_counts[entry.state as usize] += 1;
    }

    /// Records that a client connection has entered `state`. Does nothing for a connection that has been
    /// evicted.
    pub fn set_state(&mut self, id: ClientId, state: ConnectionState, now_ms: f64) {
        if self.remove(id) {
            self.insert(StateEntry { state, since_us: to_us(now_ms), id });
        }
    }

    /// Evicts the client connection that has been idle for longest if more connections are idle than the
    /// budget allows.
    pub fn evict_surplus_idle(&mut self, now_ms: f64) -> Option<ClientId> {
        if self.count_in(ConnectionState::Idle) <= self.share(MAX_IDLE_SHARE).max(1) {
            return None;
        }
        let evicted = self.oldest(ConnectionState::Idle, now_ms, MIN_EVICTABLE_IDLE_MS)?;
        self.remove(evicted);
        Some(evicted)
    }

    /// Removes a client connection. Returns false if the connection had been removed or evicted before.
    pub fn remove(&mut self, id: ClientId) -> bool {
        let Some(entry) = self.clients.remove(&id) else { return false };
        self.by_state.remove(&entry);
        self.state_counts[entry.state as usize] -= 1;
        true
    }

    /// Returns whether one more upstream connection may be opened: either the whole budget has room, or the
    /// upstream connections hold less than their guaranteed share.
    pub fn has_room_for_upstream(&self) -> bool {
        self.upstream_count + self.client_count() < self.descriptor_count
            || self.upstream_count < self.share(MIN_SIDE_SHARE)
    }

    /// Counts one more upstream connection if the budget has room. Returns whether it had room.
    pub fn open_upstream(&mut self) -> bool {
        let has_room = self.has_room_for_upstream();
        self.upstream_count += usize::from(has_room);
        has_room
    }

    /// Counts an upstream connection that replaces another one, which is about to be closed.
    pub fn replace_upstream(&mut self) {
        self.upstream_count += 1;
    }

    /// Records that an upstream connection has been closed.
    pub fn close_upstream(&mut self) {
        self.upstream_count = self.upstream_count.saturating_sub(1);
    }

    /// Evicts a silent, slow or idle client connection, to free a descriptor for something other than a
    /// client.
    pub fn make_room(&mut self, now_ms: f64) -> Option<ClientId> {
        let evicted = self
            .oldest(ConnectionState::Lingering, now_ms, MIN_LINGERING_MS)
            .or_else(|| self.oldest(ConnectionState::New, now_ms, MAX_SILENT_MS))
            .or_else(|| self.oldest(ConnectionState::Reading, now_ms, MAX_READING_MS))
            .or_else(|| self.oldest(ConnectionState::Idle, now_ms, 0.0))?;
        self.remove(evicted);
        Some(evicted)
    }
}
