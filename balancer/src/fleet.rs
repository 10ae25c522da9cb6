//! The endpoints together with the rules that decide which of them are used and how much each can carry.

use crate::endpoint::Endpoint;
use crate::endpoint_set::EndpointSet;
use crate::event::LoadReport;
use crate::ids::EndpointId;
use crate::settings::Settings;
use crate::slow_start::SlowStart;
use crate::subset::SubsetSelector;
use crate::traffic_share::TrafficShare;
use crate::zone::ZoneSide;
use oorandom::Rand64;

/// Weight of other gateways' requests in flight relative to own ones, once they are known.
const KNOWN_FLEET_LOAD_WEIGHT: f64 = 1.0;

/// The endpoints, the subset in use, slow start and this gateway's share of the traffic.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// The endpoints, indexed by whether they are eligible and in use.
    pub endpoints: EndpointSet,
    /// How this gateway chooses those that it uses.
    pub subset_selector: SubsetSelector,
    /// How much an endpoint gets whose process has just started.
    pub slow_start: SlowStart,
    /// This gateway's share of the fleet's traffic.
    pub traffic_share: TrafficShare,
    /// How much the fleet load of endpoints counts, from 0 to 1: 0 until it is known.
    pub fleet_load_weight: f64,
    /// The list's weights tell the fleet load of endpoints.
    pub weights_reflect_load: bool,
    /// This gateway's zone.
    pub own_zone: u32,
    /// The shortest latency objective of all classes, in ms.
    pub objective_ms: f64,
}

impl Fleet {
    /// A fleet without endpoints; `objective_ms` is the shortest latency objective.
    pub fn new(settings: &Settings, objective_ms: f64) -> Self {
        Fleet {
            endpoints: EndpointSet::default(),
            subset_selector: SubsetSelector::new(settings.gateway_index, settings.gateway_count),
            slow_start: SlowStart::new(settings),
            traffic_share: TrafficShare::new(settings.gateway_count),
            fleet_load_weight: if settings.weights_reflect_load { KNOWN_FLEET_LOAD_WEIGHT } else { 0.0 },
            weights_reflect_load: settings.weights_reflect_load,
            own_zone: settings.zone,
            objective_ms,
        }
    }

    /// On which side of the zone boundary an endpoint is.
    pub fn side_of(&self, endpoint: &Endpoint) -> ZoneSide {
        ZoneSide::of(endpoint.record.zone, self.own_zone)
    }

    /// How many endpoints this gateway is to use on each side.
    pub fn subset_target_count(&self) -> usize {
        SubsetSelector::target_count(&self.traffic_share, self.endpoints.eligible_count())
    }

    /// Keeps enough usable endpoints in the subset.
    pub fn replenish_subset(&mut self, now_ms: f64) {
        self.subset_selector.replenish(now_ms, &mut self.endpoints, &self.traffic_share, &self.slow_start);
    }

    /// Follows a changed list of endpoints.
    pub fn rebuild_subset(&mut self, now_ms: f64, rng: &mut Rand64) {
        self.subset_selector.apply_update(
            now_ms,
            self.own_zone,
            &mut self.endpoints,
            &self.traffic_share,
            &self.slow_start,
            rng,
        );
    }

    /// The time between this gateway's sends to an endpoint in slow start, in ms; 0 for a warm one.
    pub fn slow_start_interval_ms(&self, now_ms: f64, endpoint: &Endpoint) -> f64 {
        let endpoint_share_ratio = self.subset_selector.endpoint_share_ratio();
        self.slow_start.send_interval_ms(now_ms, endpoint, &self.endpoints, endpoint_share_ratio)
    }

    /// Whether an endpoint in slow start is left to other gateways.
    pub fn is_left_to_others(&self, now_ms: f64, endpoint: &Endpoint) -> bool {
        self.slow_start.is_left_to_others(now_ms, endpoint, self.endpoints.eligible_count())
    }

    /// Learns this gateway's share of the traffic from its own rate and the reported throughput.
    pub fn learn_traffic_share(&mut self, now_ms: f64) {
        let own_per_s: f64 = self.endpoints.in_use().map(|endpoint| endpoint.send_rate.per_s(now_ms)).sum();
        let reported_per_s = self.endpoints.mean(|endpoint| endpoint.load.last_report.throughput_per_s);
        let Some(mean_per_s) = reported_per_s.filter(|mean_per_s| *mean_per_s > 0.0) else { return };
        self.traffic_share.learn(own_per_s, mean_per_s * self.endpoints.eligible_count() as f64);
        if self.subset_target_count() > self.endpoints.subset().local.len() {
            self.replenish_subset(now_ms);
        }
    }

    /// Takes in a load report of an endpoint.
    pub fn apply_report(&mut self, id: EndpointId, report: LoadReport) {
        let mean_capacity_per_s = self.endpoints.mean(|endpoint| endpoint.load.capacity_per_s);
        let queue_shows_fleet_load = !self.weights_reflect_load;
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let shows_fleet_load = endpoint.load.apply_report(
            report,
            mean_capacity_per_s,
            self.objective_ms,
            queue_shows_fleet_load,
        );
        if shows_fleet_load {
            self.fleet_load_weight = KNOWN_FLEET_LOAD_WEIGHT;
        }
    }
}
