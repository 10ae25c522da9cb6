//! Cross-zone spillover: which fraction of the requests goes to other zones.
//!
//! Rule: requests stay in the own zone while an endpoint there has capacity, but for a fraction that is
//! learnt from how much busier the own zone is than the others. A zone with more traffic than its endpoints
//! can serve thus sends the excess to other zones.

use crate::endpoint_set::EndpointSet;
use crate::fleet::Fleet;
use crate::settings::Settings;
use crate::zone::ZoneSide;

/// The fraction that spills before the load of zones is known.
const INITIAL_SPILLOVER_RATIO: f64 = 0.3;

/// At most this fraction spills.
const MAX_SPILLOVER_RATIO: f64 = 0.9;

/// An own zone busier by 1 than its target spills everything after this many shortest latency objectives.
const LEARNING_TIME_OBJECTIVES: f64 = 3.75;

/// The own zone is preferred while an endpoint there is filled less than this; other zones count as this
/// busy until their load is known.
pub(crate) const LOCAL_SATURATION_LIMIT_RATIO: f64 = 0.6;

/// The fraction of the requests that goes to other zones.
#[derive(Debug)]
pub(crate) struct Spillover {
    cost_ratio: f64,
    objective_ms: f64,
    ratio: f64,
    updated_at_ms: f64,
}

impl Spillover {
    /// Nothing is learnt yet; `objective_ms` is the shortest latency objective.
    pub fn new(settings: &Settings, objective_ms: f64) -> Self {
        Spillover {
            cost_ratio: settings.cross_zone_cost_ratio,
            objective_ms,
            ratio: INITIAL_SPILLOVER_RATIO,
            updated_at_ms: 0.0,
        }
    }

    /// The fraction of the requests that goes to other zones, from 0 to 1.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Learns from how busy the zones are, with a gain that grows with the time since the last update.
    pub fn learn(&mut self, now_ms: f64, fleet: &Fleet) {
        let Some(local_ratio) = busy_ratio(fleet, ZoneSide::Local) else { return };
        let remote_ratio = busy_ratio(fleet, ZoneSide::Remote).unwrap_or(LOCAL_SATURATION_LIMIT_RATIO);
        let excess_ratio = local_ratio - remote_ratio - self.cost_ratio;
        let learning_time_ms = LEARNING_TIME_OBJECTIVES * self.objective_ms;
        let gain_ratio = ((now_ms - self.updated_at_ms) / learning_time_ms).min(1.0);
        self.ratio = (self.ratio + excess_ratio * gain_ratio).clamp(0.0, MAX_SPILLOVER_RATIO);
        self.updated_at_ms = now_ms;
    }
}

/// How busy the endpoints of a side are, by listed weights where these reflect load, else by reports.
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
