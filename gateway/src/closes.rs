//! Counters and log lines of client connections that the gateway ends before their clients do.
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use tracing::info;

/// The reason why the gateway ends a client connection. The names of the variants are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The memory budget has no room for the rest of an incomplete request.
    MemoryForRequest,
    /// The memory budget needs the memory of a response that the client does not read.
    MemoryForResponse,
    /// The descriptor budget needs the descriptor of a connection with an incomplete request.
    Descriptor,
    /// The request was not complete in time.
    RequestTimeout,
    /// The client sent more behind an open request than the gateway can keep or count.
    ExcessInput,
}

/// Counters of ended connections by reason, shared by the client connections.
#[derive(Debug, Default)]
pub struct CloseCounters([AtomicU64; 5]);

impl CloseCounters {
    /// Counts and logs the end of a connection, which held `bytes` for its unfinished request or response.
    pub fn record(&self, reason: CloseReason, connection_id: u64, bytes: usize) {
        let count = self.0[reason as usize].fetch_add(1, Relaxed) + 1;
        info!(?reason, connection_id, bytes, count, "ending client connection");
    }
}
