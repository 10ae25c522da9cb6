//! The correlation ids of open requests, and of requests that must not run again.
//!
//! An id is in use until its request has a response and no attempt in flight, also after the client has
//! disconnected. The id of a request that may have run and is not idempotent stays in use for
//! [`RETENTION_MS`] longer, so that the request does not run twice if a client sends it again.
use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// How long the id of a request that may have run stays in use after the request has ended.
pub const RETENTION_MS: f64 = 30_000.0;
/// The maximum number of ids that stay in use after their requests have ended. The oldest is dropped first.
pub const MAX_RETAINED_IDS: usize = 8192;

/// An id as two independent hashes, so that the memory of an id does not depend on its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdHash(u64, u64);

/// The ids in use. All times are milliseconds on one clock that never goes back.
#[derive(Debug, Default)]
pub struct CorrelationIds {
    hashers: (RandomState, RandomState),
    ids: HashSet<IdHash>,
    /// The retained ids with the end of their retention, in the order of that end.
    retained: VecDeque<(f64, IdHash)>,
}

impl CorrelationIds {
    fn hash(&self, id: &[u8]) -> IdHash {
        IdHash(self.hashers.0.hash_one(id), self.hashers.1.hash_one(id))
    }

    /// Reserves an id for an open request. Returns `None` if the id is in use.
    pub fn reserve(&mut self, id: &[u8], now_ms: f64) -> Option<IdHash> {
        self.drop_retained(now_ms);
        let hash = self.hash(id);
        let is_free = self.ids.insert(hash);
        is_free.then_some(hash)
    }

    /// Releases the id of a request that has ended. With `is_retained`, the id stays in use for a while.
    pub fn release(&mut self, hash: IdHash, is_retained: bool, now_ms: f64) {
        if is_retained {
            self.retained.push_back((now_ms + RETENTION_MS, hash));
        } else {
            self.ids.remove(&hash);
        }
        self.drop_retained(now_ms);
    }

    /// Returns the number of ids in use.
    pub fn count(&self) -> usize {
        self.ids.len()
    }

    fn drop_retained(&mut self, now_ms: f64) {
        while let Some((end_ms, hash)) = self.retained.front().copied() {
            if self.retained.len() <= MAX_RETAINED_IDS && end_ms > now_ms {
                return;
            }
            self.retained.pop_front();
            self.ids.remove(&hash);
        }
    }
}

/// The ids in use, shared by the client connections and the event loop.
#[derive(Debug)]
pub struct SharedCorrelationIds {
    start: Instant,
    ids: Mutex<CorrelationIds>,
}

/// The reservation of an open request's id, which ends once this value is dropped.
#[derive(Debug)]
pub struct CorrelationIdGuard {
    shared: Arc<SharedCorrelationIds>,
    hash: IdHash,
    is_retained: bool,
}

impl SharedCorrelationIds {
    /// Returns a table without ids.
    pub fn new() -> Arc<Self> {
        Arc::new(SharedCorrelationIds { start: Instant::now(), ids: Mutex::default() })
    }

    fn lock(&self) -> MutexGuard<'_, CorrelationIds> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Reserves an id. Returns `None` if the id is in use.
    pub fn reserve(self: &Arc<Self>, id: &[u8]) -> Option<CorrelationIdGuard> {
        let now_ms = self.now_ms();
        let hash = self.lock().reserve(id, now_ms)?;
        Some(CorrelationIdGuard { shared: self.clone(), hash, is_retained: false })
    }
}

impl CorrelationIdGuard {
    /// Keeps the id in use for a while after its request has ended.
    pub fn retain(&mut self) {
        self.is_retained = true;
    }
}

impl Drop for CorrelationIdGuard {
    fn drop(&mut self) {
        let now_ms = self.shared.now_ms();
        self.shared.lock().release(self.hash, self.is_retained, now_ms);
    }
}
