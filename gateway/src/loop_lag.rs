//! The event loop's lag: how long the process has stalled, so that bytes read now may have been waiting in
//! the kernel.
//!
//! The gateway runs on a current-thread tokio runtime, on which one thread runs the event loop, the listener
//! and all connections. A tick that fires late therefore means that the whole process was stopped, preempted
//! or busy, and has read and decided nothing in the meantime. A lag has four consequences:
//!
//! - Arrival times are backdated by the lag ([`LoopLag::earliest_arrival`]), so that a request's deadline
//!   counts from the time at which its bytes may have reached the machine.
//! - A deadline that passes during a lag is not counted as a violated invariant.
//! - [`LoopLag::catch_up`] runs before an attempt's first byte is written, so that client disconnects and endpoint
//!   drains that arrived during the lag take effect first.
//! - A timer that fires late catches up before it takes effect ([`LoopLag::sleep_until`]). When a stopped process
//!   goes on, its wait for the sockets is interrupted, and the runtime fires timers before it waits again.
//!
//! A stall of the event loop is unrelated to a stalled attempt, which in the balancer is an attempt without a
//! timely response.
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};
use tracing::warn;

/// The interval of the ticks whose delay is measured as the lag. The lag is accurate to one interval.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A shorter delay of a tick is ordinary scheduling and counts as no lag.
const MIN_LAG: Duration = Duration::from_millis(25);
/// A lag of at least this duration is logged as a stall of the event loop.
const MIN_LOGGED_LAG: Duration = Duration::from_millis(250);
/// The time within which the gateway reads everything that arrived during a lag, once the lag has ended.
/// [`LoopLag::catch_up`] reads the sockets again if the last reading is older.
const FRESHNESS_WINDOW: Duration = Duration::from_millis(20);
/// How often [`LoopLag::catch_up`] yields, so that a ready socket takes effect: the socket's reader, the event loop
/// and the attempt each need one turn of the runtime.
const YIELDS_PER_CATCH_UP: usize = 3;
/// The maximum number of times that [`LoopLag::catch_up`] reads the sockets, so that a machine that always lags still
/// sends attempts.
const MAX_CATCH_UPS: usize = 4;

/// A lag that has just ended.
#[derive(Clone, Copy, Debug)]
struct PastLag {
    lag: Duration,
    /// The time until which bytes that arrived during the lag may still be unread.
    applies_until: Instant,
}

/// The time at which the next tick is due, and the lag that the last tick has found.
#[derive(Clone, Copy, Debug)]
struct Ticks {
    next_at: Instant,
    past_lag: Option<PastLag>,
    /// The time up to which everything that the kernel had received has taken effect.
    caught_up_at: Instant,
}

/// The measurement of the event loop's lag, shared by the gateway's tasks.
#[derive(Clone, Debug)]
pub struct LoopLag(Arc<Mutex<Ticks>>);

impl Default for LoopLag {
    fn default() -> Self {
        let now = Instant::now();
        let ticks = Ticks { next_at: now + TICK_INTERVAL, past_lag: None, caught_up_at: now };
        LoopLag(Arc::new(Mutex::new(ticks)))
    }
}

impl LoopLag {
    /// Measures the lag until the task is aborted.
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
                .then(|| PastLag { lag: lag + TICK_INTERVAL, applies_until: now + FRESHNESS_WINDOW });
            self.set_ticks(now + TICK_INTERVAL, past_lag);
            if lag >= FRESHNESS_WINDOW {
                self.catch_up().await;
            }
        }
    }

    /// Returns whether everything that the kernel had received until a short while ago has taken effect.
    pub fn is_caught_up(&self) -> bool {
        self.lock().caught_up_at.elapsed() < FRESHNESS_WINDOW
    }

    /// Yields until everything that the kernel has received by now has taken effect, unless that was so a short
    /// while ago. Client disconnects, endpoint drains and responses may have arrived while the process stalled.
    /// Cancel safe.
    pub async fn catch_up(&self) {
        for _ in 0..MAX_CATCH_UPS {
            if self.is_caught_up() {
                return;
            }
            let read_at = Instant::now();
            for _ in 0..YIELDS_PER_CATCH_UP {
                yield_now().await;
            }
            self.set_caught_up(read_at);
        }
        // On a machine that always lags, the work goes on without a fresher reading.
        self.set_caught_up(Instant::now());
    }

    fn set_caught_up(&self, at: Instant) {
        let mut ticks = self.lock();
        ticks.caught_up_at = ticks.caught_up_at.max(at);
    }

    fn set_ticks(&self, next_at: Instant, past_lag: Option<PastLag>) {
        let mut ticks = self.lock();
        (ticks.next_at, ticks.past_lag) = (next_at, past_lag);
    }

    /// Waits until `due_at`. If the process stalls meanwhile, also waits until everything that the kernel has
    /// received by then has taken effect, so that a timeout does not come before an event that was in time. In a
    /// `tokio::select!`, the branch of that event must come before this one. Cancel safe.
    pub async fn sleep_until(&self, due_at: Instant) {
        sleep_until(due_at).await;
        if due_at.elapsed() >= FRESHNESS_WINDOW {
            self.catch_up().await;
        }
    }

    /// Waits for `duration`, in the same way as [`LoopLag::sleep_until`].
    pub async fn sleep(&self, duration: Duration) {
        self.sleep_until(Instant::now() + duration).await;
    }

    /// Waits for `result` until `due_at`, in the same way as [`LoopLag::sleep_until`]. Returns `None` if the result
    /// is not there by then.
    pub async fn timeout_at<T>(&self, due_at: Instant, result: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            result = result => Some(result),
            () = self.sleep_until(due_at) => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Ticks> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the earliest time at which bytes that are read now may have arrived.
    pub fn earliest_arrival(&self) -> Instant {
        let now = Instant::now();
        now.checked_sub(self.at(now)).unwrap_or(now)
    }

    /// Returns the lag at `now`: the longest time for which bytes that are read at `now` may have been
    /// waiting. A lag that has just ended is included. The lag is zero while ticks are on time.
    pub fn at(&self, now: Instant) -> Duration {
        let ticks = *self.lock();
        let tick_lag = now.saturating_duration_since(ticks.next_at);
        let past_lag = ticks.past_lag.filter(|past| now < past.applies_until).map(|past| past.lag);
        let present_lag = if tick_lag < MIN_LAG { Duration::ZERO } else { tick_lag + TICK_INTERVAL };
        present_lag.max(past_lag.unwrap_or_default())
    }
}
