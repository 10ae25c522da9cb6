//! The process starts of an endpoint as reported by discovery.
//!
//! Rule: a start is new if it is neither of the last two. Clocks that are stepped may give a later start an
//! earlier time, and discovery servers that disagree may alternate in their responses.

/// The last two reported starts, in ms; 0 for long ago.
#[derive(Debug, Default)]
pub(crate) struct StartHistory {
    last_ms: f64,
    previous_ms: f64,
}

impl StartHistory {
    /// The last reported start.
    pub fn last_ms(&self) -> f64 {
        self.last_ms
    }

    /// Records a reported start; true if it is new.
    pub fn learn(&mut self, started_at_ms: f64) -> bool {
        let is_new =
            started_at_ms > 0.0 && started_at_ms != self.last_ms && started_at_ms != self.previous_ms;
        if is_new {
            self.previous_ms = self.last_ms;
            self.last_ms = started_at_ms;
        }
        is_new
    }
}
