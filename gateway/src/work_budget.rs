//! The work budget: how much of the gateway's processor time one client connection may take.
//!
//! This module does no I/O and has no clock or threads. The `listener` charges each connection for what it
//! reads and handles, at fixed costs. A connection may always do a burst of work, and further work at a fixed
//! rate, which does not depend on other connections: an ordinary client, which sends one request at a time, never
//! pauses. A connection that does more is heavy. The heavy connections together may take a fixed share of the
//! processor: each of them pauses before it reads on, until its share has paid its debt.
//!
//! The time in which a connection waits for its client or for an endpoint pays at the fixed rate. The time in which
//! its bytes wait for the gateway pays nothing, so that a flood does not earn more work by keeping the processor
//! busy.
use std::collections::HashSet;

/// The processor time of one request: reading, deciding, forwarding and responding.
pub const REQUEST_COST_US: f64 = 50.0;
/// The processor time of one read from a connection, with the wait for its bytes.
pub const READ_COST_US: f64 = 40.0;
/// The processor time of a request that is read and rejected without being kept.
pub const SKIPPED_REQUEST_COST_US: f64 = 5.0;
/// The work that a connection may do beyond its share at once: some hundred requests.
const BURST_US: f64 = 6_400.0;
/// The rate at which an ordinary connection may work: 2% of a core, some 200 requests a second.
const ORDINARY_RATE_US_PER_MS: f64 = 20.0;
/// The share of the processor that all heavy connections may take together.
const HEAVY_SHARE: f64 = 0.05;
/// The longest pause, and the longest sum of the pauses of one request. A client that is not read for longer could not be told of a timeout in time.
pub const MAX_PAUSE_MS: f64 = 500.0;

/// The number of a connection, chosen by the caller.
pub type ConnectionId = u64;

/// The work that a connection has done beyond its rate. All times are milliseconds on one clock that never
/// goes back.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkMeter {
    debt_us: f64,
    /// The time up to which the debt has been paid.
    paid_until_ms: f64,
    /// The end of the connection's last pause.
    paused_until_ms: f64,
}

impl WorkMeter {
    /// Pays for the time until `now_ms`: a pause pays at `share_us_per_ms`, and other time at
    /// `other_us_per_ms`.
    fn pay_until(&mut self, now_ms: f64, share_us_per_ms: f64, other_us_per_ms: f64) {
        let now_ms = now_ms.max(self.paid_until_ms);
        let pause_end_ms = self.paused_until_ms.clamp(self.paid_until_ms, now_ms);
        let paused_us = (pause_end_ms - self.paid_until_ms) * share_us_per_ms;
        let other_us = (now_ms - pause_end_ms) * other_us_per_ms;
        self.debt_us = (self.debt_us - paused_us - other_us).max(0.0);
        self.paid_until_ms = now_ms;
    }
}

/// The work budget of all client connections.
#[derive(Debug)]
pub struct WorkBudget {
    /// The processor time that heavy connections may take together, in microseconds per millisecond.
    heavy_rate_us_per_ms: f64,
    heavy: HashSet<ConnectionId>,
}

impl WorkBudget {
    /// Returns the budget of a gateway that may use `cores` of a processor core.
    pub fn new(cores: f64) -> Self {
        WorkBudget { heavy_rate_us_per_ms: 1000.0 * HEAVY_SHARE * cores, heavy: HashSet::new() }
    }

    /// Records that a connection has waited for its client or for an endpoint until `now_ms`, since its last charge
    /// or pause.
    pub fn rest(&self, meter: &mut WorkMeter, now_ms: f64) {
        meter.pay_until(now_ms, self.share_us_per_ms(), ORDINARY_RATE_US_PER_MS);
    }

    /// Charges a connection, which has rested until `now_ms`, for `cost_us` of work. Returns how long the connection
    /// must pause before it does further work, in milliseconds; 0 for a connection within its burst.
    pub fn charge(&mut self, id: ConnectionId, meter: &mut WorkMeter, cost_us: f64, now_ms: f64) -> f64 {
        self.rest(meter, now_ms);
        self.add_cost(id, meter, cost_us)
    }

    /// Charges a connection, whose bytes have been waiting for the gateway since the last charge or pause, in the
    /// same way as [`WorkBudget::charge`].
    pub fn charge_backlog(
        &mut self, id: ConnectionId, meter: &mut WorkMeter, cost_us: f64, now_ms: f64,
    ) -> f64 {
        meter.pay_until(now_ms, self.share_us_per_ms(), 0.0);
        self.add_cost(id, meter, cost_us)
    }

    fn add_cost(&mut self, id: ConnectionId, meter: &mut WorkMeter, cost_us: f64) -> f64 {
        meter.debt_us += cost_us;
        if meter.debt_us <= BURST_US {
            self.heavy.remove(&id);
            return 0.0;
        }
        self.heavy.insert(id);
        let pause_ms = ((meter.debt_us - BURST_US) / self.share_us_per_ms()).min(MAX_PAUSE_MS);
        meter.paused_until_ms = meter.paid_until_ms + pause_ms;
        pause_ms
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.heavy.remove(&id);
    }

    /// Returns the number of heavy connections.
    pub fn heavy_count(&self) -> usize {
        self.heavy.len()
    }

    /// Returns the rate at which the pause of a heavy connection pays its debt: the heavy connections' share,
    /// divided by their number.
    fn share_us_per_ms(&self) -> f64 {
        self.heavy_rate_us_per_ms / self.heavy.len().max(1) as f64
    }
}
