//! The work budget: how much of the gateway's processor time one client connection may take.
//!
//! This module does no I/O and has no clock or threads. The `listener` charges each connection for what it
//! reads and handles, at fixed costs. A connection may always do a burst of work. A connection that has done
//! more is heavy, and the heavy connections together may take a fixed share of the processor: each of them
//! pauses before it reads on, until its debt is paid. Clients that send one request at a time never get there,
//! so that their requests do not wait behind those of a flooding client.
use std::collections::HashSet;

/// The processor time of one request: reading, deciding, forwarding and responding.
pub const REQUEST_COST_US: f64 = 50.0;
/// The processor time of one read from a connection, with the wait for its bytes.
pub const READ_COST_US: f64 = 40.0;
/// The work that a connection may do beyond its share at once: some hundred requests.
const BURST_US: f64 = 6_400.0;
/// The share of the processor that all heavy connections may take together.
const HEAVY_SHARE: f64 = 0.05;
/// The longest pause. A client that is not read for longer could not be told of a timeout in time.
const MAX_PAUSE_MS: f64 = 500.0;

/// The number of a connection, chosen by the caller.
pub type ConnectionId = u64;

/// The work that a connection has done beyond its share. All times are milliseconds on one clock that never
/// goes back.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkMeter {
    debt_us: f64,
    charged_at_ms: f64,
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

    /// Charges a connection for `cost_us` of work at `now_ms`. Returns how long the connection must pause
    /// before it does further work, in milliseconds; 0 for a connection within its burst.
    pub fn charge(&mut self, id: ConnectionId, meter: &mut WorkMeter, cost_us: f64, now_ms: f64) -> f64 {
        let rate_us_per_ms = self.rate_us_per_ms();
        let paid_us = (now_ms - meter.charged_at_ms).max(0.0) * rate_us_per_ms;
        meter.debt_us = (meter.debt_us - paid_us).max(0.0) + cost_us;
        meter.charged_at_ms = now_ms;
        if meter.debt_us <= BURST_US {
            self.heavy.remove(&id);
            return 0.0;
        }
        self.heavy.insert(id);
        ((meter.debt_us - BURST_US) / self.rate_us_per_ms()).min(MAX_PAUSE_MS)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.heavy.remove(&id);
    }

    /// Returns the number of heavy connections.
    pub fn heavy_count(&self) -> usize {
        self.heavy.len()
    }

    /// Returns the rate at which a connection's debt is paid: the heavy connections' share, divided by their
    /// number.
    fn rate_us_per_ms(&self) -> f64 {
        self.heavy_rate_us_per_ms / self.heavy.len().max(1) as f64
    }
}
