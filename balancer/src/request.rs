//! An open request and its attempts.

use crate::ids::EndpointId;
use crate::zone::Locality;

/// An attempt that has been sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// Where the endpoint was: a retry with an idempotency key stays within its scope.
    pub locality: Locality,
    /// When it was sent.
    pub sent_at_ms: f64,
    /// It has not ended yet.
    pub in_flight: bool,
    /// False once an outcome has proved that it never ran.
    pub may_have_run: bool,
}

/// A request that has no final response yet.
#[derive(Debug)]
pub(crate) struct Request {
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings.
    pub tenant: Option<usize>,
    /// When a response no longer has the full value.
    pub useful_until_ms: f64,
    /// When attempts are given up.
    pub give_up_at_ms: f64,
    /// Its attempts, by number.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// The first attempt that may have run.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether an attempt has been sent to an endpoint.
    pub fn has_tried(&self, endpoint: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }

    /// An attempt has ended.
    pub fn mark_ended(&mut self, attempt: u32, never_ran: bool) {
        if let Some(attempt) = self.attempts.get_mut(attempt as usize) {
            attempt.in_flight = false;
            attempt.may_have_run = !never_ran;
        }
    }
}
