//! The weighted random pick of an endpoint for an attempt.
//!
//! Rule: one of the endpoints in use that can take the request is picked at random by weight, in the
//! gateway's own zone unless the request spills over. If a trial of an ejected endpoint or of an excluded
//! class is due, the request is sent there instead.
//!
//! The weight is the endpoint's capacity, times the free fraction of its concurrency limit, times its AIMD
//! factor. The weight is reduced by the endpoint's failures, by the requests that other gateways have in
//! flight there, and by closed connections.

use crate::class_errors::ClassExclusion;
use crate::concurrency_limit::ConcurrencyLimits;
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::ids::EndpointId;
use crate::load::FULL_IN_FLIGHT_PER_CORE;
use crate::outlier_ejection::{Ejection, OutlierEjection};
use crate::request::Request;
use crate::retry;
use crate::settings::RequestClass;
use crate::spillover::LOCAL_SATURATION_LIMIT;
use crate::zone::{PerZoneSide, ZoneSide};
use oorandom::Rand64;

/// An endpoint with attempts in flight counts as unresponsive after this time without a response, in
/// typical latencies of the slowest class.
const UNRESPONSIVE_LATENCIES: f64 = 3.0;

/// Factor that lowers the weight of an endpoint whose idle connections have closed, because a request there
/// needs a handshake first.
const CLOSED_CONNECTIONS_FACTOR: f64 = 0.25;

/// Factor that raises the weight of an endpoint that fails another class, so that endpoints that serve all
/// classes keep capacity for the failing class.
const FAILS_OTHER_CLASS_FACTOR: f64 = 4.0;

/// Exponent of the served fraction of an endpoint's requests in the endpoint's weight.
const HEALTH_EXPONENT: i32 = 4;

/// The inputs of the pick of an endpoint for one attempt.
pub(crate) struct EndpointPick<'a> {
    /// Time of the pick, in ms on the gateway's clock.
    pub now_ms: f64,
    /// The endpoints and their capacities.
    pub fleet: &'a Fleet,
    /// The rule that says when trials of ejected endpoints are due.
    pub ejection: &'a OutlierEjection,
    /// Class of the request.
    pub class: &'a RequestClass,
    /// The request, with its earlier attempts.
    pub request: &'a Request,
    /// Whether requests of this class may be sent to ejected endpoints as trials.
    pub may_try_ejected: bool,
    /// Typical latency of the slowest class, in ms.
    pub slowest_class_ms: f64,
    /// Time after which endpoints close an idle connection, in ms.
    pub connection_idle_timeout_ms: f64,
}

/// Statistics over the endpoints in use that every candidate is compared with.
struct FleetMeans<'a> {
    limits: ConcurrencyLimits<'a>,
    failure_ratio: f64,
    least_error_ratio: f64,
}

/// Assessment of an endpoint as the target of the attempt.
enum Candidate {
    /// The endpoint may not or cannot take the request.
    Unusable,
    /// The request is a trial of the ejected endpoint or of the excluded class.
    Trial,
    /// The endpoint can take the request. `saturation` is the fraction of its concurrency limit that is in
    /// use.
    Usable { weight: f64, saturation: f64 },
}

/// An endpoint that can take the request, and its weight in the random pick.
struct WeightedEndpoint {
    id: EndpointId,
    weight: f64,
}

