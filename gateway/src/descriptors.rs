//! The descriptor [`DescriptorBudget`] as the gateway's tasks share it: evicted connections are told to end.
use crate::budget::{ClientId, ConnectionState, DescriptorBudget, DescriptorGrant};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;
use tokio::time::Instant;

#[derive(Debug)]
struct Inner {
    budget: DescriptorBudget,
    /// Tell clients' connections that they are evicted.
    evictions: HashMap<ClientId, oneshot::Sender<()>>,
}

/// The budget, shared by the listener and the connections to servers.
#[derive(Debug)]
pub struct Descriptors {
    start: Instant,
    inner: Mutex<Inner>,
}

/// A client's descriptor. It is free again once this is dropped.
#[derive(Debug)]
pub struct Descriptor {
    descriptors: Arc<Descriptors>,
    id: ClientId,
}

/// A client that has been admitted.
#[derive(Debug)]
pub struct AdmittedClient {
    /// Its descriptor.
    pub descriptor: Descriptor,
    /// Completes when it is evicted.
    pub evicted: oneshot::Receiver<()>,
    /// Whether another connection was evicted for it, which has yet to end.
    pub has_evicted: bool,
}

impl Descriptor {
    /// The connection has entered a state. Idle connections beyond their part of the budget are evicted.
    pub fn set_state(&self, state: ConnectionState) {
        let now_ms = self.descriptors.now_ms();
        let mut inner = self.descriptors.lock();
        inner.budget.set_state(self.id, state, now_ms);
        while let Some(surplus) = inner.budget.evict_surplus_idle(now_ms) {
            inner.evict(surplus);
        }
    }

    /// Whether the connection has been evicted.
    pub fn is_evicted(&self) -> bool {
        !self.descriptors.lock().evictions.contains_key(&self.id)
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        let mut inner = self.descriptors.lock();
        inner.budget.leave(self.id);
        inner.evictions.remove(&self.id);
    }
}

impl Descriptors {
    /// A budget of `descriptor_count` connections of clients and servers together.
    pub fn new(descriptor_count: usize) -> Arc<Self> {
        let inner = Inner { budget: DescriptorBudget::new(descriptor_count), evictions: HashMap::new() };
        Arc::new(Descriptors { start: Instant::now(), inner: Mutex::new(inner) })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Admits a client that has connected; `None` if no descriptor is free and none can be freed.
    pub fn admit(self: &Arc<Self>) -> Option<AdmittedClient> {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let (id, evicted) = match inner.budget.admit(now_ms) {
            DescriptorGrant::Admitted(id) => (id, None),
            DescriptorGrant::Evicting { admitted, evicted } => (admitted, Some(evicted)),
            DescriptorGrant::Full => return None,
        };
        evicted.into_iter().for_each(|evicted| inner.evict(evicted));
        let has_evicted = evicted.is_some();
        let (evict, evicted) = oneshot::channel();
        inner.evictions.insert(id, evict);
        let descriptor = Descriptor { descriptors: self.clone(), id };
        Some(AdmittedClient { descriptor, evicted, has_evicted })
    }

    /// Evicts a client's connection that waits, if any does.
    pub fn make_room(&self) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        if let Some(evicted) = inner.budget.make_room(now_ms) {
            inner.evict(evicted);
        }
    }

    /// Counts one more connection to a server, if there may be one. A client's connection that is evicted for it has yet
    /// to end.
    pub fn open_server(&self) -> bool {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        if inner.budget.open_server() {
            return true;
        }
        let Some(evicted) = inner.budget.make_room(now_ms) else { return false };
        inner.evict(evicted);
        inner.budget.open_server()
    }

    /// Counts a connection to a server that takes the place of another one, which is about to end.
    pub fn replace_server(&self) {
        self.lock().budget.replace_server();
    }

    /// Whether a connection to a server could be opened without an eviction.
    pub fn has_room(&self) -> bool {
        self.lock().budget.has_room_for_server()
    }

    /// A connection to a server has ended.
    pub fn close_server(&self) {
        self.lock().budget.close_server();
    }
}

impl Inner {
    fn evict(&mut self, client: ClientId) {
        if let Some(evict) = self.evictions.remove(&client) {
            // The receiver is gone if the connection is ending by itself.
            let _ = evict.send(());
        }
    }
}
