//! Active health checks, which fetch load reports where responses don't carry any.
//!
//! Rule: each endpoint in use is checked at a fixed interval, within a budget that requests fill. Only the
//! load report of a health check is used: its outcome neither ejects nor readmits an endpoint.

use crate::endpoint_set::EndpointSet;
use crate::ids::EndpointId;
use crate::settings::{LoadReportDelivery, Settings};
use crate::token_budget::{TokenBudget, TokenRate};

/// Interval between two health checks of an endpoint.
pub(crate) const HEALTH_CHECK_INTERVAL_MS: f64 = 1500.0;

/// Upper bound of the mean number of health checks per request, apart from a burst, so that the checks of
/// many gateways don't overload endpoints.
const HEALTH_CHECK_RATIO: f64 = 0.15;

/// Largest number of health checks that may be sent at once.
const HEALTH_CHECK_BURST: f64 = 10.0;

/// The schedule of health checks, and their budget.
#[derive(Debug)]
pub(crate) struct HealthChecks {
    enabled: bool,
    budget: TokenBudget,
}

impl HealthChecks {
    /// Creates the rule; health checks are enabled if the deployment permits them and load reports come
    /// only with health checks.
    pub fn new(settings: &Settings) -> Self {
        let needed = settings.load_report_delivery == LoadReportDelivery::OnHealthCheck;
        HealthChecks {
            enabled: settings.health_checks_allowed && needed,
            budget: TokenBudget::new(TokenRate {
                tokens_per_request: HEALTH_CHECK_RATIO,
                burst: HEALTH_CHECK_BURST,
            }),
        }
    }

    pub fn enabled(&self) -> bool {
        self.enabled
    }

    /// Adds the share of one arrived request to the budget.
    pub fn deposit(&mut self) {
        self.budget.deposit();
    }

    /// Returns the endpoints whose health check is due and within the budget, and schedules their next
    /// checks.
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
