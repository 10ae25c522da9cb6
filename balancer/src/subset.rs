//! Subsetting: the choice of the eligible endpoints that this gateway uses.
//!
//! Rule: a gateway uses as many endpoints, in proportion to its share of the traffic, as give each endpoint
//! about [`GATEWAYS_PER_ENDPOINT`] gateways, and up to three times as many in a small fleet. Additional
//! endpoints come from a low-discrepancy sequence over all gateways, so that all endpoints are used evenly;
//! surplus endpoints are removed at random.

use crate::endpoint_set::EndpointSet;
use crate::ids::EndpointId;
use crate::slow_start::SlowStart;
use crate::traffic_share::{TrafficShare, GATEWAYS_PER_ENDPOINT, MIN_SUBSET_SIZE};
use crate::zone::ZoneSide;
use oorandom::Rand64;

/// Additional gateways per endpoint in a fleet with few gateways, as a multiple of
/// [`GATEWAYS_PER_ENDPOINT`].
const SMALL_FLEET_SURPLUS_FACTOR: f64 = 2.0;

/// Step of the low-discrepancy sequence from one gateway to the next: the fractional part of the golden
/// ratio.
const GATEWAY_STEP_RATIO: f64 = 0.618_033_988_75;

/// Step of the low-discrepancy sequence from one draw to the next: the fractional part of the square root
/// of 2.
const DRAW_STEP_RATIO: f64 = 0.414_213_562_37;

/// The rule that chooses the endpoints of the subset, which [`EndpointSet`] stores. The state consists of
/// the position in the sequence, and of the fraction of an endpoint's requests that this gateway sends.
#[derive(Debug)]
pub(crate) struct SubsetSelector {
    gateway_index: u32,
    draw_count: f64,
    endpoint_share: f64,
}

impl SubsetSelector {
    /// Creates the rule before the first endpoint is used.
    pub fn new(gateway_index: u32, gateway_count: u32) -> Self {
        SubsetSelector { gateway_index, draw_count: 0.0, endpoint_share: 1.0 / f64::from(gateway_count) }
    }

    /// Returns the fraction of an endpoint's requests that each gateway with this endpoint in its subset
    /// sends.
    pub fn endpoint_share(&self) -> f64 {
        self.endpoint_share
    }

    /// Returns the target number of endpoints in the subset, for each side.
    pub fn target_count(traffic_share: &TrafficShare, eligible_count: usize) -> usize {
        let surplus = SMALL_FLEET_SURPLUS_FACTOR * traffic_share.visibility();
        let gateways_per_endpoint = GATEWAYS_PER_ENDPOINT * (1.0 + surplus);
        let count = gateways_per_endpoint * eligible_count as f64 * traffic_share.own_share();
        count.max(MIN_SUBSET_SIZE).ceil() as usize
    }

    /// Adds the next eligible endpoint of the sequence to the subset, and returns its id. Skips endpoints
    /// that slow start leaves to other gateways; returns `None` if no endpoint is left.
    fn grow(
        &mut self, now_ms: f64, side: ZoneSide, endpoints: &mut EndpointSet, slow_start: &SlowStart,
    ) -> Option<EndpointId> {
        self.draw_count += 1.0;
        let eligible = endpoints.eligible().get(side);
        let subset = endpoints.subset().get(side);
        let gateway_offset = f64::from(self.gateway_index) * GATEWAY_STEP_RATIO;
        let position_ratio = (gateway_offset + self.draw_count * DRAW_STEP_RATIO).fract();
        let first = (position_ratio * eligible.len() as f64) as usize;
        let mut candidates = (0..eligible.len()).map(|step| eligible[(first + step) % eligible.len()]);
        let left_to_others = |id: EndpointId| {
            endpoints.get(id).is_some_and(|endpoint| {
                slow_start.is_left_to_other_gateways(now_ms, endpoint, endpoints.eligible_count())
            })
        };
        let id = candidates.find(|id| !subset.contains(id) && !left_to_others(*id))?;
        endpoints.subset_mut().get_mut(side).push(id);
        Some(id)
    }

    /// Adds endpoints to the subset: those in slow start that this gateway shares, and others until enough
    /// are neither ejected nor left to other gateways. Then updates [`Self::endpoint_share`] for the target
    /// count.
    pub fn replenish(
        &mut self, now_ms: f64, endpoints: &mut EndpointSet, traffic_share: &TrafficShare,
        slow_start: &SlowStart,
    ) {
        let target_count = Self::target_count(traffic_share, endpoints.eligible_count());
        for side in ZoneSide::BOTH {
            if target_count >= endpoints.eligible().get(side).len() {
                endpoints.use_all_eligible(side);
                continue;
            }
            add_shared_slow_starts(now_ms, side, endpoints, slow_start);
            let mut usable_count = usable_count(now_ms, side, endpoints, slow_start);
            while usable_count < target_count && self.grow(now_ms, side, endpoints, slow_start).is_some() {
                usable_count += 1;
            }
        }
        self.update_endpoint_share(traffic_share, endpoints.eligible_count(), target_count);
    }

    /// Updates the endpoint share, on the assumption that the gateways of an endpoint send equal shares of
    /// its requests.
    fn update_endpoint_share(
        &mut self, traffic_share: &TrafficShare, eligible_count: usize, target_count: usize,
    ) {
        let even_share = traffic_share.even_share();
        let endpoint_share = eligible_count as f64 * even_share / target_count as f64;
        self.endpoint_share = endpoint_share.clamp(even_share, 1.0);
    }

    /// Updates the subset after a change of the endpoint list: removes surplus endpoints at random, and
    /// replenishes.
    pub fn apply_update(
        &mut self, now_ms: f64, own_zone: u32, endpoints: &mut EndpointSet, traffic_share: &TrafficShare,
        slow_start: &SlowStart, rng: &mut Rand64,
    ) {
        endpoints.rebuild(own_zone);
        let target_count = Self::target_count(traffic_share, endpoints.eligible_count());
        for side in ZoneSide::BOTH {
            let subset = endpoints.subset_mut().get_mut(side);
            while subset.len() > target_count {
                subset.swap_remove(rng.rand_range(0..subset.len() as u64) as usize);
            }
        }
        self.replenish(now_ms, endpoints, traffic_share, slow_start);
    }
}

/// Adds the endpoints in slow start that this gateway shares to the subset of a side.
fn add_shared_slow_starts(now_ms: f64, side: ZoneSide, endpoints: &mut EndpointSet, slow_start: &SlowStart) {
    let subset = endpoints.subset().get(side);
    let is_shared = |id: &EndpointId| {
        let endpoint = endpoints.get(*id);
        let own_share = endpoint.and_then(|endpoint| {
            slow_start.own_slow_start_share(now_ms, endpoint, endpoints.eligible_count())
        });
        own_share.is_some_and(|own_share| own_share > 0.0)
    };
    let eligible = endpoints.eligible().get(side).iter();
    let added: Vec<_> = eligible.filter(|id| is_shared(id) && !subset.contains(id)).copied().collect();
    endpoints.subset_mut().get_mut(side).extend(added);
}

/// Returns how many endpoints in the subset of a side are neither ejected nor left to other gateways.
fn usable_count(now_ms: f64, side: ZoneSide, endpoints: &EndpointSet, slow_start: &SlowStart) -> usize {
    let eligible_count = endpoints.eligible_count();
    endpoints
        .get_all(endpoints.subset().get(side).iter())
        .filter(|endpoint| !slow_start.is_left_to_other_gateways(now_ms, endpoint, eligible_count))
        .filter(|endpoint| !endpoint.health.is_ejected())
        .count()
}
