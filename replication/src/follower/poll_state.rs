//! The poll that is outstanding, and when the next one is due.
use super::ResponseError;
use crate::scope::{Revision, Scope};
use crate::wire::Cursor;
use std::collections::BTreeMap;

/// The timeout grows by this ratio when a response arrives after it.
const TIMEOUT_GROWTH_RATIO: f64 = 2.0;

/// A poll whose response has not arrived. Times are in ms.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingPoll {
    pub(super) sent_at: f64,
    /// The progress that it reported.
    pub(super) known: Revision,
    pub(super) in_force: Revision,
    /// The generation of the subscription that it carried.
    pub(super) generation: u64,
    /// Whether it is the first to this lessor, as far as the follower knows.
    pub(super) is_first: bool,
    pub(super) fetch: BTreeMap<Scope, Cursor>,
}

/// Sequences and timing of polls. Times are in ms of the caller's clock.
#[derive(Clone, Debug)]
pub(super) struct PollState {
    pub sequence: u64,
    /// The sequence of the last poll that was answered.
    pub acknowledged: u64,
    pub outstanding: Option<OutstandingPoll>,
    /// When the next poll is due if none is outstanding.
    pub due: f64,
    /// How long to wait for a response.
    pub timeout_ms: f64,
}

impl PollState {
    pub fn new(timeout_ms: f64) -> Self {
        PollState { sequence: 0, acknowledged: 0, outstanding: None, due: f64::NEG_INFINITY, timeout_ms }
    }

    /// Gives up on the outstanding poll; the next one is due at once.
    pub fn reset(&mut self) {
        self.outstanding = None;
        self.due = f64::NEG_INFINITY;
    }

    /// When the next poll is due: after the timeout if one is outstanding, so that a lost message is soon made up for.
    pub fn next_due(&self) -> f64 {
        self.outstanding.as_ref().map_or(self.due, |poll| poll.sent_at + self.timeout_ms)
    }

    /// Takes the outstanding poll if a response answers it. A response to an earlier poll shows that the timeout is shorter
    /// than the round trip: the timeout doubles, up to `max_timeout_ms`.
    pub fn accept(&mut self, sequence: u64, max_timeout_ms: f64) -> Result<OutstandingPoll, ResponseError> {
        if sequence != self.sequence {
            let is_late = (self.acknowledged + 1..self.sequence).contains(&sequence);
            if self.outstanding.is_some() && is_late {
                self.timeout_ms = (TIMEOUT_GROWTH_RATIO * self.timeout_ms).min(max_timeout_ms);
            }
            return Err(ResponseError::Unsolicited);
        }
        let poll = self.outstanding.take().ok_or(ResponseError::Unsolicited)?;
        self.acknowledged = sequence;
        Ok(poll)
    }
}
