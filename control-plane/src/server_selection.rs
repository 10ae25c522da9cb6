//! Selects the control server to connect to, with backoff between attempts and failback to preferred servers. No I/O; times
//! are milliseconds of the caller's clock.
//!
//! Servers are ranked, the preferred one first. One that fails, or grants no lease for half a lease, is left for the next.
//! Once all have been tried without a lease, a server that at least responds is kept for longer, since in a partitioned
//! region no other one has a lease to give. A client that is not connected to its preferred server tries better ones at
//! random intervals, so that a server that recovers is not met by all of its clients at once.
use ternstack_replication::scope::Key;

/// Failures in a row after which [`SUSTAINED_BACKOFF_MAX_MS`] applies.
const FAST_RETRY_COUNT: u32 = 2;
/// Upper bound of the random backoff after the first failures.
const FAST_BACKOFF_MAX_MS: f64 = 40.0;
/// Upper bound of the random backoff after further failures. It does not grow, so that a lease is sought in time.
const SUSTAINED_BACKOFF_MAX_MS: f64 = 500.0;
/// Minimum interval between attempts to fail back; the maximum is twice as long.
const FAILBACK_INTERVAL_MIN_MS: f64 = 20_000.0;
/// Minimum time that a responding server without a lease is kept once all have been tried; the maximum is twice as long.
const LEASELESS_STAY_MIN_MS: f64 = 15_000.0;

/// The random seed of a member's selection: its own, and the same at each start.
pub(crate) fn seed_of(member_name: &str) -> u64 {
    Key::of(member_name).0
}

/// A server ranked above the connected one, to be tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailbackCandidate {
    /// Its rank: 0 is the preferred server.
    pub rank: usize,
    /// Its index in the caller's list of servers.
    pub server: usize,
}

/// The selection state of one client.
#[derive(Clone, Debug)]
pub struct ServerSelection {
    /// Indices of servers, the preferred one first.
    ranking: Vec<usize>,
    current_rank: usize,
    /// Failures in a row without a lease in between.
    failure_count: u32,
    lease_timeout_ms: f64,
    last_received_at_ms: f64,
    last_renewed_at_ms: f64,
    leaseless_stay_ms: f64,
    next_candidate_rank: usize,
    next_failback_at_ms: f64,
    random_state: u64,
}

impl ServerSelection {
    /// Starts at the first server of `ranking`, which has at least one. A server is left after `lease_timeout_ms` without a
    /// lease or without a byte. `seed` differs from client to client and determines all random intervals.
    pub fn new(ranking: Vec<usize>, lease_timeout_ms: f64, seed: u64) -> Self {
        let mut selection = ServerSelection {
            ranking,
            current_rank: 0,
            failure_count: 0,
            lease_timeout_ms,
            last_received_at_ms: 0.0,
            last_renewed_at_ms: 0.0,
            leaseless_stay_ms: 0.0,
            next_candidate_rank: 0,
            next_failback_at_ms: f64::INFINITY,
            random_state: seed,
        };
        selection.leaseless_stay_ms = LEASELESS_STAY_MIN_MS * (1.0 + selection.random_unit());
        selection
    }

    /// The index of the server to connect to, or that is connected.
    pub fn current_server(&self) -> usize {
        self.ranking.get(self.current_rank).copied().unwrap_or_default()
    }

    /// The current server has been connected.
    pub fn on_connected(&mut self, now_ms: f64) {
        self.last_received_at_ms = now_ms;
        self.last_renewed_at_ms = now_ms;
        self.next_failback_at_ms = match self.current_rank {
            0 => f64::INFINITY,
            _ => self.draw_failback_at(now_ms),
        };
    }

    /// The current server could not be connected, was disconnected or was left: selects the next one. Returns the backoff
    /// before it is to be connected, in ms.
    pub fn on_failure(&mut self) -> f64 {
        self.current_rank = (self.current_rank + 1) % self.ranking.len().max(1);
        self.failure_count = self.failure_count.saturating_add(1);
        let max_ms = match self.failure_count > FAST_RETRY_COUNT {
            true => SUSTAINED_BACKOFF_MAX_MS,
            false => FAST_BACKOFF_MAX_MS,
        };
        max_ms * self.random_unit()
    }

    /// Bytes have come from the current server.
    pub fn on_received(&mut self, now_ms: f64) {
        self.last_received_at_ms = now_ms;
    }

    /// The current server has renewed the lease.
    pub fn on_lease_renewed(&mut self, now_ms: f64) {
        self.last_received_at_ms = now_ms;
        self.last_renewed_at_ms = now_ms;
        self.failure_count = 0;
    }

    /// When the current server is to be left if nothing comes until then, in ms.
    pub fn deadline_ms(&self) -> f64 {
        let all_tried = self.failure_count as usize >= self.ranking.len();
        let without_lease_ms = if all_tried { self.leaseless_stay_ms } else { self.lease_timeout_ms };
        let silent_at_ms = self.last_received_at_ms + self.lease_timeout_ms;
        silent_at_ms.min(self.last_renewed_at_ms + without_lease_ms)
    }

    /// When a better server is to be tried, in ms; infinity at the preferred one.
    pub fn next_failback_at_ms(&self) -> f64 {
        self.next_failback_at_ms
    }

    /// The better server to try now, each in turn; schedules the next attempt.
    pub fn next_failback_candidate(&mut self, now_ms: f64) -> Option<FailbackCandidate> {
        self.next_failback_at_ms = self.draw_failback_at(now_ms);
        let rank = self.next_candidate_rank.checked_rem(self.current_rank)?;
        self.next_candidate_rank = rank + 1;
        Some(FailbackCandidate { rank, server: self.ranking[rank] })
    }

    /// A candidate has been reached and is the current server from now on.
    pub fn on_failback(&mut self, rank: usize) {
        self.current_rank = rank;
    }

    fn draw_failback_at(&mut self, now_ms: f64) -> f64 {
        now_ms + FAILBACK_INTERVAL_MIN_MS * (1.0 + self.random_unit())
    }

    /// A random number from 0 to below 1, by SplitMix64.
    fn random_unit(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
