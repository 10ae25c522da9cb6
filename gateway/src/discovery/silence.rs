//! How long discovery has given no sign on a connection, which shows that it is out of reach.
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The time since which a connection attempt or a poll has had no sign of discovery; none after a failure of this
/// machine and after the first byte of a response. Shared by a connection and the task that judges its silence.
#[derive(Clone, Debug, Default)]
pub(super) struct Silence(Arc<Mutex<Option<Instant>>>);

impl Silence {
    /// Begins the silence anew: a connection attempt starts.
    pub(super) fn restart(&self) {
        *self.lock() = Some(Instant::now());
    }

    /// Begins the silence, unless it has lasted since the connection attempt: a poll is sent.
    pub(super) fn begin(&self) {
        self.lock().get_or_insert_with(Instant::now);
    }

    /// Ends the silence.
    pub(super) fn end(&self) {
        *self.lock() = None;
    }

    /// Returns whether the silence has lasted for `duration`.
    pub(super) fn has_lasted(&self, duration: Duration) -> bool {
        self.lock().is_some_and(|since| since.elapsed() >= duration)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