impl EndpointPick<'_> {
    /// Picks an endpoint, or returns `None` if no endpoint can take the request. `spillover_ratio` is the
    /// fraction of the requests that is sent to other zones, from 0 to 1.
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
                Candidate::Usable { weight, saturation } => {
                    let side = self.fleet.side_of(endpoint);
                    let has_capacity = saturation < LOCAL_SATURATION_LIMIT;
                    local_has_capacity |= side == ZoneSide::Local && has_capacity;
                    usable.get_mut(side).push(WeightedEndpoint { id, weight });
                }
            }
        }
        let spills = rng.rand_float() < spillover_ratio;
        // A remote endpoint with free capacity is preferred to a busy local one, because the cost of
        // crossing zones is lower.
        let stays_local = local_has_capacity && !spills && !usable.local.is_empty();
        let side = if usable.remote.is_empty() || stays_local { ZoneSide::Local } else { ZoneSide::Remote };
        pick_weighted(usable.get(side), rng)
    }

    /// Returns the endpoints in use, or all eligible endpoints for a retry that is limited to its
    /// deduplication scope.
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
        let limit = means.limits.limit(endpoint).max(1.0);
        let saturation = f64::from(endpoint.in_flight_count) / limit;
        if !self.can_take_more(endpoint, limit, saturation) {
            return Candidate::Unusable;
        }
        let exclusion = endpoint.class_errors.exclusion(
            self.now_ms,
            self.request.class,
            means.least_error_ratio,
            self.fleet.shortest_objective_ms,
        );
        match exclusion {
            ClassExclusion::Included => {
                let weight = self.weight(endpoint, saturation, means);
                Candidate::Usable { weight, saturation }
            }
            ClassExclusion::TrialDue if self.request.attempts.is_empty() => Candidate::Trial,
            ClassExclusion::TrialDue | ClassExclusion::Excluded => Candidate::Unusable,
        }
    }

    /// Returns whether this request is the trial that shows whether an ejected endpoint works again. The
    /// trial is a first attempt, of a class that may be retried if the trial fails.
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

    /// Returns whether an endpoint is responsive, is below its concurrency limit, and is neither paused nor
    /// left to other gateways.
    fn can_take_more(&self, endpoint: &Endpoint, limit: f64, saturation: f64) -> bool {
        let silence_ms = self.now_ms - endpoint.last_activity_at_ms;
        let is_unresponsive =
            endpoint.in_flight_count > 0 && silence_ms > UNRESPONSIVE_LATENCIES * self.slowest_class_ms;
        // In a large fleet, each gateway would otherwise round a limit of a fraction of a request up to a
        // whole request, and all gateways together would overload the endpoint.
        let rounding_ratio = (1.0 - self.fleet.traffic_share.visibility()) / limit;
        let is_full = saturation + rounding_ratio >= 1.0;
        let is_paused = self.now_ms < endpoint.next_send_at_ms;
        !is_unresponsive
            && !is_full
            && !is_paused
            && !self.fleet.is_left_to_other_gateways(self.now_ms, endpoint)
    }

    /// Returns the weight of an endpoint in the random pick.
    fn weight(&self, endpoint: &Endpoint, saturation: f64, means: &FleetMeans) -> f64 {
        let class_factor =
            if endpoint.class_errors.fails_some_class() { FAILS_OTHER_CLASS_FACTOR } else { 1.0 };
        let idle_ms = self.now_ms - endpoint.last_response_at_ms;
        let connection_factor =
            if idle_ms < self.connection_idle_timeout_ms { 1.0 } else { CLOSED_CONNECTIONS_FACTOR };
        let failure_ratio = self.ejection.failure_ratio(self.now_ms, &endpoint.health, means.failure_ratio);
        let error_ratio = endpoint.class_errors.error_ratio(self.request.class);
        let served_ratio = (1.0 - failure_ratio) * (1.0 - error_ratio);
        let capacity_weight = connection_factor
            * class_factor
            * means.limits.capacities().weight_per_s(endpoint)
            * (1.0 - saturation)
            * endpoint.concurrency.factor();
        let fleet_load = FULL_IN_FLIGHT_PER_CORE * endpoint.load.fleet_load;
        capacity_weight * served_ratio.powi(HEALTH_EXPONENT) / (1.0 + fleet_load)
    }
}

/// Picks an endpoint at random by weight; picks the last one if rounding errors leave none, and none if
/// `choices` is empty.
fn pick_weighted(choices: &[WeightedEndpoint], rng: &mut Rand64) -> Option<EndpointId> {
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
