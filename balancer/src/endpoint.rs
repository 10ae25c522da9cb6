//! What is remembered of one endpoint.

use crate::class_errors::ClassErrorRatios;
use crate::concurrency_factor::ConcurrencyFactor;
use crate::decaying::DecayingRate;
use crate::event::{EndpointRecord, Readiness};
use crate::load::EndpointLoad;
use crate::outlier_ejection::EndpointHealth;
use crate::start_history::{is_known_start, StartHistory};
use crate::zone::Locality;

/// An endpoint silent for longer than this has probably restarted once it is back.
const RESTART_SILENCE_MS: f64 = 8000.0;

/// An endpoint: its entry of the list, and what this gateway knows of it.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    /// Its entry of the list.
    pub record: EndpointRecord,
    /// Load reports, capacity, weight.
    pub load: EndpointLoad,
    /// Failures and ejection.
    pub health: EndpointHealth,
    /// Error responses by class.
    pub class_errors: ClassErrorRatios,
    /// AIMD factor of its concurrency limit.
    pub concurrency: ConcurrencyFactor,
    /// Process starts as reported by discovery.
    pub starts: StartHistory,
    /// When its last slow start began; see [`Endpoint::slow_start_since_ms`].
    slow_start_at_ms: Option<f64>,
    /// This gateway's attempts in flight there.
    pub in_flight_count: u32,
    /// The rate at which this gateway sends it attempts.
    pub send_rate: DecayingRate,
    /// When it last responded, or was sent an attempt while none was in flight; at first, when it was
    /// added. With attempts in flight, the time since then is its silence.
    pub last_activity_at_ms: f64,
    /// When an attempt was last answered.
    pub last_response_at_ms: f64,
    /// It has responded once, or was listed at the start.
    pub proven: bool,
    /// Kept though the list no longer has it: since when.
    pub unlisted_since_ms: Option<f64>,
    /// The next attempt may be sent from this time on.
    pub next_send_at_ms: f64,
    /// The next health check is due at this time.
    pub next_health_check_at_ms: f64,
}

impl Endpoint {
    /// An endpoint of which nothing is known yet.
    pub fn new(now_ms: f64, next_health_check_at_ms: f64) -> Self {
        Endpoint {
            last_activity_at_ms: now_ms,
            last_response_at_ms: now_ms,
            next_health_check_at_ms,
            ..Endpoint::default()
        }
    }

    /// Since when it is in slow start, which may be over by now; `None` if it never was, or since long ago
    /// ([`is_known_start`]).
    pub fn slow_start_since_ms(&self) -> Option<f64> {
        self.slow_start_at_ms.filter(|at_ms| is_known_start(*at_ms))
    }

    /// It is in slow start since a time.
    pub fn set_slow_start(&mut self, at_ms: f64) {
        self.slow_start_at_ms = Some(at_ms);
    }

    /// Whether the list lets it have requests.
    pub fn is_active(&self) -> bool {
        self.record.readiness == Readiness::Active
    }

    /// Where it is.
    pub fn locality(&self) -> Locality {
        Locality { zone: self.record.zone, cell: self.record.cell }
    }

    /// An attempt is sent there.
    pub fn mark_sent(&mut self, now_ms: f64, class: usize, send_interval_ms: f64) {
        if self.in_flight_count == 0 {
            self.last_activity_at_ms = now_ms;
        }
        self.in_flight_count += 1;
        self.send_rate.record(now_ms);
        self.next_send_at_ms = now_ms + send_interval_ms;
        self.class_errors.mark_tried(now_ms, class);
        self.health.mark_sent(now_ms);
    }

    /// An attempt there has ended in any way.
    pub fn mark_ended(&mut self) {
        self.in_flight_count = self.in_flight_count.saturating_sub(1);
    }

    /// Something has been heard from it.
    pub fn mark_responsive(&mut self, now_ms: f64) {
        self.last_activity_at_ms = now_ms;
        self.last_response_at_ms = now_ms;
    }

    /// It has served or rejected an attempt in time: ends an ejection. After a long silence its process has
    /// probably restarted, and it enters slow start before the list says so.
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

    /// No attempt is sent there before a time.
    pub fn defer_sends_until(&mut self, at_ms: f64) {
        self.next_send_at_ms = self.next_send_at_ms.max(at_ms);
    }

    /// The list no longer has it. Where removals are advisory, one that is proven and not draining stays in
    /// use until it fails or has long been silent.
    pub fn mark_unlisted(&mut self, now_ms: f64, removal_is_advisory: bool) {
        if removal_is_advisory && self.proven && self.is_active() {
            self.unlisted_since_ms = self.unlisted_since_ms.or(Some(now_ms));
        } else {
            self.record.readiness = Readiness::Removed;
        }
    }
}
