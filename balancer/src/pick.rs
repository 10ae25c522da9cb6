//! The weighted random pick of an endpoint for an attempt.
//!
//! Rule: of the endpoints in use that may and can take the request, one is drawn at random by weight, in
//! the own zone unless the request spills over. A trial of an ejected endpoint, or of an excluded class,
//! comes first.
//!
//! The weight is the endpoint's capacity, times the free fraction of its concurrency limit and its AIMD
//! factor; less where it fails, where other gateways have requests in flight, and where connections have
//! closed.

use crate::class_errors::ClassExclusion;
use crate::concurrency_limit::ConcurrencyLimits;
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::ids::EndpointId;
use crate::load::FULL_IN_FLIGHT_PER_CORE_COUNT;
use crate::outlier_ejection::{Ejection, OutlierEjection};
use crate::request::Request;
use crate::retry;
use crate::settings::RequestClass;
use crate::spillover::LOCAL_SATURATION_LIMIT_RATIO;
use crate::zone::{PerZoneSide, ZoneSide};
use oorandom::Rand64;

/// An endpoint with attempts in flight is unresponsive after this many typical latencies of the slowest
/// class without a response.
const UNRESPONSIVE_LATENCIES: f64 = 3.0;

/// The weight of an endpoint whose idle connections have closed is multiplied by this: each request there
/// would need a handshake.
const CLOSED_CONNECTIONS_RATIO: f64 = 0.25;

/// The weight of an endpoint that fails another class is multiplied by this for the classes that it serves,
/// so that the endpoints that serve all classes keep capacity for that one.
const FAILS_OTHER_CLASS_FACTOR: f64 = 4.0;

/// Weights fall with this power of the fraction that does not fail.
const HEALTH_EXPONENT: i32 = 4;

/// What the pick needs to know of a request and the fleet.
pub(crate) struct EndpointPick<'a> {
    /// The time of the pick.
    pub now_ms: f64,
    /// The endpoints and what they can carry.
    pub fleet: &'a Fleet,
    /// When trials of ejected endpoints are due.
    pub ejection: &'a OutlierEjection,
    /// The request's class.
    pub class: &'a RequestClass,
    /// The request, with its earlier attempts.
    pub request: &'a Request,
    /// Requests of this class may serve as trials of ejected endpoints.
    pub may_try_ejected: bool,
    /// Typical latency of the slowest class.
    pub slowest_class_ms: f64,
    /// Endpoints close connections that were idle for this long.
    pub connection_idle_timeout_ms: f64,
}

/// Means over the fleet that all candidates are compared with.
struct FleetMeans<'a> {
    limits: ConcurrencyLimits<'a>,
    failure_ratio: f64,
    least_error_ratio: f64,
}

/// Whether an endpoint can take a request.
enum Candidate {
    /// It may not or cannot take the request.
    Unusable,
    /// The request is its trial.
    Trial,
    /// It can take the request.
    Usable { weight: f64, saturation_ratio: f64 },
}

/// An endpoint that can take the request, and its weight in the draw.
struct WeightedEndpoint {
    id: EndpointId,
    weight: f64,
}

