//! This gateway's share of the fleet's traffic, and how gateways share endpoints.
//!
//! Rule: the share is the gateway's own rate over the sum of reported throughput, smoothed, and at least a
//! quarter of an even share. It is learnt only while no quota binds: rejections lower the own rate, and
//! with it the next limit, and so on.

/// Number of gateways that share an endpoint. With more, each gateway learns little of each endpoint, and
/// one request in flight from each gateway already fills it.
pub(crate) const GATEWAYS_PER_ENDPOINT_COUNT: f64 = 4.0;

/// The least number of endpoints that a gateway uses on each side of the zone boundary.
pub(crate) const MIN_SUBSET_COUNT: f64 = 2.0;

/// Fraction of a new sample that enters the smoothed share.
const SHARE_GAIN_RATIO: f64 = 0.01;

/// A sample counts as the even share divided by this at least.
const MIN_SAMPLE_EVEN_DIVISOR: f64 = 4.0;

/// This gateway's share of the fleet's traffic, from 0 to 1.
#[derive(Debug)]
pub(crate) struct TrafficShare {
    even_share_ratio: f64,
    traffic_share_ratio: f64,
}

impl TrafficShare {
    /// An even share among `gateway_count` gateways.
    pub fn new(gateway_count: u32) -> Self {
        let even_share_ratio = 1.0 / f64::from(gateway_count);
        TrafficShare { even_share_ratio, traffic_share_ratio: even_share_ratio }
    }

    /// One gateway's share if all had the same traffic.
    pub fn even_share_ratio(&self) -> f64 {
        self.even_share_ratio
    }

    /// This gateway's share as learnt.
    pub fn traffic_share_ratio(&self) -> f64 {
        self.traffic_share_ratio
    }

    /// 1 in a fleet with few gateways, each of which sees enough of every endpoint; falls as gateways are
    /// added.
    pub fn visibility_ratio(&self) -> f64 {
        (GATEWAYS_PER_ENDPOINT_COUNT * self.even_share_ratio).min(1.0)
    }

    /// Learns from this gateway's own rate and an estimate of the fleet's, both in requests a second.
    pub fn learn(&mut self, own_per_s: f64, fleet_per_s: f64) {
        let sample_ratio =
            (own_per_s / fleet_per_s).clamp(self.even_share_ratio / MIN_SAMPLE_EVEN_DIVISOR, 1.0);
        self.traffic_share_ratio += SHARE_GAIN_RATIO * (sample_ratio - self.traffic_share_ratio);
    }
}
