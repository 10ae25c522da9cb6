//! Tenant rate limits.
//!
//! Rule: in a full fleet, a tenant whose recent average rate is above its quota, times this gateway's share
//! of the traffic, is admitted with the probability limit / rate. So a bursting tenant keeps its own share.
//! While the fleet has capacity nothing is rejected: that would gain nothing.
//!
//! Source: "Teaching Abusive Users a Lesson with Recent Average Rate Limiters".

use crate::decaying::DecayingRate;
use crate::settings::Tenant;
use oorandom::Rand64;

/// Retry-After is the time in which the rate decays to the limit, times 1 to 1 + this.
const RETRY_AFTER_JITTER_RATIO: f64 = 0.5;

/// A tenant's quota and its recent average rate at this gateway.
#[derive(Debug)]
struct TenantRate {
    quota_per_s: f64,
    rate: DecayingRate,
}

/// The tenants' quotas and rates.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    by_tenant: Vec<TenantRate>,
}

/// A request that is checked against its tenant's limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitedRequest {
    /// When it arrived.
    pub now_ms: f64,
    /// Index of its tenant in the settings.
    pub tenant: usize,
    /// This gateway's share of the fleet's traffic, from 0 to 1.
    pub traffic_share_ratio: f64,
    /// The fleet is full: only then do limits bind.
    pub fleet_is_full: bool,
}

/// What the limiter says of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RateLimit {
    /// Its tenant is within its limit, or the limit doesn't bind.
    Within,
    /// Its tenant is over its limit.
    Exceeded {
        /// When the client should retry, in ms from now.
        retry_after_ms: f64,
    },
}

impl RateLimiter {
    /// No tenant has sent anything yet.
    pub fn new(tenants: &[Tenant]) -> Self {
        let by_tenant = tenants
            .iter()
            .map(|tenant| TenantRate { quota_per_s: tenant.quota_per_s, rate: DecayingRate::default() })
            .collect();
        RateLimiter { by_tenant }
    }

    /// Whether a tenant is known.
    pub fn knows(&self, tenant: usize) -> bool {
        tenant < self.by_tenant.len()
    }

    /// Counts a request for its tenant, and says whether the tenant's limit rejects it.
    pub fn check(&mut self, request: &LimitedRequest, rng: &mut Rand64) -> RateLimit {
        let LimitedRequest { now_ms, tenant, traffic_share_ratio, fleet_is_full } = *request;
        let Some(TenantRate { quota_per_s, rate }) = self.by_tenant.get_mut(tenant) else {
            return RateLimit::Within;
        };
        rate.record(now_ms);
        let rate_per_s = rate.per_s(now_ms);
        let limit_per_s = *quota_per_s * traffic_share_ratio;
        if *quota_per_s <= 0.0 || rate_per_s <= limit_per_s || !fleet_is_full {
            return RateLimit::Within;
        }
        if rng.rand_float() < limit_per_s / rate_per_s {
            return RateLimit::Within;
        }
        let recovery_ms = DecayingRate::decay_time_ms(rate_per_s, limit_per_s);
        let jitter_ratio = RETRY_AFTER_JITTER_RATIO * rng.rand_float();
        RateLimit::Exceeded { retry_after_ms: recovery_ms * (1.0 + jitter_ratio) }
    }
}