impl EndpointPick<'_> {
    /// Picks an endpoint, or none where none can take the request. `spillover_ratio` is the fraction of the
    /// requests that goes to other zones.
    pub fn pick(&self, spillover_ratio: f64, rng: &mut Rand64) -> Option<EndpointId> {
        let means = FleetMeans {
            limits: ConcurrencyLimits::at(self.now_ms, self.fleet),
            failure_ratio: self.fleet.endpoints.mean_failure_ratio(),
            least_error_ratio: self.fleet.endpoints.least_error_ratio(self.request.class),
        };
        let mut usable: PerZoneSide<Vec<WeightedEndpoint>> =
            PerZoneSide { local: Vec::new(), remote: Vec::new() };
        let mut local_has_capacity = false;
        for &id in self.candidates().iter() {
            let Some(endpoint) = self.fleet.endpoints.get(id) else { continue };
            match self.assess(id, endpoint, &means) {
                Candidate::Unusable => {}
                Candidate::Trial => return Some(id),
                Candidate::Usable { weight, saturation_ratio } => {
                    let side = self.fleet.side_of(endpoint);
                    let has_capacity = saturation_ratio < LOCAL_SATURATION_LIMIT_RATIO;
                    local_has_capacity |= side == ZoneSide::Local && has_capacity;
                    usable.get_mut(side).push(WeightedEndpoint { id, weight });
                }
            }
        }
        let spills = rng.rand_float() < spillover_ratio;
        // A remote endpoint costs less than a busy local one.
        let stays_local = local_has_capacity && !spills && !usable.local.is_empty();
        let side = if usable.remote.is_empty() || stays_local { ZoneSide::Local } else { ZoneSide::Remote };
        draw(usable.get(side), rng)
    }

    /// The endpoints in use; all eligible ones where a retry has to stay within its deduplication scope.
    fn candidates(&self) -> &PerZoneSide<Vec<EndpointId>> {
        if retry::is_bound_to_scope(self.class, self.request) {
            self.fleet.endpoints.eligible()
        } else {
            self.fleet.endpoints.subset()
        }
    }

    fn assess(&self, id: EndpointId, endpoint: &Endpoint, means: &FleetMeans) -> Candidate {
        let already_tried = self.request.has_tried(id) && self.fleet.endpoints.known_count() > 1;
        let in_scope = retry::is_in_scope(self.class, self.request, endpoint.locality());
        if !endpoint.is_active() || !in_scope || already_tried {
            return Candidate::Unusable;
        }
        if let Some(ejection) = endpoint.health.ejection() {
            let is_trial = self.is_ejection_trial(endpoint, ejection);
            return if is_trial { Candidate::Trial } else { Candidate::Unusable };
        }
        let limit_count = means.limits.limit_count(endpoint).max(1.0);
        let saturation_ratio = f64::from(endpoint.in_flight_count) / limit_count;
        if !self.can_take_more(endpoint, limit_count, saturation_ratio) {
            return Candidate::Unusable;
        }
        let exclusion = endpoint.class_errors.exclusion(
            self.now_ms,
            self.request.class,
            means.least_error_ratio,
            self.fleet.objective_ms,
        );
        match exclusion {
            ClassExclusion::Included => {
                let weight = self.weight(endpoint, saturation_ratio, means);
                Candidate::Usable { weight, saturation_ratio }
            }
            ClassExclusion::TrialDue if self.request.attempts.is_empty() => Candidate::Trial,
            ClassExclusion::TrialDue | ClassExclusion::Excluded => Candidate::Unusable,
        }
    }

    /// Whether this request is the trial that shows whether an ejected endpoint works again. It must be a
    /// first attempt, and one that may be retried if it fails.
    fn is_ejection_trial(&self, endpoint: &Endpoint, ejection: Ejection) -> bool {
        let side = self.fleet.side_of(endpoint);
        let due_at_ms = self.ejection.trial_due_at_ms(
            self.now_ms,
            ejection,
            endpoint.last_response_at_ms,
            self.fleet.endpoints.subset().get(side).len(),
            self.fleet.subset_target_count(),
        );
        due_at_ms <= self.now_ms
            && endpoint.in_flight_count == 0
            && self.may_try_ejected
            && self.request.attempts.is_empty()
    }

    /// Whether an endpoint is responsive, below its limit, and not paused or left to other gateways.
    fn can_take_more(&self, endpoint: &Endpoint, limit_count: f64, saturation_ratio: f64) -> bool {
        let silence_ms = self.now_ms - endpoint.last_activity_at_ms;
        let is_unresponsive =
            endpoint.in_flight_count > 0 && silence_ms > UNRESPONSIVE_LATENCIES * self.slowest_class_ms;
        // Each of many gateways would round a fraction of a request up to a whole one.
        let rounding_ratio = (1.0 - self.fleet.traffic_share.visibility_ratio()) / limit_count;
        let is_full = saturation_ratio + rounding_ratio >= 1.0;
        let is_paused = self.now_ms < endpoint.next_send_at_ms;
        !is_unresponsive && !is_full && !is_paused && !self.fleet.is_left_to_others(self.now_ms, endpoint)
    }

    /// The endpoint's weight in the draw.
    fn weight(&self, endpoint: &Endpoint, saturation_ratio: f64, means: &FleetMeans) -> f64 {
        let class_factor =
            if endpoint.class_errors.fails_some_class() { FAILS_OTHER_CLASS_FACTOR } else { 1.0 };
        let idle_ms = self.now_ms - endpoint.last_response_at_ms;
        let connection_factor =
            if idle_ms < self.connection_idle_timeout_ms { 1.0 } else { CLOSED_CONNECTIONS_RATIO };
        let failure_ratio = self.ejection.failure_ratio(self.now_ms, &endpoint.health, means.failure_ratio);
        let error_ratio = endpoint.class_errors.error_ratio(self.request.class);
        let served_ratio = (1.0 - failure_ratio) * (1.0 - error_ratio);
        let capacity_weight = connection_factor
            * class_factor
            * means.limits.capacities().weight_per_s(endpoint)
            * (1.0 - saturation_ratio)
            * endpoint.concurrency.factor();
        let fleet_load = FULL_IN_FLIGHT_PER_CORE_COUNT * endpoint.load.fleet_load;
        capacity_weight * served_ratio.powi(HEALTH_EXPONENT) / (1.0 + fleet_load)
    }
}

/// Draws an endpoint at random by weight; the last one where rounding leaves none.
fn draw(choices: &[WeightedEndpoint], rng: &mut Rand64) -> Option<EndpointId> {
    let total_weight: f64 = choices.iter().map(|choice| choice.weight).sum();
    let mut remaining_weight = rng.rand_float() * total_weight;
    for choice in choices {
        remaining_weight -= choice.weight;
        if remaining_weight < 0.0 {
            return Some(choice.id);
        }
    }
    choices.last().map(|choice| choice.id)
}
