//! How long a client has been trying, inferred from its timeout.
//!
//! Rule: a client waits the same time in each of its attempts, except in the last one, which waits for
//! about what is left of the deadline. A timeout that is not the typical one thus shows how long ago the
//! client's first attempt was; a typical timeout most often is a first attempt. Each tenant and class has
//! its own typical timeout: many impatient clients of one must not change the typical timeout of the
//! others.

use crate::settings::Settings;

/// A timeout further than this fraction of the deadline from the typical one is not typical.
const TYPICAL_MARGIN_RATIO: f64 = 0.05;

/// The most typical timeouts that a client can have waited for before its last attempt.
const MAX_PRECEDING_TIMEOUTS: f64 = 3.0;

/// The typical timeout is replaced once others outnumber it by this many.
const MAX_VOTES_COUNT: f64 = 50.0;

/// The typical timeout of a tenant's clients in a class, by majority vote.
#[derive(Clone, Copy, Debug, Default)]
struct TypicalTimeout {
    timeout_ms: f64,
    votes_count: f64,
}

impl TypicalTimeout {
    fn is_typical(&self, timeout_ms: f64, deadline_ms: f64) -> bool {
        (timeout_ms - self.timeout_ms).abs() <= TYPICAL_MARGIN_RATIO * deadline_ms
    }

    fn record(&mut self, timeout_ms: f64, deadline_ms: f64) {
        if self.is_typical(timeout_ms, deadline_ms) {
            self.votes_count = (self.votes_count + 1.0).min(MAX_VOTES_COUNT);
        } else if self.votes_count >= 1.0 {
            self.votes_count -= 1.0;
        } else {
            *self = TypicalTimeout { timeout_ms, votes_count: 1.0 };
        }
    }
}

/// The typical client timeouts, by tenant and class.
#[derive(Debug)]
pub(crate) struct ClientTimeouts {
    class_count: usize,
    /// By tenant, the first for requests without one, and within that by class.
    typical: Vec<TypicalTimeout>,
}

impl ClientTimeouts {
    /// Nothing is known yet.
    pub fn new(settings: &Settings) -> Self {
        let class_count = settings.classes.len();
        let typical = vec![TypicalTimeout::default(); class_count * (settings.tenants.len() + 1)];
        ClientTimeouts { class_count, typical }
    }

    /// Counts a request's timeout; how long its client has been trying before this attempt, in ms.
    pub fn record(&mut self, tenant: Option<usize>, class: usize, timeout_ms: f64, deadline_ms: f64) -> f64 {
        let tenant_row = tenant.map_or(0, |tenant| tenant + 1);
        let typical = &mut self.typical[tenant_row * self.class_count + class];
        typical.record(timeout_ms, deadline_ms);
        // Where impatient clients are typical, a longer timeout is not one of their last attempts.
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
