//! The pool of idle connections to endpoints.
use super::attempt::Attempt;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use ternstack_balancer::EndpointId;
use tokio::sync::oneshot;

/// An idle connection, whose task waits for the next attempt.
#[derive(Debug)]
struct IdleConnection {
    number: u64,
    /// The channel to the connection's task. Dropping the sender closes the connection.
    next_attempt: oneshot::Sender<Attempt>,
}

/// The contents of the pool.
#[derive(Debug, Default)]
struct Connections {
    /// The idle connections to each endpoint, the most recently used one last.
    idle: BTreeMap<EndpointId, Vec<IdleConnection>>,
    last_number: u64,
}

/// The pool entry of a connection, held by the connection's task while the connection is idle.
pub(super) struct PooledConnection {
    /// The number of the connection, by which [`Pool::remove`] finds it.
    pub(super) number: u64,
    /// The channel on which the next attempt arrives. The channel fails once the pool has closed the
    /// connection.
    pub(super) next_attempt: oneshot::Receiver<Attempt>,
}

/// The idle connections to all endpoints.
#[derive(Debug, Default)]
pub(super) struct Pool(Mutex<Connections>);

impl Pool {
    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands an attempt to the most recently used idle connection to the attempt's endpoint. Returns the
    /// attempt unsent if no connection to the endpoint is idle.
    pub(super) fn try_reuse(&self, mut attempt: Attempt) -> Option<Attempt> {
        loop {
            let idle = self.lock().idle.get_mut(&attempt.endpoint).and_then(Vec::pop);
            let Some(idle) = idle else { return Some(attempt) };
            match idle.next_attempt.send(attempt) {
                Ok(()) => return None,
                // The connection's task has just ended.
                Err(returned) => attempt = returned,
            }
        }
    }

    /// Adds an idle connection to an endpoint.
    pub(super) fn insert(&self, endpoint: EndpointId) -> PooledConnection {
        let (sender, next_attempt) = oneshot::channel();
        let mut connections = self.lock();
        connections.last_number += 1;
        let number = connections.last_number;
        connections.idle.entry(endpoint).or_default().push(IdleConnection { number, next_attempt: sender });
        PooledConnection { number, next_attempt }
    }

    /// Removes a connection that its task closes, because of an idle timeout or because the endpoint has
    /// closed it.
    pub(super) fn remove(&self, endpoint: EndpointId, number: u64) {
        let mut connections = self.lock();
        if let Some(idle) = connections.idle.get_mut(&endpoint) {
            idle.retain(|connection| connection.number != number);
            if idle.is_empty() {
                connections.idle.remove(&endpoint);
            }
        }
    }

    /// Closes all idle connections to an endpoint.
    pub(super) fn close(&self, endpoint: EndpointId) {
        self.lock().idle.remove(&endpoint);
    }

    /// Closes the connection that has been idle for longest. Returns false if no connection is idle.
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
