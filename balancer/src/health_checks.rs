//! Active health checks, which bring load reports where responses carry none.
//!
//! Rule: each endpoint in use is checked at a fixed interval, within a budget that requests fill. Only the
//! load report of a health check counts: its outcome neither ejects nor readmits an endpoint.

use crate::endpoint_set::EndpointSet;
use crate::ids::EndpointId;
use crate::settings::{LoadReportDelivery, Settings};
use crate::token_budget::{TokenBudget, TokenRate};

/// Interval of health checks to an endpoint.
pub(crate) const HEALTH_CHECK_INTERVAL_MS: f64 = 1500.0;

/// Health checks may be this fraction of the requests, so that many gateways' checks don't load endpoints.
const HEALTH_CHECK_RATIO: f64 = 0.15;

/// The most health checks that may be sent at once.
const HEALTH_CHECK_BURST_COUNT: f64 = 10.0;

/// The health checks and their budget.
#[derive(Debug)]
pub(crate) struct HealthChecks {
    enabled: bool,
    budget: TokenBudget,
}

impl HealthChecks {
    /// Enabled where they are permitted and reports come with them alone.
    pub fn new(settings: &Settings) -> Self {
        let needed = settings.load_report_delivery == LoadReportDelivery::OnHealthCheck;
        HealthChecks {
            enabled: settings.health_checks_allowed && needed,
            budget: TokenBudget::new(TokenRate {
                tokens_per_request: HEALTH_CHECK_RATIO,
                burst_count: HEALTH_CHECK_BURST_COUNT,
            }),
        }
    }

    /// Whether health checks are sent at all.
    pub fn enabled(&self) -> bool {
        self.enabled
    }

    /// A request has arrived.
    pub fn deposit(&mut self) {
        self.budget.deposit();
    }

    /// The endpoints that are to be checked now.
    pub fn due(&mut self, now_ms: f64, endpoints: &mut EndpointSet) -> Vec<EndpointId> {
        let mut due = Vec::new();
        if !self.enabled {
            return due;
        }
        endpoints.for_each_in_use(|id, endpoint| {
            if endpoint.next_health_check_at_ms <= now_ms && self.budget.withdraw() {
                endpoint.next_health_check_at_ms = now_ms + HEALTH_CHECK_INTERVAL_MS;
                due.push(id);
            }
        });
        due
    }
}
