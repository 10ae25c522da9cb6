//! The [`DescriptorBudget`] shared by the gateway's tasks, with the channels that notify evicted connections.
use crate::budget::{ClientId, ConnectionState, DescriptorBudget, DescriptorGrant};
use crate::spare_budget::{SpareBudget, SpareGrant, SpareId};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The budget that a client connection's descriptor belongs to, with the connection's number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Place {
    /// The descriptor belongs to the budget that client and upstream connections share.
    Shared(ClientId),
    /// The descriptor is one of the spare ones beyond that budget.
    Spare(SpareId),
}

/// The state of [`Descriptors`] behind its lock.
#[derive(Debug)]
struct Inner {
    budget: DescriptorBudget,
    spares: SpareBudget,
    /// The senders that notify client connections of their eviction.
    evictions: HashMap<Place, oneshot::Sender<()>>,
}

/// The descriptor budget, shared by the listener and the upstream connections.
#[derive(Debug)]
pub struct Descriptors {
    start: Instant,
    inner: Mutex<Inner>,
}

/// A client connection's descriptor, which is free again once this value is dropped.
#[derive(Debug)]
pub struct Descriptor {
    descriptors: Arc<Descriptors>,
    place: Place,
}

/// A client connection that has been admitted.
#[derive(Debug)]
pub struct AdmittedClient {
    /// The connection's descriptor.
    pub descriptor: Descriptor,
    /// Completes when the connection is evicted.
    pub evicted: oneshot::Receiver<()>,
    /// Whether another connection was evicted for this one and is still being closed.
    pub has_evicted: bool,
}

impl Descriptor {
    /// Returns whether the connection is beyond the budget, so that its request is rejected.
    pub fn is_spare(&self) -> bool {
        matches!(self.place, Place::Spare(_))
    }

    /// Records that the connection has entered `state`, and evicts idle connections beyond their share of the
    /// budget.
    pub fn set_state(&self, state: ConnectionState) {
        let now_ms = self.descriptors.now_ms();
        let mut inner = self.descriptors.lock();
        match self.place {
            Place::Shared(id) => inner.budget.set_state(id, state, now_ms),
            Place::Spare(id) => return inner.spares.set_state(id, state.into(), now_ms),
        }
        while let Some(surplus) = inner.budget.evict_surplus_idle(now_ms) {
            inner.evict(Place::Shared(surplus));
        }
    }

    /// Returns whether the connection has been evicted.
    pub fn is_evicted(&self) -> bool {
        !self.descriptors.lock().evictions.contains_key(&self.place)
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        let mut inner = self.descriptors.lock();
        match self.place {
            // An evicted connection has been removed before.
            Place::Shared(id) => drop(inner.budget.remove(id)),
            Place::Spare(id) => inner.spares.remove(id),
        }
        inner.evictions.remove(&self.place);
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
            spares: SpareBudget::new(spare_count),
            evictions: HashMap::new(),
        };
        Arc::new(Descriptors { start: Instant::now(), inner: Mutex::new(inner) })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Admits a client connection, within the budget or else as a spare one. Returns `None` if no descriptor is free
    /// and no connection can be evicted.
    pub fn admit(self: &Arc<Self>) -> Option<AdmittedClient> {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let (place, evicted_place) = inner.admit(now_ms)?;
        if let Some(evicted_place) = evicted_place {
            inner.evict(evicted_place);
        }
        let (evict, evicted) = oneshot::channel();
        inner.evictions.insert(place, evict);
        let descriptor = Descriptor { descriptors: self.clone(), place };
        Some(AdmittedClient { descriptor, evicted, has_evicted: evicted_place.is_some() })
    }

    /// Returns whether a client connection would be admitted now, within the budget or as a spare one.
    pub fn can_accept(&self) -> bool {
        let now_ms = self.now_ms();
        let inner = self.lock();
        inner.budget.has_room_for_client(now_ms) || inner.spares.has_room(now_ms)
    }

    /// Evicts a silent, slow or idle client connection, if there is one.
    pub fn make_room(&self) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        if let Some(evicted) = inner.budget.make_room(now_ms) {
            inner.evict(Place::Shared(evicted));
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
        inner.evict(Place::Shared(evicted));
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
    /// Admits a connection. Returns its place, and the place of a connection that must be evicted for it.
    fn admit(&mut self, now_ms: f64) -> Option<(Place, Option<Place>)> {
        match self.budget.admit(now_ms) {
            DescriptorGrant::Admitted(id) => return Some((Place::Shared(id), None)),
            DescriptorGrant::Evicting { admitted, evicted } => {
                return Some((Place::Shared(admitted), Some(Place::Shared(evicted))));
            }
            DescriptorGrant::Full => {}
        }
        match self.spares.admit(now_ms) {
            SpareGrant::Admitted(id) => Some((Place::Spare(id), None)),
            SpareGrant::Evicting { admitted, evicted } => {
                Some((Place::Spare(admitted), Some(Place::Spare(evicted))))
            }
            SpareGrant::Full => None,
        }
    }

    fn evict(&mut self, place: Place) {
        if let Some(evict) = self.evictions.remove(&place) {
            // The receiver has been dropped if the connection is already closing.
            let _ = evict.send(());
        }
    }
}
