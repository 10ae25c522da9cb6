//! An open request and its attempts.

use crate::ids::EndpointId;
use crate::zone::Locality;

/// An attempt that has been sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Locality of the endpoint when the attempt was sent; a retry with an idempotency key stays within its
    /// deduplication scope.
    pub locality: Locality,
    /// Time at which the attempt was sent, in ms.
    pub sent_at_ms: f64,
    /// Whether the attempt has not ended yet.
    pub in_flight: bool,
    /// False once the outcome has proved that the attempt never ran.
    pub may_have_run: bool,
}

/// A request without a final response.
#[derive(Debug)]
pub(crate) struct Request {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Index of the request's tenant in the settings, if the request has one.
    pub tenant: Option<usize>,
    /// Time from which a response no longer has its full value, in ms.
    pub useful_until_ms: f64,
    /// Time at which attempts are given up, in ms.
    pub give_up_at_ms: f64,
    /// Time until which the request may wait for a fresh endpoint list, in ms.
    pub hold_until_ms: f64,
    /// Attempts of the request; the index is the attempt's number.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// Returns the first attempt that may have run.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }

    /// Returns whether any attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Returns whether an attempt has been sent to `endpoint`.
    pub fn has_tried(&self, endpoint: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }

    /// Records the end of an attempt; `never_ran` says whether its outcome proves that the attempt never
    /// ran.
    pub fn mark_ended(&mut self, attempt: u32, never_ran: bool) {
        if let Some(attempt) = self.attempts.get_mut(attempt as usize) {
            attempt.in_flight = false;
            attempt.may_have_run = !never_ran;
        }
    }
}
