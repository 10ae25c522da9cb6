//! The reasons why a watch of discovery ends, and what they show about discovery.
use crate::endpoint_list::EndpointListError;
use crate::http1::ParseError;
use crate::memory::MemoryExhausted;
use crate::sockets::{has_no_route, is_local};
use std::io;
use thiserror::Error;
use tokio::time::Instant;

/// The HTTP status of a response that contains an endpoint list.
pub(super) const STATUS_OK: u16 = 200;
/// The HTTP status of a call that has failed, because it waited for too long or discovery is down.
const STATUS_UNAVAILABLE: u16 = 503;

/// The reason why a watch has ended.
#[derive(Debug, Error)]
pub(super) enum WatchError {
    /// A poll on an open connection had no response in time.
    #[error("no response in time")]
    Silent,
    /// The response to a poll began, but was not complete in time.
    #[error("no complete response in time")]
    Stalled,
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    #[error("cannot send a poll: {0}")]
    Send(#[source] io::Error),
    #[error("cannot receive a response: {0}")]
    Receive(#[source] io::Error),
    /// The connection closed before the response began.
    #[error("connection closed before a complete response")]
    Closed,
    #[error("connection ended within a response")]
    Truncated,
    #[error("malformed response: {0}")]
    Parse(#[from] ParseError),
    #[error("expected status {STATUS_OK}, got {0}")]
    Status(u16),
    #[error("malformed endpoint list: {0}")]
    List(#[from] EndpointListError),
    #[error("endpoint list: {0}")]
    Memory(#[from] MemoryExhausted),
}

impl WatchError {
    /// Returns whether the response was not complete in time.
    pub(super) fn is_timeout(&self) -> bool {
        matches!(self, WatchError::Silent | WatchError::Stalled)
    }

    /// Returns the time up to which discovery cannot have had a change that this gateway does not have: a poll
    /// that began at `polled_at` has failed at `ended_at`. `None` if discovery may be in reach, so that the change
    /// may only have failed to arrive. `was_silent` says whether discovery gave no sign for long enough.
    pub(super) fn out_of_reach_as_of(
        &self, polled_at: Instant, ended_at: Instant, was_silent: bool,
    ) -> Option<Instant> {
        match self {
            WatchError::Silent => was_silent.then_some(polled_at),
            WatchError::Send(_) | WatchError::Status(STATUS_UNAVAILABLE) => Some(polled_at),
            WatchError::Connect(e) => (!is_local(e) && !has_no_route(e)).then_some(polled_at),
            // Discovery would have written a change before it closed the connection.
            WatchError::Receive(_) | WatchError::Closed => Some(ended_at.max(polled_at)),
            WatchError::Stalled
            | WatchError::Truncated
            | WatchError::Parse(_)
            | WatchError::Status(_)
            | WatchError::List(_)
            | WatchError::Memory(_) => None,
        }
    }
}
