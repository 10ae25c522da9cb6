//! The time at which the endpoint list expires, which the event loop shares with the attempts under way.
//!
//! The balancer decides how long a list may be acted on. An attempt that is still connecting when the list
//! expires must not be sent either, unless the list has been confirmed in the meantime.
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::Instant;

/// The time from which no first byte of an attempt may be written, shared by the gateway's tasks.
#[derive(Clone, Debug, Default)]
pub struct ListExpiry(Arc<Mutex<Option<Instant>>>);

impl ListExpiry {
    /// Sets the time at which the list expires; `None` if the list does not expire.
    pub fn set(&self, expires_at: Option<Instant>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = expires_at;
    }

    /// Returns the time at which the list expires; `None` if the list does not expire.
    pub fn get(&self) -> Option<Instant> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
