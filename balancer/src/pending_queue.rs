//! Requests that wait for an endpoint with capacity.
//!
//! Rule: a request waits while it could still be in time. The one that stays useful longest goes first:
//! one that is nearly past its useful time would take capacity and may still be of no use.

use crate::ids::RequestId;
use crate::request::Request;
use std::collections::BTreeMap;

/// Once this many requests have found no endpoint, the others stay pending untried.
pub(crate) const MAX_MISSES_COUNT: u32 = 4;

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

    /// Removes a request, if it is pending.
    pub fn remove(&mut self, id: RequestId) {
        self.requests.retain(|pending| *pending != id);
    }

    /// Whether nothing is pending.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of pending requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Empties the queue: the requests that are still open, the one that stays useful longest first.
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
