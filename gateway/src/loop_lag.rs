//! The event loop's lag: for how long the process has stood still, so that what it reads now may have been waiting.
//!
//! The gateway runs on a current-thread tokio runtime: one thread runs the event loop, the listener and all connections. A
//! tick that fires late therefore means that the whole process stood still (stopped, preempted or busy), and nothing was read
//! or decided meanwhile. What follows from it:
//!
//! - arrival times are backdated by the lag ([`LoopLag::earliest_arrival`]), so that a request's deadline counts from when its
//!   bytes may have reached the machine;
//! - a deadline that passes while there is a lag is not counted as a violated invariant;
//! - [`catch_up`] runs before an attempt's first byte, so that disconnects and drains that arrived meanwhile take effect first.
//!
//! A stall here is the process standing still; a stalled attempt, in the balancer, is one without a timely response.
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};
use tracing::warn;

/// The interval of the ticks whose delay is the lag. It is the error of the lag.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A lag below this is usual scheduling.
const MIN_LAG: Duration = Duration::from_millis(25);
/// A lag from here on is logged, as a stall of the event loop.
const MIN_LOGGED_LAG: Duration = Duration::from_millis(250);
/// After a lag, what was received meanwhile is read within this time. [`catch_up`] reads sockets again where reading
/// took longer than this.
const FRESHNESS: Duration = Duration::from_millis(20);
/// Turns of the runtime from a socket's readiness to its effect: the reader, the event loop, the attempt.
const TURN_COUNT: usize = 3;
/// How often [`catch_up`] reads sockets again, so that a machine that always lags still sends.
const MAX_CATCH_UP_COUNT: usize = 4;

/// A lag that the event loop has just caught up with.
#[derive(Clone, Copy, Debug)]
struct PastLag {
    lag: Duration,
    /// Until then, bytes that waited through the lag may still be being read.
    applies_until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Ticks {
    next_at: Instant,
    past_lag: Option<PastLag>,
}

/// Measures the event loop's lag.
#[derive(Clone, Debug)]
pub struct LoopLag(Arc<Mutex<Ticks>>);

impl Default for LoopLag {
    fn default() -> Self {
        let ticks = Ticks { next_at: Instant::now() + TICK_INTERVAL, past_lag: None };
        LoopLag(Arc::new(Mutex::new(ticks)))
    }
}

impl LoopLag {
    /// Measures the lag for as long as it is polled.
    pub async fn run(self) {
        loop {
            let due_at = self.lock().next_at;
            sleep_until(due_at).await;
            let now = Instant::now();
            let lag = now.saturating_duration_since(due_at);
            if lag >= MIN_LOGGED_LAG {
                warn!(stalled_ms = lag.as_millis() as u64, "event loop stalled");
            }
            let past_lag = (lag >= MIN_LAG)
                .then(|| PastLag { lag: lag + TICK_INTERVAL, applies_until: now + FRESHNESS });
            *self.lock() = Ticks { next_at: now + TICK_INTERVAL, past_lag };
        }
    }

    fn lock(&self) -> MutexGuard<'_, Ticks> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The earliest time at which what is read now may have arrived.
    pub fn earliest_arrival(&self) -> Instant {
        let now = Instant::now();
        now.checked_sub(self.at(now)).unwrap_or(now)
    }

    /// The lag at `now`, which is the longest time for which what is read then may have been waiting. It includes a lag that
    /// the event loop has only just caught up with. Zero where ticks are on time.
    pub fn at(&self, now: Instant) -> Duration {
        let ticks = *self.lock();
        let tick_lag = now.saturating_duration_since(ticks.next_at);
        let past_lag = ticks.past_lag.filter(|past| now < past.applies_until).map(|past| past.lag);
        let present_lag = if tick_lag < MIN_LAG { Duration::ZERO } else { tick_lag + TICK_INTERVAL };
        present_lag.max(past_lag.unwrap_or_default())
    }
}

/// Lets everything that the kernel has received by now take effect, if what was decided at `decided_at` is no longer
/// fresh: disconnects and drains that arrived while the process stood still or a connection was being dialled.
pub async fn catch_up(decided_at: Instant) {
    let mut last_read_at = decided_at;
    for _ in 0..MAX_CATCH_UP_COUNT {
        if last_read_at.elapsed() < FRESHNESS {
            return;
        }
        last_read_at = Instant::now();
        for _ in 0..TURN_COUNT {
            yield_now().await;
        }
    }
}
