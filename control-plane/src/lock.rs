//! Locks the state that tasks share.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a core. A poisoned lock is taken all the same: a panic cannot leave a core between two states.
pub(crate) fn lock<T>(core: &Mutex<T>) -> MutexGuard<'_, T> {
    core.lock().unwrap_or_else(PoisonError::into_inner)
}
