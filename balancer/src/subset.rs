//! The subset: which of the eligible endpoints this gateway uses.
//!
//! Rule: a gateway uses a number of endpoints, by its share of the traffic, with which each endpoint has
//! about [`GATEWAYS_PER_ENDPOINT_COUNT`] gateways, and up to three times as many in a small fleet. New ones
//! come from a low-discrepancy sequence over all gateways, which uses endpoints evenly; surplus ones go at
//! random.

use crate::endpoint_set::EndpointSet;
use crate::ids::EndpointId;
use crate::slow_start::SlowStart;
use crate::traffic_share::{TrafficShare, GATEWAYS_PER_ENDPOINT_COUNT, MIN_SUBSET_COUNT};
use crate::zone::ZoneSide;
use oorandom::Rand64;

/// Where gateways see enough of every endpoint, an endpoint has 1 + this times the usual number of
/// gateways.
const SMALL_FLEET_SURPLUS_FACTOR: f64 = 2.0;

/// Step of the sequence from one gateway to the next: the golden ratio's fraction.
const GATEWAY_STEP_RATIO: f64 = 0.618_033_988_75;

/// Step of the sequence from one draw to the next: the fraction of the square root of 2.
const DRAW_STEP_RATIO: f64 = 0.414_213_562_37;

/// Chooses the endpoints of the subset, which itself is kept in [`EndpointSet`]: the state of the draws,
/// and which fraction of the requests of an endpoint in the subset comes from this gateway.
#[derive(Debug)]
pub(crate) struct SubsetSelector {
    gateway_index: u32,
    draw_count: f64,
    endpoint_share_ratio: f64,
}

impl SubsetSelector {
    /// No endpoint is in use yet.
    pub fn new(gateway_index: u32, gateway_count: u32) -> Self {
        SubsetSelector {
            gateway_index,
            draw_count: 0.0,
            endpoint_share_ratio: 1.0 / f64::from(gateway_count),
        }
    }

    /// The fraction of an endpoint's requests that one of its gateways sends it.
    pub fn endpoint_share_ratio(&self) -> f64 {
        self.endpoint_share_ratio
    }

    /// How many endpoints this gateway is to use on each side.
    pub fn target_count(traffic_share: &TrafficShare, eligible_count: usize) -> usize {
        let surplus = SMALL_FLEET_SURPLUS_FACTOR * traffic_share.visibility_ratio();
        let gateways_per_endpoint = GATEWAYS_PER_ENDPOINT_COUNT * (1.0 + surplus);
        let count = gateways_per_endpoint * eligible_count as f64 * traffic_share.traffic_share_ratio();
        count.max(MIN_SUBSET_COUNT).ceil() as usize
    }

    /// Takes one more endpoint into use, if there is one that slow start doesn't leave to others.
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
                slow_start.is_left_to_others(now_ms, endpoint, endpoints.eligible_count())
            })
        };
        let id = candidates.find(|id| !subset.contains(id) && !left_to_others(*id))?;
        endpoints.subset_mut().get_mut(side).push(id);
        Some(id)
    }

    /// Keeps enough endpoints in use that are neither ejected nor left to others, and those in slow start
    /// that this gateway shares; then updates [`Self::endpoint_share_ratio`] to the target count.
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

    /// An endpoint's requests come in equal shares from the gateways that use it.
    fn update_endpoint_share(
        &mut self, traffic_share: &TrafficShare, eligible_count: usize, target_count: usize,
    ) {
        let even_share_ratio = traffic_share.even_share_ratio();
        let endpoint_share_ratio = eligible_count as f64 * even_share_ratio / target_count as f64;
        self.endpoint_share_ratio = endpoint_share_ratio.clamp(even_share_ratio, 1.0);
    }

    /// Follows a changed list: drops at random what is more than the target, and replenishes the rest.
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

/// Takes the endpoints in slow start into use that this gateway shares.
fn add_shared_slow_starts(now_ms: f64, side: ZoneSide, endpoints: &mut EndpointSet, slow_start: &SlowStart) {
    let subset = endpoints.subset().get(side);
    let is_shared = |id: &EndpointId| {
        let endpoint = endpoints.get(*id);
        let slow_start_share_ratio = endpoint.and_then(|endpoint| {
            slow_start.slow_start_share_ratio(now_ms, endpoint, endpoints.eligible_count())
        });
        slow_start_share_ratio.is_some_and(|slow_start_share_ratio| slow_start_share_ratio > 0.0)
    };
    let eligible = endpoints.eligible().get(side).iter();
    let added: Vec<_> = eligible.filter(|id| is_shared(id) && !subset.contains(id)).copied().collect();
    endpoints.subset_mut().get_mut(side).extend(added);
}

/// How many endpoints of a side's subset are neither ejected nor left to others.
fn usable_count(now_ms: f64, side: ZoneSide, endpoints: &EndpointSet, slow_start: &SlowStart) -> usize {
    let eligible_count = endpoints.eligible_count();
    endpoints
        .of(endpoints.subset().get(side).iter())
        .filter(|endpoint| !slow_start.is_left_to_others(now_ms, endpoint, eligible_count))
        .filter(|endpoint| !endpoint.health.is_ejected())
        .count()
}
