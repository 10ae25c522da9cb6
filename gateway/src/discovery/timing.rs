//! The durations of polls, pauses and renewals of a watch, which bound the time until the gateway learns of a
//! change.
use std::time::Duration;

/// The time within which the gateway must learn of a change, counted from when discovery has the change and
/// is reachable.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// The longest delay before the response to a poll, apart from the wait for a change, as a fraction of the list's
/// lifetime.
const RESPONSE_LIFETIME_RATIO: f64 = 0.2;
/// The total time of a poll that continues a watch, as a fraction of the list's lifetime.
const NEXT_POLL_LIFETIME_RATIO: f64 = 0.6;
/// The interval of the probes beside a first poll, as a fraction of the list's lifetime.
const PROBE_LIFETIME_RATIO: f64 = 0.25;
/// The silence for which discovery counts as out of reach, as a fraction of the interval of the probes.
const MIN_SILENCE_RATIO: f64 = 0.5;
/// How long discovery may wait for a change before it responds to a probe, as a fraction of the probe's interval.
const PROBE_WAIT_RATIO: f64 = 0.25;

// A list that was confirmed before the watch fell silent is fresh until a probe of the next watch has ended, so that
// a running gateway goes on sending while discovery is down.
const _: () = assert!(NEXT_POLL_LIFETIME_RATIO + PROBE_LIFETIME_RATIO < 1.0);

/// The timing of a watch's first poll. Discovery may keep the poll in a queue for up to 3 s. The grace is
/// longer, so that the gateway does not give up its place in the queue.
const FIRST_POLL: PollTiming = PollTiming { wait_ms: 100, grace: Duration::from_millis(3_100) };
/// The timing of the polls that continue a watch. Discovery does not queue these polls.
const NEXT_POLL: PollTiming = PollTiming { wait_ms: 2_500, grace: Duration::from_millis(500) };
/// The pause after a poll that was answered at once without a change. The pause stays below 200 ms, after
/// which a watch counts as broken.
pub(super) const EMPTY_POLL_DELAY: Duration = Duration::from_millis(50);
/// The delay between the renewals of silent watches by two successive gateways.
const RENEWAL_STAGGER: Duration = Duration::from_millis(50);
/// The time within which all gateways renew their silent watches, regardless of the number of gateways.
const MAX_RENEWAL_DELAY: Duration = Duration::from_millis(1_000);
/// The balancer's longest backoff before it requests another watch.
const MAX_BACKOFF: Duration = Duration::from_millis(2_000);
/// The time that the response to a poll takes at most, apart from the wait for a change.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(500);

// The gateway is notified of a change within `NOTIFICATION_DEADLINE` even if the poll that should have
// returned the change gets no response.
const _: () = assert!(
    FIRST_POLL.total().as_millis() + MAX_BACKOFF.as_millis() + MAX_RESPONSE_TIME.as_millis()
        < NOTIFICATION_DEADLINE.as_millis()
);
const _: () = assert!(NEXT_POLL.total().as_millis() <= FIRST_POLL.total().as_millis());
const _: () = assert!(MAX_RENEWAL_DELAY.as_millis() < MAX_BACKOFF.as_millis());

/// The timings of the polls of a watch.
pub(super) struct PollTimings {
    /// The timing of a watch's first poll.
    pub(super) first: PollTiming,
    /// The timing of the polls that continue a watch.
    pub(super) next: PollTiming,
    /// The interval of the probes beside a first poll without a response; `None` if no probes are sent, because
    /// the endpoint list does not become stale.
    pub(super) probe_interval: Option<Duration>,
    /// The silence for which discovery counts as out of reach. A shorter one proves nothing, because the poll may
    /// have been sent late.
    pub(super) min_silence: Duration,
}

impl PollTimings {
    /// Returns timings by which a list is confirmed, or discovery is known to be out of reach, within
    /// `list_lifetime`. `None` stands for a list that does not become stale.
    pub(super) fn new(list_lifetime: Option<Duration>) -> Self {
        let Some(lifetime) = list_lifetime else {
            return PollTimings {
                first: FIRST_POLL,
                next: NEXT_POLL,
                probe_interval: None,
                min_silence: FIRST_POLL.total(),
            };
        };
        let probe_interval = lifetime.mul_f64(PROBE_LIFETIME_RATIO).min(FIRST_POLL.total());
        let first_wait_ms = probe_interval.mul_f64(PROBE_WAIT_RATIO).as_millis() as u64;
        let first_wait_ms = first_wait_ms.min(FIRST_POLL.wait_ms);
        let next_grace = lifetime.mul_f64(RESPONSE_LIFETIME_RATIO).min(NEXT_POLL.grace);
        let next_total = lifetime.mul_f64(NEXT_POLL_LIFETIME_RATIO).min(NEXT_POLL.total());
        let next_wait_ms = next_total.saturating_sub(next_grace).as_millis() as u64;
        PollTimings {
            first: PollTiming { wait_ms: first_wait_ms, grace: FIRST_POLL.grace },
            next: PollTiming { wait_ms: next_wait_ms, grace: next_grace },
            probe_interval: Some(probe_interval),
            min_silence: probe_interval.mul_f64(MIN_SILENCE_RATIO),
        }
    }
}

/// The timing of a poll.
pub(super) struct PollTiming {
    /// How long discovery may wait for a change before it responds, in milliseconds.
    pub(super) wait_ms: u64,
    /// How long the response may take beyond `wait_ms` before the watch counts as silent.
    grace: Duration,
}

impl PollTiming {
    /// Returns the total time that the poll may take.
    pub(super) const fn total(&self) -> Duration {
        Duration::from_millis(self.wait_ms).saturating_add(self.grace)
    }
}

/// Returns how long the gateway with number `index` of `gateway_count` waits before it renews a silent watch.
/// The delays are staggered because all watches usually fall silent together, and discovery cannot serve all
/// renewals at once.
pub fn renewal_delay(index: u32, gateway_count: u32) -> Duration {
    RENEWAL_STAGGER.min(MAX_RENEWAL_DELAY / gateway_count.max(1)) * index
}
