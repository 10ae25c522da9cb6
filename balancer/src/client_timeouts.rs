//! The time for which a client has been trying, inferred from the timeout of its request.
//!
//! Rule: a client uses the same timeout for each of its attempts, except for the last one, whose timeout is
//! about the rest of the deadline. A timeout that is not typical thus shows when the client's first attempt
//! was sent; a typical timeout mostly belongs to a first attempt. The typical timeout is kept by tenant and
//! class, so that many clients of one tenant with short timeouts don't change the typical timeout of the
//! others.

use crate::settings::Settings;

/// Largest distance of a typical timeout from the recorded one, as a fraction of the deadline.
const TYPICAL_MARGIN: f64 = 0.05;

/// Largest number of typical timeouts that a client can have waited for before its last attempt.
const MAX_PRECEDING_TIMEOUTS: f64 = 3.0;

/// Upper bound of the votes for the typical timeout, after which other timeouts have to outnumber it by
/// this many to replace it.
const MAX_VOTES: f64 = 50.0;

/// The typical timeout of the clients of one tenant and class, found by majority vote.
#[derive(Clone, Copy, Debug, Default)]
struct TypicalTimeout {
    timeout_ms: f64,
    votes: f64,
}

impl TypicalTimeout {
    fn is_typical(&self, timeout_ms: f64, deadline_ms: f64) -> bool {
        (timeout_ms - self.timeout_ms).abs() <= TYPICAL_MARGIN * deadline_ms
    }

    fn record(&mut self, timeout_ms: f64, deadline_ms: f64) {
        if self.is_typical(timeout_ms, deadline_ms) {
            self.votes = (self.votes + 1.0).min(MAX_VOTES);
        } else if self.votes >= 1.0 {
            self.votes -= 1.0;
        } else {
            *self = TypicalTimeout { timeout_ms, votes: 1.0 };
        }
    }
}

/// The typical client timeouts by tenant and class.
#[derive(Debug)]
pub(crate) struct ClientTimeouts {
    class_count: usize,
    /// Typical timeouts in rows of `class_count` entries; the first row is for requests without a tenant,
    /// and each further row for a tenant.
    typical: Vec<TypicalTimeout>,
}

impl ClientTimeouts {
    /// Creates the state before the first request.
    pub fn new(settings: &Settings) -> Self {
        let class_count = settings.classes.len();
        let typical = vec![TypicalTimeout::default(); class_count * (settings.tenants.len() + 1)];
        ClientTimeouts { class_count, typical }
    }

    /// Records the timeout of a request. Returns how long its client has been trying before this request,
    /// in ms.
    pub fn record(&mut self, tenant: Option<usize>, class: usize, timeout_ms: f64, deadline_ms: f64) -> f64 {
        let tenant_row = tenant.map_or(0, |tenant| tenant + 1);
        let typical = &mut self.typical[tenant_row * self.class_count + class];
        typical.record(timeout_ms, deadline_ms);
        // If most clients have short timeouts, a longer timeout doesn't belong to the last attempt of such
        // a client.
        let age_ms = (deadline_ms - timeout_ms).max(0.0);
        let is_last_attempt = !typical.is_typical(timeout_ms, deadline_ms)
            && age_ms <= MAX_PRECEDING_TIMEOUTS * typical.timeout_ms;
        if is_last_attempt {
            age_ms
        } else {
            0.0
        }
    }
}
