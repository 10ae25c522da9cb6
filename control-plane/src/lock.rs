//! Locking of the state that tasks share.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if it is poisoned, because a panic cannot leave the shared state half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
