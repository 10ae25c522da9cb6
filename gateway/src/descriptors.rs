//! The [`DescriptorBudget`] shared by the gateway's tasks, with the channels that notify evicted connections.
use crate::budget::{ClientId, ConnectionState, DescriptorBudget, DescriptorGrant};
use crate::spare_budget::{SpareBudget, SpareGrant, SpareId, SpareState};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The state of [`Descriptors`] behind its lock.
#[derive(Debug)]
struct Inner {
    budget: DescriptorBudget,
    /// The senders that notify admitted client connections of their eviction.
    evictions: HashMap<ClientId, oneshot::Sender<()>>,
    spares: SpareBudget,
    /// The senders that notify spare connections of their eviction.
    spare_evictions: HashMap<SpareId, oneshot::Sender<()>>,
}

/// The descriptor budget, shared by the listener and the upstream connections.
#[derive(Debug)]
pub struct Descriptors {
    start: Instant,
    inner: Mutex<Inner>,
}

/// A client connection's descriptor in the budget, which is free again once this value is dropped.
#[derive(Debug)]
pub struct Descriptor {
    descriptors: Arc<Descriptors>,
    id: ClientId,
}

/// A client connection that the budget has admitted.
#[derive(Debug)]
pub struct AdmittedClient {
    /// The connection's descriptor in the budget.
    pub descriptor: Descriptor,
    /// Completes when the connection is evicted.
    pub evicted: oneshot::Receiver<()>,
    /// Whether another connection was evicted for this one and is still being closed.
    pub has_evicted: bool,
}

impl Descriptor {
    /// Records that the connection has entered `state`, and evicts idle connections beyond their share of the
    /// budget.
    pub fn set_state(&self, state: ConnectionState) {
        let now_ms = self.descriptors.now_ms();
        let mut inner = self.descriptors.lock();
        inner.budget.set_state(self.id, state, now_ms);
        while let Some(surplus) = inner.budget.evict_surplus_idle(now_ms) {
            inner.evict(surplus);
        }
    }

    /// Returns whether the connection has been evicted.
    pub fn is_evicted(&self) -> bool {
        !self.descriptors.lock().evictions.contains_key(&self.id)
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        let mut inner = self.descriptors.lock();
        inner.budget.remove(self.id);
        inner.evictions.remove(&self.id);
    }
}

/// A spare connection's place, which is free again once this value is dropped.
#[derive(Debug)]
pub struct SpareDescriptor {
    descriptors: Arc<Descriptors>,
    id: SpareId,
}

/// A client connection beyond the budget, whose request is rejected.
#[derive(Debug)]
pub struct SpareClient {
    /// The connection's place among the spare connections.
    pub descriptor: SpareDescriptor,
    /// Completes when the connection is evicted.
    pub evicted: oneshot::Receiver<()>,
    /// Whether another connection was evicted for this one and is still being closed.
    pub has_evicted: bool,
}

impl SpareDescriptor {
    /// Records that the connection has entered `state`.
    pub fn set_state(&self, state: SpareState) {
        let now_ms = self.descriptors.now_ms();
        self.descriptors.lock().spares.set_state(self.id, state, now_ms);
    }

    /// Returns whether the connection has been evicted.
    pub fn is_evicted(&self) -> bool {
        !self.descriptors.lock().spare_evictions.contains_key(&self.id)
    }
}

impl Drop for SpareDescriptor {
    fn drop(&mut self) {
        let mut inner = self.descriptors.lock();
        inner.spares.remove(self.id);
        inner.spare_evictions.remove(&self.id);
    }
}

impl Descriptors {
    /// Returns a budget for `descriptor_count` client and upstream connections together, without spare
    /// connections.
    pub fn new(descriptor_count: usize) -> Arc<Self> {
        Self::with_spares(descriptor_count, 0)
    }

    /// Returns a budget for `descriptor_count` client and upstream connections together, and for
    /// `spare_count` spare connections.
    pub fn with_spares(descriptor_count: usize, spare_count: usize) -> Arc<Self> {
        let inner = Inner {
            budget: DescriptorBudget::new(descriptor_count),
            evictions: HashMap::new(),
            spares: SpareBudget::new(spare_count),
            spare_evictions: HashMap::new(),
        };
        Arc::new(Descriptors { start: Instant::now(), inner: Mutex::new(inner) })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Admits a client connection. Returns `None` if no descriptor is free and no connection can be evicted.
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

    /// Returns whether a client connection would be admitted now, within the budget or as a spare one.
    pub fn can_accept(&self) -> bool {
        let now_ms = self.now_ms();
        let inner = self.lock();
        inner.budget.has_room_for_client(now_ms) || inner.spares.has_room(now_ms)
    }

    /// Admits a spare connection. Returns `None` if none is free and none can be evicted yet.
    pub fn admit_spare(self: &Arc<Self>) -> Option<SpareClient> {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let (id, evicted) = match inner.spares.admit(now_ms) {
            SpareGrant::Admitted(id) => (id, None),
            SpareGrant::Evicting { admitted, evicted } => (admitted, Some(evicted)),
            SpareGrant::Full => return None,
        };
        let has_evicted = evicted.is_some();
        if let Some(evict) = evicted.and_then(|evicted| inner.spare_evictions.remove(&evicted)) {
            // The receiver has been dropped if the connection is already closing.
            let _ = evict.send(());
        }
        let (evict, evicted) = oneshot::channel();
        inner.spare_evictions.insert(id, evict);
        let descriptor = SpareDescriptor { descriptors: self.clone(), id };
        Some(SpareClient { descriptor, evicted, has_evicted })
    }

    /// Evicts a silent, slow or idle client connection, if there is one.
    pub fn make_room(&self) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        if let Some(evicted) = inner.budget.make_room(now_ms) {
            inner.evict(evicted);
        }
    }

    /// Counts one more upstream connection, and evicts a client connection if the budget has no room
    /// otherwise. The evicted connection may still be open when this function returns. Returns false if no
    /// connection can be evicted.
    pub fn open_upstream(&self) -> bool {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        if inner.budget.open_upstream() {
            return true;
        }
        let Some(evicted) = inner.budget.make_room(now_ms) else { return false };
        inner.evict(evicted);
        inner.budget.open_upstream()
    }

    /// Counts an upstream connection that replaces another one, which is about to be closed.
    pub fn replace_upstream(&self) {
        self.lock().budget.replace_upstream();
    }

    /// Returns whether an upstream connection can be opened without an eviction.
    pub fn has_room(&self) -> bool {
        self.lock().budget.has_room_for_upstream()
    }

    /// Records that an upstream connection has been closed.
    pub fn close_upstream(&self) {
        self.lock().budget.close_upstream();
    }
}

impl Inner {
    fn evict(&mut self, client: ClientId) {
        if let Some(evict) = self.evictions.remove(&client) {
            // The receiver has been dropped if the connection is already closing.
            let _ = evict.send(());
        }
    }
}
