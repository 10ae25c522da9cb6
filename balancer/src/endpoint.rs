//! The state that this gateway keeps for one endpoint.

use crate::class_errors::ClassErrorRatios;
use crate::concurrency_factor::ConcurrencyFactor;
use crate::decaying::DecayingRate;
use crate::event::{EndpointRecord, Readiness};
use crate::load::EndpointLoad;
use crate::outlier_ejection::EndpointHealth;
use crate::start_history::{is_known_start, StartHistory};
use crate::zone::Locality;

/// Time without a response after which an endpoint that responds again is assumed to have restarted.
const RESTART_SILENCE_MS: f64 = 8000.0;

/// An endpoint: its entry in the list, and this gateway's state for the endpoint.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    /// Latest list entry of the endpoint.
    pub record: EndpointRecord,
    /// Load reports, capacity and weight of the endpoint.
    pub load: EndpointLoad,
    /// Failure ratio and ejection of the endpoint.
    pub health: EndpointHealth,
    /// Error ratios of the endpoint by request class.
    pub class_errors: ClassErrorRatios,
    /// AIMD factor of the endpoint's concurrency limit.
    pub concurrency: ConcurrencyFactor,
    /// Starts of the endpoint's process that discovery has reported.
    pub starts: StartHistory,
    /// Time at which the last slow start began, in ms; see [`Endpoint::slow_start_since_ms`].
    slow_start_at_ms: Option<f64>,
    /// Number of this gateway's attempts in flight at the endpoint.
    pub in_flight_count: u32,
    /// Rate at which this gateway sends attempts to the endpoint.
    pub send_rate: DecayingRate,
    /// Time of the endpoint's last response, or of the last attempt that was sent while none was in flight;
    /// initially the time at which the endpoint was added. While attempts are in flight, the endpoint has
    /// been silent since then.
    pub last_activity_at_ms: f64,
    /// Time at which the endpoint last responded to an attempt, in ms; initially the time at which the
    /// endpoint was added.
    pub last_response_at_ms: f64,
    /// Whether the endpoint is known to have worked: it has responded to an attempt, or was on the cached
    /// list.
    pub proven: bool,
    /// Time since which the endpoint is missing from the list, for an endpoint that is kept although it is
    /// no longer listed.
    pub unlisted_since_ms: Option<f64>,
    /// Time from which the next attempt may be sent, in ms.
    pub next_send_at_ms: f64,
    /// Time from which the next health check is due, in ms.
    pub next_health_check_at_ms: f64,
}

impl Endpoint {
    /// Creates an endpoint without a list entry, load reports or outcomes.
    pub fn new(now_ms: f64, next_health_check_at_ms: f64) -> Self {
        Endpoint {
            last_activity_at_ms: now_ms,
            last_response_at_ms: now_ms,
            next_health_check_at_ms,
            ..Endpoint::default()
        }
    }

    /// Returns when the last slow start began, in ms; that slow start may be over. `None` if the endpoint
    /// never was in slow start, or if the start time is unknown ([`is_known_start`]).
    pub fn slow_start_since_ms(&self) -> Option<f64> {
        self.slow_start_at_ms.filter(|at_ms| is_known_start(*at_ms))
    }

    /// Sets the time at which the last slow start began.
    pub fn set_slow_start(&mut self, at_ms: f64) {
        self.slow_start_at_ms = Some(at_ms);
    }

    /// Returns whether the endpoint may get new requests according to the list.
    pub fn is_active(&self) -> bool {
        self.record.readiness == Readiness::Active
    }

    /// Returns the zone and the cell of the endpoint.
    pub fn locality(&self) -> Locality {
        Locality { zone: self.record.zone, cell: self.record.cell }
    }

    /// Records that an attempt is sent to the endpoint; the next one may follow after `send_interval_ms`.
    pub fn mark_sent(&mut self, now_ms: f64, class: usize, send_interval_ms: f64) {
        if self.in_flight_count == 0 {
            self.last_activity_at_ms = now_ms;
        }
        self.in_flight_count += 1;
        self.send_rate.record(now_ms);
        self.next_send_at_ms = now_ms + send_interval_ms;
        self.class_errors.mark_sent(now_ms, class);
        self.health.mark_sent(now_ms);
    }

    /// Records that an attempt at the endpoint has ended, whatever its outcome.
    pub fn mark_ended(&mut self) {
        self.in_flight_count = self.in_flight_count.saturating_sub(1);
    }

    /// Records that the endpoint has responded.
    pub fn mark_responsive(&mut self, now_ms: f64) {
        self.last_activity_at_ms = now_ms;
        self.last_response_at_ms = now_ms;
    }

    /// Records that the endpoint has served or rejected an attempt in time, which ends an ejection. After a
    /// long silence the endpoint's process has probably restarted, so that slow start begins even before
    /// the list reports the new start.
    pub fn record_success(&mut self, now_ms: f64) {
        self.health.record_success();
        let was_ejected = self.health.readmit();
        if was_ejected && now_ms - self.last_response_at_ms > RESTART_SILENCE_MS {
            self.set_slow_start(now_ms);
            self.load.reset_capacity();
        }
        self.mark_responsive(now_ms);
        self.proven = true;
    }

    /// Defers the next attempt at the endpoint until `at_ms`.
    pub fn defer_sends_until(&mut self, at_ms: f64) {
        self.next_send_at_ms = self.next_send_at_ms.max(at_ms);
    }

    /// Records that the endpoint is no longer listed. If removals are advisory, an endpoint that is proven
    /// and active stays in use until it fails or has long been silent.
    pub fn mark_unlisted(&mut self, now_ms: f64, removal_is_advisory: bool) {
        if removal_is_advisory && self.proven && self.is_active() {
            self.unlisted_since_ms = self.unlisted_since_ms.or(Some(now_ms));
        } else {
            self.record.readiness = Readiness::Removed;
        }
    }
}
