//! Slow start: how much an endpoint gets whose process has just started.
//!
//! Rule: an endpoint's capacity grows linearly from the deployment's minimum ratio to 1 over the slow start
//! time. Meanwhile this gateway sends it at most, in requests a second,
//!
//! ```text
//! allowed = (by_age + min(reported, by_age)) * slow_start_share_ratio
//!           * min(OVERLOAD_MARGIN_RATIO * overload_multiple, 1)
//! ```
//!
//! where `by_age` is the mean capacity of the fleet's endpoints (without load reports: the mean rate that
//! they are sent), at least 1 request a second, times the endpoint's listed size relative to the mean, times
//! its warm-up ratio; and `reported` is the capacity that its own load reports show, 0 before the first
//! report. The reported capacity is added because an endpoint that reports has shown that it carries that
//! rate; it at most doubles what the age alone allows.
//!
//! Only some gateways, next to the endpoint on a ring that all know, share it; the others send it nothing
//! until it is warm. The mean number of gateways that use an endpoint cannot be the divisor: it grows
//! when a whole zone restarts.

use crate::endpoint::Endpoint;
use crate::endpoint_set::EndpointSet;
use crate::settings::Settings;
use crate::traffic_share::{GATEWAYS_PER_ENDPOINT_COUNT, MIN_SUBSET_COUNT};

/// The allowed rate is scaled by this fraction of `overload_multiple`, the multiple of its capacity at
/// which an endpoint fails, and by 1 at most. The rest of the multiple is a margin for slower endpoints,
/// connection handshakes and random variation.
const OVERLOAD_MARGIN_RATIO: f64 = 0.25;

/// Gateways that share an endpoint in slow start, as a multiple of those that share a warm one.
const SHARING_GATEWAYS_FACTOR: f64 = 3.0;

/// The same in a fleet so small that subsets have their minimum size, as a multiple of the gateways that an
/// endpoint then has.
const SMALL_FLEET_FACTOR: f64 = 2.0;

/// Multiplier that spreads ring distances (Fibonacci hashing).
const RING_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Lower bound of the allowed rate, in requests a second: the send interval must stay finite.
const MIN_ALLOWED_PER_S: f64 = 1e-3;

/// The rule's settings.
#[derive(Debug)]
pub(crate) struct SlowStart {
    min_ratio: f64,
    duration_ms: f64,
    overload_multiple: f64,
    gateway_index: u32,
    gateway_count: u32,
}

impl SlowStart {
    /// The rule as the deployment sets it.
    pub fn new(settings: &Settings) -> Self {
        SlowStart {
            min_ratio: settings.slow_start_min_ratio,
            duration_ms: settings.slow_start_ms,
            overload_multiple: settings.slow_start_overload_multiple,
            gateway_index: settings.gateway_index,
            gateway_count: settings.gateway_count,
        }
    }

    /// The duration of slow start, in ms.
    pub fn duration_ms(&self) -> f64 {
        self.duration_ms
    }

    /// The fraction of its capacity that an endpoint can be trusted with, by its age.
    pub fn warm_up_ratio(&self, now_ms: f64, endpoint: &Endpoint) -> f64 {
        let age_ms =
            endpoint.slow_start_since_ms().map_or(f64::INFINITY, |since_ms| (now_ms - since_ms).max(0.0));
        let elapsed_ratio = (age_ms / self.duration_ms.max(1.0)).min(1.0);
        self.min_ratio + (1.0 - self.min_ratio) * elapsed_ratio
    }

    /// Whether an endpoint is in slow start.
    pub fn is_warming_up(&self, now_ms: f64, endpoint: &Endpoint) -> bool {
        self.warm_up_ratio(now_ms, endpoint) < 1.0
    }

    /// This gateway's share of the rate that an endpoint in slow start is allowed, 0 where it is left to
    /// others; `None` for a warm endpoint. Worked out from numbers that all gateways know.
    pub fn slow_start_share_ratio(
        &self, now_ms: f64, endpoint: &Endpoint, eligible_count: usize,
    ) -> Option<f64> {
        if !self.is_warming_up(now_ms, endpoint) {
            return None;
        }
        let gateway_count = f64::from(self.gateway_count);
        let for_small_fleet =
            SMALL_FLEET_FACTOR * MIN_SUBSET_COUNT * gateway_count / eligible_count.max(1) as f64;
        let sharing_count =
            (SHARING_GATEWAYS_FACTOR * GATEWAYS_PER_ENDPOINT_COUNT).max(for_small_fleet).min(gateway_count);
        let distance = u64::from(self.gateway_index).wrapping_sub(endpoint.record.hash);
        let ring_position = distance.wrapping_mul(RING_MULTIPLIER) as f64 / 2f64.powi(64);
        if ring_position * gateway_count < sharing_count {
            Some(1.0 / sharing_count)
        } else {
            Some(0.0)
        }
    }

    /// Whether an endpoint in slow start is left to other gateways.
    pub fn is_left_to_others(&self, now_ms: f64, endpoint: &Endpoint, eligible_count: usize) -> bool {
        self.slow_start_share_ratio(now_ms, endpoint, eligible_count) == Some(0.0)
    }

    /// The time between this gateway's sends to an endpoint, in ms: the inverse of the allowed rate (see
    /// the module's formula), and at most the duration of slow start; 0 for a warm endpoint.
    ///
    /// `endpoint_share_ratio` is the fraction of an endpoint's requests that one of its gateways sends it.
    pub fn send_interval_ms(
        &self, now_ms: f64, endpoint: &Endpoint, endpoints: &EndpointSet, endpoint_share_ratio: f64,
    ) -> f64 {
        let Some(own_share_ratio) = self.slow_start_share_ratio(now_ms, endpoint, endpoints.eligible_count())
        else {
            return 0.0;
        };
        // Without load reports, the mean rate that endpoints are sent stands in for their capacity.
        let mean_sent_per_s = endpoints
            .mean(|endpoint| Some(endpoint.send_rate.per_s(now_ms) / endpoint_share_ratio))
            .unwrap_or(0.0);
        let mean_capacity_per_s =
            endpoints.mean(|endpoint| endpoint.load.capacity_per_s).unwrap_or(mean_sent_per_s);
        let by_age_per_s = mean_capacity_per_s.max(1.0)
            * listed_size_ratio(endpoint, endpoints)
            * self.warm_up_ratio(now_ms, endpoint);
        let reported_per_s = endpoint.load.capacity_per_s.unwrap_or(0.0).min(by_age_per_s);
        let share_per_s = (by_age_per_s + reported_per_s) * own_share_ratio;
        let allowed_per_s = share_per_s * (OVERLOAD_MARGIN_RATIO * self.overload_multiple).min(1.0);
        (1000.0 / allowed_per_s.max(MIN_ALLOWED_PER_S)).min(self.duration_ms)
    }
}

/// An endpoint's listed size relative to the mean; 1 where none is listed.
fn listed_size_ratio(endpoint: &Endpoint, endpoints: &EndpointSet) -> f64 {
    let listed_size = |endpoint: &Endpoint| {
        let size = endpoint.load.idle_weight.max(endpoint.record.weight);
        Some(size).filter(|size| *size > 0.0 && size.is_finite())
    };
    let size = listed_size(endpoint);
    size.zip(endpoints.mean(listed_size)).map_or(1.0, |(size, mean)| size / mean)
}
