//! This gateway's share of the fleet's traffic, and the number of gateways that share an endpoint.
//!
//! Rule: the share is the gateway's own send rate divided by the sum of the reported throughput, smoothed,
//! and at least a quarter of an even share. The share is updated only while no quota is enforced, because
//! rejections lower the own rate, which would lower the next limit and lead to more rejections.

/// Number of gateways that share an endpoint. With more gateways, each of them learns little about each
/// endpoint, and one request in flight from each gateway already fills the endpoint.
pub(crate) const GATEWAYS_PER_ENDPOINT: f64 = 4.0;

/// Lower bound of the number of endpoints that a gateway uses on each side of the zone boundary.
pub(crate) const MIN_SUBSET_SIZE: f64 = 2.0;

/// Smoothing gain of the traffic share for a new sample.
const SHARE_GAIN: f64 = 0.01;

/// Divisor of the even share that gives the lower bound of a sample.
const MIN_SAMPLE_DIVISOR: f64 = 4.0;

/// This gateway's share of the fleet's traffic, from 0 to 1.
#[derive(Debug)]
pub(crate) struct TrafficShare {
    even_share: f64,
    own_share: f64,
}

impl TrafficShare {
    /// Creates an even share among `gateway_count` gateways.
    pub fn new(gateway_count: u32) -> Self {
        let even_share = 1.0 / f64::from(gateway_count);
        TrafficShare { even_share, own_share: even_share }
    }

    /// Returns the share of one gateway if all gateways had the same traffic.
    pub fn even_share(&self) -> f64 {
        self.even_share
    }

    /// Returns this gateway's smoothed share.
    pub fn own_share(&self) -> f64 {
        self.own_share
    }

    /// Returns 1 if the fleet has so few gateways that each of them has enough requests at every endpoint,
    /// and less the more gateways there are.
    pub fn visibility(&self) -> f64 {
        (GATEWAYS_PER_ENDPOINT * self.even_share).min(1.0)
    }

    /// Updates the share from this gateway's send rate and an estimate of the fleet's rate, both in
    /// requests per second.
    pub fn update(&mut self, own_per_s: f64, fleet_per_s: f64) {
        let sample = (own_per_s / fleet_per_s).clamp(self.even_share / MIN_SAMPLE_DIVISOR, 1.0);
        self.own_share += SHARE_GAIN * (sample - self.own_share);
    }
}
