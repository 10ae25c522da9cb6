//! Slow start: limits the requests to endpoints whose process has started recently.
//!
//! Rule: an endpoint's capacity grows linearly from the deployment's minimum ratio to 1 during slow start.
//! Meanwhile this gateway sends the endpoint at most the following rate, in requests per second:
//!
//! ```text
//! allowed = (by_age + min(reported, by_age)) * own_slow_start_share
//!           * min(OVERLOAD_MULTIPLE_FRACTION * overload_multiple, 1)
//! ```
//!
//! - `by_age` is the mean capacity of the fleet's endpoints (without load reports: the mean rate of requests
//!   sent to an endpoint), at least 1 request per second, times the endpoint's listed size relative to the
//!   mean, times the endpoint's warm-up ratio.
//! - `reported` is the capacity that the endpoint's own load reports show, and 0 before the first report. The
//!   term is added because an endpoint's reports prove that it can serve that rate; it at most doubles what
//!   the age alone allows.
//!
//! Only a few gateways, whose positions follow the endpoint's position on a hash ring, share an endpoint in
//! slow start; the other gateways send it nothing until it is warm. The number of sharing gateways doesn't
//! depend on the mean number of gateways per endpoint, because that mean grows when a whole zone restarts.

use crate::endpoint::Endpoint;
use crate::endpoint_set::EndpointSet;
use crate::settings::Settings;
use crate::traffic_share::{GATEWAYS_PER_ENDPOINT, MIN_SUBSET_SIZE};

/// Fraction of `overload_multiple`, the multiple of its capacity at which an endpoint fails, by which the
/// allowed rate is scaled; the scale is at most 1. The rest is a margin for slower endpoints, connection
/// handshakes and random variation.
const OVERLOAD_MULTIPLE_FRACTION: f64 = 0.25;

/// Number of gateways that share an endpoint in slow start, as a multiple of those that share a warm
/// endpoint.
const SHARING_GATEWAYS_FACTOR: f64 = 3.0;

/// Number of gateways that share an endpoint in slow start in a fleet so small that subsets have their
/// minimum size, as a multiple of the gateways that a warm endpoint has in such a fleet.
const SMALL_FLEET_FACTOR: f64 = 2.0;

/// Multiplier that spreads distances on the hash ring (Fibonacci hashing).
const RING_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Lower bound of the allowed rate, in requests per second, so that the send interval stays finite.
const MIN_ALLOWED_PER_S: f64 = 1e-3;

/// The slow start settings of the deployment, and this gateway's position among the gateways.
#[derive(Debug)]
pub(crate) struct SlowStart {
    min_ratio: f64,
    duration_ms: f64,
    overload_multiple: f64,
    gateway_index: u32,
    gateway_count: u32,
}

impl SlowStart {
    /// Creates the rule from the deployment's settings.
    pub fn new(settings: &Settings) -> Self {
        SlowStart {
            min_ratio: settings.slow_start_min_ratio,
            duration_ms: settings.slow_start_ms,
            overload_multiple: settings.slow_start_overload_multiple,
            gateway_index: settings.gateway_index,
            gateway_count: settings.gateway_count,
        }
    }

    /// Returns the duration of slow start, in ms.
    pub fn duration_ms(&self) -> f64 {
        self.duration_ms
    }

    /// Returns the fraction of its full capacity that an endpoint has reached according to its age, from 0
    /// to 1.
    pub fn warm_up_ratio(&self, now_ms: f64, endpoint: &Endpoint) -> f64 {
        let age_ms =
            endpoint.slow_start_since_ms().map_or(f64::INFINITY, |since_ms| (now_ms - since_ms).max(0.0));
        let elapsed_ratio = (age_ms / self.duration_ms.max(1.0)).min(1.0);
        self.min_ratio + (1.0 - self.min_ratio) * elapsed_ratio
    }

    /// Returns whether an endpoint is in slow start.
    pub fn is_warming_up(&self, now_ms: f64, endpoint: &Endpoint) -> bool {
        self.warm_up_ratio(now_ms, endpoint) < 1.0
    }

