//! The descriptor budget: how many connections of clients and servers may be open, and which client's connection is evicted
//! where descriptors are short.
//!
//! No I/O, clock or threads: `listener` and [`upstream`](crate::upstream) say what happens and when, and
//! are told which connection to end. A shortage must not shut out usual clients in favour of those that send nothing,
//! send slowly, or keep connections that they do not use.
use std::collections::{BTreeSet, HashMap};

/// A client's connection, as numbered by [`DescriptorBudget::admit`].
pub type ClientId = u64;

/// Clients and servers may each have at least this part of the budget.
const MIN_SIDE_RATIO: f64 = 0.25;
/// This part of the budget is kept free of clients, for the next connections to servers.
const SERVER_HEADROOM_RATIO: f64 = 0.125;
/// A client that has sent nothing for this long is evicted first: a usual request follows its connection at once.
const MAX_SILENT_MS: f64 = 250.0;
/// A request that has been arriving for this long is evicted next: a usual request arrives in one piece.
const MAX_READING_MS: f64 = 500.0;
/// Once new connections, or half-read requests, hold this part of the clients' descriptors, the oldest of them is evicted:
/// a flood then evicts itself, and not the connections that usual clients keep.
const CROWDED_RATIO: f64 = 0.5;
/// At most this part of the budget may be held by idle clients.
const MAX_IDLE_RATIO: f64 = 0.125;
/// Beyond that, clients that have been idle for less are not evicted: their next request may be on its way.
const MIN_IDLE_MS: f64 = 100.0;

/// The state of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionState {
    /// Accepted; nothing has been received.
    New,
    /// A request is incomplete.
    Reading,
    /// A request is open, or its response is being written.
    Open,
    /// Waiting for the next request.
    Idle,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorGrant {
    /// It has a free descriptor.
    Admitted(ClientId),
    /// It has the descriptor of a connection that is to be ended.
    Evicting {
        /// The new connection.
        admitted: ClientId,
        /// The connection to end.
        evicted: ClientId,
    },
    /// No descriptor is free and none can be freed.
    Full,
}

/// A connection in the order of eviction within its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StateEntry {
    state: ConnectionState,
    since_us: u64,
    id: ClientId,
}

/// The descriptor budget. Times are milliseconds on any clock that only moves forward.
#[derive(Debug)]
pub struct DescriptorBudget {
    descriptor_count: usize,
    server_count: usize,
    last_id: ClientId,
    clients: HashMap<ClientId, StateEntry>,
    by_state: BTreeSet<StateEntry>,
    state_counts: [usize; 4],
}

fn to_us(time_ms: f64) -> u64 {
    (time_ms.max(0.0) * 1000.0) as u64
}

impl DescriptorBudget {
    /// A budget of `descriptor_count` connections of clients and servers together.
    pub fn new(descriptor_count: usize) -> Self {
        DescriptorBudget {
            descriptor_count,
            server_count: 0,
            last_id: 0,
            clients: HashMap::new(),
            by_state: BTreeSet::new(),
            state_counts: [0; 4],
        }
    }

    fn share(&self, ratio: f64) -> usize {
        (self.descriptor_count as f64 * ratio) as usize
    }

    /// How many clients may hold a descriptor now.
    pub fn max_clients(&self) -> usize {
        let min_side = self.share(MIN_SIDE_RATIO);
        let kept_for_servers = (self.server_count + self.share(SERVER_HEADROOM_RATIO)).max(min_side);
        self.descriptor_count.saturating_sub(kept_for_servers).max(min_side).max(1)
    }

    /// How many clients hold a descriptor.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    /// How many clients' connections are in a state.
    pub fn count(&self, state: ConnectionState) -> usize {
        self.state_counts[state as usize]
    }

