//! This gateway's part of the fleet's traffic, and how gateways share endpoints.
//!
//! Rule: the part is the gateway's own rate over the sum of reported throughput, smoothed, from an even
//! part on. It is learnt only while no quota binds: rejections lower the own rate, and with it the next
//! limit, and so on.

/// Number of gateways that share an endpoint. With more, each gateway learns little of each endpoint, and one
/// request in flight from each gateway already fills it.
pub(crate) const GATEWAYS_PER_ENDPOINT_COUNT: f64 = 4.0;

/// The least number of endpoints that a gateway uses on each side of the zone boundary.
pub(crate) const MIN_SUBSET_COUNT: f64 = 2.0;

/// Part of a new sample that enters the smoothed part of the traffic.
const SHARE_GAIN_RATIO: f64 = 0.01;

/// A sample counts as the even part divided by this at least.
const MIN_SAMPLE_EVEN_DIVISOR: f64 = 4.0;

/// This gateway's part of the fleet's traffic, from 0 to 1.
#[derive(Debug)]
pub(crate) struct TrafficShare {
    even_ratio: f64,
    ratio: f64,
}

impl TrafficShare {
    /// An even part among `gateway_count` gateways.
    pub fn new(gateway_count: u32) -> Self {
        let even_ratio = 1.0 / f64::from(gateway_count);
        TrafficShare { even_ratio, ratio: even_ratio }
    }

    /// One gateway's part were all alike.
    pub fn even_ratio(&self) -> f64 {
        self.even_ratio
    }

    /// This gateway's part as learnt.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// 1 where the gateways are so few that each sees enough of every endpoint, and less the more there are.
    pub fn visibility_ratio(&self) -> f64 {
        (GATEWAYS_PER_ENDPOINT_COUNT * self.even_ratio).min(1.0)
    }

    /// Learns from this gateway's own rate and an estimate of the fleet's, both in requests a second.
    pub fn learn(&mut self, own_per_s: f64, fleet_per_s: f64) {
        let sample_ratio = (own_per_s / fleet_per_s).clamp(self.even_ratio / MIN_SAMPLE_EVEN_DIVISOR, 1.0);
        self.ratio += SHARE_GAIN_RATIO * (sample_ratio - self.ratio);
    }
}
