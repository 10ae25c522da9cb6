//! Tenant rate limits.
//!
//! Rule: in a full fleet, a tenant whose recent average rate exceeds its limit (its quota times this
//! gateway's share of the traffic) is admitted with the probability limit / rate, so that a bursting tenant
//! keeps its quota. While the fleet has capacity no request is rejected, because a rejection would not free
//! any needed capacity.
//!
//! Source: "Teaching Abusive Users a Lesson with Recent Average Rate Limiters".

use crate::decaying::DecayingRate;
use crate::settings::Tenant;
use oorandom::Rand64;

/// Largest relative increase of Retry-After by jitter: the time in which the rate decays to the limit is
/// multiplied by a random factor from 1 to 1 + this value.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// The quota of a tenant, and the tenant's recent average rate at this gateway.
#[derive(Debug)]
struct TenantRate {
    quota_per_s: f64,
    rate: DecayingRate,
}

/// The quotas and rates of all tenants.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    by_tenant: Vec<TenantRate>,
}

/// A request to check against the limit of its tenant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitedRequest {
    /// Time at which the request arrived, in ms.
    pub now_ms: f64,
    /// Index of the request's tenant in the settings.
    pub tenant: usize,
    /// This gateway's share of the fleet's traffic, from 0 to 1.
    pub traffic_share: f64,
    /// Whether the fleet is full; limits are enforced only then.
    pub fleet_is_full: bool,
}

/// The result of a check against a tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RateLimit {
    /// The tenant is within its limit, or the limit is not enforced for this request.
    Within,
    /// The request is rejected, because its tenant is over its limit.
    Exceeded {
        /// Time after which the client should retry, in ms.
        retry_after_ms: f64,
    },
}

impl RateLimiter {
    /// Creates a limiter in which all rates are 0.
    pub fn new(tenants: &[Tenant]) -> Self {
        let by_tenant = tenants
            .iter()
            .map(|tenant| TenantRate { quota_per_s: tenant.quota_per_s, rate: DecayingRate::default() })
            .collect();
        RateLimiter { by_tenant }
    }

    /// Returns whether `tenant` is an index of a tenant in the settings.
    pub fn has_tenant(&self, tenant: usize) -> bool {
        tenant < self.by_tenant.len()
    }

    /// Records a request for its tenant, and returns whether the tenant's limit rejects the request.
    pub fn check(&mut self, request: &LimitedRequest, rng: &mut Rand64) -> RateLimit {
        let LimitedRequest { now_ms, tenant, traffic_share, fleet_is_full } = *request;
        let Some(TenantRate { quota_per_s, rate }) = self.by_tenant.get_mut(tenant) else {
            return RateLimit::Within;
        };
        rate.record(now_ms);
        let rate_per_s = rate.per_s(now_ms);
        let limit_per_s = *quota_per_s * traffic_share;
        if *quota_per_s <= 0.0 || rate_per_s <= limit_per_s || !fleet_is_full {
            return RateLimit::Within;
        }
        if rng.rand_float() < limit_per_s / rate_per_s {
            return RateLimit::Within;
        }
        let recovery_ms = DecayingRate::decay_time_ms(rate_per_s, limit_per_s);
        let jitter_ratio = RETRY_AFTER_JITTER * rng.rand_float();
        RateLimit::Exceeded { retry_after_ms: recovery_ms * (1.0 + jitter_ratio) }
    }
}
