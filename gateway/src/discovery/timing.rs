//! The durations of polls, pauses and renewals of a watch, which bound the time until the gateway learns of a
//! change.
use std::time::Duration;

/// The time within which the gateway must learn of a change, counted from when discovery has the change and
/// is reachable.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// The timing of a watch's first poll. Discovery may keep the poll in a queue for up to 3 s. The grace is
/// longer, so that the gateway does not give up its place in the queue.
pub(super) const FIRST_POLL: PollTiming = PollTiming { wait_ms: 100, grace: Duration::from_millis(3_100) };
/// The timing of the polls that continue a watch. Discovery does not queue these polls.
pub(super) const NEXT_POLL: PollTiming = PollTiming { wait_ms: 2_500, grace: Duration::from_millis(500) };
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
