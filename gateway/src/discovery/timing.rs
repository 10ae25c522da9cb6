//! How long polls, pauses and renewals of a watch may take, so that changes are known in time.
use std::time::Duration;

/// A change must be known this long after discovery had it and could be reached.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// The timing of a watch's first poll. It may wait in discovery's queue, where discovery keeps it for up to 3 s: its
/// grace is longer, so that its place in the queue is not given up.
pub(super) const FIRST_POLL: PollTiming = PollTiming { wait_ms: 100, grace: Duration::from_millis(3_100) };
/// The timing of the polls that continue a watch, which discovery does not queue.
pub(super) const NEXT_POLL: PollTiming = PollTiming { wait_ms: 2_500, grace: Duration::from_millis(500) };
/// The pause after a poll whose response came at once with no change; a watch counts as broken after 200 ms.
pub(super) const EMPTY_POLL_DELAY: Duration = Duration::from_millis(50);
/// The time between the renewals of silent watches by one gateway and by the next.
const RENEWAL_STAGGER: Duration = Duration::from_millis(50);
/// The time within which all gateways have renewed their silent watches, however many they are.
const MAX_RENEWAL_DELAY: Duration = Duration::from_millis(1_000);
/// The longest pause that the balancer makes before it requests another watch.
const MAX_BACKOFF: Duration = Duration::from_millis(2_000);
/// The time that the response to a poll takes.
const RESPONSE_TIME: Duration = Duration::from_millis(500);

// A change that a silent poll has missed is known within the deadline.
const _: () = assert!(
    FIRST_POLL.total().as_millis() + MAX_BACKOFF.as_millis() + RESPONSE_TIME.as_millis()
        < NOTIFICATION_DEADLINE.as_millis()
);
const _: () = assert!(NEXT_POLL.total().as_millis() <= FIRST_POLL.total().as_millis());
const _: () = assert!(MAX_RENEWAL_DELAY.as_millis() < MAX_BACKOFF.as_millis());

/// How long a poll may take.
pub(super) struct PollTiming {
    /// How long discovery may wait for a change, in milliseconds.
    pub(super) wait_ms: u64,
    /// How much longer the response may take before the watch counts as silent.
    grace: Duration,
}

impl PollTiming {
    /// How long the poll may take in all.
    pub(super) const fn total(&self) -> Duration {
        Duration::from_millis(self.wait_ms).saturating_add(self.grace)
    }
}

/// How long gateway `index` of `gateway_count` waits before it renews a silent watch. All watches fall silent at once,
/// and discovery could not respond to all renewals at once.
pub fn renewal_delay(index: u32, gateway_count: u32) -> Duration {
    RENEWAL_STAGGER.min(MAX_RENEWAL_DELAY / gateway_count.max(1)) * index
}