    /// The connection that has been in a state for longest, if that is at least `min_ms`.
    fn oldest(&self, state: ConnectionState, now_ms: f64, min_ms: f64) -> Option<ClientId> {
        let first = StateEntry { state, since_us: 0, id: 0 };
        let oldest = self.by_state.range(first..).next().filter(|entry| entry.state == state)?;
        (oldest.since_us + to_us(min_ms) <= to_us(now_ms)).then_some(oldest.id)
    }

    /// The connection to evict for a new client, if any may be. One with an open request never is.
    fn eviction_candidate(&self, now_ms: f64) -> Option<ClientId> {
        use ConnectionState::{Idle, New, Reading};
        let crowded_count = CROWDED_RATIO * self.max_clients() as f64;
        let oldest_if_crowded = |state| {
            let is_crowded = self.count(state) as f64 >= crowded_count;
            if is_crowded {
                self.oldest(state, now_ms, 0.0)
            } else {
                None
            }
        };
        let larger = if self.count(New) > self.count(Reading) { New } else { Reading };
        self.oldest(New, now_ms, MAX_SILENT_MS)
            .or_else(|| self.oldest(Reading, now_ms, MAX_READING_MS))
            .or_else(|| oldest_if_crowded(New))
            .or_else(|| oldest_if_crowded(Reading))
            .or_else(|| self.oldest(Idle, now_ms, 0.0))
            .or_else(|| self.oldest(larger, now_ms, 0.0))
    }

    /// Admits a client that has connected at `now_ms`, if possible.
    pub fn admit(&mut self, now_ms: f64) -> DescriptorGrant {
        if self.clients() < self.max_clients() {
            return DescriptorGrant::Admitted(self.add(now_ms));
        }
        match self.eviction_candidate(now_ms) {
            Some(evicted) => {
                self.leave(evicted);
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

    /// A connection has entered a state. Without effect for one that has been evicted.
    pub fn set_state(&mut self, id: ClientId, state: ConnectionState, now_ms: f64) {
        if self.leave(id) {
            self.insert(StateEntry { state, since_us: to_us(now_ms), id });
        }
    }

    /// Evicts the connection that has been idle for longest, where more are idle than may be.
    pub fn evict_surplus_idle(&mut self, now_ms: f64) -> Option<ClientId> {
        if self.count(ConnectionState::Idle) <= self.share(MAX_IDLE_RATIO).max(1) {
            return None;
        }
        let evicted = self.oldest(ConnectionState::Idle, now_ms, MIN_IDLE_MS)?;
        self.leave(evicted);
        Some(evicted)
    }

    /// A connection has ended; false if it had been evicted before.
    pub fn leave(&mut self, id: ClientId) -> bool {
        let Some(entry) = self.clients.remove(&id) else { return false };
        self.by_state.remove(&entry);
        self.state_counts[entry.state as usize] -= 1;
        true
    }

    /// Whether one more connection to a server may be opened: where the whole budget has room, and up to the servers'
    /// minimum in any case.
    pub fn has_room_for_server(&self) -> bool {
        self.server_count + self.clients() < self.descriptor_count
            || self.server_count < self.share(MIN_SIDE_RATIO)
    }

    /// Counts one more connection to a server, if there may be one.
    pub fn open_server(&mut self) -> bool {
        let has_room = self.has_room_for_server();
        self.server_count += usize::from(has_room);
        has_room
    }

    /// Counts a connection to a server that takes the place of another one.
    pub fn replace_server(&mut self) {
        self.server_count += 1;
    }

    /// A connection to a server has ended.
    pub fn close_server(&mut self) {
        self.server_count = self.server_count.saturating_sub(1);
    }

    /// Evicts a client's connection for something else than a client: one that is silent, slow or idle.
    pub fn make_room(&mut self, now_ms: f64) -> Option<ClientId> {
        let evicted = self
            .oldest(ConnectionState::New, now_ms, MAX_SILENT_MS)
            .or_else(|| self.oldest(ConnectionState::Reading, now_ms, MAX_READING_MS))
            .or_else(|| self.oldest(ConnectionState::Idle, now_ms, 0.0))?;
        self.leave(evicted);
        Some(evicted)
    }
}
