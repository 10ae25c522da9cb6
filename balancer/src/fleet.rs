//! The endpoints, together with the rules that decide which endpoints are used and how much load each can
//! take.

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

/// Weight of the requests that other gateways have in flight relative to this gateway's own, once the load
/// of other gateways is known.
const KNOWN_FLEET_LOAD_WEIGHT: f64 = 1.0;

/// The endpoints, the rules for the subset in use and for slow start, and this gateway's traffic share.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Known endpoints, with indexes of the eligible ones and of those in use.
    pub endpoints: EndpointSet,
    /// Rule that chooses the subset of endpoints that this gateway uses.
    pub subset_selector: SubsetSelector,
    /// Rule that limits the requests to endpoints whose process has started recently.
    pub slow_start: SlowStart,
    /// This gateway's share of the fleet's traffic.
    pub traffic_share: TrafficShare,
    /// Weight of the endpoints' fleet load, from 0 to 1; 0 until the fleet load is known.
    pub fleet_load_weight: f64,
    /// Whether the weights of the endpoint list show the fleet load of endpoints.
    pub weights_reflect_load: bool,
    /// Zone of this gateway, in the gateway's own numbering.
    pub own_zone: u32,
    /// Shortest latency objective of all classes, in ms.
    pub shortest_objective_ms: f64,
}

impl Fleet {
    /// Creates a fleet without endpoints; `shortest_objective_ms` is the shortest latency objective of all
    /// classes.
    pub fn new(settings: &Settings, shortest_objective_ms: f64) -> Self {
        Fleet {
            endpoints: EndpointSet::default(),
            subset_selector: SubsetSelector::new(settings.gateway_index, settings.gateway_count),
            slow_start: SlowStart::new(settings),
            traffic_share: TrafficShare::new(settings.gateway_count),
            fleet_load_weight: if settings.weights_reflect_load { KNOWN_FLEET_LOAD_WEIGHT } else { 0.0 },
            weights_reflect_load: settings.weights_reflect_load,
            own_zone: settings.zone,
            shortest_objective_ms,
        }
    }

    /// Returns the side of the zone boundary that an endpoint is on.
    pub fn side_of(&self, endpoint: &Endpoint) -> ZoneSide {
        ZoneSide::of(endpoint.record.zone, self.own_zone)
    }

    /// Returns the target number of endpoints in the subset, for each side.
    pub fn subset_target_count(&self) -> usize {
        SubsetSelector::target_count(&self.traffic_share, self.endpoints.eligible_count())
    }

    /// Adds endpoints to the subset until enough of them are usable.
    pub fn replenish_subset(&mut self, now_ms: f64) {
        self.subset_selector.replenish(now_ms, &mut self.endpoints, &self.traffic_share, &self.slow_start);
    }

    /// Rebuilds the subset after a change of the endpoint list.
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

    /// Returns the time between this gateway's sends to an endpoint in slow start, in ms; 0 for a warm
    /// endpoint.
    pub fn slow_start_interval_ms(&self, now_ms: f64, endpoint: &Endpoint) -> f64 {
        let endpoint_share = self.subset_selector.endpoint_share();
        self.slow_start.send_interval_ms(now_ms, endpoint, &self.endpoints, endpoint_share)
    }

    /// Returns whether slow start leaves the endpoint to other gateways, so that this gateway sends no
    /// requests there.
    pub fn is_left_to_other_gateways(&self, now_ms: f64, endpoint: &Endpoint) -> bool {
        self.slow_start.is_left_to_other_gateways(now_ms, endpoint, self.endpoints.eligible_count())
    }

    /// Updates this gateway's share of the traffic from its send rate and the reported throughput.
    pub fn update_traffic_share(&mut self, now_ms: f64) {
        let own_per_s: f64 = self.endpoints.in_use().map(|endpoint| endpoint.send_rate.per_s(now_ms)).sum();
        let reported_per_s = self.endpoints.mean(|endpoint| endpoint.load.last_report.throughput_per_s);
        let Some(mean_per_s) = reported_per_s.filter(|mean_per_s| *mean_per_s > 0.0) else { return };
        self.traffic_share.update(own_per_s, mean_per_s * self.endpoints.eligible_count() as f64);
        if self.subset_target_count() > self.endpoints.subset().local.len() {
            self.replenish_subset(now_ms);
        }
    }

    /// Applies a load report of an endpoint. The fleet load counts as known from the first report that
    /// shows it.
    pub fn apply_report(&mut self, id: EndpointId, report: LoadReport) {
        let mean_capacity_per_s = self.endpoints.mean(|endpoint| endpoint.load.capacity_per_s);
        let queue_shows_fleet_load = !self.weights_reflect_load;
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let shows_fleet_load = endpoint.load.apply_report(
            report,
            mean_capacity_per_s,
            self.shortest_objective_ms,
            queue_shows_fleet_load,
        );
        if shows_fleet_load {
            self.fleet_load_weight = KNOWN_FLEET_LOAD_WEIGHT;
        }
    }
}
