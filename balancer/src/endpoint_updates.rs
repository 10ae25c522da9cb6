//! Applies endpoint updates to the fleet.
//!
//! Rule: an entry that is new or reports a new process start puts its endpoint into slow start. An endpoint
//! that is no longer listed is forgotten once this gateway has nothing in flight there. Where removals are
//! advisory, a proven endpoint stays in use until it fails or has long been silent.

use crate::endpoint::Endpoint;
use crate::event::{EndpointRecord, Readiness, UpdateKind};
use crate::fleet::Fleet;
use crate::health_checks::HEALTH_CHECK_INTERVAL_MS;
use oorandom::Rand64;

/// Time without a response after which an endpoint that is no longer listed is forgotten.
const UNLISTED_TIMEOUT_MS: f64 = 60_000.0;

/// An endpoint update that is being applied.
pub(crate) struct EndpointUpdate<'a> {
    /// Time at which the update arrived, in ms.
    pub now_ms: f64,
    /// Kind of the update.
    pub kind: UpdateKind,
    /// Whether discovery has already sent a list since the cached list was loaded.
    pub follows_discovery: bool,
    /// Whether removal is advisory, so that a removed endpoint that is proven and active stays in use.
    pub removal_is_advisory: bool,
    /// Fleet that the update is applied to.
    pub fleet: &'a mut Fleet,
    /// Random generator that spreads first health checks and first requests over time.
    pub rng: &'a mut Rand64,
}

impl EndpointUpdate<'_> {
    /// Applies the entries of the update.
    pub fn apply(mut self, records: Vec<EndpointRecord>) {
        let is_complete = self.kind != UpdateKind::Delta;
        // Endpoints that have started since the cached list was stored may have started long before the
        // first list from discovery.
        let is_first_list = self.fleet.endpoints.is_empty() || !self.follows_discovery;
        if is_complete {
            for endpoint in self.fleet.endpoints.iter_mut() {
                endpoint.mark_unlisted(self.now_ms, self.removal_is_advisory);
            }
        }
        let mut is_changed = is_complete;
        for record in records {
            is_changed |= self.apply_record(record, is_first_list);
        }
        if is_changed {
            self.forget_removed();
            self.fleet.rebuild_subset(self.now_ms, self.rng);
        }
    }

    /// Applies one entry. Returns whether the subset has to be rebuilt.
    fn apply_record(&mut self, record: EndpointRecord, is_first_list: bool) -> bool {
        let id = record.endpoint;
        if record.readiness == Readiness::Removed {
            if let Some(endpoint) = self.fleet.endpoints.get_mut(id) {
                endpoint.mark_unlisted(self.now_ms, self.removal_is_advisory);
                return true;
            }
        }
        // An endpoint is taken out of the fleet while its entry is applied, because its slow start depends
        // on means over the other endpoints.
        let known = self.fleet.endpoints.remove(id);
        let mut is_changed =
            known.as_ref().is_none_or(|endpoint| endpoint.record.readiness != record.readiness);
        let mut endpoint = known.unwrap_or_else(|| self.new_endpoint());
        endpoint.unlisted_since_ms = None;
        endpoint.proven |= self.kind == UpdateKind::Cached;
        if self.fleet.weights_reflect_load {
            endpoint.load.apply_listed_weight(record.weight);
        }
        endpoint.record = record;
        is_changed |= self.apply_start(&mut endpoint, is_first_list);
        self.fleet.endpoints.insert(id, endpoint);
        is_changed
    }

    /// Creates an endpoint whose first health check is due at a random time within one interval, so that
    /// the checks of endpoints that are listed together are spread over the interval.
    fn new_endpoint(&mut self) -> Endpoint {
        let first_check_at_ms = self.now_ms + HEALTH_CHECK_INTERVAL_MS * self.rng.rand_float();
        Endpoint::new(self.now_ms, first_check_at_ms)
    }

    /// Puts the endpoint into slow start if its entry reports a new process start. Returns whether it does.
    fn apply_start(&mut self, endpoint: &mut Endpoint, is_first_list: bool) -> bool {
        let started_at_ms = endpoint.record.started_at_ms;
        let slow_start_since_ms = self.new_start_ms(endpoint, started_at_ms, is_first_list);
        endpoint.record.started_at_ms = endpoint.starts.last_ms();
        let was_warming_up = endpoint.slow_start_since_ms().is_some()
            && self.fleet.slow_start.is_warming_up(self.now_ms, endpoint);
        let Some(slow_start_since_ms) = slow_start_since_ms else { return false };
        endpoint.set_slow_start(slow_start_since_ms);
        if !was_warming_up {
            self.begin_slow_start(endpoint);
        }
        true
    }

    /// Returns when slow start begins, in ms, if the reported start is new and the endpoint is still in
    /// slow start.
    ///
    /// Wall clocks may have been stepped at the endpoint or at the gateway, so that the reported time
    /// cannot be trusted: a start that is reported while this gateway follows discovery counts as if it
    /// happened at the time of the update.
    fn new_start_ms(&self, endpoint: &mut Endpoint, started_at_ms: f64, is_first_list: bool) -> Option<f64> {
        if !endpoint.starts.record(started_at_ms) {
            return None;
        }
        if !is_first_list {
            return Some(self.now_ms);
        }
        let is_young = self.now_ms - started_at_ms < self.fleet.slow_start.duration_ms();
        is_young.then(|| started_at_ms.min(self.now_ms))
    }

    /// Resets the health and the capacity of an endpoint whose process is new. The first requests of
    /// different gateways are spread over one send interval.
    fn begin_slow_start(&mut self, endpoint: &mut Endpoint) {
        endpoint.health.reset();
        endpoint.load.reset_capacity();
        let interval_ms = self.fleet.slow_start_interval_ms(self.now_ms, endpoint);
        endpoint.next_send_at_ms = self.now_ms + interval_ms * self.rng.rand_float();
    }

    /// Forgets the endpoints that are no longer in use, once this gateway has nothing in flight there.
    fn forget_removed(&mut self) {
        let now_ms = self.now_ms;
        self.fleet.endpoints.retain(|endpoint| {
            let is_kept = endpoint.unlisted_since_ms.is_none_or(|unlisted_since_ms| {
                now_ms - unlisted_since_ms.max(endpoint.last_response_at_ms) < UNLISTED_TIMEOUT_MS
            });
            let is_listed = endpoint.record.readiness != Readiness::Removed;
            (is_kept && is_listed) || endpoint.in_flight_count > 0
        });
    }
}
