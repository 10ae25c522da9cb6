//! The process starts of an endpoint as reported by discovery.
//!
//! Rule: a reported start is new if it differs from the last two. Start times cannot be compared by order,
//! because a stepped clock may give a later start an earlier time, and discovery servers that disagree may
//! alternate between two times.

/// Returns whether the time of a process start is known. 0 or any time before means that the process
/// started long ago, at an unknown time.
pub(crate) fn is_known_start(started_at_ms: f64) -> bool {
    started_at_ms > 0.0
}

/// The last two reported starts, in ms; see [`is_known_start`] for 0.
#[derive(Debug, Default)]
pub(crate) struct StartHistory {
    last_ms: f64,
    previous_ms: f64,
}

impl StartHistory {
    /// Returns the last reported start, in ms.
    pub fn last_ms(&self) -> f64 {
        self.last_ms
    }

    /// Records a reported start, and returns whether the start is new.
    pub fn record(&mut self, started_at_ms: f64) -> bool {
        let is_new = is_known_start(started_at_ms)
            && started_at_ms != self.last_ms
            && started_at_ms != self.previous_ms;
        if is_new {
            self.previous_ms = self.last_ms;
            self.last_ms = started_at_ms;
        }
        is_new
    }
}
