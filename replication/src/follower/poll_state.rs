//! The outstanding poll, and when the next poll is due.
use super::ResponseError;
use crate::scope::{Revision, Scope};
use crate::wire::Cursor;
use std::collections::BTreeMap;

/// The factor by which the timeout grows when a response arrives after the timeout.
const TIMEOUT_GROWTH_FACTOR: f64 = 2.0;

/// A poll whose response has not arrived.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingPoll {
    /// When the poll was sent, in ms of the caller's clock.
    pub(super) sent_at: f64,
    /// The known revision that the poll reported.
    pub(super) known: Revision,
    /// The revision in force that the poll reported.
    pub(super) in_force: Revision,
    /// The generation of the subscription that the poll carried.
    pub(super) generation: u64,
    /// Whether the poll is the first one to its lessor, as far as the follower knows.
    pub(super) is_first: bool,
    /// The scopes that the poll fetches, with the position that each fetch had reached.
    pub(super) fetch: BTreeMap<Scope, Cursor>,
}

/// The sequence numbers and the timing of polls. Times are in ms of the caller's clock.
#[derive(Clone, Debug)]
pub(super) struct PollState {
    /// The sequence number of the last poll.
    pub sequence: u64,
    /// The sequence number of the last poll that was answered.
    pub acknowledged: u64,
    pub outstanding: Option<OutstandingPoll>,
    /// When the next poll is due if none is outstanding.
    pub due: f64,
    /// How long the follower waits for a response, in ms.
    pub timeout_ms: f64,
}

impl PollState {
    pub fn new(timeout_ms: f64) -> Self {
        PollState { sequence: 0, acknowledged: 0, outstanding: None, due: f64::NEG_INFINITY, timeout_ms }
    }

    /// Discards the outstanding poll and makes the next poll due at once.
    pub fn reset(&mut self) {
        self.outstanding = None;
        self.due = f64::NEG_INFINITY;
    }

    /// Returns when the next poll is due: after the timeout if a poll is outstanding, so that a lost message is
    /// replaced soon.
    pub fn next_due(&self) -> f64 {
        self.outstanding.as_ref().map_or(self.due, |poll| poll.sent_at + self.timeout_ms)
    }

    /// Returns the outstanding poll if the response of this sequence number answers that poll. A response to an
    /// earlier poll shows that the timeout is shorter than the round trip, so the timeout doubles, up to
    /// `max_timeout_ms`.
    pub fn accept(&mut self, sequence: u64, max_timeout_ms: f64) -> Result<OutstandingPoll, ResponseError> {
        if sequence != self.sequence {
            let is_late = (self.acknowledged + 1..self.sequence).contains(&sequence);
            if self.outstanding.is_some() && is_late {
                self.timeout_ms = (TIMEOUT_GROWTH_FACTOR * self.timeout_ms).min(max_timeout_ms);
            }
            return Err(ResponseError::Unsolicited);
        }
        let poll = self.outstanding.take().ok_or(ResponseError::Unsolicited)?;
        self.acknowledged = sequence;
        Ok(poll)
    }
}
