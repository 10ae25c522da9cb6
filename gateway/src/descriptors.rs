//! The one budget of descriptors as both sides share it: [`Budget`] decides, and whoever is to give way is told.
use crate::budget::{Admission, Budget, ClientId, Doing};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;
use tokio::time::Instant;

#[derive(Debug)]
struct Inner {
    budget: Budget,
    ends: HashMap<ClientId, oneshot::Sender<()>>,
}

/// Shared by the front and the attempts.
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

impl Descriptor {
    /// What its connection does from now on.
    pub fn does(&self, doing: Doing) {
        let now = self.descriptors.now();
        let mut inner = self.descriptors.lock();
        inner.budget.does(self.id, doing, now);
        while let Some(other) = inner.budget.surplus(now) {
            inner.end(other);
        }
    }

    /// Whether it has been given away: its connection ends with what it does.
    pub fn is_lost(&self) -> bool {
        !self.descriptors.lock().ends.contains_key(&self.id)
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        let mut inner = self.descriptors.lock();
        inner.budget.leave(self.id);
        inner.ends.remove(&self.id);
    }
}

impl Descriptors {
    /// Room for so many connections, clients' and servers' together.
    pub fn new(budget: usize) -> Arc<Self> {
        let inner = Inner { budget: Budget::new(budget), ends: HashMap::new() };
        Arc::new(Descriptors { start: Instant::now(), inner: Mutex::new(inner) })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// A client has connected: its descriptor, and what tells that the descriptor is given away. `None` where none is
    /// free and none gives way. `true` if another one has given way: it has yet to end.
    pub fn enter(self: &Arc<Self>) -> Option<(Descriptor, oneshot::Receiver<()>, bool)> {
        let now = self.now();
        let mut inner = self.lock();
        let (id, other) = match inner.budget.admit(now) {
            Admission::Taken(id) => (id, None),
            Admission::InPlaceOf(id, other) => (id, Some(other)),
            Admission::Full => return None,
        };
        other.into_iter().for_each(|other| inner.end(other));
        let (end, ended) = oneshot::channel();
        inner.ends.insert(id, end);
        Some((Descriptor { descriptors: self.clone(), id }, ended, other.is_some()))
    }

    /// Ends a client's connection that waits, if any does.
    pub fn make_room(&self) {
        let now = self.now();
        let mut inner = self.lock();
        if let Some(other) = inner.budget.make_room(now) {
            inner.end(other);
        }
    }

    /// Counts one more connection to a server, if there may be one. Where a client's gives way it has yet to end.
    pub fn open_server(&self) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        if inner.budget.open_server() {
            return true;
        }
        let Some(other) = inner.budget.make_room(now) else { return false };
        inner.end(other);
        inner.budget.open_server()
    }

    /// Counts one more that comes in place of another connection to a server, which is about to end.
    pub fn replace_server(&self) {
        self.lock().budget.replace_server();
    }

    /// Whether a connection to a server could be opened without anybody's giving way.
    pub fn has_room(&self) -> bool {
        self.lock().budget.has_room_for_server()
    }

    /// A connection to a server has ended.
    pub fn close_server(&self) {
        self.lock().budget.close_server();
    }
}

impl Inner {
    fn end(&mut self, client: ClientId) {
        if let Some(end) = self.ends.remove(&client) {
            // It may be ending by itself.
            let _ = end.send(());
        }
    }
}
