//! The queue of requests that wait for an endpoint with capacity.
//!
//! Rule: a request waits while its response could still be useful. The request whose response stays useful
//! longest is sent first, because one near its end would take capacity and might still get its response too
//! late.

use crate::ids::RequestId;
use crate::request::Request;
use std::collections::BTreeMap;

/// Number of requests that find no endpoint after which the other requests stay pending without being
/// tried.
pub(crate) const MAX_MISSES: u32 = 4;

/// The pending requests.
#[derive(Debug, Default)]
pub(crate) struct PendingQueue {
    requests: Vec<RequestId>,
}

impl PendingQueue {
    /// Enqueues a request.
    pub fn push(&mut self, id: RequestId) {
        self.requests.push(id);
    }

    /// Removes a request if it is pending.
    pub fn remove(&mut self, id: RequestId) {
        self.requests.retain(|pending| *pending != id);
    }

    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Empties the queue, and returns the requests in `open`, the one whose response stays useful longest
    /// first.
    pub fn drain(&mut self, open: &BTreeMap<RequestId, Request>) -> Vec<RequestId> {
        let mut pending = std::mem::take(&mut self.requests);
        pending.retain(|id| open.contains_key(id));
        pending.sort_by(|a, b| {
            let by_usefulness = open[b].useful_until_ms.total_cmp(&open[a].useful_until_ms);
            by_usefulness.then(b.cmp(a))
        });
        pending
    }
}