    /// Returns this gateway's share of the rate that an endpoint in slow start is allowed, from 0 to 1; 0
    /// if the endpoint is left to other gateways, and `None` for a warm endpoint. All gateways compute
    /// consistent shares, because the inputs are known to all of them.
    pub fn own_slow_start_share(
        &self, now_ms: f64, endpoint: &Endpoint, eligible_count: usize,
    ) -> Option<f64> {
        if !self.is_warming_up(now_ms, endpoint) {
            return None;
        }
        let gateway_count = f64::from(self.gateway_count);
        let for_small_fleet =
            SMALL_FLEET_FACTOR * MIN_SUBSET_SIZE * gateway_count / eligible_count.max(1) as f64;
        let sharing_count =
            (SHARING_GATEWAYS_FACTOR * GATEWAYS_PER_ENDPOINT).max(for_small_fleet).min(gateway_count);
        let distance = u64::from(self.gateway_index).wrapping_sub(endpoint.record.hash);
        let ring_position = distance.wrapping_mul(RING_MULTIPLIER) as f64 / 2f64.powi(64);
        if ring_position * gateway_count < sharing_count {
            Some(1.0 / sharing_count)
        } else {
            Some(0.0)
        }
    }

    /// Returns whether slow start leaves the endpoint to other gateways, so that this gateway sends no
    /// requests there.
    pub fn is_left_to_other_gateways(&self, now_ms: f64, endpoint: &Endpoint, eligible_count: usize) -> bool {
        self.own_slow_start_share(now_ms, endpoint, eligible_count) == Some(0.0)
    }

    /// Returns the time between this gateway's sends to an endpoint, in ms: the inverse of the allowed rate
    /// (see the formula in the module documentation), and at most the duration of slow start; 0 for a warm
    /// endpoint.
    ///
    /// `endpoint_share` is the fraction of an endpoint's requests that one of its gateways sends.
    pub fn send_interval_ms(
        &self, now_ms: f64, endpoint: &Endpoint, endpoints: &EndpointSet, endpoint_share: f64,
    ) -> f64 {
        let Some(own_share) = self.own_slow_start_share(now_ms, endpoint, endpoints.eligible_count()) else {
            return 0.0;
        };
        // Without load reports, the mean rate of requests sent to an endpoint stands in for the mean
        // capacity.
        let mean_sent_per_s =
            endpoints.mean(|endpoint| Some(endpoint.send_rate.per_s(now_ms) / endpoint_share)).unwrap_or(0.0);
        let mean_capacity_per_s =
            endpoints.mean(|endpoint| endpoint.load.capacity_per_s).unwrap_or(mean_sent_per_s);
        let by_age_per_s = mean_capacity_per_s.max(1.0)
            * listed_size_ratio(endpoint, endpoints)
            * self.warm_up_ratio(now_ms, endpoint);
        let reported_per_s = endpoint.load.capacity_per_s.unwrap_or(0.0).min(by_age_per_s);
        let share_per_s = (by_age_per_s + reported_per_s) * own_share;
        let allowed_per_s = share_per_s * (OVERLOAD_MULTIPLE_FRACTION * self.overload_multiple).min(1.0);
        (1000.0 / allowed_per_s.max(MIN_ALLOWED_PER_S)).min(self.duration_ms)
    }
}

/// Returns the endpoint's listed size relative to the mean; 1 if the endpoint's size is not listed.
fn listed_size_ratio(endpoint: &Endpoint, endpoints: &EndpointSet) -> f64 {
    let listed_size = |endpoint: &Endpoint| {
        let size = endpoint.load.idle_weight.max(endpoint.record.weight);
        Some(size).filter(|size| *size > 0.0 && size.is_finite())
    };
    let size = listed_size(endpoint);
    size.zip(endpoints.mean(listed_size)).map_or(1.0, |(size, mean)| size / mean)
}
