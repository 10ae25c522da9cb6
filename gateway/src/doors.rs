//! The one budget of descriptors as both sides share it: [`Places`] decides, and whoever is to give way is told.
use crate::places::{Admission, ClientId, Doing, Places};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;
use tokio::time::Instant;

#[derive(Debug)]
struct Inner {
    places: Places,
    ends: HashMap<ClientId, oneshot::Sender<()>>,
}

/// Shared by the front and the relays.
#[derive(Debug)]
pub struct Doors {
    start: Instant,
    inner: Mutex<Inner>,
}

/// A client's place. It is free again once this is dropped.
#[derive(Debug)]
pub struct Place {
    doors: Arc<Doors>,
    id: ClientId,
}

impl Place {
    /// What its connection does from now on.
    pub fn does(&self, doing: Doing) {
        let now = self.doors.now();
        let mut inner = self.doors.lock();
        inner.places.does(self.id, doing, now);
        while let Some(other) = inner.places.surplus(now) {
            inner.end(other);
        }
    }

    /// Whether it has been given away: its connection ends with what it does.
    pub fn is_lost(&self) -> bool {
        !self.doors.lock().ends.contains_key(&self.id)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut inner = self.doors.lock();
        inner.places.leave(self.id);
        inner.ends.remove(&self.id);
    }
}

impl Doors {
    /// Room for so many connections, clients' and hosts' together.
    pub fn new(budget: usize) -> Arc<Self> {
        let inner = Inner { places: Places::new(budget), ends: HashMap::new() };
        Arc::new(Doors { start: Instant::now(), inner: Mutex::new(inner) })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// A client has connected: its place, and what tells that the place is given away. `None` where no place is
    /// free and none gives way. `true` if another one has given way: it has yet to end.
    pub fn enter(self: &Arc<Self>) -> Option<(Place, oneshot::Receiver<()>, bool)> {
        let now = self.now();
        let mut inner = self.lock();
        let (id, other) = match inner.places.admit(now) {
            Admission::Taken(id) => (id, None),
            Admission::InPlaceOf(id, other) => (id, Some(other)),
            Admission::Full => return None,
        };
        other.into_iter().for_each(|other| inner.end(other));
        let (end, ended) = oneshot::channel();
        inner.ends.insert(id, end);
        Some((Place { doors: self.clone(), id }, ended, other.is_some()))
    }

    /// Ends a client's connection that waits, if any does.
    pub fn make_room(&self) {
        let now = self.now();
        let mut inner = self.lock();
        if let Some(other) = inner.places.make_room(now) {
            inner.end(other);
        }
    }

    /// Counts one more connection to a host, if there may be one. Where a client's gives way it has yet to end.
    pub fn open_host(&self) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        if inner.places.open_host() {
            return true;
        }
        let Some(other) = inner.places.make_room(now) else { return false };
        inner.end(other);
        inner.places.open_host()
    }

    /// Counts one more that comes in place of another connection to a host, which is about to end.
    pub fn replace_host(&self) {
        self.lock().places.replace_host();
    }

    /// Whether a connection to a host could be opened without anybody's giving way.
    pub fn has_room(&self) -> bool {
        self.lock().places.has_room_for_host()
    }

    /// A connection to a host has ended.
    pub fn close_host(&self) {
        self.lock().places.close_host();
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
