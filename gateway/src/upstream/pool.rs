//! The pool of idle connections to endpoints.
use super::attempt::Attempt;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use ternstack_balancer::EndpointId;
use tokio::sync::oneshot;

/// An idle connection. Its task waits for the next attempt; dropping the sender closes it.
#[derive(Debug)]
struct IdleConnection {
    number: u64,
    next_attempt: oneshot::Sender<Attempt>,
}

#[derive(Debug, Default)]
struct Connections {
    /// By endpoint, the most recently used connection last.
    idle: BTreeMap<EndpointId, Vec<IdleConnection>>,
    last_number: u64,
}

/// A connection's place in the pool while it is idle.
pub(super) struct Offer {
    /// Identifies the connection for [`Pool::withdraw`].
    pub(super) number: u64,
    /// Receives the attempt that it carries next; an error once the pool has closed it.
    pub(super) next_attempt: oneshot::Receiver<Attempt>,
}

/// The idle connections to all endpoints.
#[derive(Debug, Default)]
pub(super) struct Pool(Mutex<Connections>);

impl Pool {
    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands an attempt to the most recently used idle connection of its endpoint. Gives the attempt back, with nothing
    /// sent, if its endpoint has no idle connection.
    pub(super) fn hand_over(&self, mut attempt: Attempt) -> Option<Attempt> {
        loop {
            let idle = self.lock().idle.get_mut(&attempt.endpoint).and_then(Vec::pop);
            let Some(idle) = idle else { return Some(attempt) };
            match idle.next_attempt.send(attempt) {
                Ok(()) => return None,
                // That connection has just closed.
                Err(returned) => attempt = returned,
            }
        }
    }

    /// Adds a connection to an endpoint.
    pub(super) fn offer(&self, endpoint: EndpointId) -> Offer {
        let (sender, next_attempt) = oneshot::channel();
        let mut connections = self.lock();
        connections.last_number += 1;
        let number = connections.last_number;
        connections.idle.entry(endpoint).or_default().push(IdleConnection { number, next_attempt: sender });
        Offer { number, next_attempt }
    }

    /// Removes a connection that closes by itself.
    pub(super) fn withdraw(&self, endpoint: EndpointId, number: u64) {
        let mut connections = self.lock();
        if let Some(idle) = connections.idle.get_mut(&endpoint) {
            idle.retain(|connection| connection.number != number);
            if idle.is_empty() {
                connections.idle.remove(&endpoint);
            }
        }
    }

    /// Closes all connections to an endpoint.
    pub(super) fn close(&self, endpoint: EndpointId) {
        self.lock().idle.remove(&endpoint);
    }

    /// Closes the connection that has been idle for longest; false if there is none.
    pub(super) fn close_oldest(&self) -> bool {
        let mut connections = self.lock();
        let oldest = connections
            .idle
            .iter()
            .filter_map(|(endpoint, idle)| Some((idle.first()?.number, *endpoint)))
            .min();
        let Some(idle) = oldest.and_then(|(_, endpoint)| connections.idle.get_mut(&endpoint)) else {
            return false;
        };
        drop(idle.remove(0));
        true
    }
}
