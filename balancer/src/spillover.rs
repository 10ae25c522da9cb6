//! Cross-zone spillover: the fraction of the requests that is sent to other zones.
//!
//! Rule: requests stay in the gateway's own zone while an endpoint there has capacity, except for a
//! fraction that is adjusted by how much busier the own zone is than the others. A zone with more traffic
//! than its endpoints can serve thus sends the excess to other zones.

use crate::endpoint_set::EndpointSet;
use crate::fleet::Fleet;
use crate::settings::Settings;
use crate::zone::ZoneSide;

/// Spillover ratio before the load of the zones is known.
const INITIAL_SPILLOVER_RATIO: f64 = 0.3;

/// Upper bound of the spillover ratio.
const MAX_SPILLOVER_RATIO: f64 = 0.9;

/// Time in which an excess load of 1 in the own zone raises the spillover ratio by 1, in shortest latency
/// objectives.
const LEARNING_TIME_OBJECTIVES: f64 = 3.75;

/// The own zone is preferred while it has an endpoint with a saturation below this limit. Other zones count
/// as this busy until their load is known.
pub(crate) const LOCAL_SATURATION_LIMIT: f64 = 0.6;

/// The fraction of the requests that is sent to other zones, and how that fraction is adjusted.
#[derive(Debug)]
pub(crate) struct Spillover {
    cost_ratio: f64,
    shortest_objective_ms: f64,
    ratio: f64,
    updated_at_ms: f64,
}

impl Spillover {
    /// Creates the rule with the initial spillover ratio; `shortest_objective_ms` is the shortest latency
    /// objective.
    pub fn new(settings: &Settings, shortest_objective_ms: f64) -> Self {
        Spillover {
            cost_ratio: settings.cross_zone_cost_ratio,
            shortest_objective_ms,
            ratio: INITIAL_SPILLOVER_RATIO,
            updated_at_ms: 0.0,
        }
    }

    /// Returns the fraction of the requests that is sent to other zones, from 0 to 1.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Adjusts the spillover ratio by how busy the zones are, with a gain that grows with the time since
    /// the last update.
    pub fn update(&mut self, now_ms: f64, fleet: &Fleet) {
        let Some(local_ratio) = busy_ratio(fleet, ZoneSide::Local) else { return };
        let remote_ratio = busy_ratio(fleet, ZoneSide::Remote).unwrap_or(LOCAL_SATURATION_LIMIT);
        let excess_ratio = local_ratio - remote_ratio - self.cost_ratio;
        let learning_time_ms = LEARNING_TIME_OBJECTIVES * self.shortest_objective_ms;
        let gain = ((now_ms - self.updated_at_ms) / learning_time_ms).min(1.0);
        self.ratio = (self.ratio + excess_ratio * gain).clamp(0.0, MAX_SPILLOVER_RATIO);
        self.updated_at_ms = now_ms;
    }
}

/// Returns how busy the endpoints on a side are, from 0 to 1, by listed weights if these reflect load, and
/// by load reports otherwise.
fn busy_ratio(fleet: &Fleet, side: ZoneSide) -> Option<f64> {
    let endpoints: &EndpointSet = &fleet.endpoints;
    if fleet.weights_reflect_load {
        let eligible = endpoints.eligible().get(side);
        endpoints.mean_of(eligible.iter(), |endpoint| Some(endpoint.load.busy_ratio()))
    } else {
        let subset = endpoints.subset().get(side);
        endpoints.mean_of(subset.iter(), |endpoint| endpoint.load.last_report.utilization)
    }
}
