//! The [`MemoryBudget`] shared by the gateway's tasks, with the channels that notify waiting and evicted
//! holders.
use crate::memory_budget::{HolderId, MemoryBudget, Reservation, Work};
use std::collections::HashMap;
use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::{timeout, Instant};

/// The interval at which a reservation for accepted work looks for another holder to evict, because a response
/// counts as unread only after a while.
const EVICTION_INTERVAL: Duration = Duration::from_millis(100);

/// The memory budget has no room for a holder's bytes, or has evicted the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no memory left in the budget")]
pub struct MemoryExhausted;

/// The state of [`Memory`] behind its lock.
#[derive(Debug)]
struct Inner {
    budget: MemoryBudget,
    /// The senders that notify holders of their eviction.
    evictions: HashMap<HolderId, oneshot::Sender<()>>,
    /// The senders that notify holders of the grant of their waiting reservation.
    grants: HashMap<HolderId, oneshot::Sender<()>>,
}

/// The memory budget, shared by the gateway's tasks.
#[derive(Debug)]
pub struct Memory {
    start: Instant,
    inner: Mutex<Inner>,
}

/// A holder's bytes in the budget, which are released once this value is dropped.
#[derive(Debug)]
pub struct MemoryLease {
    memory: Arc<Memory>,
    id: HolderId,
    /// Completes when the holder is evicted.
    evicted: oneshot::Receiver<()>,
    is_evicted: bool,
}

impl Memory {
    /// Returns a budget in which holders may reserve `reservable_bytes` together.
    pub fn new(reservable_bytes: usize) -> Arc<Self> {
        let inner = Inner {
            budget: MemoryBudget::new(reservable_bytes),
            evictions: HashMap::new(),
            grants: HashMap::new(),
        };
        Arc::new(Memory { start: Instant::now(), inner: Mutex::new(inner) })
    }

    /// Returns a new holder without bytes.
    pub fn lease(self: &Arc<Self>, work: Work) -> MemoryLease {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let id = inner.budget.open(work, now_ms);
        let (evict, evicted) = oneshot::channel();
        inner.evictions.insert(id, evict);
        drop(inner);
        MemoryLease { memory: self.clone(), id, evicted, is_evicted: false }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }
}

impl Inner {
    fn evict(&mut self, id: HolderId) {
        if let Some(evict) = self.evictions.remove(&id) {
            // The receiver has been dropped if the holder is already releasing its bytes.
            let _ = evict.send(());
        }
    }

    fn notify_granted(&mut self) {
        while let Some(id) = self.budget.next_granted() {
            if let Some(grant) = self.grants.remove(&id) {
                // The receiver has been dropped if the holder has just stopped waiting.
                let _ = grant.send(());
            }
        }
    }
}

impl MemoryLease {
    /// Reserves bytes, so that the holder has at least `bytes` in total. Waits until other holders have
    /// released enough. Cancel safe.
    ///
    /// # Errors
    /// Fails if the holder is evicted or its work has to end.
    pub async fn reserve(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        let Some(granted) = self.request(bytes)? else { return Ok(()) };
        // Dropping the guard withdraws the reservation if this function is cancelled.
        let waiting = WaitingGuard { memory: &self.memory.clone(), id: self.id };
        tokio::select! {
            biased;
            () = waiting.granted(granted) => Ok(()),
            () = self.evicted() => Err(MemoryExhausted),
        }
    }

    /// Reserves bytes for requests behind an open one, so that the holder has `bytes` in total, without waiting.
    /// Returns whether the bytes are reserved.
    pub fn try_reserve(&self, bytes: usize) -> bool {
        let mut inner = self.memory.lock();
        let is_reserved = inner.budget.try_reserve(self.id, bytes);
        inner.notify_granted();
        is_reserved
    }

    /// Requests bytes. Returns `None` if they are reserved, and otherwise a channel for their grant.
    fn request(&mut self, bytes: usize) -> Result<Option<oneshot::Receiver<()>>, MemoryExhausted> {
        let now_ms = self.memory.now_ms();
        let mut inner = self.memory.lock();
        while let Some(evicted) = inner.budget.evict_read_ahead_for(self.id, bytes) {
            inner.evict(evicted);
        }
        match inner.budget.reserve(self.id, bytes, now_ms) {
            Reservation::Granted => Ok(None),
            Reservation::Denied => Err(MemoryExhausted),
            Reservation::Waiting { evicted } => {
                evicted.into_iter().for_each(|evicted| inner.evict(evicted));
                let (grant, granted) = oneshot::channel();
                inner.grants.insert(self.id, grant);
                Ok(Some(granted))
            }
        }
    }

    /// Sets the number of bytes without waiting: to release bytes, or for state that the gateway cannot do
    /// without.
    pub fn set_bytes(&self, bytes: usize) {
        let mut inner = self.memory.lock();
        inner.budget.set_bytes(self.id, bytes);
        inner.notify_granted();
    }

    /// Records what the bytes are needed for.
    pub fn set_work(&self, work: Work) {
        let now_ms = self.memory.now_ms();
        self.memory.lock().budget.set_work(self.id, work, now_ms);
    }

    /// Waits until the holder is evicted.
    pub async fn evicted(&mut self) {
        if !self.is_evicted {
            // The sender is dropped without a message only together with the budget.
            let _ = (&mut self.evicted).await;
            self.is_evicted = true;
        }
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        let mut inner = self.memory.lock();
        inner.budget.close(self.id);
        inner.evictions.remove(&self.id);
        inner.grants.remove(&self.id);
        inner.notify_granted();
    }
}

/// Waits until the holder of `lease` is evicted; for ever without a lease. Cancel safe.
pub async fn evicted(lease: &mut Option<MemoryLease>) {
    match lease {
        Some(lease) => lease.evicted().await,
        None => pending().await,
    }
}

/// A waiting reservation, which is withdrawn once this value is dropped.
struct WaitingGuard<'a> {
    memory: &'a Memory,
    id: HolderId,
}

impl WaitingGuard<'_> {
    async fn granted(&self, mut granted: oneshot::Receiver<()>) {
        loop {
            // The sender is dropped without a message only together with the lease.
            if timeout(EVICTION_INTERVAL, &mut granted).await.is_ok() {
                return;
            }
            let now_ms = self.memory.now_ms();
            let mut inner = self.memory.lock();
            if let Some(evicted) = inner.budget.evict_for_waiting(now_ms) {
                inner.evict(evicted);
            }
        }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.memory.lock();
        inner.grants.remove(&self.id);
        inner.budget.cancel_waiting(self.id);
        inner.notify_granted();
    }
}
